"""Tests of gossip between simulated hosts: failure detection, endpoint states, datagram size."""

from __future__ import annotations

import pytest

from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.endpoint_table import MAX_LIST_LAG_S, EndpointTable, LoadReport
from cloverway.membership.gossip import LocalState
from cloverway.membership.heartbeats import Heartbeat, get_incarnation_tag
from cloverway.membership.membership import Membership, MergeResult
from cloverway.tests.gossip_simulation import AUTHENTICATOR, GossipSimulation, Shape

SUSPECT_S = 2.0
ENGINE = "region-00-domain-000-engine-000"


def make_simulation(hosts=4, endpoints=4, **more):
    simulation = GossipSimulation(Shape(hosts=hosts, endpoints=endpoints), **more)
    simulation.run_until(simulation.sees_all)
    return simulation


def test_a_dead_host_is_detected_and_no_live_one_suspected_at_20_percent_loss():
    """Failure: a live host is declared dead, its endpoints are reassigned, callers don't use it.

    Every fifth datagram is lost. Four lost heartbeats in a row happen every few minutes, so direct
    heartbeats are not enough; siblings that did hear the host confirm it when they are asked.
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
        lambda: all(dead not in simulation.hosts[n].get_visible_hosts(simulation.now) for n in rest)
    )
    assert took < 2 * simulation.timing.suspect_s


def test_a_one_way_partition_does_not_make_a_host_look_dead():
    """Failure: a host declares another one dead, though callers and all siblings reach it.

    Datagrams from the first to the second are lost, those of the other direction arrive. The
    other siblings hear both and confirm them.
    """
    simulation = make_simulation()
    first, second, *_ = simulation.hosts
    simulation.cuts.add((first, second))
    for _ in range(100):
        simulation.run(0.1)
        assert simulation.sees_all()


def test_an_isolated_host_keeps_its_own_endpoints():
    """A host that hears no sibling reads all endpoints itself and continues to serve."""
    simulation = make_simulation()
    alone, *rest = simulation.hosts
    simulation.cuts |= {(alone, other) for other in rest} | {(other, alone) for other in rest}
    simulation.run(10.0)
    host = simulation.hosts[alone]
    assert host.get_visible_hosts(simulation.now) == set()
    assert all(state.ready for state in host.gossip.get_endpoints(simulation.now).values())
    simulation.cuts.clear()
    simulation.run_until(simulation.sees_all)


@pytest.mark.parametrize("seconds", [1.5, 30.0])
def test_a_resumed_host_does_not_declare_the_others_dead(seconds):
    """Failure: a host that was paused and resumed sees no other host and takes over all work.

    It heard nobody for the length of the pause. The datagrams in its socket buffer were sent at an
    unknown time and don't prove that their senders are alive now: a host that died meanwhile is
    still detected.
    """
    simulation = make_simulation()
    paused, dies, *rest = simulation.hosts
    simulation.pause(paused)
    simulation.run(seconds / 2)
    simulation.kill(dies)
    simulation.run(seconds / 2)
    simulation.resume(paused)
    host = simulation.hosts[paused]
    assert set(rest) <= host.get_visible_hosts(simulation.now)
    assert all(state.ready for state in host.gossip.get_endpoints(simulation.now).values())
    assert (
        host.gossip.get_domain_hosts(simulation.now)[rest[0]].heard_at
        <= simulation.now - seconds + 1.0
    )
    for _ in range(50):
        simulation.run(0.1)
        assert set(rest) <= host.get_visible_hosts(simulation.now)
    assert dies not in host.get_visible_hosts(simulation.now)


def test_replayed_datagrams_do_not_revive_a_host():
    """Failure: a dead host is listed as alive because its old datagrams are replayed.

    Hosts that knew it reject them by their sequence numbers. A host that has started since knows
    no sequence number, but the datagrams are addressed to its previous incarnation.
    """
    simulation = make_simulation()
    dead, restarts, *rest = simulation.hosts
    recorded = []
    simulation.on_send = lambda name, to, datagram: name == dead and recorded.append((to, datagram))
    simulation.run(5.0)
    simulation.kill(dead)
    simulation.run(5.0)
    simulation.start(restarts)
    simulation.run_until(
        lambda: len(simulation.hosts[restarts].get_visible_hosts(simulation.now)) == len(rest)
    )
    for to, datagram in recorded:
        simulation.deliver(to, datagram)
        simulation.run(0.05)
        assert all(
            dead not in simulation.hosts[name].get_visible_hosts(simulation.now)
            for name in (restarts, *rest)
        )


def test_a_replaced_host_that_resumes_is_notified_and_leaves():
    """Failure: two processes use one name, and callers still reach the replaced one.

    It was paused, declared dead and replaced at the same address. When it resumes and sends,
    siblings reject it and notify it.
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
    """Failure: a leaving endpoint gets new requests from a host that did not learn of it.

    One reader gets a single report that it is leaving; then the endpoint answers no more, and every
    fifth datagram is lost. Stale details that arrive later say that it is not leaving.
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
    """Failure: an endpoint without reports counts as leaving, or as idle and is overloaded.

    It was busy at its last report, and can't be read any more since.
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


