"""The course of one request: take a place, send, relay the answer, try again where that is safe.

What may be told to the caller follows from what is known of all sends: a refusal that says "not
run" is only given while no send may have run, and a request that may not be repeated is sent again
only after its endpoint said that it did not run it.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from functools import cached_property

from cloverway.core.calls import Call
from cloverway.core.deployment import Route, Service
from cloverway.core.prediction import STALLED_AFTER_S, Wanted
from cloverway.core.quarantine import Crash
from cloverway.errors import Kind, Ran, RequestError, take_worse
from cloverway.serving.attempt import (
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
from cloverway.serving.client import AnswerError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.placement import Placement
from cloverway.serving.server import Exchange
from cloverway.serving.streaming import EventRelay, list_end_to_end
from cloverway.serving.targeting import Target
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
        self.ended: list[str] = []
        """The lives of endpoints that ended, by all signs, while they ran it."""
        self.awaited: Target | None = None
        """Where the answer to it is awaited from."""
        self.tried: Counter[str] = Counter()
        self.wanted = Wanted(call, route, self.service, self.tried)
        self.placement = Placement(context, self.wanted, self.limit_at)
        self.relay = EventRelay(exchange, self.wanted)

    async def run(self) -> None:
        """Run the request to the end of its answer; raise RequestError."""
        if self.call.passed_on is None:
            self.context.get_budget(self.service.name).note_request(self.call.arrived_at)
        left_s = self.limit_at - read_clock()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                await self._run_attempts()
        except TimeoutError:
            self._note_silence()
            error = RequestError(Kind.TIMED_OUT, "the time of the route is over", ran=self.ran)
            self._fail(error)
        except asyncio.CancelledError:
            self._note_silence()
            self._tell_end(RequestError(Kind.CALLER_LEFT, "the caller left", ran=self.ran), 0)
            raise

    async def _run_attempts(self) -> None:
        while True:
            self._check_quarantine()
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
                self._check_quarantine()
                is_kept = await self._may_send(target)
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
        self.awaited = target
        self.sends += 1
        self._tell_choice(target, now)
        attempt = Attempt(self.context, self.wanted, target, self._make_terms(), self._note_written)
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
        self.ran = take_worse(self.ran, Ran.UNKNOWN)

    # Answers

    async def _relay(self, target: Target, answered: Answered) -> bool:
        """Pass an answer on; tell whether the request has ended."""
        if answered.body is not None:
            return await self._relay_whole(target, answered, answered.body)
        return await self._relay_stream(target, answered)

    async def _relay_whole(self, target: Target, answered: Answered, body: bytes) -> bool:
        failed = answered.head.status >= RETRY_STATUS
        self._note_result(target, failed)
        self._note_whole(target, answered)
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
        except (AnswerError, ValueError) as error:
            self.relay.drop_rest()
            is_end = isinstance(error, AnswerError) and not isinstance(error, SilenceError)
            self._note_failure(target, Broken(str(error), is_end=is_end))
            self._check_repeatable(str(error))
            return False
        finally:
            self.context.targeting.release(target)
            self.context.pool.release(target.place, sending, get_idle_s(target))
        self._note_result(target, False)
        self._note_whole(target, answered)
        self._tell_end(None, answered.head.status)
        return True

    # Failures

    def _note_failure(self, target: Target, outcome: Declined | Broken) -> None:
        now = read_clock()
        self.awaited = None
        self._tell_failure(target, outcome, now)
        if isinstance(outcome, Broken):
            self._note_ends(target, outcome, now)
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
            target.peer.failed_until = now + PEER_FAILED_S
        self._blame_endpoint(target, now)

    def _blame_endpoint(self, target: Target, now: float) -> None:
        if target.candidate is not None:
            target.candidate.endpoint.load.note_failure(now)
            self.context.pool.forget(target.place)

    def _note_result(self, target: Target, failed: bool) -> None:
        if target.candidate is None:
            return
        load = target.candidate.endpoint.load
        now = read_clock()
        usual = self.context.usual_failures
        if failed:
            load.note_failure(now, usual.weigh(self.route.name))
        else:
            load.note_success(now)
        usual.note(self.route.name, failed)

    # Requests that end endpoints

    @cached_property
    def _digest(self) -> int:
        return self.call.compute_digest()

    def _check_quarantine(self) -> None:
        """Raise RequestError when the request has ended too many endpoints to be run again."""
        hold = self.context.quarantine.get_hold(self._digest, read_clock())
        if hold is not None:
            why = f"{hold.ends} endpoints ended while they ran it"
            left_s = hold.left_s if self.ran is Ran.NO else None
            raise RequestError(Kind.QUARANTINED, why, ran=self.ran, retry_after=left_s)

    async def _may_send(self, target: Target) -> bool:
        """Tell whether the request may be sent to a place, after asking it where it may be gone."""
        if target.candidate is None:
            return True
        return await self.context.lives.may_send(target.candidate.endpoint, self._digest)

    def _note_ends(self, target: Target, outcome: Broken, now: float) -> None:
        if outcome.is_end:
            self._note_end(target, now)
        elif self._is_stalled(target, now):
            self._note_end(target, self._heard_at)
        for life in outcome.ended:
            # Not told on: the host that saw it does so, but its answer is here before its word.
            self.context.quarantine.note_crash(Crash(life, (self._digest,), now))

    def _note_end(self, target: Target, at: float) -> None:
        if target.candidate is not None:
            life = target.candidate.endpoint.entry.life
            self.ended.append(life)
            self.context.crashes.note_end(life, self._digest, at)

    def _note_whole(self, target: Target, answered: Answered) -> None:
        """Note that the request had a whole answer, so that it ends nothing."""
        self.awaited = None
        self.context.crashes.note_served(self._digest)
        if target.candidate is not None:
            # Only the life that a connection was opened to answers on it. By its entry alone, one
            # that is back before its entry tells would take back the end that it came from.
            life = target.candidate.endpoint.entry.life
            opened_at = answered.sending.connection.opened_at
            self.context.quarantine.note_alive(life, opened_at, read_clock())

    def _note_silence(self) -> None:
        """Take an endpoint for ended that was silent when the request was given up.

        One that loses power with the request says nothing, and the connection neither.
        """
        now = read_clock()
        target = self.awaited
        is_silent = now - self._heard_at >= STALLED_AFTER_S
        if target is None or not is_silent or not self._is_stalled(target, now):
            return
        self._note_end(target, self._heard_at)
        self._blame_endpoint(target, now)

    @property
    def _heard_at(self) -> float:
        """When the last send began, or its answer was last heard of."""
        return max(self.sent_at, self.relay.timing.last_at)

    def _is_stalled(self, target: Target, now: float) -> bool:
        """Tell whether an endpoint has served nobody here for longer than a sound one would."""
        if target.candidate is None:
            return False
        return now - target.candidate.endpoint.load.progress_at > STALLED_AFTER_S

    def _may_repeat(self, runs: int) -> bool:
        """Tell whether the request may be run again after some runs."""
        attempts = self.route.attempts if self.call.passed_on is None else 1
        return self.route.repeatable and runs < attempts

    def _has_alternative(self, target: Target) -> bool:
        self.tried[target.name] = 1
        now = read_clock()
        if self.limit_at - now < self.route.objective_s * 0.3:
            return False
        return self.context.targeting.has_place(self.wanted, now)

    def _check_repeatable(self, reason: str) -> None:
        """Raise RequestError unless a request that may have run may be sent again."""
        if not self._may_repeat(self.runs):
            raise RequestError(Kind.ENDPOINT_FAILED, reason, ran=self.ran)

    def _fail(self, error: RequestError) -> None:
        if self.exchange.started:
            self._tell_end(error, 0)
            self.exchange.cut()
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
            unread=candidate.work.unread if candidate else None,
            fetched=candidate.work.fetched if candidate else None,
            fetch_from=candidate.source.entry.id if candidate and candidate.source else None,
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
