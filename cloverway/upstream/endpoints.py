"""Send a request to an endpoint over HTTP and bring the whole of its answer back.

Nothing is repeated here, with one exception: an idempotent request on a re-used connection that
fails before the first byte of an answer is tried once more on a new connection.
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
from cloverway.errors import CloverwayError, EndpointLostError, Kind, Ran, RequestError
from cloverway.messages import Request
from cloverway.replies import Reply
from cloverway.upstream.cancels import Canceller
from cloverway.upstream.connections import (
    CALL_FAULTS,
    Connection,
    ConnectionPool,
    Head,
    TimedSocket,
)
from cloverway.upstream.copiers import Copier, EndpointStream, RelayCopier
from cloverway.upstream.framing import (
    BodyParser,
    ChunkedBody,
    EventStream,
    LengthBody,
    make_malformed,
)
from cloverway.upstream.meters import StreamStats
from cloverway.upstream.relay import Relay
from cloverway.upstream.waits import Wait, Waits

log = logging.getLogger(__name__)

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
READ_BYTES = 64 * 1024
EVENT_STREAM = "text/event-stream"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_HEADERS = frozenset({"content-length", "content-type", "date", "server"})
"""Headers that the gateway's own server writes."""

Observer = Callable[[Request, StreamStats], None]


class Call(NamedTuple):
    """One request to one endpoint."""

    address: tuple[str, int]
    request: Request
    idempotent: bool
    gap_s: float
    priority: int
    check: Callable[[], None]


class _NoConnectionError(RequestError):
    """No connection to an endpoint could be opened."""


class _StaleConnectionError(CloverwayError):
    """A re-used connection failed before the first byte of an answer."""

    def __init__(self, started: bool) -> None:
        super().__init__()
        self.started = started
        """Whether a byte of the request may have left."""


