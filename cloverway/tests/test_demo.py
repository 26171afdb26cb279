"""The demo reports unexpected answers; its processes are not started here."""

from __future__ import annotations

from typing import Any

import pytest

from cloverway.config.directory import load_directory
from cloverway.errors import CallError, Kind, Ran
from cloverway.tests.demo import (
    CARONI,
    EXAMPLES,
    LONG_TOKENS,
    RIVIERE,
    Outcome,
    Plan,
    Step,
    find_mismatches,
    find_repeat_mismatches,
    find_stop_mismatches,
)
from cloverway.tests.fleet.demo import run_platform_call

BOUND = RIVIERE.steps[2]
REFUSED = RIVIERE.steps[3]
PLANS = (RIVIERE, CARONI)


class CountingDeployment:
    def __init__(self, runs: int) -> None:
        self.runs = runs

    def count_runs(self, body: bytes) -> int:
        return self.runs


def refused(kind: Kind, ran: Ran) -> Outcome:
    return Outcome(refusal=CallError(kind, ran=ran))


@pytest.mark.parametrize(
    ("step", "outcome", "words"),
    [
        (BOUND, Outcome("text", "rodrigues"), ""),
        (BOUND, Outcome("text", "port-louis"), "expected it to run in rodrigues"),
        (BOUND, Outcome("text", ""), "expected it to run in rodrigues"),
        (BOUND, Outcome("", "rodrigues"), "expected an answer with text"),
        (BOUND, refused(Kind.TRUNCATED, Ran.UNKNOWN), "expected an answer, got truncated"),
        (REFUSED, refused(Kind.FORBIDDEN, Ran.NO), ""),
        (REFUSED, refused(Kind.FORBIDDEN, Ran.UNKNOWN), "expected the promise"),
        (REFUSED, refused(Kind.RESIDENCY, Ran.NO), "expected the refusal forbidden"),
        (REFUSED, Outcome("text", "port-louis"), "expected the refusal forbidden"),
    ],
)
def test_unexpected_answers_are_reported(step: Step, outcome: Outcome, words: str) -> None:
    faults = list(find_mismatches(step, outcome))
    assert len(faults) == bool(words)
    assert words in "".join(faults)


@pytest.mark.parametrize(
    ("runs", "again", "count"),
    [(1, Outcome("one"), 0), (2, Outcome("one"), 1), (1, Outcome("two"), 1), (0, Outcome(), 2)],
)
def test_a_second_run_is_reported(runs: int, again: Outcome, count: int) -> None:
    deployment: Any = CountingDeployment(runs)
    assert (
        len(list(find_repeat_mismatches(deployment, RIVIERE.once, Outcome("one"), again))) == count
    )


COMPLETE_STREAM = Outcome("token " * LONG_TOKENS, host="h1")


@pytest.mark.parametrize(
    ("during", "after", "status", "words"),
    [
        (COMPLETE_STREAM, Outcome("text", host="h2"), 0, ""),
        (Outcome("token", host="h1"), Outcome("text", host="h2"), 0, "got 1"),
        (COMPLETE_STREAM, Outcome("text", host="h2"), 1, "status 0, got 1"),
        (COMPLETE_STREAM, Outcome("text", host="h1"), 0, "another host"),
    ],
)
def test_a_stop_that_truncates_a_stream_is_reported(
    during: Outcome, after: Outcome, status: int, words: str
) -> None:
    faults = list(find_stop_mismatches(during, after, status))
    assert len(faults) == bool(words) and words in "".join(faults)


@pytest.mark.parametrize("plan", PLANS, ids=lambda plan: plan.name)
def test_steps_fit_what_is_published(plan: Plan) -> None:
    published = load_directory(EXAMPLES / plan.name)
    for step in (*plan.steps, plan.once, plan.stop):
        team = published.teams[step.team]
        allowed = step.call.profile in team.profiles
        assert allowed == (step.refusal is not Kind.FORBIDDEN)
        assert step.at in published.regions
        assert set(step.regions) <= published.regions.keys()
        assert not team.bound or step.refusal or step.regions == (team.home,)
    assert not published.profiles[plan.once.call.profile].idempotent


def test_the_demo_streams_over_the_platforms_protocol():
    printed = []
    assert run_platform_call(printed.append) == []
    assert "status 200, 3 events, whole: yes" in printed[-1]
