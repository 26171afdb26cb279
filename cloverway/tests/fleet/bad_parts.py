"""Engines that crash at one part of prompts, and callers whose requests have it or not."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from cloverway.serving.host import Host
from cloverway.serving.http.client import ConnectError, ResponseError
from cloverway.serving.http.server import Exchange
from cloverway.tests.fleet.deployment import Fleet, run_fleet, wait_for
from cloverway.tests.fleet.endings import begin_unframed, get_first_event, make_event, read_parts
from cloverway.tests.fleet.standins import Endpoint, make_route, make_service

CONTACT_S = 1.0
"""How long after the fifth crash hosts may go on to send requests with the bad part."""
KNOWN_CRASHES = 5
"""Crashes after which hosts must know the part."""
KNOWN_CRASHES_AT_LEAST = 3
"""Crashes from which they may know it."""
MAX_LATE_SENDS = 3
BAD, FIRST = 0xBAD, 0xF1
OTHERS = tuple(range(0x100, 0x108))
"""Parts that sound requests share with bad ones."""
EVENTS = 6
EVENT_GAP_S = 0.05
CRASH_AFTER_S = 0.08
"""How long an engine writes on the bad part until it crashes."""
ENTRY_LIFETIME_S = 0.4
"""How long the entry of a crashed engine stays published."""
ENGINE = {"slots": 32, "kvTokens": 400_000, "kvTokenBytes": 18_432, "linkMbps": 180_000}


class Case(NamedTuple):
    """What is played. Times are seconds, rates are requests a second."""

    seconds: float = 8.0
    hosts: tuple[str, ...] = ("d1", "d1")
    engines: tuple[str, ...] = ("d1",) * 6
    return_s: float = 0.5
    """Time until a crashed engine is back under a new id."""
    bad_rate: float = 3.0
    sound_rate: float = 20.0
    position: int = 2
    """Where in its prompt a bad request has the bad part."""
    others: tuple[int, ...] = OTHERS
    turns_bad_at: float = 0.0
    crash_share: float = 1.0
    """Share of the requests with the bad part that crash their engine."""
    error_share: float = 0.0
    """Share of the requests with the bad part that are answered with an error."""
    before_first_event: bool = False
    is_unframed: bool = False
    is_resumable: bool = True
    joins_at: float | None = None
    """When one more host starts."""


class Sent(NamedTuple):
    """One request as its caller saw it."""

    at: float
    is_bad: bool
    has_begun: bool
    """Whether its first try brought an event."""
    is_whole: bool
    status: int


class BadPartFleet:
    """A fleet whose engines crash, and the records of one case."""

    def __init__(self, fleet: Fleet, case: Case, seed: int) -> None:
        self.fleet = fleet
        self.case = case
        self.random = random.Random(seed)
        self.crashes: list[float] = []
        self.bad_sends: list[float] = []
        """Times at which requests with the bad part reached an engine."""
        self.calls: list[Sent] = []
        self.began_at = time.monotonic()
        self.running: set[Endpoint] = set()
        self._names = (f"engine-{number}" for number in itertools.count())
        self._numbers = itertools.count(0x10_0000)
        self._returns: set[asyncio.Task[None]] = set()

    async def add_engine(self, domain: str) -> None:
        endpoint = await self.fleet.add_endpoint(next(self._names), "model", domain, slots=32)
        endpoint.answer = self._make_answer(endpoint)
        self.running.add(endpoint)

    def crash(self, endpoint: Endpoint) -> None:
        """Crash an engine; its entry lapses, and it returns under a new id."""
        if endpoint not in self.running:
            return
        self.running.remove(endpoint)
        endpoint.crash()
        task = asyncio.create_task(self._return(endpoint))
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _return(self, endpoint: Endpoint) -> None:
        async def lapse() -> None:
            await asyncio.sleep(ENTRY_LIFETIME_S)
            self.fleet.store.delete(f"servers/{endpoint.name}")

        async def start() -> None:
            await asyncio.sleep(self.case.return_s)
            await self.add_engine(endpoint.domain)

        await asyncio.gather(lapse(), start())

    @property
    def age_s(self) -> float:
        return time.monotonic() - self.began_at

    def _make_answer(self, endpoint: Endpoint) -> Any:
        async def answer(exchange: Exchange) -> None:
            parts = read_parts(exchange)
            if BAD in parts:
                self.bad_sends.append(self.age_s)
            is_fatal = BAD in parts and self.age_s >= self.case.turns_bad_at
            if BAD in parts and self.random.random() < self.case.error_share:
                await exchange.answer(500, endpoint.make_head(exchange), b"")
            elif is_fatal and self.random.random() < self.case.crash_share:
                await self._crash_under(endpoint, exchange)
            else:
                await _stream_whole(endpoint, exchange)

        return answer

    async def _crash_under(self, endpoint: Endpoint, exchange: Exchange) -> None:
        if not self.case.before_first_event:
            if self.case.is_unframed:
                begin_unframed(endpoint, exchange)
                exchange.connection.write(make_event(1) + b"id: 2\ndata")
            else:
                exchange.start(200, _make_stream_head(endpoint, exchange))
                await exchange.send(make_event(1))
        await asyncio.sleep(CRASH_AFTER_S)
        if endpoint in self.running:
            self.crashes.append(self.age_s)
            self.crash(endpoint)

    # Callers

    async def play(self) -> None:
        """Send the requests of the case, and wait for all answers."""
        case = self.case
        senders = [self._send_often(case.bad_rate, True), self._send_often(case.sound_rate, False)]
        if case.joins_at is not None:
            senders.append(self._join(case.joins_at))
        await asyncio.gather(*senders)

    async def play_again(self, seconds: float) -> None:
        """Send the requests of the case for some more seconds."""
        self.case = self.case._replace(seconds=self.age_s + seconds)
        await self.play()

    async def restart_all_hosts(self) -> float:
        """Stop all hosts at once and start as many again; return when the new ones had started."""
        for host in list(self.fleet.hosts):
            await self.fleet.stop(host)
        for domain in self.case.hosts:
            await self.fleet.add_host(domain, age_s=0.0)
        return self.age_s

    async def _join(self, at: float) -> None:
        await asyncio.sleep(at)
        await self.fleet.add_host(age_s=0.0)

    async def _send_often(self, rate: float, is_bad: bool) -> None:
        calls = []
        while rate and self.age_s < self.case.seconds:
            calls.append(asyncio.create_task(self._call(is_bad)))
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / rate)
        await asyncio.gather(*calls)

    async def _call(self, is_bad: bool) -> None:
        number, at = next(self._numbers), self.age_s
        parts = [FIRST, self.random.choice(self.case.others)]
        if is_bad:
            parts.insert(self.case.position, BAD)
        value = ",".join(f"{part:x}:200" for part in [*parts, number]).encode()
        tokens = b"%d,30" % (200 * (len(parts) + 1))
        headers = (
            (b"X-Cloverway-Prompt-Prefix", value),
            (b"X-Cloverway-Token-Usage", tokens),
        )
        host = self.random.choice(self.fleet.hosts)
        try:
            reply = await self.fleet.call(
                "/talk/a", host, body=b"%d" % number, headers=headers, deadline_ms=4000
            )
        except (ConnectError, ResponseError):
            self.calls.append(Sent(at, is_bad, False, False, 0))
            return
        has_begun = reply.status == 200 and bool(reply.body)
        is_whole = reply.status == 200 and reply.complete
        self.calls.append(Sent(at, is_bad, has_begun, is_whole, reply.status))

    # Results

    @property
    def late_sends(self) -> int:
        """Requests with the bad part that reached engines after hosts had to hold them back."""
        if len(self.crashes) < KNOWN_CRASHES:
            return 0
        until = self.crashes[KNOWN_CRASHES - 1] + CONTACT_S
        return sum(at > until for at in self.bad_sends)

    @property
    def sound_after(self) -> tuple[int, int]:
        """Sound requests that began at the first try, and all, from when hosts can know the part.

        That is twice the time of contact after the third crash; hosts may need two more.
        """
        known_at = (self.crashes or [0.0])[:KNOWN_CRASHES_AT_LEAST][-1]
        sent = [c for c in self.calls if not c.is_bad and c.at > known_at + 2 * CONTACT_S]
        return sum(call.has_begun for call in sent), len(sent)

    def __str__(self) -> str:
        begun, sound = self.sound_after
        statuses = sorted({(c.is_bad, c.status) for c in self.calls})
        return (
            f"{len(self.crashes)} crashes, {self.late_sends} sent late, "
            f"{begun} of {sound} sound ones began after it, {statuses}"
        )


def _make_stream_head(endpoint: Endpoint, exchange: Exchange) -> list[tuple[bytes, bytes]]:
    return [*endpoint.make_head(exchange), (b"Content-Type", b"text/event-stream")]


async def _stream_whole(endpoint: Endpoint, exchange: Exchange) -> None:
    exchange.start(200, _make_stream_head(endpoint, exchange))
    for number in range(get_first_event(exchange), EVENTS + 1):
        await exchange.send(make_event(number))
        await asyncio.sleep(EVENT_GAP_S)
    exchange.finish()


@asynccontextmanager
async def run_case(case: Case, seed: int = 1) -> Any:
    """Start the hosts and engines of a case; yield its fleet."""
    async with run_fleet(hosts=0, endpoints=0) as fleet:
        route = make_route(
            *("talk", "streaming", "model"),
            **{"attempts": 3, "resumable": case.is_resumable, "timeoutMs": 4000},
            sessionAffinity=True,
        )
        fleet.publish([route], [make_service("model", engine=ENGINE)])
        bad = BadPartFleet(fleet, case, seed)
        for domain in case.engines:
            await bad.add_engine(domain)
        for domain in case.hosts:
            await fleet.add_host(domain)
        await wait_for(lambda: all(_knows_all(host, case) for host in fleet.hosts))
        bad.began_at = time.monotonic()
        yield bad
        for task in list(bad._returns):
            task.cancel()


def _knows_all(host: Host, case: Case) -> bool:
    return (
        len(host.directory.endpoints) == len(case.engines)
        and len(host.members.peers) == len(case.hosts) - 1
    )
