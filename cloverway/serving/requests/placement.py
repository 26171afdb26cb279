"""Placement of a request: how long it may be queued, when it is refused, and its Retry-After."""

from __future__ import annotations

import random

from cloverway.core.prediction import RoutedCall, estimate_prefill_s
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.requests.request_queue import QueueRank, QueueTicket
from cloverway.serving.requests.retry_permit import RetryPermit
from cloverway.serving.requests.target_selector import Target

MIN_SEND_TIME_S = 0.05
"""A request with less time left isn't sent, since its response could not arrive in time."""
QUEUE_WAIT_FRACTION = 0.2
"""Fraction of the route's timeout for which a request may be queued. A late response still has some
value for the caller, and the rest of the time suffices to produce it."""
MIN_WAIT_FRACTION = 0.1
"""Minimum queueing time, as a fraction of the objective, however late the request is: it applies
after an attempt that did not run."""
FORWARDED_WAIT_FRACTION = 0.3
"""Queueing time of a request from another host, as a fraction of the objective: that host may have
other targets for it."""
RETRY_AFTER_FRACTIONS = (0.2, 0.6)
"""Range of Retry-After, as fractions of the objective. It is randomized so that callers refused
together don't return together. It isn't derived from the measured service rate yet."""
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
"""Maximum Retry-After: estimates of the queueing time are not reliable beyond it."""


class Placement:
    """Obtains the targets of one request."""

    def __init__(self, context: Context, routed: RoutedCall, expires_at: float) -> None:
        self._context = context
        self._routed = routed
        self._expires_at = expires_at
        """Time at which the response is no longer of use."""
        self.retry_permit = RetryPermit(context, routed)

    async def choose(self, ran: Ran, is_retry: bool) -> Target:
        """Reserve the next target, queueing if needed; raise RequestError.

        `ran` tells whether earlier attempts ran the request, `is_retry` whether one of them was
        written to an endpoint.
        """
        target_selector = self._context.target_selector
        now = read_clock()
        self._check_continuable(ran, now)
        if self._expires_at - now < MIN_SEND_TIME_S:
            raise RequestError(Kind.DEADLINE, "no time is left", ran=ran)
        if is_retry and not self.retry_permit.obtain(now):
            raise self._refuse("the retry budget is spent", ran)
        queue = target_selector.get_queue(self._routed.service.name)
        ticket = self._make_ticket()
        target = queue.try_acquire(ticket, self._take, now)
        if target is not None:
            return target
        expected_s = target_selector.estimate_start_delay(
            self._routed, queue.sum_work_ahead(ticket, now), now
        )
        queue_timeout_s = self._compute_queue_timeout(now)
        if expected_s is not None and expected_s > queue_timeout_s:
            why = target_selector.explain(self._routed, now)
            raise self._refuse(why, ran, expected_s - queue_timeout_s)
        target = await queue.wait(
            ticket, self._take, now + queue_timeout_s, target_selector.release
        )
        if target is None:
            raise self._refuse(target_selector.explain(self._routed, read_clock()), ran)
        return target

    def _check_continuable(self, ran: Ran, now: float) -> None:
        """Raise RequestError if nothing that serves may go on with the stream.

        Waiting in the queue for such an endpoint would only delay the refusal.
        """
        binding = self._routed.binding
        if binding is None or not binding.has_events:
            return
        if binding.origin is None:
            why = "the version that began the stream isn't certain"
        elif not self._context.target_selector.is_origin_served(self._routed, now):
            why = f"no usable endpoint has the version {binding.origin.version}"
        else:
            return
        if ran is not Ran.NO:
            raise RequestError(Kind.ENDPOINT_FAILED, why, ran=ran)
        retry_s = random.uniform(*RETRY_AFTER_FRACTIONS) * self._routed.route.objective_s
        raise RequestError(Kind.VERSION_GONE, why, retry_after=max(MIN_RETRY_AFTER_S, retry_s))

    def _take(self, ahead_s: float) -> Target | None:
        return self._context.target_selector.take(self._routed, ahead_s, read_clock())

    def _make_ticket(self) -> QueueTicket:
        call, route = self._routed.call, self._routed.route
        prefill_s = estimate_prefill_s(self._routed)
        latest_start_at = call.arrived_at + route.objective_s - prefill_s
        return QueueTicket(QueueRank(route.priority, call.arrived_at), prefill_s, latest_start_at)

    def _compute_queue_timeout(self, now: float) -> float:
        """Return how long the request may be queued, in seconds."""
        call, objective_s = self._routed.call, self._routed.route.objective_s
        if call.forwarding is not None:
            return FORWARDED_WAIT_FRACTION * objective_s
        max_wait_s = QUEUE_WAIT_FRACTION * (self._expires_at - call.arrived_at)
        waited_s = now - call.arrived_at
        return max(MIN_WAIT_FRACTION * objective_s, max_wait_s - waited_s)

    def _refuse(self, why: str, ran: Ran, excess_s: float = 0.0) -> RequestError:
        """Return the refusal; `excess_s` is the expected queueing time beyond the queue timeout."""
        if ran is not Ran.NO:
            return RequestError(Kind.ENDPOINT_FAILED, why, ran=ran)
        base_s = random.uniform(*RETRY_AFTER_FRACTIONS) * self._routed.route.objective_s
        retry_s = max(MIN_RETRY_AFTER_S, base_s, min(excess_s, MAX_RETRY_AFTER_S))
        return RequestError(Kind.NO_CAPACITY, why, ran=Ran.NO, retry_after=retry_s)
