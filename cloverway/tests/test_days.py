"""The days in deploy/days: each is valid TOML and starts with a comment that states its reason."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

DAYS = Path(__file__).parents[2] / "deploy" / "days"
PLACEHOLDERS = ("@c0", "@s0", "@z0")
SITE_SPECIFIC = {"deadly": {"dossier-review"}}
"""Days that the users specified literally; they are skipped on other sites."""
FIELDS = {
    *("at", "kind", "for_s", "share", "count", "x", "gap_s", "how", "on"),
    *("zone", "to_zone", "region", "service", "class"),
}


@pytest.mark.parametrize("path", sorted(DAYS.glob("*.toml")), ids=lambda path: path.stem)
def test_a_day_is_valid_and_states_its_reason(path):
    text = path.read_text(encoding="utf-8")
    day = tomllib.loads(text)
    assert text.startswith("# ")
    assert len(text.split("\n", 1)[0]) > 40
    assert day["name"] == path.stem
    entries = [*day.get("plan", ()), *day["faults"]]
    assert entries
    for entry in entries:
        assert entry.keys() <= FIELDS
        assert entry["at"] >= 0
        # A day that names parts of one site would be skipped on every other site.
        named = [entry[key] for key in ("zone", "service", "class") if key in entry]
        assert set(named) <= SITE_SPECIFIC.get(path.stem, set(PLACEHOLDERS))


def test_there_are_days():
    assert len(list(DAYS.glob("*.toml"))) >= 5
