"""Generate load on one or more targets and compare the latencies that callers measure."""

from __future__ import annotations

import os
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from cloverway.commands.admin import check_address
from cloverway.errors import UserError
from cloverway.load import LoadPlan, LoadStats, Target, run_load

QUANTILES = (50, 95, 99)
COLUMNS = (
    "target",
    "first p50",
    "first p95",
    "first p99",
    "gap p50",
    "gap p95",
    "gap p99",
    "tokens/s",
    "outcomes",
)
US_PER_MS = 1000


class UsageSample(NamedTuple):
    """Resources used by a process since its start: CPU seconds, and memory in MB."""

    pid: int
    cpu_s: float
    memory_mb: float


class ProcessUsage(NamedTuple):
    """Resources used by a process during a run: mean cores, and memory in MB at the end."""

    pid: int
    cores: float
    memory_mb: float


def bench(
    targets: Sequence[Target], plan: LoadPlan, seed: int, pids: Sequence[int]
) -> tuple[list[LoadStats], list[ProcessUsage]]:
    """Run a load; return the statistics of each target and the resource use of processes."""
    before = [read_usage(pid) for pid in pids]
    started_at = time.monotonic()
    stats = run_load(targets, plan, Random(seed))
    elapsed_s = time.monotonic() - started_at
    after = [read_usage(pid) for pid in pids]
    usage = [
        ProcessUsage(new.pid, (new.cpu_s - old.cpu_s) / elapsed_s, new.memory_mb)
        for old, new in zip(before, after, strict=True)
    ]
    return stats, usage


def parse_target(text: str, headers: dict[str, str]) -> Target:
    """Parse NAME=IP:PORT[,IP:PORT ...]; raise UserError if the form is invalid."""
    name, _, addresses = text.rpartition("=")
    if not name:
        raise UserError(f"{text!r} is not a target; write it as NAME=IP:PORT")
    return Target(name, tuple(map(check_address, addresses.split(","))), headers)


def read_usage(pid: int) -> UsageSample:
    """Return the resources used by a process so far; raise UserError if it does not exist."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    except OSError as error:
        raise UserError(f"there is no process {pid}; give the id of a running process") from error
    ticks = int(fields[11]) + int(fields[12])
    memory = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return UsageSample(pid, ticks / os.sysconf("SC_CLK_TCK"), memory / 1_000_000)


def make_rows(
    targets: Sequence[Target], stats: Sequence[LoadStats], plan: LoadPlan
) -> Iterable[tuple[str, ...]]:
    """Yield a row for each target; times are milliseconds."""
    for target, measured in zip(targets, stats, strict=True):
        times = [
            f"{histogram.get_value_at_percentile(quantile) / US_PER_MS:.1f}"
            for histogram in (measured.first_token, measured.token_gaps)
            for quantile in QUANTILES
        ]
        outcomes = ", ".join(f"{count} {name}" for name, count in sorted(measured.outcomes.items()))
        yield target.name, *times, f"{measured.tokens / plan.seconds:.0f}", outcomes


def as_document(
    targets: Sequence[Target], stats: Sequence[LoadStats], usage: Sequence[ProcessUsage]
) -> dict[str, Any]:
    """Return the statistics for JSON output; times are milliseconds."""
    return {
        "targets": {
            target.name: {
                "first_ms": _list_quantiles(measured.first_token),
                "gap_ms": _list_quantiles(measured.token_gaps),
                "tokens": measured.tokens,
                "outcomes": dict(measured.outcomes),
            }
            for target, measured in zip(targets, stats, strict=True)
        },
        "processes": [process._asdict() for process in usage],
    }


def format_markdown(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return rows as a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _list_quantiles(histogram: Any) -> dict[str, float]:
    return {
        f"p{quantile}": histogram.get_value_at_percentile(quantile) / US_PER_MS
        for quantile in QUANTILES
    }
