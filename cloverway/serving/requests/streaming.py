"""Relays the events of a stream to its caller as they arrive, and records their timing."""

from __future__ import annotations

from collections.abc import Callable

from cloverway.core.calls import Header
from cloverway.core.patience import compute_gap_timeout
from cloverway.core.prediction import DEFAULT_GAP_OBJECTIVE_S, RoutedCall
from cloverway.core.token_gaps import TokenGap
from cloverway.serving.clock import read_clock
from cloverway.serving.http.client import ClientExchange, Framing, ResponseError, ResponseHead
from cloverway.serving.http.event_stream import EventSplitter
from cloverway.serving.http.hop_by_hop import list_end_to_end_headers
from cloverway.serving.http.server import Exchange
from cloverway.serving.requests.attempt import Answered, limit_idle_time
from cloverway.serving.requests.leases import LEASE_HEADER, LeaseRenewal, encode_lease
from cloverway.serving.requests.stream_origin import ORIGIN_HEADER, encode_origin
from cloverway.serving.requests.target_selector import Target

EVENT_STREAM = b"text/event-stream"


class Timing:
    """When the parts of a response arrived, as its caller sees them."""

    def __init__(self) -> None:
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.last_at = 0.0

    def record(self, now: float) -> None:
        """Record the arrival of a part of the response."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now


class EventRelay:
    """Copies the events of one stream to its caller, possibly from several endpoints in turn."""

    def __init__(
        self,
        exchange: Exchange,
        routed: RoutedCall,
        on_first_event: Callable[[Target, Answered], None],
    ) -> None:
        self._exchange = exchange
        self._routed = routed
        self._on_first_event = on_first_event
        """Called before the first event is sent to the caller."""
        self._events = EventSplitter(routed.call.last_event_id)
        self.timing = Timing()
        self.framing: Framing | None = None
        """What marks the end of the response that is copied, or was copied last."""
        self.unfinished_bytes = 0
        """Bytes of an unfinished event with which that response ended."""

    @property
    def last_id(self) -> str:
        """The id of the last complete event that was sent to the caller."""
        return self._events.last_id

    def discard_partial_event(self) -> None:
        """Discard the received part of an event that will never be completed."""
        self.unfinished_bytes = self._events.incomplete_bytes
        self._events.drop_incomplete()

    async def copy(self, target: Target, answered: Answered, is_resumable: bool) -> None:
        """Copy the events of an endpoint; raise ResponseError or ValueError if they broke off.

        The caller's answer has no end until `finish`. If `is_resumable`, the stream may continue on
        another endpoint, so that a stall of this one raises IdleTimeoutError.
        """
        self.framing, self.unfinished_bytes = answered.head.framing, 0
        timeout_s = compute_gap_timeout(self._routed.route) if is_resumable else None
        renewal = answered.renewal
        waiting_since: float | None = None
        while chunk := await self._read(answered.client_exchange, timeout_s):
            now = read_clock()
            if renewal is not None:
                renewal.record_data(now)
            events = self._events.split(chunk)
            if not events:
                continue
            if self.timing.first_at is None:
                self._on_first_event(target, answered)
            self._record_events(target, len(events), waiting_since, now)
            self._start(answered.head)
            self._exchange.write(b"".join(events))
            await self._drain(renewal)
            waiting_since = read_clock()
        self._check_events(answered.head)

    async def finish(self, head: ResponseHead) -> None:
        """End the caller's answer as complete."""
        self._start(head)
        rest = self._events.take_incomplete()
        if rest:
            await self._exchange.send(rest)
        self._exchange.finish()

    def _check_events(self, head: ResponseHead) -> None:
        """Raise ResponseError if the events show that more of the stream was due."""
        if _consists_of_events(head) and self._events.has_partial_event:
            raise ResponseError("the stream ended inside an event")
        has_begun = self.timing.first_at is not None or bool(self.last_id)
        if head.framing is Framing.CONNECTION and not has_begun:
            raise ResponseError("the stream ended before its first event")

    async def _read(self, client_exchange: ClientExchange, timeout_s: float | None) -> bytes:
        async with limit_idle_time(timeout_s):
            return await client_exchange.read_chunk()

    async def _drain(self, renewal: LeaseRenewal | None) -> None:
        """Wait for a caller that reads slowly."""
        connection = self._exchange.connection
        if renewal is None or not connection.is_congested:
            await connection.drain()
            return
        with renewal.keep_up():
            await connection.drain()

    def _start(self, head: ResponseHead) -> None:
        if not self._exchange.started:
            self._exchange.start(head.status, self._list_headers(head))

    def _list_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers of the answer; a host that forwarded it is told origin and lease."""
        own = (ORIGIN_HEADER, LEASE_HEADER)
        headers = [item for item in list_end_to_end_headers(head.headers) if item[0] not in own]
        forwarding = self._routed.call.forwarding
        if forwarding is not None and self._routed.origin is not None:
            headers.append((ORIGIN_HEADER, encode_origin(self._routed.origin)))
        if forwarding is not None and forwarding.lease is not None:
            headers.append(encode_lease(forwarding.lease))
        return headers

    def _record_events(
        self, target: Target, events: int, waiting_since: float | None, now: float
    ) -> None:
        self.timing.record(now)
        if target.candidate is None:
            return
        load = target.candidate.endpoint.load
        load.record_first_event(target.number, now)
        if waiting_since is not None:
            # Time spent on a slow caller or on changing endpoints isn't a gap of this engine.
            load.record_gap(self._make_gap(now - waiting_since, events), now)

    def _make_gap(self, seconds: float, events: int) -> TokenGap:
        spec = self._routed.service.engine
        tokens = events * spec.tokens_per_event if spec is not None else 0
        return TokenGap(
            seconds, self._routed.route.gap_objective_s or DEFAULT_GAP_OBJECTIVE_S, tokens
        )


def _consists_of_events(head: ResponseHead) -> bool:
    """Return whether the body of a stream's answer must end with an event.

    An answer that states its length or has a last chunk may have another type of content.
    """
    content_type = head.get(b"content-type")
    if content_type is None:
        return head.framing is Framing.CONNECTION
    return content_type.startswith(EVENT_STREAM)
