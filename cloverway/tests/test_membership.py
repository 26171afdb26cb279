"""Hosts that gossip in virtual time: who is there, what endpoints are, what datagrams cost."""

from __future__ import annotations

import pytest

from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.endpoint_table import LIST_LAG_S, Readings, Report
from cloverway.membership.gossip import Own
from cloverway.membership.heartbeats import Heartbeat, tag_of
from cloverway.membership.membership import Membership, Merged
from cloverway.tests.gossip_simulation import SEAL, GossipSimulation, Shape

SUSPECT_S = 2.0
ENGINE = "region-00-domain-000-engine-000"


def make_world(hosts=4, endpoints=4, **more):
    world = GossipSimulation(Shape(hosts=hosts, endpoints=endpoints), **more)
    world.run_until(world.sees_all)
    return world


def test_a_dead_host_is_found_and_no_live_one_is_lost_at_a_fifth_of_loss():
    """A live host is taken for dead, its endpoints are read anew, and callers lose it.

    Every fifth datagram is lost. With direct hearing only, four heartbeats lost in a row happen
    every few minutes; siblings that did hear the host say so when they are asked.
    """
    world = make_world(hosts=6, loss=0.2, seed=5)
    lost = 0
    for _ in range(600):
        world.run(0.1)
        lost += not world.sees_all()
    assert lost == 0
    dead, *rest = world.hosts
    world.kill(dead)
    took = world.run_until(lambda: all(dead not in world.hosts[n].view(world.now) for n in rest))
    assert took < 2 * world.timing.suspect_s


def test_a_one_way_cut_hides_a_host_from_nobody():
    """One host takes another for dead, though callers and all siblings reach it.

    Datagrams from the first to the second are lost, those of the other direction arrive. The
    other siblings hear both, and say so.
    """
    world = make_world()
    first, second, *_ = world.hosts
    world.cuts.add((first, second))
    for _ in range(100):
        world.run(0.1)
        assert world.sees_all()


def test_a_host_that_is_cut_off_keeps_its_own_endpoints():
    """A host that hears no sibling reads all endpoints itself, and goes on serving."""
    world = make_world()
    alone, *rest = world.hosts
    world.cuts |= {(alone, other) for other in rest} | {(other, alone) for other in rest}
    world.run(10.0)
    host = world.hosts[alone]
    assert host.view(world.now) == set()
    assert all(state.ready for state in host.gossip.endpoints(world.now).values())
    world.cuts.clear()
    world.run_until(world.sees_all)


@pytest.mark.parametrize("seconds", [1.5, 30.0])
def test_a_paused_host_wakes_without_calling_the_others_dead(seconds):
    """A host that was stopped and woken sees nobody, and takes over all of their work.

    All are silent for as long as it slept. What lies in its socket was sent at an unknown time
    and proves nothing of the present: a host that died meanwhile is found dead in due time.
    """
    world = make_world()
    paused, dies, *rest = world.hosts
    world.pause(paused)
    world.run(seconds / 2)
    world.kill(dies)
    world.run(seconds / 2)
    world.wake(paused)
    host = world.hosts[paused]
    assert set(rest) <= host.view(world.now)
    assert all(state.ready for state in host.gossip.endpoints(world.now).values())
    assert host.gossip.near_hosts(world.now)[rest[0]].heard_at <= world.now - seconds + 1.0
    for _ in range(50):
        world.run(0.1)
        assert set(rest) <= host.view(world.now)
    assert dies not in host.view(world.now)


def test_recorded_datagrams_revive_no_one():
    """A dead host is named to callers, since somebody sends its old datagrams again.

    To those who knew it, the sequence gives them away. A host that has started since knows no
    sequence; but they name an incarnation of its own that is no more.
    """
    world = make_world()
    dead, restarts, *rest = world.hosts
    recorded = []
    world.tap = lambda name, to, datagram: name == dead and recorded.append((to, datagram))
    world.run(5.0)
    world.kill(dead)
    world.run(5.0)
    world.start(restarts)
    world.run_until(lambda: len(world.hosts[restarts].view(world.now)) == len(rest))
    for to, datagram in recorded:
        world.deliver(to, datagram)
        world.run(0.05)
        assert all(dead not in world.hosts[name].view(world.now) for name in (restarts, *rest))


