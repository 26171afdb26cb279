"""The quick cells of the fault matrix; `make matrix` runs all cells."""

from __future__ import annotations

import pytest

from cloverway.tests.matrix.runner import run_cell
from cloverway.tests.matrix.table import CELLS, list_missing_pairs
from cloverway.tests.matrix.testbed import (
    ENTRY,
    REMOTE,
    Call,
    FaultTestbed,
    PendingCall,
    pause_for,
)

QUICK = [cell for cell in CELLS if cell.quick]


@pytest.fixture(scope="module")
def testbed():
    started = FaultTestbed.start()
    yield started
    started.close()


@pytest.fixture
def ready_testbed(testbed):
    testbed.reset()
    return testbed


def test_table_names_every_fault_at_every_step():
    assert list_missing_pairs() == []


@pytest.mark.parametrize("pause_s", [1.8, 2.5])
def test_a_host_that_wakes_up_uses_other_regions_at_once(ready_testbed, pause_s):
    """Guards against refusing calls for another region because the host itself was paused.

    What it knows of the region is as old as the pause. The first call comes before any summary.
    """
    ready_testbed.pause(ENTRY)
    pause_for(pause_s)
    ready_testbed.resume()
    call = Call("lookup", team=f"bound-{REMOTE}")
    result = ready_testbed.send(ENTRY, PendingCall(call, ready_testbed.make_tag("woken"), ""))
    assert result.complete, result


@pytest.mark.parametrize("cell", QUICK, ids=lambda cell: cell.name)
def test_cell(ready_testbed, cell):
    """The caller's result and the endpoints' run counts match the cell and the guarantees."""
    outcome = run_cell(ready_testbed, cell)
    assert not outcome.violations, outcome
