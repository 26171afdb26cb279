"""Keeps the directory up by reading the store, or a peer where the store can't be read."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cloverway.core.deployment import Snapshot
from cloverway.core.documents import DocumentTable
from cloverway.core.endpoints import Change, Directory
from cloverway.core.members import Members, rank_for
from cloverway.errors import PlatformError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.ports import Dialect, HistoryGoneError, Store
from cloverway.serving.telemetry import Metrics, log_event

WATCH_S = 1.0
"""How long one read waits for changes. A connection that has gone silent is noticed this much
later, and a change must be in force within four seconds."""
PACE_S = 0.9
"""Least time between two reads. Endpoints write all the time, so each read would return at once;
each read is paid for. With this an endpoint that has started is in use within the second; with 1 s
it took up to 1.01 s."""
READS_PART = 0.5
"""Part of the store's reads that all hosts together take; the rest is for starts and repairs."""
READERS = 2
"""Hosts of a failure domain that read the store for all of it: each read is paid for. With two, one
that dies or is cut off from the store delays nothing."""
FOLLOW_S = 2.4
"""A host that doesn't read for others reads the store itself when what it knows is older than this:
a read by a reader, its pace, and one heartbeat of a large region. A change is then still in force
within the four seconds that the strictest deployments give it."""
LOOK_S = 0.2
"""How often such a host looks how old its documents are, and whether it is to read for others."""
RANK_EVERY_S = 0.4
"""How long a host goes by its rank among the readers. It is asked for with each heartbeat and each
look at the documents, and looks at all hosts that are known."""
RETRY_S = 0.3
LONGEST_RETRY_S = 1.0
FORGET_EVERY_S = 0.4


class Catalogue:
    """The published documents that this host knows, and the directory made of them."""

    def __init__(
        self,
        directory: Directory,
        store: Store,
        dialect: Dialect,
        members: Members,
        metrics: Metrics,
        *,
        reads_per_s: float,
    ) -> None:
        self.directory = directory
        self.table = DocumentTable(dialect.decode_documents)
        self.read_at = float("-inf")
        """When the store, or a peer that had read it, was read last."""
        self._store = store
        self._members = members
        self._metrics = metrics
        self._reads_per_s = reads_per_s
        self._lost = False
        self._is_reader = False
        self._ranked_at = float("-inf")
        self._was_reader = False
        self.on_change: Callable[[list[Change]], None] = lambda changes: None
        self.on_news: Callable[[], None] = lambda: None
        """Called when the store had something that means anything new."""

    async def run(self) -> None:
        """Read the store for ever."""
        whole = True
        retry_s = RETRY_S
        while True:
            began_at = read_clock()
            if not whole and not self._must_read(began_at):
                await wait_for_tick(LOOK_S)
                continue
            try:
                whole = not await self._read(whole)
                retry_s = RETRY_S
                pace_s = began_at + self._choose_pace() - read_clock()
            except HistoryGoneError:
                self._metrics.note_read("history_gone")
                log_event("store_history_gone", revision=self.table.revision)
                whole = True
                pace_s = 0.0
            except PlatformError as error:
                self._note_lost(error)
                pace_s = retry_s * random.uniform(0.8, 1.2)
                retry_s = min(LONGEST_RETRY_S, retry_s * 2)
            await asyncio.sleep(max(0.0, pace_s))

    async def forget(self) -> None:
        """Drop endpoints that stayed away, for ever."""
        while True:
            await wait_for_tick(FORGET_EVERY_S)
            self._tell(self.directory.forget_missing(read_clock()))

    def apply(self, snapshot: Snapshot, source: str, now: float) -> None:
        """Take over documents, from the store or from a peer; older ones change nothing."""
        if snapshot.revision < self.table.revision:
            own = self.table.revision
            log_event("snapshot_is_older", source=source, revision=snapshot.revision, own=own)
            return
        self._tell(self.directory.apply(self.table.apply(snapshot), now))

    def note_born(self, name: str, born_ms: int) -> None:
        """Take over that an endpoint has started again, by its own word, before its entry tells."""
        self._tell(self.directory.note_born(name, born_ms, read_clock()))

    def is_reader(self, now: float) -> bool:
        """Tell whether this host reads the store for the others of its failure domain.

        Hosts may disagree for a moment: then one more reads, or none until its documents are old.
        """
        if now - self._ranked_at >= RANK_EVERY_S:
            self._is_reader = self._rank_as_reader(now)
            self._ranked_at = now
        return self._is_reader

    def _rank_as_reader(self, now: float) -> bool:
        own = self._members.own
        names = [
            peer.member.name
            for peer in self._members.peers.values()
            if peer.member.domain == own.domain
            and not peer.member.leaving
            and self._members.is_alive(peer, now)
        ]
        ranked = sorted([own.name, *names], key=lambda name: rank_for(own.domain, name))
        return own.name in ranked[:READERS]

    async def _read(self, whole: bool) -> bool:
        if whole:
            snapshot = await self._store.read_all()
        else:
            snapshot = await self._store.watch(self.table.revision, WATCH_S)
        now = read_clock()
        self._metrics.note_read("whole" if whole else "changes")
        if self._lost:
            self._lost = False
            log_event(
                "store_regained", revision=snapshot.revision, age_s=round(now - self.read_at, 3)
            )
        self.read_at = now
        digest = self.table.digest
        self.apply(snapshot, "store", now)
        if self.table.digest != digest:
            self.on_news()
        return True

    def _must_read(self, now: float) -> bool:
        is_reader = self.is_reader(now)
        age_s = now - self.read_at
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log_event("store_reader", reads=is_reader, age_s=round(age_s, 3))
        return is_reader or age_s > FOLLOW_S

    def _choose_pace(self) -> float:
        share = self._reads_per_s * READS_PART / self._members.count_fleet()
        return max(PACE_S, 1 / share)

    def _note_lost(self, error: PlatformError) -> None:
        self._metrics.note_read(type(error).__name__)
        if not self._lost:
            self._lost = True
            log_event("store_lost", logging.WARNING, why=str(error), revision=self.table.revision)

    def _tell(self, changes: list[Change]) -> None:
        for change in changes:
            self._metrics.note_event(change.what)
            log_event(
                "belief_changed",
                what=change.what,
                subject=change.subject,
                detail=change.detail,
                revision=self.table.revision,
            )
        if changes:
            self.on_change(changes)
