"""Endpoints that turn cold while the store, whose entries say so, can't be read."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.core.cold_start import ColdStartSettings
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.limited import send_load
from cloverway.tests.fleet.standins import make_route, make_service

COLD_PER_S = 2.0
LIMITS = ColdStartSettings(overshoot=1.5, slack=3.0)
ALLOWED = COLD_PER_S * LIMITS.overshoot + LIMITS.slack
NOTICE_S = 1.0
"""Time in which a host can't know yet: an entry that is read is no younger."""
OUTDATED_S = 3.0
"""Time without the store after which its documents are known to be out of date."""
COLD_S = 5.0


def count_max_per_s(arrivals: list[float]) -> int:
    """Return the maximum of arrivals in any second."""
    return max((sum(at <= other < at + 1.0 for other in arrivals) for at in arrivals), default=0)


@pytest.mark.parametrize("hosts", [1, 3])
def test_an_endpoint_that_turns_cold_while_the_store_is_away_is_not_overrun(hosts: int) -> None:
    """Guards against an endpoint that falls over, with all that it runs, for want of its entry."""

    async def scenario():
        async with run_fleet(hosts=0, endpoints=1) as fleet:
            service = make_service("desk", coldS=COLD_S, coldPerS=COLD_PER_S)
            fleet.publish([make_route("safe", "idempotent", "desk")], [service])
            for _ in range(hosts):
                await fleet.add_host(cold=LIMITS)
            endpoint = fleet.endpoints["desk-0"]
            await wait_for(lambda: all("desk-0" in h.directory.endpoints for h in fleet.hosts))
            await send_load(fleet, fleet.hosts, OUTDATED_S)
            assert endpoint.health_requests == 0
            fleet.store.silent = True
            await send_load(fleet, fleet.hosts, OUTDATED_S)
            endpoint.cold_until = cold_until = read_clock() + COLD_S
            arrivals: list[float] = []

            async def answer(exchange) -> None:
                arrivals.append(read_clock())
                await endpoint.answer_ok(exchange)

            endpoint.answer = answer
            await send_load(fleet, fleet.hosts, COLD_S)
            bound = [at for at in arrivals if cold_until - COLD_S + NOTICE_S <= at < cold_until]
            assert 0 < count_max_per_s(bound) <= ALLOWED
            assert endpoint.health_requests > 0
            await asyncio.sleep(0.5)
            replies = await send_load(fleet, fleet.hosts, 1.0)
            assert {reply.status for reply in replies} == {200}

    run_scenario(scenario)
