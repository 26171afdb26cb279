"""A place for a request: who waits for one, for how long, who is refused, and when to come back."""

from __future__ import annotations

import random

from cloverway.core.prediction import RoutedCall, estimate_prefill_s
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.requests.targeting import Target
from cloverway.serving.requests.waiting import Ask, Rank

LEAST_S = 0.05
"""A request with less time left isn't sent: its answer could not come back in time."""
WAIT_PART = 0.2
"""Part of the time of its route that a request waits for a place. Late, its answer is still worth
something to its caller, and what is left of the time suffices for the answer."""
LEAST_WAIT_PART = 0.1
"""The same after a send that did not run, however late it is."""
PASSED_WAIT_PART = 0.3
"""The same at a host that it was passed on to: the one that passed it on may know another place."""
RETRY_PARTS = (0.2, 0.6)
"""Parts of the objective between which a refused caller is told to come back: spread, so that those
refused together don't return together. It isn't taken from the measured rate of work yet."""
LEAST_RETRY_S = 0.2
MOST_RETRY_S = 5.0
"""The longest time after which a caller is told to come back: estimates of a line are no better."""


class Placement:
    """Finds the places of one request."""

    def __init__(self, context: Context, routed: RoutedCall, limit_at: float) -> None:
        self._context = context
        self._routed = routed
        self._limit_at = limit_at
        """When the answer is no longer wanted."""

    async def choose(self, ran: Ran, is_repeat: bool) -> Target:
        """Take the next place, waiting for it a little; raise RequestError.

        `ran` is what is known of the sends before, `is_repeat` whether one of them was written out.
        """
        targeting = self._context.targeting
        now = read_clock()
        if self._limit_at - now < LEAST_S:
            raise RequestError(Kind.DEADLINE, "no time is left", ran=ran)
        if is_repeat and not self._may_send_again(now):
            raise self._refuse("the retry budget is spent", ran)
        line = targeting.get_line(self._routed.service.name)
        ask = self._make_ask()
        target = line.try_now(ask, self._take, now)
        if target is not None:
            return target
        expected_s = targeting.estimate_start(self._routed, line.sum_ahead(ask, now), now)
        patience_s = self._choose_patience(now)
        if expected_s is not None and expected_s > patience_s:
            why = targeting.explain(self._routed, now)
            raise self._refuse(why, ran, expected_s - patience_s)
        target = await line.wait(ask, self._take, now + patience_s, targeting.release)
        if target is None:
            raise self._refuse(targeting.explain(self._routed, read_clock()), ran)
        return target

    def _take(self, ahead_s: float) -> Target | None:
        return self._context.targeting.take(self._routed, ahead_s, read_clock())

    def _make_ask(self) -> Ask:
        call, route = self._routed.call, self._routed.route
        read_s = estimate_prefill_s(self._routed)
        late_at = call.arrived_at + route.objective_s - read_s
        return Ask(Rank(route.priority, call.arrived_at), read_s, late_at)

    def _choose_patience(self, now: float) -> float:
        """Give the time that the request may wait for a place."""
        call, objective_s = self._routed.call, self._routed.route.objective_s
        if call.passed_on is not None:
            return PASSED_WAIT_PART * objective_s
        may_wait_s = WAIT_PART * (self._limit_at - call.arrived_at)
        waited_s = now - call.arrived_at
        return max(LEAST_WAIT_PART * objective_s, may_wait_s - waited_s)

    def _refuse(self, why: str, ran: Ran, over_s: float = 0.0) -> RequestError:
        """Refuse the request; `over_s` is how much longer it would wait than it may."""
        if ran is not Ran.NO:
            return RequestError(Kind.ENDPOINT_FAILED, why, ran=ran)
        part_s = random.uniform(*RETRY_PARTS) * self._routed.route.objective_s
        retry_s = max(LEAST_RETRY_S, part_s, min(over_s, MOST_RETRY_S))
        return RequestError(Kind.NO_CAPACITY, why, ran=Ran.NO, retry_after=retry_s)

    def _may_send_again(self, now: float) -> bool:
        hosts = self._context.members.count_hosts()
        return self._context.get_budget(self._routed.service.name).take(hosts, now)
