"""Outlier ejection: a place that fails is left alone for a while, but never the last one.

A place that has asked for a pause itself is left alone for that, the last one too.
"""

from __future__ import annotations

from collections.abc import Sequence

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 10.0
STREAK = 2
"""Failures in a row that blame the place: a single one may be the request's own fault."""
FORGIVE_S = 30.0
"""A place that has gone so long without failing starts with the first pause again."""
LONGEST_ASKED_S = 3_600.0
"""The longest pause that a place is given because it asked for it."""


class Outliers:
    """Remember which places failed, and until when each is left alone."""

    def __init__(self) -> None:
        self._pauses: dict[str, tuple[float, float]] = {}
        self._streaks: dict[str, int] = {}
        self._asked: dict[str, float] = {}

    def note_failure(self, name: str, now: float, certain: bool = True) -> None:
        """Leave a place alone; each further failure doubles the pause.

        A failure that is not `certain` to be the place's own counts from the second in a row on.

        A flapping endpoint fails, is tried and fails again: the doubling bounds the attempts that
        it can spoil, and the longest pause bounds how long a mended one stays unused.
        """
        self._streaks[name] = self._streaks.get(name, 0) + 1
        if not certain and self._streaks[name] < STREAK:
            return
        until, pause = self._pauses.get(name, (now, 0.0))
        if now < until:
            return
        if now - until > FORGIVE_S:
            pause = 0.0
        pause = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * pause))
        self._pauses[name] = (now + pause, pause)

    def note_pause(self, name: str, seconds: float, now: float) -> None:
        """Leave a place alone for as long as it has asked for."""
        until = now + min(seconds, LONGEST_ASKED_S)
        self._asked[name] = max(until, self._asked.get(name, until))

    def note_success(self, name: str) -> None:
        """Halve the next pause of a place that answered."""
        self._streaks.pop(name, None)
        if name in self._pauses:
            until, pause = self._pauses[name]
            self._pauses[name] = (until, pause / 2)

    def is_paused(self, name: str, now: float) -> bool:
        """Tell whether a place is left alone now."""
        failed_until, _ = self._pauses.get(name, (now, 0.0))
        return now < failed_until or self._has_asked(name, now)

    def keep_usable(self, names: Sequence[str], now: float) -> frozenset[str]:
        """Drop paused places.

        When all have failed, keep the one whose pause ends first, unless it asked for it.
        """
        usable = frozenset(name for name in names if not self.is_paused(name, now))
        failed = [name for name in names if not self._has_asked(name, now)]
        if usable or not failed:
            return usable
        return frozenset({min(failed, key=lambda name: (self._pauses[name][0], name))})

    def prune(self, now: float) -> None:
        """Forget places whose last pause ended long ago."""
        self._pauses = {
            name: (until, pause)
            for name, (until, pause) in self._pauses.items()
            if now - until <= FORGIVE_S
        }
        self._asked = {name: until for name, until in self._asked.items() if now < until}

    def _has_asked(self, name: str, now: float) -> bool:
        return now < self._asked.get(name, now)
