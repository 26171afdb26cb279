"""Deselects and prints the tests that KNOWN-RED.txt lists; --known-red runs only these."""

from __future__ import annotations

from pathlib import Path

KNOWN_RED = Path(__file__).parents[2] / "KNOWN-RED.txt"


def list_known_red():
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines() if KNOWN_RED.exists() else []
    return {line.split(" | ")[0].strip(): line for line in lines if line.strip()}


def pytest_addoption(parser):
    parser.addoption("--known-red", action="store_true", help="run only the tests in KNOWN-RED.txt")


def pytest_report_header():
    return [f"known red, passed over: {line}" for line in list_known_red().values()]


def pytest_collection_modifyitems(config, items):
    known = list_known_red()
    runs_known_red = config.getoption("--known-red")
    deselected = [item for item in items if (item.nodeid in known) is not runs_known_red]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if (item.nodeid in known) is runs_known_red]
