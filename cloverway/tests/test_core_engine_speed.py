"""The pace at which engines read prompts, learnt in virtual time; no network.

The engines are models of those of three deployments, which read 27, 37 and 80 prompt tokens in a
millisecond, and take 20 ms besides. Estimates are wanted within a sixth of the truth: by that much
replicas of one service differ at least, and a burst of 0.4 s then ends within 0.07 s of the plan.
"""

from __future__ import annotations

import random

import pytest

from cloverway.core.engine_speed import ReadPace
from cloverway.core.load import EndpointLoad, Work

OTHER_S = 0.02


def play(load, per_ms, prompts, seed=1):
    """Send prompts of 1,000 to 12,000 tokens, one after the other."""
    draw = random.Random(seed)
    now = 0.0
    for number in range(prompts):
        tokens = draw.randint(1_000, 12_000)
        load.begin(number, Work(tokens, tokens), None, now)
        took_s = OTHER_S + tokens / per_ms / 1000
        if draw.random() < 0.2:
            # A more urgent prompt came in between.
            took_s *= 3
        elif draw.random() < 0.2:
            # The engine had most of it already.
            took_s = OTHER_S
        load.note_first(number, now + took_s)
        load.end(number)
        now += 0.5
    return load


@pytest.mark.parametrize("per_ms", [27, 37, 80])
def test_the_pace_of_an_engine_is_learnt_within_a_few_prompts(per_ms):
    load = play(EndpointLoad(), per_ms, 40)
    truth = 1 / per_ms / 1000
    assert truth * 0.85 < load.read_s_per_token < truth * 1.3


def test_prompts_that_waited_for_others_say_nothing_of_the_pace():
    """Ten prompts are sent at once; the last of them waits for two seconds.

    Taken for slow by it, the engine would be given half of what it can read.
    """
    pace = ReadPace()
    before = pace.s_per_token
    for number in range(1, 10):
        pace.learn(3_000, 3_000 * number, 0.1 * (number + 1))
    assert pace.s_per_token == before


def test_a_slow_engine_is_given_fewer_prompts():
    """Two engines; one reads a third as fast, and is believed to until it was measured."""
    slow, fast = play(EndpointLoad(), 12, 40), play(EndpointLoad(), 37, 40)
    for load in (slow, fast):
        load.begin(99, Work(9_000, 9_000), None, 100.0)
    assert slow.backlog(100.2) > fast.backlog(100.2)
