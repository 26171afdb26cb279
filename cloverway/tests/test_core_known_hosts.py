"""The parts that hosts take of a common allowance, whatever cuts and restarts they go through."""

from __future__ import annotations

import os
import random
from collections import Counter

import pytest

from cloverway.core.known_hosts import (
    INTRODUCTION_S,
    REMEMBER_LEAVING_S,
    REMEMBER_S,
    HostCounts,
    KnownHosts,
    compute_part,
)
from cloverway.tests.cut_fleet import HEARTBEAT_STEPS, STEP_S, CutFleet

HISTORIES = int(os.environ.get("BUDGET_HISTORIES", "40"))


class PartsFleet(CutFleet):
    """Adds up the parts that all hosts take at the same time."""

    def __init__(self, rng):
        super().__init__(rng)
        self.sums = {}
        """Sums of parts by time, and by failure domain or region."""

    def step_host(self, host, now):
        if round(now / STEP_S) % HEARTBEAT_STEPS:
            return
        sums = self.sums.setdefault(now, Counter())
        if host.known.may_share_domain(now):
            sums["domain", host.domain] += compute_part(1.0, 1, host.known.count_domain())
        if host.known.may_share_region(now):
            sums["region", host.region] += 1 / host.known.count_region()

    def find_largest(self):
        return max((part for sums in self.sums.values() for part in sums.values()), default=0.0)


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_parts_of_all_hosts_never_add_up_to_more_than_the_whole(seed):
    """Guards against hosts that start, or outlast what they remember, behind a cut of any form."""
    fleet = PartsFleet(random.Random(seed))
    fleet.play()
    assert fleet.find_largest() <= 1.000001


def test_hosts_that_nothing_happens_to_take_the_whole():
    """Guards against allowances that nobody uses."""
    fleet = PartsFleet(random.Random(1))
    fleet.cut = (0.0, 0.0, fleet.cut[2])
    fleet.kills = []
    fleet.play()
    assert min(part for sums in fleet.sums.values() for part in sums.values()) == pytest.approx(1)


def test_hosts_that_all_start_at_once_take_the_whole_after_their_introduction():
    """Guards against a fleet whose hosts wait for one that knows how many there are."""
    fleet = PartsFleet(random.Random(1))
    fleet.cut = (0.0, 0.0, fleet.cut[2])
    fleet.kills = [(5.0, list(fleet.addresses))]
    fleet.play()
    sums = [sums for now, sums in fleet.sums.items() if now > 5.0 + INTRODUCTION_S + 1]
    assert min(part for each in sums for part in each.values()) == pytest.approx(1)


def make_host(*, started_at=0.0):
    return KnownHosts("own", "d1", "north", ("own", "seed"), started_at=started_at)


def test_a_host_without_other_seeds_is_all_there_is():
    assert KnownHosts("own", "d1", "north", ("own",), started_at=0.0).may_share_domain(0.0)


def test_a_host_that_has_heard_of_nobody_takes_no_part():
    assert not make_host().may_share_domain(1_000.0)


def test_a_host_that_is_gone_counts_for_a_while():
    """Guards against parts that grow during a cut; and against hosts that count for ever."""
    host = make_host(started_at=-100.0)
    host.record("seed", "d1", "north", 0.0)
    host.record("leaving", "d1", "north", 0.0, leaving=True)
    host.update(["seed"], REMEMBER_LEAVING_S)
    assert host.count_domain() == 3
    host.update(["seed"], REMEMBER_S)
    assert host.count_domain() == 2
    host.update([], REMEMBER_S + 1)
    assert host.count_domain() == 1


def test_a_host_takes_over_what_others_state_only_when_it_is_introduced():
    """Guards against a count that hosts repeat to each other for ever."""
    host = make_host()
    host.record_stated("d1", HostCounts(5, 8), 1.0)
    assert (host.count_domain(), host.count_region()) == (5, 8)
    host.record_stated("d1", HostCounts(6, 9), INTRODUCTION_S)
    assert (host.count_domain(), host.count_region()) == (5, 8)
    host.update([], REMEMBER_S + 2)
    assert host.count_domain() == 1


def test_a_host_that_does_not_know_states_nothing():
    assert make_host().state_counts() == HostCounts()