class EndpointClient:
    """Sends requests to endpoints and keeps the connections to them."""

    def __init__(self, limits: Limits, copier: Copier, observe: Observer | None = None) -> None:
        self._limits = limits
        self._copier = copier
        self._observe = observe
        self._pool = ConnectionPool()
        self._canceller = Canceller.start()
        self._waits = Waits()

    @classmethod
    def from_settings(cls, limits: Limits, observe: Observer | None = None) -> EndpointClient:
        """Make a client; `observe` is told of each stream when it has ended."""
        return cls(limits, RelayCopier(Relay.start()), observe)

    def close(self) -> None:
        """End the tasks and close the idle connections; streams in progress are cut."""
        self._copier.close()
        self._canceller.stop()
        self._pool.close()

    def send(
        self,
        url: str,
        request: Request,
        *,
        idempotent: bool,
        gap_s: float,
        priority: int,
        check: Callable[[], None],
    ) -> Reply:
        """Send a request and give its whole answer, or its stream; raise RequestError.

        `check` is called just before the first byte is sent and raises when it may not be.
        """
        call = Call(split_url(url), request, idempotent, gap_s, priority, check)
        with self._waits.watch(request.id) if idempotent else nullcontext(Wait()) as wait:
            try:
                return self._send(call, wait)
            except RequestError as error:
                if not wait.given_up:
                    raise
                self._cancel(call)
                raise RequestError(Kind.CALLER_LEFT, ran=error.ran) from error

    def give_up(self, request_id: str) -> None:
        """End the wait for the answer to an idempotent request, because its caller left.

        Any other request goes on to its end: a repeat may ask for its recorded answer. A stream
        that has begun is not concerned; it notices by itself that its caller left.
        """
        if self._waits.give_up(request_id):
            log.info("a request was given up", extra={"request_id": request_id})

    def _send(self, call: Call, wait: Wait) -> Reply:
        pooled = self._pool.take(call.address, time.monotonic()) if call.idempotent else None
        if pooled is None:
            return self._exchange(call, wait, self._connect(call), reused=False)
        try:
            return self._exchange(call, wait, pooled, reused=True)
        except _StaleConnectionError as error:
            log.info("a re-used connection failed", extra={"request_id": call.request.id})
            return self._send_again(call, wait, error.started)

    def _send_again(self, call: Call, wait: Wait, started: bool) -> Reply:
        """Try a new connection; where the first try may have run, never say "not run"."""
        try:
            return self._exchange(call, wait, self._connect(call), reused=False)
        except RequestError as error:
            if not started or error.ran is not Ran.NO:
                raise
            if isinstance(error, _NoConnectionError):
                # A kept connection that was dropped while idle can be opened anew. An endpoint that
                # ended under the request can't, and each of its ends would go uncounted.
                raise EndpointLostError(Kind.ENDPOINT_FAILED, error.detail) from error
            kind = Kind.TIMED_OUT if error.kind is Kind.DEADLINE else Kind.ENDPOINT_FAILED
            raise RequestError(kind, error.detail, retry_after=error.retry_after) from error

    def _cancel(self, call: Call) -> None:
        if call.request.path.startswith(ENGINE_PATHS):
            self._canceller.cancel(call.address, call.request.id)

    def _connect(self, call: Call) -> Connection:
        left = call.request.deadline - time.monotonic()
        if left <= 0:
            raise RequestError(Kind.DEADLINE, "the deadline passed before it was sent")
        connect_timeout_s = min(self._limits.connect_timeout_s, left)
        connection = Connection.from_address(call.address, connect_timeout_s)
        try:
            connection.connect()
        except CALL_FAULTS as error:
            connection.close()
            raise _NoConnectionError(
                Kind.ENDPOINT_REFUSED, "no connection to the endpoint", ran=Ran.NO
            ) from error
        return connection

    def _exchange(self, call: Call, wait: Wait, connection: Connection, *, reused: bool) -> Reply:
        """Run one exchange; the connection is pooled or closed unless a stream goes on."""
        timed = connection.timed
        try:
            wait.connection = connection
            if wait.given_up:
                raise RequestError(Kind.CALLER_LEFT, ran=Ran.NO)
            self._send_request(call, connection, reused)
            head = _read_final_head(connection)
            if wait.given_up:
                raise RequestError(Kind.CALLER_LEFT)
            return self._read_reply(call, wait, connection, head)
        except (*CALL_FAULTS, ValueError) as error:
            connection.close()
            failure = _explain(call.request, timed, error)
            if reused and not timed.received and failure.kind is not Kind.MALFORMED:
                raise _StaleConnectionError(timed.started) from error
            if failure.kind is Kind.TIMED_OUT:
                self._cancel(call)
            raise failure from error
        except BaseException:
            connection.close()
            raise

    def _send_request(self, call: Call, connection: Connection, reused: bool) -> None:
        now = time.monotonic()
        silence_s = min(call.gap_s, (call.request.deadline - now) / 2) if reused else float("inf")
        connection.timed.begin(call.request.deadline, silence_s)
        headers = _make_headers(call, now)
        call.check()
        connection.request(
            call.request.method, call.request.path, body=call.request.body or None, headers=headers
        )

    def _read_reply(self, call: Call, wait: Wait, connection: Connection, head: Head) -> Reply:
        _raise_refusal(head)
        content_type = head.headers.get("Content-Type", "application/octet-stream")
        headers = _keep_end_to_end(head)
        body = _make_parser(head)
        if head.status == 200 and content_type.partition(";")[0].strip().lower() == EVENT_STREAM:
            stream = self._make_stream(call, connection, head, EventStream(body))
            return Reply(head.status, content_type, stream=stream, headers=headers)
        connection.timed.silence_s = float("inf")
        whole = self._read_whole(connection, head, body)
        self._waits.release(wait)
        self._keep_or_close(call.address, connection, head.reusable and not body.rest)
        return Reply(head.status, content_type, whole, headers=headers)

    def _make_stream(
        self, call: Call, connection: Connection, head: Head, events: EventStream
    ) -> EndpointStream:
        def finish(whole: bool, stats: StreamStats) -> None:
            clean = whole and head.reusable and not events.body.rest
            self._keep_or_close(call.address, connection, clean)
            if not whole:
                self._cancel(call)
            if self._observe is not None:
                self._observe(call.request, stats)

        connection.timed.silence_s = call.gap_s
        return EndpointStream(connection.timed, events, head.rest, finish, self._copier)

    def _read_whole(self, connection: Connection, head: Head, body: BodyParser) -> bytes:
        pieces = [body.feed(head.rest)]
        size = len(pieces[0])
        while not body.ended:
            data = connection.timed.recv(READ_BYTES)
            if not data:
                raise EndpointLostError(Kind.TRUNCATED, "the connection ended within the answer")
            piece = body.feed(data)
            pieces.append(piece)
            size += len(piece)
            if size > self._limits.answer_bytes:
                raise RequestError(Kind.ENDPOINT_FAILED, "the endpoint's answer is too large")
        return b"".join(pieces)

    def _keep_or_close(self, address: tuple[str, int], connection: Connection, clean: bool) -> None:
        if clean:
            self._pool.put(address, connection, time.monotonic())
        else:
            connection.close()


