"""The cells of the matrix: what a caller may be told, and how often its request may have run."""

from __future__ import annotations

import itertools
from typing import NamedTuple

from cloverway.tests.matrix.steps import CALLS, STEPS
from cloverway.tests.matrix.testbed import Call

KINDS = (
    "kill",
    "pause and wake",
    "link cut",
    "one-way cut",
    "silent connection",
    "slow link",
    "platform down",
    "platform stale",
    "list lagging",
    "late or duplicate answer",
    "memory limit",
    "operator race",
)
COMPLETE = ("whole",)
BROKEN = ("broken",)
NOT_RUN = ("*/no",)
UNKNOWN = ("*/unknown",)
NEVER, ONCE, MAYBE = (0,), (1,), (0, 1)
SHORT_DEADLINE_MS = 1200


class Cell(NamedTuple):
    """A fault at a step of a call, with the allowed outcomes."""

    kind: str
    step: str
    fault: str
    subject: str
    allowed_results: tuple[str, ...]
    """What the caller may see: "whole" (a complete answer), "broken" (none, or one that is visibly
    truncated) or KIND/RAN."""
    allowed_runs: tuple[int, ...]
    """How often the request may have run when the call has ended."""
    call: Call
    quick: bool = False
    """Whether the cell is part of the regular test run."""

    @property
    def name(self) -> str:
        what = "" if self.fault == self.kind else f" ({self.fault})"
        where = f" of {self.subject}" if self.subject else ""
        return f"{self.kind}{what}{where} at {self.step}"


def _make_cell(
    kind: str,
    step: str,
    subject: str,
    allowed_results: tuple[str, ...],
    allowed_runs: tuple[int, ...],
    *,
    fault: str = "",
    quick: bool = False,
    call: Call | None = None,
    **changes: object,
) -> Cell:
    chosen = (call or CALLS.get(step, Call()))._replace(**changes)
    return Cell(kind, step, fault or kind, subject, allowed_results, allowed_runs, chosen, quick)


