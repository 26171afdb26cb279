"""Outlier ejection: a place that fails is left alone for a while, but never the last one.

A place that has asked for a pause itself is left alone for that, the last one too.
"""

from __future__ import annotations

from collections.abc import Sequence

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0
MIN_CONSECUTIVE_FAILURES = 2
"""Failures in a row that blame the place: a single one may be the request's own fault."""
EJECTION_RESET_S = 30.0
"""A place that has gone so long without failing starts with the first pause again."""
MAX_REQUESTED_PAUSE_S = 3_600.0
"""The longest pause that a place is given because it asked for it."""


class OutlierDetector:
    """Remember which places failed, and until when each is left alone."""

    def __init__(self) -> None:
        self._ejections: dict[str, tuple[float, float]] = {}
        self._failure_counts: dict[str, int] = {}
        self._requested_until: dict[str, float] = {}

    def record_failure(self, name: str, now: float, certain: bool = True) -> None:
        """Leave a place alone; each further failure doubles the pause.

        A failure that is not `certain` to be the place's own counts from the second in a row on.

        A flapping endpoint fails, is tried and fails again: the doubling bounds the attempts that
        it can spoil, and the longest pause bounds how long a mended one stays unused.
        """
        self._failure_counts[name] = self._failure_counts.get(name, 0) + 1
        if not certain and self._failure_counts[name] < MIN_CONSECUTIVE_FAILURES:
            return
        until, ejection_s = self._ejections.get(name, (now, 0.0))
        if now < until:
            return
        if now - until > EJECTION_RESET_S:
            ejection_s = 0.0
        ejection_s = min(MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * ejection_s))
        self._ejections[name] = (now + ejection_s, ejection_s)

    def record_requested_pause(self, name: str, seconds: float, now: float) -> None:
        """Leave a place alone for as long as it has asked for."""
        until = now + min(seconds, MAX_REQUESTED_PAUSE_S)
        self._requested_until[name] = max(until, self._requested_until.get(name, until))

    def record_success(self, name: str) -> None:
        """Halve the next pause of a place that answered."""
        self._failure_counts.pop(name, None)
        if name in self._ejections:
            until, ejection_s = self._ejections[name]
            self._ejections[name] = (until, ejection_s / 2)

    def is_paused(self, name: str, now: float) -> bool:
        """Tell whether a place is left alone now."""
        failed_until, _ = self._ejections.get(name, (now, 0.0))
        return now < failed_until or self._has_requested_pause(name, now)

    def filter_usable(self, names: Sequence[str], now: float) -> frozenset[str]:
        """Drop paused places.

        When all have failed, keep the one whose pause ends first, unless it asked for it.
        """
        usable = frozenset(name for name in names if not self.is_paused(name, now))
        failed = [name for name in names if not self._has_requested_pause(name, now)]
        if usable or not failed:
            return usable
        return frozenset({min(failed, key=lambda name: (self._ejections[name][0], name))})

    def prune(self, now: float) -> None:
        """Forget places whose last pause ended long ago."""
        self._ejections = {
            name: (until, ejection_s)
            for name, (until, ejection_s) in self._ejections.items()
            if now - until <= EJECTION_RESET_S
        }
        self._requested_until = {
            name: until for name, until in self._requested_until.items() if now < until
        }

    def _has_requested_pause(self, name: str, now: float) -> bool:
        return now < self._requested_until.get(name, now)
