"""Answers that an endpoint sends once more, when the next one is due on their connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cloverway.core.calls import Header
from cloverway.serving.http.server import REASONS, Exchange
from cloverway.serving.http.transport import Connection


class LateCopies:
    """The copies that an endpoint still sends, by their connection."""

    def __init__(self) -> None:
        self.sent = 0
        self._pending: dict[Connection, bytes] = {}

    def add(
        self, exchange: Exchange, status: int, headers: Sequence[Header], body: bytes = b""
    ) -> None:
        """Keep a copy of an answer until the next request arrives on its connection."""
        length = (b"Content-Length", b"%d" % len(body))
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b""))]
        lines += [b": ".join(header) for header in (*headers, length)]
        self._pending[exchange.connection] = b"\r\n".join(lines) + b"\r\n\r\n" + body

    async def send(self, exchange: Exchange, pause_s: float) -> None:
        """Send the copy that is kept for the connection of a request, and pause after it."""
        copy = self._pending.pop(exchange.connection, b"")
        if copy:
            self.sent += 1
            exchange.connection.write(copy)
            await asyncio.sleep(pause_s)
