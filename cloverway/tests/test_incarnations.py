"""Endpoints that seemed to end under a request are asked which life of them is there."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from cloverway.core.quarantine import Crash
from cloverway.serving.clock import read_clock
from cloverway.serving.requests import incarnations
from cloverway.tests.fleet.deployment import play, run_fleet, wait_for
from cloverway.tests.fleet.standins import make_route, make_service

DIGEST = 7
SUSPECTED = b"suspected"


@asynccontextmanager
async def run_engine(born: int | None = 1):
    """Run a host and an engine whose entry tells its start; give both, as the host knows it."""
    async with run_fleet(endpoints=0) as fleet:
        more = {} if born is None else {"born": born}
        engine = await fleet.add_endpoint("engine", "model", **more)
        (host,) = fleet.hosts
        await wait_for(lambda: "engine" in host.directory.endpoints)
        yield fleet, engine, host


def note_end(host, digest: int = DIGEST):
    """Let the engine seem to end under a request; give what the host knows of the engine."""
    known = host.directory.endpoints["engine"]
    host.context.quarantine.note_crash(Crash(known.entry.life, (digest,), read_clock()))
    return known


def test_an_engine_whose_connection_was_reset_serves_the_same_caller_again_at_once():
    """The only engine of a region has reset one connection, and goes on serving.

    Kept away from it until others have been served there, the caller would be refused.
    """

    async def scenario():
        async with run_engine() as (fleet, engine, host):
            engine.answer = engine.break_off
            assert (await fleet.call("/cut/a", body=SUSPECTED)).status == 502
            (crash,) = host.context.quarantine.list_news(0.0, 9).crashes
            engine.answer = engine.answer_plainly
            assert (await fleet.call("/cut/a", body=SUSPECTED)).status == 200
            assert engine.questions == 1
            assert not host.context.quarantine.has_ended(crash.digests[0], crash.life)

    play(scenario)


def test_an_engine_that_is_gone_is_not_sent_what_seemed_to_end_it():
    async def scenario():
        async with run_engine() as (_, engine, host):
            known = note_end(host)
            engine.crash()
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.is_down(read_clock())
            assert host.context.quarantine.has_ended(DIGEST, known.entry.life)

    play(scenario)


def test_an_engine_that_says_nothing_is_not_sent_it(monkeypatch):
    """Its power was lost, or its link is cut: the question is given up soon."""
    monkeypatch.setattr(incarnations, "QUERY_TIMEOUT_S", 0.05)

    async def scenario():
        async with run_engine() as (_, engine, host):
            known = note_end(host)
            engine.tell_state = engine.answer_never
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.load.failures(read_clock()) > 0

    play(scenario)


def test_a_later_life_is_known_before_its_entry_and_taken_for_cold():
    """An engine is back and its entry is late; loaded like the one before, it would end again."""

    async def scenario():
        async with run_engine() as (fleet, engine, host):
            fleet.publish(
                [make_route("cut", "streaming", "model")],
                [make_service("model", coldS=20.0, coldPerS=2.0)],
            )
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            known = note_end(host)
            engine.born = 5
            assert not await host.context.incarnations.may_send(known, DIGEST)
            reborn = host.directory.endpoints["engine"]
            assert reborn.entry.born_ms == 5
            assert reborn.is_cold(read_clock() + 15.0)
            assert await host.context.incarnations.may_send(
                reborn, DIGEST
            ), "nothing ended there yet"
            assert engine.questions == 1

    play(scenario)


@pytest.mark.parametrize(
    ("told", "said", "questions"), [(1, None, 1), (None, 1, 0), (5, 1, 1)], ids=str
)
def test_an_engine_that_cannot_be_told_from_the_life_before_is_used_as_before(
    told, said, questions
):
    """It doesn't say when it started, its entry doesn't, or it names an earlier start."""

    async def scenario():
        async with run_engine(told) as (_, engine, host):
            known = note_end(host)
            engine.born = said
            assert await host.context.incarnations.may_send(known, DIGEST)
            assert host.context.quarantine.has_ended(DIGEST, known.entry.life)
            assert engine.questions == questions

    play(scenario)


def test_another_endpoint_at_the_address_is_no_sign_of_life():
    async def scenario():
        async with run_engine() as (_, engine, host):
            known = note_end(host)

            async def misdirect(exchange):
                await exchange.answer(421, [], b"")

            engine.tell_state = misdirect
            assert not await host.context.incarnations.may_send(known, DIGEST)
            assert known.is_leaving(read_clock())

    play(scenario)


def test_an_engine_is_asked_once_for_all_requests_that_it_took_along():
    """Sixty requests come back at the same moment; the one that gives up first ends no question."""

    async def scenario():
        async with run_engine() as (_, engine, host):
            for digest in range(60):
                known = note_end(host, digest)
            asks = [
                asyncio.create_task(host.context.incarnations.may_send(known, digest))
                for digest in range(60)
            ]
            await asyncio.sleep(0)
            asks[0].cancel()
            assert await asyncio.gather(*asks[1:]) == [True] * 59
            assert engine.questions == 1

    play(scenario)


def test_a_request_that_nothing_ended_under_asks_nobody():
    async def scenario():
        async with run_engine() as (fleet, engine, host):
            note_end(host)
            assert (await fleet.call("/cut/a")).status == 200
            assert engine.questions == 0

    play(scenario)
