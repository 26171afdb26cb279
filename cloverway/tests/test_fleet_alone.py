"""Hosts that have heard of no other host, each in a cut of its own, on real hosts and sockets."""

from __future__ import annotations

import pytest

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.limited import ALLOWED, LimitedEndpoint, send_load
from cloverway.tests.fleet.standins import make_route, make_service

COLD_PER_S = 4.0
NOBODY = ("127.0.0.1:1",)
"""Seeds that never answer."""


def is_cold(host):
    return host.directory.endpoints["desk-0"].is_cold(read_clock())


async def start_alone(fleet, count):
    for _ in range(count):
        await fleet.add_host(seeds=NOBODY)
    await wait_for(lambda: all(host.directory.endpoints for host in fleet.hosts))


@pytest.mark.parametrize("hosts", [1, 3])
def test_hosts_that_know_no_other_host_do_not_overload_a_cold_endpoint(hosts):
    """Guards against a limit that each host takes whole; one that is warm they must still use."""

    async def scenario():
        async with run_fleet(hosts=0, endpoints=1) as fleet:
            service = make_service("desk", coldS=20.0, coldPerS=COLD_PER_S)
            fleet.publish([make_route("safe", "idempotent", "desk")], [service])
            endpoint = fleet.endpoints["desk-0"]
            fleet.store.put("servers/desk-0", endpoint.make_entry(coldRemainingMs=20_000))
            await start_alone(fleet, hosts)
            await send_load(fleet, fleet.hosts, 3.0)
            assert endpoint.requests == []
            fleet.store.put("servers/desk-0", endpoint.make_entry(sequence=2))
            await wait_for(lambda: not any(is_cold(host) for host in fleet.hosts))
            replies = await send_load(fleet, fleet.hosts, 1.0)
            assert {reply.status for reply in replies} == {200}

    run_scenario(scenario)


def test_hosts_that_know_no_other_host_do_not_overload_an_endpoint_that_states_a_limit():
    """Guards against a limit that each host takes whole; they must still serve some requests."""

    async def scenario():
        async with run_fleet(hosts=0, endpoints=1) as fleet:
            limited = LimitedEndpoint(fleet.endpoints["desk-0"])
            await start_alone(fleet, 4)
            began_at = read_clock()
            replies = await send_load(fleet, fleet.hosts, 6.0)
            assert limited.stated_at > began_at
            assert limited.count_max_in_window() <= ALLOWED
            assert sum(reply.status == 200 for reply in replies) >= 4

    run_scenario(scenario)
