"""A caller's connection: receives heads without blocking, and limits reads and writes in time."""

from __future__ import annotations

import io
import json
import logging
import math
import secrets
import select
import socket
import time
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import Any, NamedTuple

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest

from cloverway.errors import Kind, Ran, RequestError

log = logging.getLogger(__name__)

PROBLEM_TYPE = "application/problem+json"
HTTP_1_0 = "HTTP/1.0"
HEAD_END = b"\r\n\r\n"
MIN_WRITE_BYTES_PER_S = 64 * 1024
"""A caller that reads its answer more slowly than this, on average, is disconnected."""
WRITE_BYTES = 64 * 1024
SLOW_READ_AFTER_S = 0.25
"""A read that still waits this many seconds after a time limit was set counts as slow."""
LINGER_S = 1.0
"""How long the input of a rejected caller is discarded before closing, in seconds."""
LINGER_BYTES = 64 * 1024
REQUEST_ID_BYTES = 12

KINDS_BY_STATUS = {
    400: Kind.MALFORMED,
    404: Kind.NOT_FOUND,
    405: Kind.METHOD_NOT_ALLOWED,
    408: Kind.TOO_SLOW,
    413: Kind.TOO_LARGE,
    414: Kind.TOO_LARGE,
    500: Kind.INTERNAL,
    503: Kind.OVERLOADED,
}


class EarlyRejection(NamedTuple):
    """A request that was rejected before it reached the application."""

    request_id: str
    kind: Kind


OnEarlyRejection = Callable[[EarlyRejection], None]


class HeadLimits(NamedTuple):
    """Limits for the head of a request."""

    max_bytes: int
    timeout_s: float
    """Seconds for the complete head, from its first byte."""


class HeadState(Enum):
    """State of the head of a request."""

    COMPLETE = auto()
    INCOMPLETE = auto()
    TIMED_OUT = auto()
    """Incomplete, and past its deadline."""
    DISCONNECTED = auto()
    """Incomplete, and the caller has closed the connection."""


class TimedIO(socket.SocketIO):
    """Reads from a socket, with one deadline for all reads together.

    With a timeout for each read alone, a caller that sends one byte at a time could occupy a
    thread indefinitely.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.deadline = float("inf")
        self.detached = False
        """Whether reads return nothing and leave the socket alone."""
        self.prefetched = bytearray()
        """Bytes received before the connection was passed to a thread."""
        self.on_slow: Callable[[], object] | None = None
        """Called once if a read waits at or after `slow_after`; may raise an exception."""
        self.slow_after = 0.0
        """Monotonic time from which on a read that has to wait counts as slow."""
        self._socket = sock

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes; raise TimeoutError if the deadline passes."""
        if self.detached:
            return None
        if self.prefetched:
            return self._take_prefetched(memoryview(buffer))
        self._detect_slow_read()
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("timed out")
        if remaining_s != float("inf"):
            self._socket.settimeout(remaining_s)
        return super().readinto(buffer)

    def prefetch(self, limit: int) -> bool:
        """Receive available bytes without blocking; return whether the caller may send more."""
        if len(self.prefetched) >= limit or not is_readable(self._socket):
            return True
        data = self._socket.recv(limit - len(self.prefetched))
        self.prefetched += data
        return bool(data)

    def _detect_slow_read(self) -> None:
        if self.on_slow is None:
            return
        wait_s = max(0.0, self.slow_after - time.monotonic())
        if not is_readable(self._socket, wait_s):
            on_slow, self.on_slow = self.on_slow, None
            on_slow()

    def _take_prefetched(self, buffer: memoryview) -> int:
        count = min(len(buffer), len(self.prefetched))
        buffer[:count] = self.prefetched[:count]
        del self.prefetched[:count]
        return count


class TimedReader(io.BufferedReader):
    """Buffered reader of a connection."""

    bytes_read = 0

    def __init__(self, sock: socket.socket) -> None:
        self.source = TimedIO(sock)
        super().__init__(self.source)

    def has_data(self) -> bool:
        """Return whether a complete head was received already; does not read from the socket."""
        self._unread_buffered()
        return HEAD_END in self.source.prefetched

    def _unread_buffered(self) -> None:
        """Move bytes that were buffered beyond the last request back to `prefetched`."""
        self.source.detached = True
        try:
            self.source.prefetched[:0] = self.read1(len(self.peek(1)))
        finally:
            self.source.detached = False


class TimedWriter(io.RawIOBase):
    """Writer of a connection, with one deadline for all bytes of a write.

    Without it, a caller that reads one byte at a time could occupy a thread indefinitely.
    """

    bytes_written = 0

    def __init__(self, sock: socket.socket, timeout_s: float) -> None:
        super().__init__()
        self._socket = sock
        self._timeout_s = timeout_s

    def writable(self) -> bool:
        """Return True."""
        return True

    def write(self, data: Any) -> int:
        """Send all bytes; raise TimeoutError if the caller reads nothing, or too slowly."""
        deadline = time.monotonic() + self._timeout_s + len(data) / MIN_WRITE_BYTES_PER_S
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            remaining_s = min(self._timeout_s, deadline - time.monotonic())
            if remaining_s <= 0:
                raise TimeoutError("timed out")
            self._socket.settimeout(remaining_s)
            self._socket.sendall(view[start : start + WRITE_BYTES])
        return len(data)


