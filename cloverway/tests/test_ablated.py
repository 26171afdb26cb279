"""Each mechanism of the ablation tool names existing constants, and disabling it sets them."""

from __future__ import annotations

import importlib
import subprocess
import sys

import pytest

from cloverway.tests.ablated import MECHANISMS


@pytest.mark.parametrize("name", MECHANISMS)
def test_a_mechanism_names_constants_of_the_product(name):
    for switch in MECHANISMS[name]:
        module = importlib.import_module(f"cloverway.{switch.module}")
        assert isinstance(getattr(module, switch.name), (int, float))


def test_a_constant_is_also_switched_off_where_it_was_imported():
    """Modules that imported the constant by name would otherwise keep the old value."""
    code = """
from cloverway.tests.ablated import switch_off
from cloverway.core import engine_speed, kv_fetch, prediction, selection, token_gaps
switch_off("blame")
assert prediction.FAILURE_PENALTY_S == selection.FAILURE_PENALTY_S == 0.0
switch_off("burst")
assert token_gaps.INITIAL_BURST_RATIO == token_gaps.PrefillBurstLimit().ratio == 1e9
switch_off("fetch")
assert kv_fetch.MIN_TOKENS == 1e9 and engine_speed.MIN_TOKENS < 1e9
"""
    subprocess.run([sys.executable, "-c", code], check=True)


def test_mechanisms_are_switched_off_in_a_process_that_has_loaded_nothing():
    """A host loads its modules only after it listens; the tool stopped with a KeyError."""
    code = """
from cloverway.tests.ablated import MECHANISMS, switch_off
for name in MECHANISMS:
    switch_off(name)
"""
    subprocess.run([sys.executable, "-c", code], check=True)
