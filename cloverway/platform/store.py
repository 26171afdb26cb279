"""The client of the platform's store: pages of a range, and a watch from a revision."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
from typing import Any
from urllib.parse import urlencode

import h11

from cloverway.core.deployment import Document, Snapshot
from cloverway.errors import PlatformError
from cloverway.platform.documents import PREFIXES
from cloverway.serving.client import AnswerError, ConnectError, Pool, fetch
from cloverway.serving.ports import HistoryGoneError, StoreBusyError

ANSWER_S = 0.9
"""Time for an answer beyond the time that a watch waits. The store answers in milliseconds; when it
is slow, sixty times as long."""
ANSWER_LIMIT = 64 * 1024 * 1024
MOST_PAGES = 10_000
EVERYTHING = ""
"""The prefix of all keys: one watch tells of operators' and endpoints' writes alike, and each watch
that waits is paid for."""

Fields = dict[str, Any]


class PlatformStore:
    """Reads the store over kept connections."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = Pool()

    async def read_all(self) -> Snapshot:
        """Give all documents; raise PlatformError.

        Pages are no snapshot. The revision is that of the first page, so that the watch that
        follows tells again of whatever was written while the later pages were read. All prefixes
        are read at once: a host far from the store is ready only with them, and each call takes
        a trip of 160 ms.
        """
        parts = await asyncio.gather(*(self._read_prefix(prefix) for prefix in PREFIXES))
        documents = tuple(document for part in parts for document in part.documents)
        return Snapshot(min(part.revision for part in parts), documents, True)

    async def watch(self, after: int, wait_s: float) -> Snapshot:
        """Give what changed after a revision; raise PlatformError."""
        wait_ms = int(wait_s * 1000)
        query = {"prefix": EVERYTHING, "after": str(after), "waitMs": str(wait_ms)}
        answer = await self._call("/kv-watch", query, wait_s)
        documents = tuple(_decode_item(item) for item in answer["events"])
        return Snapshot(max(after, int(answer["at"])), documents, False)

    async def _read_prefix(self, prefix: str) -> Snapshot:
        documents: list[Document] = []
        revisions: list[int] = []
        after = ""
        for _ in range(MOST_PAGES):
            answer = await self._call("/kv-range", {"prefix": prefix, "after": after}, 0.0)
            revisions.append(int(answer["at"]))
            items = answer["items"]
            documents += [_decode_item(item) for item in items]
            if not answer.get("hasMore") or not items:
                break
            after = items[-1]["key"]
        return Snapshot(min(revisions), tuple(documents), True)

    async def _call(self, path: str, query: dict[str, str], wait_s: float) -> Fields:
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
                timeout_s=wait_s + ANSWER_S,
                limit=ANSWER_LIMIT,
            )
        except (ConnectError, AnswerError) as error:
            raise PlatformError(f"{path}: {error}") from error
        if head.status == 410:
            raise HistoryGoneError(path)
        if head.status == 429:
            raise StoreBusyError(path)
        if head.status != 200:
            raise PlatformError(f"{path}: status {head.status}")
        try:
            answer: Fields = json.loads(body)
            answer["at"]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(f"{path}: an answer that can't be read") from error
        return answer


def _decode_item(item: Fields) -> Document:
    try:
        if item.get("tombstone"):
            return Document(item["key"], int(item["revision"]), None)
        value = base64.b64decode(item["value"], validate=True)
        return Document(item["key"], int(item["revision"]), value)
    except (KeyError, ValueError, TypeError, binascii.Error) as error:
        raise PlatformError(f"an item that can't be read: {error!r}") from error
