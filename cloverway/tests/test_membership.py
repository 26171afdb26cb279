"""Hosts that gossip in virtual time: who is there, what endpoints are, what datagrams cost."""

from __future__ import annotations

import pytest

from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.endpoint_table import MAX_LIST_LAG_S, EndpointTable, LoadReport
from cloverway.membership.gossip import LocalState
from cloverway.membership.heartbeats import Heartbeat, get_incarnation_tag
from cloverway.membership.membership import Membership, Merged
from cloverway.tests.gossip_simulation import AUTHENTICATOR, GossipSimulation, Shape

SUSPECT_S = 2.0
ENGINE = "region-00-domain-000-engine-000"


def make_simulation(hosts=4, endpoints=4, **more):
    simulation = GossipSimulation(Shape(hosts=hosts, endpoints=endpoints), **more)
    simulation.run_until(simulation.sees_all)
    return simulation


def test_a_dead_host_is_found_and_no_live_one_is_lost_at_a_fifth_of_loss():
    """A live host is taken for dead, its endpoints are read anew, and callers lose it.

    Every fifth datagram is lost. With direct hearing only, four heartbeats lost in a row happen
    every few minutes; siblings that did hear the host say so when they are asked.
    """
    simulation = make_simulation(hosts=6, loss=0.2, seed=5)
    lost = 0
    for _ in range(600):
        simulation.run(0.1)
        lost += not simulation.sees_all()
    assert lost == 0
    dead, *rest = simulation.hosts
    simulation.kill(dead)
    took = simulation.run_until(
        lambda: all(dead not in simulation.hosts[n].view(simulation.now) for n in rest)
    )
    assert took < 2 * simulation.timing.suspect_s


def test_a_one_way_cut_hides_a_host_from_nobody():
    """One host takes another for dead, though callers and all siblings reach it.

    Datagrams from the first to the second are lost, those of the other direction arrive. The
    other siblings hear both, and say so.
    """
    simulation = make_simulation()
    first, second, *_ = simulation.hosts
    simulation.cuts.add((first, second))
    for _ in range(100):
        simulation.run(0.1)
        assert simulation.sees_all()


def test_a_host_that_is_cut_off_keeps_its_own_endpoints():
    """A host that hears no sibling reads all endpoints itself, and goes on serving."""
    simulation = make_simulation()
    alone, *rest = simulation.hosts
    simulation.cuts |= {(alone, other) for other in rest} | {(other, alone) for other in rest}
    simulation.run(10.0)
    host = simulation.hosts[alone]
    assert host.view(simulation.now) == set()
    assert all(state.ready for state in host.gossip.get_endpoints(simulation.now).values())
    simulation.cuts.clear()
    simulation.run_until(simulation.sees_all)


@pytest.mark.parametrize("seconds", [1.5, 30.0])
def test_a_paused_host_wakes_without_calling_the_others_dead(seconds):
    """A host that was stopped and woken sees nobody, and takes over all of their work.

    All are silent for as long as it slept. What lies in its socket was sent at an unknown time
    and proves nothing of the present: a host that died meanwhile is found dead in due time.
    """
    simulation = make_simulation()
    paused, dies, *rest = simulation.hosts
    simulation.pause(paused)
    simulation.run(seconds / 2)
    simulation.kill(dies)
    simulation.run(seconds / 2)
    simulation.wake(paused)
    host = simulation.hosts[paused]
    assert set(rest) <= host.view(simulation.now)
    assert all(state.ready for state in host.gossip.get_endpoints(simulation.now).values())
    assert (
        host.gossip.get_domain_hosts(simulation.now)[rest[0]].heard_at
        <= simulation.now - seconds + 1.0
    )
    for _ in range(50):
        simulation.run(0.1)
        assert set(rest) <= host.view(simulation.now)
    assert dies not in host.view(simulation.now)


def test_recorded_datagrams_revive_no_one():
    """A dead host is named to callers, since somebody sends its old datagrams again.

    To those who knew it, the sequence gives them away. A host that has started since knows no
    sequence; but they name an incarnation of its own that is no more.
    """
    simulation = make_simulation()
    dead, restarts, *rest = simulation.hosts
    recorded = []
    simulation.tap = lambda name, to, datagram: name == dead and recorded.append((to, datagram))
    simulation.run(5.0)
    simulation.kill(dead)
    simulation.run(5.0)
    simulation.start(restarts)
    simulation.run_until(lambda: len(simulation.hosts[restarts].view(simulation.now)) == len(rest))
    for to, datagram in recorded:
        simulation.deliver(to, datagram)
        simulation.run(0.05)
        assert all(
            dead not in simulation.hosts[name].view(simulation.now) for name in (restarts, *rest)
        )


