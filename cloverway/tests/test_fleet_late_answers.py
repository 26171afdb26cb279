"""Endpoints that send an answer once more, when their connection carries another request."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.serving.clock import read_clock
from cloverway.serving.http.client import MAX_REQUEST_IDS, Destination
from cloverway.serving.http.server import Exchange
from cloverway.serving.http.transport import Connection
from cloverway.tests.fleet.copies import LateCopies
from cloverway.tests.fleet.deployment import Fleet, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import SIGNATURE, Endpoint, make_route, make_service


class CopyingEndpoint:
    """Refuses each request at first, and sends each refusal again when the next request comes."""

    def __init__(self, endpoint: Endpoint, refusals: int, pause_s: float = 0.0) -> None:
        self.runs: Counter[bytes] = Counter()
        self.copies = LateCopies()
        self._endpoint = endpoint
        self._refusals = refusals
        self._pause_s = pause_s
        """Time between a copy and the answer that is due."""
        self._refused: Counter[bytes] = Counter()
        endpoint.answer = self._answer

    async def _answer(self, exchange: Exchange) -> None:
        await self.copies.send(exchange, self._pause_s)
        request_id = dict(exchange.headers)[b"x-cloverway-request-id"]
        if exchange.target.startswith("/lookup"):
            await self._endpoint.answer_ok(exchange)
        elif self._refused[request_id] < self._refusals:
            self._refused[request_id] += 1
            headers = [(b"X-Cloverway-Request-Id", request_id), (b"X-Cloverway-Not-Executed", b"1")]
            self.copies.add(exchange, 503, headers)
            await self._endpoint.answer_not_executed(exchange)
        else:
            self.runs[request_id] += 1
            await self._run(exchange)

    async def _run(self, exchange: Exchange) -> None:
        await asyncio.sleep(0.03)
        if exchange.target.startswith(("/stream", "/cut")):
            await self._endpoint.stream(1, 2)(exchange)
        else:
            await self._endpoint.answer_ok(exchange)


ROUTES = [
    make_route("once", "non_idempotent", "desk", timeoutMs=10_000),
    make_route("safe", "idempotent", "desk", timeoutMs=10_000, attempts=2),
    make_route("lookup", "idempotent", "desk", timeoutMs=10_000, attempts=2),
    make_route("stream", "streaming", "model", timeoutMs=10_000, attempts=2, resumable=True),
    make_route("cut", "streaming", "model", timeoutMs=10_000),
]
RETRIES = RetryBudgetSettings(ratio=20.0)
"""Enough for each request to be sent several times."""


@asynccontextmanager
async def run_remote_endpoint(name: str, hosts: int) -> AsyncIterator[tuple[Fleet, Endpoint]]:
    """Run a host in a region without endpoints, and hosts beside the only one of a service."""
    async with run_fleet(hosts=0, endpoints=0) as fleet:
        fleet.publish(ROUTES, [make_service("desk"), make_service("model")])
        endpoint = await fleet.add_endpoint(f"{name}-far", name, "d2")
        for domain in ("d1", *["d2"] * hosts):
            await fleet.add_host(domain, retries=RETRIES)
        peers = fleet.hosts[0].members.peers
        await wait_for(lambda: sum(name in peer.advertised for peer in peers.values()) == hosts)
        yield fleet, endpoint


@pytest.mark.parametrize("refusals", [1, 2])
@pytest.mark.parametrize(
    ("path", "service"),
    [("/once/a", "desk"), ("/safe/a", "desk"), ("/stream/a", "model"), ("/cut/a", "model")],
)
def test_a_late_copy_of_a_refusal_does_not_answer_the_next_send(
    path: str, service: str, refusals: int
) -> None:
    """Guards against requests that run twice, or are refused as not run though they have run.

    The copy names the id of its request, and so does the answer to the second sending of it.
    """

    async def scenario():
        async with run_remote_endpoint(service, refusals) as (fleet, endpoint):
            copying = CopyingEndpoint(endpoint, refusals)
            statuses = set()
            for _ in range(4):
                reply = await fleet.call(path, deadline_ms=8000)
                runs = copying.runs[fleet.last_call_id.encode()]
                assert (reply.status, runs) in ((200, 1), (503, 0))
                statuses.add(reply.status)
            assert refusals > 1 or 200 in statuses
            assert copying.copies.sent

    run_scenario(scenario)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_a_late_copy_costs_the_next_request_nothing(pause_s: float) -> None:
    """Guards against a sound request that fails because a copy comes before its own answer.

    The copy comes with the answer, or some milliseconds earlier and so apart from it.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            fleet.publish(ROUTES, [make_service("desk"), make_service("model")])
            host = fleet.hosts[0]
            await wait_for(lambda: host.directory.configuration.version == fleet.version)
            endpoint = fleet.endpoints["desk-0"]
            copying = CopyingEndpoint(endpoint, 1, pause_s)
            for _ in range(4):
                assert (await fleet.call("/once/a")).status == 503
                reply = await fleet.call("/lookup/a")
                assert (reply.status, reply.body) == (200, b"ran at desk-0")
            assert copying.copies.sent == 4
            assert len({exchange.connection for exchange in endpoint.requests}) == 1

    run_scenario(scenario)


