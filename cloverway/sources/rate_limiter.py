"""How often the platform's service is called: its rate is shared by the whole fleet."""

from __future__ import annotations

import random

MAX_DELAY_S = 2.0
"""Bound on a delay, so that a change is known soon after an outage has ended."""

MAX_RETRY_AFTER_S = 30.0
"""Bound on a delay that the service asks for."""

MIN_JITTER = 0.5


class RateLimiter:
    """Decide when the next call may start; times are monotonic seconds.

    After a success calls are at least an interval apart. After each failure in a row the delay
    doubles, with jitter: readers that lost the service at one moment do not come back at one.
    """

    def __init__(self, interval_s: float, rng: random.Random) -> None:
        self._interval_s = interval_s
        self._rng = rng
        self._failures = 0
        self._next_at = float("-inf")

    def get_delay(self, now: float) -> float:
        """Give the seconds until a call may start."""
        return max(0.0, self._next_at - now)

    def record_success(self, started_at: float) -> None:
        """Note that the call that started then was answered."""
        self._failures = 0
        self._next_at = started_at + self._interval_s

    def record_failure(self, now: float, retry_after_s: float = 0.0) -> None:
        """Note that a call failed, and when the service wants the next one."""
        self._failures += 1
        backoff_s = self._interval_s * 2 ** min(self._failures, 16)
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self._rng.random()
        requested_s = min(retry_after_s, MAX_RETRY_AFTER_S)
        self._next_at = now + max(min(backoff_s, MAX_DELAY_S) * jitter, requested_s * (1 + jitter))
