"""HTTP client for endpoints: sends a request and returns the complete answer or its stream.

Nothing is retried here, with one exception: an idempotent request that fails on a pooled
connection before its answer begins is sent once more on a new connection.
"""

from __future__ import annotations

import http.client
import logging
import time
from collections.abc import Callable
from contextlib import nullcontext
from typing import NamedTuple

from cloverway.addresses import split_url
from cloverway.config.settings import Limits
from cloverway.errors import (
    CloverwayError,
    EndpointLostError,
    EndpointUnreachableError,
    Kind,
    Ran,
    RequestError,
)
from cloverway.messages import Request
from cloverway.replies import Reply
from cloverway.upstream.cancels import Canceller
from cloverway.upstream.connections import (
    EXCHANGE_ERRORS,
    ConnectionPool,
    EndpointConnection,
    ResponseHead,
    TimedSocket,
)
from cloverway.upstream.copiers import Copier, EndpointStream, RelayCopier
from cloverway.upstream.framing import (
    MIN_COUNTED_BYTES,
    BodyParser,
    EventStream,
    make_malformed_error,
)
from cloverway.upstream.heads import (
    filter_headers,
    make_body_parser,
    make_headers,
    may_reuse,
    names_request,
    raise_for_status,
)
from cloverway.upstream.pending import PendingExchange, PendingExchanges
from cloverway.upstream.relay import Relay
from cloverway.upstream.stream_stats import StreamStats

log = logging.getLogger(__name__)

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
READ_BYTES = 64 * 1024
EVENT_STREAM = "text/event-stream"
StreamObserver = Callable[[Request, StreamStats], None]


class EndpointCall(NamedTuple):
    """One request to one endpoint."""

    address: tuple[str, int]
    request: Request
    idempotent: bool
    max_gap_s: float
    """Longest allowed inter-token gap, in seconds."""
    priority: int
    check_before_send: Callable[[], None]
    """Called just before the first byte is sent; raises if the request must not be sent."""


class _StaleConnectionError(CloverwayError):
    """A pooled connection failed before the answer to the request began."""

    def __init__(self, detail: str, send_started: bool) -> None:
        super().__init__(detail)
        self.send_started = send_started
        """Whether a byte of the request may have been sent."""


