"""Limits on the requests that one host has in flight at an endpoint, without coordination.

All hosts read the same delayed load reports. Each subtracts its own requests and assumes that the
other hosts act as it does. Each host always has a share of the slots, so that none is starved.
"""

from __future__ import annotations

from collections import deque

from cloverway.membership.view import EndpointState

HISTORY_RETENTION_S = 10.0
"""Retention of own in-flight counts; older reports are not used."""
STALE_REPORT_S = 3.0
"""Maximum age of a report; with an older one, a host uses only its own share of the slots."""
HEADROOM = 1.25
"""Limit on requests in flight as a multiple of the slots; the excess lets requests wait in the
engine for a warm cache."""
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.5
"""Minimum interval between decreases, so that answers delayed by the same queue cause only one."""


class AttemptCounter:
    """Count of own attempts at one destination, with the history to interpret delayed reports."""

    __slots__ = ("_changes", "_rate_sum", "_start_sum", "in_flight", "pending_prefill_s")

    def __init__(self) -> None:
        self.in_flight = 0
        self._changes: deque[tuple[float, int]] = deque()
        self.pending_prefill_s = 0.0
        """Expected prefill seconds of the prompts sent there that have no first token yet."""
        self._start_sum = 0.0
        self._rate_sum = 0.0

    def begin(self, now: float, expected_s: float) -> None:
        """Count an attempt that starts."""
        self._start_sum += now / expected_s
        self._rate_sum += 1 / expected_s
        self._change(1, now)

    def end(self, now: float, started_at: float, expected_s: float) -> None:
        """Count an attempt that ended."""
        self._start_sum -= started_at / expected_s
        self._rate_sum -= 1 / expected_s
        self._change(-1, now)

    def count_at(self, at: float) -> int:
        """Return the number of attempts in flight at an earlier time."""
        for changed_at, count in reversed(self._changes):
            if changed_at <= at:
                return count
        return 0

    def compute_mean_age(self, now: float) -> float:
        """Return the mean age of the attempts in progress, each relative to its expected time."""
        if not self.in_flight:
            return 0.0
        return max(0.0, now * self._rate_sum - self._start_sum) / self.in_flight

    def _change(self, delta: int, now: float) -> None:
        self.in_flight += delta
        assert self.in_flight >= 0, "in flight is never negative"
        self._changes.append((now, self.in_flight))
        while len(self._changes) > 1 and self._changes[1][0] < now - HISTORY_RETENTION_S:
            self._changes.popleft()
        if not self.in_flight:
            self._start_sum = self._rate_sum = self.pending_prefill_s = 0.0


class ConcurrencyLimit:
    """Adaptive concurrency limit: additive increase, multiplicative decrease by queue time."""

    __slots__ = ("_decreased_at", "value")

    def __init__(self, slots: int) -> None:
        self.value = slots * HEADROOM
        self._decreased_at = float("-inf")

    def record_queue_time(self, queue_s: float, tolerated_s: float, slots: int, now: float) -> None:
        """Record the queue time of an answer that was predicted to have none."""
        if queue_s <= tolerated_s:
            self.value = min(slots * HEADROOM, self.value + 1 / self.value)
        elif now >= self._decreased_at + DECREASE_INTERVAL_S:
            self.value = max(1.0, self.value * DECREASE_FACTOR)
            self._decreased_at = now


def share_slots(slots: int, hosts: int) -> int:
    """Return the slots reserved for one host, whatever the others do; at least one."""
    return max(1, slots // max(1, hosts))


def estimate_others_in_flight(
    state: EndpointState, attempts: AttemptCounter, hosts: int, now: float
) -> float:
    """Estimate the requests that the other hosts have in flight at an endpoint.

    The report includes this host's own requests at the time of the report. Each other host has
    probably added as many since as this one has. Without that assumption, all hosts would send to
    an endpoint that reports "idle" at the same time.
    """
    if hosts == 1:
        return 0.0
    if now - state.reported_at > STALE_REPORT_S:
        return float(state.slots - share_slots(state.slots, hosts))
    own_then = attempts.count_at(state.reported_at)
    reported = max(0, state.running + state.waiting - own_then)
    return max(0, reported + (attempts.in_flight - own_then) * (hosts - 1))
