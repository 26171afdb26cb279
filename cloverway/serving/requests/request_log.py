"""Log lines and metrics of one request: its attempts, their failures, and its end."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

from cloverway.core.prediction import RoutedCall
from cloverway.errors import RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import ClientExchange
from cloverway.serving.requests.attempt import Broken, Declined
from cloverway.serving.requests.streaming import EventRelay
from cloverway.serving.requests.target_selector import Target
from cloverway.serving.telemetry import format_digest, format_parts, log_event


class SendSummary(NamedTuple):
    """What is logged of an attempt that begins. Times are seconds."""

    number: int
    """1 for the first attempt."""
    expires_at: float
    """Time at which the response is no longer of use."""
    at: float


class ConnectionFields(TypedDict, total=False):
    """The connection that carried an attempt, as it is logged; empty if nothing was sent."""

    connection: int
    """Names the connection in this process."""
    exchange: int
    """1 for the first request on the connection."""
    skipped: int
    """Responses to other requests that arrived before the one to this request."""


class SenderFields(TypedDict, total=False):
    """The host that forwarded a request, as it is logged; empty if it came from its caller."""

    from_region: str
    from_address: str
    """Its end of the connection that brought the request."""


class RequestLog:
    """Logs the decisions on one request."""

    def __init__(self, context: Context, routed: RoutedCall, relay: EventRelay) -> None:
        self._context = context
        self._routed = routed
        self._relay = relay
        self.client_exchange: ClientExchange | None = None
        """What the last attempt was sent with; None if it wasn't sent."""

    def record_sent(self, target: Target, send: SendSummary) -> None:
        """Log an attempt that begins, with what its target was chosen for."""
        candidate, call = target.candidate, self._routed.call
        configuration = self._context.directory.configuration
        source = candidate.fetch_source if candidate else None
        self.client_exchange = None
        log_event(
            "sent",
            request_id=call.id,
            route=self._routed.route.name,
            service=self._routed.service.name,
            to=target.name,
            address=target.address,
            region=target.region,
            wait_s=round(candidate.wait_s, 3) if candidate else None,
            cost_s=round(candidate.cost_s, 3) if candidate else None,
            answer_s=round(candidate.decode_s, 3) if candidate else None,
            unread=candidate.work.prefill_tokens if candidate else None,
            fetched=candidate.work.fetched_tokens if candidate else None,
            fetch_from=source.entry.id if source else None,
            limit_per_s=self._context.directory.statements.get(target.name).limit_per_s,
            waited_s=round(send.at - call.arrived_at, 3),
            left_s=round(send.expires_at - send.at, 3),
            send=send.number,
            resumes=call.resumes or None,
            after_event=self._relay.last_id or None,
            endpoint_version=candidate.endpoint.entry.version if candidate else None,
            version=configuration.version if configuration else 0,
            **self._describe_sender(),
        )

    def record_failed_attempt(
        self, target: Target, outcome: Declined | Broken, lasted_s: float
    ) -> None:
        """Log an attempt that got no complete answer."""
        is_broken = isinstance(outcome, Broken)
        log_event(
            "attempt_failed",
            request_id=self._routed.call.id,
            request_digest=format_digest(self._routed.call) if is_broken else None,
            parts=format_parts(self._routed.call) if is_broken else None,
            to=target.name,
            outcome=type(outcome).__name__.lower(),
            why=outcome.reason,
            framing=self._relay.framing,
            unfinished_bytes=self._relay.unfinished_bytes,
            lasted_s=round(lasted_s, 3),
            **self._describe_connection(),
        )

    def record_end(self, error: RequestError | None, status: int, sends: int) -> None:
        """Log the end of an answer, and count it; `error` tells why it was truncated."""
        call, route, timing = self._routed.call, self._routed.route, self._relay.timing
        first_s = None if timing.first_at is None else timing.first_at - call.arrived_at
        total_s = read_clock() - call.arrived_at
        log_event(
            "answered" if error is None else "cut",
            request_id=call.id,
            route=route.name,
            status=status,
            why=error.detail if error else None,
            sends=sends,
            first_s=None if first_s is None else round(first_s, 3),
            gap_s=round(timing.longest_gap_s, 3),
            framing=self._relay.framing,
            unfinished_bytes=self._relay.unfinished_bytes,
            total_s=round(total_s, 3),
            **self._describe_sender(),
            **self._describe_connection(),
        )
        kind = error.kind if error is not None else None
        self._context.metrics.record_request(
            route.name, kind, first_s, total_s, timing.longest_gap_s
        )

    def _describe_sender(self) -> SenderFields:
        forwarding = self._routed.call.forwarding
        if forwarding is None:
            return {}
        return {"from_region": forwarding.region, "from_address": forwarding.address}

    def _describe_connection(self) -> ConnectionFields:
        exchange = self.client_exchange
        if exchange is None:
            return {}
        return {
            "connection": exchange.connection.number,
            "exchange": exchange.connection.exchanges,
            "skipped": exchange.skipped_responses,
        }
