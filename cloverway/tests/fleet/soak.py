"""A randomized run of real hosts on the platform.

    python -m cloverway.tests.fleet.soak SECONDS SEED...

Each host is a process; the store and the endpoints run in this process behind links that are cut,
delayed or drop data. Signals stop, pause, kill and reload the hosts. Several series of faults run
concurrently. What callers and endpoints observed is then checked against the invariants.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path
from random import Random
from typing import Any

from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    fetch,
    make_request,
)
from cloverway.tests.fleet.invariants import (
    check_bad_part,
    check_crashes,
    check_retries,
    find_violations,
)
from cloverway.tests.fleet.soak_parts import (
    CRASHING_BODY,
    DOMAINS,
    EVENTS,
    GRACE_S,
    HOSTS,
    ROUTES,
    VERSIONS,
    CallRecord,
    CountingEndpoint,
    Fault,
    Host,
    StreamBegun,
    make_prompt,
    send,
    write_again,
)
from cloverway.tests.fleet.standins import (
    Store,
    make_configuration,
    make_route,
    make_service,
)
from cloverway.tests.standins.links import TO_CALLER, TO_TARGET, Link
from cloverway.tests.standins.processes import Ports

CALLERS = 10
PROMPT_IDS = 1 << 40
"""Above the ids of parts that several prompts share."""
LEAVING_SHARE = 0.4
"""Share of the streams whose callers leave and take them up again."""
MAX_TAKE_UPS = 4
CRASHING_CALLER_S = 4.0
"""How long a caller repeats a request that crashes endpoints."""
RESTART_S = 1.0
"""Time until a crashed endpoint accepts requests again."""
MAX_ENTRY_DELAY_S = 1.5
"""The longest time from then until its entry shows the new start time."""


class Soak:
    """One run: its fleet, its faults, and the records of its callers."""

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

    async def run(self, seconds: float) -> list[str]:
        """Run for some seconds and return the violations."""
        async with self._running():
            until = time.monotonic() + seconds
            callers = [self._call(number, until) for number in range(CALLERS)]
            series = [self._make_faults(until) for _ in range(3)]
            await asyncio.gather(*callers, *series)
            await self._check_recovered()
        crash_violations = [
            violation
            for body, crashed_at in self.crash_times.items()
            if body.startswith(CRASHING_BODY)
            for violation in check_crashes(body.decode(), crashed_at)
        ]
        crash_violations += [
            violation
            for part, sent_at in self.bad_parts.items()
            for violation in check_bad_part(
                f"part {part:x}", self.crash_times[b"part %x" % part], sent_at
            )
        ]
        response_violations = find_violations(self.records, self.endpoints, self.faults)
        retry_violations = [
            violation
            for service, sent in self.sent.items()
            for violation in check_retries(
                service, sent, [e for e in self.endpoints if e.service == service]
            )
        ]
        return [*self.violations, *crash_violations, *retry_violations, *response_violations]

    @contextlib.asynccontextmanager
    async def _running(self) -> AsyncIterator[None]:
        await self.store.start()
        self._publish()
        for domain in DOMAINS:
            for service in ("desk", "desk", "model", "model"):
                await self._add_endpoint(service, domain)
        for domain, count in HOSTS.items():
            for _ in range(count):
                ports = [self._ports.take() for _ in range(6)]
                name = f"host-{len(self.hosts)}"
                self.hosts.append(Host(name, domain, ports, self.store, self.folder))
        for host in self.hosts:
            host.write_settings([other.control for other in self.hosts[1:4]])
            host.process.start()
        try:
            await self._wait_until_served(20.0)
            yield
        finally:
            for host in self.hosts:
                host.process.send(signal.SIGCONT)
                host.process.kill()
                host.store.stop()
            for link in self.links.values():
                link.stop()
            self._ports.close()

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

    # Callers

    async def _call(self, number: int, until: float) -> None:
        random = Random(f"{self.random.random()}/{number}")
        domain = random.choice(list(DOMAINS))
        host = await self._look_up(domain, random)
        while time.monotonic() < until:
            for _ in range(random.randint(1, 15)):
                # A caller keeps its host and its open connections until the host is unreachable.
                route = random.choice(list(ROUTES))
                if route == "stream" and random.random() < LEAVING_SHARE:
                    await self._leave_and_take_up(host, domain, random)
                    continue
                record = await self._send(host, route, self._pool)
                self.records.append(record)
                if not record.status:
                    break
                await asyncio.sleep(random.uniform(0.0, 0.1))
            host = await self._look_up(domain, random)

    async def _leave_and_take_up(self, host: str, domain: str, random: Random) -> None:
        """Leave a stream after some events, and take it up at any host until it is whole."""
        leaves_after = random.randint(1, EVENTS - 1)
        first = await self._send(host, "stream", ConnectionPool(), leaves_after=leaves_after)
        record = first
        for _ in range(MAX_TAKE_UPS):
            self.records.append(record)
            begun = StreamBegun.from_records(first, record)
            if begun is None:
                return
            await asyncio.sleep(random.choice([0.0, 0.0, random.uniform(0.0, 1.0)]))
            anywhere = random.choice(self.hosts).callers
            host = random.choice([anywhere, await self._look_up(domain, random)])
            self.taken_up += 1
            record = await self._send(host, "stream", ConnectionPool(), begun=begun)
            self.gone_on += record.status == 200 and record.complete
        self.records.append(record)

    async def _look_up(self, domain: str, random: Random) -> str:
        asked = random.sample(self.hosts, len(self.hosts))
        target = f"/resolve?name=shop.example&region={DOMAINS[domain]}&zone={domain}"
        for host in sorted(asked, key=lambda host: host.domain != domain):
            request = make_request("GET", target, [(b"Host", b"x")], b"")
            with contextlib.suppress(ConnectError, ResponseError):
                head, body = await fetch(
                    ConnectionPool(), host.lookup, request, b"", timeout_s=1.0, limit=10_000
                )
                named = re.findall(rb'"([0-9.]+:\d+)"', body)
                if head.status == 200 and named:
                    return random.choice(named).decode()
        return random.choice(self.hosts).callers

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

    # Faults

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

    def _start_again(self, endpoint: CountingEndpoint) -> None:
        """Let a new process answer for an endpoint, with any version; its entry follows later."""
        endpoint.start_time_ms += 1_000
        endpoint.version = self.random.choice(VERSIONS)

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

    # Checks

    async def _wait_ready(self, host: Host) -> None:
        """Wait until a started host serves; one that never does is found by the final check."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(5.0):
                while not (await self._send(host.callers, "safe", ConnectionPool())).complete:
                    await asyncio.sleep(0.1)

    async def _wait_until_served(self, seconds: float) -> list[str]:
        """Return the hosts that don't serve the newest route within some seconds."""
        unserved = list(self.hosts)
        until = time.monotonic() + seconds
        while unserved and time.monotonic() < until:
            replies = [
                await self._send(h.callers, f"v{self.version}", ConnectionPool()) for h in unserved
            ]
            unserved = [
                host for host, record in zip(unserved, replies, strict=True) if record.status != 200
            ]
            await asyncio.sleep(0.1)
        return [host.name for host in unserved]

    async def _check_recovered(self) -> None:
        """Check that after all faults each host serves the newest route within the time limit."""
        unserved = await self._wait_until_served(8.0)
        self.violations += [f"{name}: does not serve the newest route" for name in unserved]


def main(seconds: float, seeds: list[int]) -> int:
    """Run each seed; return 1 if there was a violation."""
    failed_seeds = 0
    for seed in seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(seed, folder)
        violations = asyncio.run(soak.run(seconds))
        outcomes = Counter(
            f"{record.status}{'' if record.complete else ' cut'}" for record in soak.records
        )
        kinds = Counter(fault.name for fault in soak.faults)
        print(f"seed {seed}: {len(soak.records)} requests {dict(outcomes)}; faults {dict(kinds)}")
        for violation in violations[:10]:
            print(f"VIOLATION {violation}; logs in {folder}")
        print(f"seed {seed}: {soak.gone_on} of {soak.taken_up} streams taken up were whole")
        print(f"seed {seed}: {len(violations)} violations", flush=True)
        failed_seeds += bool(violations)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main(float(sys.argv[1]), [int(seed) for seed in sys.argv[2:]]))
