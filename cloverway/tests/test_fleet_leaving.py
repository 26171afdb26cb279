"""Endpoints that say in their answers that they leave, over real hosts and sockets."""

from __future__ import annotations

import asyncio

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import play, run_fleet

DRAIN_S = 4.0
"""Time after an endpoint's word from which it must get nothing more."""


class LeavingEndpoint:
    """An endpoint that leaves from some moment on and says so in answers, and not to the store."""

    def __init__(self, endpoint) -> None:
        self.endpoint = endpoint
        self.is_leaving = False
        self.arrivals = []
        endpoint.answer = self.answer

    async def answer(self, exchange):
        self.arrivals.append(read_clock())
        headers = self.endpoint.head(exchange)
        if self.is_leaving:
            headers.append((b"Server-Leaving", b"1"))
        await exchange.answer(200, headers, b"ran at " + self.endpoint.name.encode())


async def press(fleet, host, seconds, per_s=20):
    """Send requests to a host for some seconds, and give the statuses of the replies."""
    calls = []
    for _ in range(int(seconds * per_s)):
        calls.append(asyncio.create_task(fleet.call("/safe/a", host)))
        await asyncio.sleep(1 / per_s)
    return {reply.status for reply in await asyncio.gather(*calls)}


def test_an_endpoint_that_says_it_leaves_gets_nothing_more_though_the_store_is_away():
    """Guards against going by an entry alone, which says nothing while the store is down."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=2) as fleet:
            leaving = LeavingEndpoint(fleet.endpoints["desk-0"])
            fleet.store.silent = True
            leaving.is_leaving = True
            await press(fleet, fleet.hosts[0], 0.5)
            told_at = read_clock()
            assert leaving.arrivals
            assert await press(fleet, fleet.hosts[0], DRAIN_S + 1.5) == {200}
            assert max(leaving.arrivals) < told_at + DRAIN_S

    play(scenario)
