"""Broadcast of crashes and quarantined requests between hosts, in virtual time."""

from __future__ import annotations

import itertools

import pytest

from cloverway.core.quarantine import SERVED_IMMUNITY_S, Crash, CrashUpdate
from cloverway.dispatch.ends import REBROADCAST_S, CrashTracker
from cloverway.errors import Kind
from cloverway.membership.datagram_auth import MAX_DATAGRAM_BYTES
from cloverway.membership.gossip import FULL_STATE_EVERY
from cloverway.tests.builders import make_request, make_settings
from cloverway.tests.gossip_simulation import GossipSimulation, Shape

MAX_CRASHES = 3
CRASHING = 77


class Caller:
    """Sends one request to one host after another; each endpoint that runs it crashes."""

    def __init__(self, simulation: GossipSimulation) -> None:
        self.simulation = simulation
        self.incarnations = itertools.count(1)
        self.crashed = 0

    def send(self, name: str, digest: int = CRASHING) -> bool:
        """Send the request to a host and return whether an endpoint ran it."""
        tracker = self.simulation.hosts[name].gossip.crash_tracker
        if tracker.find_block(digest, self.simulation.now) is not None:
            return False
        tracker.record_crash(
            Crash(f"life-{next(self.incarnations)}", (digest,), self.simulation.now)
        )
        self.crashed += 1
        return True

    def send_to_all(self, names, interval_s: float) -> None:
        """Send the request to each host once, with pauses."""
        for name in names:
            self.send(name)
            self.simulation.run(interval_s)


def make_simulation(**more) -> GossipSimulation:
    simulation = GossipSimulation(Shape(**more))
    simulation.run_until(simulation.sees_all)
    simulation.run(5.0)
    return simulation


def test_quarantine_applies_at_all_hosts():
    """A caller that is refused at one host tries the next one.

    Guards against three crashes for each host: a host counted only the crashes that it had observed
    itself, and so none when it got the request for the first time.
    """
    simulation = make_simulation(hosts=8)
    caller = Caller(simulation)
    caller.send_to_all([*simulation.hosts] * 3, interval_s=0.3)
    assert caller.crashed == MAX_CRASHES


def test_quarantine_reaches_other_failure_domains_within_seconds():
    """The caller moves on to another region; its hosts must not count from zero.

    Failure domains exchange updates once a second, through one host each.
    """
    simulation = make_simulation(domains=4, hosts=3, regions=2)
    caller = Caller(simulation)
    first = min(simulation.published.domains)
    caller.send_to_all(
        [name for name in simulation.hosts if name.startswith(first)], interval_s=0.3
    )
    assert caller.crashed == MAX_CRASHES
    simulation.run(4.0)
    caller.send_to_all(
        [name for name in simulation.hosts if not name.startswith(first)], interval_s=0.0
    )
    assert caller.crashed == MAX_CRASHES


@pytest.mark.parametrize("seed", range(4))
def test_crashes_are_rebroadcast_after_datagram_loss(seed):
    """Every fifth datagram is lost; a host that missed an update would run the request."""
    simulation = GossipSimulation(Shape(hosts=6), seed=seed, loss=0.2)
    simulation.run_until(simulation.sees_all)
    caller = Caller(simulation)
    caller.send_to_all([*simulation.hosts][:MAX_CRASHES], interval_s=0.5)
    simulation.run(4.0)
    crashed = caller.crashed
    caller.send_to_all(simulation.hosts, interval_s=0.0)
    assert caller.crashed == crashed <= MAX_CRASHES + 1


def test_restarted_or_reconnected_host_learns_of_past_crashes():
    """Long after the crashes, one host restarts without state and another one is reconnected.

    Updates that are broadcast only for some seconds after a crash would never reach them.
    """
    simulation = make_simulation(hosts=4)
    restarts, cut, *rest = simulation.hosts
    links = {(cut, other) for other in simulation.hosts} | {
        (other, cut) for other in simulation.hosts
    }
    simulation.cuts |= links
    caller = Caller(simulation)
    caller.send_to_all([*rest, *rest], interval_s=0.5)
    simulation.run(REBROADCAST_S + 10.0)
    simulation.cuts -= links
    simulation.kill(restarts)
    simulation.start(restarts)
    simulation.run(FULL_STATE_EVERY * simulation.timing.heartbeat_s + 5.0)
    caller.send_to_all([restarts, cut], interval_s=0.0)
    assert caller.crashed == MAX_CRASHES


def test_served_request_is_cleared_at_all_hosts():
    """Endpoints lose power while they run a harmless request, which is then served elsewhere.

    Guards against refusing it at other hosts.
    """
    simulation = make_simulation(hosts=3)
    caller = Caller(simulation)
    first, second, third = simulation.hosts
    caller.send_to_all([first, second], interval_s=1.0)
    simulation.hosts[first].gossip.crash_tracker.record_served(CRASHING, simulation.now)
    simulation.run(2.0)
    caller.send(second)
    simulation.run(2.0)
    assert simulation.hosts[third].gossip.crash_tracker.find_block(CRASHING, simulation.now) is None


def test_heartbeats_are_not_larger_without_crashes():
    """Crashes are rare; as long as there are none, they must add nothing to heartbeats."""
    simulation = make_simulation(hosts=4)
    quiet = [
        host.gossip.crash_tracker.list_updates(simulation.now, full=True)
        for host in simulation.hosts.values()
    ]
    assert quiet == [CrashUpdate((), ())] * 4


