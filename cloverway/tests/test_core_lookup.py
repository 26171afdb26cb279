"""Which hosts callers are told to use, under load; no network.

The hosts of a large failure domain are two machines with two cores and a dozen with half a one.
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
    select_strongest_hosts,
)
from cloverway.core.members import Member, Members

STRONG, WEAK = 300, 60


def make_host(name, capacity, **fields):
    return Member(name, 1, "d1", "north", f"{name}:80", f"{name}:81", True, False, capacity)


def make_domain(strong=2, weak=12):
    hosts = [make_host(f"weak-{n}", WEAK) for n in range(weak)]
    return hosts + [make_host(f"strong-{n}", STRONG) for n in range(strong)]


def test_in_a_large_domain_few_hosts_send_to_the_endpoints():
    """A third of the streams on a calm day pauses too long, though engines are three quarters idle.

    Each of 24 hosts hears of the others' prompts up to a second late, and several take the same
    engine for idle. With the strongest two of each domain named, nearly all streams were in time.
    """
    named = select_strongest_hosts(make_domain(), 50.0)
    assert [host.name for host in named] == ["strong-0", "strong-1"]


def test_more_hosts_are_named_when_the_strongest_no_longer_bear_the_requests():
    """Callers choose among the named at random: the weakest must bear an equal part."""
    beyond = MIN_NAMED_HOSTS * STRONG * TARGET_UTILIZATION + 1
    named = select_strongest_hosts(make_domain(), beyond)
    assert len(named) > MIN_NAMED_HOSTS
    assert len(named) * WEAK * TARGET_UTILIZATION >= beyond


def test_under_more_requests_than_all_bear_those_are_named_that_bear_the_most():
    assert len(select_strongest_hosts(make_domain(), 1e6)) == 14
    assert len(select_strongest_hosts(make_domain(weak=2), 1e6)) == 2


def test_a_second_host_is_always_named_where_there_is_one():
    """The only named host fails, and its callers have no other address until the next lookup."""
    assert len(select_strongest_hosts(make_domain(strong=1, weak=1), 0.0)) == 2
    assert len(select_strongest_hosts(make_domain(strong=1, weak=0), 0.0)) == 1
    assert select_strongest_hosts([], 5.0) == []


def test_the_requests_of_a_host_that_fell_silent_still_count():
    """A strong host dies; its callers come to the others at once, before any rate shows them."""
    members = Members(make_host("own", WEAK))
    for host in make_domain():
        peer = members.apply_state(host, 0.0, True, 0.0)
        assert peer is not None
        peer.request_rate = (
            MIN_NAMED_HOSTS * STRONG * TARGET_UTILIZATION / 2 if host.capacity == STRONG else 0.0
        )
    assert len(choose_hosts_for_caller(members, "d1", "north", {}, 0.0)) == MIN_NAMED_HOSTS
    for name in [name for name in members.peers if name != "strong-0"]:
        members.apply_state(members.peers[name].member, 0.0, True, 3.0)
    named = choose_hosts_for_caller(members, "d1", "north", {}, 3.0)
    assert "strong-0:80" not in named
    assert (
        len(named) * WEAK * TARGET_UTILIZATION
        >= MIN_NAMED_HOSTS * STRONG * TARGET_UTILIZATION - WEAK
    )


def test_own_requests_count_until_they_are_over():
    members = Members(make_host("own", WEAK))
    for number in range(200):
        members.note_arrival(number / 20)
    assert members.sum_request_rates("d1", 10.0) == pytest.approx(20.0, rel=0.1)
    assert members.sum_request_rates("d2", 10.0) == 0.0
    assert members.sum_request_rates("d1", 40.0) < 0.1


@pytest.mark.parametrize(
    ("machine", "capacity"),
    [(Machine(0.537, 2.0, 1000.0), 153), (Machine(0.516, 1.0, 5.0), 62), (Machine(0, 0, 0), 1)],
)
def test_the_weaker_of_processor_and_link_sets_what_a_machine_bears(machine, capacity):
    assert machine.estimate_capacity() == capacity


def test_a_decaying_sum_halves_with_its_half_life():
    total = DecayingSum(2.0)
    total.add(8.0, 0.0)
    assert total.get(2.0) == pytest.approx(4.0)
    total.scale(0.5, 2.0)
    assert total.get(4.0) == pytest.approx(1.0)


def test_a_host_that_has_just_started_leads_nobody():
    """All hosts start again, and the first that answers knows nobody yet.

    It would name itself, and the callers of its domain stay with it for seconds, however weak it
    is, while the strong hosts are back a moment later.
    """
    assert choose_lookup_ttl(2.0, MIN_LOOKUP_AGE_S - 0.1) is None
    assert choose_lookup_ttl(2.0, MIN_LOOKUP_AGE_S + 0.1) == RECENTLY_STARTED_TTL_S
    assert choose_lookup_ttl(2.0, RECENTLY_STARTED_S + 0.1) == 2.0
    assert choose_lookup_ttl(0.2, MIN_LOOKUP_AGE_S + 0.1) == 0.2
