"""The HTTP server below the callers' and the operators' interfaces: cheroot with bounds.

A connection has a thread only from when the head of a request is whole until it is answered. Until
then it is parked with the connection manager, so that idle and slow connections cost no thread.
"""

from __future__ import annotations

import contextlib
import io
import json
import logging
import math
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any, NamedTuple

from cheroot import wsgi
from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection, HTTPRequest

from cloverway.config.settings import Limits
from cloverway.errors import ANSWERS, Kind, Ran, RequestError

log = logging.getLogger(__name__)

PROBLEM_TYPE = "application/problem+json"
CONNECTION_KEY = "cloverway.connection"
REQUEST_KEY = "cloverway.request"

IDLE_S = 30.0
"""How long a connection may stay open between requests, and one write may block."""
HEAD_TIMEOUT_S = 10.0
"""How long a caller may take for the head of a request, in all."""
LINGER_S = 0.5
"""How long what a refused caller still sends is read and dropped."""
LINGER_BYTES = 64 * 1024
HEAD_END = b"\r\n\r\n"
KEY_NAME = b"idempotency-key:"
RETRY_S = 1.0
BACKLOG = 128
EXPIRE_EVERY_S = 0.2
STOP_S = 5.0

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

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Bounds(NamedTuple):
    """What a listener holds at most. Times are seconds."""

    threads: int
    waiting: int
    """Connections with a request that wait for a thread; more are closed with a 503."""
    idle: int
    """Connections that are open and say nothing; more are closed."""
    header_bytes: int
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_s: float = IDLE_S

    @classmethod
    def from_limits(cls, limits: Limits) -> Bounds:
        """Give the bounds of the callers' listener."""
        return cls(
            threads=limits.threads,
            waiting=limits.threads,
            idle=limits.threads * 8,
            header_bytes=limits.header_bytes,
        )


class Collected(Enum):
    """How much of the head of a request has come."""

    WHOLE = auto()
    PART = auto()
    LATE = auto()
    """A part, and its time is up."""
    LEFT = auto()
    """The caller closed before the head was whole."""


class TimedIO(socket.SocketIO):
    """Reads from a socket until a deadline that holds for all reads together.

    A timeout for each read alone would let a caller that sends one byte at a time hold a thread
    for as long as it likes.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        self.deadline = float("inf")
        self.hold = False
        self.pending = bytearray()
        """What was received before a thread had the connection."""
        self._socket = sock

    def readinto(self, buffer: Any) -> int | None:
        """Read what is there; raise TimeoutError when the deadline has passed."""
        if self.hold:
            return None
        if self.pending:
            return self._take_pending(memoryview(buffer))
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        if left != float("inf"):
            self._socket.settimeout(left)
        return super().readinto(buffer)

    def collect(self, limit: int) -> bool:
        """Receive what is there without waiting; tell whether the caller may send more."""
        if len(self.pending) >= limit or not is_readable(self._socket):
            return True
        data = self._socket.recv(limit - len(self.pending))
        self.pending += data
        return bool(data)

    def _take_pending(self, buffer: memoryview) -> int:
        count = min(len(buffer), len(self.pending))
        buffer[:count] = self.pending[:count]
        del self.pending[:count]
        return count


class TimedReader(io.BufferedReader):
    """The reading half of a connection."""

    bytes_read = 0

    def __init__(self, sock: socket.socket) -> None:
        self.source = TimedIO(sock)
        super().__init__(self.source)

    def has_data(self) -> bool:
        """Tell whether the head of a request has been received, without reading."""
        self._give_back()
        return HEAD_END in self.source.pending

    def _give_back(self) -> None:
        """Put what was read beyond the last request back before the next."""
        self.source.hold = True
        try:
            self.source.pending[:0] = self.read1(len(self.peek(1)))
        finally:
            self.source.hold = False


class Connection(HTTPConnection):
    """A caller's connection."""

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, makefile)
        self.rfile = TimedReader(sock)
        self.drain = False
        self.head_until = float("inf")
        """When the head that has begun to come must be whole."""

    def limit_reading(self, seconds: float | None) -> None:
        """Bound all reads from now on together, or lift the bound."""
        deadline = float("inf") if seconds is None else time.monotonic() + seconds
        self.rfile.source.deadline = deadline
        self.socket.settimeout(self.server.timeout)

    def collect_head(self, bounds: Bounds, now: float) -> Collected:
        """Receive what has come of a head, without waiting."""
        source = self.rfile.source
        try:
            more = source.collect(bounds.header_bytes)
        except OSError:
            more = False
        if HEAD_END in source.pending or len(source.pending) >= bounds.header_bytes:
            self.head_until = float("inf")
            return Collected.WHOLE
        if not more:
            return Collected.LEFT
        if source.pending:
            self.head_until = min(self.head_until, now + bounds.head_timeout_s)
        return Collected.LATE if now >= self.head_until else Collected.PART

    def close(self) -> None:
        """Close, after a caller that was refused midway had a chance to read why."""
        if self.drain:
            self._drain()
        super().close()

    def _drain(self) -> None:
        """Read and drop what still comes, for a short while.

        To close with unread bytes resets the connection, and the caller's system may then drop
        the answer that it has not read yet.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.limit_reading(LINGER_S)
            while self.rfile.read1(LINGER_BYTES):
                continue
        except (OSError, ValueError):
            return


class Request(HTTPRequest):
    """A caller's request, whose early failures get the same form of answer as all others."""

    body_is_read = False

    def parse_request(self) -> None:
        """Read the head within its time."""
        self.conn.limit_reading(self.server.bounds.head_timeout_s)
        super().parse_request()
        self.conn.limit_reading(None)
        if self.ready:
            self._check_head()

    def _check_head(self) -> None:
        """Refuse what two readers may take for two different requests."""
        names = self.inheaders
        if self.response_protocol != "HTTP/1.0" and b"Host" not in names:
            self._reject("HTTP/1.1 needs a Host header")
        if self.chunked_read and b"Content-Length" in names:
            self._reject("send Content-Length or Transfer-Encoding, not both")

    def _reject(self, detail: str) -> None:
        self.ready = False
        self.simple_response("400 Bad Request", detail)

    def simple_response(self, status: Any, msg: str = "") -> None:
        """Answer a request that never reached the application, and close."""
        kind = KINDS_BY_STATUS.get(int(str(status)[:3]), Kind.MALFORMED)
        # Whether the head has an idempotency key is not known: an earlier request may have run.
        error = RequestError(kind, msg, ran=Ran.UNKNOWN)
        self.close_connection = True
        self.sent_headers = True
        self.conn.drain = True
        try:
            self.conn.wfile.write(format_problem(error, ""))
            self.conn.wfile.flush()
        except OSError:
            log.debug("a refused caller had left")


