"""Malformed entries and restarting endpoints under load, on real hosts and sockets."""

from __future__ import annotations

import asyncio
import math
from contextlib import asynccontextmanager

from cloverway.core.endpoint import REFUSED_BACKOFF_S
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service, make_shared_prefix_headers

ENGINE = {"slots": 8, "kvTokens": 300_000, "kvTokenBytes": 18_432, "linkMbps": 180_000}


def list_usable(fleet):
    endpoints = fleet.hosts[0].directory.list_usable("desk", read_clock())
    return {endpoint.entry.id for endpoint in endpoints}


def get_entry(fleet, name):
    return fleet.hosts[0].directory.endpoints[name].entry


@asynccontextmanager
async def keep_calling(fleet, path):
    """Send requests one after the other while the block runs; yield the list of replies."""
    replies = []

    async def call():
        while True:
            replies.append(await fleet.call(path))
            await asyncio.sleep(0.005)

    callers = [asyncio.create_task(call()) for _ in range(4)]
    try:
        yield replies
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


def test_an_entry_becomes_malformed_and_valid_again_under_load():
    """Another writer overwrites the entry of one of two endpoints, which writes it again.

    While the entry is malformed, the other endpoint must get all requests. The entry must be in
    force again as soon as it is valid.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            malformed = (b"{" * 90_000, b'{"service": {}}', b"\xff", b"1e999")
            async with keep_calling(fleet, "/once/") as replies:
                for value in malformed:
                    fleet.store.put_bytes("servers/desk-0", value)
                    await wait_for(lambda: list_usable(fleet) == {"desk-1"}, 2.5)
                    await asyncio.sleep(0.05)
                    before = len(first.requests)
                    await asyncio.sleep(0.2)
                    assert len(first.requests) == before
                    fleet.store.put("servers/desk-0", first.make_entry(sequence=7))
                    await wait_for(lambda: list_usable(fleet) == {"desk-0", "desk-1"}, 2.5)
            assert {reply.status for reply in replies} == {200}
            assert fleet.hosts[0].directory.endpoints.keys() >= {"model-0", "model-1"}

    run_scenario(scenario)


def test_malformed_entries_do_not_delay_valid_ones():
    async def scenario():
        async with run_fleet(hosts=0) as fleet:
            fleet.store.page_size = 500
            for number in range(1_000):
                fleet.store.put_bytes(f"servers/a-{number}", b"\xff" * 300)
            host = await fleet.add_host()
            await wait_for(lambda: len(host.directory.endpoints) == 4, 2.0)
            assert (await fleet.call("/safe/")).status == 200

    run_scenario(scenario)


def test_an_endpoint_restarts_under_load():
    """It drains, stops and restarts under its id, at the same address, while requests arrive.

    The new incarnation must be used from its first entry on, over new connections, and no request
    may be lost.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            first = fleet.endpoints["desk-0"]
            fleet.store.put("servers/desk-0", first.make_entry(born=1_000))
            await wait_for(lambda: get_entry(fleet, "desk-0").started_ms == 1_000)
            await fleet.call("/once/")
            old = [exchange.connection for exchange in first.requests]
            fleet.store.put("servers/desk-0", first.make_entry(born=1_000, state="draining"))
            await wait_for(lambda: get_entry(fleet, "desk-0").draining)
            fleet.store.put("servers/desk-0", first.make_entry(born=2_000))
            began = read_clock()
            await wait_for(lambda: get_entry(fleet, "desk-0").started_ms == 2_000)
            count = len(first.requests)
            assert (await fleet.call("/once/")).status == 200
            assert read_clock() - began < 1.0
            assert first.requests[count].connection not in old
            # The last entry of the previous incarnation arrives late.
            fleet.store.put("servers/desk-0", first.make_entry(born=1_000, state="draining"))
            await asyncio.sleep(1.2)
            assert (await fleet.call("/once/")).status == 200

    run_scenario(scenario)


