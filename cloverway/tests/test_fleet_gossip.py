"""Heartbeats to other regions and their rate; messages are captured, without a network.

The fleet has 90 hosts in three regions. Callers are directed to two hosts of each failure domain.
"""

from __future__ import annotations

from types import SimpleNamespace

from cloverway.core.deployment import (
    Configuration,
    EndpointEntry,
    EngineSpec,
    Service,
    StorePosition,
    Topology,
)
from cloverway.core.endpoint import Endpoint
from cloverway.core.endpoints import Directory
from cloverway.core.members import ACTIVE_REQUESTS_PER_S, MIN_NAMED_HOSTS, Member, Members
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.gossip import (
    HOSTS_PER_REMOTE_REGION,
    IDLE_REMOTE_HEARTBEATS_PER_S,
    MAX_IDLE_PERIOD_S,
    MAX_REGION_PERIOD_S,
    RECENTLY_STARTED_S,
    Gossip,
)
from cloverway.serving.hosts.messages import CODEC
from cloverway.serving.hosts.stream_origins import StreamOriginExchange
from cloverway.serving.telemetry import Metrics

REGIONS = ("north", "south", "west")
HOSTS = 30


def make_member(region, number):
    name = f"{region}-{number:02}"
    capacity = 100 if number < MIN_NAMED_HOSTS else 10
    return Member(name, 1, f"{region}-a", region, name, name, True, False, capacity)


class Host:
    """The gossip of one host of the fleet, with the messages that it sent."""

    def __init__(self, number, hosts=HOSTS):
        own = make_member("north", number)
        self.members = Members(own)
        for region in REGIONS:
            for other in range(hosts):
                self.members.apply_state(make_member(region, other), 0.0, True, 0.0)
        directory = Directory(Topology("north-a", "north", {"north-a": "north"}))
        service = Service("model", 360, engine=EngineSpec(64, 240_000))
        directory.configuration = Configuration(1, (), {"model": service})
        entry = EndpointEntry("e1", "model", "10.0.0.1:80", "north-a", 64)
        directory.endpoints["e1"] = Endpoint(entry, "north")
        directory._index()
        catalogue = SimpleNamespace(
            read_at=0.0, table=SimpleNamespace(position=StorePosition(0, 1), digest=1)
        )
        sync = SimpleNamespace(record_peer=lambda peer, now: None)
        metrics = Metrics()
        self.gossip = Gossip(
            self.members,
            directory,
            catalogue,
            sync,
            metrics,
            broadcaster=UpdateBroadcaster(self.members, ()),
            stream_origins=StreamOriginExchange(self.members, directory, metrics),
            seeds=(),
        )
        self.sent = []
        self.gossip._send = lambda name, data: self.sent.append((name, CODEC.decode(data)))

    def send_to_remote_regions(self, times, step_s=1.0):
        """Send heartbeats to other regions, by default once per second; return what was sent."""
        for number in range(times):
            self.gossip._send_to_remote_regions(1.0 + number * step_s)
        sent, self.sent = self.sent, []
        return sent


def test_hosts_that_serve_callers_send_capacity_to_those_of_other_regions():
    """A request is forwarded by the host that its caller is connected to.

    Guards against sending capacity to any two of thirty hosts: it reached the forwarding host about
    every eight seconds, and requests went to engines that were no longer free.
    """
    serving = Host(0)
    sent = serving.send_to_remote_regions(10)
    assert len(sent) == 10 * HOSTS_PER_REMOTE_REGION * 2
    assert {name for name, _ in sent} == {"south-00", "south-01", "west-00", "west-01"}
    assert all(message.offers for _, message in sent)


def test_a_busy_host_with_low_capacity_counts_as_serving():
    busy = Host(7)
    for step in range(100):
        busy.members.record_arrival(step / 100)
    assert busy.members.get_own_request_rate(1.0) > ACTIVE_REQUESTS_PER_S
    assert all(message.offers for _, message in busy.send_to_remote_regions(1))


