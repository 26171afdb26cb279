"""The share of one host in a retry budget that all hosts of the fleet have together."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

USED_PART = 0.8
"""Part of the budget that hosts use, all together: the rest covers the edges of windows, since a
request may be counted in one window and its retry in the next."""


class BudgetTerms(NamedTuple):
    """Extra sends to a service that are allowed in any window of time, over all hosts."""

    ratio: float = 0.1
    """Extra sends for each request."""
    slack: float = 10.0
    """Extra sends that are allowed whatever the number of requests."""
    window_s: float = 10.0


class RetryBudget:
    """Counts the requests and extra sends of this host for one service.

    Each host takes the ratio of its own requests, and an equal part of the slack. The sum over any
    hosts then stays within the budget without a word between them, also while they are cut off.
    """

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._requests: deque[float] = deque()
        self._extra: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def take(self, hosts: int, now: float) -> bool:
        """Take one extra send, if this host's share holds one; `hosts` is the size of the fleet."""
        self._forget(now)
        share = self._terms.ratio * len(self._requests) + self._terms.slack / max(1, hosts)
        if len(self._extra) + 1 > USED_PART * share:
            return False
        self._extra.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._extra):
            while times and times[0] < now - self._terms.window_s:
                times.popleft()
