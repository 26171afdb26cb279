"""Client of the platform's store: reads key ranges in pages and watches changes by revision."""

from __future__ import annotations

import asyncio
import base64
import binascii
import logging
from urllib.parse import urlencode

import h11
import msgspec

from cloverway.core.deployment import Document, Snapshot, StorePosition
from cloverway.core.documents import UNREADABLE, limit_unreadable, merge_pages
from cloverway.errors import PlatformError
from cloverway.platform import names
from cloverway.platform.documents import PREFIXES, decode_documents
from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    ResponseHead,
    ResponseTooLargeError,
    fetch,
)
from cloverway.serving.ports import HistoryGoneError, StoreBusyError

RESPONSE_TIMEOUT_S = 0.9
"""Timeout of a response in seconds, in addition to the wait of a watch. The store responds within
milliseconds, or sixty times as slowly when it is degraded."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Maximum size of a response. A page has about 1 MB, or a single value of up to this size. A host
has some hundred MB of memory, and decoding takes several times the size of a response."""
MAX_PAGES = 10_000
MAX_EPOCH_DIGITS = 18
"""An epoch fits into the 64 bits of a message between hosts."""
ALL_KEYS = ""
"""Prefix of all keys: one watch covers the writes of operators and endpoints, because each watch
uses resources of the store."""


class StoreItem(msgspec.Struct):
    """One key of the store, without the fields that aren't used."""

    key: str
    revision: int
    value: object = None
    tombstone: bool = False


class StoreResponse(msgspec.Struct):
    """Body of a response of the store."""

    at: int
    """Revision of the store."""
    items: list[object] = []
    """Keys of a range."""
    events: list[object] = []
    """Changes of a watch."""
    has_more: bool = msgspec.field(name="hasMore", default=False)
    epoch: int = 0
    """Stated in a header."""


log = logging.getLogger(__name__)


class PlatformStore:
    """Reads the store over persistent connections."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool()

    async def read_all(self) -> Snapshot:
        """Return all documents; raise PlatformError.

        All prefixes are read concurrently, because a host needs them to become ready, and each call
        to a store in a remote region takes a round trip of 160 ms.
        """
        return merge_pages(
            await asyncio.gather(*(self._read_prefix(prefix) for prefix in PREFIXES))
        )

    async def watch(self, after: StorePosition, wait_s: float) -> Snapshot:
        """Return the changes after a position; raise PlatformError."""
        wait_ms = int(wait_s * 1000)
        query = {"prefix": ALL_KEYS, "after": str(after.revision), "waitMs": str(wait_ms)}
        try:
            response = await self._call("/kv-watch", query, wait_s)
        except ResponseTooLargeError as error:
            # Writers are faster than this reader. Reading all keys in bounded pages works instead.
            raise HistoryGoneError("/kv-watch: too many changes") from error
        if response.epoch != after.epoch:
            raise HistoryGoneError("/kv-watch: the store has lost writes")
        documents = _decode_items(response.events, response.epoch)
        return Snapshot(max(after.revision, response.at), documents, False, response.epoch)

    async def _read_prefix(self, prefix: str) -> Snapshot:
        pages: list[Snapshot] = []
        after = ""
        for _ in range(MAX_PAGES):
            response = await self._call("/kv-range", {"prefix": prefix, "after": after}, 0.0)
            items = _decode_items(response.items, response.epoch)
            count = sum(len(page.documents) for page in pages)
            documents = limit_unreadable(items, count, decode_documents)
            pages.append(Snapshot(response.at, tuple(documents), True, response.epoch))
            if not response.has_more or not items:
                break
            after = items[-1].key
        return merge_pages(pages)

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
            response = msgspec.json.decode(body, type=StoreResponse)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise PlatformError(f"{path}: malformed response") from error
        response.epoch = _read_epoch(head)
        return response


def _read_epoch(head: ResponseHead) -> int:
    """Return the epoch of the store, 0 where it states none; raise PlatformError."""
    stated = head.get(names.STORE_EPOCH)
    if stated is None:
        return 0
    if not stated.isdigit() or len(stated) > MAX_EPOCH_DIGITS:
        raise PlatformError(f"the epoch of the store is malformed: {stated[:40]!r}")
    return int(stated)


def _decode_items(items: list[object], epoch: int) -> tuple[Document, ...]:
    """Decode the items of a response; skip malformed ones."""
    decoded = (_decode_item(item, epoch) for item in items)
    return tuple(document for document in decoded if document is not None)


def _decode_item(fields: object, epoch: int) -> Document | None:
    try:
        item = msgspec.convert(fields, StoreItem)
    except msgspec.ValidationError as error:
        log.error(
            "an item of the store has no valid key or revision", extra={"why": str(error)[:200]}
        )
        return None
    value = None if item.tombstone else _decode_value(item.value)
    return Document(item.key, item.revision, value, epoch)


def _decode_value(value: object) -> bytes:
    """Return the bytes of a value, or UNREADABLE if it is not valid base64."""
    if not isinstance(value, str):
        return UNREADABLE
    try:
        return base64.b64decode(value, validate=True)
    except (ValueError, binascii.Error):
        return UNREADABLE
