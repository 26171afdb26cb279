"""Limits on what one host has in flight at an endpoint; they divide without coordination.

Every host reads the same late reports, takes off its own part, and expects its siblings to do as
it does. A share of the slots is always its own, so that none is starved by the others.
"""

from __future__ import annotations

from collections import deque

from cloverway.membership.view import EndpointState

HISTORY_S = 10.0
"""How far back own in-flight counts are kept; reports older than that are useless anyhow."""
STALE_REPORT_S = 3.0
"""An older report says nothing about the other hosts; only the own share is used then."""
HEADROOM = 1.25
"""Part of the slots that may be in flight, so that a warm cache can be waited for in the engine."""
DECREASE_FACTOR = 0.8
DECREASE_INTERVAL_S = 0.5
"""One cut for all answers that met the same queue."""


class AttemptCounter:
    """Own attempts in progress at one place, with the past needed to read late reports."""

    __slots__ = ("_changes", "_rate_sum", "_start_sum", "in_flight", "pending_prefill_s")

    def __init__(self) -> None:
        self.in_flight = 0
        self._changes: deque[tuple[float, int]] = deque()
        self.pending_prefill_s = 0.0
        """Seconds of reading prompts that were sent there and gave no first token yet."""
        self._start_sum = 0.0
        self._rate_sum = 0.0

    def begin(self, now: float, expected_s: float) -> None:
        """Count an attempt that begins."""
        self._start_sum += now / expected_s
        self._rate_sum += 1 / expected_s
        self._change(1, now)

    def end(self, now: float, started_at: float, expected_s: float) -> None:
        """Count an attempt that ended."""
        self._start_sum -= started_at / expected_s
        self._rate_sum -= 1 / expected_s
        self._change(-1, now)

    def count_at(self, at: float) -> int:
        """Give how many were in flight at an earlier moment."""
        for changed_at, count in reversed(self._changes):
            if changed_at <= at:
                return count
        return 0

    def mean_age(self, now: float) -> float:
        """Give the mean age of attempts in progress, each over its expected time."""
        if not self.in_flight:
            return 0.0
        return max(0.0, now * self._rate_sum - self._start_sum) / self.in_flight

    def _change(self, delta: int, now: float) -> None:
        self.in_flight += delta
        assert self.in_flight >= 0, "in flight is never negative"
        self._changes.append((now, self.in_flight))
        while len(self._changes) > 1 and self._changes[1][0] < now - HISTORY_S:
            self._changes.popleft()
        if not self.in_flight:
            self._start_sum = self._rate_sum = self.pending_prefill_s = 0.0


class ConcurrencyLimit:
    """Adaptive concurrency: additive increase, multiplicative decrease on queue time."""

    __slots__ = ("_decreased_at", "value")

    def __init__(self, slots: int) -> None:
        self.value = slots * HEADROOM
        self._decreased_at = float("-inf")

    def record_queue_time(self, queue_s: float, tolerated_s: float, slots: int, now: float) -> None:
        """Take in the queue time of an answer that was predicted to meet no queue."""
        if queue_s <= tolerated_s:
            self.value = min(slots * HEADROOM, self.value + 1 / self.value)
        elif now >= self._decreased_at + DECREASE_INTERVAL_S:
            self.value = max(1.0, self.value * DECREASE_FACTOR)
            self._decreased_at = now


def share_slots(slots: int, hosts: int) -> int:
    """Give the slots that are one host's own, whatever the others do; at least one."""
    return max(1, slots // max(1, hosts))


def estimate_others_in_flight(
    state: EndpointState, attempts: AttemptCounter, hosts: int, now: float
) -> float:
    """Estimate what the other hosts have in flight at an endpoint.

    The report holds our own part as it was then; what we have added since, each sibling has
    probably added too. Without that, all hosts that read "idle" would send there at once.
    """
    if hosts == 1:
        return 0.0
    if now - state.reported_at > STALE_REPORT_S:
        return float(state.slots - share_slots(state.slots, hosts))
    own_then = attempts.count_at(state.reported_at)
    reported = max(0, state.running + state.waiting - own_then)
    return max(0, reported + (attempts.in_flight - own_then) * (hosts - 1))
