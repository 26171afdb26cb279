"""Retries of all hosts together, counted at endpoints that turn every request away."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from contextlib import asynccontextmanager

import pytest

from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.retry_windows import find_excess

BUDGET = RetryBudgetSettings(ratio=0.2, slack=40.0, window_s=2.0)
CALL_INTERVAL_S = 0.02
ENDPOINTS = 4
"""A request that all of them turn away may be sent four times."""


class Arrivals:
    """What callers sent and what reached the endpoints, by time."""

    def __init__(self) -> None:
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self._counts: Counter[bytes] = Counter()

    async def turn_away(self, exchange):
        name = dict(exchange.headers)[b"x-cloverway-request-id"]
        self._counts[name] += 1
        if self._counts[name] > 1:
            self.repeats.append(read_clock())
        await exchange.answer(503, [(b"X-Cloverway-Not-Executed", b"1")], b"")

    def check(self):
        """Check that there were retries, and that no window has more than the budget."""
        assert self.repeats
        assert find_excess(BUDGET, self.requests, self.repeats) <= 0


@asynccontextmanager
async def run_refused_fleet():
    """Run a fleet without hosts whose endpoints turn every request away."""
    arrivals = Arrivals()
    async with run_fleet(hosts=0, endpoints=ENDPOINTS) as fleet:
        for number in range(ENDPOINTS):
            await fleet.add_endpoint(f"desk-far-{number}", "desk", "d2")
        for endpoint in fleet.endpoints.values():
            endpoint.answer = arrivals.turn_away
        yield fleet, arrivals


async def call_for(fleet, arrivals, seconds):
    """Send requests to all hosts in turn."""
    until = read_clock() + seconds
    calls = []
    for number in itertools.count():
        if read_clock() >= until:
            break
        host = fleet.hosts[number % len(fleet.hosts)]
        arrivals.requests.append(read_clock())
        calls.append(asyncio.create_task(fleet.call("/safe/a", host)))
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.gather(*calls, return_exceptions=True)


async def start_hosts(fleet, domains, seeds=None):
    for domain in domains:
        await fleet.add_host(domain, retries=BUDGET, age_s=0.0, seeds=seeds)
    await wait_for(lambda: all(host.directory.endpoints for host in fleet.hosts))


async def restart_all(fleet):
    """Kill all hosts at once and start them at their addresses again."""
    listens = [host.settings.listen for host in fleet.hosts]
    for host in list(fleet.hosts):
        await fleet.stop(host)
    seeds = tuple(listen.control for listen in listens)
    for listen in listens:
        addresses = (listen.callers, listen.readiness, listen.lookup, listen.control)
        ports = [int(address.rpartition(":")[2]) for address in addresses]
        ports += [listen.inner_ports[0], listen.metrics_port]
        await fleet.add_host(ports=ports, seeds=seeds, retries=BUDGET, age_s=0.0)
    await wait_for(lambda: all(host.directory.endpoints for host in fleet.hosts))


@pytest.mark.parametrize("interval_s", [0.3, 0.7])
def test_hosts_that_restart_in_series_share_one_retry_budget(interval_s):
    """Guards against a budget that each process of a host may use anew within the same window."""

    async def scenario():
        async with run_refused_fleet() as (fleet, arrivals):
            await start_hosts(fleet, ["d1"] * 3)
            await call_for(fleet, arrivals, 1.0)
            for _ in range(4):
                await restart_all(fleet)
                await call_for(fleet, arrivals, interval_s)
            arrivals.check()

    run_scenario(scenario)


def test_failure_domains_that_have_never_heard_of_each_other_share_one_retry_budget():
    """Guards against a slack that each side of a cut takes whole: its hosts started in the cut."""

    async def scenario():
        async with run_refused_fleet() as (fleet, arrivals):
            for domain in ("d1", "d2"):
                first = await fleet.add_host(domain, retries=BUDGET, age_s=0.0, seeds=())
                seeds = (first.settings.listen.control,)
                await fleet.add_host(domain, retries=BUDGET, age_s=0.0, seeds=seeds)
            await wait_for(lambda: all(host.members.peers for host in fleet.hosts))
            await call_for(fleet, arrivals, 3.0)
            arrivals.check()

    run_scenario(scenario)


def test_hosts_that_know_no_other_host_share_one_retry_budget():
    """Guards against a slack that each host takes whole, when each started in a cut of its own."""

    async def scenario():
        async with run_refused_fleet() as (fleet, arrivals):
            nobody = ("127.0.0.1:1",)
            await start_hosts(fleet, ["d1"] * 4, seeds=nobody)
            await call_for(fleet, arrivals, 3.0)
            arrivals.check()

    run_scenario(scenario)
