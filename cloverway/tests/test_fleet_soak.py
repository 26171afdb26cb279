"""A short seeded run of the soak of real hosts, also with the seeds that failed before."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.tests.fleet.invariants import check_crashes, check_response, check_retries
from cloverway.tests.fleet.soak import Soak
from cloverway.tests.fleet.soak_parts import RETRIES, CallRecord, CountingEndpoint, Fault

SECONDS = 6.0
SEEDS = (1, 3, 18, 21, 43)


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed, tmp_path):
    soak = Soak(seed, tmp_path)
    assert asyncio.run(soak.run(SECONDS)) == []
    assert sum(record.complete for record in soak.records) > 100


class Ran:
    domain = "d2"
    name = "desk-0"


@pytest.mark.parametrize(
    ("route", "status", "body", "runs", "expected"),
    [
        ("once", 200, b"ran for c-1", 2, "ran twice"),
        ("once", 503, b"", 1, "told that it did not run"),
        ("safe", 404, b"", 0, "refused although its route exists"),
        ("bound", 200, b"ran for c-1", 1, "ran outside its home region"),
        ("safe", 200, b"ran for c-2", 1, "response to another request"),
        ("safe", 503, b'{"kind": "quarantined"}', 0, "refused as if it had crashed endpoints"),
        ("cut", 200, b"id: 1\ndata: for c-1\n\n", 1, "an event is missing"),
        ("stream", 200, b" by v1\n by v2\n", 1, "holds events of two software versions"),
        ("once", 0, b"", 1, "interrupted by planned operations alone"),
    ],
)
def test_the_soak_detects_each_violation(route, status, body, runs, expected):
    faults = [Fault("replace", 9.0, 10.0)]
    record = CallRecord("c-1", route, "h", 10.0, 10.5, status, bool(status), body)
    found = list(check_response(record, [Ran()] * runs, faults))
    assert any(expected in violation for violation in found), found


def test_an_interruption_during_an_unplanned_fault_is_no_violation():
    faults = [Fault("replace", 9.0, 10.0), Fault("kill", 8.0, 9.0)]
    record = CallRecord("c-1", "once", "h", 10.0, 10.5, 0, False, b"")
    assert list(check_response(record, [Ran()], faults)) == []


def test_the_soak_detects_a_request_that_continues_to_crash_endpoints():
    assert list(check_crashes("r", [1.0, 1.2, 1.5, 1.6, 1.7, 1.8, 3.4, 3.6, 3.7, 3.8])) == []
    assert list(check_crashes("r", [1.0])) == []
    assert list(check_crashes("r", [1.0, 1.2, 1.5, 3.6, 3.7, 3.8, 3.9])) != []


def test_the_soak_detects_retries_beyond_the_budget():
    endpoint = CountingEndpoint("desk-0", "desk", "d1")
    allowed = int(RETRIES.slack + 10 * RETRIES.ratio)
    endpoint.arrivals = [(5.0 + n / 100, "c-1") for n in range(allowed + 1)]
    sent = [5.0] * 10
    assert list(check_retries("desk", sent, [endpoint])) == []
    endpoint.arrivals.append((6.0, "c-1"))
    assert list(check_retries("desk", sent, [endpoint])) != []
