"""Run a host of a fleet with some of its decision mechanisms disabled, to measure their effect.

    python -m cloverway.tests.ablated fetch read_pace

A copy of the deploy file runs this instead of `python -m cloverway.platform`; the product doesn't
depend on it. `--list` prints the mechanisms.
"""

from __future__ import annotations

import importlib
import sys
from typing import NamedTuple

NEVER = 1e9
"""More seconds, tokens or hosts than ever occur."""


class Switch(NamedTuple):
    """A constant and the value that disables its mechanism."""

    module: str
    """Module that defines it, relative to cloverway."""
    name: str
    value: object


MECHANISMS: dict[str, tuple[Switch, ...]] = {
    "fetch": (Switch("core.kv_fetch", "MIN_TOKENS", NEVER),),
    "home_bonus": (Switch("core.prediction", "AFFINITY_BONUS", 0.0),),
    "blame": (Switch("core.prediction", "FAILURE_PENALTY_S", 0.0),),
    "usual_failures": (Switch("core.failures", "BASELINE_FACTOR", 0.0),),
    "stalled": (Switch("core.prediction", "STALL_PENALTY_S", 0.0),),
    "spread": (Switch("core.prediction", "PREDICTION_SPREAD_S", 0.0),),
    "read_weight": (Switch("core.prediction", "PREFILL_WEIGHT", 0.0),),
    "stream_weight": (Switch("core.prediction", "STREAM_DELAY_WEIGHT", 0.0),),
    "stall_weight": (Switch("core.prediction", "STALL_COST_S", 0.0),),
    "decode_weight": (Switch("core.prediction", "DECODE_WEIGHT", 0.0),),
    "risk": (Switch("core.prediction", "TRUNCATION_COST_S", 0.0),),
    "crossing": (Switch("core.prediction", "CROSS_DOMAIN_S_PER_BYTE", 0.0),),
    "burst": (
        Switch("core.token_gaps", "INITIAL_BURST_RATIO", NEVER),
        Switch("core.token_gaps", "MAX_BURST_RATIO", NEVER),
    ),
    "large": (Switch("core.prediction", "LARGE_PROMPT_FRACTION", NEVER),),
    "strain": (Switch("core.token_gaps", "SATURATION_S", 0.0),),
    "read_pace": (
        Switch("core.engine_speed", "WARMUP_STEP", 0.0),
        Switch("core.engine_speed", "STEP", 0.0),
    ),
    "token_pace": (Switch("core.engine_speed", "MIN_OBSERVED_S", NEVER),),
    "give_back": (Switch("core.load", "MAX_PREFILL_SPEEDUP", NEVER),),
    "other_regions": (Switch("serving.requests.target_selector", "REMOTE_REGION_MARGIN_S", NEVER),),
    "line": (Switch("serving.requests.placement", "QUEUE_WAIT_FRACTION", 0.0),),
    "young": (Switch("serving.requests.target_selector", "LOAD_SYNC_S", 0.0),),
    "start_wait": (Switch("serving.context", "CONFIGURATION_WAIT_S", 0.0),),
    "told_at_once": (Switch("serving.requests.target_selector", "MIN_BROADCAST_TOKENS", NEVER),),
    "readers": (Switch("serving.documents.catalogue", "READERS_PER_DOMAIN", 10_000),),
    "few_named": (Switch("core.lookup", "TARGET_UTILIZATION", 0.0),),
    "settle": (Switch("core.lookup", "MIN_LOOKUP_AGE_S", 0.0),),
    "retries": (
        Switch("core.retry_budget", "USABLE_FRACTION", 0.0),
        Switch("core.retry_budget", "BURST_FRACTION", 0.0),
    ),
}


def switch_off(name: str) -> None:
    """Disable a mechanism in this process; raise KeyError for an unknown one.

    The constant is also set in the modules that have imported it by name.
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
