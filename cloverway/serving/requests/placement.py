"""A place for a request: who waits for one, for how long, who is refused, and when to come back."""

from __future__ import annotations

import random

from cloverway.core.prediction import Wanted, estimate_read
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.requests.request_queue import QueueRank, QueueTicket
from cloverway.serving.requests.target_selector import Target

MIN_SEND_TIME_S = 0.05
"""A request with less time left isn't sent: its answer could not come back in time."""
QUEUE_WAIT_FRACTION = 0.2
"""Part of the time of its route that a request waits for a place. Late, its answer is still worth
something to its caller, and what is left of the time suffices for the answer."""
MIN_WAIT_FRACTION = 0.1
"""The same after a send that did not run, however late it is."""
PASSED_ON_WAIT_FRACTION = 0.3
"""The same at a host that it was passed on to: the one that passed it on may know another place."""
RETRY_AFTER_FRACTIONS = (0.2, 0.6)
"""Parts of the objective between which a refused caller is told to come back: spread, so that those
refused together don't return together. It isn't taken from the measured rate of work yet."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
"""The longest time after which a caller is told to come back: estimates of a line are no better."""


class Placement:
    """Finds the places of one request."""

    def __init__(self, context: Context, wanted: Wanted, expires_at: float) -> None:
        self._context = context
        self._wanted = wanted
        self._expires_at = expires_at
        """When the answer is no longer wanted."""

    async def choose(self, ran: Ran, is_retry: bool) -> Target:
        """Take the next place, waiting for it a little; raise RequestError.

        `ran` is what is known of the sends before, `is_repeat` whether one of them was written out.
        """
        target_selector = self._context.target_selector
        now = read_clock()
        if self._expires_at - now < MIN_SEND_TIME_S:
            raise RequestError(Kind.DEADLINE, "no time is left", ran=ran)
        if is_retry and not self._spend_retry_budget(now):
            raise self._refuse("the retry budget is spent", ran)
        queue = target_selector.get_queue(self._wanted.service.name)
        ticket = self._make_ticket()
        target = queue.try_acquire(ticket, self._take, now)
        if target is not None:
            return target
        expected_s = target_selector.estimate_start(
            self._wanted, queue.sum_work_ahead(ticket, now), now
        )
        queue_timeout_s = self._compute_queue_timeout(now)
        if expected_s is not None and expected_s > queue_timeout_s:
            why = target_selector.explain(self._wanted, now)
            raise self._refuse(why, ran, expected_s - queue_timeout_s)
        target = await queue.wait(
            ticket, self._take, now + queue_timeout_s, target_selector.release
        )
        if target is None:
            raise self._refuse(target_selector.explain(self._wanted, read_clock()), ran)
        return target

    def _take(self, ahead_s: float) -> Target | None:
        return self._context.target_selector.take(self._wanted, ahead_s, read_clock())

    def _make_ticket(self) -> QueueTicket:
        call, route = self._wanted.call, self._wanted.route
        read_s = estimate_read(self._wanted)
        latest_start_at = call.arrived_at + route.objective_s - read_s
        return QueueTicket(QueueRank(route.priority, call.arrived_at), read_s, latest_start_at)

    def _compute_queue_timeout(self, now: float) -> float:
        """Give the time that the request may wait for a place."""
        call, objective_s = self._wanted.call, self._wanted.route.objective_s
        if call.passed_on is not None:
            return PASSED_ON_WAIT_FRACTION * objective_s
        may_wait_s = QUEUE_WAIT_FRACTION * (self._expires_at - call.arrived_at)
        waited_s = now - call.arrived_at
        return max(MIN_WAIT_FRACTION * objective_s, may_wait_s - waited_s)

    def _refuse(self, why: str, ran: Ran, excess_s: float = 0.0) -> RequestError:
        """Refuse the request; `over_s` is how much longer it would wait than it may."""
        if ran is not Ran.NO:
            return RequestError(Kind.ENDPOINT_FAILED, why, ran=ran)
        part_s = random.uniform(*RETRY_AFTER_FRACTIONS) * self._wanted.route.objective_s
        retry_s = max(MIN_RETRY_AFTER_S, part_s, min(excess_s, MAX_RETRY_AFTER_S))
        return RequestError(Kind.NO_CAPACITY, why, ran=Ran.NO, retry_after=retry_s)

    def _spend_retry_budget(self, now: float) -> bool:
        hosts = self._context.members.count_fleet()
        return self._context.get_budget(self._wanted.service.name).take(hosts, now)
