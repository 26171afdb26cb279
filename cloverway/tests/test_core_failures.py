"""Failures that are usual on a route, and those that tell of a faulty endpoint; no network.

The load is that of a ledger with an endpoint a region: one lookup in seven is answered with a
failure of its own, at every endpoint, and one change in 250.
"""

from __future__ import annotations

import random

from cloverway.core.failures import FailureBaseline
from cloverway.core.load import EndpointLoad


def play(baseline, load, route, share):
    """Let ten requests a second be answered for 30 s; give the mean of the failures that count."""
    draw = random.Random(1)
    seen = []
    for step in range(300):
        now = step / 10
        failed = draw.random() < share
        if failed:
            load.note_failure(now, baseline.weigh(route))
        else:
            load.note_success(now)
        baseline.note(route, failed)
        seen.append(load.failures(now))
    return sum(seen[len(seen) // 2 :]) / (len(seen) // 2)


def test_failures_that_are_usual_are_not_blamed_on_the_endpoint():
    """Each of them counted as half a second, more than a trip to another region."""
    assert play(FailureBaseline(), EndpointLoad(), "lookup", 0.14) < 0.12


def test_an_endpoint_that_begins_to_fail_is_blamed_at_once():
    """A replica fails two in five of its requests for some seconds; its health checks are good."""
    baseline, load = FailureBaseline(), EndpointLoad()
    play(baseline, load, "change", 0.004)
    load.note_failure(40.0, baseline.weigh("change"))
    assert load.failures(40.0) > 0.9


def test_a_fault_of_some_seconds_does_not_become_usual():
    baseline = FailureBaseline()
    for _ in range(200):
        baseline.note("change", False)
    for number in range(20):
        baseline.note("change", number % 5 < 2)
    assert baseline.weigh("change") > 0.3
