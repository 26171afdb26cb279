from __future__ import annotations

from random import Random

import pytest

from cloverway.commands import bench
from cloverway.errors import UserError
from cloverway.load import COMPLETE, TRUNCATED, LoadPlan, Target, run_load, schedule_arrivals
from cloverway.tests.standins.batching import Timing
from cloverway.tests.standins.engine import Engine

PLAN = LoadPlan(streams=8, seconds=0.4, tokens=4, token_s=0.01, timeout_s=5.0, model="m")

ENDING = 1
"""Events of the stand-in that carry no text: the one with the reason for the end."""


def test_arrivals_keep_the_wanted_rate_and_take_turns() -> None:
    plan = PLAN._replace(seconds=50.0)
    arrivals = list(schedule_arrivals(plan, 2, Random(1)))
    assert len(arrivals) == pytest.approx(2 * plan.arrivals_per_s * plan.seconds, rel=0.1)
    assert [turn for _, turn in arrivals[:4]] == [0, 1, 0, 1]


def test_whole_and_cut_streams_are_told_apart() -> None:
    """One of two engines cuts its streams after the second token.

    A load tool that counts what arrives would report both as served; the one that cuts would even
    look faster.
    """
    engines = [Engine(models=("m",), timing=Timing(token_s=0.002)) for _ in range(2)]
    for engine in engines:
        engine.start()
    try:
        engines[1].faults.set(cut_after=2)
        targets = [Target(name, (e.address,)) for name, e in zip("ab", engines, strict=True)]
        whole, cut = run_load(targets, PLAN, Random(1))
    finally:
        for engine in engines:
            engine.stop()
    assert set(whole.outcomes) == {COMPLETE}
    assert set(cut.outcomes) == {TRUNCATED}
    assert whole.tokens == (PLAN.tokens + ENDING) * whole.outcomes[COMPLETE]


def test_targets_need_a_name_and_an_ip_number() -> None:
    for text in ("127.0.0.1:80", "gateway=example.org:80", "gateway="):
        with pytest.raises(UserError):
            bench.parse_target(text, {})
