"""Retries: which attempts may be repeated, and a budget so that an outage multiplies nothing."""

from __future__ import annotations

from collections import deque

from cloverway.errors import Ran
from cloverway.messages import Outcome

BUDGET_WINDOW_S = 10.0
RETRIES_PER_SUCCESS = 0.1
"""Retries per recent success."""
MIN_RETRIES = 1
"""Retries in a window without any success, so that a quiet host can still retry one."""

RAN_AFTER_OUTCOME: dict[Outcome, Ran] = {
    Outcome.DONE: Ran.YES,
    Outcome.NOT_SENT: Ran.NO,
    Outcome.REFUSED: Ran.NO,
    Outcome.FAILED: Ran.UNKNOWN,
    Outcome.LOST: Ran.UNKNOWN,
    Outcome.CALLER_LEFT: Ran.UNKNOWN,
}
"""What is known of an attempt after each outcome."""


def may_retry(outcome: Outcome, idempotent: bool) -> bool:
    """Tell whether another attempt is safe.

    An attempt that certainly did not run can be made elsewhere. After the first byte may have left,
    only an idempotent request can: the endpoint may have run it though its answer was lost.
    """
    if outcome in (Outcome.NOT_SENT, Outcome.REFUSED):
        return True
    return outcome in (Outcome.FAILED, Outcome.LOST) and idempotent


class RetryBudget:
    """Allow retries up to a share of the successes of the last seconds."""

    def __init__(self) -> None:
        self._successes: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_success(self, now: float) -> None:
        """Count an attempt that gave a whole answer."""
        self._successes.append(now)
        self._prune(now)

    def try_take(self, now: float) -> bool:
        """Take a retry out of the budget, if there is one left."""
        self._prune(now)
        if len(self._retries) >= MIN_RETRIES + RETRIES_PER_SUCCESS * len(self._successes):
            return False
        self._retries.append(now)
        return True

    def _prune(self, now: float) -> None:
        for times in (self._successes, self._retries):
            while times and times[0] <= now - BUDGET_WINDOW_S:
                times.popleft()
