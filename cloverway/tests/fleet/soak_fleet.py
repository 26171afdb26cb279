"""The fleet of one run of the soak: the store, endpoints, hosts, and how requests are sent."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import defaultdict
from pathlib import Path
from random import Random
from typing import Any

from cloverway.serving.http.client import (
    ConnectionPool,
)
from cloverway.tests.fleet.soak_parts import (
    ROUTES,
    VERSIONS,
    CallRecord,
    CountingEndpoint,
    Fault,
    Host,
    make_prompt,
    send,
)
from cloverway.tests.fleet.standins import (
    Store,
    make_configuration,
    make_route,
    make_service,
)
from cloverway.tests.standins.links import Link
from cloverway.tests.standins.processes import Ports

PROMPT_IDS = 1 << 40
"""Above the ids of parts that several prompts share."""
RESTART_S = 1.0
"""Time until a crashed endpoint accepts requests again."""
MAX_ENTRY_DELAY_S = 1.5
"""The longest time from then until its entry shows the new start time."""


class SoakFleet:
    """The parts of one run, which faults disturb."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.folder = folder
        self.store = Store()
        self.hosts: list[Host] = []
        self.endpoints: list[CountingEndpoint] = []
        self.links: dict[str, Link] = {}
        self.records: list[CallRecord] = []
        self.faults: list[Fault] = []
        self.violations: list[str] = []
        self.sent: defaultdict[str, list[float]] = defaultdict(list)
        """Times at which callers sent requests, by service."""
        self.crash_times: defaultdict[bytes, list[float]] = defaultdict(list)
        """Times at which endpoints crashed, by the body of the request or its bad part."""
        self.bad_parts: dict[int, list[float]] = {}
        """When requests with a part that crashes endpoints reached one, by the part."""
        self.taken_up = self.gone_on = 0
        """Streams that callers took up, and those of them that ended whole."""
        self.version = 0
        self._deleted: set[str] = set()
        """Keys of endpoints that have left for good."""
        self._restarts: set[asyncio.Task[None]] = set()
        self._pool = ConnectionPool()
        self._ports = Ports()
        self._numbers = iter(range(1, 1 << 60))

    def _publish(self) -> None:
        self.version += 3
        routes = [
            make_route(name, kind, service, **fields)
            for name, (kind, service, fields) in ROUTES.items()
        ]
        routes.append(make_route(f"v{self.version}", "idempotent", "desk"))
        services = [make_service("desk"), make_service("model")]
        self.store.put("op/config", make_configuration(self.version, routes, services))

    async def _add_endpoint(self, service: str, domain: str) -> CountingEndpoint:
        endpoint = CountingEndpoint(f"{service}-{len(self.endpoints)}", service, domain)
        endpoint.on_crash = self._crash
        endpoint.bad_parts = self.bad_parts
        await endpoint.start()
        self.links[endpoint.name] = Link(endpoint.address).start()
        self.endpoints.append(endpoint)
        self._describe(endpoint)
        return endpoint

    def _describe(self, endpoint: CountingEndpoint, **fields: Any) -> None:
        """Write the entry of an endpoint to the store."""
        address = self.links[endpoint.name].address
        entry = endpoint.make_entry(
            address=address, born=endpoint.start_time_ms, version=endpoint.version, **fields
        )
        self.store.put(f"servers/{endpoint.name}", entry)

    def _list_live(self) -> list[CountingEndpoint]:
        return [e for e in self.endpoints if f"servers/{e.name}" in self.store.items]

    async def _send(
        self,
        host: str,
        route: str,
        pool: ConnectionPool,
        content: bytes = b"x",
        **options: Any,
    ) -> CallRecord:
        service = ROUTES[route][1] if route in ROUTES else "desk"
        self.sent[service].append(time.monotonic())
        number = next(self._numbers)
        if service == "model":
            options.setdefault("prompt", make_prompt(self.random, PROMPT_IDS + number))
        return await send(f"c-{number}", host, route, pool, content, **options)

    def _crash(self, endpoint: CountingEndpoint, cause: bytes) -> None:
        """Crash an endpoint while it runs a request; it restarts as a new incarnation."""
        self.crash_times[cause].append(time.monotonic())
        link = self.links[endpoint.name]
        end = self.random.choice([link.cut, link.crash])
        end()
        restart = asyncio.create_task(self._restart_crashed(endpoint))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart_crashed(self, endpoint: CountingEndpoint) -> None:
        await asyncio.sleep(RESTART_S)
        self.links[endpoint.name].restore()
        self._start_again(endpoint)
        # Its published entry names the previous incarnation until its next heartbeat.
        await asyncio.sleep(self.random.uniform(0.0, MAX_ENTRY_DELAY_S))
        if f"servers/{endpoint.name}" in self.store.items:
            self._describe(endpoint)

    def _start_again(self, endpoint: CountingEndpoint) -> None:
        """Let a new process answer for an endpoint, with any version; its entry follows later."""
        endpoint.start_time_ms += 1_000
        endpoint.version = self.random.choice(VERSIONS)

    async def _wait_ready(self, host: Host) -> None:
        """Wait until a started host serves; one that never does is found by the final check."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                while not (await self._send(host.callers, "safe", ConnectionPool())).complete:
                    await asyncio.sleep(0.1)
