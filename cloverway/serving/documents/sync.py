"""Fetches documents from other hosts; most hosts of a failure domain get theirs this way."""

from __future__ import annotations

import asyncio
import random
from urllib.parse import parse_qs, urlsplit

import h11

from cloverway.core.deployment import Document, Snapshot, StorePosition
from cloverway.core.documents import DocumentTable
from cloverway.core.members import Members, Peer
from cloverway.errors import PeerError
from cloverway.serving.clock import compute_tick_delay, read_clock
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.hosts.messages import CODEC, StoredDocument, StoredSnapshot
from cloverway.serving.http.client import ConnectError, ConnectionPool, ResponseError, fetch
from cloverway.serving.telemetry import log_event

STALE_S = 1.6
"""Age of its documents above which a host fetches them from any host with newer ones, also from a
remote region: one full read of the store that was missed, and a margin."""
POLL_PERIOD_S = 0.2
"""Interval at which the age is checked, besides each time that a host of the failure domain reports
newer documents."""
ONE_WAY_LATENCY_S = 0.1
"""Added to the age of what another host knows: the one-way latency to the farthest region, and a
margin."""
FETCH_TIMEOUT_S = 1.0
MAX_FETCH_BYTES = 64 * 1024 * 1024
SNAPSHOT_PATH = "/snapshot"


class DocumentSync:
    """Follows hosts that read the store, and fetches newer documents from them."""

    def __init__(self, members: Members, catalogue: Catalogue, pool: ConnectionPool) -> None:
        self._members = members
        self._catalogue = catalogue
        self._pool = pool
        self._newer_available = asyncio.Event()

    def record_peer(self, peer: Peer, now: float) -> None:
        """Compare the documents with those that another host has just reported."""
        if self._catalogue.adopt_position(peer.position, peer.digest, "peer"):
            read_at = now - peer.store_read_age_s - ONE_WAY_LATENCY_S
            self._catalogue.read_at = max(self._catalogue.read_at, read_at)
        elif self._has_newer(peer) and peer.member.domain == self._members.own.domain:
            self._newer_available.set()

    async def run(self) -> None:
        """Fetch documents whenever another host has newer ones, forever."""
        while True:
            try:
                async with asyncio.timeout(compute_tick_delay(POLL_PERIOD_S)):
                    await self._newer_available.wait()
            except TimeoutError:
                pass
            now = read_clock()
            if not self._newer_available.is_set() and not self._is_stale(now):
                continue
            self._newer_available.clear()
            peer = self._choose_source(now)
            if peer is not None:
                await self._fetch_from(peer)

    def _has_newer(self, peer: Peer) -> bool:
        table = self._catalogue.table
        return peer.position > table.position and peer.digest != table.digest

    def _is_stale(self, now: float) -> bool:
        return now - self._catalogue.read_at > STALE_S

    def _choose_source(self, now: float) -> Peer | None:
        """Choose a host with newer documents: of this domain, or any if these are stale."""
        candidates = [
            peer
            for peer in self._members.peers.values()
            if self._has_newer(peer)
            and now >= peer.backoff_until
            and self._members.is_alive(peer, now)
        ]
        own = self._members.own
        same_domain = [peer for peer in candidates if peer.member.domain == own.domain]
        is_stale = self._is_stale(now)
        if same_domain and (is_stale or not self._catalogue.is_reader(now)):
            return random.choice(same_domain)
        if not is_stale:
            return None
        same_region = [peer for peer in candidates if peer.member.region == own.region]
        return random.choice(same_region or candidates) if candidates else None

    async def _fetch_from(self, peer: Peer) -> None:
        sent_at = read_clock()
        try:
            snapshot = await self._fetch(peer, self._catalogue.table.position)
            self._apply(snapshot)
            if self._catalogue.table.digest != snapshot.digest:
                # The two hosts had different documents at the same position, which only a full
                # fetch repairs.
                snapshot = await self._fetch(peer, None)
                self._apply(snapshot)
        except (ConnectError, ResponseError, PeerError) as error:
            peer.backoff_until = read_clock() + FETCH_TIMEOUT_S
            log_event("documents_not_fetched", peer=peer.member.name, why=str(error))
            return
        read_at = sent_at - peer.store_read_age_s - ONE_WAY_LATENCY_S
        self._catalogue.read_at = max(self._catalogue.read_at, read_at)
        log_event(
            "documents_fetched",
            peer=peer.member.name,
            revision=snapshot.revision,
            epoch=snapshot.epoch,
            documents=len(snapshot.documents),
            whole=snapshot.whole,
            age_s=round(sent_at - self._catalogue.read_at, 3),
        )

    async def _fetch(self, peer: Peer, after: StorePosition | None) -> StoredSnapshot:
        target = SNAPSHOT_PATH if after is None else f"{SNAPSHOT_PATH}?after={_format(after)}"
        return await fetch_documents(self._pool, peer, target)

    def _apply(self, snapshot: StoredSnapshot) -> None:
        documents = tuple(map(decode_document, snapshot.documents))
        fetched = Snapshot(snapshot.revision, documents, snapshot.whole, snapshot.epoch)
        self._catalogue.apply(fetched, "peer", read_clock())


async def fetch_documents(pool: ConnectionPool, peer: Peer, target: str) -> StoredSnapshot:
    """Fetch documents of another host; raise ConnectError, ResponseError or PeerError."""
    head, body = await fetch(
        pool,
        peer.member.forwarding_address,
        h11.Request(method="GET", target=target, headers=[(b"Host", b"peer")]),
        b"",
        timeout_s=FETCH_TIMEOUT_S,
        limit=MAX_FETCH_BYTES,
    )
    if head.status != 200:
        raise ResponseError(f"status {head.status}")
    snapshot = CODEC.decode(body)
    if not isinstance(snapshot, StoredSnapshot):
        raise PeerError("the response is not a snapshot of documents")
    return snapshot


def decode_document(item: StoredDocument) -> Document:
    """Return a document as another host has sent it."""
    return Document(item.key, item.revision, None if item.removed else item.value, item.epoch)


def encode_document(item: Document) -> StoredDocument:
    """Return a document as it is sent to another host."""
    return StoredDocument(
        item.key, item.revision, item.value or b"", item.value is None, item.epoch
    )


def export_snapshot(table: DocumentTable, target: str) -> bytes | None:
    """Return the documents that another host fetches; None if the path is another one."""
    parts = urlsplit(target)
    if parts.path != SNAPSHOT_PATH:
        return None
    after = parse_qs(parts.query).get("after", [""])[0]
    snapshot = table.export_since(_parse(after))
    documents = tuple(map(encode_document, snapshot.documents))
    return CODEC.encode(
        StoredSnapshot(
            snapshot.revision, documents, snapshot.complete, table.digest, snapshot.epoch
        )
    )


def _format(position: StorePosition) -> str:
    return f"{position.epoch}.{position.revision}"


def _parse(text: str) -> StorePosition | None:
    """Return the position in a query; None for another text, which is answered with everything."""
    epoch, _, revision = text.partition(".")
    if not epoch.isdecimal() or not revision.isdecimal():
        return None
    return StorePosition(int(epoch), int(revision))
