"""HTTP server of the interfaces for callers and operators: cheroot with resource limits.

A connection occupies a thread only from the complete head of a request until its answer. At other
times it is parked in the connection manager of cheroot, so that idle connections and incomplete
heads occupy no thread.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from cheroot import wsgi

from cloverway.addresses import format_address, split_address
from cloverway.config.settings import Limits
from cloverway.entry.caller_connection import (
    HEAD_END,
    CallerConnection,
    EarlyRejection,
    HeadLimits,
    HeadState,
    OnEarlyRejection,
    format_problem,
    make_request_id,
)
from cloverway.errors import ERROR_ANSWERS, Kind, Ran, RequestError

log = logging.getLogger(__name__)

CONNECTION_KEY = "cloverway.connection"
REQUEST_KEY = "cloverway.request"

IDLE_TIMEOUT_S = 30.0
"""Maximum idle time between requests, and maximum time that a write may block, in seconds."""
HEAD_TIMEOUT_S = 10.0
"""How long a caller may take to send the complete head of a request, in seconds."""
KEY_HEADER_PREFIX = b"idempotency-key:"
RETRY_AFTER_S = 1.0
ACCEPT_BACKLOG = 128
EXPIRY_INTERVAL_S = 0.2
STOP_TIMEOUT_S = 5.0

WsgiApplication = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class ListenerLimits(NamedTuple):
    """Limits of a listener. Times are seconds."""

    threads: int
    queued: int
    """Requests that wait for a thread; more are rejected with 429 (overloaded)."""
    idle: int
    """Open connections without a request; more are closed."""
    header_bytes: int
    head_timeout_s: float = HEAD_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S

    @classmethod
    def from_limits(cls, limits: Limits) -> ListenerLimits:
        """Return the limits of the listener for callers."""
        return cls(
            threads=limits.threads,
            queued=limits.threads,
            idle=limits.threads * 8,
            header_bytes=limits.header_bytes,
        )


class RequestCounter:
    """Counts requests between their complete head and their answer.

    Requests that wait for a thread are included, because a leaving host must not close them.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.value = 0

    def add(self, amount: int) -> None:
        """Add to the count, or subtract from it by a negative amount."""
        with self._lock:
            self.value += amount
            assert self.value >= 0, "a request ended twice"


class SilentConnections:
    """Parked connections that have not sent any request yet, oldest first.

    At the limit of idle connections, the oldest of these is closed. Otherwise a client that opens
    many connections and sends nothing could lock out all new callers.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: dict[CallerConnection, None] = {}

    def add(self, conn: CallerConnection) -> None:
        """Add a parked connection, unless it had a request before."""
        if not conn.had_request:
            with self._lock:
                self._connections[conn] = None

    def discard(self, conn: CallerConnection) -> None:
        """Remove a connection that is no longer parked."""
        with self._lock:
            self._connections.pop(conn, None)

    def drop_oldest(self) -> bool:
        """Shut down the oldest connection; return whether there was one.

        The shutdown wakes the connection manager, which detects the end of input and closes it.
        """
        with self._lock:
            oldest = next(iter(self._connections), None)
            if oldest is None:
                return False
            del self._connections[oldest]
            with contextlib.suppress(OSError):
                oldest.socket.shutdown(socket.SHUT_RDWR)
        return True


class ConnectionGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the caller's connection to the application."""

    def get_environ(self) -> Any:
        """Add the connection and the request to the environment."""
        environ: dict[str, Any] = super().get_environ()
        # The query is forwarded to the endpoint verbatim and never parsed here.
        environ["QUERY_STRING"] = ""
        environ[CONNECTION_KEY] = self.req.conn
        environ[REQUEST_KEY] = self.req
        return environ


