"""Endpoints that seemed to crash under a request are queried for their incarnation."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from cloverway.core.quarantine import Crash
from cloverway.serving.clock import read_clock
from cloverway.serving.requests import incarnations
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service

DIGEST = 7
SUSPECTED = b"suspected"


@asynccontextmanager
async def run_engine(born: int | None = 1):
    """Run a host and an engine whose entry has its start time; yield fleet, engine and host."""
    async with run_fleet(endpoints=0) as fleet:
        more = {} if born is None else {"born": born}
        engine = await fleet.add_endpoint("engine", "model", **more)
        (host,) = fleet.hosts
        await wait_for(lambda: "engine" in host.directory.endpoints)
        yield fleet, engine, host


def pretend_crash(host, digest: int = DIGEST):
    """Record a crash of the engine under a request; return the engine as the host knows it."""
    known = host.directory.endpoints["engine"]
    host.context.quarantine.record_crash(Crash(known.entry.incarnation, (digest,), read_clock()))
    return known


def test_an_engine_that_reset_a_connection_serves_the_same_request_at_once():
    """The only engine of a region resets one connection and keeps running.

    If the request were kept away until others have been served there, its caller would be refused.
    """

    async def scenario():
        async with run_engine() as (fleet, engine, host):
            engine.answer = engine.abort_connection
            assert (await fleet.call("/cut/a", body=SUSPECTED)).status == 502
            (crash,) = host.context.quarantine.list_updates(0.0, 9).crashes
            engine.answer = engine.answer_ok
            assert (await fleet.call("/cut/a", body=SUSPECTED)).status == 200
            assert engine.state_requests == 1
            assert not host.context.quarantine.has_crashed(crash.digests[0], crash.incarnation)

    run_scenario(scenario)


def test_a_crashed_engine_is_not_sent_the_request():
    async def scenario():
        async with run_engine() as (_, engine, host):
            known = pretend_crash(host)
            engine.crash()
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.is_down(read_clock())
            assert host.context.quarantine.has_crashed(DIGEST, known.entry.incarnation)

    run_scenario(scenario)


def test_an_engine_that_does_not_answer_the_query_is_not_sent_the_request(monkeypatch):
    """The engine lost power or its link is cut; the query times out."""
    monkeypatch.setattr(incarnations, "QUERY_TIMEOUT_S", 0.05)

    async def scenario():
        async with run_engine() as (_, engine, host):
            known = pretend_crash(host)
            engine.answer_state = engine.never_answer
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.load.count_failures(read_clock()) > 0

    run_scenario(scenario)


def test_a_restart_is_known_before_its_entry_and_treated_as_cold():
    """An engine restarted and its entry is late; with the full load it would crash again."""

    async def scenario():
        async with run_engine() as (fleet, engine, host):
            fleet.publish(
                [make_route("cut", "streaming", "model")],
                [make_service("model", coldS=20.0, coldPerS=2.0)],
            )
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            known = pretend_crash(host)
            engine.start_time_ms = 5
            assert not await host.context.incarnations.may_send(known, DIGEST)
            restarted = host.directory.endpoints["engine"]
            assert restarted.entry.started_ms == 5
            assert restarted.is_cold(read_clock() + 15.0)
            assert await host.context.incarnations.may_send(restarted, DIGEST), "no crash there yet"
            assert engine.state_requests == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("published", "answered", "state_requests"), [(1, None, 1), (None, 1, 0), (5, 1, 1)], ids=str
)
def test_an_engine_without_a_comparable_start_time_is_used_as_before(
    published, answered, state_requests
):
    """The engine or its entry has no start time, or the engine states an earlier one."""

    async def scenario():
        async with run_engine(published) as (_, engine, host):
            known = pretend_crash(host)
            engine.start_time_ms = answered
            assert await host.context.incarnations.may_send(known, DIGEST)
            assert host.context.quarantine.has_crashed(DIGEST, known.entry.incarnation)
            assert engine.state_requests == state_requests

    run_scenario(scenario)


def test_a_misdirected_query_counts_as_gone():
    async def scenario():
        async with run_engine() as (_, engine, host):
            known = pretend_crash(host)

            async def misdirect(exchange):
                await exchange.answer(421, [], b"")

            engine.answer_state = misdirect
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.is_leaving(read_clock())

    run_scenario(scenario)


def test_one_query_serves_all_requests_of_a_crashed_engine():
    """Sixty requests return at the same moment; cancelling one doesn't cancel the query."""

    async def scenario():
        async with run_engine() as (_, engine, host):
            for digest in range(60):
                known = pretend_crash(host, digest)
            checks = [
                asyncio.create_task(host.context.incarnations.may_send(known, digest))
                for digest in range(60)
            ]
            await asyncio.sleep(0)
            checks[0].cancel()
            assert await asyncio.gather(*checks[1:]) == [True] * 59
            assert engine.state_requests == 1

    run_scenario(scenario)


def test_a_request_without_crashes_causes_no_query():
    async def scenario():
        async with run_engine() as (fleet, engine, host):
            pretend_crash(host)
            assert (await fleet.call("/cut/a")).status == 200
            assert engine.state_requests == 0

    run_scenario(scenario)
