"""Keeps the directory current from the store, or from another host if the store is unreachable."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cloverway.core.deployment import Document, Snapshot, StorePosition
from cloverway.core.documents import DocumentTable
from cloverway.core.endpoints import Change, Directory
from cloverway.core.members import Members, rank_host
from cloverway.errors import PlatformError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.ports import Dialect, HistoryGoneError, Store
from cloverway.serving.telemetry import Metrics, log_event

WATCH_TIMEOUT_S = 1.0
"""How long one read of the store waits for changes. A connection that went silent is noticed this
much later, and a change must be in force within four seconds."""
MIN_READ_INTERVAL_S = 0.9
"""Minimum interval between two reads. Endpoints write all the time, so each read would return at
once, and each read is billed. With this interval an endpoint that has started is in use within one
second; with 1 s it took up to 1.01 s."""
READ_BUDGET_SHARE = 0.5
"""Share of the store's read budget used by all hosts together. The rest is left for starts and full
reads."""
READERS_PER_DOMAIN = 2
"""Hosts of a failure domain that read the store and inform the others, since each read is billed.
With two readers, one that crashes or cannot reach the store delays nothing."""
MAX_FOLLOWER_AGE_S = 2.4
"""Age of its documents above which a host that isn't a reader reads the store itself: one read
by a reader, its interval, and one heartbeat in a large region. A change is then still in force
within the four seconds that the strictest deployments allow."""
POLL_PERIOD_S = 0.2
"""Interval at which such a host checks the age of its documents and whether it is now a reader."""
RANK_TTL_S = 0.4
"""How long a host's rank among the readers is cached. It is needed for each heartbeat and each
check of the documents' age, and computing it goes through all known hosts."""
MIN_RETRY_S = 0.3
MAX_RETRY_S = 1.0
FORGET_PERIOD_S = 0.4


