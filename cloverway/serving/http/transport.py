"""A TCP connection on the event loop, with buffered input and back-pressure."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, TypeVar, cast

from cloverway.addresses import format_address, split_address
from cloverway.serving.clock import read_clock
from cloverway.serving.early_sockets import LISTEN_BACKLOG
from cloverway.serving.timeouts import limit_running_time

READ_AHEAD_BYTES = 128 * 1024
"""Bytes that are buffered ahead of the reader; above this the sender has to wait."""
USER_TIMEOUT_MS = 10_000
"""A connection ends if sent bytes are not acknowledged within this time. In a network partition
nothing else reports the loss."""
OUTGOING_USER_TIMEOUT_MS = 3_000
"""The same for connections that this host opened: what takes longer to arrive is late anyway."""
KEEPALIVE_IDLE_S = 5
"""Time without traffic after which keep-alive probes are sent."""
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


class Connection(asyncio.Protocol):
    """A connection that one task reads and writes."""

    def __init__(
        self,
        on_connected: Callable[[Connection], Any] | None = None,
        *,
        is_short_lived: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._on_connected = on_connected
        self._is_short_lived = is_short_lived
        self._received = bytearray()
        self._eof = False
        self._error: Exception | None = None
        self._wakeup: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._reading_paused = False
        self.take_input: Callable[[bytes], bytes] | None = None
        """Takes what is not for the reader from received bytes, and returns the rest."""
        self.lost: asyncio.Future[None] = loop.create_future()
        """Done when the peer has closed the connection, or it broke."""
        self.opened_at = read_clock()
        """When it was opened. A peer that answers on it was running at that time."""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        if not self._is_short_lived:
            _enable_liveness_checks(transport.get_extra_info("socket"))
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read."""
        if self.take_input is not None:
            data = self.take_input(data)
            if not data:
                return
        self._received += data
        if len(self._received) > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record that the peer has sent its last byte; writing may continue."""
        self._eof = True
        self._mark_lost()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        self._error = exc
        self._eof = True
        self._mark_lost()
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let writers continue."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    @property
    def has_input(self) -> bool:
        """Whether bytes, or the end of the input, can be read."""
        return bool(self._received) or self._eof

    @property
    def peer_address(self) -> str:
        """The address of the other end, or an empty string if it is not known."""
        peer = self.transport.get_extra_info("peername")
        return format_address(peer) if peer else ""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and are still in the send buffer."""
        return self.transport.get_write_buffer_size()

    async def receive(self) -> bytes:
        """Return the buffered input, waiting for some; empty at the end of the input.

        Raises ConnectionError if the connection broke, since the input is then incomplete.
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
        if self._reading_paused:
            self._reading_paused = False
            self.transport.resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until they can be sent."""
        if data and not self.transport.is_closing():
            self.transport.write(data)

    @property
    def is_congested(self) -> bool:
        """Whether writers have to wait, since the other end reads slowly."""
        return self._writable is not None

    async def drain(self) -> None:
        """Wait until most of the written bytes have left the buffer."""
        if self._writable is not None:
            await self._writable

    def close(self) -> None:
        """Close the connection once the send buffer is empty."""
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, discarding the send buffer."""
        self.transport.abort()

    def _mark_lost(self) -> None:
        if not self.lost.done():
            self.lost.set_result(None)
        self._wake()

    def _wake(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


C = TypeVar("C", bound=Connection)


def _enable_liveness_checks(sock: socket.socket) -> None:
    """Have the kernel detect a peer that disappeared without closing the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(address: str, timeout_s: float, make: Callable[[], C]) -> C:
    """Open a connection that `make` creates; raise OSError, also TimeoutError, a subclass."""
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    async with limit_running_time(timeout_s):
        _, connection = await loop.create_connection(make, host, port)
    sock = connection.transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, OUTGOING_USER_TIMEOUT_MS)
    return connection


async def listen(
    address: str,
    on_connected: Callable[[Connection], Any],
    bound_socket: socket.socket | None = None,
    *,
    is_short_lived: bool = False,
) -> asyncio.Server:
    """Accept connections at an address; raise OSError if it cannot be bound.

    `bound_socket` is used if it listens at the address already. Short-lived connections carry one
    small request and end soon by themselves, so the kernel does not check whether their peer is
    alive. That saves five of the twenty system calls of such a request.
    """

    def make() -> Connection:
        return Connection(on_connected, is_short_lived=is_short_lived)

    loop = asyncio.get_running_loop()
    if bound_socket is not None and format_address(bound_socket.getsockname()) == address:
        return await loop.create_server(make, sock=bound_socket, backlog=LISTEN_BACKLOG)
    host, port = split_address(address)
    return await loop.create_server(make, host, port, backlog=LISTEN_BACKLOG, reuse_address=True)
