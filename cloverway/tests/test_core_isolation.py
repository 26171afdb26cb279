"""Isolation of large prompts at engines whose answers stall during their prefill; no network.

The load: four engines with a prefill speed of 30,000 tokens per second in chunks of 2,048, events
of nine tokens and a gap objective of 0.6 s. Notes have answers of 300 tokens on average. One in ten
of the other prompts is larger than 14,000 tokens, so that its prefill takes longer than the gap
objective. Together they use 0.6 of the prefill capacity.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from cloverway.core.isolation import (
    AVOIDANCE_COST_S,
    LARGE_PROMPT_INTERVAL_S,
    MIN_ANSWERS,
    SELECTION_TTL_S,
    LargePromptIsolation,
    apply_isolation,
    is_large_prompt,
)
from cloverway.core.prediction import RoutedCall, Sender, predict
from cloverway.core.selection import choose_endpoint
from cloverway.tests.simulated_engine import GAP_OBJECTIVE_S, Arrival, Region, Speed

HERE = Sender("d1")
NOTES_PER_S = 14.0
PROMPTS_PER_S = 9.0
SECONDS = 40.0
SPEED = Speed()


def draw_arrivals(seed: int) -> list[Arrival]:
    """Draw notes with long answers, and prompts of very different sizes with short answers."""
    source = random.Random(seed)
    arrivals, at = [], 0.0
    while at < SECONDS:
        at += source.expovariate(NOTES_PER_S + PROMPTS_PER_S)
        if source.random() < NOTES_PER_S / (NOTES_PER_S + PROMPTS_PER_S):
            arrivals.append(Arrival(at, 700, int(source.uniform(100, 500))))
        else:
            tokens = min(50_000, int(source.lognormvariate(7.8, 1.4)))
            arrivals.append(Arrival(at, max(500, tokens), 60))
    return arrivals


class Simulation:
    """One simulation, with or without isolation of large prompts."""

    def __init__(
        self, seed: int, is_isolated: bool, speed: Speed = SPEED, engines: int = 4
    ) -> None:
        self.region = Region(engines, speed)
        self.isolation = LargePromptIsolation("model")
        self.is_isolated = is_isolated
        self.notes = self.late = self.large_served = 0
        self.chosen: Counter[frozenset[str]] = Counter()
        for engine in self.region.engines:
            engine.on_end = self.note_end
        self.region.simulate(draw_arrivals(seed), self.take)

    def take(self, routed, now):
        engines = [engine.endpoint for engine in self.region.engines]
        candidates = [predict(routed, engine, sender=HERE, now=now) for engine in engines]
        if self.is_isolated:
            chosen = self.isolation.select_engines(engines, now)
            self.chosen[chosen] += 1
            candidates = apply_isolation(routed, candidates, chosen)
        here = choose_endpoint(candidates)
        if here is not None:
            self.isolation.record_prompt(routed, here, now)
        return here

    def note_end(self, run, now):
        arrival = self.region.runs[run.number]
        self.isolation.record_answer(run.longest_gap_s, GAP_OBJECTIVE_S, now)
        if arrival.input_tokens == 700:
            self.notes += 1
            self.late += run.longest_gap_s > GAP_OBJECTIVE_S
        self.large_served += arrival.input_tokens > 14_000

    @property
    def late_fraction(self):
        return self.late / self.notes


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_isolation_halves_stalled_answers_and_serves_as_many_large_prompts(seed):
    """Without isolation, large prompts go to any engine, and each stalls about twenty answers.

    In these simulations, 18 to 38 of 100 notes stall without isolation, and 7 to 9 with it.
    """
    before, after = Simulation(seed, False), Simulation(seed, True)
    assert after.late_fraction < 0.5 * before.late_fraction
    assert after.large_served >= 0.9 * before.large_served
    assert len(after.region.refused) <= len(before.region.refused) + 10


@pytest.mark.parametrize(
    ("speed", "engines"),
    [(Speed(1 / 60_000, 0.003, 1_024), 4), (SPEED, 1)],
    ids=["engines without stalls", "one engine"],
)
def test_large_prompts_are_not_isolated_where_that_gains_nothing(speed, engines):
    """Engines with small chunks keep the gap objective under any prefill load.

    Isolated on some of the engines, large prompts would wait longer without a gain.
    """
    simulation = Simulation(4, True, speed, engines)
    assert set(simulation.chosen) == {frozenset()}


def make_isolation(large_s: float, late: int = 10) -> LargePromptIsolation:
    """Return the isolation state of a host that observed stalls, and large prompts among others."""
    isolation = LargePromptIsolation("model")
    for number in range(20):
        isolation.record_answer(1.0 if number < late else 0.1, GAP_OBJECTIVE_S, 1.0)
    isolation._prefill.add(1.0, 1.0)
    isolation._large_prefill.add(large_s, 1.0)
    return isolation


def list_engines(count: int):
    return [engine.endpoint for engine in Region(count, SPEED).engines]


@pytest.mark.parametrize(("large_s", "count"), [(0.0, 1), (0.2, 1), (0.5, 2), (0.8, 3), (1.0, 3)])
def test_the_number_of_engines_follows_the_share_of_large_prompts(large_s, count):
    assert len(make_isolation(large_s).select_engines(list_engines(4), 1.0)) == count


def test_single_stalls_or_too_few_answers_cause_no_isolation():
    assert not make_isolation(0.5, late=0).select_engines(list_engines(4), 1.0)
    few = LargePromptIsolation("model")
    for _ in range(int(MIN_ANSWERS) - 1):
        few.record_answer(1.0, GAP_OBJECTIVE_S, 1.0)
    assert not few.select_engines(list_engines(4), 1.0)


def test_hosts_select_the_same_engines_from_different_observations():
    engines = list_engines(6)
    here = make_isolation(0.5).select_engines(engines, 1.0)
    there = make_isolation(0.4).select_engines(list(reversed(engines)), 1.0)
    assert there < here
    assert len(here - there) == 1


def test_a_failing_engine_is_not_selected():
    """It would get all large prompts of the region, and fail them."""
    engines = list_engines(4)
    isolation = make_isolation(0.5)
    first = isolation.select_engines(engines, 1.0)
    failing = next(engine for engine in engines if engine.entry.id in first)
    failing.load.record_failure(1.1)
    assert isolation.select_engines(engines, 1.1) == first, "a selection is reused for a while"
    assert failing.entry.id not in isolation.select_engines(engines, 1.0 + SELECTION_TTL_S)


def route_call(input_tokens: int, output_tokens: int) -> RoutedCall:
    return Region(1, SPEED)._route(Arrival(0.0, input_tokens, output_tokens))


def predict_all(routed: RoutedCall, engines):
    return [predict(routed, engine, sender=HERE, now=1.0) for engine in engines]


def test_a_large_prompt_goes_elsewhere_if_no_selected_engine_is_a_candidate():
    """The selected engines were tried already, or are cold."""
    engines = list_engines(3)
    candidates = predict_all(route_call(30_000, 50), engines)
    assert all(is_large_prompt(route_call(30_000, 50), candidate) for candidate in candidates)
    kept = apply_isolation(route_call(30_000, 50), candidates, frozenset({"e1"}))
    assert [candidate.endpoint.entry.id for candidate in kept] == ["e1"]
    assert apply_isolation(route_call(30_000, 50), candidates, frozenset({"gone"})) == candidates


def test_long_answers_avoid_selected_engines_and_short_ones_do_not():
    """A short answer ends before the next large prompt arrives."""
    engines = list_engines(2)
    for output_tokens, low, high in (
        (1_000, 0.99 * AVOIDANCE_COST_S, 1.01 * AVOIDANCE_COST_S),
        (5, 0.0, 0.05),
    ):
        routed = route_call(700, output_tokens)
        candidates = predict_all(routed, engines)
        weighted = apply_isolation(routed, candidates, frozenset({"e0"}))
        added = weighted[0].cost_s - candidates[0].cost_s
        assert low <= added <= high
        assert added == pytest.approx(
            AVOIDANCE_COST_S * min(1.0, candidates[0].decode_s / LARGE_PROMPT_INTERVAL_S)
        )
        assert weighted[1] == candidates[1]
