"""The part of one host in the retry budget of the fleet."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SAVED_WINDOWS = 1 / 3
"""Requests whose retries may be saved up, as a part of the window: those of the last moments."""
LAG_WINDOWS = 0.05
"""Time between a retry's send and its arrival at the endpoint, as a part of the window."""
USABLE_FRACTION = 1 / (1 + SAVED_WINDOWS + LAG_WINDOWS)
"""Fraction of the ratio that is used: the retries of one window may be earned by the requests of a
longer span."""
BURST_FRACTION = 0.6
"""Fraction of a host's part of the slack that it may save up for a burst."""
REFILL_FRACTION = 0.35
"""Fraction of that part that it earns in a window. Both fractions and the lag add up to the part at
most."""


class RetryBudgetSettings(NamedTuple):
    """Retries to a service that all hosts together may send in any time window."""

    ratio: float = 0.1
    """Retries for each request."""
    slack: float = 10.0
    """Retries that are allowed regardless of the number of requests."""
    window_s: float = 10.0


class RetryDecision(NamedTuple):
    """Whether a host may retry, and the figures that decided it."""

    granted: bool
    available: float
    """Retries that the host could send, before this one."""
    capacity: float
    """Retries that it may save up."""


class RetryBudget:
    """Token bucket for the retries of this host to one service.

    Requests of callers and this host's part of the slack earn tokens. In any window a host sends no
    more retries than the bucket held at its start and earned in it, so the sum over all hosts stays
    within the budget without communication. The bucket starts empty: what the previous process at
    this address has used is unknown, and its retries count in the same window.
    """

    def __init__(self, settings: RetryBudgetSettings, started_at: float) -> None:
        self._settings = settings
        self._saved_s = SAVED_WINDOWS * settings.window_s
        self._request_tokens = USABLE_FRACTION * settings.ratio
        self._requests: deque[float] = deque()
        self._tokens = 0.0
        self._reserved = 0
        self._updated_at = started_at

    def record_request(self, slack: float, now: float) -> None:
        """Count a request of a caller; `slack` is this host's part of the slack."""
        self._refill(slack, now)
        self._requests.append(now)
        self._tokens += self._request_tokens

    def reserve(self, slack: float, now: float) -> RetryDecision:
        """Decide whether this host may retry, and reserve a token for it.

        A reserved token is spent when the retry is sent. Until then it stays in the bucket, so that
        retries that wait in a queue are not followed by others when they are sent.
        """
        capacity = self._refill(slack, now)
        available = self._tokens - self._reserved
        is_granted = available >= 1
        self._reserved += is_granted
        return RetryDecision(is_granted, available, capacity)

    def spend(self) -> None:
        """Spend a reserved token, because the retry is sent."""
        self._reserved -= 1
        self._tokens -= 1

    def release(self) -> None:
        """Release a reserved token, because the retry is not sent."""
        self._reserved -= 1

    def refund(self) -> None:
        """Return the token of a retry that was sent and reached no endpoint."""
        self._tokens += 1

    def _refill(self, slack: float, now: float) -> float:
        """Add what the slack has earned; return the capacity."""
        while self._requests and self._requests[0] < now - self._saved_s:
            self._requests.popleft()
        earned = REFILL_FRACTION * slack * (now - self._updated_at) / self._settings.window_s
        capacity = BURST_FRACTION * slack + self._request_tokens * len(self._requests)
        self._tokens = min(self._tokens + earned, max(capacity, self._reserved))
        self._updated_at = now
        return capacity
