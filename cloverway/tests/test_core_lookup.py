"""Which hosts lookups name, under load; no network.

A large failure domain has two machines with two cores, and a dozen with half a core.
"""

from __future__ import annotations

import pytest

from cloverway.core.decay import DecayingSum
from cloverway.core.lookup import (
    MIN_LOOKUP_AGE_S,
    MIN_NAMED_HOSTS,
    RECENTLY_STARTED_S,
    RECENTLY_STARTED_TTL_S,
    TARGET_UTILIZATION,
    Machine,
    choose_hosts_for_caller,
    choose_lookup_ttl,
    select_largest_hosts,
)
from cloverway.core.members import Member, Members

LARGE, SMALL = 300, 60


def make_host(name, capacity, **fields):
    return Member(name, 1, "d1", "north", f"{name}:80", f"{name}:81", True, False, capacity)


def make_domain(large=2, small=12):
    hosts = [make_host(f"small-{n}", SMALL) for n in range(small)]
    return hosts + [make_host(f"large-{n}", LARGE) for n in range(large)]


def test_large_domain_names_only_the_largest_hosts():
    """Guards against stalled streams under low load because too many hosts send to the engines.

    Each of 24 hosts learned of the others' prompts up to a second late, and several chose the same
    idle engine: a third of the streams stalled although engines were idle for three quarters of the
    time. With the two largest hosts of each domain named, nearly all streams met the target.
    """
    named = select_largest_hosts(make_domain(), 50.0)
    assert [host.name for host in named] == ["large-0", "large-1"]


def test_more_hosts_are_named_when_the_largest_can_not_sustain_the_load():
    """Callers choose among the named hosts at random: the smallest must sustain an equal part."""
    rate = MIN_NAMED_HOSTS * LARGE * TARGET_UTILIZATION + 1
    named = select_largest_hosts(make_domain(), rate)
    assert len(named) > MIN_NAMED_HOSTS
    assert len(named) * SMALL * TARGET_UTILIZATION >= rate


def test_overload_names_the_hosts_that_sustain_the_most():
    assert len(select_largest_hosts(make_domain(), 1e6)) == 14
    assert len(select_largest_hosts(make_domain(small=2), 1e6)) == 2


def test_a_second_host_is_always_named():
    """With one named host, its crash leaves callers without an address until the next lookup."""
    assert len(select_largest_hosts(make_domain(large=1, small=1), 0.0)) == 2
    assert len(select_largest_hosts(make_domain(large=1, small=0), 0.0)) == 1
    assert select_largest_hosts([], 5.0) == []


def test_request_rate_of_a_dead_host_still_counts():
    """A large host crashes; its callers move to the others before their request rates show it."""
    members = Members(make_host("own", SMALL))
    for host in make_domain():
        peer = members.apply_state(host, 0.0, True, 0.0)
        assert peer is not None
        peer.request_rate = (
            MIN_NAMED_HOSTS * LARGE * TARGET_UTILIZATION / 2 if host.capacity == LARGE else 0.0
        )
    assert len(choose_hosts_for_caller(members, "d1", "north", {}, 0.0)) == MIN_NAMED_HOSTS
    for name in [name for name in members.peers if name != "large-0"]:
        members.apply_state(members.peers[name].member, 0.0, True, 3.0)
    named = choose_hosts_for_caller(members, "d1", "north", {}, 3.0)
    assert "large-0:80" not in named
    assert (
        len(named) * SMALL * TARGET_UTILIZATION
        >= MIN_NAMED_HOSTS * LARGE * TARGET_UTILIZATION - SMALL
    )


def test_own_request_rate_decays():
    members = Members(make_host("own", SMALL))
    for number in range(200):
        members.record_arrival(number / 20)
    assert members.sum_request_rates("d1", 10.0) == pytest.approx(20.0, rel=0.1)
    assert members.sum_request_rates("d2", 10.0) == 0.0
    assert members.sum_request_rates("d1", 40.0) < 0.1


@pytest.mark.parametrize(
    ("machine", "capacity"),
    [(Machine(0.537, 2.0, 1000.0), 153), (Machine(0.516, 1.0, 5.0), 62), (Machine(0, 0, 0), 1)],
)
def test_machine_capacity_is_the_lower_of_processor_and_link(machine, capacity):
    assert machine.estimate_capacity() == capacity


def test_decaying_sum_halves_with_each_half_life():
    total = DecayingSum(2.0)
    total.add(8.0, 0.0)
    assert total.get(2.0) == pytest.approx(4.0)
    total.scale(0.5, 2.0)
    assert total.get(4.0) == pytest.approx(1.0)


def test_recently_started_host_answers_no_lookups():
    """All hosts restart, and the first that answers doesn't know the others yet.

    It would name itself, and the callers of its domain would stay with it for seconds, however
    small it is, although the large hosts are back a moment later.
    """
    assert choose_lookup_ttl(2.0, MIN_LOOKUP_AGE_S - 0.1) is None
    assert choose_lookup_ttl(2.0, MIN_LOOKUP_AGE_S + 0.1) == RECENTLY_STARTED_TTL_S
    assert choose_lookup_ttl(2.0, RECENTLY_STARTED_S + 0.1) == 2.0
    assert choose_lookup_ttl(0.2, MIN_LOOKUP_AGE_S + 0.1) == 0.2