def test_no_segments_are_fetched_from_a_restarted_engine():
    """An engine with a shared prefix crashes and restarts under its id with an empty KV cache.

    Another engine that tried to fetch the prefix from it would find nothing, and would prefill it
    after the delay.
    """

    async def scenario():
        async with run_fleet() as fleet:
            route = make_route("cut", "streaming", "model")
            fleet.publish([route], [make_service("model", engine=ENGINE)])
            host = fleet.hosts[0]
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            engines = [fleet.endpoints[name] for name in ("model-0", "model-1")]
            for engine in engines:
                engine.answer = engine.stream(1, 2)
                fleet.store.put(f"servers/{engine.name}", engine.make_entry(born=1_000))
            known = host.directory.endpoints
            await wait_for(lambda: all(get_entry(fleet, e.name).started_ms for e in engines))
            await fleet.call("/cut/", headers=make_shared_prefix_headers(1, 1_000))
            holder = next(engine for engine in engines if engine.requests)
            await wait_for(lambda: not known[holder.name].load.estimate_backlog(read_clock()))
            fleet.store.put(f"servers/{holder.name}", holder.make_entry(born=2_000))
            await wait_for(lambda: get_entry(fleet, holder.name).started_ms == 2_000)
            await fleet.call("/cut/", headers=make_shared_prefix_headers(3, 1_000))
            sent = [exchange for engine in engines for exchange in engine.requests]
            assert len(sent) == 2
            assert all(b"kv-fetch" not in dict(exchange.headers) for exchange in sent)

    run_scenario(scenario)


def test_an_address_taken_over_by_another_endpoint_is_not_tried_by_each_request():
    """Another endpoint answers at the address of an endpoint whose entry still exists.

    Otherwise each request sent there would get 421 and have to be sent again.
    """

    async def scenario():
        async with run_fleet() as fleet:
            first = fleet.endpoints["desk-0"]
            first.answer = lambda exchange: exchange.answer(421, [], b"")
            replies = [await fleet.call("/once/") for _ in range(12)]
            assert {reply.body for reply in replies} == {b"ran at desk-1"}
            assert len(first.requests) <= 1

    run_scenario(scenario)


def test_an_endpoint_that_refuses_connections_is_not_tried_for_a_moment():
    """An endpoint crashes; its entry remains for some seconds, and the other endpoint is full.

    Each request queued for the other one would first try the crashed one: 446 of 880 failed
    attempts in an incident.
    """

    async def scenario():
        async with run_fleet() as fleet:
            fleet.endpoints["desk-0"].crash()
            busy = fleet.endpoints["desk-1"]
            fleet.store.put("servers/desk-1", busy.make_entry(slots=1, sequence=2))
            await wait_for(lambda: get_entry(fleet, "desk-1").slots == 1)

            async def answer_slowly(exchange):
                await asyncio.sleep(0.05)
                await busy.answer_ok(exchange)

            busy.answer = answer_slowly
            opened = []
            fleet.hosts[0].context.pool._on_connect = opened.append
            began = read_clock()
            for count in (2, 8):
                calls = [asyncio.create_task(fleet.call("/safe/a")) for _ in range(count)]
                assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
            tries = 2 + math.ceil((read_clock() - began) / REFUSED_BACKOFF_S)
            assert opened.count(fleet.endpoints["desk-0"].address) <= tries

    run_scenario(scenario)


def test_one_request_tries_an_endpoint_again_that_refused_connections():
    """Guards against a burst of failed attempts each time that a crashed endpoint is tried again.

    Half a second after its refusal the endpoint counts as idle, and all queued requests would be
    sent there at once. One of them is enough to tell whether it listens again.
    """

    async def scenario():
        async with run_fleet() as fleet:
            crashed, busy = fleet.endpoints["desk-0"], fleet.endpoints["desk-1"]
            crashed.crash()
            fleet.store.put("servers/desk-1", busy.make_entry(slots=1, sequence=2))
            await wait_for(lambda: get_entry(fleet, "desk-1").slots == 1)

            async def answer_slowly(exchange):
                await asyncio.sleep(0.03)
                await busy.answer_ok(exchange)

            busy.answer = answer_slowly
            opened = []
            fleet.hosts[0].context.pool._on_connect = opened.append
            while crashed.address not in opened:
                calls = [asyncio.create_task(fleet.call("/safe/a")) for _ in range(2)]
                await asyncio.gather(*calls)
            await asyncio.sleep(REFUSED_BACKOFF_S)
            opened.clear()
            calls = [asyncio.create_task(fleet.call("/safe/a")) for _ in range(8)]
            assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
            assert opened.count(crashed.address) <= 1
            await crashed.restart()
            async with asyncio.timeout(5.0):
                while len(crashed.requests) < 2:
                    calls = [asyncio.create_task(fleet.call("/safe/a")) for _ in range(4)]
                    await asyncio.gather(*calls)

    run_scenario(scenario)


def test_requests_are_queued_while_the_only_endpoint_restarts():
    """The only endpoint of a service crashes, and listens again half a second later.

    A request that never retried an endpoint after a refused connection would itself be refused.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            endpoint.crash()
            calls = [asyncio.create_task(fleet.call("/once/a")) for _ in range(5)]
            await asyncio.sleep(0.3)
            await endpoint.start()
            replies = await asyncio.gather(*calls)
            assert {reply.status for reply in replies} == {200}

    run_scenario(scenario)