def test_a_replaced_host_that_wakes_is_told_and_ends():
    """Two processes use one name; callers meet the old one, which thinks that nothing happened.

    It was paused, declared dead and replaced at the same address. It wakes and sends; siblings
    refuse it, and tell it so.
    """
    world = make_world()
    name, *rest = world.hosts
    old = world.hosts[name]
    world.kill(name)
    world.run(5.0)
    world.start(name)
    world.run_until(world.sees_all)
    present = world.hosts[rest[0]].gossip.near_hosts(world.now)[name].incarnation
    for address, datagram in list(old.gossip.beat(world.now)):
        received = world.hosts[world.names[address]].gossip.receive(datagram, world.now, world.now)
        for reply in received.replies:
            answer = old.gossip.receive(reply.datagram, world.now, world.now)
            old.replaced = old.replaced or answer.replaced
    assert old.replaced
    assert world.hosts[rest[0]].gossip.near_hosts(world.now)[name].incarnation == present


def test_a_leaving_endpoint_is_known_to_all_within_three_seconds_at_loss():
    """An endpoint gets new work from a host that was not told that it is leaving.

    One reader sees the sign once; then the endpoint answers no more, and every fifth datagram
    is lost. Stale details say that it stays.
    """
    for seed in range(5):
        world = make_world(hosts=6, loss=0.2, seed=seed)
        stale = [host.gossip.readings.details([ENGINE], world.now) for host in world.hosts.values()]
        reader = next(
            host
            for host in world.hosts.values()
            if ENGINE in host.gossip.endpoints_to_read(world.now)
        )
        report = world.reports[ENGINE]._replace(leaving=True)
        world.unreadable.add(ENGINE)
        assert reader.gossip.readings.take_report(ENGINE, report, world.now)
        reader.urgent = True
        world.run(3.0)
        for host in world.hosts.values():
            for details in stale:
                host.gossip.readings.take_details(details, world.now)
            assert host.gossip.endpoints(world.now)[ENGINE].leaving


def test_an_endpoint_without_reports_is_unknown_and_neither_leaving_nor_idle():
    """Orders turn an endpoint off, or callers pile on it, since nobody reported any load.

    The endpoint was busy when it was last read; then it could be read no more.
    """
    world = make_world()
    world.reports[ENGINE] = world.reports[ENGINE]._replace(running=7, waiting=3)
    world.run(3.0)
    world.unreadable.add(ENGINE)
    world.run(20.0)
    for host in world.hosts:
        state = world.endpoint(host, ENGINE)
        assert (state.ready, state.leaving) == (False, False)
        assert (state.running, state.waiting) == (7, 3)
        assert world.now - state.reported_at > 15.0


def test_a_restarted_endpoint_is_new_for_all_and_late_words_do_not_bring_the_old_one_back():
    world = make_world()
    world.reports[ENGINE] = world.reports[ENGINE]._replace(leaving=True)
    world.run(5.0)
    late = [host.gossip.readings.details([ENGINE], world.now) for host in world.hosts.values()]
    world.reports[ENGINE] = world.reports[ENGINE]._replace(incarnation="next", leaving=False)
    world.run(5.0)
    for host in world.hosts.values():
        for details in late:
            host.gossip.readings.take_details(details, world.now)
        state = host.gossip.endpoints(world.now)[ENGINE]
        assert (state.incarnation, state.leaving, state.ready) == ("next", False, True)


