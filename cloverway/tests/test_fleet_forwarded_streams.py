"""Streams that a host forwards to another region, where one of the two hosts falls silent.

The hosts are processes. A link that drops all data stands for a network partition: nobody is told
that a connection has ended.
"""

from __future__ import annotations

import asyncio
import signal

import pytest

from cloverway.serving.http.client import ResponseError
from cloverway.tests.fleet.deployment import run_scenario, wait_for
from cloverway.tests.fleet.separated import (
    EVENT_INTERVAL_S,
    EVENTS,
    find_overlap_s,
    run_separated_fleet,
)
from cloverway.tests.fleet.works import MAX_OVERLAP_S
from cloverway.tests.standins.links import TO_CALLER, TO_TARGET

CALLER_PATIENCE_S = 4.8
"""Time without an event after which a caller takes its stream up elsewhere."""
GIVE_UP_S = 5.0
"""Time within which the forwarding host has gone on elsewhere."""
SILENCES = {
    "all connections": lambda link: link.blackhole(),
    "connections that are open": lambda link: link.blackhole_open(),
    "data to the south": lambda link: link.blackhole(TO_TARGET),
    "data to the north": lambda link: link.blackhole(TO_CALLER),
}


async def begin_in_south(fleet, events):
    """Begin a stream in the south, and let the north have an endpoint from then on."""
    caller = await fleet.begin_stream("first", fleet.entry)
    await caller.read_events(events)
    await fleet.add_endpoint(fleet.near_endpoint)
    await wait_for(lambda: fleet.knows(fleet.near_endpoint))
    return caller


async def measure_overlap_s(fleet):
    """Return how long both endpoints worked on the stream, once one of them has ended."""
    await asyncio.sleep(2 * MAX_OVERLAP_S)
    return find_overlap_s(fleet.far_endpoint, fleet.near_endpoint)


async def read_on(caller):
    try:
        await caller.read_events(EVENTS, 2 * EVENTS * EVENT_INTERVAL_S)
    except (ResponseError, TimeoutError):
        return


@pytest.mark.parametrize("silent_after", [EVENTS, 3])
@pytest.mark.parametrize("silence", [name for name in SILENCES if name != "data to the south"])
def test_an_endpoint_stops_before_another_one_goes_on_behind_a_silent_link(
    tmp_path, silence, silent_after
):
    """Guards against two endpoints at work on one stream, as the close of the first is lost."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            fleet.far_endpoint.silent_after = silent_after
            caller = await begin_in_south(fleet, 3)
            SILENCES[silence](fleet.link)
            reading = asyncio.create_task(read_on(caller))
            await wait_for(lambda: fleet.near_endpoint.begun, GIVE_UP_S)
            assert await measure_overlap_s(fleet) <= MAX_OVERLAP_S
            reading.cancel()

    run_scenario(scenario)


def test_an_endpoint_stops_before_another_one_begins_behind_a_silent_link(tmp_path):
    """Guards against two endpoints at work on one stream that has no event yet."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            fleet.far_endpoint.silent_after = 0
            beginning = asyncio.create_task(fleet.begin_stream("first", fleet.entry))
            await wait_for(lambda: fleet.far_endpoint.begun)
            await fleet.add_endpoint(fleet.near_endpoint)
            fleet.link.blackhole()
            await wait_for(lambda: fleet.near_endpoint.begun, GIVE_UP_S)
            assert await measure_overlap_s(fleet) <= MAX_OVERLAP_S
            beginning.cancel()

    run_scenario(scenario)


def test_an_endpoint_stops_before_its_stream_is_taken_up_from_a_stopped_host(tmp_path):
    """Guards against two endpoints at work on one stream, whose caller leaves a stopped host."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            caller = await begin_in_south(fleet, 3)
            fleet.entry.process.pause()
            await asyncio.sleep(CALLER_PATIENCE_S)
            caller = await fleet.take_up("second", fleet.other, caller)
            assert await measure_overlap_s(fleet) <= MAX_OVERLAP_S

    run_scenario(scenario)


def test_an_endpoint_stops_before_its_stream_is_taken_up_from_a_killed_host(tmp_path):
    """Guards against two endpoints at work on one stream, as its host is killed behind a cut.

    The caller sees its connection end and takes the stream up at once.
    """

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            caller = await begin_in_south(fleet, 3)
            fleet.link.blackhole()
            fleet.entry.process.kill()
            await fleet.take_up("second", fleet.other, caller)
            assert await measure_overlap_s(fleet) <= MAX_OVERLAP_S

    run_scenario(scenario)


def test_a_host_that_nobody_hears_stops_its_endpoint(tmp_path):
    """Guards against an engine that works on for a caller whose host can't say that it has left."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            caller = await begin_in_south(fleet, 3)
            SILENCES["data to the south"](fleet.link)
            caller.exchange.connection.abort()
            await wait_for(lambda: not fleet.far_endpoint.begun, GIVE_UP_S)

    run_scenario(scenario)


def test_a_forwarded_stream_that_pauses_is_not_given_up(tmp_path):
    """Guards against a host that takes an engine's pause for the end of its caller's interest."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            fleet.far_endpoint.pauses = {5: 1.9, 15: 1.9}
            caller = await fleet.begin_stream("first", fleet.entry)
            await caller.read_events(EVENTS, 2 * EVENTS * EVENT_INTERVAL_S)
            assert caller.events == list(range(1, EVENTS + 1))
            assert len(fleet.far_endpoint.works) + len(fleet.far_endpoint.begun) == 1

    run_scenario(scenario)


def test_a_forwarded_stream_outlasts_a_pause_of_the_host_that_runs_it(tmp_path):
    """Guards against a host that takes its own suspension for silence of the forwarding host."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            caller = await begin_in_south(fleet, 3)
            fleet.far.process.pause()
            await asyncio.sleep(1.9)
            fleet.far.process.send(signal.SIGCONT)
            await caller.read_events(EVENTS, 2 * EVENTS * EVENT_INTERVAL_S)
            assert caller.events == list(range(1, EVENTS + 1))
            assert not fleet.near_endpoint.works and not fleet.near_endpoint.begun

    run_scenario(scenario)


def test_a_forwarded_stream_outlasts_a_caller_that_does_not_read(tmp_path):
    """Guards against a host that gives a stream up because its caller reads slowly."""

    async def scenario():
        async with run_separated_fleet(tmp_path) as fleet:
            fleet.far_endpoint.event_bytes, fleet.far_endpoint.interval_s = 200_000, 0.1
            caller = await fleet.begin_stream("first", fleet.entry)
            await caller.read_events(1)
            await asyncio.sleep(CALLER_PATIENCE_S)
            await caller.read_events(EVENTS, 2 * EVENTS * EVENT_INTERVAL_S)
            assert caller.events == list(range(1, EVENTS + 1))
            assert len(fleet.far_endpoint.works) + len(fleet.far_endpoint.begun) == 1

    run_scenario(scenario)
