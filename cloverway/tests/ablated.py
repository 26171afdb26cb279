"""Runs a host of a fleet with parts of its decisions switched off, to measure their worth.

    python -m cloverway.tests.ablated fetch pace

A copy of the deploy file runs this in place of `python -m cloverway.platform`; nothing of the
product knows of it. `--list` names the mechanisms.
"""

from __future__ import annotations

import importlib
import sys
from typing import NamedTuple

NEVER = 1e9
"""More seconds, tokens or hosts than there are."""


class Switch(NamedTuple):
    """One constant and the value with which it decides nothing."""

    module: str
    """Where it is defined, below cloverway."""
    name: str
    value: object


MECHANISMS: dict[str, tuple[Switch, ...]] = {
    "fetch": (Switch("core.fetch", "LEAST_TOKENS", NEVER),),
    "home_bonus": (Switch("core.prediction", "HOME_BONUS", 0.0),),
    "blame": (Switch("core.prediction", "FAILURE_S", 0.0),),
    "usual_failures": (Switch("core.failures", "BLAME_FACTOR", 0.0),),
    "stalled": (Switch("core.prediction", "STALLED_S", 0.0),),
    "spread": (Switch("core.prediction", "SPREAD_S", 0.0),),
    "read_weight": (Switch("core.prediction", "READ_WEIGHT", 0.0),),
    "stream_weight": (Switch("core.prediction", "STREAM_WEIGHT", 0.0),),
    "stall_weight": (Switch("core.prediction", "STALL_WEIGHT_S", 0.0),),
    "decode_weight": (Switch("core.prediction", "DECODE_WEIGHT", 0.0),),
    "risk": (Switch("core.prediction", "RISK_S", 0.0),),
    "crossing": (Switch("core.prediction", "CROSS_S_PER_BYTE", 0.0),),
    "burst": (
        Switch("core.pauses", "START_PART", NEVER),
        Switch("core.pauses", "MOST_PART", NEVER),
    ),
    "large": (Switch("core.prediction", "LARGE_PART", NEVER),),
    "strain": (Switch("core.pauses", "STRAINED_S", 0.0),),
    "read_pace": (Switch("core.pace", "FIRST_STEP", 0.0), Switch("core.pace", "STEP", 0.0)),
    "token_pace": (Switch("core.pace", "LEAST_SEEN_S", NEVER),),
    "give_back": (Switch("core.load", "SURE_FACTOR", NEVER),),
    "other_regions": (Switch("serving.requests.target_selector", "REMOTE_REGION_MARGIN_S", NEVER),),
    "line": (Switch("serving.requests.placement", "QUEUE_WAIT_FRACTION", 0.0),),
    "young": (Switch("serving.requests.target_selector", "LOAD_SYNC_S", 0.0),),
    "start_wait": (Switch("serving.context", "CONFIGURATION_WAIT_S", 0.0),),
    "told_at_once": (Switch("serving.requests.target_selector", "MIN_BROADCAST_TOKENS", NEVER),),
    "readers": (Switch("serving.documents.catalogue", "READERS", 10_000),),
    "few_named": (Switch("core.entry", "BUSY_PART", 0.0),),
    "settle": (Switch("core.entry", "SETTLE_S", 0.0),),
    "retries": (Switch("core.budget", "USED_PART", 0.0),),
}


def switch_off(name: str) -> None:
    """Switch a mechanism off in this process; raise KeyError for one that isn't known.

    A constant is also set in the modules that have imported it by its name.
    """
    importlib.import_module("cloverway.serving.host")
    for switch in MECHANISMS[name]:
        path = f"cloverway.{switch.module}"
        before = getattr(sys.modules[path], switch.name)
        for module in list(sys.modules.values()):
            if module is None or not module.__name__.startswith("cloverway."):
                continue
            if module.__name__ == path or getattr(module, switch.name, None) is before:
                setattr(module, switch.name, switch.value)


def main(names: list[str]) -> None:
    """Run the host, or list the mechanisms."""
    if names == ["--list"]:
        print("\n".join(MECHANISMS))
        return
    for name in names:
        switch_off(name)
    importlib.import_module("cloverway.platform.__main__").main()


if __name__ == "__main__":
    main(sys.argv[1:])
