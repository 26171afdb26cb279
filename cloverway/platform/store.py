"""The client of the platform's store: pages of a range, and a watch from a revision."""

from __future__ import annotations

import asyncio
import base64
import binascii
import logging
from urllib.parse import urlencode

import h11
import msgspec

from cloverway.core.deployment import Document, Snapshot
from cloverway.errors import PlatformError
from cloverway.platform.documents import PREFIXES, is_unreadable
from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    ResponseTooLargeError,
    fetch,
)
from cloverway.serving.ports import HistoryGoneError, StoreBusyError

RESPONSE_TIMEOUT_S = 0.9
"""Time for an answer beyond the time that a watch waits. The store answers in milliseconds; when it
is slow, sixty times as long."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""The longest answer that is read: a page holds about one MB, or one value of that size. A host has
some hundred MB, and takes several times the length of an answer to decode it."""
MAX_PAGES = 10_000
UNREADABLE_CUTOFF = 40_000
"""Documents of one read beyond which unreadable ones are left out and then taken for absent: all
the keys of a store that somebody has filled would not fit into a host's memory."""
ALL_KEYS = ""
"""The prefix of all keys: one watch tells of operators' and endpoints' writes alike, and each watch
that waits is paid for."""

UNREADABLE = b""
"""Stands for a value that isn't in its form: no document is empty."""


class StoreItem(msgspec.Struct):
    """One key of the store, as far as it is needed."""

    key: str
    revision: int
    value: object = None
    tombstone: bool = False


class StoreResponse(msgspec.Struct):
    """What the store answers to a read."""

    at: int
    """Its revision."""
    items: list[object] = []
    """Of a range."""
    events: list[object] = []
    """Of a watch."""
    has_more: bool = msgspec.field(name="hasMore", default=False)


log = logging.getLogger(__name__)


class PlatformStore:
    """Reads the store over kept connections."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool()

    async def read_all(self) -> Snapshot:
        """Give all documents; raise PlatformError.

        Pages are no snapshot. The revision is that of the first page, so that the watch that
        follows tells again of whatever was written while the later pages were read. All prefixes
        are read at once: a host far from the store is ready only with them, and each call takes
        a trip of 160 ms.
        """
        snapshots = await asyncio.gather(*(self._read_prefix(prefix) for prefix in PREFIXES))
        documents = tuple(document for snapshot in snapshots for document in snapshot.documents)
        return Snapshot(min(snapshot.revision for snapshot in snapshots), documents, True)

    async def watch(self, after: int, wait_s: float) -> Snapshot:
        """Give what changed after a revision; raise PlatformError."""
        wait_ms = int(wait_s * 1000)
        query = {"prefix": ALL_KEYS, "after": str(after), "waitMs": str(wait_ms)}
        try:
            response = await self._call("/kv-watch", query, wait_s)
        except ResponseTooLargeError as error:
            # Somebody writes faster than is read. Pages of all keys are bounded, and show the same.
            raise HistoryGoneError("/kv-watch: too many changes") from error
        return Snapshot(max(after, response.at), _decode_items(response.events), False)

    async def _read_prefix(self, prefix: str) -> Snapshot:
        documents: list[Document] = []
        revisions: list[int] = []
        after = ""
        for _ in range(MAX_PAGES):
            response = await self._call("/kv-range", {"prefix": prefix, "after": after}, 0.0)
            revisions.append(response.at)
            page = _decode_items(response.items)
            documents += _limit_unreadable(page, len(documents))
            if not response.has_more or not page:
                break
            after = page[-1].key
        return Snapshot(min(revisions), tuple(documents), True)

    async def _call(self, path: str, query: dict[str, str], wait_s: float) -> StoreResponse:
        fields = {name: value for name, value in query.items() if value or name == "prefix"}
        target = f"{path}?{urlencode(fields, safe='/')}"
        headers = [(b"Host", self._address.encode())]
        request = h11.Request(method="GET", target=target, headers=headers)
        try:
            head, body = await fetch(
                self._pool,
                self._address,
                request,
                b"",
                timeout_s=wait_s + RESPONSE_TIMEOUT_S,
                limit=MAX_RESPONSE_BYTES,
            )
        except ResponseTooLargeError:
            raise
        except (ConnectError, ResponseError) as error:
            raise PlatformError(f"{path}: {error}") from error
        if head.status == 410:
            raise HistoryGoneError(path)
        if head.status == 429:
            raise StoreBusyError(path)
        if head.status != 200:
            raise PlatformError(f"{path}: status {head.status}")
        try:
            return msgspec.json.decode(body, type=StoreResponse)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise PlatformError(f"{path}: an answer that can't be read") from error


def _limit_unreadable(page: tuple[Document, ...], read: int) -> list[Document]:
    """Give the documents of a page that are kept: unreadable ones without their bytes, or not."""
    kept = []
    for document in page:
        if not is_unreadable(document):
            kept.append(document)
        elif read + len(kept) < UNREADABLE_CUTOFF:
            kept.append(document._replace(value=UNREADABLE))
    return kept


def _decode_items(items: list[object]) -> tuple[Document, ...]:
    """Decode the items of an answer; one that can't be read leaves the others in force."""
    decoded = (_decode_item(item) for item in items)
    return tuple(document for document in decoded if document is not None)


def _decode_item(fields: object) -> Document | None:
    try:
        item = msgspec.convert(fields, StoreItem)
    except msgspec.ValidationError as error:
        log.error("an item of the store has no key or revision", extra={"why": str(error)[:200]})
        return None
    value = None if item.tombstone else _decode_value(item.value)
    return Document(item.key, item.revision, value)


def _decode_value(value: object) -> bytes:
    """Give the bytes of a value; those of one that isn't in its form can't be read later either."""
    if not isinstance(value, str):
        return UNREADABLE
    try:
        return base64.b64decode(value, validate=True)
    except (ValueError, binascii.Error):
        return UNREADABLE
