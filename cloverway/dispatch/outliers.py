"""Outlier ejection: a destination that fails is not used for a while, unless it is the last one.

A destination that requested a pause is not used until the pause ends, even if it is the last one.
"""

from __future__ import annotations

from collections.abc import Sequence

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 10.0
MIN_CONSECUTIVE_FAILURES = 2
"""Consecutive failures before ejection: a single one may be caused by the request itself."""
EJECTION_RESET_S = 30.0
"""A destination without failures for this long starts with the minimum ejection time again."""
MAX_REQUESTED_PAUSE_S = 3_600.0
"""Upper bound on a pause that a destination requests."""


class OutlierDetector:
    """Track failures of destinations, and until when each is ejected."""

    def __init__(self) -> None:
        self._ejections: dict[str, tuple[float, float]] = {}
        self._failure_counts: dict[str, int] = {}
        self._requested_until: dict[str, float] = {}

    def record_failure(self, name: str, now: float, certain: bool = True) -> None:
        """Eject a destination; each further failure doubles the ejection time.

        A failure that is not `certain` to be the destination's own fault counts from the second
        consecutive one. For an endpoint that fails again and again, doubling bounds the number of
        failed attempts, and the maximum ejection time bounds how long it stays unused once it
        works again.
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
        """Stop using a destination for as long as it requested."""
        until = now + min(seconds, MAX_REQUESTED_PAUSE_S)
        self._requested_until[name] = max(until, self._requested_until.get(name, until))

    def record_success(self, name: str) -> None:
        """Halve the next ejection time of a destination that answered."""
        self._failure_counts.pop(name, None)
        if name in self._ejections:
            until, ejection_s = self._ejections[name]
            self._ejections[name] = (until, ejection_s / 2)

    def is_paused(self, name: str, now: float) -> bool:
        """Return whether a destination is ejected or has requested a pause."""
        failed_until, _ = self._ejections.get(name, (now, 0.0))
        return now < failed_until or self._has_requested_pause(name, now)

    def filter_usable(self, names: Sequence[str], now: float) -> frozenset[str]:
        """Return the destinations that are not paused.

        If all are paused, keep the ejected one whose ejection ends first, except those that
        requested a pause.
        """
        usable = frozenset(name for name in names if not self.is_paused(name, now))
        failed = [name for name in names if not self._has_requested_pause(name, now)]
        if usable or not failed:
            return usable
        return frozenset({min(failed, key=lambda name: (self._ejections[name][0], name))})

    def prune(self, now: float) -> None:
        """Drop destinations whose last ejection ended more than EJECTION_RESET_S ago."""
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