class CallerConnection(HTTPConnection):
    """Connection of a caller."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self.rfile = TimedReader(sock)
        self.wfile = TimedWriter(sock, server.timeout)
        self.linger = False
        """Whether to discard input before closing, so that the caller can read its answer."""
        self.had_request = False
        """Whether the complete head of a request was received."""
        self.head_deadline = float("inf")
        """Monotonic time by which the head must be complete; infinite before its first byte."""
        self.head_received_at = float("-inf")
        """Monotonic time at which the head of the last request was complete."""

    def limit_reading(
        self, timeout_s: float | None, on_slow: Callable[[], object] | None = None
    ) -> None:
        """Set one time limit in seconds for all reads from now on, or remove it.

        `on_slow` is called once if a read still has to wait after SLOW_READ_AFTER_S.
        """
        now = time.monotonic()
        source = self.rfile.source
        source.deadline = float("inf") if timeout_s is None else now + timeout_s
        source.on_slow = on_slow
        source.slow_after = now + SLOW_READ_AFTER_S
        self.socket.settimeout(self.server.timeout)

    def prefetch_head(self, limits: HeadLimits, now: float) -> HeadState:
        """Receive available bytes of a head without blocking, and return its state."""
        source = self.rfile.source
        try:
            may_send_more = source.prefetch(limits.max_bytes)
        except OSError:
            may_send_more = False
        if HEAD_END in source.prefetched or len(source.prefetched) >= limits.max_bytes:
            self.head_deadline = float("inf")
            self.head_received_at = now
            self.had_request = True
            return HeadState.COMPLETE
        if not may_send_more:
            return HeadState.DISCONNECTED
        if source.prefetched:
            self.head_deadline = min(self.head_deadline, now + limits.timeout_s)
        return HeadState.TIMED_OUT if now >= self.head_deadline else HeadState.INCOMPLETE

    def communicate(self) -> bool:
        """Answer one request; return whether the connection stays open."""
        try:
            return bool(super().communicate())
        finally:
            self.server.request_counter.add(-1)

    def close(self) -> None:
        """Close the connection, after a delay if a rejected caller has yet to read its answer."""
        self.server.on_connection_closed(self)
        if self.linger:
            self._discard_input()
        super().close()

    def _discard_input(self) -> None:
        """Read and discard input for up to LINGER_S.

        Closing a socket with unread input resets the connection, and the caller's system may then
        drop the answer before the caller has read it.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.limit_reading(LINGER_S)
            while self.rfile.read1(LINGER_BYTES):
                continue
        except (OSError, ValueError):
            return


class CallerRequest(HTTPRequest):
    """HTTP request of a caller; a request that can't be parsed also gets a problem document."""

    body_is_read = False

    def parse_request(self) -> None:
        """Parse the head within its time limit."""
        self.conn.limit_reading(self.server.head_limits.timeout_s)
        super().parse_request()
        self.conn.limit_reading(None)
        if self.ready:
            self._check_head()

    def _check_head(self) -> None:
        """Reject ambiguous heads, which different HTTP parsers may interpret differently."""
        headers = self.inheaders
        if self.response_protocol != HTTP_1_0 and b"Host" not in headers:
            self._reject("HTTP/1.1 requires a Host header")
        if self.chunked_read and b"Content-Length" in headers:
            self._reject("send Content-Length or Transfer-Encoding, not both")

    def _reject(self, detail: str) -> None:
        self.ready = False
        self.simple_response("400 Bad Request", detail)

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Answer a request that did not reach the application, and close the connection."""
        kind = KINDS_BY_STATUS.get(int(str(status)[:3]), Kind.MALFORMED)
        # The head may hold an idempotency key, and an earlier request with that key may have run.
        error = RequestError(kind, msg, ran=Ran.UNKNOWN)
        request_id = make_request_id()
        self.close_connection = True
        self.sent_headers = True
        self.conn.linger = True
        try:
            self.conn.wfile.write(format_problem(error, request_id))
            self.conn.wfile.flush()
        except OSError:
            log.debug("rejected caller disconnected before it was answered")
        self.server.on_early_rejection(EarlyRejection(request_id, kind))


CallerConnection.RequestHandlerClass = CallerRequest


def is_readable(sock: socket.socket, wait_s: float = 0.0) -> bool:
    """Return whether the socket becomes readable within `wait_s` seconds."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(wait_s * 1000))


REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


def make_request_id() -> str:
    """Return a new request id, by which a request is found in the logs."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def format_problem(error: RequestError, request_id: str) -> bytes:
    """Return a complete HTTP response for a request that did not reach the application."""
    body = json.dumps(error.as_problem(request_id)).encode()
    retry = f"Retry-After: {math.ceil(error.retry_after)}\r\n" if error.retry_after else ""
    head = (
        f"HTTP/1.1 {error.status} {REASON_PHRASES.get(error.status, 'Failed')}\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"Content-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{retry}Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
