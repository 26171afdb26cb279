"""Exchange of suspected parts of prompts between hosts, without a network."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.core.bad_parts import FIRST_BLOCK_S, PROVEN, UNPROVEN
from cloverway.core.part_crashes import PartCrash
from cloverway.serving.hosts import bad_parts, broadcast
from cloverway.serving.hosts.bad_parts import HOST_TRIAL_S, REGION_TRIAL_S, PartExchange
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, REPLYING_HOSTS
from cloverway.serving.telemetry import Metrics
from cloverway.tests.update_net import PACKET_BYTES, UpdateNet

BAD, FIRST = 7, 8
HOSTS = ("a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2")


@pytest.fixture
def clock(monkeypatch):
    """A clock set by the test; timers of the event loop are not affected."""
    times = [1_000.0]
    monkeypatch.setattr(bad_parts, "read_clock", lambda: times[0])
    monkeypatch.setattr(broadcast, "read_clock", lambda: times[0])
    return times


def make_net(*names):
    return UpdateNet(lambda members: PartExchange(members, 1800.0, Metrics()), *names)


async def settle():
    """Let updates pass over three hosts."""
    for _ in range(3):
        await asyncio.sleep(1.5 * BROADCAST_DELAY_S)


async def crash(net, clock, count, *parts):
    """Let engines crash one after the other, each reported by another host."""
    for number in range(count):
        clock[0] += 1.0
        name = HOSTS[number % len(net.hosts)]
        report = PartCrash(f"e{clock[0]}", parts, clock[0])
        net.hosts[name].exchange.report_crash(report)
        await settle()


def list_blocked(net, clock, part=BAD):
    return {
        name
        for name, host in net.hosts.items()
        if host.exchange.suspects.find_block((part,), clock[0]) is not None
    }


def test_all_hosts_of_all_regions_hold_back_a_bad_part(clock):
    """Guards against engines that crash in each region, as its hosts learn only by their own."""
    net = make_net(*HOSTS)

    async def scenario():
        await crash(net, clock, UNPROVEN.block - 1, FIRST, BAD)
        net.hosts["c2"].exchange.report_served((FIRST,), clock[0] + 0.5)
        await settle()
        await crash(net, clock, 1, FIRST, BAD)
        assert list_blocked(net, clock) == set(HOSTS)
        assert list_blocked(net, clock, FIRST) == set()

    asyncio.run(scenario())


def test_a_host_that_missed_the_crashes_is_told_when_it_is_heard_again(clock):
    net = make_net("a1", "a2")
    net.lost = lambda sender, receiver: receiver == "a2"

    async def scenario():
        for number in range(UNPROVEN.block):
            report = PartCrash(f"e{number}", (BAD,), clock[0] + number)
            net.hosts["a1"].exchange.report_crash(report)
        await settle()
        net.lost = lambda sender, receiver: False
        clock[0] += 4.0
        net.hosts["a1"].broadcaster.sync_joining_host("a2", clock[0])
        assert list_blocked(net, clock) == {"a1", "a2"}

    asyncio.run(scenario())


def test_one_region_and_one_host_try_a_part_again_before_the_others(clock):
    """Guards against as many further crashes as there are hosts, when a block ends everywhere."""
    net = make_net(*HOSTS)
    for host in net.hosts.values():
        host.members.is_alive = lambda peer, now: True

    async def scenario():
        await crash(net, clock, UNPROVEN.block, BAD)
        ended_at = clock[0] + FIRST_BLOCK_S
        free = []
        for step in range(40):
            clock[0] = ended_at + step * HOST_TRIAL_S / 2
            free.append(set(HOSTS) - list_blocked(net, clock))
        assert len(free[0]) == 1
        first_region = next(iter(free[0]))[0]
        until = int(REGION_TRIAL_S / (HOST_TRIAL_S / 2))
        assert all(name[0] == first_region for hosts in free[:until] for name in hosts)
        assert free[-1] == set(HOSTS)

    asyncio.run(scenario())


def test_each_message_fits_into_one_packet(clock):
    """Guards against lost reports of a crash with all slots in use and many parts in each."""
    net = make_net("a1", "a2")
    longest = (1 << 63) - 1

    async def scenario():
        name = "i-" + "f" * 10 + "@1700000000000"
        for number in range(64):
            parts = tuple(longest - 32 * number - part for part in range(32))
            net.hosts["a1"].exchange.report_crash(PartCrash(name, parts, clock[0]))
        net.hosts["a2"].exchange.report_served(range(300), clock[0])
        await settle()
        assert net.sent
        assert max(len(data) for _, _, data in net.sent) <= PACKET_BYTES
        assert len(net.hosts["a2"].exchange.suspects) == 64 * 32

    asyncio.run(scenario())


async def crash_two_parts(net, clock, name, count):
    """Let engines crash under two bad parts in turn, with the first part of all prompts."""
    for number in range(count):
        clock[0] += 1.0
        parts = (FIRST, BAD + 10 * (number % 2))
        net.hosts[name].exchange.report_crash(PartCrash(f"e{clock[0]}", parts, clock[0]))
        await settle()


@pytest.mark.parametrize("server", ["a1", "b1"])
def test_a_part_that_another_host_has_served_is_not_blamed_for_two_bad_ones(clock, server):
    """Guards against the part that all prompts share, blamed by hosts without an answer of it."""
    net = make_net("a1", "a2", "a3", "b1", "b2")

    async def scenario():
        net.hosts[server].exchange.report_served((FIRST,), clock[0])
        await settle()
        assert not net.sent
        await crash_two_parts(net, clock, "a2", 2 * UNPROVEN.block)
        assert list_blocked(net, clock, FIRST) == set()
        assert list_blocked(net, clock) == set(net.hosts)

    asyncio.run(scenario())


def test_a_host_that_joins_learns_which_parts_were_served(clock):
    """Guards against a host that starts, and takes the first part for the one that crashes."""
    net = make_net("a1", "a2")
    net.lost = lambda sender, receiver: receiver == "a2"

    async def scenario():
        net.hosts["a1"].exchange.report_served((FIRST,), clock[0])
        await crash_two_parts(net, clock, "a1", 2 * UNPROVEN.block)
        net.lost = lambda sender, receiver: False
        net.hosts["a1"].broadcaster.sync_joining_host("a2", clock[0])
        assert list_blocked(net, clock, FIRST) == set()
        assert list_blocked(net, clock) == set(net.hosts)

    asyncio.run(scenario())


def test_few_hosts_of_a_large_region_say_which_parts_were_served(clock):
    """Guards against all hosts of a region answering the report of one crash at once."""
    net = make_net(*(f"a{number}" for number in range(80)))

    async def scenario():
        for name in list(net.hosts)[1:]:
            net.hosts[name].exchange.report_served((FIRST,), clock[0])
        await crash(net, clock, 1, FIRST, BAD)
        assert len({sender for sender, _, _ in net.sent} - {"a1"}) <= 4 * REPLYING_HOSTS
        thresholds = {host.exchange.suspects._get_thresholds(FIRST) for host in net.hosts.values()}
        assert thresholds == {PROVEN}

    asyncio.run(scenario())