KILL = [
    _make_cell("kill", "lookup", "host", COMPLETE, ONCE, quick=True),
    _make_cell("kill", "admit", "host", BROKEN, NEVER),
    _make_cell("kill", "queue", "host", BROKEN, NEVER),
    _make_cell("kill", "queue", "one endpoint", COMPLETE, ONCE),
    _make_cell("kill", "choose", "one endpoint", COMPLETE, ONCE, quick=True),
    _make_cell("kill", "connect", "endpoint", NOT_RUN, NEVER, quick=True),
    _make_cell("kill", "send", "endpoint", UNKNOWN, NEVER),
    _make_cell("kill", "send", "host", BROKEN, MAYBE),
    _make_cell("kill", "first byte", "endpoint", UNKNOWN, ONCE, quick=True),
    _make_cell("kill", "first byte", "host", BROKEN, ONCE),
    _make_cell("kill", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _make_cell("kill", "mid-stream", "host", BROKEN, ONCE),
    _make_cell("kill", "end", "endpoint", BROKEN, ONCE),
    _make_cell("kill", "end", "host", BROKEN, ONCE),
    _make_cell("kill", "passing on", "far", UNKNOWN, ONCE),
    _make_cell("kill", "passing on", "host", BROKEN, ONCE),
    _make_cell("kill", "recording", "host", UNKNOWN, ONCE, quick=True),
]

PAUSE = [
    _make_cell("pause and wake", "lookup", "host", COMPLETE, ONCE),
    _make_cell("pause and wake", "lookup", "one far", COMPLETE, ONCE, team="bound-cu"),
    _make_cell("pause and wake", "admit", "host", NOT_RUN, NEVER, deadline_ms=SHORT_DEADLINE_MS),
    _make_cell("pause and wake", "queue", "host", NOT_RUN, NEVER, deadline_ms=2500, quick=True),
    _make_cell(
        "pause and wake",
        "choose",
        "one endpoint",
        (*COMPLETE, *UNKNOWN),
        MAYBE,
        deadline_ms=SHORT_DEADLINE_MS,
    ),
    _make_cell(
        "pause and wake", "connect", "endpoint", UNKNOWN, MAYBE, deadline_ms=SHORT_DEADLINE_MS
    ),
    _make_cell("pause and wake", "send", "endpoint", UNKNOWN, MAYBE, deadline_ms=SHORT_DEADLINE_MS),
    _make_cell(
        "pause and wake",
        "send",
        "host",
        (*UNKNOWN, *COMPLETE),
        MAYBE,
        deadline_ms=SHORT_DEADLINE_MS,
    ),
    _make_cell(
        "pause and wake", "first byte", "endpoint", UNKNOWN, ONCE, deadline_ms=SHORT_DEADLINE_MS
    ),
    _make_cell(
        "pause and wake",
        "first byte",
        "host",
        (*UNKNOWN, *COMPLETE),
        ONCE,
        deadline_ms=SHORT_DEADLINE_MS,
    ),
    _make_cell(
        "pause and wake", "mid-stream", "endpoint", BROKEN, ONCE, deadline_ms=SHORT_DEADLINE_MS
    ),
    _make_cell(
        "pause and wake",
        "mid-stream",
        "host",
        (*BROKEN, *COMPLETE),
        ONCE,
        deadline_ms=SHORT_DEADLINE_MS,
    ),
    _make_cell("pause and wake", "end", "endpoint", BROKEN, ONCE, deadline_ms=SHORT_DEADLINE_MS),
    _make_cell(
        "pause and wake", "end", "host", (*BROKEN, *COMPLETE), ONCE, deadline_ms=SHORT_DEADLINE_MS
    ),
    _make_cell("pause and wake", "passing on", "far", UNKNOWN, ONCE, deadline_ms=SHORT_DEADLINE_MS),
    _make_cell("pause and wake", "recording", "host", UNKNOWN, ONCE, deadline_ms=SHORT_DEADLINE_MS),
]

CUT = [
    _make_cell("link cut", "lookup", "host", COMPLETE, ONCE),
    _make_cell("link cut", "admit", "host", COMPLETE, ONCE),
    _make_cell("link cut", "admit", "endpoint", NOT_RUN, NEVER),
    _make_cell("link cut", "queue", "endpoint", NOT_RUN, NEVER),
    _make_cell("link cut", "choose", "one endpoint", COMPLETE, ONCE, quick=True),
    _make_cell("link cut", "connect", "endpoint", NOT_RUN, NEVER),
    _make_cell("link cut", "send", "endpoint", UNKNOWN, NEVER),
    _make_cell("link cut", "first byte", "endpoint", UNKNOWN, ONCE),
    _make_cell("link cut", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _make_cell("link cut", "end", "endpoint", BROKEN, ONCE),
    _make_cell("link cut", "passing on", "far", UNKNOWN, ONCE, quick=True),
    _make_cell("link cut", "recording", "second", UNKNOWN, ONCE),
]

REQUESTS_LOST, ANSWERS_LOST = "one-way cut: requests lost", "one-way cut: answers lost"
ONE_WAY = [
    _make_cell("one-way cut", "lookup", "host", COMPLETE, ONCE, fault=REQUESTS_LOST),
    _make_cell("one-way cut", "admit", "host", COMPLETE, ONCE, fault=REQUESTS_LOST),
    _make_cell("one-way cut", "queue", "host", COMPLETE, ONCE, fault=ANSWERS_LOST),
    _make_cell(
        "one-way cut", "choose", "endpoint", UNKNOWN, NEVER, fault=REQUESTS_LOST, deadline_ms=1200
    ),
    _make_cell(
        "one-way cut", "connect", "endpoint", UNKNOWN, ONCE, fault=ANSWERS_LOST, deadline_ms=1200
    ),
    _make_cell(
        "one-way cut", "send", "endpoint", UNKNOWN, NEVER, fault=REQUESTS_LOST, deadline_ms=1200
    ),
    _make_cell(
        "one-way cut", "first byte", "endpoint", UNKNOWN, ONCE, fault=ANSWERS_LOST, deadline_ms=1200
    ),
    _make_cell(
        "one-way cut", "mid-stream", "endpoint", BROKEN, ONCE, fault=ANSWERS_LOST, quick=True
    ),
    _make_cell("one-way cut", "end", "endpoint", BROKEN, ONCE, fault=ANSWERS_LOST),
    _make_cell(
        "one-way cut", "passing on", "far", UNKNOWN, ONCE, fault=ANSWERS_LOST, deadline_ms=1200
    ),
    _make_cell(
        "one-way cut", "recording", "second", UNKNOWN, ONCE, fault=ANSWERS_LOST, deadline_ms=1200
    ),
]

SILENT = [
    _make_cell("silent connection", "lookup", "host", COMPLETE, ONCE),
    _make_cell("silent connection", "admit", "endpoint", COMPLETE, ONCE),
    _make_cell("silent connection", "queue", "endpoint", COMPLETE, ONCE),
    _make_cell("silent connection", "choose", "endpoint", COMPLETE, ONCE, quick=True),
    _make_cell("silent connection", "connect", "endpoint", COMPLETE, (1, 2), profile="lookup"),
    _make_cell("silent connection", "send", "endpoint", UNKNOWN, NEVER, deadline_ms=1200),
    _make_cell("silent connection", "first byte", "endpoint", UNKNOWN, ONCE, deadline_ms=1200),
    _make_cell("silent connection", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _make_cell("silent connection", "end", "endpoint", BROKEN, ONCE),
    _make_cell("silent connection", "passing on", "far", UNKNOWN, ONCE, deadline_ms=1500),
    _make_cell("silent connection", "recording", "host", COMPLETE, ONCE),
]


def _make_harmless_cells(
    kind: str,
    subject: str,
    excluded: tuple[str, ...] = (),
    fault: str = "",
    quick: tuple[str, ...] = (),
) -> list[Cell]:
    """Return a cell at each step for a fault that must not affect callers."""
    return [
        _make_cell(kind, step, subject, COMPLETE, ONCE, fault=fault, quick=step in quick)
        for step in STEPS
        if step not in excluded
    ]


SLOW = [
    *_make_harmless_cells("slow link", "endpoint", ("lookup", "passing on", "recording")),
    _make_cell("slow link", "lookup", "host", COMPLETE, ONCE),
    _make_cell("slow link", "passing on", "far", COMPLETE, ONCE),
    _make_cell("slow link", "recording", "host", COMPLETE, ONCE),
]

OUTSIDE = [
    *_make_harmless_cells("platform down", "", quick=("passing on",)),
    *_make_harmless_cells("platform stale", "", quick=("choose",)),
    *_make_harmless_cells("list lagging", ""),
]

LATE = [
    _make_cell(
        "late or duplicate answer",
        "first byte",
        "",
        UNKNOWN,
        ONCE,
        fault="late answer",
        deadline_ms=1200,
        quick=True,
    ),
    *(
        _make_cell("late or duplicate answer", step, "", results, ONCE, fault=fault, **short)
        for step, results, fault, short in (
            ("first byte", COMPLETE, "duplicate answer", {}),
            ("mid-stream", BROKEN, "late answer", {"deadline_ms": 1200}),
            ("mid-stream", COMPLETE, "duplicate answer", {}),
            ("end", BROKEN, "late answer", {"deadline_ms": 1200}),
            ("end", COMPLETE, "duplicate answer", {}),
            ("passing on", UNKNOWN, "late answer", {"deadline_ms": 1200}),
            ("passing on", COMPLETE, "duplicate answer", {}),
            ("recording", COMPLETE, "late settlement", {}),
        )
    ),
]

HOST_FULL = "memory limit: host full"
LONG_DEADLINE_CALL = Call("lookup", deadline_ms=5000)
"""A call with an earlier deadline would displace one that is queued."""
MEMORY = [
    _make_cell("memory limit", "lookup", "", COMPLETE, ONCE, fault=HOST_FULL, team="bound-cu"),
    _make_cell(
        "memory limit",
        "admit",
        "",
        ("too_large/no",),
        NEVER,
        body_size=600_000,
        profile="lookup",
        quick=True,
    ),
    _make_cell(
        "memory limit",
        "choose",
        "",
        NOT_RUN,
        NEVER,
        fault=HOST_FULL,
        call=LONG_DEADLINE_CALL,
        quick=True,
    ),
    _make_cell("memory limit", "passing on", "far", (*COMPLETE, *NOT_RUN), MAYBE, fault=HOST_FULL),
    _make_cell("memory limit", "recording", "", ("answer_gone/yes",), ONCE, body_size=100_000),
]

TEAM_WITHDRAWN = "operator race: team withdrawn"
REGION_WITHDRAWN = "operator race: region withdrawn"
RACE = [
    *_make_harmless_cells("operator race", "", quick=("mid-stream",)),
    _make_cell(
        "operator race", "admit", "", (*COMPLETE, "forbidden/no"), MAYBE, fault=TEAM_WITHDRAWN
    ),
    _make_cell(
        "operator race", "queue", "", ("residency/no",), NEVER, fault=REGION_WITHDRAWN, quick=True
    ),
    _make_cell("operator race", "choose", "", ("residency/no",), NEVER, fault=REGION_WITHDRAWN),
    _make_cell("operator race", "first byte", "", COMPLETE, ONCE, fault=REGION_WITHDRAWN),
    _make_cell("operator race", "passing on", "", COMPLETE, ONCE, fault=REGION_WITHDRAWN),
]

CELLS = [*KILL, *PAUSE, *CUT, *ONE_WAY, *SILENT, *SLOW, *OUTSIDE, *LATE, *MEMORY, *RACE]

NOT_APPLICABLE: dict[tuple[str, str], str] = {
    **{
        ("late or duplicate answer", step): "no answer is awaited at this step"
        for step in ("lookup", "admit", "queue", "choose", "connect", "send")
    },
    ("memory limit", "queue"): "see choose: a full host refuses before it queues",
    ("memory limit", "connect"): "nothing is stored: the request's size was bounded when admitted",
    ("memory limit", "send"): "nothing is stored: the request's size was bounded when admitted",
    ("memory limit", "first byte"): "nothing is stored but the head, which has a fixed bound",
}

NOT_RUN_YET: dict[tuple[str, str], str] = {
    ("memory limit", "mid-stream"): "needs a caller that reads slowly; tested at the relay",
    ("memory limit", "end"): "needs an answer over the limit; tested at the endpoints' client",
}


def list_missing_pairs() -> list[tuple[str, str]]:
    """Return the pairs of fault and step that are missing from the table."""
    covered = {(cell.kind, cell.step) for cell in CELLS} | set(NOT_APPLICABLE) | set(NOT_RUN_YET)
    return [pair for pair in itertools.product(KINDS, STEPS) if pair not in covered]