Connection.RequestHandlerClass = Request


class ConnectionGateway(wsgi.Gateway_10):
    """Gives the application its caller's connection."""

    def get_environ(self) -> Any:
        """Add the connection and the request to the environment."""
        environ: dict[str, Any] = super().get_environ()
        # The query goes to the endpoint as it was sent; nobody here reads its fields.
        environ["QUERY_STRING"] = ""
        environ[CONNECTION_KEY] = self.req.conn
        environ[REQUEST_KEY] = self.req
        return environ


class BoundedServer(wsgi.Server):
    """A server that gives a thread only to connections that have something to say."""

    ConnectionClass = Connection

    def __init__(self, address: tuple[str, int], application: WsgiApplication, bounds: Bounds):
        super().__init__(
            address,
            application,
            numthreads=bounds.threads,
            max=bounds.threads,
            request_queue_size=BACKLOG,
            timeout=bounds.idle_s,  # type: ignore[arg-type]
            shutdown_timeout=STOP_S,  # type: ignore[arg-type]
            accepted_queue_size=bounds.waiting,
            accepted_queue_timeout=0,
        )
        self.bounds = bounds
        self.gateway = ConnectionGateway
        self.max_request_header_size = bounds.header_bytes
        self.keep_alive_conn_limit = bounds.idle
        self.expiration_interval = EXPIRE_EVERY_S

    def process_conn(self, conn: Connection) -> None:
        """Hand a connection to a thread once the head of a request is there, or park it.

        Callers that open connections and say nothing, or send a head byte by byte, cost a place
        in a bounded table of parked connections, and no thread.
        """
        match conn.collect_head(self.bounds, time.monotonic()):
            case Collected.WHOLE if self.requests.qsize < self.bounds.waiting:
                super().process_conn(conn)
            case Collected.WHOLE:
                turn_away(conn, Kind.OVERLOADED, "every thread is busy")
            case Collected.LATE:
                turn_away(conn, Kind.TOO_SLOW, "the head did not arrive in time")
            case Collected.PART if self.can_add_keepalive_connection:
                self.put_conn(conn)
            case _:
                conn.close()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log what the server reports."""
        log.log(level, "http server", extra={"report": msg}, exc_info=traceback)


class Listener:
    """One bound server and the thread that accepts for it."""

    def __init__(
        self, address: str, application: WsgiApplication, bounds: Bounds, name: str
    ) -> None:
        self._server = BoundedServer(parse_address(address), application, bounds)
        self._thread = threading.Thread(target=self._serve, name=name, daemon=True)

    @property
    def address(self) -> str:
        """Where it listens, with the port that was bound."""
        host, port = self._server.bind_addr[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self) -> None:
        """Bind and start all threads; raises OSError when the address can't be bound."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close all connections; every thread has returned afterwards, or is forced to."""
        self._server.stop()
        self._thread.join(STOP_S)

    def _serve(self) -> None:
        self._server.serve()


def parse_address(address: str) -> tuple[str, int]:
    """Split an address into its IP number and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_readable(sock: socket.socket) -> bool:
    """Tell whether a read would not block."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def turn_away(conn: Connection, kind: Kind, detail: str) -> None:
    """Answer a request that no thread takes, without waiting for anything, and close."""
    head = conn.rfile.source.pending
    keyless = HEAD_END in head and KEY_NAME not in head.lower()
    retry_after = RETRY_S if ANSWERS[kind].come_back else None
    ran = Ran.NO if keyless else Ran.UNKNOWN
    error = RequestError(kind, detail, ran=ran, retry_after=retry_after)
    with contextlib.suppress(OSError):
        conn.socket.setblocking(False)
        conn.socket.send(format_problem(error, ""))
        conn.socket.shutdown(socket.SHUT_WR)
    conn.close()


def format_problem(error: RequestError, request_id: str) -> bytes:
    """Give a whole HTTP answer for a request that never reached the application."""
    body = json.dumps(error.as_problem(request_id)).encode()
    retry = f"Retry-After: {math.ceil(error.retry_after)}\r\n" if error.retry_after else ""
    head = (
        f"HTTP/1.1 {error.status} {error.kind.replace('_', ' ')}\r\n"
        f"Content-Type: {PROBLEM_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"{retry}Connection: close\r\n\r\n"
    )
    return head.encode("ascii") + body
