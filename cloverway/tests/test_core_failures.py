"""Failures that are usual on a route, and failures of a faulty endpoint; no network.

The load is that of a ledger with one endpoint per region: at every endpoint, the application
answers one lookup in seven, and one change in 250, with an error of its own.
"""

from __future__ import annotations

import random

from cloverway.core.failures import FailureBaseline
from cloverway.core.load import EndpointLoad


def simulate(baseline, load, route, share):
    """Simulate ten answers a second for 30 s; return the mean of the failures that count."""
    rng = random.Random(1)
    weights = []
    for step in range(300):
        now = step / 10
        failed = rng.random() < share
        if failed:
            load.record_failure(now, baseline.get_weight(route))
        else:
            load.record_success(now)
        baseline.record(route, failed)
        weights.append(load.count_failures(now))
    return sum(weights[len(weights) // 2 :]) / (len(weights) // 2)


def test_usual_failures_do_not_count_against_the_endpoint():
    """Each of them used to cost half a second, more than the latency to another region."""
    assert simulate(FailureBaseline(), EndpointLoad(), "lookup", 0.14) < 0.12


def test_endpoint_that_starts_to_fail_is_penalized_at_once():
    """A replica fails two of five requests for some seconds while its health checks succeed."""
    baseline, load = FailureBaseline(), EndpointLoad()
    simulate(baseline, load, "change", 0.004)
    load.record_failure(40.0, baseline.get_weight("change"))
    assert load.count_failures(40.0) > 0.9


def test_short_fault_does_not_become_the_baseline():
    baseline = FailureBaseline()
    for _ in range(200):
        baseline.record("change", False)
    for number in range(20):
        baseline.record("change", number % 5 < 2)
    assert baseline.get_weight("change") > 0.3