class Catalogue:
    """The published documents that this host knows, and the directory built from them."""

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
        """When the store was last read, by this host or by the one that its documents came from."""
        self._store = store
        self._members = members
        self._metrics = metrics
        self._reads_per_s = reads_per_s
        self._is_store_lost = False
        self._is_reader = False
        self._ranked_at = float("-inf")
        self._was_reader = False
        self.on_change: Callable[[list[Change]], None] = lambda changes: None
        self.on_documents_changed: Callable[[], None] = lambda: None
        """Called when a read of the store changed the content of the documents."""

    async def run(self) -> None:
        """Read the store forever."""
        full = True
        retry_s = MIN_RETRY_S
        while True:
            began_at = read_clock()
            if not full and not self._is_read_due(began_at):
                await wait_for_tick(POLL_PERIOD_S)
                continue
            try:
                full = not await self._read(full)
                retry_s = MIN_RETRY_S
                delay_s = began_at + self._choose_interval() - read_clock()
            except HistoryGoneError as error:
                self._metrics.record_read("history_gone")
                position = self.table.position
                log_event(
                    "store_history_gone",
                    revision=position.revision,
                    epoch=position.epoch,
                    why=str(error),
                )
                full = True
                delay_s = 0.0
            except PlatformError as error:
                self._record_store_lost(error)
                delay_s = retry_s * random.uniform(0.8, 1.2)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
            await asyncio.sleep(max(0.0, delay_s))

    async def forget_missing(self) -> None:
        """Drop endpoints and evacuations that stayed missing, forever."""
        while True:
            await wait_for_tick(FORGET_PERIOD_S)
            now = read_clock()
            self.directory.versions.update(self.read_at, now)
            self._report_changes(self.directory.forget_missing(now))
            self._report_changes(self.directory.take_back_lost(now))

    def apply(self, snapshot: Snapshot, source: str, now: float) -> None:
        """Apply documents from the store or another host; older ones change nothing."""
        own = self.table.position
        if snapshot.position < own:
            self._metrics.record_event("snapshot_is_older")
            log_event(
                "snapshot_is_older",
                source=source,
                revision=snapshot.revision,
                epoch=snapshot.epoch,
                own=own.revision,
                own_epoch=own.epoch,
            )
            return
        follows_loss = self.table.follows_loss(snapshot)
        changes = self.directory.apply(self.table.apply(snapshot), now, follows_loss=follows_loss)
        self._record_epoch(own, source)
        self._report_changes(changes)

    def apply_configuration(self, document: Document, source: str, now: float) -> None:
        """Apply a configuration that another host has; an older one is ignored."""
        publications = self.table.apply_configuration(document)
        self._report_changes(self.directory.apply(publications, now, follows_loss=False))
        if publications:
            self._metrics.record_event("configuration_restored")
            log_event("configuration_restored", source=source, revision=document.revision)

    def adopt_position(self, position: StorePosition, digest: int, source: str) -> bool:
        """Adopt the position of a host that has the same documents; return whether it was done."""
        own = self.table.position
        is_adopted = self.table.adopt_position(position, digest)
        self._record_epoch(own, source)
        return is_adopted

    def record_restart(self, name: str, started_ms: int) -> None:
        """Record that an endpoint has restarted, as it stated itself, before its entry shows it."""
        self._report_changes(self.directory.record_restart(name, started_ms, read_clock()))

    def is_reader(self, now: float) -> bool:
        """Return whether this host reads the store for the others of its failure domain.

        Hosts may disagree for a moment. Then one host more reads, or none does until the documents
        are too old.
        """
        if now - self._ranked_at >= RANK_TTL_S:
            self._is_reader = self._is_ranked_reader(now)
            self._ranked_at = now
        return self._is_reader

    def _is_ranked_reader(self, now: float) -> bool:
        own = self._members.own
        names = [
            peer.member.name
            for peer in self._members.peers.values()
            if peer.member.domain == own.domain
            and not peer.member.leaving
            and self._members.is_alive(peer, now)
        ]
        ranked = sorted([own.name, *names], key=lambda name: rank_host(own.domain, name))
        return own.name in ranked[:READERS_PER_DOMAIN]

    async def _read(self, full: bool) -> bool:
        if full:
            snapshot = await self._store.read_all()
        else:
            snapshot = await self._store.watch(self.table.position, WATCH_TIMEOUT_S)
        now = read_clock()
        self._metrics.record_read("whole" if full else "changes")
        if self._is_store_lost:
            self._is_store_lost = False
            log_event(
                "store_regained", revision=snapshot.revision, age_s=round(now - self.read_at, 3)
            )
        self.read_at = now
        digest = self.table.digest
        self.apply(snapshot, "store", now)
        if self.table.digest != digest:
            self.on_documents_changed()
        return True

    def _is_read_due(self, now: float) -> bool:
        is_reader = self.is_reader(now)
        age_s = now - self.read_at
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            log_event("store_reader", reads=is_reader, age_s=round(age_s, 3))
        return is_reader or age_s > MAX_FOLLOWER_AGE_S

    def _choose_interval(self) -> float:
        share = self._reads_per_s * READ_BUDGET_SHARE / self._members.count_hosts()
        return max(MIN_READ_INTERVAL_S, 1 / share)

    def _record_store_lost(self, error: PlatformError) -> None:
        self._metrics.record_read(type(error).__name__)
        if not self._is_store_lost:
            self._is_store_lost = True
            log_event("store_lost", logging.WARNING, why=str(error), revision=self.table.revision)

    def _record_epoch(self, before: StorePosition, source: str) -> None:
        now = self.table.position
        if now.epoch == before.epoch:
            return
        self._metrics.record_event("store_epoch")
        log_event(
            "store_epoch",
            source=source,
            epoch=now.epoch,
            revision=now.revision,
            before=before.epoch,
            own=before.revision,
        )

    def _report_changes(self, changes: list[Change]) -> None:
        for change in changes:
            self._metrics.record_event(change.what)
            log_event(
                "belief_changed",
                what=change.what,
                subject=change.subject,
                detail=change.detail,
                revision=self.table.revision,
            )
        if changes:
            self.on_change(changes)
