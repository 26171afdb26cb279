"""What a host can show of the versions and services that served, and what it can't."""

from __future__ import annotations

from cloverway.core.deployment import CallKind, Route, RouteTable, WeightedService
from cloverway.core.stream_origins import (
    AMBIGUOUS,
    MAX_REMEMBERED,
    StreamOrigin,
    StreamOrigins,
    compute_stream_key,
)
from cloverway.core.versions import MAX_GONE, MAX_ROUTE_CHANGES, RouteHistory, VersionHistory

LIFE_S = 30.0
ORIGIN = StreamOrigin("model", "v1")


def run_history(seconds: float = 40.0, step_s: float = 0.4) -> tuple[VersionHistory, float]:
    """Return a history that was updated with fresh documents for some seconds, and the time."""
    history, now = VersionHistory(), 100.0
    while now < 100.0 + seconds:
        history.update(now - 1.0, now)
        now += step_s
    return history, now


def make_table(*routes: tuple[str, str]) -> RouteTable:
    return RouteTable(
        Route(
            f"r{prefix}", "shop", prefix, CallKind.STREAM, (WeightedService(name, 1.0),), 3.0, 1.0
        )
        for prefix, name in routes
    )


def test_one_version_is_shown_only_after_the_life_of_a_stream():
    """Guards against a host that has just started and takes what it sees for what there was."""
    history, now = run_history(20.0)
    assert history.find_only("model", ["v1"], LIFE_S, now) is None
    history, now = run_history()
    assert history.find_only("model", ["v1", "v1"], LIFE_S, now) == "v1"
    assert history.find_only("model", ["v1", "v2"], LIFE_S, now) is None
    assert history.find_only("model", ["v1", ""], LIFE_S, now) is None
    assert history.find_only("model", [], LIFE_S, now) is None


def test_a_version_that_has_gone_counts_for_the_life_of_a_stream():
    """Guards against a release that ends between two tries of a caller."""
    history, now = run_history()
    history.record_gone("model", "v1", now)
    assert history.find_only("model", ["v2"], LIFE_S, now) is None
    assert history.list_recent("model", ["v2"], LIFE_S, now) == {"v1", "v2"}
    assert history.find_only("other", ["v2"], LIFE_S, now) == "v2"
    assert history.list_recent("model", ["v2"], LIFE_S, now + 31.0) == {"v2"}


def test_nothing_is_shown_after_documents_were_old():
    """Guards against versions that came and went while the store could not be read."""
    history, now = run_history()
    history.update(now - 5.0, now)
    history.update(now, now + 0.4)
    assert history.find_only("model", ["v1"], LIFE_S, now + 0.4) is None


def test_nothing_is_shown_after_a_suspension():
    """Guards against a process that was stopped, and did not see its documents grow old."""
    history, now = run_history()
    assert history.find_only("model", ["v1"], LIFE_S, now + 9.0) is None
    history.update(now + 9.0, now + 9.0)
    assert history.find_only("model", ["v1"], LIFE_S, now + 9.0) is None


def test_versions_that_have_gone_are_remembered_in_bounded_memory():
    """Guards against a writer of many versions: nothing is shown from what was forgotten."""
    history, now = run_history()
    for number in range(MAX_GONE + 1):
        history.record_gone("model", f"v{number}", now)
    assert history.find_only("other", ["v1"], LIFE_S, now) is None


def test_a_route_that_moved_does_not_show_where_a_stream_began():
    """Guards against going on at the service that a route leads to now."""
    history = RouteHistory()
    old, new = make_table(("/a/", "one"), ("/b/", "one")), make_table(
        ("/a/", "two"), ("/b/", "one")
    )
    history.record(old, new, 100.0)
    assert history.find_only_service(new, "shop", "/a/x", LIFE_S, 110.0) is None
    assert history.find_only_service(new, "shop", "/b/x", LIFE_S, 110.0) == "one"
    assert history.find_only_service(new, "shop", "/a/x", LIFE_S, 131.0) == "two"


def test_a_route_that_takes_paths_from_another_does_not_show_where_a_stream_began():
    """Guards against a longer prefix that was added or dropped while a caller was away."""
    short, both = make_table(("/a/", "one")), make_table(("/a/", "one"), ("/a/b/", "two"))
    for old, new in ((short, both), (both, short)):
        history = RouteHistory()
        history.record(old, new, 100.0)
        assert history.find_only_service(new, "shop", "/a/b/x", LIFE_S, 110.0) is None
        assert history.find_only_service(new, "shop", "/a/c/x", LIFE_S, 110.0) == "one"


def test_many_changes_of_routes_show_nothing():
    """Guards against a storm of configurations, of which only the last ones are remembered."""
    history, tables = RouteHistory(), [make_table(("/a/", "one")), make_table(("/a/", "two"))]
    for number in range(MAX_ROUTE_CHANGES + 1):
        history.record(tables[number % 2], tables[(number + 1) % 2], 100.0)
    assert history.find_only_service(tables[1], "shop", "/z/", LIFE_S, 101.0) is None


def test_streams_are_remembered_in_bounded_memory_and_time():
    """Guards against callers and hosts that name any number of streams."""
    streams = StreamOrigins()
    for key in range(MAX_REMEMBERED + 5):
        streams.record(key, ORIGIN, 1e9, 0.0)
    assert streams.find(4, 1.0) is None
    assert streams.find(5, 1.0) == ORIGIN
    assert streams.find(5, 121.0) is None


def test_a_key_that_streams_of_two_versions_share_says_nothing():
    """Guards against taking one caller's stream for that of another with the same request."""
    streams = StreamOrigins()
    streams.record(1, ORIGIN, 50.0, 0.0)
    streams.record(1, ORIGIN, 60.0, 1.0)
    assert streams.find(1, 2.0) == ORIGIN
    streams.record(1, StreamOrigin("model", "v2"), 60.0, 3.0)
    streams.record(1, ORIGIN, 60.0, 4.0)
    assert streams.find(1, 5.0) == AMBIGUOUS


def test_any_text_has_a_key():
    """Guards against ids that can't be encoded; a key is never negative, which means none."""
    for text in ("call-1", "é" * 300, "\udcff", "\ud800"):
        assert 0 <= compute_stream_key(text) < 1 << 63
