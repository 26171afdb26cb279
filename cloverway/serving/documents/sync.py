"""Documents from other hosts: most hosts of a failure domain get theirs from those that read."""

from __future__ import annotations

import asyncio
import random
from urllib.parse import parse_qs, urlsplit

import h11

from cloverway.core.deployment import Document, Snapshot
from cloverway.core.documents import DocumentTable
from cloverway.core.members import Members, Peer
from cloverway.errors import PeerError
from cloverway.serving.clock import compute_tick_delay, read_clock
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.hosts.peerwire import CODEC, StoredDocument, StoredSnapshot
from cloverway.serving.http.client import AnswerError, ConnectError, Pool, fetch
from cloverway.serving.telemetry import log_event

READ_STALE_S = 1.6
"""A host whose documents are older than this asks any host that knows more, also one that is far:
one whole read that was missed, and a little."""
LOOK_S = 0.2
"""How often that is looked at, besides whenever a host of the domain has news."""
TRIP_S = 0.1
"""Added to the age of what another host tells: one way to the farthest region, and a little."""
FETCH_S = 1.0
FETCH_LIMIT = 64 * 1024 * 1024
SNAPSHOT_PATH = "/snapshot"


class DocumentSync:
    """Follows hosts that read the store, and fetches from them what they know more."""

    def __init__(self, members: Members, catalogue: Catalogue, pool: Pool) -> None:
        self._members = members
        self._catalogue = catalogue
        self._pool = pool
        self._news = asyncio.Event()

    def note(self, peer: Peer, now: float) -> None:
        """Compare with what another host has just said that it knows."""
        table = self._catalogue.table
        if table.follow(peer.revision, peer.digest):
            read_at = now - peer.read_age_s - TRIP_S
            self._catalogue.read_at = max(self._catalogue.read_at, read_at)
        elif self._is_news(peer) and peer.member.domain == self._members.own.domain:
            self._news.set()

    async def run(self) -> None:
        """Fetch documents whenever another host knows more, for ever."""
        while True:
            try:
                async with asyncio.timeout(compute_tick_delay(LOOK_S)):
                    await self._news.wait()
            except TimeoutError:
                pass
            now = read_clock()
            if not self._news.is_set() and not self._is_stale(now):
                continue
            self._news.clear()
            peer = self._choose_source(now)
            if peer is not None:
                await self._fetch_from(peer)

    def _is_news(self, peer: Peer) -> bool:
        table = self._catalogue.table
        return peer.revision > table.revision and peer.digest != table.digest

    def _is_stale(self, now: float) -> bool:
        return now - self._catalogue.read_at > READ_STALE_S

    def _choose_source(self, now: float) -> Peer | None:
        """Choose a host that knows more: of this domain, or any when the documents here are old."""
        known = [
            peer
            for peer in self._members.peers.values()
            if self._is_news(peer)
            and now >= peer.failed_until
            and self._members.is_alive(peer, now)
        ]
        own = self._members.own
        near = [peer for peer in known if peer.member.domain == own.domain]
        stale = self._is_stale(now)
        if near and (stale or not self._catalogue.is_reader(now)):
            return random.choice(near)
        if not stale:
            return None
        region = [peer for peer in known if peer.member.region == own.region]
        return random.choice(region or known) if known else None

    async def _fetch_from(self, peer: Peer) -> None:
        asked_at = read_clock()
        try:
            snapshot = await self._fetch(peer, self._catalogue.table.revision)
            self._apply(snapshot)
            if self._catalogue.table.digest != snapshot.digest:
                # The two held different documents at the same revision: only all of them mend that.
                snapshot = await self._fetch(peer, None)
                self._apply(snapshot)
        except (ConnectError, AnswerError, PeerError) as error:
            peer.failed_until = read_clock() + FETCH_S
            log_event("documents_not_fetched", peer=peer.member.name, why=str(error))
            return
        read_at = asked_at - peer.read_age_s - TRIP_S
        self._catalogue.read_at = max(self._catalogue.read_at, read_at)
        log_event(
            "documents_fetched",
            peer=peer.member.name,
            revision=snapshot.revision,
            documents=len(snapshot.documents),
            whole=snapshot.whole,
            age_s=round(asked_at - self._catalogue.read_at, 3),
        )

    async def _fetch(self, peer: Peer, after: int | None) -> StoredSnapshot:
        target = SNAPSHOT_PATH if after is None else f"{SNAPSHOT_PATH}?after={after}"
        request = h11.Request(method="GET", target=target, headers=[(b"Host", b"peer")])
        head, body = await fetch(
            self._pool, peer.member.inner, request, b"", timeout_s=FETCH_S, limit=FETCH_LIMIT
        )
        if head.status != 200:
            raise AnswerError(f"status {head.status}")
        snapshot = CODEC.decode(body)
        if not isinstance(snapshot, StoredSnapshot):
            raise PeerError("the answer holds no documents")
        return snapshot

    def _apply(self, snapshot: StoredSnapshot) -> None:
        documents = tuple(
            Document(item.key, item.revision, None if item.removed else item.value)
            for item in snapshot.documents
        )
        known = Snapshot(snapshot.revision, documents, snapshot.whole)
        self._catalogue.apply(known, "peer", read_clock())


def answer_fetch(table: DocumentTable, target: str) -> bytes | None:
    """Give the documents that another host asks for; None when it asks for something else."""
    parts = urlsplit(target)
    if parts.path != SNAPSHOT_PATH:
        return None
    after = parse_qs(parts.query).get("after", [""])[0]
    snapshot = table.export(int(after) if after.isdigit() else -1)
    documents = tuple(
        StoredDocument(item.key, item.revision, item.value or b"", item.value is None)
        for item in snapshot.documents
    )
    return CODEC.encode(StoredSnapshot(snapshot.revision, documents, snapshot.whole, table.digest))