def test_a_restarted_endpoint_is_new_for_all_and_late_details_do_not_restore_the_old_one():
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


def test_a_lagging_list_does_not_exclude_a_restarted_endpoint_for_good():
    """Failure: a restarted endpoint is never used again.

    The list says that the previous incarnation is leaving, after the new one is known.
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


def test_endpoints_of_a_dead_reader_are_reassigned():
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


def test_a_partitioned_domain_keeps_its_endpoints_and_leaves_the_view_of_the_others():
    """Failure: a partitioned domain loses its own endpoints, or others send requests to it."""
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


def test_a_leaving_host_reads_no_endpoints_and_sends_no_summaries():
    simulation = make_simulation()
    leaving, *rest = simulation.hosts
    simulation.hosts[leaving].gossip.local_state = LocalState(leaving=True, revision=1)
    simulation.run(2.0)
    assert all(
        simulation.hosts[n].gossip.get_domain_hosts(simulation.now)[leaving].leaving for n in rest
    )
    assert all(
        leaving not in simulation.hosts[n].gossip.members.list_active(simulation.now) for n in rest
    )


def test_every_datagram_fits_one_frame():
    lengths = []
    simulation = GossipSimulation(Shape(hosts=3, endpoints=300, targets=60, domains=2))
    simulation.on_send = lambda name, to, datagram: lengths.append(len(datagram))
    simulation.run_until(simulation.sees_all)
    simulation.run(6.0)
    assert max(lengths) <= MAX_DATAGRAM_BYTES
    assert all(
        state.ready
        for host in simulation.hosts.values()
        for state in host.gossip.get_endpoints(simulation.now).values()
    )


def test_a_heartbeat_for_another_incarnation_is_rejected():
    membership = Membership("me", 77, SUSPECT_S)
    membership.adopt(["me", "h1"])
    assert membership.merge(Heartbeat("h1", 1, 5), 0, 1.0) is MergeResult.OTHER_RECIPIENT
    assert (
        membership.merge(Heartbeat("h1", 1, 5), get_incarnation_tag(78), 1.0)
        is MergeResult.OTHER_RECIPIENT
    )
    assert (
        membership.merge(Heartbeat("h1", 1, 5), get_incarnation_tag(77), 1.0) is MergeResult.CHANGED
    )
    assert (
        membership.merge(Heartbeat("me", 1, 5), get_incarnation_tag(77), 1.0)
        is MergeResult.OWN_NAME
    )
    assert (
        membership.merge(Heartbeat("who", 1, 5), get_incarnation_tag(77), 1.0)
        is MergeResult.UNKNOWN_HOST
    )
    assert AUTHENTICATOR.verify(AUTHENTICATOR.sign(b"", 7)).recipient_tag == 7
