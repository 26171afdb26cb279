from __future__ import annotations

import threading

import pytest

from cloverway.commands.watch import parse_histograms
from cloverway.errors import Kind, Ran
from cloverway.operations.metrics import (
    MAX_ENDPOINT_LABELS,
    Gauge,
    Metrics,
    RequestEnded,
    StreamEnded,
)

GAP_BOUNDS_S = (0.01, 0.1)


@pytest.fixture
def metrics():
    started = Metrics(lambda: 0.0, GAP_BOUNDS_S)
    started.start()
    yield started
    started.stop()


def make_observation(**fields):
    return RequestEnded(
        **{"team": "pharmacy", "urgency": "urgent", "kind": None, "ran": Ran.YES, **fields}
    )


def test_times_by_class_and_tenant(metrics):
    for _ in range(10):
        metrics.record(
            make_observation(
                endpoint="e-1", attempts=1, first_byte_s=0.03, total_s=0.2, queue_s=0.001
            )
        )
    histograms = parse_histograms(metrics.render().decode())
    by_class = histograms["cloverway_class_first_token_seconds", (("class", "urgent"),)]
    assert (by_class[0.02], by_class[0.05], by_class[float("inf")]) == (0, 10, 10)
    assert ("cloverway_tenant_request_seconds", (("tenant", "pharmacy"),)) in histograms


def test_gaps_are_merged_by_bucket(metrics):
    metrics.record(StreamEnded("pharmacy", "urgent", 8, (3, 2, 1), 0.9))
    metrics.record(StreamEnded("pharmacy", "urgent", 4, (1, 0, 2), 0.8))
    text = metrics.render().decode()
    gaps = parse_histograms(text)["cloverway_class_token_gap_seconds", (("class", "urgent"),)]
    assert gaps == {0.01: 4, 0.1: 6, float("inf"): 9}
    assert 'cloverway_class_token_gap_seconds_sum{class="urgent"} 1.7' in text
    assert 'cloverway_tokens_total{class="urgent"} 12' in text


def test_outcomes_are_counted(metrics):
    metrics.record(
        make_observation(endpoint="e-1", attempts=2, kind=Kind.TRUNCATED, ran=Ran.UNKNOWN)
    )
    metrics.record(make_observation(endpoint="remote/e-1", attempts=1))
    metrics.record(make_observation(team="", urgency="", kind=Kind.UNAUTHENTICATED, ran=Ran.NO))
    text = metrics.render([Gauge("revision", "Revision", 7)]).decode()
    assert 'cloverway_requests_total{class="urgent",kind="truncated",ran="unknown"} 1' in text
    assert 'cloverway_endpoint_requests_total{endpoint="remote/",kind="ok"} 1' in text
    assert 'kind="unauthenticated"' in text
    assert "cloverway_revision 7" in text


def test_labels_stay_bounded(metrics):
    for number in range(MAX_ENDPOINT_LABELS * 2):
        metrics.record(make_observation(team=f"team-{number}", endpoint=f"e-{number}"))
    lines = metrics.render().decode().splitlines()
    outcomes = [line for line in lines if line.startswith("cloverway_endpoint_requests_total{")]
    assert len(outcomes) == MAX_ENDPOINT_LABELS + 1


def test_observations_of_many_threads_are_all_counted(metrics):
    threads = [
        threading.Thread(target=lambda: [metrics.record(make_observation()) for _ in range(200)])
        for _ in range(8)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    text = metrics.render().decode()
    assert 'cloverway_requests_total{class="urgent",kind="ok",ran="yes"} 1600' in text
