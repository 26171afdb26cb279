"""Keeps the directory up by reading the store, or a peer where the store can't be read."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from cloverway.core.deployment import Document, Snapshot
from cloverway.core.endpoints import Change, Directory
from cloverway.core.members import Members
from cloverway.errors import PlatformError
from cloverway.serving.clock import read_clock
from cloverway.serving.ports import Dialect, HistoryGoneError, Store
from cloverway.serving.telemetry import Figures, tell

WATCH_S = 1.0
"""How long one read waits for changes. A connection that has gone silent is noticed this much
later, and a change must be in force within four seconds."""
PACE_S = 1.0
"""Least time between two reads. Endpoints write all the time, so each read would return at once;
each read is paid for, and a second is a quarter of the strictest time to act on a change."""
READS_PART = 0.5
"""Part of the store's reads that all hosts together take; the rest is for starts and repairs."""
RETRY_S = 0.3
LONGEST_RETRY_S = 1.0
FORGET_EVERY_S = 0.5


class Catalogue:
    """The published documents that this host knows, and the directory made of them."""

    def __init__(
        self,
        directory: Directory,
        store: Store,
        dialect: Dialect,
        members: Members,
        figures: Figures,
        *,
        reads_per_s: float,
    ) -> None:
        self.directory = directory
        self.revision = 0
        self.read_at = float("-inf")
        """When the store, or a peer that had read it, was read last."""
        self._documents: dict[str, Document] = {}
        self._store = store
        self._dialect = dialect
        self._members = members
        self._figures = figures
        self._reads_per_s = reads_per_s
        self._lost = False
        self.on_change: Callable[[list[Change]], None] = lambda changes: None

    async def run(self) -> None:
        """Read the store for ever."""
        whole = True
        retry_s = RETRY_S
        while True:
            began_at = read_clock()
            try:
                whole = not await self._read(whole)
                retry_s = RETRY_S
                pace_s = began_at + self._choose_pace() - read_clock()
            except HistoryGoneError:
                self._figures.note_read("history_gone")
                tell("store_history_gone", revision=self.revision)
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
            await asyncio.sleep(FORGET_EVERY_S)
            self._tell(self.directory.forget_missing(read_clock()))

    def apply(self, snapshot: Snapshot, source: str, now: float) -> None:
        """Take over documents, from the store or from a peer; older ones change nothing."""
        if snapshot.revision < self.revision:
            tell("snapshot_is_older", source=source, revision=snapshot.revision, own=self.revision)
            return
        documents = [item for item in snapshot.documents if self._is_newer(item)]
        if snapshot.whole:
            documents += self._list_removed(snapshot)
        for document in documents:
            if document.value is None:
                self._documents.pop(document.key, None)
            else:
                self._documents[document.key] = document
        self.revision = snapshot.revision
        self._tell(self.directory.apply(self._dialect.decode_documents(documents), now))

    def export(self) -> Snapshot:
        """Give all documents, for a peer that can't read the store."""
        return Snapshot(self.revision, tuple(self._documents.values()), True)

    async def _read(self, whole: bool) -> bool:
        if whole:
            snapshot = await self._store.read_all()
        else:
            snapshot = await self._store.watch(self.revision, WATCH_S)
        now = read_clock()
        self._figures.note_read("whole" if whole else "changes")
        if self._lost:
            self._lost = False
            tell("store_regained", revision=snapshot.revision, age_s=round(now - self.read_at, 3))
        self.read_at = now
        self.apply(snapshot, "store", now)
        return True

    def _choose_pace(self) -> float:
        share = self._reads_per_s * READS_PART / self._members.count_fleet()
        return max(PACE_S, 1 / share)

    def _is_newer(self, document: Document) -> bool:
        held = self._documents.get(document.key)
        return held is None or document.revision > held.revision

    def _list_removed(self, snapshot: Snapshot) -> list[Document]:
        present = {document.key for document in snapshot.documents}
        return [
            Document(key, snapshot.revision, None) for key in self._documents if key not in present
        ]

    def _note_lost(self, error: PlatformError) -> None:
        self._figures.note_read(type(error).__name__)
        if not self._lost:
            self._lost = True
            tell("store_lost", logging.WARNING, why=str(error), revision=self.revision)

    def _tell(self, changes: list[Change]) -> None:
        for change in changes:
            self._figures.note_event(change.what)
            tell(
                "belief_changed",
                what=change.what,
                subject=change.subject,
                detail=change.detail,
                revision=self.revision,
            )
        if changes:
            self.on_change(changes)
