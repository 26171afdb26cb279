"""Components of the soak: endpoints that record what they ran, and host processes."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from cloverway.core.calls import Header
from cloverway.core.retry_budget import RetryBudgetSettings
from cloverway.serving.http.client import (
    ClientExchange,
    ConnectError,
    ConnectionPool,
    Destination,
    ResponseError,
    make_request,
)
from cloverway.serving.http.server import Exchange
from cloverway.tests.fleet import linked_host
from cloverway.tests.fleet.copies import LateCopies
from cloverway.tests.fleet.deployment import Reply, read_reply
from cloverway.tests.fleet.endings import (
    Close,
    begin_unframed,
    end_connection,
    get_first_event,
    read_parts,
)
from cloverway.tests.fleet.linked_host import VARIABLE
from cloverway.tests.fleet.standins import Endpoint, Store
from cloverway.tests.standins.links import Link
from cloverway.tests.standins.processes import Process

DOMAINS = {"d1": "north", "d2": "south"}
HOSTS = {"d1": 3, "d2": 2}
EVENTS = 5
UNFRAMED_SHARE = 0.3
"""Share of the answers of endpoints that have neither a length nor chunks."""
VERSIONS = ("v1", "v2")
"""Software versions of the endpoints, side by side in each service."""
GRACE_S = 6.0
RETRIES = RetryBudgetSettings(ratio=0.2, slack=12.0, window_s=4.0)
ROUTES = {
    "safe": ("idempotent", "desk", {"attempts": 2}),
    "once": ("non_idempotent", "desk", {}),
    "stream": ("streaming", "model", {"attempts": 2, "resumable": True}),
    "cut": ("streaming", "model", {}),
    "bound": ("non_idempotent", "desk", {"homeRegions": ["north"]}),
}


EVENT = re.compile(rb"id: \d+\ndata: [^\n]*\n\n")
NUMBER = re.compile(rb"id: (\d+)")
CRASHING_BODY = b"deadly"
"""Prefix of the bodies of requests that crash the endpoint that runs them."""


COPIED_SHARE = 0.1
"""Share of the plain answers and of the refusals that an endpoint sends once more, late."""
COPY_PAUSES_S = (0.0, 0.0, 0.02)
"""Time between such a copy and the answer that is due."""
FIRST_PART = 0xF1
OTHER_PARTS = range(0x100, 0x108)
"""Parts that the prompts of streams share, besides the first one."""


def make_prompt(random: Random, number: int, bad_part: int | None = None) -> tuple[Header, ...]:
    """Return the headers of a prompt with two shared parts, and a bad one between them."""
    parts = [FIRST_PART, random.choice(OTHER_PARTS), number]
    if bad_part is not None:
        parts.insert(1, bad_part)
    value = ",".join(f"{part:x}:200" for part in parts).encode()
    tokens = b"%d,30" % (200 * len(parts))
    return ((b"X-Cloverway-Prompt-Prefix", value), (b"X-Cloverway-Token-Usage", tokens))


class CallRecord(NamedTuple):
    """What a caller saw of a request; status 0 if there was no response."""

    id: str
    route: str
    host: str
    started_at: float
    ended_at: float
    status: int
    complete: bool
    body: bytes
    error: str = ""
    crashes_endpoints: bool = False
    """Whether the request crashes the endpoints that run it."""
    prior: bytes = b""
    """The events that the caller had of a stream that it took up."""


class Fault(NamedTuple):
    """An injected fault and its time."""

    name: str
    started_at: float
    ended_at: float


class CountingEndpoint(Endpoint):
    """An endpoint that records what it ran and names the request in each response."""

    def __init__(self, name: str, service: str, domain: str) -> None:
        super().__init__(name, service, domain)
        self.runs: list[str] = []
        self.arrivals: list[tuple[float, str]] = []
        """When each request reached the endpoint, whether it ran or not."""
        self.turns_away = False
        self.abort_probability = 0.0
        self.copies = LateCopies()
        self.start_time_ms = 1_700_000_000_000
        self.random = Random(name)
        self.version = self.random.choice(VERSIONS)
        self.answer = self.answer_by_route
        self.on_crash: Callable[[CountingEndpoint, bytes], None] = lambda endpoint, cause: None
        """Called when a request has crashed the endpoint, with its body or bad part."""
        self.bad_parts: dict[int, list[float]] = {}
        """When requests reached endpoints, by the part that crashes these; shared by all."""

    async def answer_by_route(self, exchange: Exchange) -> None:
        fields = dict(exchange.headers)
        request_id = fields[b"x-cloverway-request-id"].decode()
        self.arrivals.append((time.monotonic(), request_id))
        await self.copies.send(exchange, self.random.choice(COPY_PAUSES_S))
        if fields.get(b"x-cloverway-target-instance") != self.name.encode():
            await exchange.answer(421, [], b"")
            return
        if self.turns_away:
            refusal = (b"X-Cloverway-Not-Executed", b"1")
            self._may_copy(exchange, 503, [*self.make_head(exchange), refusal])
            await self.answer_not_executed(exchange)
            return
        self.runs.append(request_id)
        bad_part = next((part for part in read_parts(exchange) if part in self.bad_parts), None)
        if bad_part is not None:
            self.bad_parts[bad_part].append(time.monotonic())
        if bad_part is not None or exchange.body.startswith(CRASHING_BODY):
            await asyncio.sleep(0.02)
            self.on_crash(self, exchange.body if bad_part is None else b"part %x" % bad_part)
            return
        aborts = self.random.random() < self.abort_probability
        unframed = self.random.random() < UNFRAMED_SHARE
        if self.service == "desk":
            await asyncio.sleep(0.02)
            await self._answer_plain(exchange, request_id, aborts, unframed)
        elif unframed:
            await self._stream_unframed(exchange, request_id, aborts)
        else:
            await self._stream_chunks(exchange, request_id, aborts)

    async def _answer_plain(
        self, exchange: Exchange, request_id: str, aborts: bool, unframed: bool
    ) -> None:
        body = f"ran for {request_id}".encode()
        if not unframed:
            if aborts:
                exchange.connection.abort()
            else:
                self._may_copy(exchange, 200, self.make_head(exchange), body)
                await exchange.answer(200, self.make_head(exchange), body)
            return
        begin_unframed(self, exchange)
        exchange.connection.write(body[:-1] if aborts else body)
        end_connection(exchange.connection, Close.RESET if aborts else Close.ORDERLY)

    def _may_copy(
        self, exchange: Exchange, status: int, headers: list[Header], body: bytes = b""
    ) -> None:
        if self.random.random() < COPIED_SHARE:
            self.copies.add(exchange, status, headers, body)

    async def _stream_chunks(self, exchange: Exchange, request_id: str, aborts: bool) -> None:
        version = self.version
        exchange.start(200, [*self.make_head(exchange), (b"Content-Type", b"text/event-stream")])
        for number in range(get_first_event(exchange), EVENTS + 1):
            await exchange.send(_make_event(number, request_id, version))
            await asyncio.sleep(0.05)
            if aborts:
                exchange.connection.abort()
                return
        exchange.finish()

    async def _stream_unframed(self, exchange: Exchange, request_id: str, aborts: bool) -> None:
        """Stream without framing; a run that aborts ends inside an event, in order or reset."""
        version = self.version
        begin_unframed(self, exchange)
        for number in range(get_first_event(exchange), EVENTS + 1):
            event = _make_event(number, request_id, version)
            if aborts:
                exchange.connection.write(event[: self.random.randrange(1, len(event))])
                await asyncio.sleep(0.002)
                end_connection(exchange.connection, self.random.choice(list(Close)))
                return
            exchange.connection.write(event)
            await asyncio.sleep(0.05)
        end_connection(exchange.connection, Close.ORDERLY)


def _make_event(number: int, request_id: str, version: str) -> bytes:
    return b"id: %d\ndata: for %s by %s\n\n" % (number, request_id.encode(), version.encode())


class Host:
    """The process of a host, with its own link to the store."""

    def __init__(
        self,
        name: str,
        domain: str,
        ports: list[int],
        store: Store,
        folder: Path,
        *,
        retries: RetryBudgetSettings = RETRIES,
    ):
        self.name = name
        self.domain = domain
        self.store = Link(store.address).start()
        self.callers = f"127.0.0.1:{ports[0]}"
        self.lookup = f"127.0.0.1:{ports[2]}"
        self.control = f"127.0.0.1:{ports[3]}"
        self.forwarding = f"127.0.0.1:{ports[4]}"
        """Where it accepts requests of other hosts."""
        self.ports = ports
        self.retries = retries
        self.path = folder / f"{name}.toml"
        self._folder = folder
        self.process = self._make_process("cloverway.platform")
        self.is_busy = False
        """Whether a fault of its process is in progress."""

    def lead_through(self, links: dict[str, str]) -> None:
        """Let it reach other hosts through links, by the address where they accept requests."""
        self.process = self._make_process(linked_host.__name__, {VARIABLE: json.dumps(links)})

    def _make_process(self, module: str, variables: dict[str, str] | None = None) -> Process:
        boot = {"CLOVERWAY_BOOT": str(self.path)}
        return Process(self.name, module, [], self._folder, boot | (variables or {}))

    def write_settings(self, seeds: list[str]) -> None:
        regions = "\n".join(f'"{name}" = "{region}"' for name, region in DOMAINS.items())
        self.path.write_text(f"""
