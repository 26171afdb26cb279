"""Endpoints that refuse a request with Retry-After, on real hosts and sockets."""

from __future__ import annotations

import asyncio

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario
from cloverway.tests.fleet.standins import make_route, make_service

PAUSE_S = 2.0
IN_FLIGHT_S = 0.5
"""Time after the refusal in which requests already sent may still arrive."""
MAX_IN_PAUSE = 2


class PausingEndpoint:
    """An endpoint that refuses all requests for a while, and states for how long."""

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
            await self.endpoint.answer_ok(exchange)
            return
        retry_after = (b"Retry-After", b"%g" % (self.until - now))
        not_run = (b"X-Cloverway-Not-Executed", b"1")
        await exchange.answer(503, [not_run, retry_after], b"")

    def count_in_pause(self):
        begin = self.until - PAUSE_S + IN_FLIGHT_S
        return sum(begin <= at < self.until - 0.05 for at in self.arrivals)


async def send_load(fleet, seconds, deadline_ms=1000):
    calls = []
    for _ in range(int(seconds * 20)):
        calls.append(asyncio.create_task(fleet.call("/safe/a", deadline_ms=deadline_ms)))
        await asyncio.sleep(1 / 20)
    return await asyncio.gather(*calls)


def test_an_endpoint_gets_no_requests_during_the_pause_it_asked_for():
    """Guards against a host that keeps sending to a full endpoint, which can only refuse."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=1) as fleet:
            pausing = PausingEndpoint(fleet.endpoints["desk-0"])
            replies = await send_load(fleet, PAUSE_S + 1.0)
            assert pausing.count_in_pause() <= MAX_IN_PAUSE
            assert {reply.status for reply in replies} == {200, 503}
            assert all(
                float(reply.headers[b"retry-after"]) > 0 for reply in replies if reply.status == 503
            )
            assert (await fleet.call("/safe/a")).status == 200

    run_scenario(scenario)


def test_requests_are_sent_to_endpoints_without_a_pause():
    """Guards against refusals while another endpoint has capacity."""

    async def scenario():
        async with run_fleet(hosts=1, endpoints=2) as fleet:
            fleet.publish(
                [make_route("safe", "idempotent", "desk", attempts=1)], [make_service("desk")]
            )
            pausing = PausingEndpoint(fleet.endpoints["desk-0"])
            assert {reply.status for reply in await send_load(fleet, 1.5)} == {200}
            assert pausing.count_in_pause() <= MAX_IN_PAUSE

    run_scenario(scenario)
