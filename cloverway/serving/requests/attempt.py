"""One attempt: a request sent to an endpoint or another host, and the outcome."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import h11

from cloverway.core.calls import ForwardingContext
from cloverway.core.deployment import CallKind
from cloverway.core.endpoint import Endpoint
from cloverway.core.patience import Lease
from cloverway.core.prediction import RoutedCall
from cloverway.errors import Kind
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import (
    ClientConnection,
    ClientExchange,
    ConnectError,
    ResponseError,
    ResponseHead,
    make_request,
)
from cloverway.serving.ports import ReplyFacts, SendOptions
from cloverway.serving.requests.answer_end import check_end
from cloverway.serving.requests.leases import LEASE_HEADER, LeaseRenewal, encode_lease
from cloverway.serving.requests.placement import MIN_SEND_TIME_S
from cloverway.serving.requests.stream_origin import ORIGIN_HEADER, encode_origin
from cloverway.serving.requests.target_selector import Target
from cloverway.serving.timeouts import limit_running_time

CONNECT_TIMEOUT_S = 0.4
"""Timeout for opening a connection within the region. The kernel retransmits a lost SYN only after
a second; trying another endpoint is faster."""
REMOTE_CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection to another region: allows for the round trip and one lost
packet."""
CONFIRM_TIMEOUT_S = 0.1
"""How long a new stream waits for the endpoint to confirm that it has not started again. A running
endpoint answers within milliseconds."""
PEER_IDLE_TIMEOUT_S = 8.0
"""Idle time after which connections between hosts are closed. It is below the timeout of the
accepting host, and long, since opening a connection to another region takes as long as the request
itself."""
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Maximum length of a response that isn't a stream. Such a response is read completely before it is
forwarded, so that a truncated one can be retried on another endpoint; a longer one is treated as
broken."""
MAX_REFUSAL_BYTES = 256 * 1024
"""Maximum length of a response that says that the request did not run."""
MIN_FAILURE_STATUS = 500
"""Responses with this status or above count as a failure of the endpoint; a request that may be
repeated is retried on another endpoint."""
FORWARDING_HEADER = b"cloverway-passed-on"
"""Header of a request from another host: configuration version, service and region of that host."""
RAN_HEADER = b"cloverway-ran"
"""Header of a refusal between hosts: whether the request ran, as far as the refusing host knows."""
KIND_HEADER = b"cloverway-kind"
"""Header of a refusal between hosts: the error kind, a value of `Kind`."""
CRASHED_HEADER = b"cloverway-ended"
"""Header of a refusal between hosts: comma-separated incarnations of the endpoints that crashed
while they ran the request."""
ORIGIN_KINDS = frozenset((Kind.VERSION_GONE.encode(), Kind.STREAM_UNKNOWN.encode()))
"""Kinds of refusals that say that a host can't continue a stream."""
ENDPOINT_SENDS_HEADER = b"cloverway-arrivals"
"""Header of a refusal between hosts: how many times the request was written to an endpoint. Only
those sends count against the retry budget."""


class IdleTimeoutError(ResponseError):
    """Nothing was received within the timeout; the other end may still be running."""


class Declined(NamedTuple):
    """An attempt that did not run the request and never will."""

    reason: str
    is_target_fault: bool = True
    """Whether the target itself failed; if not, it had no capacity or must not be used any more."""
    reached_endpoint: bool = True
    """Whether the request was written to an endpoint, so that it counts in the retry budget."""
    is_quarantined: bool = False
    """Whether the other host has quarantined this request and refuses it whatever its capacity."""
    is_down: bool = False
    """Whether the endpoint's address refused the connection."""


class Broken(NamedTuple):
    """An attempt that may have run the request."""

    reason: str
    is_target_fault: bool = True
    reached_endpoint: bool = True
    is_disconnect: bool = False
    """Whether the connection was lost, as happens when the endpoint crashes."""
    crashed: tuple[str, ...] = ()
    """Incarnations of endpoints that crashed, as reported by the other host, while they ran the
    request."""


class Answered(NamedTuple):
    """An attempt that received at least the head of a response."""

    client_exchange: ClientExchange
    head: ResponseHead
    body: bytes | None
    """The complete body; None for a stream."""
    reached_endpoint: bool = True
    renewal: LeaseRenewal | None = None
    """For a stream from another host that stops when it no longer hears from this one."""


# The names of these classes are written to logs and metrics, in lower case.
Outcome = Declined | Broken | Answered


class AttemptOptions(NamedTuple):
    """Limits and parameters of one attempt. Times are seconds."""

    expires_at: float
    """Time at which the response is no longer of use."""
    last_event_id: str
    first_byte_timeout_s: float | None
    """Time allowed until the head of the response arrives; None for no limit."""
    lease: Lease | None = None
    """How long another host may work for this one without hearing from it; None for any time."""


