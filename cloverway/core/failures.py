"""How usual failures are on each route, so that an endpoint is blamed for unusual ones only."""

from __future__ import annotations

from collections import defaultdict

MIN_SAMPLE_WEIGHT = 0.02
"""Weight of one answer in the share of failures, once there were many: half of it is forgotten
after 35, so that a fault of some seconds doesn't become usual while it lasts."""
BASELINE_FACTOR = 5.0
"""A failure on a route on which one answer in five fails says nothing of the endpoint; one on a
route that never fails counts whole."""


class _FailureRate:
    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def note(self, failed: bool) -> None:
        self.count += 1
        self.value += max(MIN_SAMPLE_WEIGHT, 1 / (self.count + 1)) * (failed - self.value)


class FailureBaseline:
    """The share of answers, by route, with which endpoints say that they failed.

    Some applications answer one request in seven with a failure of their own, at every endpoint.
    Taken for a fault, each of these sent the next requests to another region: a third of them
    went there, for 170 ms more and bytes that are dear.
    """

    def __init__(self) -> None:
        self._rates: defaultdict[str, _FailureRate] = defaultdict(_FailureRate)

    def note(self, route: str, failed: bool) -> None:
        """Note a whole answer of an endpoint."""
        self._rates[route].note(failed)

    def weigh(self, route: str) -> float:
        """Give how much a failure on a route counts against its endpoint, from 0 to 1."""
        return max(0.0, 1 - BASELINE_FACTOR * self._rates[route].value)
