"""Exponentially decaying sums of recent events."""

from __future__ import annotations

import math


class DecayingSum:
    """A sum whose terms decay with a fixed half-life; its state is two numbers."""

    def __init__(self, half_s: float) -> None:
        self._half_s = half_s
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount that occurred at `now`."""
        self._sum = self.get(now) + amount
        self._at = now

    def get(self, now: float) -> float:
        """Return the sum, decayed up to `now`."""
        return self._sum * 0.5 ** ((now - self._at) / self._half_s)

    def get_rate(self, now: float) -> float:
        """Return the amount added per second, over about the last two half-lives."""
        return self.get(now) * math.log(2) / self._half_s

    def scale(self, factor: float, now: float) -> None:
        """Multiply the sum by a factor."""
        self._sum = self.get(now) * factor
        self._at = now
