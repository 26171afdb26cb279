"""A short seeded run of the soak of real hosts, and the seeds that ever failed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cloverway.tests.fleet.soak import Fault, Seen, Soak

SECONDS = 6.0
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_random_faults(seed, tmp_path):
    soak = Soak(seed, tmp_path)
    assert asyncio.run(soak.run(SECONDS)) == []
    assert sum(seen.whole for seen in soak.seen) > 100


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
        ("cut", 200, b"id: 1\ndata: for c-1\n\n", 1, "a piece is missing"),
        ("once", 0, b"", 1, "cut off by planned work alone"),
    ],
)
def test_the_soak_sees_each_broken_promise(route, status, body, runs, what):
    soak = Soak(1, Path())
    soak.faults.append(Fault("replace", 9.0, 10.0))
    seen = Seen("c-1", route, "h", 10.0, 10.5, status, bool(status), body)
    found = list(soak._check(seen, [Ran()] * runs))
    assert any(what in violation for violation in found), found


def test_a_cut_beside_an_unplanned_fault_is_no_broken_promise(tmp_path):
    soak = Soak(1, tmp_path)
    soak.faults += [Fault("replace", 9.0, 10.0), Fault("kill", 8.0, 9.0)]
    assert list(soak._check(Seen("c-1", "once", "h", 10.0, 10.5, 0, False, b""), [Ran()])) == []
