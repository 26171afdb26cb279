from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.dispatch.tenants import REVIEW_PERIOD_S, SHARED_LABELS, TenantLabels


def send_requests(labels, traffic):
    return {
        label
        for team, requests in traffic
        for _ in range(requests)
        if (label := labels.choose(team))
    }


def test_labels_are_bounded_with_9000_teams():
    labels = TenantLabels(0.0, max_counted=96)
    seen = send_requests(labels, [(f"team-{n}", 1 + 3000 // (n + 1)) for n in range(300)])
    seen |= send_requests(labels, [(f"team-{n}", 1) for n in range(9000)])
    shared = {label for label in seen if label.startswith("_other_")}
    assert len(shared) == SHARED_LABELS
    assert len(seen - shared) == 48
    assert {f"team-{n}" for n in range(40)} <= seen


def test_growing_team_takes_over_the_label_of_a_quiet_one():
    labels = TenantLabels(0.0, max_named=2)
    send_requests(labels, [("a", 100), ("b", 20), ("c", 30)])
    assert labels.get("c").startswith("_other_")
    assert labels.review(REVIEW_PERIOD_S) == []
    send_requests(labels, [("c", 100)])
    assert labels.review(REVIEW_PERIOD_S * 1.5) == []
    assert labels.review(REVIEW_PERIOD_S * 2) == ["b"]
    assert labels.get("c") == "c"
    assert labels.get("b").startswith("_other_")


@settings(max_examples=50)
@given(st.lists(st.integers(0, 12), max_size=400))
def test_frequent_team_is_always_counted(teams):
    """Any team with more than 1/`max_counted` of the requests is in the table."""
    labels = TenantLabels(0.0, max_named=2, max_counted=4)
    for team in teams:
        labels.choose(str(team))
    for team in set(teams):
        count = labels._counts.get(str(team))
        if count is None:
            assert teams.count(team) <= len(teams) / 4
        else:
            assert count.certain <= teams.count(team) <= count.requests
