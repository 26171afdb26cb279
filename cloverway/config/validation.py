"""Validation of published documents and a daemon's settings against their schemas."""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from typing import Any, TypeVar, cast, get_type_hints

from pydantic import TypeAdapter, ValidationError

from cloverway.config.findings import Findings, suggest

T = TypeVar("T")
Location = tuple[int | str, ...]

FORM = "see the configuration reference for its form"
REMEDIES = {
    "missing": "set it",
    "missing_argument": "set it",
    "string_pattern_mismatch": FORM,
    "literal_error": "choose one of these",
    "enum": "choose one of these",
    "finite_number": "give a number",
}

OWN_CHECK = "Value error, "
"""What stands before the text of a check that is a function of ours."""
UNKNOWN_NAME = ("extra_forbidden", "unexpected_keyword_argument")


def validate(
    model: type[T], values: Mapping[str, Any], findings: Findings, where: str = ""
) -> T | None:
    """Check a table against a NamedTuple; unknown names are warnings, all else is an error.

    Dotted names in the findings start with `where`. Returns None when there is an error.
    """
    schema: TypeAdapter[T] = _adapt(cast(Any, model))
    if not isinstance(values, Mapping):
        findings.add(where, f"is not a table; write the names of {model.__name__} into one")
        return None
    try:
        return schema.validate_python(values)
    except ValidationError as error:
        faults = error.errors(include_url=False, include_input=False, include_context=False)
    unknown = [fault["loc"] for fault in faults if fault["type"] in UNKNOWN_NAME]
    known = [fault for fault in faults if fault["type"] not in UNKNOWN_NAME]
    for location in unknown:
        remedy = suggest(str(location[-1]), names_at(model, location[:-1]))
        findings.warn(_join(where, location), f"is not a known name; {remedy}")
    for fault in known:
        remedy = REMEDIES.get(fault["type"], "")
        what = fault["msg"].removeprefix(OWN_CHECK) + (f" ({remedy})" if remedy else "")
        findings.add(_join(where, fault["loc"]), what)
    if known:
        return None
    return schema.validate_python(_without(values, unknown))


def _join(where: str, location: Location) -> str:
    return ".".join(part for part in (where, *map(str, location)) if part)


def _without(values: Mapping[str, Any], locations: list[Location]) -> dict[str, Any]:
    """Copy nested tables but for the names at some locations."""
    here = {location[0] for location in locations if len(location) == 1}
    deeper = [location for location in locations if len(location) > 1]
    return {
        name: (
            _without(value, [location[1:] for location in deeper if location[0] == name])
            if isinstance(value, Mapping)
            else value
        )
        for name, value in values.items()
        if name not in here
    }


def names_at(model: type, location: Location) -> tuple[str, ...]:
    """List the names that are valid in the table at a location below a NamedTuple."""
    here: Any = model
    for step in location:
        here = get_type_hints(here).get(str(step)) if hasattr(here, "_fields") else None
    return getattr(here, "_fields", ())


@cache
def _adapt(model: Any) -> TypeAdapter[Any]:
    return TypeAdapter(model)
