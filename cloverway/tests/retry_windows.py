"""How far the retries of a whole fleet exceed its budget in any window."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable

from cloverway.core.retry_budget import RetryBudgetSettings


def find_excess(
    budget: RetryBudgetSettings, requests: Iterable[float], repeats: Iterable[float]
) -> float:
    """Return the most arrivals beyond the budget in any window; 0 or less if it holds.

    `requests` are the times at which callers sent requests, `repeats` those of arrivals beyond the
    first of a request. The requests of a window may also be those of a window before it.
    """
    requests, repeats = sorted(requests), sorted(repeats)

    def count(times: list[float], start: float) -> int:
        return bisect_left(times, start + budget.window_s) - bisect_left(times, start)

    def compute_allowed(start: float) -> float:
        starts = (start, start - budget.window_s / 2, start - budget.window_s)
        return budget.ratio * max(count(requests, at) for at in starts) + budget.slack

    return max((count(repeats, at) - compute_allowed(at) for at in repeats), default=0.0)
