from __future__ import annotations

from random import Random

import pytest

from cloverway.commands import bench
from cloverway.errors import UserError
from cloverway.load import COMPLETE, TRUNCATED, LoadPlan, Target, run_load, schedule_arrivals
from cloverway.tests.standins.batching import Timing
from cloverway.tests.standins.engine import Engine

PLAN = LoadPlan(streams=8, seconds=0.4, tokens=4, token_s=0.01, timeout_s=5.0, model="m")

FINAL_EVENTS = 1
"""Events of the stand-in without text: one, which holds the finish reason."""


def test_arrivals_keep_the_rate_and_alternate_between_targets() -> None:
    plan = PLAN._replace(seconds=50.0)
    arrivals = list(schedule_arrivals(plan, 2, Random(1)))
    assert len(arrivals) == pytest.approx(2 * plan.arrivals_per_s * plan.seconds, rel=0.1)
    assert [target for _, target in arrivals[:4]] == [0, 1, 0, 1]


def test_complete_and_truncated_streams_are_distinguished() -> None:
    """One of two engines truncates its streams after the second token.

    A load generator that counted only what arrives would report both as served, and the truncating
    engine as the faster one.
    """
    engines = [Engine(models=("m",), timing=Timing(token_s=0.002)) for _ in range(2)]
    for engine in engines:
        engine.start()
    try:
        engines[1].faults.set(cut_after=2)
        targets = [Target(name, (e.address,)) for name, e in zip("ab", engines, strict=True)]
        complete, truncated = run_load(targets, PLAN, Random(1))
    finally:
        for engine in engines:
            engine.stop()
    assert set(complete.outcomes) == {COMPLETE}
    assert set(truncated.outcomes) == {TRUNCATED}
    assert complete.tokens == (PLAN.tokens + FINAL_EVENTS) * complete.outcomes[COMPLETE]


def test_targets_need_a_name_and_an_ip_address() -> None:
    for text in ("127.0.0.1:80", "gateway=example.org:80", "gateway="):
        with pytest.raises(UserError):
            bench.parse_target(text, {})
