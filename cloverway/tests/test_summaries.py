"""How long a failure domain counts as reachable by its last summary."""

from __future__ import annotations

import pytest

from cloverway.membership.heartbeats import DomainSummary, TargetLevel, hash_name
from cloverway.membership.summaries import Summaries
from cloverway.tests.builders import make_published

PAUSED_AT, RESUMED_AT = 1.0, 61.0
SUMMARY = DomainSummary("ro-1", 0.0, 1, targets=(TargetLevel(hash_name("clover"), 2, 8, 0),))


@pytest.fixture
def summaries():
    """The summaries of a host of cu-1 that has heard ro-1 last at 0."""
    known = Summaries("cu-1", 1.0)
    known.adopt(make_published())
    known.apply(SUMMARY, 0.0, direct=True)
    return known


def list_reachable(summaries, now):
    return {domain for domain, _ in summaries.get_states(now)}


def test_a_domain_counts_as_reachable_for_its_loss_timeout(summaries):
    timeout_s = summaries.get_loss_timeout("ro-1")
    (state,) = summaries.get_states(timeout_s / 2).values()
    assert state.usable_until == timeout_s
    assert list_reachable(summaries, timeout_s - 0.1) == {"ro-1"}
    assert list_reachable(summaries, timeout_s) == set()


def test_a_pause_of_this_host_is_not_a_silence_of_other_domains(summaries):
    """Guards against refusing the calls for another region after a pause of the host itself.

    A summary that was received in the pause counts from its beginning, and is as old.
    """
    summaries.resume(PAUSED_AT, RESUMED_AT)
    summaries.apply(SUMMARY, PAUSED_AT, direct=True)
    timeout_s = summaries.get_loss_timeout("ro-1")
    assert list_reachable(summaries, RESUMED_AT + timeout_s - 0.1) == {"ro-1"}
    assert list_reachable(summaries, RESUMED_AT + timeout_s) == set()
    (state,) = summaries.get_states(RESUMED_AT).values()
    assert state.at == PAUSED_AT


def test_a_pause_does_not_make_a_silent_domain_reachable(summaries):
    """Guards against callers that are sent to a region which was cut off before the pause."""
    silent_at = summaries.get_loss_timeout("ro-1")
    summaries.resume(silent_at, RESUMED_AT)
    assert list_reachable(summaries, RESUMED_AT) == set()
