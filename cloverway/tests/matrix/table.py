"""The matrix: what a caller may be told, and how often its request may have run, cell by cell."""

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
WHOLE = ("whole",)
BROKEN = ("broken",)
NOT_RUN = ("*/no",)
UNKNOWN = ("*/unknown",)
NEVER, ONCE, MAYBE = (0,), (1,), (0, 1)
SHORT_MS = 1200


class Cell(NamedTuple):
    """One fault at one step of one call."""

    kind: str
    step: str
    fault: str
    subject: str
    told: tuple[str, ...]
    """What the caller may see: "whole", "broken" (visibly no answer, or a part), or KIND/RAN."""
    runs: tuple[int, ...]
    """How often the request may have run when the call has ended."""
    call: Call
    quick: bool = False
    """Whether the cell is part of the ordinary test run."""

    @property
    def name(self) -> str:
        what = "" if self.fault == self.kind else f" ({self.fault})"
        where = f" of {self.subject}" if self.subject else ""
        return f"{self.kind}{what}{where} at {self.step}"


def _cell(
    kind: str,
    step: str,
    subject: str,
    told: tuple[str, ...],
    runs: tuple[int, ...],
    *,
    fault: str = "",
    quick: bool = False,
    call: Call | None = None,
    **changes: object,
) -> Cell:
    chosen = (call or CALLS.get(step, Call()))._replace(**changes)
    return Cell(kind, step, fault or kind, subject, told, runs, chosen, quick)


