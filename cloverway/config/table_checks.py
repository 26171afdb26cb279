"""Validate tables of settings against NamedTuples, with msgspec instead of pydantic.

Hosts of a fleet load this module and not `config.validation`. Loading a host takes 0.34 s of CPU
time with pydantic and 0.26 s without it, and callers wait for that when all hosts restart.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import cache
from typing import Annotated, Any, NamedTuple, TypeVar, cast, get_args, get_origin, get_type_hints

import msgspec

from cloverway.config.findings import Findings, suggest

T = TypeVar("T")


class Check(NamedTuple):
    """A check of a value beyond its type; part of the type hint, by `Annotated`."""

    run: Callable[[Any], Any]
    """Raises ValueError with the requirement that the value does not meet."""


def check_table(
    model: type[T], values: object, findings: Findings, field_path: str = ""
) -> T | None:
    """Validate a table; return None after an error. Unknown names are only warnings."""
    if not isinstance(values, Mapping):
        findings.add(field_path, f"is not a table; write the fields of {model.__name__} as a table")
        return None
    hints = _list_hints(cast(Any, model))
    for name in values.keys() - hints.keys():
        findings.warn(_join(field_path, name), f"is not a known name; {suggest(name, hints)}")
    defaults: Mapping[str, Any] = getattr(model, "_field_defaults", {})
    for name in hints.keys() - values.keys() - defaults.keys():
        findings.add(_join(field_path, name), "is missing (set it)")
    before = len(findings.errors)
    checked = {
        name: _check_value(hint, values[name], findings, _join(field_path, name))
        for name, hint in hints.items()
        if name in values
    }
    is_complete = hints.keys() <= values.keys() | defaults.keys()
    return model(**checked) if is_complete and len(findings.errors) == before else None


def _check_value(hint: Any, value: object, findings: Findings, field_path: str) -> Any:
    if hasattr(hint, "_fields"):
        return check_table(hint, value, findings, field_path)
    try:
        converted = msgspec.convert(value, hint)
        for check, item in _list_checks(hint, converted):
            check.run(item)
    except (msgspec.ValidationError, ValueError) as error:
        findings.add(field_path, str(error))
        return None
    return converted


def _list_checks(hint: Any, value: Any) -> list[tuple[Check, Any]]:
    """Return the checks of a value, or those of the items of a tuple."""
    if get_origin(hint) is Annotated:
        return [(part, value) for part in get_args(hint)[1:] if isinstance(part, Check)]
    if get_origin(hint) is tuple:
        inner = get_args(hint)[0]
        return [found for item in value for found in _list_checks(inner, item)]
    return []


@cache
def _list_hints(model: Any) -> dict[str, Any]:
    return get_type_hints(model, include_extras=True)


def _join(field_path: str, name: object) -> str:
    return f"{field_path}.{name}" if field_path else str(name)