def test_a_replaced_host_that_wakes_is_told_and_ends():
    """Two processes use one name; callers meet the old one, which thinks that nothing happened.

    It was paused, declared dead and replaced at the same address. It wakes and sends; siblings
    refuse it, and tell it so.
    """
    simulation = make_simulation()
    name, *rest = simulation.hosts
    old = simulation.hosts[name]
    simulation.kill(name)
    simulation.run(5.0)
    simulation.start(name)
    simulation.run_until(simulation.sees_all)
    present = simulation.hosts[rest[0]].gossip.get_domain_hosts(simulation.now)[name].incarnation
    for address, datagram in list(old.gossip.make_heartbeats(simulation.now)):
        received = simulation.hosts[simulation.names[address]].gossip.receive(
            datagram, simulation.now, simulation.now
        )
        for reply in received.replies:
            answer = old.gossip.receive(reply.datagram, simulation.now, simulation.now)
            old.replaced = old.replaced or answer.replaced
    assert old.replaced
    assert (
        simulation.hosts[rest[0]].gossip.get_domain_hosts(simulation.now)[name].incarnation
        == present
    )


def test_a_leaving_endpoint_is_known_to_all_within_three_seconds_at_loss():
    """An endpoint gets new work from a host that was not told that it is leaving.

    One reader sees the sign once; then the endpoint answers no more, and every fifth datagram
    is lost. Stale details say that it stays.
    """
    for seed in range(5):
        simulation = make_simulation(hosts=6, loss=0.2, seed=seed)
        stale = [
            host.gossip.endpoint_table.list_details([ENGINE], simulation.now)
            for host in simulation.hosts.values()
        ]
        reader = next(
            host
            for host in simulation.hosts.values()
            if ENGINE in host.gossip.list_endpoints_to_read(simulation.now)
        )
        report = simulation.reports[ENGINE]._replace(leaving=True)
        simulation.unreadable.add(ENGINE)
        assert reader.gossip.endpoint_table.apply_report(ENGINE, report, simulation.now)
        reader.urgent = True
        simulation.run(3.0)
        for host in simulation.hosts.values():
            for details in stale:
                host.gossip.endpoint_table.apply_details(details, simulation.now)
            assert host.gossip.get_endpoints(simulation.now)[ENGINE].leaving


def test_an_endpoint_without_reports_is_unknown_and_neither_leaving_nor_idle():
    """Orders turn an endpoint off, or callers pile on it, since nobody reported any load.

    The endpoint was busy when it was last read; then it could be read no more.
    """
    simulation = make_simulation()
    simulation.reports[ENGINE] = simulation.reports[ENGINE]._replace(running=7, waiting=3)
    simulation.run(3.0)
    simulation.unreadable.add(ENGINE)
    simulation.run(20.0)
    for host in simulation.hosts:
        state = simulation.endpoint(host, ENGINE)
        assert (state.ready, state.leaving) == (False, False)
        assert (state.running, state.waiting) == (7, 3)
        assert simulation.now - state.reported_at > 15.0


def test_a_restarted_endpoint_is_new_for_all_and_late_words_do_not_bring_the_old_one_back():
    simulation = make_simulation()
    simulation.reports[ENGINE] = simulation.reports[ENGINE]._replace(leaving=True)
    simulation.run(5.0)
    late = [
        host.gossip.endpoint_table.list_details([ENGINE], simulation.now)
        for host in simulation.hosts.values()
    ]
    simulation.reports[ENGINE] = simulation.reports[ENGINE]._replace(
        incarnation="next", leaving=False
    )
    simulation.run(5.0)
    for host in simulation.hosts.values():
        for details in late:
            host.gossip.endpoint_table.apply_details(details, simulation.now)
        state = host.gossip.get_endpoints(simulation.now)[ENGINE]
        assert (state.incarnation, state.leaving, state.ready) == ("next", False, True)


