"""The configuration reference lists all fields of settings and published documents."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

import pytest

from cloverway.config.schema import SINGLETONS, TABLES
from cloverway.config.settings import Settings

PAGE = Path(__file__).parents[2] / "docs" / "operator-guide" / "configuration-reference.md"
ROW = re.compile(r"^\| `(?P<name>\w+)` \| (?P<default>.*?) ?\| ", re.MULTILINE)


def list_sections() -> dict[str, Any]:
    """Return the NamedTuple of each section of the page by its heading."""
    hints = get_type_hints(Settings)
    parts = {name: hint for name, hint in hints.items() if hasattr(hint, "_fields")}
    published = SINGLETONS | {f"{table}.NAME": model for table, model in TABLES.items()}
    return {"Top level": without(Settings, set(parts))} | parts | published


def without(model: Any, names: set[str]) -> Any:
    kept = [name for name in model._fields if name not in names]
    top = NamedTuple("Top", [(name, Any) for name in kept])
    top._field_defaults = {k: v for k, v in model._field_defaults.items() if k in kept}
    return top


@pytest.mark.parametrize("heading", list_sections())
def test_reference_has_every_name_at_its_default(heading: str) -> None:
    model = list_sections()[heading]
    section = PAGE.read_text().split(f"\n### {heading}\n")[1].split("\n### ")[0]
    rows = {row["name"]: row["default"] for row in ROW.finditer(section)}
    assert list(rows) and set(rows) == set(model._fields)
    for name, default in rows.items():
        if name not in model._field_defaults:
            assert default == "", f"{name} has no default"
            continue
        value = model._field_defaults[name]
        assert default == ("none" if value is None else f"`{json.dumps(value)}`"), name
