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
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

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
from cloverway.tests.fleet.soak_faults import SoakFaults
from cloverway.tests.fleet.soak_parts import (
    CRASHING_BODY,
    DOMAINS,
    EVENTS,
    HOSTS,
    ROUTES,
    Host,
    StreamBegun,
)

CALLERS = 10
LEAVING_SHARE = 0.4
"""Share of the streams whose callers leave and take them up again."""
MAX_TAKE_UPS = 4


class Soak(SoakFaults):
    """One run: its fleet, its faults, and the records of its callers."""

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

    # Checks

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