def test_a_lagging_list_does_not_shut_out_a_restarted_endpoint_for_good():
    """A restarted endpoint is never used again, at night, with nobody watching.

    The list tells of the leaving of the incarnation before, after the new one is known.
    """
    table = EndpointTable(4.0)
    table.adopt(["e"])
    table.apply_member_list({"e": False}, 99.0)
    table.apply_report("e", LoadReport("i1", True, True, 0, 0, 8, ()), 100.0)
    table.apply_report("e", LoadReport("i2", True, False, 0, 0, 8, ()), 105.0)
    table.apply_member_list({"e": True}, 110.0)
    assert table.get_states(110.0)["e"].leaving
    table.apply_member_list({"e": False}, 112.0)
    assert not table.get_states(112.0)["e"].leaving
    table.apply_member_list({"e": True}, 105.0 + MAX_LIST_LAG_S)
    table.apply_member_list({"e": False}, 106.0 + MAX_LIST_LAG_S)
    assert table.get_states(112.0)["e"].leaving


def test_a_dead_reader_is_replaced_by_the_hash():
    simulation = make_simulation(hosts=5, endpoints=10)
    dead, *rest = simulation.hosts
    simulation.kill(dead)
    simulation.run(8.0)
    counts = [
        sum(
            e in simulation.hosts[name].gossip.list_endpoints_to_read(simulation.now)
            for name in rest
        )
        for e in simulation.reports
    ]
    assert set(counts) == {2}
    assert all(
        s.ready
        for n in rest
        for s in simulation.hosts[n].gossip.get_endpoints(simulation.now).values()
    )


def test_a_cut_failure_domain_keeps_its_own_view_and_leaves_that_of_the_others():
    """Hosts of a cut domain lose their own endpoints, or others send work into the cut."""
    simulation = GossipSimulation(Shape(domains=3, hosts=2, endpoints=2, regions=3))
    simulation.run(8.0)
    first, *others = simulation.published.domains
    inside = simulation.published.hosts_of(first)
    outside = [name for name in simulation.hosts if name not in inside]
    for name in inside:
        assert {
            domain
            for domain, _ in simulation.hosts[name].gossip.get_remote_capacity(simulation.now)
        } == set(others)
    simulation.cuts |= {(a, b) for a in inside for b in outside}
    simulation.cuts |= {(b, a) for a in inside for b in outside}
    simulation.run(15.0)
    for name in inside:
        gossip = simulation.hosts[name].gossip
        assert len(gossip.get_domain_hosts(simulation.now)) == 1
        assert all(state.ready for state in gossip.get_endpoints(simulation.now).values())
        assert not gossip.get_remote_capacity(simulation.now) and not gossip.get_remote_hosts(
            simulation.now
        )
    for name in outside:
        assert first not in {
            domain
            for domain, _ in simulation.hosts[name].gossip.get_remote_capacity(simulation.now)
        }
    simulation.cuts.clear()
    simulation.run_until(
        lambda: simulation.hosts[inside[0]].gossip.get_remote_capacity(simulation.now)
    )


def test_a_leaving_host_reads_and_speaks_for_nobody():
    simulation = make_simulation()
    leaving, *rest = simulation.hosts
    simulation.hosts[leaving].gossip.local_state = LocalState(leaving=True, revision=1)
    simulation.run(2.0)
    assert all(
        simulation.hosts[n].gossip.get_domain_hosts(simulation.now)[leaving].leaving for n in rest
    )
    assert all(
        leaving not in simulation.hosts[n].gossip.members.list_staying(simulation.now) for n in rest
    )


def test_every_datagram_fits_one_frame():
    lengths = []
    simulation = GossipSimulation(Shape(hosts=3, endpoints=300, targets=60, domains=2))
    simulation.tap = lambda name, to, datagram: lengths.append(len(datagram))
    simulation.run_until(simulation.sees_all)
    simulation.run(6.0)
    assert max(lengths) <= MAX_DATAGRAM_BYTES
    assert all(
        state.ready
        for host in simulation.hosts.values()
        for state in host.gossip.get_endpoints(simulation.now).values()
    )


def test_a_heartbeat_for_another_incarnation_is_not_believed():
    core = Membership("me", 77, SUSPECT_S)
    core.adopt(["me", "h1"])
    assert core.merge(Heartbeat("h1", 1, 5), 0, 1.0) is Merged.UNPROVEN
    assert core.merge(Heartbeat("h1", 1, 5), get_incarnation_tag(78), 1.0) is Merged.UNPROVEN
    assert core.merge(Heartbeat("h1", 1, 5), get_incarnation_tag(77), 1.0) is Merged.NEWS
    assert core.merge(Heartbeat("me", 1, 5), get_incarnation_tag(77), 1.0) is Merged.OWN_NAME
    assert core.merge(Heartbeat("who", 1, 5), get_incarnation_tag(77), 1.0) is Merged.STRANGER
    assert AUTHENTICATOR.verify(AUTHENTICATOR.sign(b"", 7)).recipient_tag == 7
