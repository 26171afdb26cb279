"""The dispatcher: the single thread that owns queues, in-flight counts, limits and budgets.

Workers request a route and block until they get a verdict. `decisions.DispatchCore` makes all
decisions.
"""

from __future__ import annotations

import itertools
import logging
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from random import Random
from typing import Any, NamedTuple

from cloverway.config.settings import Settings
from cloverway.dispatch.decisions import Decision, DispatchCore, DispatchStats
from cloverway.dispatch.ends import CrashTracker
from cloverway.dispatch.explanation import Explanation
from cloverway.errors import Kind
from cloverway.membership.view import ViewHolder
from cloverway.messages import (
    Arrival,
    Cancelled,
    Finished,
    Outcome,
    Refused,
    Request,
    Started,
    Verdict,
)
from cloverway.task import Task

log = logging.getLogger(__name__)

TICK_S = 0.01
"""Period in which waiting requests are checked; well below the 20 ms that a refusal may take."""
MAX_RETRY_WAIT_S = 3_605.0
"""Maximum wait for a new route: the longest deadline of a profile plus the grace period."""
VERDICT_GRACE_S = 5.0
"""How long a worker waits for its verdict after the request's deadline."""


class Explain(NamedTuple):
    """Message: explain where a request would be routed, and why."""

    team: str
    profile: str
    now: float


class Dispatcher:
    """Assign routes to requests. All methods are thread-safe."""

    def __init__(
        self, core: DispatchCore, holder: ViewHolder, clock: Callable[[], float], random: Random
    ) -> None:
        self._core = core
        self._holder = holder
        self._clock = clock
        self._random = random
        self._entry_ids = itertools.count(1)
        self._pending_verdicts: dict[int, Future[Verdict | None]] = {}
        self._stats = DispatchStats()
        self._task = Task("dispatcher", self._handle, self._tick, TICK_S)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        holder: ViewHolder,
        clock: Callable[[], float] = time.monotonic,
        random: Random | None = None,
        crash_tracker: CrashTracker | None = None,
    ) -> Dispatcher:
        """Create a dispatcher from a daemon's settings; `start` runs it."""
        return cls(
            DispatchCore.from_config(settings, crash_tracker), holder, clock, random or Random()
        )

    def start(self) -> None:
        """Start the thread."""
        self._task.start()

    def stop(self) -> None:
        """Stop the thread and refuse the requests that are still waiting."""
        self._task.stop()
        for answer in self._pending_verdicts.values():
            answer.set_result(Refused(Kind.LEAVING, retry_after=0.0))
        self._pending_verdicts.clear()

    def submit(self, request: Request) -> Verdict:
        """Wait for a route or a refusal, at most until shortly after the request's deadline."""
        return self._wait_for_verdict(Arrival(request), request)

    def report_started(self, ticket: int, at: float) -> None:
        """Record the first byte of an answer."""
        self._task.send(Started(ticket, at))

    def report_finished(
        self,
        ticket: int,
        outcome: Outcome,
        at: float,
        retry: bool = False,
        requested_pause_s: float | None = None,
    ) -> Verdict | None:
        """Record the end of an attempt; with `retry`, wait for a new route or a refusal."""
        answer = self._task.send(Finished(ticket, outcome, at, retry, requested_pause_s))
        verdict: Verdict | None = answer.result(MAX_RETRY_WAIT_S) if retry else None
        return verdict

    def cancel(self, request_id: str) -> None:
        """Remove a request from the queue; its `submit` then returns a refusal."""
        self._task.send(Cancelled(request_id))

    def explain(self, team: str, profile: str, now: float) -> Explanation:
        """Explain where a request would be routed, and why."""
        explanation: Explanation = self._task.ask(Explain(team, profile, now), VERDICT_GRACE_S)
        return explanation

    def get_load(self) -> float:
        """Return the requests in progress as a fraction of the limit, 0 to 1."""
        return self._stats.load

    def count_in_flight(self) -> int:
        """Return the number of attempts in progress."""
        return self._stats.in_flight

    def count_queued(self) -> int:
        """Return the number of requests that wait for a route."""
        return self._stats.queued

    def count_targets(self) -> dict[str, int]:
        """Return the number of requests in progress by model or service."""
        return self._stats.targets

    def _wait_for_verdict(self, message: Arrival, request: Request) -> Verdict:
        answer = self._task.send(message)
        try:
            verdict: Verdict = answer.result(request.deadline - self._clock() + VERDICT_GRACE_S)
        except TimeoutError:
            log.error(
                "the dispatcher returned no verdict in time",
                extra={"request_id": request.id},
            )
            self.cancel(request.id)
            return Refused(Kind.INTERNAL)
        return verdict

    def _handle(self, message: Any, answer: Future[Any]) -> None:
        now = self._clock()
        view = self._holder.current
        match message:
            case Arrival(request):
                entry_id = self._register(answer)
                self._deliver(self._core.arrive(entry_id, request, view, now, self._random))
            case Started(ticket, at):
                self._core.start(ticket, view, at)
                answer.set_result(None)
            case Finished(ticket, outcome, at, retry, requested_pause_s):
                retry_id = self._register(answer) if retry else None
                decisions = self._core.finish(
                    ticket,
                    outcome,
                    view,
                    now,
                    self._random,
                    retry_entry_id=retry_id,
                    requested_pause_s=requested_pause_s,
                )
                self._deliver(decisions)
                if retry_id is None:
                    answer.set_result(None)
            case Cancelled(request_id):
                self._deliver(self._core.cancel(request_id))
                answer.set_result(None)
            case Explain(team, profile, at):
                answer.set_result(self._core.explain(team, profile, view, at))

    def _tick(self) -> None:
        self._deliver(self._core.advance(self._holder.current, self._clock(), self._random))

    def _register(self, answer: Future[Verdict | None]) -> int:
        entry_id = next(self._entry_ids)
        self._pending_verdicts[entry_id] = answer
        return entry_id

    def _deliver(self, decisions: Iterable[Decision]) -> None:
        self._stats = self._core.get_stats()
        for entry_id, verdict in decisions:
            self._pending_verdicts.pop(entry_id).set_result(verdict)
