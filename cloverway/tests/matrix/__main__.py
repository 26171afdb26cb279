"""Run the fault matrix, or the cells whose names contain given words; write its docs page."""

from __future__ import annotations

import argparse
import itertools
import sys
import time
import traceback
from collections import defaultdict
from pathlib import Path

from cloverway.tests.matrix.runner import Outcome, run_cell
from cloverway.tests.matrix.steps import STEPS
from cloverway.tests.matrix.table import CELLS, KINDS, NOT_APPLICABLE, NOT_RUN_YET, Cell
from cloverway.tests.matrix.testbed import FaultTestbed
from cloverway.tests.standins.processes import ROOT

PAGE = ROOT / "docs" / "fault-matrix.md"
INTRODUCTION = """# Fault matrix

Written by `make matrix` from its run through real processes: {hosts} daemons in two regions with
their engines, services and the platform as stand-ins, and links between all of them that can be
cut. Each cell brings one call to a step, holds it there, puts one fault in place, lets it go on,
and compares what the caller was told with what the endpoints counted. A call that may run once is
then repeated with its key at both hosts of its failure domain.

In every cell these hold besides its own row: a call that was told `ran: no` ran nowhere, a whole
answer is the caller's own, and a call that may run once ran at most once, repeats included.

"""


def main() -> int:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("words", nargs="*", help="run only cells whose names contain all of these")
    options.add_argument("--twice", action="store_true", help="run each cell twice")
    options.add_argument("--quick", action="store_true", help="run only the cells of the test run")
    options.add_argument("--no-page", action="store_true", help="do not write the page")
    given = options.parse_args()
    cells = [cell for cell in CELLS if all(word in cell.name for word in given.words)]
    cells = [cell for cell in cells if cell.quick or not given.quick]
    outcomes = run_all(cells * (2 if given.twice else 1))
    failed = [cell for cell, outcome in outcomes if outcome.violations]
    print(f"{len(outcomes)} cells run, {len(failed)} failed")
    if not (given.words or given.quick or given.no_page):
        PAGE.write_text("\n".join(render(outcomes)) + "\n")
    return 1 if failed else 0


def run_all(cells: list[Cell]) -> list[tuple[Cell, Outcome]]:
    """Run the cells in sequence on one fleet; start a new fleet after a cell that can't be run."""
    testbed = FaultTestbed.start()
    outcomes = []
    try:
        for cell in cells:
            try:
                testbed.reset()
                outcome = run_cell(testbed, cell)
            except Exception as error:
                traceback.print_exc(limit=3)
                outcome = Outcome("", 0, violations=(f"the cell could not be run: {error!r}",))
                testbed.close()
                testbed = FaultTestbed.start()
            outcomes.append((cell, outcome))
            _print(cell, outcome)
    finally:
        testbed.close()
    return outcomes


def _print(cell: Cell, outcome: Outcome) -> None:
    word = "FAILED" if outcome.violations else "ok"
    print(f"{word:7}{outcome.answer_s:5.1f} s  {cell.name}: {outcome.result}, ran {outcome.runs}")
    for violation in outcome.violations:
        print(f"        {violation[:600]}")
    sys.stdout.flush()


def render(outcomes: list[tuple[Cell, Outcome]]) -> list[str]:
    """Return the lines of the page."""
    by_pair = defaultdict(list)
    for cell, outcome in outcomes:
        by_pair[cell.kind, cell.step].append((cell, outcome))
    failed = sum(bool(outcome.violations) for _, outcome in outcomes)
    pairs = len(KINDS) * len(STEPS)
    lines = INTRODUCTION.format(hosts=4).splitlines()
    lines += [
        f"{len(outcomes)} cells run on {time.strftime('%Y-%m-%d')}: {len(outcomes) - failed} hold, "
        f"{failed} failed. Of {pairs} pairs of fault and step {len(by_pair)} were run, "
        f"{len(NOT_APPLICABLE)} are not applicable and {len(NOT_RUN_YET)} were not run.",
        "",
        "## Overview",
        "",
        "Number of cells that hold; `-` is not applicable, `?` not run, `!` failed.",
        "",
        "| | " + " | ".join(STEPS) + " |",
        "| --- |" + " --- |" * len(STEPS),
    ]
    for kind in KINDS:
        marks = (_mark(by_pair, kind, step) for step in STEPS)
        lines.append(f"| {kind} | " + " | ".join(marks) + " |")
    for kind in KINDS:
        lines += _render_kind(by_pair, kind)
    return lines


def _mark(by_pair: dict, kind: str, step: str) -> str:
    found = by_pair.get((kind, step), [])
    if any(outcome.violations for _, outcome in found):
        return "!"
    if found:
        return str(len(found))
    return "-" if (kind, step) in NOT_APPLICABLE else "?"


def _render_kind(by_pair: dict, kind: str) -> list[str]:
    lines = ["", f"## {kind.capitalize()}", ""]
    lines += ["| step | fault | caller may be told | told | ran | repeats | |"]
    lines += ["| --- | --- | --- | --- | ---: | --- | --- |"]
    for step in STEPS:
        found = by_pair.get((kind, step), [])
        lines += [_render_cell(cell, outcome) for cell, outcome in found]
        for reasons, word in ((NOT_APPLICABLE, "not applicable"), (NOT_RUN_YET, "not run")):
            if (kind, step) in reasons:
                lines.append(f"| {step} | | | | | | {word}: {reasons[kind, step]} |")
    return lines


def _render_cell(cell: Cell, outcome: Outcome) -> str:
    told = " or ".join(cell.allowed_results)
    where = cell.fault + (f" of {cell.subject}" if cell.subject else "")
    may = " or ".join(str(count) for count in cell.allowed_runs)
    verdict = "holds" if not outcome.violations else "FAILED: " + outcome.violations[0][:200]
    repeats = ", ".join(label for label, _ in itertools.groupby(outcome.repeats))
    return (
        f"| {cell.step} | {where} | {told}, ran {may} | {outcome.result} | {outcome.runs} "
        f"| {repeats} | {verdict} |"
    )


if __name__ == "__main__":
    Path(PAGE).parent.mkdir(exist_ok=True)
    raise SystemExit(main())