def test_idle_hosts_send_rare_heartbeats_without_capacity_to_other_regions():
    """They do not receive the loads of other hosts, and would advertise full engines as idle.

    All of them together send a few heartbeats per second, whatever their number.
    """
    idle = Host(20)
    sent = idle.send_to_remote_regions(60)
    assert all(not message.offers for _, message in sent)
    assert 0 < len(sent) <= 60 * IDLE_REMOTE_HEARTBEATS_PER_S / HOSTS * 2 * 1.5
    assert all(other.region == "north" for _, message in sent for other in message.others)


def test_in_a_small_region_every_host_sends_the_capacity():
    small = Host(2, hosts=3)
    assert all(message.offers for _, message in small.send_to_remote_regions(3))


def test_requests_are_forwarded_to_hosts_that_serve_callers():
    """Guards against forwarding to hosts that do not know the engines' loads.

    Such a host would send the request to a full engine.
    """
    members = Host(0).members
    names = {peer.member.name for peer in members.list_forwarding_targets("south", 1.0)}
    assert names == {"south-00", "south-01"}
    for name in names:
        members.peers[name].backoff_until = 9.0
    assert len(members.list_forwarding_targets("south", 1.0)) == HOSTS - MIN_NAMED_HOSTS


def test_the_rate_of_a_host_is_relayed():
    """A heartbeat of a remote host arrives rarely, so its rate has to be relayed by others."""
    here, there = Host(0), Host(1)
    here.members.peers["north-09"].request_rate = 30.0
    sent = here.send_to_remote_regions(60, step_s=0.0)
    message = next(message for _, message in sent if _find(message, "north-09"))
    there.gossip._receive_heartbeat(message, "north-00", 50.0)
    assert there.members.peers["north-09"].request_rate == 30.0


def _find(message, name):
    return any(other.name == name for other in message.others)


def make_settled_host(number, is_reader=False):
    """Make a host of a region of 65 that did not start recently."""
    host = Host(number, 65)
    host.gossip._started_at = 0.0
    host.gossip.catalogue.is_reader = lambda now: is_reader
    return host


def test_idle_hosts_of_a_large_region_send_rare_heartbeats():
    """In a region of 65 hosts, most of them idle, each sent every other one a heartbeat per second.

    Receiving them was most of the work of an idle host. No host depends on idle ones, so they send
    less often and are missed later. One that begins to serve callers shortens its period at once.
    """
    idle = make_settled_host(40)
    assert idle.gossip._choose_period(RECENTLY_STARTED_S - 0.1) == MAX_REGION_PERIOD_S
    assert idle.gossip._choose_period(RECENTLY_STARTED_S) == MAX_IDLE_PERIOD_S
    for _ in range(20):
        idle.members.record_arrival(RECENTLY_STARTED_S)
    assert idle.gossip._choose_period(RECENTLY_STARTED_S) == MAX_REGION_PERIOD_S


def test_hosts_that_others_depend_on_keep_the_short_period():
    assert make_settled_host(0).gossip._choose_period(RECENTLY_STARTED_S) == MAX_REGION_PERIOD_S
    assert (
        make_settled_host(40, is_reader=True).gossip._choose_period(RECENTLY_STARTED_S)
        == MAX_REGION_PERIOD_S
    )


def test_the_timeout_of_a_host_follows_its_own_period():
    """With the common timeout such a host would seem to crash and come back between heartbeats."""
    members = make_settled_host(0).members
    members.forget(0.0)
    peer = members.peers["north-40"]
    peer.heartbeat_period_s = MAX_IDLE_PERIOD_S
    assert members.is_alive(peer, 6.0)
    assert not members.is_alive(peer, 8.1)
    peer.heartbeat_period_s = 0.0
    assert not members.is_alive(peer, 6.0)


def test_idle_hosts_of_other_regions_are_not_logged_as_coming_and_going(caplog):
    """Guards against a log full of lines about hosts that send rarely."""
    host = Host(2)
    remote = [p for p in host.members.peers.values() if p.member.region != "north"]
    remote[0].request_rate = ACTIVE_REQUESTS_PER_S
    with caplog.at_level("INFO"):
        host.gossip._update_alive_hosts(0.5)
    logged = [record.peer for record in caplog.records if record.message == "host_heard"]
    region_names = [
        p.member.name for p in host.members.peers.values() if p.member.region == "north"
    ]
    assert sorted(logged) == sorted([*region_names, remote[0].member.name])