def test_crashes_without_quarantine_are_broadcast_for_a_short_time():
    """Endpoints crash from time to time over months, each while it runs other requests."""
    simulation = make_simulation(hosts=3)
    first, *_ = simulation.hosts
    for number in range(20):
        simulation.hosts[first].gossip.crash_tracker.record_crash(
            Crash(f"e{number}", (number,), simulation.now)
        )
    simulation.run(1.0)
    updates = [
        host.gossip.crash_tracker.list_updates(simulation.now, full=True)
        for host in simulation.hosts.values()
    ]
    assert all(len(each.crashes) >= 20 for each in updates)
    simulation.run(REBROADCAST_S + 1.0)
    updates = [
        host.gossip.crash_tracker.list_updates(simulation.now, full=True)
        for host in simulation.hosts.values()
    ]
    assert updates == [CrashUpdate((), ())] * 3


def test_many_crashes_at_once_fit_into_datagrams():
    """Many engines crash while they run requests; each datagram stays within its size limit."""
    simulation = make_simulation(hosts=3)
    longest = []
    simulation.on_send = lambda name, to, datagram: longest.append(len(datagram))
    first, *others = simulation.hosts
    tracker = simulation.hosts[first].gossip.crash_tracker
    for engine in range(64):
        incarnation = f"region-00-domain-000-engine-{engine:03}@start-{engine}"
        tracker.record_crash(Crash(incarnation, (engine, CRASHING * 100), simulation.now))
    simulation.run(3.0)
    assert max(longest) <= MAX_DATAGRAM_BYTES
    for name in others:
        updates = simulation.hosts[name].gossip.crash_tracker.list_updates(
            simulation.now, full=True
        )
        assert sum(len(crash.digests) for crash in updates.crashes) > 32


def test_host_refuses_with_the_remaining_time_after_an_update():
    tracker = CrashTracker(make_settings().quarantine)
    request = make_request(1, 0.0, 20.0)
    for number in range(MAX_CRASHES):
        tracker.apply_update(
            CrashUpdate((Crash(f"e{number}", (request.compute_digest(),), 5.0),), ()), 6.0
        )
    refused = tracker.find_refusal(request, 10.0)
    assert refused is not None
    assert refused.kind is Kind.QUARANTINED
    assert 1_790 < refused.retry_after <= 1_795


def test_received_crashes_and_refused_requests_are_logged(caplog):
    """An operator needs to see why a host refuses requests when it observed no crash itself."""
    tracker = CrashTracker(make_settings().quarantine)
    with caplog.at_level("INFO", logger="cloverway.dispatch.ends"):
        for number in range(MAX_CRASHES):
            tracker.apply_update(CrashUpdate((Crash(f"e{number}", (CRASHING,), 5.0),), ()), 6.0)
    logged = [record for record in caplog.records if record.msg == "an endpoint has ended"]
    refused_records = [record for record in caplog.records if record.levelname == "WARNING"]
    assert [record.life for record in logged] == ["e0", "e1", "e2"]
    assert [(record.request_digest, record.ends) for record in refused_records] == [
        (f"{CRASHING:016x}", 3)
    ]


def test_quarantine_counts_from_the_time_of_the_crash_at_all_hosts():
    """Guard against crashes that appear as new each time a host forwards them.

    The request would be refused for as long as hosts broadcast the crash.
    """
    simulation = make_simulation(domains=2, hosts=3)
    caller = Caller(simulation)
    begun_at = simulation.now
    caller.send_to_all([*simulation.hosts], interval_s=0.5)
    simulation.run(60.0)
    restarts = [*simulation.hosts][1]
    simulation.kill(restarts)
    simulation.start(restarts)
    simulation.run(FULL_STATE_EVERY * simulation.timing.heartbeat_s + 5.0)
    hold_s = make_settings().quarantine.hold_s
    for host in simulation.hosts.values():
        block = host.gossip.crash_tracker.find_block(CRASHING, simulation.now)
        assert block is not None
        assert (
            simulation.now + block.remaining_s
            <= begun_at + hold_s * 2 ** (block.crashes - MAX_CRASHES) + 5.0
        )


def test_request_cleared_once_is_quarantined_when_it_crashes_endpoints_later():
    """New versions of engines crash on a request that was served an hour ago.

    A host that kept broadcasting that it was served would prevent it from ever being suspected.
    """
    simulation = make_simulation(hosts=3)
    caller = Caller(simulation)
    first, *_ = simulation.hosts
    caller.send(first)
    simulation.run(1.0)
    simulation.hosts[first].gossip.crash_tracker.record_served(CRASHING, simulation.now)
    simulation.run(SERVED_IMMUNITY_S + 10.0)
    caller.send_to_all([*simulation.hosts] * 3, interval_s=0.5)
    assert caller.crashed == 1 + MAX_CRASHES


def test_a_request_that_another_host_has_served_is_not_quarantined():
    """Guards against a request that many send, refused where it had no answer of that host yet."""
    simulation = make_simulation(hosts=3)
    caller = Caller(simulation)
    server, other, _ = simulation.hosts
    simulation.hosts[server].gossip.crash_tracker.record_served(CRASHING, simulation.now)
    caller.send_to_all([other] * 2 * MAX_CRASHES, interval_s=1.0)
    assert caller.crashed == 2 * MAX_CRASHES
    simulation.run(SERVED_IMMUNITY_S)
    caller.send_to_all([*simulation.hosts] * 3, interval_s=0.5)
    assert caller.crashed == 3 * MAX_CRASHES, "it is once the answer is old"
