"""Validate published documents and a daemon's settings against their schemas, with pydantic."""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from typing import Any, TypeVar, cast, get_type_hints

from pydantic import TypeAdapter, ValidationError

from cloverway.config.findings import Findings, suggest

T = TypeVar("T")
Location = tuple[int | str, ...]

SEE_REFERENCE = "see the configuration reference for its form"
REMEDIES = {
    "missing": "set it",
    "missing_argument": "set it",
    "string_pattern_mismatch": SEE_REFERENCE,
    "literal_error": "choose one of these",
    "enum": "choose one of these",
    "finite_number": "use a finite number",
}

VALUE_ERROR_PREFIX = "Value error, "
"""Prefix that pydantic adds to the messages of ValueErrors raised in the schema's own checks."""
UNKNOWN_NAME_TYPES = ("extra_forbidden", "unexpected_keyword_argument")


def validate(
    model: type[T], values: Mapping[str, Any], findings: Findings, prefix: str = ""
) -> T | None:
    """Validate a table against a NamedTuple; return None after an error.

    Unknown names are only warnings. Dotted names in the findings start with `prefix`.
    """
    schema: TypeAdapter[T] = _get_adapter(cast(Any, model))
    if not isinstance(values, Mapping):
        findings.add(prefix, f"is not a table; write the fields of {model.__name__} as a table")
        return None
    try:
        return schema.validate_python(values)
    except ValidationError as error:
        details = error.errors(include_url=False, include_input=False, include_context=False)
    unknown = [detail["loc"] for detail in details if detail["type"] in UNKNOWN_NAME_TYPES]
    known = [detail for detail in details if detail["type"] not in UNKNOWN_NAME_TYPES]
    for location in unknown:
        remedy = suggest(str(location[-1]), list_names(model, location[:-1]))
        findings.warn(_join(prefix, location), f"is not a known name; {remedy}")
    for detail in known:
        remedy = REMEDIES.get(detail["type"], "")
        message = detail["msg"].removeprefix(VALUE_ERROR_PREFIX) + (
            f" ({remedy})" if remedy else ""
        )
        findings.add(_join(prefix, detail["loc"]), message)
    if known:
        return None
    return schema.validate_python(_copy_without(values, unknown))


def _join(prefix: str, location: Location) -> str:
    return ".".join(part for part in (prefix, *map(str, location)) if part)


def _copy_without(values: Mapping[str, Any], locations: list[Location]) -> dict[str, Any]:
    """Return a copy of nested tables without the names at some locations."""
    dropped = {location[0] for location in locations if len(location) == 1}
    nested = [location for location in locations if len(location) > 1]
    return {
        name: (
            _copy_without(value, [location[1:] for location in nested if location[0] == name])
            if isinstance(value, Mapping)
            else value
        )
        for name, value in values.items()
        if name not in dropped
    }


def list_names(model: type, location: Location) -> tuple[str, ...]:
    """Return the valid names of the table at a location below a NamedTuple."""
    table: Any = model
    for step in location:
        table = get_type_hints(table).get(str(step)) if hasattr(table, "_fields") else None
    return getattr(table, "_fields", ())


@cache
def _get_adapter(model: Any) -> TypeAdapter[Any]:
    return TypeAdapter(model)
