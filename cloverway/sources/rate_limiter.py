"""Limits the rate of calls to the platform's service, which all hosts share."""

from __future__ import annotations

import random

MAX_DELAY_S = 2.0
"""Maximum backoff delay in seconds, so that changes are read soon after an outage."""

MAX_RETRY_AFTER_S = 30.0
"""Maximum delay in seconds that the service can request by Retry-After."""

MIN_JITTER = 0.5


class RateLimiter:
    """Determines when the next call may start; times are monotonic seconds.

    After a success, calls start at least one interval apart. Each consecutive failure doubles the
    delay, with jitter, so that readers that lost the service together don't retry together.
    """

    def __init__(self, interval_s: float, rng: random.Random) -> None:
        self._interval_s = interval_s
        self._rng = rng
        self._failures = 0
        self._next_at = float("-inf")

    def get_delay(self, now: float) -> float:
        """Return the seconds until a call may start."""
        return max(0.0, self._next_at - now)

    def record_success(self, started_at: float) -> None:
        """Record the success of the call that started at `started_at`."""
        self._failures = 0
        self._next_at = started_at + self._interval_s

    def record_failure(self, now: float, retry_after_s: float = 0.0) -> None:
        """Record a failed call, and the delay that the service requested."""
        self._failures += 1
        backoff_s = self._interval_s * 2 ** min(self._failures, 16)
        jitter = MIN_JITTER + (1 - MIN_JITTER) * self._rng.random()
        requested_s = min(retry_after_s, MAX_RETRY_AFTER_S)
        self._next_at = now + max(min(backoff_s, MAX_DELAY_S) * jitter, requested_s * (1 + jitter))
