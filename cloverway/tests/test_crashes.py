"""Exchange of endpoint crashes between hosts; messages are delivered without a network."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.core.quarantine import (
    SERVED_IMMUNITY_S,
    Crash,
    Quarantine,
    QuarantineSettings,
)
from cloverway.serving.hosts import broadcast, crashes
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, REPLYING_HOSTS
from cloverway.serving.hosts.crashes import MAX_DIGESTS, REBROADCAST_S, CrashExchange
from cloverway.serving.telemetry import Metrics
from cloverway.tests.update_net import PACKET_BYTES, UpdateNet

CRASHING = 7


class Net(UpdateNet):
    """Hosts that exchange crashes."""

    def __init__(self, *names):
        super().__init__(make_exchange, *names)
        for host in self.hosts.values():
            host.quarantine = host.exchange._quarantine
            host.knows = lambda digest=CRASHING, host=host: host.quarantine.count_crashes(digest)

    def list_hosts_that_know(self):
        return {name for name, host in self.hosts.items() if host.knows()}


def make_exchange(members):
    return CrashExchange(members, Quarantine(QuarantineSettings()), Metrics())


@pytest.fixture
def clock(monkeypatch):
    """A clock set by the test; timers of the event loop are not affected."""
    times = [1_000.0]
    monkeypatch.setattr(crashes, "read_clock", lambda: times[0])
    monkeypatch.setattr(broadcast, "read_clock", lambda: times[0])
    return times


async def settle():
    """Let updates pass over three hosts."""
    for _ in range(3):
        await asyncio.sleep(1.5 * BROADCAST_DELAY_S)


def test_all_hosts_of_all_regions_receive_a_crash_at_once(clock):
    """Two hosts of another region are sent the crash, and broadcast it in their region."""
    net = Net("a1", "a2", "a3", "b1", "b2", "b3", "b4", "c1", "c2", "c3")

    async def scenario():
        net.hosts["a1"].exchange.report_crash("e", CRASHING, clock[0])
        await settle()
        assert net.list_hosts_that_know() == set(net.hosts)
        remote_receivers = {to for sender, to, _ in net.sent if sender == "a1" and to[0] != "a"}
        assert len(remote_receivers) == 4

    asyncio.run(scenario())


def test_a_crash_that_a_host_did_not_receive_is_rebroadcast(clock):
    """Nothing arrives from a1 at a2 or in another region; only a3 reaches all of them."""
    net = Net("a1", "a2", "a3", "b1", "b2")
    net.lost = lambda sender, receiver: sender == "a1" and receiver != "a3"

    async def scenario():
        net.hosts["a1"].exchange.report_crash("e", CRASHING, clock[0])
        await settle()
        assert net.list_hosts_that_know() == {"a1", "a3"}
        for host in net.hosts.values():
            host.broadcaster.rebroadcast(clock[0] + 1.0)
        await settle()
        assert net.list_hosts_that_know() == set(net.hosts)
        net.sent.clear()
        for host in net.hosts.values():
            host.broadcaster.rebroadcast(clock[0] + REBROADCAST_S + 0.1)
        assert not net.sent, "it is not rebroadcast forever"

    asyncio.run(scenario())


def test_hosts_rebroadcast_periodically(clock, monkeypatch):
    monkeypatch.setattr(broadcast, "REBROADCAST_PERIOD_S", 0.01)
    net = Net("a1", "a2")
    net.lost = lambda sender, receiver: True

    async def scenario():
        net.hosts["a1"].exchange.report_crash("e", CRASHING, clock[0])
        await settle()
        net.lost = lambda sender, receiver: False
        rebroadcasting = asyncio.create_task(net.hosts["a1"].broadcaster.run())
        async with asyncio.timeout(5.0):
            while not net.hosts["a2"].knows():
                await asyncio.sleep(0.01)
        rebroadcasting.cancel()

    asyncio.run(scenario())


def test_a_host_that_was_partitioned_receives_all_crashes(clock):
    """A host was partitioned while an engine crashed, and is heard again a minute later."""
    net = Net("a1", "a2")
    net.lost = lambda sender, receiver: True

    async def scenario():
        net.hosts["a1"].exchange.report_crash("e", CRASHING, clock[0])
        await settle()
        net.lost = lambda sender, receiver: False
        clock[0] += 60.0
        net.hosts["a1"].broadcaster.sync_joining_host("a2", clock[0])
        assert net.list_hosts_that_know() == {"a1", "a2"}
        crash_times = [
            host.quarantine.list_updates(0.0, 9).crashes[0].at for host in net.hosts.values()
        ]
        assert crash_times[0] == pytest.approx(
            crash_times[1], abs=0.002
        ), "both know that it crashed a minute ago"

    asyncio.run(scenario())


def test_other_hosts_learn_that_a_suspected_request_was_served(clock):
    net = Net("a1", "a2", "b1")

    async def scenario():
        net.hosts["a1"].exchange.report_crash("e", CRASHING, clock[0])
        await settle()
        assert net.list_hosts_that_know() == set(net.hosts)
        net.hosts["a1"].exchange.report_served(CRASHING)
        await settle()
        assert net.list_hosts_that_know() == set()
        net.sent.clear()
        net.hosts["a1"].exchange.report_served(8)
        await settle()
        assert not net.sent, "only suspected requests are reported as served"

    asyncio.run(scenario())


def test_the_crash_of_a_full_engine_fits_into_one_packet_and_a_full_list_into_several(clock):
    net = Net("a1", "a2")
    longest = (1 << 63) - 1

    async def scenario():
        name = "i-" + "f" * 10 + "@1700000000000"
        for number in range(MAX_DIGESTS):
            net.hosts["a1"].exchange.report_crash(name, longest - number, clock[0])
        await settle()
        assert len(net.sent) == 1
        for number in range(300):
            net.hosts["a1"].quarantine.record_crash(Crash(f"{name}{number}", (number,), clock[0]))
        net.hosts["a1"].broadcaster.sync_joining_host("a2", clock[0])
        assert all(len(data) <= PACKET_BYTES for _, _, data in net.sent)
        assert sum(net.hosts["a2"].knows(number) for number in range(300)) == 256

    asyncio.run(scenario())


def count_senders(net, name):
    """Return the number of hosts that sent anything to a host."""
    return len({sender for sender, receiver, _ in net.sent if receiver == name})


def test_few_hosts_send_their_state_to_a_joining_host_however_many_there_are(clock):
    """Hosts that send rarely time out and are heard again all the time, by all the others.

    Guards against each of 60 hosts sending each of them its whole state: this was half of the
    traffic between regions.
    """
    net = Net(*(f"{region}{number}" for region in "abc" for number in range(20)))
    for host in net.hosts.values():
        host.quarantine.record_crash(Crash("e", (CRASHING,), clock[0]))

    async def scenario():
        for joining in ("a3", "b7", "c19"):
            host = net.hosts[joining]
            host.quarantine = host.exchange._quarantine = Quarantine(QuarantineSettings())
            net.sent.clear()
            for other in net.hosts.values():
                if other is not host:
                    other.broadcaster.sync_joining_host(joining, clock[0])
            assert host.knows()
            assert 2 <= count_senders(net, joining) <= 6

    asyncio.run(scenario())


def test_a_partitioned_region_receives_the_state_of_another_one(clock):
    """All hosts of a region were partitioned, so none of them has the missed updates."""
    net = Net(*(f"{region}{number}" for region in "abc" for number in range(6)))
    for name, host in net.hosts.items():
        if name[0] != "b":
            host.quarantine.record_crash(Crash("e", (CRASHING,), clock[0]))

    async def scenario():
        for name, host in net.hosts.items():
            for joining in (other for other in net.hosts if other[0] == "b" and other != name):
                host.broadcaster.sync_joining_host(joining, clock[0])
        assert all(host.knows() for host in net.hosts.values())

    asyncio.run(scenario())


def test_a_joining_host_receives_old_crashes_only_if_they_block_a_request(clock):
    net = Net("a1", "a2")
    quarantine = net.hosts["a1"].quarantine
    for number in range(3):
        quarantine.record_crash(Crash(f"held-{number}", (CRASHING,), clock[0]))
    quarantine.record_crash(Crash("old", (8,), clock[0]))
    clock[0] += crashes.SYNC_AGE_S + 1.0
    quarantine.record_crash(Crash("new", (9,), clock[0]))
    net.hosts["a1"].broadcaster.sync_joining_host("a2", clock[0])
    assert [net.hosts["a2"].knows(digest) for digest in (CRASHING, 8, 9)] == [3, 0, 1]


def test_rebroadcast_traffic_does_not_grow_with_the_square_of_the_hosts(clock):
    """Updates of the last seconds pass through a region of 100 hosts for as long as any arrive."""
    sent_per_round = {}
    for hosts in (10, 100):
        net = Net(*(f"a{number}" for number in range(hosts)))
        for host in net.hosts.values():
            host.quarantine.record_crash(Crash("e", (CRASHING,), clock[0]))
        for _ in range(20):
            for host in net.hosts.values():
                host.broadcaster.rebroadcast(clock[0] + 1.0)
        sent_per_round[hosts] = len(net.sent) / 20
    assert sent_per_round[100] < 2 * sent_per_round[10]


async def lose_engines(net, clock, name, count):
    """Let engines crash one after the other under a request of a host."""
    for _ in range(count):
        clock[0] += 0.5
        net.hosts[name].exchange.report_crash(f"e{clock[0]}", CRASHING, clock[0])
        await settle()


def list_blocking(net, now):
    return {
        name
        for name, host in net.hosts.items()
        if host.quarantine.get_block(CRASHING, now) is not None
    }


@pytest.mark.parametrize("server", ["a1", "b1"])
def test_a_request_that_another_host_has_served_is_not_blocked(clock, server):
    """Guards against a request that many send, refused where it had no answer of this host yet."""
    net = Net("a1", "a2", "a3", "b1", "b2")

    async def scenario():
        net.hosts[server].exchange.report_served(CRASHING)
        await settle()
        assert not net.sent
        await lose_engines(net, clock, "a2", 5)
        assert list_blocking(net, clock[0]) == set()
        assert net.list_hosts_that_know() == set()

    asyncio.run(scenario())


def test_a_request_that_turns_deadly_is_blocked_however_often_hosts_pass_on_its_last_answer(clock):
    """Guards against hosts that keep a request excused by what they heard from each other."""
    net = Net("a1", "a2", "b1", "b2")

    async def scenario():
        net.hosts["a1"].exchange.report_served(CRASHING)
        served_at = clock[0]
        for _ in range(5):
            clock[0] += 10.0
            await lose_engines(net, clock, "a2", 1)
        clock[0] = served_at + SERVED_IMMUNITY_S
        await lose_engines(net, clock, "a2", 3)
        assert list_blocking(net, clock[0]) == set(net.hosts)

    asyncio.run(scenario())


def test_few_hosts_of_a_large_region_say_that_a_request_was_served(clock):
    """Guards against all hosts of a region answering the report of one crash at once."""
    net = Net(*(f"a{number}" for number in range(80)))

    async def scenario():
        for name in list(net.hosts)[1:]:
            net.hosts[name].exchange.report_served(CRASHING)
        await lose_engines(net, clock, "a0", 1)
        assert len({sender for sender, _, _ in net.sent} - {"a0"}) <= 4 * REPLYING_HOSTS
        assert net.list_hosts_that_know() == set()

    asyncio.run(scenario())
