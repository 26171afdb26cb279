"""Format the output of commands: tables, nested values and JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

INDENT = "  "


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return json.dumps(value, indent=2, sort_keys=True, default=str)


def make_plain(value: Any) -> Any:
    """Convert NamedTuples, also nested ones, to dictionaries, and other tuples to lists."""
    if hasattr(value, "_asdict"):
        value = value._asdict()
    if isinstance(value, Mapping):
        return {name: make_plain(item) for name, item in value.items()}
    return [make_plain(item) for item in value] if isinstance(value, tuple) else value


def format_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as aligned columns below a header."""
    cells = [list(header), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    lines = (
        INDENT.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def format_cell(value: Any) -> str:
    """Return one value as a short text."""
    if value is None or value in ("", {}):
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list | tuple):
        return ", ".join(format_cell(item) for item in value) or "-"
    return str(value)


def format_nested(value: Any, depth: int = 0) -> str:
    """Return nested JSON values as indented lines, with lists of flat objects as tables."""
    return "\n".join(_iterate_lines(value, depth))


def _iterate_lines(value: Any, depth: int) -> Iterable[str]:
    prefix = INDENT * depth
    if isinstance(value, Mapping):
        for name, item in value.items():
            if _is_flat(item):
                yield f"{prefix}{name}: {format_cell(item)}"
                continue
            yield f"{prefix}{name}:"
            yield from _iterate_lines(item, depth + 1)
    elif _is_table(value):
        header = list(dict.fromkeys(name for row in value for name in row))
        table = format_table(header, ([row.get(name) for name in header] for row in value))
        yield from (prefix + line for line in table.split("\n"))
    elif isinstance(value, list | tuple):
        for item in value:
            yield from _iterate_lines(item, depth)
    else:
        yield prefix + format_cell(value)


def _is_flat(value: Any) -> bool:
    if isinstance(value, list | tuple):
        return not any(isinstance(item, Mapping | list | tuple) for item in value)
    return not isinstance(value, Mapping) or not value


def _is_table(value: Any) -> bool:
    return (
        isinstance(value, list | tuple)
        and bool(value)
        and all(isinstance(row, Mapping) for row in value)
        and all(_is_flat(cell) for row in value for cell in row.values())
    )
