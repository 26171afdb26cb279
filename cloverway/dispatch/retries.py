"""Retries: which attempts may be retried, and a budget against load amplification in an outage."""

from __future__ import annotations

from collections import deque

from cloverway.errors import Ran
from cloverway.messages import Outcome

BUDGET_WINDOW_S = 10.0
RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES = 1
"""Retries in a window without any success, so that a host with little traffic can retry too."""

RAN_AFTER_OUTCOME: dict[Outcome, Ran] = {
    Outcome.DONE: Ran.YES,
    Outcome.NOT_SENT: Ran.NO,
    Outcome.REFUSED: Ran.NO,
    Outcome.FAILED: Ran.UNKNOWN,
    Outcome.LOST: Ran.UNKNOWN,
    Outcome.CALLER_LEFT: Ran.UNKNOWN,
}
"""Whether an attempt ran the request, by its outcome."""


def may_retry(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether another attempt is safe.

    A request that certainly did not run can be retried elsewhere. Once its first byte may have been
    sent, only an idempotent request can: the endpoint may have run it although its answer was lost.
    """
    if outcome in (Outcome.NOT_SENT, Outcome.REFUSED):
        return True
    return outcome in (Outcome.FAILED, Outcome.LOST) and idempotent


class RetryBudget:
    """Allow retries up to a share of the recent successes."""

    def __init__(self) -> None:
        self._successes: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_success(self, now: float) -> None:
        """Record an attempt with a complete answer."""
        self._successes.append(now)
        self._prune(now)

    def try_take(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        self._prune(now)
        if len(self._retries) >= MIN_RETRIES + RETRIES_PER_SUCCESS * len(self._successes):
            return False
        self._retries.append(now)
        return True

    def _prune(self, now: float) -> None:
        for times in (self._successes, self._retries):
            while times and times[0] <= now - BUDGET_WINDOW_S:
                times.popleft()
