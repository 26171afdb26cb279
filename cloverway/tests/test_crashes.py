"""How hosts tell each other of endpoints that ended; messages are carried by hand, no network."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from cloverway.core.members import Member, Members
from cloverway.core.quarantine import Crash, Quarantine, QuarantineTerms
from cloverway.serving.hosts import crashes, news
from cloverway.serving.hosts.crashes import MOST_TOLD, RETOLD_S, CrashExchange
from cloverway.serving.hosts.news import TELL_AFTER_S, NewsExchange
from cloverway.serving.hosts.peerwire import CODEC
from cloverway.serving.telemetry import Metrics

PACKET_BYTES = 1_472
"""What one datagram carries over Ethernet without being split."""
DEADLY = 7


class Host:
    """What one host knows of ends, and its way to the others."""

    def __init__(self, net, name, region):
        self.members = Members(Member(name, 1, region, region, name, name, True))
        self.quarantine = Quarantine(QuarantineTerms())
        self.exchange = CrashExchange(name, self.quarantine, Metrics())
        self.news = NewsExchange(self.members, [self.exchange])
        self.news.send = lambda to, data: net.send(name, to, data)

    def knows(self, digest=DEADLY):
        return self.quarantine.count_ends(digest)


class Net:
    """Hosts of some regions that know each other, and datagrams that may be lost between them."""

    def __init__(self, *names):
        self.lost = lambda sender, receiver: False
        self.sent = []
        self.hosts = {name: Host(self, name, name[0]) for name in names}
        for host, other in itertools.permutations(self.hosts.values(), 2):
            host.members.hear(other.members.own, 0.0, True, crashes.read_clock())

    def send(self, sender, receiver, data):
        self.sent.append((sender, receiver, data))
        if not self.lost(sender, receiver):
            is_far = sender[0] != receiver[0]
            self.hosts[receiver].exchange.hear(CODEC.decode(data), is_far, crashes.read_clock())

    def list_knowing(self):
        return {name for name, host in self.hosts.items() if host.knows()}


@pytest.fixture
def clock(monkeypatch):
    """A clock that tests set; waits of the event loop are as they are."""
    times = [1_000.0]
    monkeypatch.setattr(crashes, "read_clock", lambda: times[0])
    monkeypatch.setattr(news, "read_clock", lambda: times[0])
    return times


async def settle():
    """Let news go on over three hosts."""
    for _ in range(3):
        await asyncio.sleep(1.5 * TELL_AFTER_S)


def test_all_hosts_of_all_regions_hear_of_an_end_at_once(clock):
    """Two hosts of another region are told, and tell the others of theirs."""
    net = Net("a1", "a2", "a3", "b1", "b2", "b3", "b4", "c1", "c2", "c3")

    async def scenario():
        net.hosts["a1"].exchange.note_end("e", DEADLY, clock[0])
        await settle()
        assert net.list_knowing() == set(net.hosts)
        told_far = {to for sender, to, _ in net.sent if sender == "a1" and to[0] != "a"}
        assert len(told_far) == 4

    asyncio.run(scenario())


def test_what_a_host_did_not_hear_is_told_again(clock):
    """Nothing passes between a1 and a2, nor from a1 to another region; a3 reaches all of them."""
    net = Net("a1", "a2", "a3", "b1", "b2")
    net.lost = lambda sender, receiver: sender == "a1" and receiver != "a3"

    async def scenario():
        net.hosts["a1"].exchange.note_end("e", DEADLY, clock[0])
        await settle()
        assert net.list_knowing() == {"a1", "a3"}
        for host in net.hosts.values():
            host.news.retell(clock[0] + 1.0)
        await settle()
        assert net.list_knowing() == set(net.hosts)
        net.sent.clear()
        for host in net.hosts.values():
            host.news.retell(clock[0] + RETOLD_S + 0.1)
        assert not net.sent, "it isn't told for ever"

    asyncio.run(scenario())


def test_hosts_tell_again_by_themselves(clock, monkeypatch):
    monkeypatch.setattr(news, "RETELL_S", 0.01)
    net = Net("a1", "a2")
    net.lost = lambda sender, receiver: True

    async def scenario():
        net.hosts["a1"].exchange.note_end("e", DEADLY, clock[0])
        await settle()
        net.lost = lambda sender, receiver: False
        telling = asyncio.create_task(net.hosts["a1"].news.run())
        async with asyncio.timeout(5.0):
            while not net.hosts["a2"].knows():
                await asyncio.sleep(0.01)
        telling.cancel()

    asyncio.run(scenario())


def test_a_host_that_was_not_there_is_told_all_of_it(clock):
    """A host was cut off while an engine ended, and is heard again a minute later."""
    net = Net("a1", "a2")
    net.lost = lambda sender, receiver: True

    async def scenario():
        net.hosts["a1"].exchange.note_end("e", DEADLY, clock[0])
        await settle()
        net.lost = lambda sender, receiver: False
        clock[0] += 60.0
        net.hosts["a1"].news.welcome("a2", clock[0])
        assert net.list_knowing() == {"a1", "a2"}
        hold_s = [host.quarantine.list_news(0.0, 9).crashes[0].at for host in net.hosts.values()]
        assert hold_s[0] == pytest.approx(hold_s[1], abs=0.002), "it ended a minute ago for both"

    asyncio.run(scenario())


def test_other_hosts_hear_that_a_suspected_request_was_served(clock):
    net = Net("a1", "a2", "b1")

    async def scenario():
        net.hosts["a1"].exchange.note_end("e", DEADLY, clock[0])
        await settle()
        assert net.list_knowing() == set(net.hosts)
        net.hosts["a1"].exchange.note_served(DEADLY)
        await settle()
        assert net.list_knowing() == set()
        net.sent.clear()
        net.hosts["a1"].exchange.note_served(8)
        await settle()
        assert not net.sent, "nobody asks whether any other request was served"

    asyncio.run(scenario())


def test_the_end_of_a_full_engine_is_told_in_one_packet_and_a_whole_list_in_some(clock):
    net = Net("a1", "a2")
    longest = (1 << 63) - 1

    async def scenario():
        name = "i-" + "f" * 10 + "@1700000000000"
        for number in range(MOST_TOLD):
            net.hosts["a1"].exchange.note_end(name, longest - number, clock[0])
        await settle()
        assert len(net.sent) == 1
        for number in range(300):
            net.hosts["a1"].quarantine.note_crash(Crash(f"{name}{number}", (number,), clock[0]))
        net.hosts["a1"].news.welcome("a2", clock[0])
        assert all(len(data) <= PACKET_BYTES for _, _, data in net.sent)
        assert sum(net.hosts["a2"].knows(number) for number in range(300)) == 256

    asyncio.run(scenario())


def count_told(net, name):
    """Count the hosts that told a host anything."""
    return len({sender for sender, receiver, _ in net.sent if receiver == name})


def test_what_a_newcomer_has_missed_is_told_by_few_hosts_however_many_there_are(clock):
    """Hosts that speak rarely are taken for gone and heard again all the time, by all the others.

    Each of 60 hosts told each of them all it knew: half of the bytes between regions were that.
    """
    net = Net(*(f"{region}{number}" for region in "abc" for number in range(20)))
    for host in net.hosts.values():
        host.quarantine.note_crash(Crash("e", (DEADLY,), clock[0]))

    async def scenario():
        for newcomer in ("a3", "b7", "c19"):
            host = net.hosts[newcomer]
            host.quarantine = host.exchange._quarantine = Quarantine(QuarantineTerms())
            net.sent.clear()
            for other in net.hosts.values():
                if other is not host:
                    other.news.welcome(newcomer, clock[0])
            assert host.knows()
            assert 2 <= count_told(net, newcomer) <= 6

    asyncio.run(scenario())


def test_a_region_that_was_cut_off_is_told_by_another_one(clock):
    """All hosts of a region were away, and those next to one of them know as little as it does."""
    net = Net(*(f"{region}{number}" for region in "abc" for number in range(6)))
    for name, host in net.hosts.items():
        if name[0] != "b":
            host.quarantine.note_crash(Crash("e", (DEADLY,), clock[0]))

    async def scenario():
        for name, host in net.hosts.items():
            for newcomer in (other for other in net.hosts if other[0] == "b" and other != name):
                host.news.welcome(newcomer, clock[0])
        assert all(host.knows() for host in net.hosts.values())

    asyncio.run(scenario())


def test_a_newcomer_is_told_of_old_ends_only_where_something_is_refused_for_them(clock):
    net = Net("a1", "a2")
    quarantine = net.hosts["a1"].quarantine
    for number in range(3):
        quarantine.note_crash(Crash(f"held-{number}", (DEADLY,), clock[0]))
    quarantine.note_crash(Crash("old", (8,), clock[0]))
    clock[0] += crashes.WELCOMED_S + 1.0
    quarantine.note_crash(Crash("new", (9,), clock[0]))
    net.hosts["a1"].news.welcome("a2", clock[0])
    assert [net.hosts["a2"].knows(digest) for digest in (DEADLY, 8, 9)] == [3, 0, 1]


def test_what_is_told_again_does_not_grow_with_the_square_of_the_hosts(clock):
    """News of the last seconds goes through a region of 100 hosts for as long as any comes."""
    told = {}
    for hosts in (10, 100):
        net = Net(*(f"a{number}" for number in range(hosts)))
        for host in net.hosts.values():
            host.quarantine.note_crash(Crash("e", (DEADLY,), clock[0]))
        for _ in range(20):
            for host in net.hosts.values():
                host.news.retell(clock[0] + 1.0)
        told[hosts] = len(net.sent) / 20
    assert told[100] < 2 * told[10]
