"""Endpoints that state in their responses that they leave, on real hosts and sockets."""

from __future__ import annotations

import asyncio

from cloverway.core.statements import Statement
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for

DRAIN_S = 4.0
"""Time after an endpoint's announcement from which it must get no more requests."""


class LeavingEndpoint:
    """An endpoint that announces its leaving in responses, but not in the store."""

    def __init__(self, endpoint) -> None:
        self.endpoint = endpoint
        self.is_leaving = False
        self.arrivals = []
        endpoint.answer = self.answer

    async def answer(self, exchange):
        self.arrivals.append(read_clock())
        headers = self.endpoint.make_head(exchange)
        if self.is_leaving:
            headers.append((b"Server-Leaving", b"1"))
        await exchange.answer(200, headers, b"ran at " + self.endpoint.name.encode())


async def send_load(fleet, host, seconds, per_s=20):
    """Send requests to a host for some seconds; return the statuses of the replies."""
    calls = []
    for _ in range(int(seconds * per_s)):
        calls.append(asyncio.create_task(fleet.call("/safe/a", host)))
        await asyncio.sleep(1 / per_s)
    return {reply.status for reply in await asyncio.gather(*calls)}


def test_a_leaving_endpoint_gets_no_requests_even_without_the_store():
    """Guards against relying on the entry alone, which isn't updated while the store is down."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=2) as fleet:
            leaving = LeavingEndpoint(fleet.endpoints["desk-0"])
            fleet.store.silent = True
            leaving.is_leaving = True
            await send_load(fleet, fleet.hosts[0], 0.5)
            announced_at = read_clock()
            assert leaving.arrivals
            assert await send_load(fleet, fleet.hosts[0], DRAIN_S + 1.5) == {200}
            assert max(leaving.arrivals) < announced_at + DRAIN_S

    run_scenario(scenario)


def test_a_host_avoids_a_leaving_endpoint_that_only_another_host_knew_of():
    """Guards against a request from each host of a region until each has got the announcement."""

    async def scenario():
        async with run_fleet(hosts=2, endpoints=2) as fleet:
            leaving = LeavingEndpoint(fleet.endpoints["desk-0"])
            first, second = fleet.hosts
            await wait_for(lambda: all(len(h.members.peers) == 1 for h in fleet.hosts))
            leaving.is_leaving = True
            await wait_until_leaving_is_known(fleet, first)
            await wait_for(lambda: second.directory.endpoints["desk-0"].has_announced_leaving)
            before = len(leaving.arrivals)
            assert await send_load(fleet, second, 1.0) == {200}
            assert len(leaving.arrivals) == before

    run_scenario(scenario)


def test_a_request_placed_before_the_endpoint_leaves_is_sent_elsewhere():
    """Guards against requests that wait for a connection and are written after the announcement."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=2) as fleet:
            host = fleet.hosts[0]
            leaving = LeavingEndpoint(fleet.endpoints["desk-0"])
            pool = host.context.pool
            open_connection = pool.acquire

            async def open_slowly(destination, timeout_s, request_id):
                connection = await open_connection(destination, timeout_s, request_id)
                if destination.address == leaving.endpoint.address:
                    host.directory.record_statement(
                        destination.incarnation, Statement(leaving=True)
                    )
                return connection

            pool.acquire = open_slowly
            assert await send_load(fleet, host, 0.5) == {200}
            assert host.directory.endpoints["desk-0"].has_announced_leaving
            assert leaving.arrivals == []

    run_scenario(scenario)


async def wait_until_leaving_is_known(fleet, host):
    """Send requests to a host until it knows that an endpoint is leaving."""
    for _ in range(50):
        await fleet.call("/safe/a", host)
        if any(endpoint.has_announced_leaving for endpoint in host.directory.endpoints.values()):
            return
    raise AssertionError("the endpoint received no request")
