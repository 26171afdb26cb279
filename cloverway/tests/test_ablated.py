"""Each mechanism of the ablation tool names a constant that is there, and changes what it says."""

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
    """Set only where it is defined, the module that decides would go on with the old value."""
    code = """
from cloverway.tests.ablated import switch_off
from cloverway.core import engine_speed, kv_fetch, prediction, selection, token_gaps
switch_off("blame")
assert prediction.FAILURE_S == selection.FAILURE_S == 0.0
switch_off("burst")
assert token_gaps.START_PART == token_gaps.PromptBurst().part == 1e9
switch_off("fetch")
assert kv_fetch.LEAST_TOKENS == 1e9 and engine_speed.LEAST_TOKENS < 1e9
"""
    subprocess.run([sys.executable, "-c", code], check=True)


def test_mechanisms_are_switched_off_in_a_process_that_has_loaded_nothing():
    """A host loads its parts only when it listens already; the tool stopped with a KeyError."""
    code = """
from cloverway.tests.ablated import MECHANISMS, switch_off
for name in MECHANISMS:
    switch_off(name)
"""
    subprocess.run([sys.executable, "-c", code], check=True)
