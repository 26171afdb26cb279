"""Run one cell, and judge what the caller saw against what the endpoints counted."""

from __future__ import annotations

import fnmatch
import json
import time
from typing import NamedTuple

from cloverway.errors import ANSWERS, Kind
from cloverway.tests.matrix.faults import FAULTS, LASTING
from cloverway.tests.matrix.steps import STEPS
from cloverway.tests.matrix.table import Cell
from cloverway.tests.matrix.testbed import ENTRY, SECOND, Bench, Flight, pause_for
from cloverway.tests.standins.clients import NO_ANSWER, Caller, Result

ANSWER_S = 9.0
AT_ONCE = ("overloaded", "no_capacity", "team_limit", "residency", "forbidden", "leaving")
"""Refusals that are final: a caller that waits for one loses the time to go elsewhere."""
AT_ONCE_S = 1.0
SLACK_S = 0.5
"""How much later than its deadline a call may be answered, on a busy machine."""


class Outcome(NamedTuple):
    """What one cell gave."""

    told: str
    runs: int
    repeats: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()
    """What is wrong; empty when the cell holds."""
    answer_s: float = 0.0
    """From the fault to the caller's answer."""


class Seen(NamedTuple):
    """What the caller saw, and what the endpoints counted."""

    result: Result
    answer_s: float
    runs: int
    repeats: list[Result]
    total: int
    """Runs after the repeats."""


def run_cell(bench: Bench, cell: Cell) -> Outcome:
    """Bring the call to its step, put the fault in place, and judge the outcome."""
    flight = STEPS[cell.step](bench, cell.call, cell.step.replace(" ", "-"))
    FAULTS[cell.fault](bench, flight, cell.subject)
    released = time.monotonic()
    result = _let_go(bench, cell, flight)
    answer_s = time.monotonic() - released
    bench.wake()
    runs = bench.runs(flight.mark)
    bench.fleet.heal()
    bench.clear_faults()
    repeats = _repeat(bench, flight)
    seen = Seen(result, answer_s, runs, repeats, bench.runs(flight.mark))
    told = tuple(describe(repeat) for repeat in repeats)
    return Outcome(describe(result), runs, told, tuple(_judge(cell, seen)), answer_s)


def _let_go(bench: Bench, cell: Cell, flight: Flight) -> Result:
    if cell.fault not in LASTING:
        flight.release()
        return flight.result.result(ANSWER_S)
    if cell.fault == "pause and wake":
        flight.release()
    pause_for(cell.call.deadline_ms / 1000 + 0.3)
    bench.wake()
    if cell.fault == "late answer":
        flight.release()
    return flight.result.result(ANSWER_S)


def describe(result: Result) -> str:
    """Give "whole", "broken" or KIND/RAN."""
    if result.whole:
        return "whole"
    if result.status in (NO_ANSWER, 200):
        return "broken"
    return f"{result.kind}/{result.ran}"


def _repeat(bench: Bench, flight: Flight) -> list[Result]:
    """Send a call that may run once again with its key, to both hosts of the entry's domain."""
    if not flight.key:
        return []
    hosts = [host for host in (ENTRY, SECOND) if bench.is_alive(host)]
    flights = [Flight(flight.call, flight.mark, flight.key) for _ in hosts]
    return [bench.send(host, again) for host, again in zip(hosts, flights, strict=True)]


def _judge(cell: Cell, seen: Seen) -> list[str]:
    """List what breaks the cell's row, and what breaks a promise that every call has."""
    told = describe(seen.result)
    faults = []
    if not any(fnmatch.fnmatchcase(told, pattern) for pattern in cell.told):
        faults.append(f"the caller was told {told}, not {' or '.join(cell.told)}: {seen.result}")
    if seen.runs not in cell.runs:
        faults.append(f"it ran {seen.runs} times, not {cell.runs}")
    faults += _judge_time(cell, seen)
    faults += _judge_promises(cell, seen.result, seen.runs)
    again = [describe(repeat) for repeat in seen.repeats]
    if cell.call.once and seen.total > 1:
        faults.append(f"it ran {seen.total} times after the repeats {again}")
    bodies = {repeat.body for repeat in (*seen.repeats, seen.result) if repeat.whole}
    if cell.call.once and len(bodies) > 1:
        faults.append("two repeats gave different answers")
    return faults


def _judge_time(cell: Cell, seen: Seen) -> list[str]:
    faults = []
    if cell.fault in LASTING and cell.step != "recording":
        return faults
    if seen.answer_s > cell.call.deadline_ms / 1000 + SLACK_S:
        faults.append(f"the answer came after {seen.answer_s:.1f} s")
    if seen.result.kind in AT_ONCE and seen.answer_s > AT_ONCE_S:
        faults.append(f"it was refused after {seen.answer_s:.1f} s, and not at once")
    return faults


def _judge_promises(cell: Cell, result: Result, runs: int) -> list[str]:
    faults = []
    if result.ran == "no" and runs and cell.step != "recording":
        faults.append(f"the caller was told that it did not run, and it ran {runs} times")
    if result.whole and not runs:
        faults.append("a whole answer came, and nothing ran")
    promised = result.ran == "no" and ANSWERS[Kind(result.kind)].come_back
    if promised and not _has_retry_after(result):
        faults.append(f"{result.kind} came without Retry-After")
    return faults


def _has_retry_after(result: Result) -> bool:
    return any(name.lower() == "retry-after" for name in result.headers)


def check_next_call(bench: Bench, host: str, team: str) -> bool:
    """Tell whether the next caller gets its own answer."""
    answer = Caller(bench.fleet.url(host), team).serve("next", profile="lookup")
    return answer.whole and json.loads(answer.body)["echo"] == "next"