class BoundedServer(wsgi.Server):
    """Server that gives a thread only to connections with a complete request head."""

    ConnectionClass = CallerConnection

    def __init__(
        self,
        address: tuple[str, int],
        application: WsgiApplication,
        limits: ListenerLimits,
        on_early_rejection: OnEarlyRejection,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=limits.threads,
            max=limits.threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=limits.idle_timeout_s,  # type: ignore[arg-type]
            shutdown_timeout=STOP_TIMEOUT_S,  # type: ignore[arg-type]
        )
        self.limits = limits
        self.head_limits = HeadLimits(limits.header_bytes, limits.head_timeout_s)
        self.on_early_rejection = on_early_rejection
        self.request_counter = RequestCounter()
        self._silent = SilentConnections()
        self.gateway = ConnectionGateway
        self.max_request_header_size = limits.header_bytes
        self.keep_alive_conn_limit = limits.idle
        self.expiration_interval = EXPIRY_INTERVAL_S

    def process_conn(self, conn: CallerConnection) -> None:
        """Pass a connection with a complete request head to a thread; park or close others.

        A caller that sends nothing, or sends a head byte by byte, occupies one of a limited number
        of parked connections, but no thread.
        """
        self._silent.discard(conn)
        match conn.prefetch_head(self.head_limits, time.monotonic()):
            case HeadState.COMPLETE if (
                self.request_counter.value < self.limits.threads + self.limits.queued
            ):
                self.request_counter.add(1)
                super().process_conn(conn)
            case HeadState.COMPLETE:
                self._reject(
                    conn, Kind.OVERLOADED, "all threads are busy and the queue for them is full"
                )
            case HeadState.TIMED_OUT:
                self._reject(conn, Kind.TOO_SLOW, "the request head did not arrive in time")
            case HeadState.INCOMPLETE if (
                self.can_add_keepalive_connection or self._silent.drop_oldest()
            ):
                self._silent.add(conn)
                self.put_conn(conn)
            case _:
                conn.close()

    def on_connection_closed(self, conn: CallerConnection) -> None:
        """Stop tracking a closed connection."""
        self._silent.discard(conn)

    def _reject(self, conn: CallerConnection, kind: Kind, detail: str) -> None:
        request_id = make_request_id()
        self.on_early_rejection(EarlyRejection(request_id, kind))
        send_rejection(conn, kind, detail, request_id)

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log a message of the HTTP server."""
        log.log(level, "http server", extra={"report": msg}, exc_info=traceback)


class Listener:
    """A server bound to an address, and the thread that accepts its connections."""

    def __init__(
        self,
        address: str,
        application: WsgiApplication,
        limits: ListenerLimits,
        name: str,
        on_early_rejection: OnEarlyRejection = lambda rejection: None,
    ) -> None:
        self._server = BoundedServer(
            split_address(address), application, limits, on_early_rejection
        )
        self._thread = threading.Thread(target=self._serve, name=name, daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address, with the actual port."""
        return format_address(self._server.bind_addr)

    @property
    def in_progress(self) -> int:
        """Return the number of requests with a complete head that are not answered yet."""
        return self._server.request_counter.value

    def start(self) -> None:
        """Bind and start all threads; raise OSError if the address can't be bound."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Close all connections; shut down those that are still in use after STOP_TIMEOUT_S."""
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)

    def _serve(self) -> None:
        self._server.serve()


def send_rejection(conn: CallerConnection, kind: Kind, detail: str, request_id: str) -> None:
    """Answer a request without using a thread and without blocking, and close its connection."""
    head = conn.rfile.source.prefetched
    has_no_key = HEAD_END in head and KEY_HEADER_PREFIX not in head.lower()
    retry_after = RETRY_AFTER_S if ERROR_ANSWERS[kind].has_retry_after else None
    ran = Ran.NO if has_no_key else Ran.UNKNOWN
    error = RequestError(kind, detail, ran=ran, retry_after=retry_after)
    with contextlib.suppress(OSError):
        conn.socket.setblocking(False)
        conn.socket.send(format_problem(error, request_id))
        conn.socket.shutdown(socket.SHUT_WR)
    conn.close()
