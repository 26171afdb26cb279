"""Names of the platform's protocol appear only in the adapter, which stays small."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent
WIRE = re.compile(
    r"x-cloverway-|kv-|server-l|targetLatencyMs|routeType|hostname\"|homeRegions|coldRemainingMs|"
    r"weightedBackends|sessionAffinity|kvTokens|op/config|op/evacuate|\"servers/",
    re.IGNORECASE,
)


def test_no_module_outside_the_adapter_contains_a_name_of_the_protocol():
    paths = [
        path
        for path in PACKAGE.rglob("*.py")
        if not path.is_relative_to(PACKAGE / "platform")
        and not path.is_relative_to(PACKAGE / "tests")
    ]
    found = [
        f"{path.name}:{number}: {line.strip()}"
        for path in paths
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if WIRE.search(line)
    ]
    assert found == []


def test_the_adapter_stays_small():
    lines = [
        line for path in (PACKAGE / "platform").glob("*.py") for line in path.open(encoding="utf-8")
    ]
    assert len(lines) < 800


def test_no_log_field_has_a_name_reserved_by_log_records():
    """A log field with a reserved name raises an exception in the task that logs it.

    In the task that sends heartbeats, it would stop them when a host is first heard from or becomes
    silent.
    """
    reserved = {"name", "msg", "args", "module", "message", "filename", "lineno", "process"}
    calls = re.compile(r"\blog_event\((.*?)\n?\s*\)", re.DOTALL)
    call_count = 0
    for path in (PACKAGE / "serving").rglob("*.py"):
        for call in calls.findall(path.read_text(encoding="utf-8")):
            call_count += 1
            names = set(re.findall(r"\b(\w+)=", call))
            assert not names & reserved, f"{path.name}: {call}"
    assert call_count, "no call of log_event was found: is the function renamed?"