def test_a_lagging_list_does_not_shut_out_a_restarted_endpoint_for_good():
    """A restarted endpoint is never used again, at night, with nobody watching.

    The list tells of the leaving of the incarnation before, after the new one is known.
    """
    table = Readings(4.0)
    table.adopt(["e"])
    table.take_list({"e": False}, 99.0)
    table.take_report("e", Report("i1", True, True, 0, 0, 8, ()), 100.0)
    table.take_report("e", Report("i2", True, False, 0, 0, 8, ()), 105.0)
    table.take_list({"e": True}, 110.0)
    assert table.states(110.0)["e"].leaving
    table.take_list({"e": False}, 112.0)
    assert not table.states(112.0)["e"].leaving
    table.take_list({"e": True}, 105.0 + LIST_LAG_S)
    table.take_list({"e": False}, 106.0 + LIST_LAG_S)
    assert table.states(112.0)["e"].leaving


def test_a_dead_reader_is_replaced_by_the_hash():
    world = make_world(hosts=5, endpoints=10)
    dead, *rest = world.hosts
    world.kill(dead)
    world.run(8.0)
    counts = [
        sum(e in world.hosts[name].gossip.endpoints_to_read(world.now) for name in rest)
        for e in world.reports
    ]
    assert set(counts) == {2}
    assert all(s.ready for n in rest for s in world.hosts[n].gossip.endpoints(world.now).values())


def test_a_cut_failure_domain_keeps_its_own_view_and_leaves_that_of_the_others():
    """Hosts of a cut domain lose their own endpoints, or others send work into the cut."""
    world = GossipSimulation(Shape(domains=3, hosts=2, endpoints=2, regions=3))
    world.run(8.0)
    first, *others = world.published.domains
    inside = world.published.hosts_of(first)
    outside = [name for name in world.hosts if name not in inside]
    for name in inside:
        assert {domain for domain, _ in world.hosts[name].gossip.capacities(world.now)} == set(
            others
        )
    world.cuts |= {(a, b) for a in inside for b in outside}
    world.cuts |= {(b, a) for a in inside for b in outside}
    world.run(15.0)
    for name in inside:
        gossip = world.hosts[name].gossip
        assert len(gossip.near_hosts(world.now)) == 1
        assert all(state.ready for state in gossip.endpoints(world.now).values())
        assert not gossip.capacities(world.now) and not gossip.far_hosts(world.now)
    for name in outside:
        assert first not in {domain for domain, _ in world.hosts[name].gossip.capacities(world.now)}
    world.cuts.clear()
    world.run_until(lambda: world.hosts[inside[0]].gossip.capacities(world.now))


def test_a_leaving_host_reads_and_speaks_for_nobody():
    world = make_world()
    leaving, *rest = world.hosts
    world.hosts[leaving].gossip.own = Own(leaving=True, revision=1)
    world.run(2.0)
    assert all(world.hosts[n].gossip.near_hosts(world.now)[leaving].leaving for n in rest)
    assert all(leaving not in world.hosts[n].gossip.members.staying(world.now) for n in rest)


def test_every_datagram_fits_one_frame():
    lengths = []
    world = GossipSimulation(Shape(hosts=3, endpoints=300, targets=60, domains=2))
    world.tap = lambda name, to, datagram: lengths.append(len(datagram))
    world.run_until(world.sees_all)
    world.run(6.0)
    assert max(lengths) <= MAX_DATAGRAM_BYTES
    assert all(
        state.ready
        for host in world.hosts.values()
        for state in host.gossip.endpoints(world.now).values()
    )


def test_a_heartbeat_for_another_incarnation_is_not_believed():
    core = Membership("me", 77, SUSPECT_S)
    core.adopt(["me", "h1"])
    assert core.merge(Heartbeat("h1", 1, 5), 0, 1.0) is Merged.UNPROVEN
    assert core.merge(Heartbeat("h1", 1, 5), tag_of(78), 1.0) is Merged.UNPROVEN
    assert core.merge(Heartbeat("h1", 1, 5), tag_of(77), 1.0) is Merged.NEWS
    assert core.merge(Heartbeat("me", 1, 5), tag_of(77), 1.0) is Merged.OWN_NAME
    assert core.merge(Heartbeat("who", 1, 5), tag_of(77), 1.0) is Merged.STRANGER
    assert SEAL.open(SEAL.close(b"", 7)).to == 7
