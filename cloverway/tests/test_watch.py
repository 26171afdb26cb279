from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.commands.watch import estimate_quantile, parse_histograms, subtract, summarise
from cloverway.errors import Kind, Ran
from cloverway.membership.view import EndpointState, View
from cloverway.operations.admin import make_gauges
from cloverway.operations.metrics import Metrics, RequestEnded, StreamEnded

ALERTS = Path(__file__).parents[2] / "docs" / "operator-guide" / "alerts.md"
OWN_NAME = re.compile(r"\bcloverway_\w+")


def render(*observations: RequestEnded | StreamEnded) -> str:
    metrics = Metrics(lambda: 0.0, (0.01, 0.1))
    metrics.start()
    try:
        for observation in observations:
            metrics.record(observation)
        view = View("h1", "i1", "a", "r", endpoints={"e1": EndpointState("e1")})
        return metrics.render(list(make_gauges(view, 0))).decode()
    finally:
        metrics.stop()


def make_request(total_s: float) -> RequestEnded:
    return RequestEnded("t1", "urgent", None, Ran.YES, "e1", 1, 0.001, 0.02, total_s)


def test_parses_the_metrics_of_a_host() -> None:
    text = render(*[make_request(0.3)] * 90, *[make_request(4.0)] * 10)
    rows = {(row.histogram, row.labels): row for row in summarise(parse_histograms(text))}
    row = rows["cloverway_class_request_seconds", "class=urgent"]
    assert row.counted == 100
    median, p95, p99 = (value or 0.0 for value in row.quantiles)
    assert 0.2 < median <= 0.35
    assert 2.5 < p95 <= p99 <= 5.0
    assert not [name for name, _ in rows if "tenant" not in name and "class" not in name]


def test_by_label_excludes_other_histograms() -> None:
    rows = summarise(parse_histograms(render(make_request(0.3))), by="tenant")
    assert rows and all(row.labels.startswith("tenant=") for row in rows)


def test_restarted_host_counts_from_zero() -> None:
    series = ("x_seconds", ())
    earlier = {series: {1.0: 50.0, float("inf"): 60.0}}
    later = {series: {1.0: 3.0, float("inf"): 4.0}}
    assert subtract(later, earlier) == later


def test_every_metric_of_the_alerts_page_is_exported() -> None:
    """An alert on a metric that no host exports would never fire."""
    failed = make_request(1.0)._replace(kind=Kind.TRUNCATED)
    text = render(make_request(1.0), failed, StreamEnded("t1", "urgent", 5, (1, 2, 1), 0.3))
    names = set(OWN_NAME.findall(ALERTS.read_text()))
    assert names
    assert not [name for name in names if f"\n{name}" not in f"\n{text}"]


@given(
    st.lists(st.floats(0, 9.9), min_size=1, max_size=50), st.sampled_from((0.01, 0.5, 0.95, 0.99))
)
def test_estimate_is_in_the_bucket_of_the_true_quantile(
    values: list[float], quantile: float
) -> None:
    bounds = [0.5, 1.0, 2.0, 5.0, 10.0, float("inf")]
    buckets = {bound: float(sum(value <= bound for value in values)) for bound in bounds}
    rank = max(1, -int(-quantile * len(values) // 1))
    true = sorted(values)[rank - 1]
    estimate = estimate_quantile(buckets, quantile)
    assert estimate is not None
    upper = min(bound for bound in bounds if true <= bound)
    lower = max((bound for bound in bounds if bound < upper), default=0.0)
    assert lower <= estimate <= upper


def test_empty_histogram_has_no_quantile() -> None:
    assert estimate_quantile({1.0: 0.0, float("inf"): 0.0}, 0.5) is None


@pytest.mark.parametrize("text", ["", "no samples\n", '# HELP x\nx{a="b"} 1\n', 'x_bucket{le="1"}'])
def test_other_lines_are_ignored(text: str) -> None:
    assert parse_histograms(text) == {}
