"""Read a host's histograms repeatedly and compute their quantiles."""

from __future__ import annotations

import itertools
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from cloverway.commands.admin import query_text

COLUMNS = ("histogram", "labels", "count", "p50", "p95", "p99")
QUANTILES = (0.5, 0.95, 0.99)
SAMPLE = re.compile(r"^([a-zA-Z_:][\w:]*)\{(.*)\}\s+(\S+)")
LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
BUCKET = "_bucket"

Series = tuple[str, tuple[tuple[str, str], ...]]
"""The name of a histogram and its labels without `le`."""
Buckets = dict[float, float]
"""Cumulative counts by upper bound of the bucket."""


class HistogramRow(NamedTuple):
    """Count and quantiles of one histogram between two readings."""

    histogram: str
    labels: str
    counted: int
    quantiles: tuple[float | None, ...]


def watch(
    address: str, count: int, interval_s: float, sleep: Callable[[float], None], by: str = ""
) -> Iterator[list[HistogramRow]]:
    """Read /metrics `count` times and yield the rows of each reading."""
    for histograms in iterate_readings(_read_metrics(address, count, interval_s, sleep)):
        yield summarise(histograms, by)


def as_cells(row: HistogramRow) -> tuple[str, ...]:
    """Return a row as the cells of a table; seconds are shown as milliseconds."""
    scale, unit = (1000.0, " ms") if row.histogram.endswith("_seconds") else (1.0, "")
    cells = (
        "-" if quantile is None else f"{quantile * scale:.1f}{unit}" for quantile in row.quantiles
    )
    return (row.histogram, row.labels, str(row.counted), *cells)


def parse_histograms(text: str) -> dict[Series, Buckets]:
    """Parse the buckets of every histogram from the text of /metrics."""
    histograms: dict[Series, Buckets] = {}
    for name, labels, value in _iterate_samples(text):
        bound = labels.pop("le", None)
        if name.endswith(BUCKET) and bound is not None:
            series = (name.removesuffix(BUCKET), tuple(sorted(labels.items())))
            histograms.setdefault(series, {})[float(bound)] = value
    return histograms


def subtract(
    later: Mapping[Series, Buckets], earlier: Mapping[Series, Buckets]
) -> dict[Series, Buckets]:
    """Return the counts between two readings; after a restart, those since the restart."""
    return {
        series: _subtract_buckets(buckets, earlier.get(series, {}))
        for series, buckets in later.items()
    }


def estimate_quantile(buckets: Mapping[float, float], quantile: float) -> float | None:
    """Estimate a quantile by interpolation within its bucket; None if nothing was counted."""
    bounds = sorted(buckets)
    total = buckets[bounds[-1]] if bounds else 0.0
    if total <= 0:
        return None
    rank = quantile * total
    below, lower = 0.0, 0.0
    for bound in bounds:
        if buckets[bound] >= rank:
            if math.isinf(bound):
                return lower
            return lower + (bound - lower) * (rank - below) / (buckets[bound] - below)
        below, lower = buckets[bound], bound
    return lower


def summarise(histograms: Mapping[Series, Buckets], by: str = "") -> list[HistogramRow]:
    """Return a row for each histogram that is not empty, sorted by name and labels.

    With `by`, include only histograms with that label.
    """
    return [
        HistogramRow(
            name,
            ", ".join(f"{label}={value}" for label, value in labels),
            int(max(buckets.values())),
            tuple(estimate_quantile(buckets, quantile) for quantile in QUANTILES),
        )
        for (name, labels), buckets in sorted(histograms.items())
        if max(buckets.values(), default=0) > 0 and (not by or by in dict(labels))
    ]


def iterate_readings(texts: Iterable[str]) -> Iterator[dict[Series, Buckets]]:
    """Yield the histograms of each reading: first since the start, then since the last reading."""
    readings = (parse_histograms(text) for text in texts)
    first = next(readings, None)
    if first is None:
        return
    yield first
    for earlier, later in itertools.pairwise(itertools.chain([first], readings)):
        yield subtract(later, earlier)


def _read_metrics(
    address: str, count: int, interval_s: float, sleep: Callable[[float], None]
) -> Iterator[str]:
    for reading in range(count):
        if reading:
            sleep(interval_s)
        yield query_text(address, "/metrics")


def _iterate_samples(text: str) -> Iterator[tuple[str, dict[str, str], float]]:
    for line in text.splitlines():
        found = SAMPLE.match(line)
        if found:
            yield found[1], dict(LABEL.findall(found[2])), float(found[3])


def _subtract_buckets(later: Buckets, earlier: Mapping[float, float]) -> Buckets:
    restarted = any(value < earlier.get(bound, 0.0) for bound, value in later.items())
    if restarted:
        return later
    return {bound: value - earlier.get(bound, 0.0) for bound, value in later.items()}
