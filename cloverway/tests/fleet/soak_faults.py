"""The faults of the soak; several series of them run concurrently."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from cloverway.serving.http.client import (
    ConnectionPool,
)
from cloverway.tests.fleet.soak_fleet import PROMPT_IDS, SoakFleet
from cloverway.tests.fleet.soak_parts import (
    CRASHING_BODY,
    GRACE_S,
    Fault,
    Host,
    make_prompt,
    write_again,
)
from cloverway.tests.standins.links import TO_CALLER, TO_TARGET, Link

CRASHING_CALLER_S = 4.0
"""How long a caller repeats a request that crashes endpoints."""


class SoakFaults(SoakFleet):
    """A fleet, and what disturbs it."""

    async def _make_faults(self, until: float) -> None:
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            *(self._kill, self._pause, self._replace, self._reload, self._lose_store),
            *(self._silence_store, self._store_fails, self._compact, self._configure),
            self._lose_writes,
            *(self._break_link, self._break_endpoint, self._drain_endpoint, self._turn_away),
            *(self._spoil_entry, self._restart_endpoint, self._repeat_deadly),
            self._send_bad_part,
        )
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
            fault = self.random.choice(faults)
            started_at = time.monotonic()
            await fault()
            name = fault.__name__.lstrip("_")
            self.faults.append(Fault(name, started_at, time.monotonic()))

    @contextlib.contextmanager
    def _reserve_host(self) -> Iterator[Host | None]:
        """Reserve a host that no other fault uses, if another free host of its domain is left."""
        free = [host for host in self.hosts if not host.is_busy]
        counts = Counter(host.domain for host in free)
        free = [host for host in free if counts[host.domain] > 1]
        host = self.random.choice(free) if free else None
        if host is None:
            yield None
            return
        host.is_busy = True
        try:
            yield host
        finally:
            host.is_busy = False

    async def _wait_fault_duration(self, min_s: float = 0.3, max_s: float = 2.5) -> None:
        await asyncio.sleep(self.random.uniform(min_s, max_s))

    async def _kill(self) -> None:
        with self._reserve_host() as host:
            if host is not None:
                host.process.kill()
                await self._wait_fault_duration()
                host.process.start()
                await self._wait_ready(host)

    async def _pause(self) -> None:
        with self._reserve_host() as host:
            if host is not None:
                host.process.send(signal.SIGSTOP)
                await self._wait_fault_duration()
                host.process.send(signal.SIGCONT)

    async def _replace(self) -> None:
        with self._reserve_host() as host:
            if host is None:
                return
            host.process.send(signal.SIGTERM)
            started_at = time.monotonic()
            while host.process.running:
                await asyncio.sleep(0.05)
                if time.monotonic() - started_at > GRACE_S:
                    self.violations.append(f"{host.name}: a planned stop took over {GRACE_S} s")
                    host.process.kill()
            if status := host.process.wait():
                self.violations.append(f"{host.name}: a planned stop ended with {status}")
            host.process.start()
            await self._wait_ready(host)

    async def _reload(self) -> None:
        with self._reserve_host() as host:
            if host is not None:
                host.write_settings([other.control for other in self.random.sample(self.hosts, 3)])
                host.process.send(signal.SIGHUP)

    async def _lose_store(self) -> None:
        links = [host.store for host in self.random.sample(self.hosts, self.random.randint(1, 5))]
        await self._disturb(links, lambda link: link.cut())

    async def _silence_store(self) -> None:
        directions = self.random.choice([(), (TO_TARGET,), (TO_CALLER,)])
        links = [host.store for host in self.random.sample(self.hosts, self.random.randint(1, 5))]
        await self._disturb(links, lambda link: link.blackhole(*directions))

    async def _store_fails(self) -> None:
        self.store.status = self.random.choice([429, 503])
        await self._wait_fault_duration()
        self.store.status = 200

    async def _compact(self) -> None:
        self.store.compact()

    async def _lose_writes(self) -> None:
        """Let the store return to an older copy; what it lost is written again a little later."""
        copy = self.store.copy()
        await self._wait_fault_duration()
        self.store.status = 503
        await self._wait_fault_duration(0.1, 1.0)
        lost = dict(self.store.items)
        self.store.restore(copy)
        self.store.status = 200
        await self._wait_fault_duration(0.0, 1.5)
        write_again(self.store, lost, copy.revision, self._deleted)

    async def _configure(self) -> None:
        self._publish()

    async def _break_link(self) -> None:
        disturb: Callable[[Link], Any] = self.random.choice(
            [
                *(lambda link: link.cut(), lambda link: link.blackhole()),
                *(lambda link: link.blackhole(TO_CALLER), lambda link: link.blackhole_open()),
                lambda link: link.slow(0.2),
            ]
        )
        await self._disturb([self.random.choice(list(self.links.values()))], disturb)

    async def _disturb(self, links: list[Link], disturb: Callable[[Link], Any]) -> None:
        for link in links:
            disturb(link)
        await self._wait_fault_duration()
        for link in links:
            link.restore()

    async def _break_endpoint(self) -> None:
        endpoint = self.random.choice(self.endpoints)
        endpoint.abort_probability = self.random.uniform(0.2, 1.0)
        await self._wait_fault_duration()
        endpoint.abort_probability = 0.0

    async def _turn_away(self) -> None:
        """Let most endpoints of a service turn every request away."""
        service = self.random.choice(["desk", "model"])
        turning = [e for e in self.endpoints if e.service == service and self.random.random() < 0.8]
        for endpoint in turning:
            endpoint.turns_away = True
        await self._wait_fault_duration()
        for endpoint in turning:
            endpoint.turns_away = False

    async def _drain_endpoint(self) -> None:
        """Drain an endpoint and add another one in its place."""
        leaving = self.random.choice(self._list_live())
        await self._add_endpoint(leaving.service, leaving.domain)
        self._describe(leaving, state="draining")
        await self._wait_fault_duration(1.0, 3.0)
        self._deleted.add(f"servers/{leaving.name}")
        self.store.delete(f"servers/{leaving.name}")

    async def _spoil_entry(self) -> None:
        """Overwrite an entry with invalid data, and add an invalid entry beside it."""
        spoilt = self.random.choice(self._list_live())
        junk = self.random.choice([b"", b"{" * 50_000, b'{"service": []}', b"\xff", b"1e999"])
        self.store.put_bytes(f"servers/{spoilt.name}", junk)
        self.store.put_bytes(f"servers/junk-{self.random.randrange(50)}", junk)
        await self._wait_fault_duration()
        self._describe(spoilt)

    async def _restart_endpoint(self) -> None:
        """Drain an endpoint, stop it, and start it again with its id and address."""
        endpoint = self.random.choice(self._list_live())
        self._describe(endpoint, state="draining")
        await self._wait_fault_duration()
        link = self.links[endpoint.name]
        link.cut()
        link.restore()
        self._start_again(endpoint)
        self._describe(endpoint, coldRemainingMs=500)

    async def _repeat_deadly(self) -> None:
        """Send a request repeatedly that crashes each endpoint that runs it."""
        body = CRASHING_BODY + b" %d" % next(self._numbers)
        route = self.random.choice(["safe", "once", "stream", "cut"])
        until = time.monotonic() + CRASHING_CALLER_S
        while time.monotonic() < until:
            host = self.random.choice(self.hosts)
            self.records.append(await self._send(host.callers, route, ConnectionPool(), body))
            await asyncio.sleep(self.random.uniform(0.02, 0.4))

    async def _send_bad_part(self) -> None:
        """Send requests that are never alike, but for a part that crashes what begins on it."""
        part = PROMPT_IDS // 2 + next(self._numbers)
        self.bad_parts[part] = []
        until = time.monotonic() + CRASHING_CALLER_S
        while time.monotonic() < until:
            host = self.random.choice(self.hosts).callers
            number = next(self._numbers)
            prompt = make_prompt(self.random, PROMPT_IDS + number, part)
            record = await self._send(
                *(host, "stream", ConnectionPool(), b"%d" % number),
                prompt=prompt,
                crashes_endpoints=True,
            )
            self.records.append(record)
            await asyncio.sleep(self.random.uniform(0.02, 0.4))
