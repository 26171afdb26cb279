"""A short run of the soak of real hosts, with a seed and with the seeds that have failed."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.tests.fleet.invariants import check_crashes, check_response
from cloverway.tests.fleet.soak import Soak
from cloverway.tests.fleet.soak_parts import CallRecord, Fault

SECONDS = 6.0
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_random_faults(seed, tmp_path):
    soak = Soak(seed, tmp_path)
    assert asyncio.run(soak.run(SECONDS)) == []
    assert sum(seen.complete for seen in soak.seen) > 100


class Ran:
    domain = "d2"
    name = "desk-0"


@pytest.mark.parametrize(
    ("route", "status", "body", "runs", "what"),
    [
        ("once", 200, b"ran for c-1", 2, "ran twice"),
        ("once", 503, b"", 1, "told that it did not run"),
        ("safe", 404, b"", 0, "refused though its route is there"),
        ("bound", 200, b"ran for c-1", 1, "ran outside its home"),
        ("safe", 200, b"ran for c-2", 1, "another's answer"),
        ("safe", 503, b'{"kind": "quarantined"}', 0, "refused as if it had ended endpoints"),
        ("cut", 200, b"id: 1\ndata: for c-1\n\n", 1, "a piece is missing"),
        ("once", 0, b"", 1, "cut off by planned work alone"),
    ],
)
def test_the_soak_detects_each_violation(route, status, body, runs, what):
    faults = [Fault("replace", 9.0, 10.0)]
    seen = CallRecord("c-1", route, "h", 10.0, 10.5, status, bool(status), body)
    found = list(check_response(seen, [Ran()] * runs, faults))
    assert any(what in violation for violation in found), found


def test_a_truncation_beside_an_unplanned_fault_is_no_violation():
    faults = [Fault("replace", 9.0, 10.0), Fault("kill", 8.0, 9.0)]
    seen = CallRecord("c-1", "once", "h", 10.0, 10.5, 0, False, b"")
    assert list(check_response(seen, [Ran()], faults)) == []


def test_the_soak_detects_a_request_that_keeps_crashing_endpoints():
    assert list(check_crashes("r", [1.0, 1.2, 1.5, 1.6, 1.7, 1.8, 3.4, 3.6, 3.7, 3.8])) == []
    assert list(check_crashes("r", [1.0])) == []
    assert list(check_crashes("r", [1.0, 1.2, 1.5, 3.6, 3.7, 3.8, 3.9])) != []
