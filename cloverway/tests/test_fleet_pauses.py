"""Endpoints that turn a request away and say for how long they want no other, over real hosts."""

from __future__ import annotations

import asyncio

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import play, run_fleet
from cloverway.tests.fleet.standins import make_route, make_service

PAUSE_S = 2.0
CROSSING_S = 0.5
"""Time after the answer in which requests that were on their way may still arrive."""
MOST_IN_PAUSE = 2


class FullEndpoint:
    """An endpoint that turns every request away for a while, and says for how long."""

    def __init__(self, endpoint) -> None:
        self.endpoint = endpoint
        self.arrivals = []
        self.until = 0.0
        endpoint.answer = self.answer

    async def answer(self, exchange):
        now = read_clock()
        self.arrivals.append(now)
        self.until = self.until or now + PAUSE_S
        if now >= self.until:
            await self.endpoint.answer_plainly(exchange)
            return
        retry_after = (b"Retry-After", b"%g" % (self.until - now))
        not_run = (b"X-Cloverway-Not-Executed", b"1")
        await exchange.answer(503, [not_run, retry_after], b"")

    def count_in_pause(self):
        begin = self.until - PAUSE_S + CROSSING_S
        return sum(begin <= at < self.until - 0.05 for at in self.arrivals)


async def press(fleet, seconds, deadline_ms=1000):
    calls = []
    for _ in range(int(seconds * 20)):
        calls.append(asyncio.create_task(fleet.call("/safe/a", deadline_ms=deadline_ms)))
        await asyncio.sleep(1 / 20)
    return await asyncio.gather(*calls)


def test_an_endpoint_that_asked_for_a_pause_gets_nothing_until_it_is_over():
    """Guards against a host that sends on to a full endpoint, which can do no more than refuse."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=1) as fleet:
            full = FullEndpoint(fleet.endpoints["desk-0"])
            replies = await press(fleet, PAUSE_S + 1.0)
            assert full.count_in_pause() <= MOST_IN_PAUSE
            assert {reply.status for reply in replies} == {200, 503}
            assert all(
                float(reply.headers[b"retry-after"]) > 0 for reply in replies if reply.status == 503
            )
            assert (await fleet.call("/safe/a")).status == 200

    play(scenario)


def test_requests_go_to_endpoints_that_asked_for_no_pause():
    """Guards against callers that are refused while another endpoint has room."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=2) as fleet:
            fleet.publish(
                [make_route("safe", "idempotent", "desk", attempts=1)], [make_service("desk")]
            )
            full = FullEndpoint(fleet.endpoints["desk-0"])
            assert {reply.status for reply in await press(fleet, 1.5)} == {200}
            assert full.count_in_pause() <= MOST_IN_PAUSE

    play(scenario)
