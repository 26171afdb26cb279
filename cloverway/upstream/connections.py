"""Connections to endpoints: each with one deadline, and pooled only while certainly clean."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections import deque
from typing import Any, NamedTuple

import urllib3.connection
import urllib3.exceptions

IDLE_S = 4.0
"""Pooled connections are dropped after this many seconds without use.

Whatever sits between two ends forgets idle connections; one that was in use a moment ago is
seldom forgotten.
"""
IDLE_PER_ADDRESS = 64
"""Most idle connections to one endpoint."""
SHORTEST_WAIT_S = 0.001

KEEPALIVE_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 6_000),
]
"""A connection that something between the two ends has forgotten fails after about 6 seconds.

Without them, the wait for a long answer on such a connection lasts until the deadline.
"""

CALL_FAULTS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
"""What an exchange over a connection may raise."""


class TimedSocket(socket.socket):
    """A socket whose reads and writes keep to one deadline together, not one each."""

    until = float("inf")
    """Monotonic time after which nothing is waited for."""
    silence_s = float("inf")
    """Longest wait for the next byte, in seconds."""
    started = False
    """Whether a byte of the present request may have left."""
    received = False
    """Whether a byte of the present answer came."""
    polling = False
    """Whether reads give what is there and wait for nothing."""

    @classmethod
    def take(cls, other: socket.socket) -> TimedSocket:
        """Take over the descriptor of another socket, which is empty afterwards."""
        return cls(fileno=other.detach())

    def begin(self, until: float, silence_s: float = float("inf")) -> None:
        """Set the bounds of a new exchange."""
        self.until = until
        self.silence_s = silence_s
        self.started = False
        self.received = False

    def recv(self, *args: Any) -> bytes:
        """Receive within the bounds; raise TimeoutError."""
        self.settimeout(self._find_wait(self.silence_s))
        data = super().recv(*args)
        self.received = self.received or bool(data)
        return data

    def recv_into(self, *args: Any) -> int:
        """Receive within the bounds; raise TimeoutError."""
        self.settimeout(self._find_wait(self.silence_s))
        count = super().recv_into(*args)
        self.received = self.received or count > 0
        return count

    def sendall(self, *args: Any) -> None:
        """Send all before the deadline; raise TimeoutError."""
        self.settimeout(self._find_wait(float("inf")))
        self.started = True
        super().sendall(*args)

    def _find_wait(self, longest: float) -> float | None:
        if self.polling:
            return 0.0
        left = self.until - time.monotonic()
        if left <= 0:
            raise TimeoutError("the deadline has passed")
        wait = min(left, longest)
        return None if wait == float("inf") else max(wait, SHORTEST_WAIT_S)


class Head(NamedTuple):
    """The head of an answer, and what was received behind it."""

    status: int
    headers: http.client.HTTPMessage
    chunked: bool
    length: int | None
    """Length of the body where it is known; 0 where there is none by the status or method."""
    reusable: bool
    """Whether the endpoint keeps the connection open after this answer."""
    rest: bytes


class Connection(urllib3.connection.HTTPConnection):
    """One connection to an endpoint; carries one exchange at a time."""

    auto_open = 0
    """A connection that was lost is never opened again unasked, in the midst of a request."""
    idle_since = 0.0

    @classmethod
    def from_address(cls, address: tuple[str, int], connect_timeout_s: float) -> Connection:
        """Make a connection that is not open yet."""
        host, port = address
        return cls(host, port, timeout=connect_timeout_s, socket_options=KEEPALIVE_OPTIONS)

    @property
    def timed(self) -> TimedSocket:
        """The socket of an open connection."""
        assert isinstance(self.sock, TimedSocket)
        return self.sock

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = TimedSocket.take(self.sock)

    def read_head(self) -> Head:
        """Read the head of the answer and take along what http.client has buffered behind it.

        From here on the socket is read directly: http.client's buffer is empty, and its
        response object is closed without closing the socket.
        """
        timed = self.timed
        response = http.client.HTTPConnection.getresponse(self)
        rest = _drain(timed, response)
        self.sock = TimedSocket.take(timed)
        self.sock.begin(timed.until, timed.silence_s)
        self.sock.started = self.sock.received = True
        head = Head(
            response.status,
            response.headers,
            bool(response.chunked),
            response.length,
            not response.will_close,
            rest,
        )
        response.close()
        return head


def _drain(timed: TimedSocket, response: http.client.HTTPResponse) -> bytes:
    """Give the bytes that were read behind the head, without waiting for more.

    `peek` gives the whole of a filled buffer. When the buffer is empty it reads once, and the
    socket does not wait then: where nothing has come, it gives nothing.
    """
    reader: Any = response.fp
    if reader is None:
        return b""
    timed.polling = True
    try:
        buffered: bytes = reader.peek()
        return buffered
    finally:
        timed.polling = False


class ConnectionPool:
    """Idle connections by address; the connection used last goes out first."""

    def __init__(self, idle_s: float = IDLE_S) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[Connection]] = {}

    def take(self, address: tuple[str, int], now: float) -> Connection | None:
        """Give an idle connection that was used recently, or None.

        One with something to read has ended, or holds bytes of no request of ours.
        """
        while (found := self._pop(address, now)) is not None:
            if found.is_connected:
                return found
            found.close()
        return None

    def put(self, address: tuple[str, int], connection: Connection, now: float) -> None:
        """Keep a connection whose last answer was read to its end."""
        connection.idle_since = now
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(connection)
            dropped = idle.popleft() if len(idle) > IDLE_PER_ADDRESS else None
        if dropped is not None:
            dropped.close()

    def _pop(self, address: tuple[str, int], now: float) -> Connection | None:
        expired: list[Connection] = []
        with self._lock:
            idle = self._idle.get(address)
            while idle and idle[0].idle_since + self._idle_s <= now:
                expired.append(idle.popleft())
            found = idle.pop() if idle else None
        for connection in expired:
            connection.close()
        return found

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [connection for kept in self._idle.values() for connection in kept]
            self._idle.clear()
        for connection in idle:
            connection.close()