def test_only_the_same_request_needs_another_connection() -> None:
    """Guards against a connection opened for each refusal, when endpoints are full."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            pool = fleet.hosts[0].context.pool
            endpoint = fleet.endpoints["desk-0"]
            endpoint.answer = endpoint.answer_not_executed
            for _ in range(20):
                assert (await fleet.call("/once/a")).status == 503
            assert len({exchange.connection for exchange in endpoint.requests}) == 1
            destination = Destination(endpoint.address, endpoint.name)
            again = await pool.acquire(destination, 1.0, fleet.last_call_id)
            other = await pool.acquire(destination, 1.0, "call-next")
            assert (again.exchanges, other.exchanges) == (0, 20)

    run_scenario(scenario)


def test_a_connection_holds_a_bounded_number_of_request_ids() -> None:
    """Guards against memory that grows with the age of a connection."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            for _ in range(MAX_REQUEST_IDS + 1):
                assert (await fleet.call("/safe/a")).status == 200
            used = Counter(exchange.connection for exchange in endpoint.requests)
            assert list(used.values()) == [MAX_REQUEST_IDS, 1]

    run_scenario(scenario)


def test_a_late_copy_of_its_state_does_not_show_that_an_endpoint_runs() -> None:
    """Guards against an answer that is taken for complete after its endpoint has crashed.

    The endpoint doesn't answer any more; what arrives is a copy of its answer to an earlier query.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            answer_state = endpoint.answer_state
            queried: set[Connection] = set()

            async def answer_once(exchange: Exchange) -> None:
                if not queried:
                    queried.add(exchange.connection)
                    await answer_state(exchange)
                    return
                if exchange.connection in queried:
                    exchange.connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                await asyncio.sleep(3600)

            endpoint.answer_state = answer_once
            known = fleet.hosts[0].directory.endpoints["desk-0"]
            incarnations = fleet.hosts[0].context.incarnations
            assert await incarnations.is_running(known, read_clock())
            assert not await incarnations.is_running(known, read_clock())

    run_scenario(scenario)


def test_a_late_answer_without_an_id_never_reaches_the_next_caller() -> None:
    """Guards against the answer of another caller, from endpoints that name no request."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]

            async def answer_with_copy(exchange: Exchange) -> None:
                path = exchange.target.encode()
                number = sum(each.connection is exchange.connection for each in endpoint.requests)
                if number > 1:
                    previous = endpoint.requests[-2].target.encode()
                    exchange.connection.write(
                        b"HTTP/1.1 200 OK\r\nX-Cloverway-Response-Seal: 1\r\n"
                        b"Content-Length: %d\r\n\r\n%b" % (len(previous), previous)
                    )
                await exchange.answer(200, [SIGNATURE], path)

            endpoint.answer = answer_with_copy
            for path in ("/once/a", "/once/b", "/safe/c", "/safe/d"):
                reply = await fleet.call(path)
                assert (reply.status, reply.body) == (200, path.encode())

    run_scenario(scenario)


def test_an_answer_without_an_id_is_not_trusted_on_a_kept_connection() -> None:
    """Guards against bytes that answer nothing, from an endpoint that names its requests."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["desk-0"]
            assert (await fleet.call("/once/a")).status == 200

            async def answer_after_extra(exchange: Exchange) -> None:
                head = b"HTTP/1.1 503 Busy\r\nX-Cloverway-Not-Executed: 1\r\n"
                exchange.connection.write(head + b"Content-Length: 0\r\n\r\n")
                await endpoint.answer_ok(exchange)

            endpoint.answer = answer_after_extra
            assert (await fleet.call("/once/b")).status == 502

    run_scenario(scenario)
