"""How long hosts wait for each other, by the objectives of a route."""

from __future__ import annotations

import pytest

from cloverway.core.deployment import CallKind, Route, WeightedService
from cloverway.core.patience import (
    Lease,
    choose_lease,
    compute_first_byte_timeout,
    compute_gap_timeout,
)


def make_route(kind: CallKind, *, resumable: bool = False, objective_s=1.0, gap_s=0.6) -> Route:
    return Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        timeout_s=12.0,
        objective_s=objective_s,
        priority=0,
        services=(WeightedService("s", 1.0),),
        attempts=2,
        resumable=resumable,
        gap_objective_s=gap_s,
    )


def test_a_lease_ends_with_the_patience_of_the_host_that_waits():
    """Guards against a host that works on after the one that waits has gone on elsewhere."""
    route = make_route(CallKind.STREAM, resumable=True)
    assert choose_lease(route, True) == Lease(
        compute_first_byte_timeout(route), compute_gap_timeout(route)
    )


def test_the_last_host_works_for_as_long_as_a_caller_waits():
    """Guards against a stream that is given up at its last host, though its caller still waits."""
    route = make_route(CallKind.STREAM, resumable=True)
    assert choose_lease(route, False) == Lease(4.8, 4.8)
    short = make_route(CallKind.STREAM, resumable=True, objective_s=0.2, gap_s=0.1)
    assert choose_lease(short, False) == Lease(2.0, 2.0)


@pytest.mark.parametrize(
    ("kind", "may_repeat"),
    [(CallKind.NON_IDEMPOTENT, False), (CallKind.STREAM, False), (CallKind.IDEMPOTENT, False)],
)
def test_work_that_nobody_repeats_has_no_lease(kind, may_repeat):
    """Guards against work that may run once being broken off because nobody is heard."""
    assert choose_lease(make_route(kind), may_repeat) is None
