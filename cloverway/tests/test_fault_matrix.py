"""The quick cells of the fault matrix; `make matrix` runs all of them."""

from __future__ import annotations

import pytest

from cloverway.tests.matrix.runner import run_cell
from cloverway.tests.matrix.table import CELLS, find_gaps
from cloverway.tests.matrix.testbed import Bench

QUICK = [cell for cell in CELLS if cell.quick]


@pytest.fixture(scope="module")
def bench():
    started = Bench.from_scratch()
    yield started
    started.close()


@pytest.fixture
def ready_bench(bench):
    bench.reset()
    return bench


def test_table_names_every_fault_at_every_step():
    assert find_gaps() == []


@pytest.mark.parametrize("cell", QUICK, ids=lambda cell: cell.name)
def test_cell(ready_bench, cell):
    """What the caller sees and what the endpoints count agree with the cell and its promises."""
    outcome = run_cell(ready_bench, cell)
    assert not outcome.faults, outcome
