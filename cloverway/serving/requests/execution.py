"""Execution of one request: select a target, send, relay the response, retry where that is safe.

The response to the caller depends on the outcomes of all attempts. A refusal says "not run" only if
no attempt may have run the request. A request that may not be repeated is sent again only after its
endpoint said that it did not run it.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from cloverway.core.calls import Call
from cloverway.core.deployment import Route, Service
from cloverway.core.patience import choose_lease, compute_first_byte_timeout
from cloverway.core.prediction import RoutedCall
from cloverway.core.stream_origins import StreamBinding, StreamOrigin
from cloverway.errors import Kind, Ran, RequestError, combine_ran
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import ClientExchange, ResponseError
from cloverway.serving.http.hop_by_hop import list_end_to_end_headers
from cloverway.serving.http.server import Exchange
from cloverway.serving.requests.answer_end import check_end
from cloverway.serving.requests.attempt import (
    MIN_FAILURE_STATUS,
    Answered,
    Attempt,
    AttemptOptions,
    Broken,
    Declined,
    IdleTimeoutError,
    Outcome,
    get_idle_timeout_s,
)
from cloverway.serving.requests.crash_tracker import CrashTracker
from cloverway.serving.requests.placement import Placement
from cloverway.serving.requests.request_log import RequestLog, SendSummary
from cloverway.serving.requests.stream_origin import (
    ORIGIN_HEADER,
    decode_origin,
    list_stream_keys,
)
from cloverway.serving.requests.streaming import EventRelay
from cloverway.serving.requests.target_selector import Target

ORIGIN_MARGIN_S = 5.0
"""How much longer than its caller waits it is remembered where a stream began."""
PEER_RETRY_DELAY_S = 1.0
"""Time for which no request is forwarded to a host that failed."""


class RequestExecution:
    """The state of one request while it is executed."""

    def __init__(
        self,
        context: Context,
        exchange: Exchange,
        call: Call,
        route: Route,
        origin: StreamOrigin | None = None,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.call = call
        self.route = route
        self.binding = StreamBinding(origin)
        self.expires_at = min(call.deadline, call.arrived_at + route.timeout_s)
        self.service = self._get_service()
        self.ran = Ran.NO
        self.runs = 0
        """Attempts that ran the request or may have run it."""
        self.sends = 0
        self.endpoint_sends = 0
        """Attempts that were written to an endpoint; only those count against the retry budget."""
        self.sent_at = call.arrived_at
        """When the last attempt began."""
        self.tried: Counter[str] = Counter()
        self.routed = RoutedCall(
            call,
            route,
            self.service,
            self.tried,
            call.compute_digest(),
            call.prompt.shared_parts if call.prompt is not None else (),
            self.binding if route.resumable or origin is not None else None,
        )
        self.placement = Placement(context, self.routed, self.expires_at)
        self.relay = EventRelay(exchange, self.routed, self._begin_stream)
        self.crash_tracker = CrashTracker(context, self.routed, self.relay.timing)
        self.log = RequestLog(context, self.routed, self.relay)

    async def run(self) -> None:
        """Run the request to the end of its response; raise RequestError."""
        if self.call.forwarding is None:
            slack = self.context.get_retry_slack(self.call.arrived_at)
            budget = self.context.get_budget(self.service.name)
            budget.record_request(slack, self.call.arrived_at)
        left_s = self.expires_at - read_clock()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._run_attempts()
        except TimeoutError:
            self._record_abandoned()
            error = RequestError(Kind.TIMED_OUT, "the time of the route is over", ran=self.ran)
            self._fail(error)
        except asyncio.CancelledError:
            self._record_abandoned()
            error = RequestError(Kind.CALLER_LEFT, "the caller left", ran=self.ran)
            self.log.record_end(error, 0, self.sends)
            raise
        finally:
            self.placement.retry_permit.release()

    async def _run_attempts(self) -> None:
        while True:
            self.crash_tracker.check(self.ran)
            target = await self._choose_target()
            outcome = await self._send(target)
            if isinstance(outcome, Answered):
                if await self._relay(target, outcome):
                    return
                continue
            self._record_failure(target, outcome)
            if isinstance(outcome, Broken):
                self._check_repeatable(outcome.reason)
            elif outcome.is_quarantined:
                raise RequestError(Kind.QUARANTINED, outcome.reason, ran=self.ran)

    async def _choose_target(self) -> Target:
        while True:
            target = await self.placement.choose(self.ran, self.endpoint_sends > 0)
            is_accepted = False
            try:
                # While it was queued, other hosts may have reported crashes that it caused.
                self.crash_tracker.check(self.ran)
                is_accepted = await self.crash_tracker.may_send(target)
            finally:
                if not is_accepted:
                    self.context.target_selector.release(target)
            if is_accepted:
                return target
            self.tried[target.name] += 1

    def _get_service(self) -> Service:
        name = self._choose_service()
        configuration = self.context.get_configuration()
        allowed = {share.service for share in self.route.services}
        service = configuration.services.get(name)
        if service is None or name not in allowed:
            raise RequestError(
                Kind.STARTING, "the service is not in the configuration of this host"
            )
        return service

    def _choose_service(self) -> str:
        if self.binding.origin is not None:
            return self.binding.origin.service
        if self.call.forwarding is not None:
            return self.call.forwarding.service
        return self.route.pick_service(random.random())

    # Sending

    async def _send(self, target: Target) -> Outcome:
        now = self.sent_at = read_clock()
        self.crash_tracker.record_sent(target, now)
        self.sends += 1
        self.log.record_sent(target, SendSummary(self.sends, self.expires_at, now))
        attempt = Attempt(
            self.context, self.routed, target, self._make_options(), self._record_written
        )
        ran_before = self.ran
        outcome: Outcome = Broken("cancelled")
        try:
            outcome = await attempt.run()
            self.endpoint_sends += outcome.reached_endpoint
            self.placement.retry_permit.record_reached(outcome.reached_endpoint)
            if isinstance(outcome, Declined):
                self.ran = ran_before
            else:
                self.runs += 1
            return outcome
        finally:
            if not isinstance(outcome, Answered) or outcome.body is not None:
                self.context.target_selector.release(target)
            label = type(outcome).__name__.lower()
            self.context.metrics.record_attempt(self.service.name, label)

    def _make_options(self) -> AttemptOptions:
        may_repeat = self._may_repeat(self.runs + 1)
        first_byte_timeout_s = compute_first_byte_timeout(self.route) if may_repeat else None
        lease = choose_lease(self.route, may_repeat)
        return AttemptOptions(self.expires_at, self.relay.last_id, first_byte_timeout_s, lease)

    def _record_written(self, client_exchange: ClientExchange) -> None:
        """Record that the request is sent, and may run from now on.

        Otherwise, if the route's timeout expired before the response, the refusal would say "not
        run" while the endpoint is still working on the request.
        """
        self.ran = combine_ran(self.ran, Ran.UNKNOWN)
        self.log.client_exchange = client_exchange
        self.placement.retry_permit.spend()

    # Responses

    async def _relay(self, target: Target, answered: Answered) -> bool:
        """Relay a response; return whether the request has ended."""
        if answered.body is not None:
            return await self._relay_complete(target, answered, answered.body)
        return await self._relay_stream(target, answered)

    async def _relay_complete(self, target: Target, answered: Answered, body: bytes) -> bool:
        failed = answered.head.status >= MIN_FAILURE_STATUS
        self._record_result(target, failed)
        self.crash_tracker.record_completed(target, answered)
        self.ran = Ran.YES
        if self.exchange.started:
            # A stream whose head was sent can't get another one, so it is ended as truncated.
            self._fail(RequestError(Kind.TRUNCATED, f"resumed with {answered.head.status}"))
            return True
        if failed and self._may_repeat(self.runs) and self._has_alternative(target):
            return False
        headers = list_end_to_end_headers(answered.head.headers)
        self.relay.framing = answered.head.framing
        self.relay.timing.record(read_clock())
        await self.exchange.answer(answered.head.status, headers, body)
        self.log.record_end(None, answered.head.status, self.sends)
        return True

    async def _relay_stream(self, target: Target, answered: Answered) -> bool:
        client_exchange = answered.client_exchange
        self.ran = Ran.YES
        try:
            # This attempt is already counted in `runs`: can there be another one after it?
            is_resumable = self._may_repeat(self.runs)
            await self.relay.copy(target, answered, is_resumable)
            await check_end(self.context, target, answered.head)
            await self.relay.finish(answered.head)
        except (ResponseError, ValueError) as error:
            self.relay.discard_partial_event()
            is_disconnect = isinstance(error, ResponseError) and not isinstance(
                error, IdleTimeoutError
            )
            # A host cuts a stream when its endpoint did; if the host is gone, connecting fails.
            is_target_fault = target.peer is None or not is_disconnect
            self._record_failure(
                target, Broken(str(error), is_target_fault, is_disconnect=is_disconnect)
            )
            self._check_repeatable(str(error))
            return False
        finally:
            self.context.target_selector.release(target)
            self.context.pool.release(
                target.destination, client_exchange, get_idle_timeout_s(target)
            )
        self._record_result(target, False)
        self.crash_tracker.record_completed(target, answered)
        self._record_gaps(target)
        self.log.record_end(None, answered.head.status, self.sends)
        return True

    def _begin_stream(self, target: Target, answered: Answered) -> None:
        """Record what began the stream, before its caller gets the first event of this answer."""
        self.binding.begin(_find_stream_origin(target, answered))
        origin = self.binding.origin
        if origin is not None and self.route.resumable:
            until = self.call.deadline + ORIGIN_MARGIN_S
            keys = list_stream_keys(self.call)
            self.context.stream_origins.record_begun(keys, origin, until, read_clock())

    # Failures

    def _record_failure(self, target: Target, outcome: Declined | Broken) -> None:
        now = read_clock()
        self.crash_tracker.record_failed()
        self.log.record_failed_attempt(target, outcome, now - self.sent_at)
        if isinstance(outcome, Broken):
            self.crash_tracker.record_broken(target, outcome, now)
        elif outcome.is_down and target.candidate is not None:
            # Nothing was sent. When it listens again, it may be used like a new endpoint.
            target.candidate.endpoint.refused_at = now
            self._record_endpoint_failure(target, now)
            return
        if target.peer is not None:
            self.tried[target.region] += 1
        if target.peer is None or outcome.is_target_fault:
            # A host without capacity may be used again once its region advertises some.
            self.tried[target.name] += 1
        if not outcome.is_target_fault:
            return
        if target.peer is not None:
            target.peer.backoff_until = now + PEER_RETRY_DELAY_S
        self._record_endpoint_failure(target, now)

    def _record_endpoint_failure(self, target: Target, now: float) -> None:
        if target.candidate is not None:
            target.candidate.endpoint.load.record_failure(now)
            self.context.pool.close_idle(target.destination)

    def _record_result(self, target: Target, failed: bool) -> None:
        if target.candidate is None:
            return
        load = target.candidate.endpoint.load
        now = read_clock()
        baseline = self.context.failure_baseline
        if failed:
            load.record_failure(now, baseline.get_weight(self.route.name))
        else:
            load.record_success(now)
        baseline.record(self.route.name, failed)

    def _record_gaps(self, target: Target) -> None:
        objective_s = self.route.gap_objective_s
        if target.candidate is not None and objective_s:
            isolation = self.context.target_selector.get_isolation(self.service.name)
            isolation.record_answer(self.relay.timing.longest_gap_s, objective_s, read_clock())

    def _record_abandoned(self) -> None:
        now = read_clock()
        stalled_target = self.crash_tracker.record_abandoned(now)
        if stalled_target is not None:
            self._record_endpoint_failure(stalled_target, now)

    def _may_repeat(self, runs: int) -> bool:
        """Return whether the request may be run again after `runs` runs."""
        attempts = self.route.attempts if self.call.forwarding is None else 1
        return self.route.repeatable and runs < attempts

    def _has_alternative(self, target: Target) -> bool:
        self.tried[target.name] = 1
        now = read_clock()
        if self.expires_at - now < self.route.objective_s * 0.3:
            return False
        return self.context.target_selector.has_alternative(self.routed, now)

    def _check_repeatable(self, reason: str) -> None:
        """Raise RequestError unless a request that may have run may be sent again."""
        if not self._may_repeat(self.runs):
            raise RequestError(Kind.ENDPOINT_FAILED, reason, ran=self.ran)

    def _fail(self, error: RequestError) -> None:
        if self.exchange.started:
            self.log.record_end(error, 0, self.sends)
            self.exchange.abort()
            return
        raise error


def _find_stream_origin(target: Target, answered: Answered) -> StreamOrigin | None:
    """Return what began a stream whose first event has just arrived; None if it isn't certain."""
    if target.candidate is None:
        return decode_origin(answered.head.get(ORIGIN_HEADER))
    endpoint, connection = target.candidate.endpoint, answered.client_exchange.connection
    entry = endpoint.entry
    if not entry.version or not endpoint.is_certain(connection.opened_at):
        return None
    return StreamOrigin(entry.service, entry.version)