class Attempt:
    """One attempt to run a request on a target."""

    def __init__(
        self,
        context: Context,
        routed: RoutedCall,
        target: Target,
        options: AttemptOptions,
        on_written: Callable[[ClientExchange], None],
    ) -> None:
        self._context = context
        self._routed = routed
        self._target = target
        self._options = options
        self._on_written = on_written
        """Called just before the first byte is sent; from then on the request may run."""

    async def run(self) -> Outcome:
        """Send the request; read the head of its response, and the body unless it is a stream."""
        target = self._target
        timeout_s = CONNECT_TIMEOUT_S if target.peer is None else REMOTE_CONNECT_TIMEOUT_S
        pool = self._context.pool
        # Hosts send each answer once, so a connection to one may carry a request again.
        request_id = self._routed.call.id if target.candidate is not None else ""
        try:
            connection = await pool.acquire(target.destination, timeout_s, request_id)
        except ConnectError as error:
            is_down = error.connection_refused and target.candidate is not None
            return Declined(f"no connection: {error}", reached_endpoint=False, is_down=is_down)
        if target.candidate is not None:
            target.candidate.endpoint.record_connected()
        reason = await self._find_uncertainty(connection) or self._find_exclusion()
        if reason is not None:
            connection.abort()
            return Declined(reason, is_target_fault=False, reached_endpoint=False)
        request = self._make_request()
        if request is None:
            connection.abort()
            return Declined("no time is left", is_target_fault=False, reached_endpoint=False)
        client_exchange = ClientExchange(connection, request, self._routed.call.body)
        is_streaming = False
        try:
            sent_at = read_clock()
            self._on_written(client_exchange)
            client_exchange.write()
            outcome = await self._read_answer(client_exchange, sent_at)
            is_streaming = isinstance(outcome, Answered) and outcome.body is None
            return outcome
        except ResponseError as error:
            return Broken(str(error), is_disconnect=not isinstance(error, IdleTimeoutError))
        finally:
            if not is_streaming:
                pool.release(target.destination, client_exchange, get_idle_timeout_s(target))

    async def _find_uncertainty(self, connection: ClientConnection) -> str | None:
        """Return why the endpoint must not begin or continue a stream, or None.

        A process that started again under the id of its entry may have another version.
        """
        candidate, binding = self._target.candidate, self._routed.binding
        if (
            candidate is None
            or binding is None
            or candidate.endpoint.is_certain(connection.opened_at)
        ):
            return None
        try:
            if not binding.has_events:
                return await self._find_restart(candidate.endpoint, connection)
            is_same = await self._context.incarnations.confirm(
                candidate.endpoint, connection.opened_at
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        return None if is_same else "it may have started again, with another version"

    async def _find_restart(self, endpoint: Endpoint, connection: ClientConnection) -> str | None:
        """Return why a stream must not begin at an endpoint, or None.

        Nobody could go on with a stream whose version isn't known with its first event. An endpoint
        that doesn't answer in time gets the stream all the same: it may answer before that event.
        """
        with contextlib.suppress(TimeoutError):
            async with limit_running_time(CONFIRM_TIMEOUT_S):
                await self._context.incarnations.confirm(endpoint, connection.opened_at)
        if self._context.directory.endpoints.get(endpoint.entry.id) is endpoint:
            return None
        return "it has started again, with a version that isn't known yet, or has gone"

    def _find_exclusion(self) -> str | None:
        """Return why the endpoint must not get the request any more, or None.

        Its state may have changed since it was selected, while the connection was opened.
        """
        candidate, now = self._target.candidate, read_clock()
        if candidate is None:
            return None
        if candidate.endpoint.is_leaving(now):
            return "the endpoint is leaving"
        if self._context.directory.get_pause_s(candidate.endpoint, now) > 0:
            return "the endpoint requested a pause"
        return None

    def _make_request(self) -> h11.Request | None:
        """Return the request as it is sent; None when too little time is left.

        If the process was suspended since the endpoint was selected, the caller may have left by
        now. Nothing was sent yet, so the request can be reported as not run.
        """
        target = self._target
        call, route = self._routed.call, self._routed.route
        left_s = self._options.expires_at - read_clock()
        if left_s < MIN_SEND_TIME_S:
            return None
        dialect = self._context.dialect
        if target.candidate is not None:
            options = SendOptions(
                target.candidate.endpoint.entry.id,
                left_s,
                route.priority,
                self._options.last_event_id,
                target.fetch_from,
            )
            headers = dialect.encode_endpoint_headers(call, options)
        else:
            resumed = call._replace(last_event_id=self._options.last_event_id)
            headers = dialect.encode_peer_headers(resumed, left_s)
            headers.append((FORWARDING_HEADER, self._encode_forwarding()))
            if self._routed.origin is not None:
                headers.append((ORIGIN_HEADER, encode_origin(self._routed.origin)))
            if self._options.lease is not None:
                headers.append(encode_lease(self._options.lease))
        return make_request(call.method, call.target, headers, call.body)

    def _encode_forwarding(self) -> bytes:
        version = self._context.get_configuration().version
        region = self._context.settings.region
        return f"{version};{self._routed.service.name};{region}".encode()

    async def _read_answer(self, client_exchange: ClientExchange, sent_at: float) -> Outcome:
        dialect = self._context.dialect
        target = self._target
        route = self._routed.route
        async with limit_idle_time(self._options.first_byte_timeout_s):
            head = await client_exchange.read_head(
                lambda head: self._is_answer(head, client_exchange)
            )
        facts = dialect.decode_reply(head)
        ran = head.get(RAN_HEADER) if target.peer is not None else None
        if ran is not None:
            await client_exchange.read_body(MAX_REFUSAL_BYTES)
            return self._read_refusal(head, ran, sent_at)
        self._record_statement(facts, sent_at)
        if facts.is_misdirected and target.candidate is not None:
            target.candidate.endpoint.misdirected_at = read_clock()
        if facts.not_run:
            await client_exchange.read_body(MAX_REFUSAL_BYTES)
            why = f"the endpoint did not run it: {head.status}"
            return Declined(why, is_target_fault=False)
        if not facts.is_signed:
            return Broken(f"an answer {head.status} without a signature")
        if route.kind is CallKind.STREAM and head.status < 300:
            renewal = self._make_renewal(client_exchange, head)
            return Answered(client_exchange, head, None, renewal=renewal)
        body = await client_exchange.read_body(MAX_BODY_BYTES)
        await check_end(self._context, target, head)
        if target.candidate is not None and head.status < MIN_FAILURE_STATUS:
            target.candidate.endpoint.load.record_service_time(read_clock() - sent_at)
        return Answered(client_exchange, head, body)

    def _make_renewal(
        self, client_exchange: ClientExchange, head: ResponseHead
    ) -> LeaseRenewal | None:
        lease = self._options.lease
        if lease is None or self._target.peer is None or head.get(LEASE_HEADER) is None:
            return None
        return LeaseRenewal(client_exchange.connection, lease)

    def _is_answer(self, head: ResponseHead, client_exchange: ClientExchange) -> bool:
        """Return whether a response answers this request; raise ResponseError if nothing tells.

        Without an id only the first response on a connection to an endpoint can be trusted, since
        a later one may be an extra copy of it. Hosts send one response for each request.
        """
        named = self._context.dialect.decode_request_id(head)
        if named is not None:
            return named == self._routed.call.id
        if self._target.candidate is not None:
            client_exchange.is_last = True
            if client_exchange.connection.exchanges > 1:
                raise ResponseError("the response on a kept connection names no request")
        return True

    def _record_statement(self, facts: ReplyFacts, sent_at: float) -> None:
        """Record what an endpoint states about itself in a response."""
        target, now = self._target, read_clock()
        if target.candidate is None or facts.is_misdirected:
            return
        call_id = self._routed.call.id
        self._context.statements.record_answer(
            target.name, facts, request_id=call_id, sent_at=sent_at, now=now
        )

    def _read_refusal(self, head: ResponseHead, ran: bytes, sent_at: float) -> Outcome:
        """Return the outcome of a refusal by another host; `ran` is its RAN_HEADER."""
        target = self._target
        why = f"host {target.name} could not serve it: {head.status}"
        if ran != b"no":
            crashed = (head.get(CRASHED_HEADER) or b"").decode("latin-1")
            return Broken(
                why, is_target_fault=False, crashed=tuple(filter(None, crashed.split(",")))
            )
        reached_endpoint = head.get(ENDPOINT_SENDS_HEADER) != b"0"
        if head.get(KIND_HEADER) == Kind.QUARANTINED.encode():
            # This doesn't change the capacity of its region for other requests.
            return Declined(
                why, is_target_fault=False, reached_endpoint=reached_endpoint, is_quarantined=True
            )
        if head.get(KIND_HEADER) in ORIGIN_KINDS:
            # It lacks one version, which other requests don't need.
            return Declined(why, is_target_fault=False, reached_endpoint=reached_endpoint)
        service = self._routed.service.name
        self._context.target_selector.discard_advertised(target.region, service, sent_at)
        return Declined(why, is_target_fault=False, reached_endpoint=reached_endpoint)


@asynccontextmanager
async def limit_idle_time(seconds: float | None) -> AsyncIterator[None]:
    """Raise IdleTimeoutError if the block takes longer than `seconds`; None for no limit.

    The time for which this host is suspended doesn't count.
    """
    try:
        async with limit_running_time(seconds):
            yield
    except TimeoutError:
        if seconds is None:
            raise
        raise IdleTimeoutError(f"no data was received for {seconds:g} s") from None


def get_idle_timeout_s(target: Target) -> float | None:
    """Return the idle timeout of a connection whose other end states none; None for the default."""
    return PEER_IDLE_TIMEOUT_S if target.peer is not None else None


def decode_forwarding(value: bytes) -> ForwardingContext | None:
    """Decode the FORWARDING_HEADER of a request; return None when it is malformed."""
    parts = value.decode("latin-1").split(";")
    if len(parts) != 3 or not parts[0].isdigit():
        return None
    return ForwardingContext(int(parts[0]), parts[1], parts[2])
