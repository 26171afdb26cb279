"""Estimates of prefill speed in virtual time; no network.

The engines are models of those of three deployments, with a prefill speed of 27, 37 and 80 tokens
per millisecond and a constant time of 20 ms. Estimates should be within a sixth of the truth:
replicas of one service differ by at least that much, and a burst of 0.4 s then ends within 0.07 s
of the prediction.
"""

from __future__ import annotations

import random

import pytest

from cloverway.core.engine_speed import PrefillSpeed
from cloverway.core.load import EndpointLoad, Work

CONSTANT_S = 0.02


def simulate(load, per_ms, prompts, seed=1):
    """Send prompts of 1,000 to 12,000 tokens, one after the other."""
    draw = random.Random(seed)
    now = 0.0
    for number in range(prompts):
        tokens = draw.randint(1_000, 12_000)
        load.begin(number, Work(tokens, tokens), None, now)
        took_s = CONSTANT_S + tokens / per_ms / 1000
        if draw.random() < 0.2:
            # A more urgent prompt was prefilled first.
            took_s *= 3
        elif draw.random() < 0.2:
            # The engine had most of it cached.
            took_s = CONSTANT_S
        load.record_first_event(number, now + took_s)
        load.end(number)
        now += 0.5
    return load


@pytest.mark.parametrize("per_ms", [27, 37, 80])
def test_prefill_speed_is_estimated_within_forty_prompts(per_ms):
    load = simulate(EndpointLoad(), per_ms, 40)
    truth = 1 / per_ms / 1000
    assert truth * 0.85 < load.prefill_s_per_token < truth * 1.3


def test_queued_prompts_do_not_change_the_speed_estimate():
    """Ten prompts are sent at once; the last of them is queued for two seconds.

    If it were a sample, the engine would seem slow and get half of the prompts that it can serve.
    """
    speed = PrefillSpeed()
    before = speed.s_per_token
    for number in range(1, 10):
        speed.update(3_000, 3_000 * number, 0.1 * (number + 1))
    assert speed.s_per_token == before


def test_a_slow_engine_has_a_longer_backlog():
    """One of two engines has a third of the prefill speed, which only measurements show."""
    slow, fast = simulate(EndpointLoad(), 12, 40), simulate(EndpointLoad(), 37, 40)
    for load in (slow, fast):
        load.begin(99, Work(9_000, 9_000), None, 100.0)
    assert slow.estimate_backlog(100.2) > fast.estimate_backlog(100.2)
