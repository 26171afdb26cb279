"""Validation of settings and documents: every finding is collected, and each says a remedy."""

from __future__ import annotations

import difflib
import logging
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from cloverway.errors import ConfigurationError

log = logging.getLogger(__name__)

T = TypeVar("T")

REMEDIES = {
    "missing": "set it",
    "missing_argument": "set it",
    "string_pattern_mismatch": "see the configuration reference for its form",
}

UNKNOWN_NAME = ("extra_forbidden", "unexpected_keyword_argument")


class Findings:
    """Errors and warnings about one source, in the order they were found."""

    def __init__(self, source: str = "") -> None:
        self.source = source
        self.errors: list[str] = []
        self.warnings: list[str] = []

    def add(self, where: str, what: str) -> None:
        """Note an error at a dotted name."""
        self.errors.append(self._format(where, what))

    def warn(self, where: str, what: str) -> None:
        """Note and log a warning at a dotted name."""
        text = self._format(where, what)
        self.warnings.append(text)
        log.warning(text)

    def raise_if_any(self) -> None:
        """Raise ConfigurationError with all errors, if there are any."""
        if self.errors:
            raise ConfigurationError(self.errors)

    def _format(self, where: str, what: str) -> str:
        return ": ".join(part for part in (self.source, where, what) if part)


def validate(schema: TypeAdapter[T], values: Mapping[str, Any], findings: Findings) -> T | None:
    """Check values against a schema; unknown names are warnings, all else is an error.

    Returns None when there is an error; the findings then say why.
    """
    try:
        return schema.validate_python(values)
    except ValidationError as error:
        faults = error.errors(include_url=False)
    unknown = [fault["loc"] for fault in faults if fault["type"] in UNKNOWN_NAME]
    known = [fault for fault in faults if fault["type"] not in UNKNOWN_NAME]
    for location in unknown:
        findings.warn(_join(location), "is not a known name" + _suggest(schema, location, values))
    for fault in known:
        remedy = REMEDIES.get(fault["type"])
        what = fault["msg"] + (f" ({remedy})" if remedy else "")
        findings.add(_join(fault["loc"]), what)
    if known:
        return None
    return schema.validate_python(_without(values, unknown))


def _join(location: Iterable[int | str]) -> str:
    return ".".join(str(part) for part in location)


def _without(values: Mapping[str, Any], locations: list[tuple[int | str, ...]]) -> dict[str, Any]:
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


def _suggest(
    schema: TypeAdapter[Any], location: tuple[int | str, ...], values: Mapping[str, Any]
) -> str:
    """Give the nearest known name, in the form of a question."""
    names = _known_names(schema.core_schema)
    close = difflib.get_close_matches(str(location[-1]), names, n=1)
    return f"; did you mean {close[0]!r}?" if close else "; remove it"


def _known_names(part: Any) -> set[str]:
    """Collect the name of every field of a schema."""
    if isinstance(part, Mapping):
        own = {str(part["name"])} if "name" in part and "schema" in part else set()
        return own.union(*(_known_names(deeper) for deeper in part.values()))
    if isinstance(part, list):
        return set().union(*(_known_names(deeper) for deeper in part))
    return set()
