"""Connections to endpoints: one deadline per exchange, pooled only if no bytes are left over."""

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
"""Pooled connections are closed after this many seconds without use.

NAT gateways and firewalls drop the state of idle connections, but rarely that of a connection
that was used seconds ago.
"""
MAX_IDLE_PER_ADDRESS = 64
"""Maximum number of idle connections to one endpoint."""
MIN_TIMEOUT_S = 0.001
MAX_HEADS_BYTES = 256 * 1024
"""Maximum length of the head of an answer together with the interim ones before it, of which
http.client reads any number."""

KEEPALIVE_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 3),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 6_000),
]
"""With these, a connection whose state was dropped on the path fails after about 6 seconds.

Without them, a request that waits for a long answer on such a connection waits until its deadline.
"""

EXCHANGE_ERRORS = (OSError, http.client.HTTPException, urllib3.exceptions.HTTPError)
"""Exceptions that an exchange over a connection may raise."""


class TimedSocket(socket.socket):
    """A socket with one deadline for all reads and writes together, instead of one for each."""

    deadline = float("inf")
    """Monotonic time at which reads and writes fail."""
    read_timeout_s = float("inf")
    """Longest wait for the next bytes, in seconds."""
    send_started = False
    """Whether a byte of the current request may have been sent."""
    response_started = False
    """Whether a byte of the current answer was received."""
    max_bytes = float("inf")
    """How many more bytes may be received into a buffer."""
    nonblocking = False
    """Whether reads return what is available without waiting."""

    @classmethod
    def take_over(cls, other: socket.socket) -> TimedSocket:
        """Take over the file descriptor of another socket, which is detached afterwards."""
        return cls(fileno=other.detach())

    def begin(self, deadline: float, read_timeout_s: float = float("inf")) -> None:
        """Set the deadline and the read timeout of a new exchange."""
        self.deadline = deadline
        self.read_timeout_s = read_timeout_s
        self.send_started = False
        self.response_started = False

    def recv(self, *args: Any) -> bytes:
        """Receive within the deadline and the read timeout; raise TimeoutError."""
        self.settimeout(self._compute_timeout(self.read_timeout_s))
        data = super().recv(*args)
        self.response_started = self.response_started or bool(data)
        return data

    def recv_into(self, *args: Any) -> int:
        """Receive within the deadline and the read timeout; raise TimeoutError."""
        self.settimeout(self._compute_timeout(self.read_timeout_s))
        count = super().recv_into(*args)
        self.max_bytes -= count
        if self.max_bytes < 0:
            raise ConnectionAbortedError("the head of the answer is too long")
        self.response_started = self.response_started or count > 0
        return count

    def sendall(self, *args: Any) -> None:
        """Send all bytes before the deadline; raise TimeoutError."""
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
    """The head of an answer, and the start of its body that was received with it."""

    status: int
    headers: http.client.HTTPMessage
    chunked: bool
    length: int | None
    """Length of the body if it is known; 0 if the status or method allows no body."""
    keep_alive: bool
    """Whether the endpoint keeps the connection open after this answer."""
    buffered: bytes


class EndpointConnection(urllib3.connection.HTTPConnection):
    """Connection to an endpoint; carries one exchange at a time."""

    auto_open = 0
    """Turns off the reconnect of http.client: a connection lost within a request isn't reopened."""
    idle_since = 0.0

    @classmethod
    def from_address(cls, address: tuple[str, int], connect_timeout_s: float) -> EndpointConnection:
        """Create a connection without opening it."""
        host, port = address
        return cls(host, port, timeout=connect_timeout_s, socket_options=KEEPALIVE_OPTIONS)

    @property
    def timed_socket(self) -> TimedSocket:
        """Return the socket of an open connection."""
        assert isinstance(self.sock, TimedSocket)
        return self.sock

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock = TimedSocket.take_over(self.sock)

    def read_head(self) -> ResponseHead:
        """Read the head of the answer and the bytes that http.client buffered after it.

        From here on the socket is read directly: the buffer of http.client is empty, and its
        response object is closed without closing the socket.
        """
        timed_socket = self.timed_socket
        timed_socket.max_bytes = MAX_HEADS_BYTES
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
    """Return the bytes that were buffered after the head, without waiting for more.

    `peek` returns all of a filled buffer. If the buffer is empty it reads once, without blocking,
    and returns nothing if nothing is available.
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
    """Idle connections by address; the most recently used one is reused first."""

    def __init__(self, idle_s: float = MAX_IDLE_S) -> None:
        self._idle_s = idle_s
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], deque[EndpointConnection]] = {}

    def acquire(self, address: tuple[str, int], now: float) -> EndpointConnection | None:
        """Return an idle connection that was used recently, or None.

        A connection that is readable was closed, or holds bytes that belong to no request; it is
        not reused.
        """
        while (found := self._pop(address, now)) is not None:
            if found.is_connected:
                return found
            found.close()
        return None

    def release(self, address: tuple[str, int], connection: EndpointConnection, now: float) -> None:
        """Return a connection to the pool after its last answer was read to the end."""
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
