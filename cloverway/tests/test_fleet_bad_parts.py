"""Parts of prompts that crash engines, whatever else a request holds, on real hosts and sockets."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.bad_parts import (
    MAX_LATE_SENDS,
    BadPartFleet,
    Case,
    run_case,
)
from cloverway.tests.fleet.deployment import run_scenario, wait_for

MIN_BEGUN_SHARE = 0.5
"""Share of the sound requests that begin at the first try, once hosts must know the bad part."""
MIN_SOUND = 20
START_CONTACT_S = 6.0
"""How long hosts that have just started aren't bound, on the users' platform."""
CASES = {
    "among sound ones": Case(),
    "eight hosts": Case(hosts=("d1",) * 8, bad_rate=8.0),
    "two engines": Case(engines=("d1",) * 2),
    "engines that return late": Case(engines=("d1",) * 4, return_s=3.0, seconds=12.0),
    "two regions": Case(hosts=("d1", "d1", "d2", "d2"), engines=("d1",) * 3 + ("d2",) * 3),
    "not resumable": Case(is_resumable=False),
    "closed in order": Case(is_resumable=False, is_unframed=True),
    "before the first event": Case(before_first_event=True),
    "first of its prompt": Case(position=0),
    "few sound ones": Case(sound_rate=6.0, others=tuple(range(0x100, 0x140))),
    "served well before": Case(turns_bad_at=2.0, seconds=10.0),
    "a host that joins": Case(joins_at=4.0),
    "errors in between": Case(error_share=0.4, seconds=12.0),
    "crashes half of what begins": Case(crash_share=0.5, seconds=14.0),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_a_part_that_crashes_engines_is_held_back_and_sound_requests_are_not(case):
    """Guards against engines that crash one after the other under requests that are never alike.

    Each has one bad part. Sound requests share its other parts, and must begin as before.
    """

    async def scenario():
        async with run_case(case) as fleet:
            await fleet.play()
            print(fleet)
            assert len(fleet.crashes) >= 3
            assert fleet.late_sends <= MAX_LATE_SENDS
            begun, sound = fleet.sound_after
            assert sound >= MIN_SOUND
            assert begun >= MIN_BEGUN_SHARE * sound

    run_scenario(scenario)


async def lose_power(fleet: BadPartFleet, count: int, gap_s: float) -> None:
    """Crash all engines at the same moment, several times."""
    for _ in range(count):
        await asyncio.sleep(gap_s)
        for endpoint in list(fleet.running):
            fleet.crash(endpoint)


def test_no_part_is_held_back_after_losses_of_power():
    """Guards against shared parts, and so most requests, that are refused as if they were bad.

    All engines lose power at once, four times, and all requests share the first part.
    """

    async def scenario():
        case = Case(seconds=9.0, bad_rate=0.0)
        async with run_case(case) as fleet:
            await asyncio.gather(fleet.play(), lose_power(fleet, 4, 1.5))
            quarantines = [host.context.quarantine for host in fleet.fleet.hosts]
            assert [q.count_blocked(read_clock()) for q in quarantines] == [0, 0]
            last = [call for call in fleet.calls if call.at > case.seconds - 1.0]
            assert len(last) > MIN_SOUND / 2
            assert all(call.is_whole for call in last)

    run_scenario(scenario)


def test_a_host_that_is_passed_a_request_knows_the_bad_part():
    """Guards against a region that learns of a bad part only by its own engines."""

    async def scenario():
        case = Case(hosts=("d1", "d2"), engines=("d1",) * 4, seconds=5.0, sound_rate=0.0)
        async with run_case(case) as fleet:
            far = fleet.fleet.hosts[1]
            await wait_for(lambda: any("model" in p.advertised for p in far.members.peers.values()))
            await fleet.play()
            assert fleet.late_sends <= MAX_LATE_SENDS

    run_scenario(scenario)


def test_hosts_that_all_restart_in_turn_know_the_bad_part():
    """Guards against a part that crashes engines again after each host has been replaced."""

    async def scenario():
        case = Case(seconds=7.0, sound_rate=4.0)
        async with run_case(case) as fleet:
            await fleet.play()
            crashes = len(fleet.crashes)
            for old in list(fleet.fleet.hosts):
                new = await fleet.fleet.add_host()
                await wait_for(lambda new=new: len(new.context.bad_parts.suspects) > 0)
                await fleet.fleet.stop(old)
            await fleet.play_again(2.0)
            assert len(fleet.crashes) == crashes

    run_scenario(scenario)


@pytest.mark.parametrize("pause_s", [0.0, START_CONTACT_S], ids=["at once", "after a pause"])
def test_hosts_that_all_start_at_once_find_the_bad_part_again(pause_s):
    """Guards against a part that crashes engine after engine once all hosts have forgotten it.

    Hosts that have just started aren't bound until they have been in contact for some time.
    """

    async def scenario():
        async with run_case(Case(seconds=7.0)) as fleet:
            await fleet.play()
            started_at = await fleet.restart_all_hosts()
            await asyncio.sleep(pause_s)
            await fleet.play_again(START_CONTACT_S + 4.0)
            bound_from = started_at + START_CONTACT_S
            assert sum(at > bound_from for at in fleet.bad_sends) <= MAX_LATE_SENDS

    run_scenario(scenario)
