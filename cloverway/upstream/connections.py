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

MAX_IDLE_S = 4.0
"""Pooled connections are dropped after this many seconds without use.

Whatever sits between two ends forgets idle connections; one that was in use a moment ago is
seldom forgotten.
"""
MAX_IDLE_PER_ADDRESS = 64
"""Most idle connections to one endpoint."""
MIN_TIMEOUT_S = 0.001

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

EXCHANGE_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
"""What an exchange over a connection may raise."""


class TimedSocket(socket.socket):
    """A socket whose reads and writes keep to one deadline together, not one each."""

    deadline = float("inf")
    """Monotonic time after which nothing is waited for."""
    read_timeout_s = float("inf")
    """Longest wait for the next byte, in seconds."""
    send_started = False
    """Whether a byte of the present request may have left."""
    response_started = False
    """Whether a byte of the present answer came."""
    nonblocking = False
    """Whether reads give what is there and wait for nothing."""

    @classmethod
    def take_over(cls, other: socket.socket) -> TimedSocket:
        """Take over the descriptor of another socket, which is empty afterwards."""
        return cls(fileno=other.detach())

    def begin(self, deadline: float, read_timeout_s: float = float("inf")) -> None:
        """Set the bounds of a new exchange."""
        self.deadline = deadline
        self.read_timeout_s = read_timeout_s
        self.send_started = False
        self.response_started = False

    def recv(self, *args: Any) -> bytes:
        """Receive within the bounds; raise TimeoutError."""
        self.settimeout(self._compute_timeout(self.read_timeout_s))
        data = super().recv(*args)
        self.response_started = self.response_started or bool(data)
        return data

    def recv_into(self, *args: Any) -> int:
        """Receive within the bounds; raise TimeoutError."""
        self.settimeout(self._compute_timeout(self.read_timeout_s))
        count = super().recv_into(*args)
        self.response_started = self.response_started or count > 0
        return count

    def sendall(self, *args: Any) -> None:
        """Send all before the deadline; raise TimeoutError."""
        self.settimeout(self._compute_timeout(float("inf")))
        self.send_started = True
        super().sendall(*args)

    def _compute_timeout(self, max_timeout_s: float) -> float | None:
        if self.nonblocking:
            return 0.0
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the deadline has passed")
        timeout_s = min(remaining_s, max_timeout_s)
        return None if timeout_s == float("inf") else max(timeout_s, MIN_TIMEOUT_S)


class ResponseHead(NamedTuple):
    """The head of an answer, and what was received behind it."""

    status: int
    headers: http.client.HTTPMessage
    chunked: bool
    length: int | None
    """Length of the body where it is known; 0 where there is none by the status or method."""
    keep_alive: bool
    """Whether the endpoint keeps the connection open after this answer."""
    buffered: bytes


class EndpointConnection(urllib3.connection.HTTPConnection):
    """One connection to an endpoint; carries one exchange at a time."""

    auto_open = 0
    """A connection that was lost is never opened again unasked, in the midst of a request."""
    idle_since = 0.0

    @classmethod
    def from_address(cls, address: tuple[str, int], connect_timeout_s: float) -> EndpointConnection:
        """Make a connection that is not open yet."""
        host, port = address
        return cls(host, port, timeout=connect_timeout_s, socket_options=KEEPALIVE_OPTIONS)

    @property
    def timed_socket(self) -> TimedSocket:
        """The socket of an open connection."""
        assert isinstance(self.sock, TimedSocket)
        return self.sock

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = TimedSocket.take_over(self.sock)

    def read_head(self) -> ResponseHead:
        """Read the head of the answer and take along what http.client has buffered behind it.

        From here on the socket is read directly: http.client's buffer is empty, and its
        response object is closed without closing the socket.
        """
        timed_socket = self.timed_socket
        response = http.client.HTTPConnection.getresponse(self)
        buffered = _take_buffered(timed_socket, response)
        self.sock = TimedSocket.take_over(timed_socket)
        self.sock.begin(timed_socket.deadline, timed_socket.read_timeout_s)
        self.sock.send_started = self.sock.response_started = True
        head = ResponseHead(
            response.status,
            response.headers,
            bool(response.chunked),
            response.length,
            not response.will_close,
            buffered,
        )
        response.close()
        return head


def _take_buffered(timed_socket: TimedSocket, response: http.client.HTTPResponse) -> bytes:
    """Give the bytes that were read behind the head, without waiting for more.

    `peek` gives the whole of a filled buffer. When the buffer is empty it reads once, and the
    socket does not wait then: where nothing has come, it gives nothing.
    """
    reader: Any = response.fp
    if reader is None:
        return b""
    timed_socket.nonblocking = True
    try:
        buffered: bytes = reader.peek()
        return buffered
    finally:
        timed_socket.nonblocking = False


class ConnectionPool:
    """Idle connections by address; the connection used last goes out first."""

    def __init__(self, idle_s: float = MAX_IDLE_S) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[EndpointConnection]] = {}

    def acquire(self, address: tuple[str, int], now: float) -> EndpointConnection | None:
        """Give an idle connection that was used recently, or None.

        One with something to read has ended, or holds bytes of no request of ours.
        """
        while (found := self._pop(address, now)) is not None:
            if found.is_connected:
                return found
            found.close()
        return None

    def release(self, address: tuple[str, int], connection: EndpointConnection, now: float) -> None:
        """Keep a connection whose last answer was read to its end."""
        connection.idle_since = now
        with self._lock:
            idle = self._idle.setdefault(address, deque())
            idle.append(connection)
            dropped = idle.popleft() if len(idle) > MAX_IDLE_PER_ADDRESS else None
        if dropped is not None:
            dropped.close()

    def _pop(self, address: tuple[str, int], now: float) -> EndpointConnection | None:
        expired: list[EndpointConnection] = []
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
