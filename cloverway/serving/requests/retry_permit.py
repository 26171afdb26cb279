"""A request's claim on the retry budget of its service."""

from __future__ import annotations

from cloverway.core.prediction import RoutedCall
from cloverway.serving.context import Context
from cloverway.serving.telemetry import log_event


class RetryPermit:
    """Holds a token of the retry budget from the decision to retry until the retry is sent."""

    def __init__(self, context: Context, routed: RoutedCall) -> None:
        self._context = context
        self._call_id = routed.call.id
        self._service = routed.service.name
        self._is_held = False
        self._is_spent = False

    def obtain(self, now: float) -> bool:
        """Return whether the request may be sent again; a permit that is still held is enough."""
        if self._is_held:
            return True
        slack = self._context.get_retry_slack(now)
        decision = self._context.get_budget(self._service).reserve(slack, now)
        self._is_held = decision.granted
        self._context.metrics.record_retry(self._service, decision.granted)
        log_event(
            "retry_granted" if decision.granted else "retry_refused",
            request_id=self._call_id,
            service=self._service,
            available=round(decision.available, 2),
            capacity=round(decision.capacity, 2),
            slack=round(slack, 2),
            hosts=self._context.members.known_hosts.count_domain(),
            age_s=round(self._context.members.get_age(now), 3),
        )
        return decision.granted

    def spend(self) -> None:
        """Spend the token, if one is held, because the request is about to be sent."""
        if self._is_held:
            self._context.get_budget(self._service).spend()
        self._is_spent, self._is_held = self._is_held, False

    def record_reached(self, reached_endpoint: bool) -> None:
        """Return the token if the request, which was sent, reached no endpoint."""
        if self._is_spent and not reached_endpoint:
            self._context.get_budget(self._service).refund()
        self._is_spent = False

    def release(self) -> None:
        """Release the token if it is still held."""
        if self._is_held:
            self._context.get_budget(self._service).release()
        self._is_held = False
