"""Sums of what happened lately, in which each event counts less as time passes."""

from __future__ import annotations

import math


class DecayingSum:
    """A sum whose terms count half after a fixed time; it keeps two numbers, whatever is added."""

    def __init__(self, half_s: float) -> None:
        self._half_s = half_s
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add what has just happened."""
        self._sum = self.get(now) + amount
        self._at = now

    def get(self, now: float) -> float:
        """Give the sum as it stands now."""
        return self._sum * 0.5 ** ((now - self._at) / self._half_s)

    def get_rate(self, now: float) -> float:
        """Give the amount added per second, over about the last two half-lives."""
        return self.get(now) * math.log(2) / self._half_s

    def scale(self, factor: float, now: float) -> None:
        """Multiply the sum."""
        self._sum = self.get(now) * factor
        self._at = now
