"""Run a cell, and compare what the caller saw with what the endpoints counted."""

from __future__ import annotations

import fnmatch
import json
import time
from typing import NamedTuple

from cloverway.errors import ERROR_ANSWERS, Kind
from cloverway.tests.matrix.faults import ENDED_AFTER_DEADLINE, FAULTS
from cloverway.tests.matrix.steps import STEPS
from cloverway.tests.matrix.table import Cell
from cloverway.tests.matrix.testbed import ENTRY, SECOND_ENTRY, FaultTestbed, PendingCall, pause_for
from cloverway.tests.standins.clients import NO_ANSWER, Caller, Result

RESULT_TIMEOUT_S = 9.0
IMMEDIATE_REFUSALS = (
    "overloaded",
    "no_capacity",
    "team_limit",
    "residency",
    "forbidden",
    "leaving",
)
"""Refusals that must come at once, since a caller that waits loses time to try another host."""
MAX_REFUSAL_S = 1.0
DEADLINE_TOLERANCE_S = 0.5
"""How long after its deadline a call may be answered, for runs on a busy machine."""


class Outcome(NamedTuple):
    """The outcome of a cell."""

    result: str
    runs: int
    repeats: tuple[str, ...] = ()
    violations: tuple[str, ...] = ()
    """Violated expectations; empty if the cell holds."""
    answer_s: float = 0.0
    """Time from the fault to the caller's answer."""


class Observation(NamedTuple):
    """What the caller saw and what the endpoints counted."""

    result: Result
    answer_s: float
    runs: int
    repeats: list[Result]
    total: int
    """Number of runs after the repeats."""


def run_cell(testbed: FaultTestbed, cell: Cell) -> Outcome:
    """Bring the call to its step, inject the fault, and check the outcome."""
    pending = STEPS[cell.step](testbed, cell.call, cell.step.replace(" ", "-"))
    FAULTS[cell.fault](testbed, pending, cell.subject)
    released = time.monotonic()
    result = _release(testbed, cell, pending)
    answer_s = time.monotonic() - released
    testbed.resume()
    runs = testbed.count_runs(pending.tag)
    testbed.fleet.heal()
    testbed.clear_faults()
    repeats = _repeat(testbed, pending)
    observed = Observation(result, answer_s, runs, repeats, testbed.count_runs(pending.tag))
    described = tuple(describe(repeat) for repeat in repeats)
    return Outcome(describe(result), runs, described, tuple(_judge(cell, observed)), answer_s)


def _release(testbed: FaultTestbed, cell: Cell, pending: PendingCall) -> Result:
    if cell.fault not in ENDED_AFTER_DEADLINE:
        pending.release()
        return pending.result.result(RESULT_TIMEOUT_S)
    if cell.fault == "pause and wake":
        pending.release()
    pause_for(cell.call.deadline_ms / 1000 + 0.3)
    testbed.resume()
    if cell.fault == "late answer":
        pending.release()
    return pending.result.result(RESULT_TIMEOUT_S)


def describe(result: Result) -> str:
    """Return "whole" (a complete answer), "broken" (no or a truncated answer) or KIND/RAN."""
    if result.complete:
        return "whole"
    if result.status in (NO_ANSWER, 200):
        return "broken"
    return f"{result.kind}/{result.ran}"


def _repeat(testbed: FaultTestbed, pending: PendingCall) -> list[Result]:
    """Repeat an at-most-once call with its key at both hosts of the entry's failure domain."""
    if not pending.key:
        return []
    hosts = [host for host in (ENTRY, SECOND_ENTRY) if testbed.is_alive(host)]
    pending_calls = [PendingCall(pending.call, pending.tag, pending.key) for _ in hosts]
    return [testbed.send(host, again) for host, again in zip(hosts, pending_calls, strict=True)]


def _judge(cell: Cell, observed: Observation) -> list[str]:
    """Return the violations of the cell's row and of the guarantees for every call."""
    received = describe(observed.result)
    violations = []
    if not any(fnmatch.fnmatchcase(received, pattern) for pattern in cell.allowed_results):
        violations.append(
            f"the caller was told {received}, "
            f"not {' or '.join(cell.allowed_results)}: {observed.result}"
        )
    if observed.runs not in cell.allowed_runs:
        violations.append(f"it ran {observed.runs} times, not {cell.allowed_runs}")
    violations += _judge_time(cell, observed)
    violations += _judge_guarantees(cell, observed.result, observed.runs)
    again = [describe(repeat) for repeat in observed.repeats]
    if cell.call.at_most_once and observed.total > 1:
        violations.append(f"it ran {observed.total} times after the repeats {again}")
    bodies = {repeat.body for repeat in (*observed.repeats, observed.result) if repeat.complete}
    if cell.call.at_most_once and len(bodies) > 1:
        violations.append("repeats received different answers")
    return violations


def _judge_time(cell: Cell, observed: Observation) -> list[str]:
    violations = []
    if cell.fault in ENDED_AFTER_DEADLINE and cell.step != "recording":
        return violations
    if observed.answer_s > cell.call.deadline_ms / 1000 + DEADLINE_TOLERANCE_S:
        violations.append(f"the answer came after {observed.answer_s:.1f} s")
    if observed.result.kind in IMMEDIATE_REFUSALS and observed.answer_s > MAX_REFUSAL_S:
        violations.append(f"it was refused only after {observed.answer_s:.1f} s")
    return violations


def _judge_guarantees(cell: Cell, result: Result, runs: int) -> list[str]:
    violations = []
    if result.ran == "no" and runs and cell.step != "recording":
        violations.append(f"the caller was told that it did not run, but it ran {runs} times")
    if result.complete and not runs:
        violations.append("the answer is complete, but nothing ran")
    expects_retry_after = result.ran == "no" and ERROR_ANSWERS[Kind(result.kind)].has_retry_after
    if expects_retry_after and not _has_retry_after(result):
        violations.append(f"{result.kind} came without Retry-After")
    return violations


def _has_retry_after(result: Result) -> bool:
    return any(name.lower() == "retry-after" for name in result.headers)


def check_next_call(testbed: FaultTestbed, host: str, team: str) -> bool:
    """Return whether the next call receives its own answer."""
    answer = Caller(testbed.fleet.url(host), team).call_service("next", profile="lookup")
    return answer.complete and json.loads(answer.body)["echo"] == "next"
