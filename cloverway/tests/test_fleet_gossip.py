"""What hosts tell other regions, and how often; messages are caught, no network.

The fleet is one of 90 hosts in three regions, of which callers are led to two a failure domain.
"""

from __future__ import annotations

from types import SimpleNamespace

from cloverway.core.deployment import Configuration, EndpointEntry, EngineShape, Service, Topology
from cloverway.core.endpoints import Directory, Endpoint
from cloverway.core.members import ACTIVE_RATE, LEAST_NAMED, Member, Members
from cloverway.serving.hosts.gossip import (
    FAR_HOSTS,
    FAR_IDLE_PER_S,
    MOST_IDLE_S,
    MOST_NEAR_S,
    SETTLING_S,
    Gossip,
)
from cloverway.serving.hosts.news import NewsExchange
from cloverway.serving.hosts.peerwire import CODEC
from cloverway.serving.telemetry import Metrics

REGIONS = ("north", "south", "west")
HOSTS = 30


def make_member(region, number):
    name = f"{region}-{number:02}"
    capacity = 100 if number < LEAST_NAMED else 10
    return Member(name, 1, f"{region}-a", region, name, name, True, False, capacity)


class Host:
    """The gossip of one host of the fleet, with what it has sent."""

    def __init__(self, number, hosts=HOSTS):
        own = make_member("north", number)
        self.members = Members(own)
        for region in REGIONS:
            for other in range(hosts):
                self.members.hear(make_member(region, other), 0.0, True, 0.0)
        directory = Directory(Topology("north-a", "north", {"north-a": "north"}))
        service = Service("model", 360, engine=EngineShape(64, 240_000))
        directory.configuration = Configuration(1, (), {"model": service})
        entry = EndpointEntry("e1", "model", "10.0.0.1:80", "north-a", 64)
        directory.endpoints["e1"] = Endpoint(entry, "north")
        directory._index()
        catalogue = SimpleNamespace(read_at=0.0, table=SimpleNamespace(revision=1, digest=1))
        sync = SimpleNamespace(note=lambda peer, now: None)
        metrics = Metrics()
        self.gossip = Gossip(
            self.members,
            directory,
            catalogue,
            sync,
            metrics,
            news=NewsExchange(self.members, ()),
            seeds=(),
        )
        self.sent = []
        self.gossip._send = lambda name, data: self.sent.append((name, CODEC.decode(data)))

    def send_far(self, times, step_s=1.0):
        """Let the host speak to other regions once a second, or as often as is said."""
        for number in range(times):
            self.gossip._send_far(1.0 + number * step_s)
        sent, self.sent = self.sent, []
        return sent


def test_hosts_that_serve_callers_tell_those_of_other_regions_what_theirs_can_take():
    """A request is passed on by the host that its caller is connected to.

    Told to any two of thirty hosts, an offer reached that one every eight seconds or so, and led
    requests to engines that had been free then.
    """
    serving = Host(0)
    sent = serving.send_far(10)
    assert len(sent) == 10 * FAR_HOSTS * 2
    assert {name for name, _ in sent} == {"south-00", "south-01", "west-00", "west-01"}
    assert all(message.offers for _, message in sent)


def test_a_busy_host_that_is_not_among_the_strongest_counts_as_serving():
    busy = Host(7)
    for step in range(100):
        busy.members.note_arrival(step / 100)
    assert busy.members.get_own_rate(1.0) > ACTIVE_RATE
    assert all(message.offers for _, message in busy.send_far(1))


def test_hosts_that_serve_nobody_only_show_now_and_then_that_they_are_alive():
    """They hear nothing of what is sent to engines, and would offer full ones as idle.

    All of them together speak a few times a second, however many they are.
    """
    idle = Host(20)
    sent = idle.send_far(60)
    assert all(not message.offers for _, message in sent)
    assert 0 < len(sent) <= 60 * FAR_IDLE_PER_S / HOSTS * 2 * 1.5
    assert all(other.region == "north" for _, message in sent for other in message.others)


def test_in_a_small_region_every_host_tells_what_the_region_can_take():
    small = Host(2, hosts=3)
    assert all(message.offers for _, message in small.send_far(3))


def test_requests_are_passed_on_to_hosts_that_serve_callers():
    """Any other host doesn't know what is at the engines, and would fill one that is full."""
    members = Host(0).members
    names = {peer.member.name for peer in members.list_for_passing("south", 1.0)}
    assert names == {"south-00", "south-01"}
    for name in names:
        members.peers[name].failed_until = 9.0
    assert len(members.list_for_passing("south", 1.0)) == HOSTS - LEAST_NAMED


def test_the_rate_of_a_host_is_told_from_host_to_host():
    """A host of another region is heard itself now and then only; others speak of it."""
    here, there = Host(0), Host(1)
    here.members.peers["north-09"].rate = 30.0
    sent = here.send_far(60, step_s=0.0)
    message = next(message for _, message in sent if _find(message, "north-09"))
    there.gossip._hear(message, "north-00", 50.0)
    assert there.members.peers["north-09"].rate == 30.0


def _find(message, name):
    return any(other.name == name for other in message.others)


def make_large(number, is_reader=False):
    """Make a host of a region of 65, of an age at which it has settled."""
    host = Host(number, 65)
    host.gossip._started_at = 0.0
    host.gossip.catalogue.is_reader = lambda now: is_reader
    return host


def test_hosts_of_a_large_region_that_serve_nobody_speak_rarely():
    """65 hosts of a region, most of which serve nobody, told all others of themselves each second.

    Hearing that is what such a host did most. They are needed by nobody, so they are heard less
    often and missed later; one that begins to serve speaks as often as before at once.
    """
    idle = make_large(40)
    assert idle.gossip._choose_period(SETTLING_S - 0.1) == MOST_NEAR_S
    assert idle.gossip._choose_period(SETTLING_S) == MOST_IDLE_S
    for _ in range(20):
        idle.members.note_arrival(SETTLING_S)
    assert idle.gossip._choose_period(SETTLING_S) == MOST_NEAR_S


def test_hosts_that_others_depend_on_speak_as_often_as_before():
    assert make_large(0).gossip._choose_period(SETTLING_S) == MOST_NEAR_S
    assert make_large(40, is_reader=True).gossip._choose_period(SETTLING_S) == MOST_NEAR_S


def test_a_host_that_speaks_rarely_is_missed_by_its_own_period():
    """Missed by the common bound, it would be taken for gone and back with each heartbeat."""
    members = make_large(0).members
    members.forget(0.0)
    peer = members.peers["north-40"]
    peer.period_s = MOST_IDLE_S
    assert members.is_alive(peer, 6.0)
    assert not members.is_alive(peer, 8.1)
    peer.period_s = 0.0
    assert not members.is_alive(peer, 6.0)


def test_hosts_far_away_that_serve_nobody_do_not_come_and_go_in_the_log(caplog):
    """Guards against a log that is full of hosts which speak rarely, and tells nothing of them."""
    host = Host(2)
    far = [p for p in host.members.peers.values() if p.member.region != "north"]
    far[0].rate = ACTIVE_RATE
    with caplog.at_level("INFO"):
        host.gossip._note_alive(0.5)
    heard = [record.peer for record in caplog.records if record.message == "host_heard"]
    near = [p.member.name for p in host.members.peers.values() if p.member.region == "north"]
    assert sorted(heard) == sorted([*near, far[0].member.name])
