"""One TCP connection on the event loop: bytes kept until they are read, with back-pressure."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from cloverway.addresses import format_address, split_address
from cloverway.serving.clock import read_clock
from cloverway.serving.early_sockets import LISTEN_BACKLOG

READ_AHEAD_BYTES = 128 * 1024
"""Bytes that are received before they are asked for; then the sender is made to wait."""
USER_TIMEOUT_MS = 10_000
"""Sent bytes that are not acknowledged for this long end the connection: behind a cut nothing
else would ever say so."""
SEND_TIMEOUT_MS = 3_000
"""The same for connections that this host opened: what takes longer to arrive is late anyway."""
KEEPALIVE_S = 5
"""Time without traffic after which the other end is asked whether it is there."""
KEEPALIVE_EVERY_S = 1
KEEPALIVE_TRIES = 3


class Connection(asyncio.Protocol):
    """A connection that one task reads and writes."""

    def __init__(
        self, on_made: Callable[[Connection], Any] | None = None, *, is_brief: bool = False
    ) -> None:
        loop = asyncio.get_running_loop()
        self._on_made = on_made
        self._is_brief = is_brief
        self._received = bytearray()
        self._eof = False
        self._error: Exception | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._paused = False
        self.lost: asyncio.Future[None] = loop.create_future()
        """Done when the other end has closed, or the connection broke."""
        self.opened_at = read_clock()
        """When it was made; whoever answers on it was there then."""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self.transport = cast(asyncio.Transport, transport)
        if not self._is_brief:
            _watch_other_end(transport.get_extra_info("socket"))
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are read."""
        self._received += data
        if len(self._received) > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the other end has sent its last byte; writing may go on."""
        self._eof = True
        self._note_lost()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._error = exc
        self._eof = True
        self._note_lost()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    @property
    def has_input(self) -> bool:
        """Whether bytes, or the end, are there to be read."""
        return bool(self._received) or self._eof

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and have not left yet."""
        return self.transport.get_write_buffer_size()

    async def receive(self) -> bytes:
        """Give what was received, waiting for something; empty at the end.

        Raises ConnectionError when the connection broke: what came before is not all.
        """
        while not self._received:
            if self._error is not None:
                raise ConnectionResetError(str(self._error)) from self._error
            if self._eof:
                return b""
            self._wakeup = asyncio.get_running_loop().create_future()
            await self._wakeup
        data = bytes(self._received)
        self._received.clear()
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until they can be sent."""
        if data and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until what was written is mostly on its way."""
        if self._writable is not None:
            await self._writable

    def close(self) -> None:
        """Close when all that was written is sent."""
        self.transport.close()

    def abort(self) -> None:
        """Close at once, dropping what was not sent."""
        self.transport.abort()

    def _note_lost(self) -> None:
        if not self.lost.done():
            self.lost.set_result(None)
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _watch_other_end(sock: socket.socket) -> None:
    """Let the system find out when the other end is gone without a word."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_TRIES)


async def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection; raise OSError, which TimeoutError is."""
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(Connection, host, port)
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SEND_TIMEOUT_MS)
    return connection


async def listen(
    address: str,
    on_made: Callable[[Connection], Any],
    early: socket.socket | None = None,
    *,
    is_brief: bool = False,
) -> asyncio.Server:
    """Accept connections at an address; raise OSError when it can't be bound.

    `early` is a socket that listens there already. Connections that are brief carry one small
    question: they end by themselves soon, and nobody watches whether the other end is there. That
    saves five calls to the system of the twenty that such a question takes.
    """

    def make() -> Connection:
        return Connection(on_made, is_brief=is_brief)

    loop = asyncio.get_running_loop()
    if early is not None and format_address(early.getsockname()) == address:
        return await loop.create_server(make, sock=early, backlog=LISTEN_BACKLOG)
    host, port = split_address(address)
    return await loop.create_server(make, host, port, backlog=LISTEN_BACKLOG, reuse_address=True)