def _make_headers(call: Call, now: float) -> dict[str, str]:
    request = call.request
    headers = {
        "Accept-Encoding": "identity",
        "Cloverway-Deadline-Ms": str(max(0, int((request.deadline - now) * 1000))),
        "Cloverway-Priority": str(call.priority),
        "User-Agent": "cloverway",
        "X-Request-Id": request.id,
    }
    if request.content_type:
        headers["Content-Type"] = request.content_type
    if request.key:
        headers["Idempotency-Key"] = request.key
    return headers


def _read_final_head(connection: Connection) -> Head:
    head = connection.read_head()
    if head.status < 200:
        raise make_malformed("an interim answer that was not asked for")
    return head


def _explain(request: Request, timed: TimedSocket, error: Exception) -> RequestError:
    """Give the error for a failed exchange: what is known of whether the request ran."""
    late = time.monotonic() >= request.deadline
    if not timed.started:
        if isinstance(error, ValueError | http.client.InvalidURL):
            return RequestError(Kind.MALFORMED, "the request can't be written as HTTP")
        if late:
            return RequestError(Kind.DEADLINE, "the deadline passed before it was sent")
        return RequestError(Kind.ENDPOINT_REFUSED, "the request was not sent", ran=Ran.NO)
    if late:
        return RequestError(Kind.TIMED_OUT, "no whole answer before the deadline")
    if isinstance(error, TimeoutError):
        return RequestError(Kind.TIMED_OUT, "the endpoint was silent for too long")
    return EndpointLostError(Kind.ENDPOINT_FAILED, "the connection to the endpoint failed")


def _raise_refusal(head: Head) -> None:
    """Raise for an answer that is not the endpoint's own to give to a caller."""
    if head.status in (429, 503) and head.headers.get("Cloverway-Ran", "").lower() == Ran.NO:
        raise RequestError(Kind.ENDPOINT_REFUSED, ran=Ran.NO, retry_after=_parse_retry_after(head))
    if head.status >= 500:
        raise RequestError(Kind.ENDPOINT_FAILED, f"the endpoint answered {head.status}")
    if 300 <= head.status < 400:
        raise RequestError(Kind.ENDPOINT_FAILED, "the endpoint answered with a redirect")


def _parse_retry_after(head: Head) -> float | None:
    text = head.headers.get("Retry-After", "")
    return float(text) if text.isascii() and text.isdigit() else None


def _make_parser(head: Head) -> BodyParser:
    """Give the parser for a body; one that is ended by its connection can't be known whole."""
    if head.length is not None:
        return LengthBody(head.length)
    if head.chunked:
        return ChunkedBody()
    raise make_malformed("its body has no length")


def _keep_end_to_end(head: Head) -> tuple[tuple[str, str], ...]:
    """Give the headers that are meant for the caller."""
    named = {
        name.strip().lower()
        for value in head.headers.get_all("Connection", [])
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | OWN_HEADERS | named
    return tuple(
        (name, value) for name, value in head.headers.items() if name.lower() not in dropped
    )
