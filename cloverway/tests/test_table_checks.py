"""Validation of settings tables without pydantic."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import pytest
from msgspec import Meta

from cloverway.addresses import check_address
from cloverway.config.findings import Findings
from cloverway.config.table_checks import Check, check_table

Address = Annotated[str, Check(check_address)]


class Inner(NamedTuple):
    address: Address
    others: tuple[Address, ...] = ()


class Outer(NamedTuple):
    name: str
    inner: Inner
    wait_s: Annotated[float, Meta(ge=0, le=10)] = 1.0


VALID = {"name": "n", "inner": {"address": "10.0.0.1:1"}}


def check(values):
    findings = Findings()
    return check_table(Outer, values, findings), findings


def test_a_valid_table_gives_a_value_with_defaults():
    value, findings = check(VALID | {"wait_s": 2})
    assert value == Outer("n", Inner("10.0.0.1:1"), 2.0)
    assert findings.errors == []


def test_every_error_has_its_dotted_name():
    value, findings = check({"inner": {"address": "nowhere", "others": ["a:b"]}, "wait_s": -1})
    assert value is None
    assert {error.partition(":")[0] for error in findings.errors} == {
        *("name", "inner.address", "inner.others", "wait_s"),
    }


@pytest.mark.parametrize("wait_s", [float("nan"), float("inf"), True, "1", None, [1]])
def test_an_invalid_number_is_rejected(wait_s):
    """TOML allows nan and inf, with which a draining host would wait forever or not at all."""
    assert check(VALID | {"wait_s": wait_s})[0] is None


def test_an_unknown_name_is_a_warning_with_the_closest_known_name():
    value, findings = check(VALID | {"wait": 1})
    assert value is not None
    assert "did you mean 'wait_s'?" in findings.warnings[0]


@pytest.mark.parametrize("values", [None, 1, [], "x"])
def test_a_value_that_is_not_a_table_is_rejected(values):
    assert check(values)[0] is None
    assert check(VALID | {"inner": values})[0] is None