KILL = [
    _cell("kill", "lookup", "host", WHOLE, ONCE, quick=True),
    _cell("kill", "admit", "host", BROKEN, NEVER),
    _cell("kill", "queue", "host", BROKEN, NEVER),
    _cell("kill", "queue", "one endpoint", WHOLE, ONCE),
    _cell("kill", "choose", "one endpoint", WHOLE, ONCE, quick=True),
    _cell("kill", "connect", "endpoint", NOT_RUN, NEVER, quick=True),
    _cell("kill", "send", "endpoint", UNKNOWN, NEVER),
    _cell("kill", "send", "host", BROKEN, MAYBE),
    _cell("kill", "first byte", "endpoint", UNKNOWN, ONCE, quick=True),
    _cell("kill", "first byte", "host", BROKEN, ONCE),
    _cell("kill", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _cell("kill", "mid-stream", "host", BROKEN, ONCE),
    _cell("kill", "end", "endpoint", BROKEN, ONCE),
    _cell("kill", "end", "host", BROKEN, ONCE),
    _cell("kill", "passing on", "far", UNKNOWN, ONCE),
    _cell("kill", "passing on", "host", BROKEN, ONCE),
    _cell("kill", "recording", "host", UNKNOWN, ONCE, quick=True),
]

PAUSE = [
    _cell("pause and wake", "lookup", "host", WHOLE, ONCE),
    _cell("pause and wake", "admit", "host", NOT_RUN, NEVER, deadline_ms=SHORT_MS),
    _cell("pause and wake", "queue", "host", NOT_RUN, NEVER, deadline_ms=2500, quick=True),
    _cell(
        "pause and wake",
        "choose",
        "one endpoint",
        (*WHOLE, *UNKNOWN),
        MAYBE,
        deadline_ms=SHORT_MS,
    ),
    _cell("pause and wake", "connect", "endpoint", UNKNOWN, MAYBE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "send", "endpoint", UNKNOWN, MAYBE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "send", "host", (*UNKNOWN, *WHOLE), MAYBE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "first byte", "endpoint", UNKNOWN, ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "first byte", "host", (*UNKNOWN, *WHOLE), ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "mid-stream", "endpoint", BROKEN, ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "mid-stream", "host", (*BROKEN, *WHOLE), ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "end", "endpoint", BROKEN, ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "end", "host", (*BROKEN, *WHOLE), ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "passing on", "far", UNKNOWN, ONCE, deadline_ms=SHORT_MS),
    _cell("pause and wake", "recording", "host", UNKNOWN, ONCE, deadline_ms=SHORT_MS),
]

CUT = [
    _cell("link cut", "lookup", "host", WHOLE, ONCE),
    _cell("link cut", "admit", "host", WHOLE, ONCE),
    _cell("link cut", "admit", "endpoint", NOT_RUN, NEVER),
    _cell("link cut", "queue", "endpoint", NOT_RUN, NEVER),
    _cell("link cut", "choose", "one endpoint", WHOLE, ONCE, quick=True),
    _cell("link cut", "connect", "endpoint", NOT_RUN, NEVER),
    _cell("link cut", "send", "endpoint", UNKNOWN, NEVER),
    _cell("link cut", "first byte", "endpoint", UNKNOWN, ONCE),
    _cell("link cut", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _cell("link cut", "end", "endpoint", BROKEN, ONCE),
    _cell("link cut", "passing on", "far", UNKNOWN, ONCE, quick=True),
    _cell("link cut", "recording", "second", UNKNOWN, ONCE),
]

REQUESTS, ANSWERS = "one-way cut: requests lost", "one-way cut: answers lost"
ONE_WAY = [
    _cell("one-way cut", "lookup", "host", WHOLE, ONCE, fault=REQUESTS),
    _cell("one-way cut", "admit", "host", WHOLE, ONCE, fault=REQUESTS),
    _cell("one-way cut", "queue", "host", WHOLE, ONCE, fault=ANSWERS),
    _cell("one-way cut", "choose", "endpoint", UNKNOWN, NEVER, fault=REQUESTS, deadline_ms=1200),
    _cell("one-way cut", "connect", "endpoint", UNKNOWN, ONCE, fault=ANSWERS, deadline_ms=1200),
    _cell("one-way cut", "send", "endpoint", UNKNOWN, NEVER, fault=REQUESTS, deadline_ms=1200),
    _cell("one-way cut", "first byte", "endpoint", UNKNOWN, ONCE, fault=ANSWERS, deadline_ms=1200),
    _cell("one-way cut", "mid-stream", "endpoint", BROKEN, ONCE, fault=ANSWERS, quick=True),
    _cell("one-way cut", "end", "endpoint", BROKEN, ONCE, fault=ANSWERS),
    _cell("one-way cut", "passing on", "far", UNKNOWN, ONCE, fault=ANSWERS, deadline_ms=1200),
    _cell("one-way cut", "recording", "second", UNKNOWN, ONCE, fault=ANSWERS, deadline_ms=1200),
]

SILENT = [
    _cell("silent connection", "lookup", "host", WHOLE, ONCE),
    _cell("silent connection", "admit", "endpoint", WHOLE, ONCE),
    _cell("silent connection", "queue", "endpoint", WHOLE, ONCE),
    _cell("silent connection", "choose", "endpoint", WHOLE, ONCE, quick=True),
    _cell("silent connection", "connect", "endpoint", WHOLE, (1, 2), profile="lookup"),
    _cell("silent connection", "send", "endpoint", UNKNOWN, NEVER, deadline_ms=1200),
    _cell("silent connection", "first byte", "endpoint", UNKNOWN, ONCE, deadline_ms=1200),
    _cell("silent connection", "mid-stream", "endpoint", BROKEN, ONCE, quick=True),
    _cell("silent connection", "end", "endpoint", BROKEN, ONCE),
    _cell("silent connection", "passing on", "far", UNKNOWN, ONCE, deadline_ms=1500),
    _cell("silent connection", "recording", "host", WHOLE, ONCE),
]


def _spread(
    kind: str, subject: str, but: tuple[str, ...] = (), fault: str = "", quick: tuple[str, ...] = ()
) -> list[Cell]:
    """Make a cell at each step for a fault that must change nothing for a caller."""
    return [
        _cell(kind, step, subject, WHOLE, ONCE, fault=fault, quick=step in quick)
        for step in STEPS
        if step not in but
    ]


SLOW = [
    *_spread("slow link", "endpoint", ("lookup", "passing on", "recording")),
    _cell("slow link", "lookup", "host", WHOLE, ONCE),
    _cell("slow link", "passing on", "far", WHOLE, ONCE),
    _cell("slow link", "recording", "host", WHOLE, ONCE),
]

OUTSIDE = [
    *_spread("platform down", "", quick=("passing on",)),
    *_spread("platform stale", "", quick=("choose",)),
    *_spread("list lagging", ""),
]

LATE = [
    _cell(
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
        _cell("late or duplicate answer", step, "", told, ONCE, fault=fault, **short)
        for step, told, fault, short in (
            ("first byte", WHOLE, "duplicate answer", {}),
            ("mid-stream", BROKEN, "late answer", {"deadline_ms": 1200}),
            ("mid-stream", WHOLE, "duplicate answer", {}),
            ("end", BROKEN, "late answer", {"deadline_ms": 1200}),
            ("end", WHOLE, "duplicate answer", {}),
            ("passing on", UNKNOWN, "late answer", {"deadline_ms": 1200}),
            ("passing on", WHOLE, "duplicate answer", {}),
            ("recording", WHOLE, "late settlement", {}),
        )
    ),
]

FULL = "memory limit: host full"
LATEST = Call("lookup", deadline_ms=5000)
"""A call with an earlier deadline would take the place of one that waits."""
MEMORY = [
    _cell("memory limit", "lookup", "", WHOLE, ONCE, fault=FULL, team="bound-cu"),
    _cell(
        "memory limit",
        "admit",
        "",
        ("too_large/no",),
        NEVER,
        size=600_000,
        profile="lookup",
        quick=True,
    ),
    _cell("memory limit", "choose", "", NOT_RUN, NEVER, fault=FULL, call=LATEST, quick=True),
    _cell("memory limit", "passing on", "far", (*WHOLE, *NOT_RUN), MAYBE, fault=FULL),
    _cell("memory limit", "recording", "", ("answer_gone/yes",), ONCE, size=100_000),
]

WITHDRAWN = "operator race: team withdrawn"
MOVED = "operator race: region withdrawn"
RACE = [
    *_spread("operator race", "", quick=("mid-stream",)),
    _cell("operator race", "admit", "", (*WHOLE, "forbidden/no"), MAYBE, fault=WITHDRAWN),
    _cell("operator race", "queue", "", ("residency/no",), NEVER, fault=MOVED, quick=True),
    _cell("operator race", "choose", "", ("residency/no",), NEVER, fault=MOVED),
    _cell("operator race", "first byte", "", WHOLE, ONCE, fault=MOVED),
    _cell("operator race", "passing on", "", WHOLE, ONCE, fault=MOVED),
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


def find_gaps() -> list[tuple[str, str]]:
    """List the pairs of fault and step that the table says nothing of."""
    told = {(cell.kind, cell.step) for cell in CELLS} | set(NOT_APPLICABLE) | set(NOT_RUN_YET)
    return [pair for pair in itertools.product(KINDS, STEPS) if pair not in told]