class EndpointClient:
    """Sends requests to endpoints and pools the connections to them."""

    def __init__(
        self, limits: Limits, copier: Copier, observe: StreamObserver | None = None
    ) -> None:
        self._limits = limits
        self._copier = copier
        self._observe = observe
        self._pool = ConnectionPool()
        self._canceller = Canceller.start()
        self._pending = PendingExchanges()

    @classmethod
    def from_settings(cls, limits: Limits, observe: StreamObserver | None = None) -> EndpointClient:
        """Create a client; `observe` is called with the statistics of each stream that ended."""
        return cls(limits, RelayCopier(Relay.start()), observe)

    def close(self) -> None:
        """Stop the tasks and close the idle connections; streams in progress are aborted."""
        self._copier.close()
        self._canceller.stop()
        self._pool.close()

    def send(
        self,
        url: str,
        request: Request,
        *,
        idempotent: bool,
        max_gap_s: float,
        priority: int,
        check_before_send: Callable[[], None],
    ) -> Reply:
        """Send a request and return its complete answer or its stream; raise RequestError.

        `check_before_send` is called just before the first byte is sent; it raises if the request
        must not be sent any more.
        """
        call = EndpointCall(
            split_url(url), request, idempotent, max_gap_s, priority, check_before_send
        )
        with (
            self._pending.track(request.id) if idempotent else nullcontext(PendingExchange())
        ) as pending:
            try:
                return self._send(call, pending)
            except RequestError as error:
                if not pending.aborted:
                    raise
                self._cancel(call)
                raise RequestError(Kind.CALLER_LEFT, ran=error.ran) from error

    def abort(self, request_id: str) -> None:
        """Abort an idempotent request that waits for its answer, because its caller disconnected.

        A non-idempotent request runs to its end, since a repeat may request its recorded answer.
        A stream that has begun is not affected: the relay detects the disconnect itself.
        """
        if self._pending.abort(request_id):
            log.info("request aborted: its caller disconnected", extra={"request_id": request_id})

    def _send(self, call: EndpointCall, pending: PendingExchange) -> Reply:
        pooled = self._pool.acquire(call.address, time.monotonic()) if call.idempotent else None
        if pooled is None:
            return self._exchange(call, pending, self._connect(call), reused=False)
        try:
            return self._exchange(call, pending, pooled, reused=True)
        except _StaleConnectionError as error:
            log.info(
                "pooled connection failed before an answer; retrying on a new one",
                extra={"request_id": call.request.id, "why": str(error)},
            )
            return self._retry(call, pending, error.send_started)

    def _retry(self, call: EndpointCall, pending: PendingExchange, send_started: bool) -> Reply:
        """Retry on a new connection.

        If the first attempt may have run, the error never claims that the request was not run.
        """
        try:
            return self._exchange(call, pending, self._connect(call), reused=False)
        except RequestError as error:
            if not send_started or error.ran is not Ran.NO:
                raise
            if isinstance(error, EndpointUnreachableError):
                # If only the idle connection was dropped, connecting again works. If it fails, the
                # endpoint may have crashed while it ran the request, which must be counted.
                raise EndpointLostError(Kind.ENDPOINT_FAILED, error.detail) from error
            kind = Kind.TIMED_OUT if error.kind is Kind.DEADLINE else Kind.ENDPOINT_FAILED
            raise RequestError(kind, error.detail, retry_after=error.retry_after) from error

    def _cancel(self, call: EndpointCall) -> None:
        if call.request.path.startswith(ENGINE_PATHS):
            self._canceller.cancel(call.address, call.request.id)

    def _connect(self, call: EndpointCall) -> EndpointConnection:
        remaining_s = call.request.deadline - time.monotonic()
        if remaining_s <= 0:
            raise RequestError(Kind.DEADLINE, "the deadline passed before the request was sent")
        connect_timeout_s = min(self._limits.connect_timeout_s, remaining_s)
        connection = EndpointConnection.from_address(call.address, connect_timeout_s)
        try:
            connection.connect()
        except EXCHANGE_ERRORS as error:
            connection.close()
            raise EndpointUnreachableError("connecting to the endpoint failed") from error
        return connection

    def _exchange(
        self,
        call: EndpointCall,
        pending: PendingExchange,
        connection: EndpointConnection,
        *,
        reused: bool,
    ) -> Reply:
        """Run one exchange; unless a stream is returned, pool or close the connection."""
        timed_socket = connection.timed_socket
        try:
            pending.connection = connection
            if pending.aborted:
                raise RequestError(Kind.CALLER_LEFT, ran=Ran.NO)
            self._send_request(call, connection, reused)
            head = _read_final_head(connection)
            if reused and not names_request(head, call.request):
                raise _StaleConnectionError("the answer is not to this request", send_started=True)
            if pending.aborted:
                raise RequestError(Kind.CALLER_LEFT)
            return self._read_reply(call, pending, connection, head)
        except (*EXCHANGE_ERRORS, ValueError) as error:
            connection.close()
            failure = _classify_failure(call.request, timed_socket, error)
            if reused and not timed_socket.response_started and failure.kind is not Kind.MALFORMED:
                raise _StaleConnectionError(str(error), timed_socket.send_started) from error
            if failure.kind is Kind.TIMED_OUT:
                self._cancel(call)
            raise failure from error
        except BaseException:
            connection.close()
            raise

    def _send_request(
        self, call: EndpointCall, connection: EndpointConnection, reused: bool
    ) -> None:
        now = time.monotonic()
        read_timeout_s = (
            min(call.max_gap_s, (call.request.deadline - now) / 2) if reused else float("inf")
        )
        connection.timed_socket.begin(call.request.deadline, read_timeout_s)
        headers = make_headers(call.request, call.priority, now)
        call.check_before_send()
        connection.request(
            call.request.method, call.request.path, body=call.request.body or None, headers=headers
        )

    def _read_reply(
        self,
        call: EndpointCall,
        pending: PendingExchange,
        connection: EndpointConnection,
        head: ResponseHead,
    ) -> Reply:
        raise_for_status(head)
        content_type = head.headers.get("Content-Type", "application/octet-stream")
        headers = filter_headers(head)
        body = make_body_parser(head)
        if head.status == 200 and content_type.partition(";")[0].strip().lower() == EVENT_STREAM:
            stream = self._make_stream(call, connection, head, EventStream(body))
            return Reply(head.status, content_type, stream=stream, headers=headers)
        connection.timed_socket.read_timeout_s = float("inf")
        content = self._read_body(connection, head, body)
        self._pending.detach_connection(pending)
        reusable = may_reuse(head, call.request) and not body.excess
        self._release_or_close(call.address, connection, reusable)
        return Reply(head.status, content_type, content, headers=headers)

    def _make_stream(
        self,
        call: EndpointCall,
        connection: EndpointConnection,
        head: ResponseHead,
        events: EventStream,
    ) -> EndpointStream:
        def on_finish(complete: bool, stats: StreamStats) -> None:
            reusable = complete and may_reuse(head, call.request) and not events.body.excess
            self._release_or_close(call.address, connection, reusable)
            if not complete:
                self._cancel(call)
            if self._observe is not None:
                self._observe(call.request, stats)

        connection.timed_socket.read_timeout_s = call.max_gap_s
        return EndpointStream(
            connection.timed_socket, events, head.buffered, on_finish, self._copier
        )

    def _read_body(
        self, connection: EndpointConnection, head: ResponseHead, body: BodyParser
    ) -> bytes:
        pieces = [body.feed(head.buffered)]
        size = len(pieces[0])
        while not body.ended:
            data = connection.timed_socket.recv(READ_BYTES)
            if not data:
                raise EndpointLostError(
                    Kind.TRUNCATED,
                    "the endpoint closed the connection before the end of its answer",
                )
            piece = body.feed(data)
            pieces.append(piece)
            size += len(piece)
            if max(size, MIN_COUNTED_BYTES * body.chunks) > self._limits.answer_bytes:
                raise RequestError(
                    Kind.ENDPOINT_FAILED, "the endpoint's answer exceeds the size limit"
                )
        return b"".join(pieces)

    def _release_or_close(
        self, address: tuple[str, int], connection: EndpointConnection, reusable: bool
    ) -> None:
        if reusable:
            self._pool.release(address, connection, time.monotonic())
        else:
            connection.close()


def _read_final_head(connection: EndpointConnection) -> ResponseHead:
    head = connection.read_head()
    if head.status < 200:
        raise make_malformed_error("unexpected interim (1xx) response")
    return head


def _classify_failure(
    request: Request, timed_socket: TimedSocket, error: Exception
) -> RequestError:
    """Return the error for a failed exchange; `ran` is NO only if no byte was sent."""
    late = time.monotonic() >= request.deadline
    if not timed_socket.send_started:
        if isinstance(error, ValueError | http.client.InvalidURL):
            return RequestError(Kind.MALFORMED, "the request can't be encoded as HTTP")
        if late:
            return RequestError(Kind.DEADLINE, "the deadline passed before the request was sent")
        return RequestError(Kind.ENDPOINT_REFUSED, "the request was not sent", ran=Ran.NO)
    if late:
        return RequestError(Kind.TIMED_OUT, "no complete answer before the deadline")
    if isinstance(error, TimeoutError):
        return RequestError(Kind.TIMED_OUT, "the endpoint sent nothing within the read timeout")
    return EndpointLostError(Kind.ENDPOINT_FAILED, "the connection to the endpoint failed")