host = "{self.name}"
domain = "{self.domain}"
region = "{DOMAINS[self.domain]}"
grace_s = {GRACE_S}
[regions]
{regions}
[listen]
callers = "{self.callers}"
readiness = "127.0.0.1:{self.ports[1]}"
lookup = "{self.lookup}"
control = "{self.control}"
inner_ports = [{self.ports[4]}, {self.ports[4]}]
metrics_port = {self.ports[5]}
[peers]
seeds = {seeds}
[store]
address = "{self.store.address}"
[retries]
ratio = {self.retries.ratio}
slack = {self.retries.slack}
window_s = {self.retries.window_s}
""")


class StreamBegun(NamedTuple):
    """A stream that its caller takes up again."""

    first_id: str
    """The id of the request that brought its first event."""
    body: bytes
    last_event_id: bytes

    @classmethod
    def from_records(cls, first: CallRecord, last: CallRecord) -> StreamBegun | None:
        """Return what the caller has of a stream; None if it has no complete event, or all."""
        body = b"".join(EVENT.findall(last.prior + last.body))
        numbers = NUMBER.findall(body)
        if last.complete or not numbers or int(numbers[-1]) == EVENTS:
            return None
        return cls(first.id, body, numbers[-1])


async def send(
    request_id: str,
    host: str,
    route: str,
    pool: ConnectionPool,
    content: bytes,
    *,
    begun: StreamBegun | None = None,
    leaves_after: int | None = None,
    prompt: tuple[Header, ...] = (),
    crashes_endpoints: bool = False,
) -> CallRecord:
    """Send a request as a caller does and return what the caller saw.

    `begun` is the stream that it takes up; it leaves after some events if `leaves_after` is set.
    """
    fields = [
        (b"Host", b"shop.example"),
        (b"X-Cloverway-Request-Id", request_id.encode()),
        (b"X-Cloverway-Deadline-Ms", b"3000"),
        *prompt,
    ]
    if begun is not None:
        fields += [(b"Last-Event-Id", begun.last_event_id), (b"Resumes", begun.first_id.encode())]
    request = make_request("POST", f"/{route}/a", fields, content)
    started_at = time.monotonic()
    exchange: ClientExchange | None = None
    status, complete, body, error = 0, False, b"", ""
    try:
        async with asyncio.timeout(4.0):
            exchange = ClientExchange(await pool.acquire(Destination(host), 1.0), request, content)
            exchange.write()
            reply = await _read_reply(exchange, leaves_after)
        status, complete, body = reply.status, reply.complete, reply.body
    except (ConnectError, ResponseError, TimeoutError) as failure:
        error = repr(failure)
    finally:
        if exchange is not None:
            pool.release(Destination(host), exchange)
    ended_at = time.monotonic()
    return CallRecord(
        request_id,
        route,
        host,
        started_at,
        ended_at,
        status,
        complete,
        body,
        error,
        crashes_endpoints or content.startswith(CRASHING_BODY),
        begun.body if begun is not None else b"",
    )


async def _read_reply(exchange: ClientExchange, leaves_after: int | None) -> Reply:
    if leaves_after is None:
        return await read_reply(exchange)
    head = await exchange.read_head(lambda head: True)
    body = b""
    while len(EVENT.findall(body)) < leaves_after:
        part = await exchange.read_chunk()
        if not part:
            return Reply(head.status, dict(head.headers), body, True)
        body += part
    exchange.connection.abort()
    return Reply(head.status, dict(head.headers), body, False)


def write_again(
    store: Store, lost: dict[str, tuple[int, bytes]], restored_revision: int, deleted: set[str]
) -> None:
    """Write and delete again what a store has lost, except what was written since its return."""
    written_since = {
        key for key, (revision, _) in store.items.items() if revision > restored_revision
    }
    for key, (_, data) in lost.items():
        known = store.items.get(key)
        is_current = known is not None and known[1] == data
        if key not in written_since | deleted and not is_current:
            store.put_bytes(key, data)
    for key in [key for key in store.items if key not in lost or key in deleted]:
        if key not in written_since:
            store.delete(key)
