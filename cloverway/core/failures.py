"""The usual failure rate of each route, so that only unusual failures count against endpoints."""

from __future__ import annotations

from collections import defaultdict

MIN_SAMPLE_WEIGHT = 0.02
"""Weight of one answer in the moving average, once there are many: the half-life is 35 answers, so
that a fault of a few seconds doesn't become part of the baseline while it lasts."""
BASELINE_FACTOR = 5.0
"""Weight of the usual failure rate. On a route where one answer in five fails, a failure doesn't
count against the endpoint; on a route without failures, it counts fully."""


class _FailureRate:
    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def record(self, failed: bool) -> None:
        self.count += 1
        self.value += max(MIN_SAMPLE_WEIGHT, 1 / (self.count + 1)) * (failed - self.value)


class FailureBaseline:
    """The fraction of answers, by route, that report a failure.

    Some applications answer one request in seven with an error of their own, at every endpoint.
    When these were treated as faults of the endpoint, each sent the next requests to another
    region: a third of all requests went there, with 170 ms more latency and the cost of the
    traffic.
    """

    def __init__(self) -> None:
        self._rates: defaultdict[str, _FailureRate] = defaultdict(_FailureRate)

    def record(self, route: str, failed: bool) -> None:
        """Record a complete answer of an endpoint."""
        self._rates[route].record(failed)

    def get_weight(self, route: str) -> float:
        """Return the weight, from 0 to 1, of a failure on a route against its endpoint."""
        return max(0.0, 1 - BASELINE_FACTOR * self._rates[route].value)
