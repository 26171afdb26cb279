"""The share of one host in the retry budget of the fleet."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

USABLE_FRACTION = 0.8
"""Fraction of the budget that the hosts use together. The rest covers the edges of windows: a
request may be counted in one window and its retry in the next."""


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
    used: int
    """Retries of this host in the window, without this one."""
    allowed: float
    """Retries that the host may send in the window."""


class RetryBudget:
    """Counts the requests and retries of this host for one service.

    Each host uses the ratio of its own requests and an equal share of the slack. The sum over all
    hosts then stays within the budget without communication, also during a network partition.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._drop_expired(now)

    def take(self, hosts: int, now: float) -> RetryDecision:
        """Decide whether this host may retry, and count the retry; `hosts` is the fleet size."""
        self._drop_expired(now)
        share = self._settings.ratio * len(self._requests) + self._settings.slack / max(1, hosts)
        used, allowed = len(self._retries), USABLE_FRACTION * share
        is_granted = used + 1 <= allowed
        if is_granted:
            self._retries.append(now)
        return RetryDecision(is_granted, used, allowed)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._settings.window_s:
                times.popleft()
