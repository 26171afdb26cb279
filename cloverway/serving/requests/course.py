"""The course of one request: take a place, send, relay the answer, try again where that is safe.

What may be told to the caller follows from what is known of all sends: a refusal that says "not
run" is only given while no send may have run, and a request that may not be repeated is sent again
only after its endpoint said that it did not run it.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from cloverway.core.calls import Call
from cloverway.core.deployment import Route, Service
from cloverway.core.prediction import RoutedCall
from cloverway.errors import Kind, Ran, RequestError, combine_ran
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.http.client import ResponseError
from cloverway.serving.http.server import Exchange
from cloverway.serving.requests.attempt import (
    RETRY_STATUS,
    Answered,
    Attempt,
    AttemptTerms,
    Broken,
    Declined,
    Outcome,
    SilenceError,
    get_idle_s,
)
from cloverway.serving.requests.placement import Placement
from cloverway.serving.requests.streaming import EventRelay, list_end_to_end
from cloverway.serving.requests.suspicion import Suspicion
from cloverway.serving.requests.targeting import Target
from cloverway.serving.telemetry import format_digest, tell

FIRST_PATIENCE = 2.5
"""Silence before the answer, in objectives, after which a request that may be repeated is run
elsewhere. A connection may have gone silent for good, and its endpoint may hang: neither says so.
Requests wait at the hosts and not at endpoints, so a sound one answers well within it."""
PEER_FAILED_S = 1.0
"""How long a host that could not be reached is not tried again."""


class Course:
    """The state of one request while it is run."""

    def __init__(self, context: Context, exchange: Exchange, call: Call, route: Route) -> None:
        self.context = context
        self.exchange = exchange
        self.call = call
        self.route = route
        self.limit_at = min(call.deadline, call.arrived_at + route.timeout_s)
        self.service = self._get_service()
        self.ran = Ran.NO
        self.runs = 0
        """Sends that ran or may have run."""
        self.sends = 0
        self.arrivals = 0
        """Sends that were written out: only those draw on the retry budget."""
        self.sent_at = call.arrived_at
        """When the last send began."""
        self.tried: Counter[str] = Counter()
        self.routed = RoutedCall(call, route, self.service, self.tried, call.compute_digest())
        self.placement = Placement(context, self.routed, self.limit_at)
        self.relay = EventRelay(exchange, self.routed)
        self.suspicion = Suspicion(context, self.routed, self.relay.timing)

    async def run(self) -> None:
        """Run the request to the end of its answer; raise RequestError."""
        if self.call.passed_on is None:
            self.context.get_budget(self.service.name).note_request(self.call.arrived_at)
        left_s = self.limit_at - read_clock()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._run_attempts()
        except TimeoutError:
            self._note_given_up()
            error = RequestError(Kind.TIMED_OUT, "the time of the route is over", ran=self.ran)
            self._fail(error)
        except asyncio.CancelledError:
            self._note_given_up()
            self._tell_end(RequestError(Kind.CALLER_LEFT, "the caller left", ran=self.ran), 0)
            raise

    async def _run_attempts(self) -> None:
        while True:
            self.suspicion.check(self.ran)
            target = await self._take_place()
            outcome = await self._send(target)
            if isinstance(outcome, Answered):
                if await self._relay(target, outcome):
                    return
                continue
            self._note_failure(target, outcome)
            if isinstance(outcome, Broken):
                self._check_repeatable(outcome.reason)
            elif outcome.is_quarantined:
                raise RequestError(Kind.QUARANTINED, outcome.reason, ran=self.ran)

    async def _take_place(self) -> Target:
        while True:
            target = await self.placement.choose(self.ran, self.arrivals > 0)
            is_kept = False
            try:
                # It may have waited, and the news may have come meanwhile.
                self.suspicion.check(self.ran)
                is_kept = await self.suspicion.may_send(target)
            finally:
                if not is_kept:
                    self.context.targeting.release(target)
            if is_kept:
                return target
            self.tried[target.name] += 1

    def _get_service(self) -> Service:
        passed = self.call.passed_on
        name = passed.service if passed is not None else self.route.pick_service(random.random())
        configuration = self.context.get_configuration()
        allowed = {share.service for share in self.route.services}
        service = configuration.services.get(name)
        if service is None or name not in allowed:
            raise RequestError(Kind.STARTING, "the service isn't in the configuration here")
        return service

    # Sending

    async def _send(self, target: Target) -> Outcome:
        now = self.sent_at = read_clock()
        self.suspicion.note_sent(target, now)
        self.sends += 1
        self._tell_choice(target, now)
        attempt = Attempt(self.context, self.routed, target, self._make_terms(), self._note_written)
        ran_before = self.ran
        outcome: Outcome = Broken("cancelled")
        try:
            outcome = await attempt.run()
            self.arrivals += outcome.arrived
            if isinstance(outcome, Declined):
                self.ran = ran_before
            else:
                self.runs += 1
            return outcome
        finally:
            if not isinstance(outcome, Answered) or outcome.body is not None:
                self.context.targeting.release(target)
            label = type(outcome).__name__.lower()
            self.context.figures.note_attempt(self.service.name, label)

    def _make_terms(self) -> AttemptTerms:
        patience_s = None
        if self._may_repeat(self.runs + 1):
            patience_s = FIRST_PATIENCE * self.route.objective_s
        return AttemptTerms(self.limit_at, self.relay.last_id, patience_s)

    def _note_written(self) -> None:
        """Note that the request may run from now on.

        If the time of the route ends while the answer is awaited, a refusal would otherwise say
        "not run" of a request that its endpoint is working on.
        """
        self.ran = combine_ran(self.ran, Ran.UNKNOWN)

    # Answers

    async def _relay(self, target: Target, answered: Answered) -> bool:
        """Pass an answer on; tell whether the request has ended."""
        if answered.body is not None:
            return await self._relay_whole(target, answered, answered.body)
        return await self._relay_stream(target, answered)

    async def _relay_whole(self, target: Target, answered: Answered, body: bytes) -> bool:
        failed = answered.head.status >= RETRY_STATUS
        self._note_result(target, failed)
        self.suspicion.note_whole(target, answered)
        self.ran = Ran.YES
        if self.exchange.started:
            # A stream that began can't get another head: it ends visibly cut.
            self._fail(RequestError(Kind.TRUNCATED, f"resumed with {answered.head.status}"))
            return True
        if failed and self._may_repeat(self.runs) and self._has_alternative(target):
            return False
        headers = list_end_to_end(answered.head)
        self.relay.timing.note(read_clock())
        await self.exchange.answer(answered.head.status, headers, body)
        self._tell_end(None, answered.head.status)
        return True

    async def _relay_stream(self, target: Target, answered: Answered) -> bool:
        sending = answered.sending
        self.ran = Ran.YES
        try:
            # The send counts as a run already: what is left tells whether there is another attempt.
            may_go_on = self._may_repeat(self.runs)
            await self.relay.copy(target, answered, may_go_on)
        except (ResponseError, ValueError) as error:
            self.relay.drop_incomplete()
            is_end = isinstance(error, ResponseError) and not isinstance(error, SilenceError)
            self._note_failure(target, Broken(str(error), is_end=is_end))
            self._check_repeatable(str(error))
            return False
        finally:
            self.context.targeting.release(target)
            self.context.pool.release(target.place, sending, get_idle_s(target))
        self._note_result(target, False)
        self.suspicion.note_whole(target, answered)
        self._note_pauses(target)
        self._tell_end(None, answered.head.status)
        return True

    # Failures

    def _note_failure(self, target: Target, outcome: Declined | Broken) -> None:
        now = read_clock()
        self.suspicion.note_failed()
        self._tell_failure(target, outcome, now)
        if isinstance(outcome, Broken):
            self.suspicion.note_broken(target, outcome, now)
        elif outcome.is_down and target.candidate is not None:
            # Nothing was sent: when it listens again, it may be tried like one that is new.
            target.candidate.endpoint.refused_at = now
            self._blame_endpoint(target, now)
            return
        if target.peer is not None:
            self.tried[target.region] += 1
        if target.peer is None or outcome.blames_host:
            # A host that had no place may have one when its region offers again.
            self.tried[target.name] += 1
        if not outcome.blames_host:
            return
        if target.peer is not None:
            target.peer.backoff_until = now + PEER_FAILED_S
        self._blame_endpoint(target, now)

    def _blame_endpoint(self, target: Target, now: float) -> None:
        if target.candidate is not None:
            target.candidate.endpoint.load.note_failure(now)
            self.context.pool.close_idle(target.place)

    def _note_result(self, target: Target, failed: bool) -> None:
        if target.candidate is None:
            return
        load = target.candidate.endpoint.load
        now = read_clock()
        baseline = self.context.failure_baseline
        if failed:
            load.note_failure(now, baseline.weigh(self.route.name))
        else:
            load.note_success(now)
        baseline.note(self.route.name, failed)

    def _note_pauses(self, target: Target) -> None:
        objective_s = self.route.gap_objective_s
        if target.candidate is not None and objective_s:
            isolation = self.context.targeting.get_isolation(self.service.name)
            isolation.note_answer(self.relay.timing.longest_gap_s, objective_s, read_clock())

    def _note_given_up(self) -> None:
        now = read_clock()
        silent = self.suspicion.note_given_up(now)
        if silent is not None:
            self._blame_endpoint(silent, now)

    def _may_repeat(self, runs: int) -> bool:
        """Tell whether the request may be run again after some runs."""
        attempts = self.route.attempts if self.call.passed_on is None else 1
        return self.route.repeatable and runs < attempts

    def _has_alternative(self, target: Target) -> bool:
        self.tried[target.name] = 1
        now = read_clock()
        if self.limit_at - now < self.route.objective_s * 0.3:
            return False
        return self.context.targeting.has_place(self.routed, now)

    def _check_repeatable(self, reason: str) -> None:
        """Raise RequestError unless a request that may have run may be sent again."""
        if not self._may_repeat(self.runs):
            raise RequestError(Kind.ENDPOINT_FAILED, reason, ran=self.ran)

    def _fail(self, error: RequestError) -> None:
        if self.exchange.started:
            self._tell_end(error, 0)
            self.exchange.abort()
            return
        raise error

    # Log

    def _tell_choice(self, target: Target, now: float) -> None:
        candidate = target.candidate
        tell(
            "sent",
            request_id=self.call.id,
            route=self.route.name,
            service=self.service.name,
            to=target.name,
            address=target.address,
            region=target.region,
            wait_s=round(candidate.wait_s, 3) if candidate else None,
            cost_s=round(candidate.cost_s, 3) if candidate else None,
            answer_s=round(candidate.decode_s, 3) if candidate else None,
            unread=candidate.work.prefill_tokens if candidate else None,
            fetched=candidate.work.fetched_tokens if candidate else None,
            fetch_from=(
                candidate.fetch_source.entry.id if candidate and candidate.fetch_source else None
            ),
            limit_per_s=self.context.directory.statements.get(target.name).limit_per_s,
            waited_s=round(now - self.call.arrived_at, 3),
            left_s=round(self.limit_at - now, 3),
            send=self.sends,
            version=(
                self.context.directory.configuration.version
                if self.context.directory.configuration
                else 0
            ),
        )

    def _tell_failure(self, target: Target, outcome: Declined | Broken, now: float) -> None:
        is_broken = isinstance(outcome, Broken)
        tell(
            "attempt_failed",
            request_id=self.call.id,
            request_digest=format_digest(self.call) if is_broken else None,
            to=target.name,
            outcome=type(outcome).__name__.lower(),
            why=outcome.reason,
            lasted_s=round(now - self.sent_at, 3),
        )

    def _tell_end(self, error: RequestError | None, status: int) -> None:
        now = read_clock()
        timing = self.relay.timing
        first_s = None if timing.first_at is None else timing.first_at - self.call.arrived_at
        total_s = now - self.call.arrived_at
        tell(
            "answered" if error is None else "cut",
            request_id=self.call.id,
            route=self.route.name,
            status=status,
            why=error.detail if error else None,
            sends=self.sends,
            first_s=None if first_s is None else round(first_s, 3),
            gap_s=round(timing.longest_gap_s, 3),
            total_s=round(total_s, 3),
        )
        kind = error.kind if error is not None else None
        self.context.figures.note_request(
            self.route.name, kind, first_s, total_s, timing.longest_gap_s
        )
