"""Hosts as processes in two regions, a link between them, and endpoints that record their work."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator
from pathlib import Path

from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.serving.http.client import (
    ClientExchange,
    ConnectionPool,
    ResponseError,
    make_request,
)
from cloverway.serving.http.server import Exchange
from cloverway.tests.fleet.deployment import wait_for
from cloverway.tests.fleet.endings import get_first_event
from cloverway.tests.fleet.soak_parts import Host
from cloverway.tests.fleet.standins import (
    Endpoint,
    Store,
    make_configuration,
    make_route,
    make_service,
)
from cloverway.tests.fleet.works import Work
from cloverway.tests.standins.links import Link
from cloverway.tests.standins.processes import Ports

EVENTS = 45
EVENT_INTERVAL_S = 0.2
TIMEOUT_MS = 15_000
OBJECTIVE_MS = 1_000
GAP_OBJECTIVE_MS = 600
RETRIES = RetryBudgetSettings(ratio=1.0, slack=12.0, window_s=60.0)
REQUESTS_FOR_RETRIES = 6
"""Requests by which a host has earned a retry."""
EVENT_ID = re.compile(rb"id: (\d+)\n")


class WorkingEndpoint(Endpoint):
    """An engine that writes an event now and then, and drops a run when its connection closes."""

    def __init__(self, name: str, domain: str) -> None:
        super().__init__(name, "model", domain)
        self.answer = self.write_events
        self.works: list[Work] = []
        self.begun: dict[str, float] = {}
        """When the runs in progress began, by the request."""
        self.interval_s = EVENT_INTERVAL_S
        self.silent_after = EVENTS
        """Events after which it works on without writing any."""
        self.pauses: dict[int, float] = {}
        """Pauses before events, in seconds, by their number."""
        self.event_bytes = 0
        """Bytes that each event has in addition."""

    async def write_events(self, exchange: Exchange) -> None:
        request_id = dict(exchange.headers)[b"x-cloverway-request-id"].decode()
        began_at = self.begun[request_id] = time.monotonic()
        try:
            await self._write_events(exchange)
        finally:
            del self.begun[request_id]
            self.works.append(Work(request_id, began_at, time.monotonic()))

    async def _write_events(self, exchange: Exchange) -> None:
        for number in range(get_first_event(exchange), EVENTS + 1):
            if number > self.silent_after:
                await asyncio.sleep(self.interval_s)
                continue
            if not exchange.started:
                kind = (b"Content-Type", b"text/event-stream")
                exchange.start(200, [*self.make_head(exchange), kind])
            await asyncio.sleep(self.pauses.get(number, 0.0))
            filling = b"." * self.event_bytes
            await exchange.send(b"id: %d\ndata: %d %b\n\n" % (number, number, filling))
            await asyncio.sleep(self.interval_s)
        if exchange.started:
            exchange.finish()


class Caller:
    """A stream that a caller reads."""

    def __init__(self, request_id: str, exchange: ClientExchange) -> None:
        self.request_id = request_id
        self.exchange = exchange
        self.events: list[int] = []

    @property
    def last_event(self) -> int:
        return self.events[-1]

    async def read_events(self, count: int, timeout_s: float = 10.0) -> None:
        """Read until `count` events have come in all, or the answer ends."""
        async with asyncio.timeout(timeout_s):
            while len(self.events) < count and (part := await self.exchange.read_chunk()):
                self.events += map(int, EVENT_ID.findall(part))


class SeparatedFleet:
    """Two hosts in the north, `entry` and `other`, and one in the south, reached by a link."""

    def __init__(self, folder: Path) -> None:
        self.store = Store()
        self.ports = Ports()
        self.entry, self.other, self.far = (
            Host(
                name,
                domain,
                [self.ports.take() for _ in range(6)],
                self.store,
                folder,
                retries=RETRIES,
            )
            for name, domain in (("entry", "d1"), ("other", "d1"), ("far", "d2"))
        )
        self.link = Link(self.far.forwarding).start()
        self.near_endpoint = WorkingEndpoint("near-0", "d1")
        self.far_endpoint = WorkingEndpoint("far-0", "d2")

    @property
    def hosts(self) -> list[Host]:
        return [self.entry, self.other, self.far]

    async def add_endpoint(self, endpoint: WorkingEndpoint) -> None:
        await endpoint.start()
        self.store.put(f"servers/{endpoint.name}", endpoint.make_entry(born=endpoint.start_time_ms))

    def knows(self, endpoint: WorkingEndpoint) -> bool:
        """Return whether the hosts of the north know an endpoint."""
        return all(
            f'"{endpoint.name}"' in host.process.log.read_text()
            for host in (self.entry, self.other)
        )

    async def begin_stream(
        self, request_id: str, host: Host, last_event: int = 0, resumes: str = ""
    ) -> Caller:
        """Send a request for a stream, or take one up after an event."""
        fields = [
            (b"Host", b"shop.example"),
            (b"X-Cloverway-Request-Id", request_id.encode()),
            (b"X-Cloverway-Deadline-Ms", b"%d" % TIMEOUT_MS),
        ]
        if last_event:
            fields += [(b"Last-Event-Id", b"%d" % last_event), (b"Resumes", resumes.encode())]
        request = make_request("POST", "/stream/a", fields, b"x")
        connection = await ConnectionPool().open_new(host.callers, 1.0)
        exchange = ClientExchange(connection, request, b"x")
        exchange.write()
        head = await exchange.read_head(lambda head: True)
        assert head.status == 200, head
        return Caller(request_id, exchange)

    async def wait_until_forwarded(self) -> None:
        """Wait until a stream begun at either host of the north runs in the south."""
        for host in (self.entry, self.other):
            await wait_for(lambda host=host: _is_ready(host), 20.0)
            async with asyncio.timeout(20.0):
                served = 0
                while served < REQUESTS_FOR_RETRIES:
                    served += await self._is_served(host)
                    await asyncio.sleep(0.05)
        await wait_for(lambda: not self.far_endpoint.begun)
        self.far_endpoint.works.clear()

    async def take_up(self, request_id: str, host: Host, caller: Caller) -> Caller:
        """Leave a stream, and take it up at another host after the last event that came."""
        caller.exchange.connection.abort()
        return await self.begin_stream(request_id, host, caller.last_event, caller.request_id)

    async def _is_served(self, host: Host) -> bool:
        try:
            caller = await self.begin_stream(f"probe-{time.monotonic()}", host)
        except (AssertionError, ResponseError, OSError):
            return False
        caller.exchange.connection.abort()
        return True


def _is_ready(host: Host) -> bool:
    return host.process.log.exists() and '"ready"' in host.process.log.read_text()


@contextlib.asynccontextmanager
async def run_separated_fleet(folder: Path) -> AsyncIterator[SeparatedFleet]:
    """Run the hosts with an endpoint in the south; a test adds the one in the north."""
    fleet = SeparatedFleet(folder)
    await fleet.store.start()
    stream = {
        "attempts": 3,
        "resumable": True,
        "timeoutMs": TIMEOUT_MS,
        "targetLatencyMs": OBJECTIVE_MS,
        "targetGapMs": GAP_OBJECTIVE_MS,
    }
    route = make_route("stream", "streaming", "model", **stream)
    fleet.store.put("op/config", make_configuration(3, [route], [make_service("model")]))
    await fleet.add_endpoint(fleet.far_endpoint)
    seeds = [host.control for host in fleet.hosts]
    links = {fleet.far.forwarding: fleet.link.address}
    try:
        for host in fleet.hosts:
            host.lead_through(links)
            host.write_settings(seeds)
            host.process.start()
        await fleet.wait_until_forwarded()
        yield fleet
    finally:
        for host in fleet.hosts:
            if host.process.running:
                host.process.kill()
            host.store.stop()
        fleet.link.stop()
        fleet.ports.close()


def find_overlap_s(before: WorkingEndpoint, after: WorkingEndpoint) -> float:
    """Return for how long an endpoint worked on after another one had gone on with its stream."""
    last_end = max(
        [*(work.ended_at for work in before.works), *(time.monotonic() for _ in before.begun)]
    )
    first_begin = min([*(work.began_at for work in after.works), *after.begun.values()])
    return last_end - first_begin
