"""Fakes of the platform's store and endpoints, on loopback in the event loop of the test."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from cloverway.core.calls import Header
from cloverway.core.deployment import CallerLimits
from cloverway.serving.clock import read_clock
from cloverway.serving.http.server import Exchange, Server, ServerOptions

SIGNATURE = (b"X-Cloverway-Response-Seal", b"1.2.3")


RESERVED_SOCKETS: list[socket.socket] = []
PORT_RANGE = (3_000, 12_000)
"""Below the ports of tests with processes, and below the range of ephemeral ports."""


def take_ports(count: int) -> list[int]:
    """Reserve ports for servers that are started later.

    The reserving sockets stay bound until the process exits; a server can bind to the same port,
    since the reserving socket doesn't listen. The ports are below the range of ephemeral ports: a
    host binds a UDP socket to the number of its TCP port, and failed to start when the system had
    assigned that number to a UDP socket of another test process.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        RESERVED_SOCKETS.append(sock)
        ports.append(port)
    return ports


def make_server(handler: Callable[[Exchange], Awaitable[None]]) -> Server:
    def refuse(exchange, error):
        return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"

    return Server(handler, ServerOptions(CallerLimits, lambda: False, refuse))


class StoreCopy(NamedTuple):
    """What a store holds at one moment."""

    revision: int
    items: dict[str, tuple[int, bytes]]
    history: list[tuple[str, int, bytes | None]]


class Store:
    """A store that is read-only over HTTP; operators and endpoints write in process."""

    def __init__(self) -> None:
        self.port = take_ports(1)[0]
        self.revision = 1
        self.epoch: bytes | None = None
        """The epoch that it states in all its responses; None for a store that states none."""
        self.items: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[str, int, bytes | None]] = []
        self.compacted = 0
        self.status = 200
        self.silent = False
        self.delay_s = 0.0
        """Delay of each response."""
        self.page_size = 3
        self.calls: list[str] = []
        self.server = make_server(self._handle)
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        await self.server.start(self.address)

    def put(self, key: str, value: Any) -> int:
        return self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, data: bytes) -> int:
        """Write any data, as another writer of the store may do."""
        self.revision += 1
        self.items[key] = (self.revision, data)
        self._record(key, data)
        return self.revision

    def delete(self, key: str) -> None:
        self.revision += 1
        self.items.pop(key, None)
        self._record(key, None)

    def compact(self) -> None:
        """Discard the history, so that watches from an older revision fail."""
        self.compacted = self.revision
        self.history.clear()
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy to which the store can be restored later."""
        return StoreCopy(self.revision, dict(self.items), list(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Lose all writes since a copy: their revisions are assigned again, in a new epoch."""
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.compacted = min(self.compacted, copy.revision)
        self.epoch = b"%d" % (int(self.epoch or 0) + 1)
        self._wake()

    def _record(self, key: str, data: bytes | None) -> None:
        self.history.append((key, self.revision, data))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, exchange: Exchange) -> None:
        self.calls.append(exchange.target)
        if self.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.delay_s)
        if self.status != 200:
            await exchange.answer(self.status, self._make_head(), b"")
            return
        parts = urlsplit(exchange.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        handler = self._range if parts.path == "/kv-range" else self._watch
        status, answer = await handler(query)
        await exchange.answer(status, self._make_head(), json.dumps(answer).encode())

    def _make_head(self) -> list[Header]:
        return [] if self.epoch is None else [(b"Store-Era", self.epoch)]

    async def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self._item(key, *self.items[key]) for key in keys[: self.page_size]]
        return 200, {"items": items, "hasMore": len(keys) > self.page_size, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        changed = self._changed
        if not self._since(after) and self.compacted <= after <= self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), int(query["waitMs"]) / 1000)
        if not self.compacted <= after <= self.revision:
            return 410, {}
        return 200, {"events": self._since(after), "at": self.revision}

    def _since(self, after: int) -> list[Any]:
        return [self._item(k, r, v) for k, r, v in self.history if r > after]

    def _item(self, key: str, revision: int, data: bytes | None) -> Any:
        if data is None:
            return {"key": key, "revision": revision, "tombstone": True}
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "createdAt": 1, "lease": 0}


class Endpoint:
    """An endpoint whose responses the test chooses."""

    def __init__(self, name: str, service: str, domain: str) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.port = take_ports(1)[0]
        self.requests: list[Exchange] = []
        self.answer: Callable[[Exchange], Awaitable[None]] = self.answer_ok
        self.cancelled = 0
        self.is_down = False
        self.start_time_ms = 1
        """Start time of the running incarnation; its entry may show it late."""
        self.cold_until = 0.0
        """Until when its health responses say that it is cold."""
        self.health_requests = 0
        self.state_requests = 0
        """How often its state was requested."""
        self.server = make_server(self._handle)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        await self.server.start(self.address)

    def make_entry(self, **fields: Any) -> Any:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        } | fields

    def make_head(self, exchange: Exchange) -> list[tuple[bytes, bytes]]:
        named = dict(exchange.headers).get(b"x-cloverway-request-id", b"")
        return [SIGNATURE, (b"X-Cloverway-Request-Id", named)]

    async def answer_ok(self, exchange: Exchange) -> None:
        await exchange.answer(200, self.make_head(exchange), b"ran at " + self.name.encode())

    async def answer_not_executed(self, exchange: Exchange) -> None:
        headers = [*self.make_head(exchange), (b"X-Cloverway-Not-Executed", b"1")]
        await exchange.answer(503, headers, b"")

    async def never_answer(self, exchange: Exchange) -> None:
        await asyncio.sleep(3600)

    async def abort_connection(self, exchange: Exchange) -> None:
        exchange.connection.abort()

    def stream(self, first: int, last: int, *, aborts: bool = False, gap_s: float = 0.0):
        """Return a handler that streams events; `aborts` cuts it off within the next event."""

        async def answer(exchange: Exchange) -> None:
            kind = (b"Content-Type", b"text/event-stream")
            exchange.start(200, [*self.make_head(exchange), kind])
            for number in range(first, last + 1):
                await exchange.send(b"id: %d\ndata: token %d\n\n" % (number, number))
                await asyncio.sleep(gap_s)
            if aborts:
                await exchange.send(b"id: %d\ndata: to" % (last + 1))
                await asyncio.sleep(0.05)
                exchange.connection.abort()
                return
            exchange.finish()

        return answer

    def crash(self) -> None:
        """Simulate a crash of the process: abort all connections and stop listening."""
        self.is_down = True
        self.server.stop_accepting()
        for exchange in self.requests:
            exchange.connection.abort()

    async def restart(self) -> None:
        """Listen again on the address after a crash, as a new incarnation."""
        self.requests.clear()
        self.start_time_ms += 1
        self.server = make_server(self._handle)
        await self.start()
        self.is_down = False

    async def answer_state(self, exchange: Exchange) -> None:
        """Respond to a request for the endpoint's state."""
        self.state_requests += 1
        state = {"stage": "combined", "waiting": 0, "running": 0, "born": self.start_time_ms}
        await exchange.answer(200, [], json.dumps(state).encode())

    async def answer_health(self, exchange: Exchange) -> None:
        """Respond to a health check, with the time for which the endpoint is still cold."""
        self.health_requests += 1
        cold_ms = int((self.cold_until - read_clock()) * 1000)
        headers = [(b"X-Cloverway-Instance-Id", self.name.encode())]
        if cold_ms > 0:
            headers.append((b"X-Cloverway-Cold-Ms", b"%d" % cold_ms))
        await exchange.answer(200, headers, b"")

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.target == "/report":
            await self.answer_state(exchange)
            return
        if exchange.target == "/health":
            await self.answer_health(exchange)
            return
        self.requests.append(exchange)
        try:
            await self.answer(exchange)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def make_shared_prefix_headers(own: int, tokens: int) -> tuple[Header, ...]:
    """Return the headers of a request whose prompt has a shared prefix and a private segment."""
    return (
        (b"X-Cloverway-Token-Usage", b"%d,30" % (6_000 + tokens)),
        (b"X-Cloverway-Prompt-Prefix", b"a1:6000,%x:%d" % (own, tokens)),
    )


def make_route(name: str, kind: str, service: str, **fields: Any) -> Any:
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "sessionAffinity": False,
        "resumable": False,
        "homeRegions": [],
    } | fields


def make_service(name: str, **fields: Any) -> Any:
    return {
        "name": name,
        "healthCheckPath": "/health",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    } | fields


def make_configuration(version: int, routes: list[Any], services: list[Any]) -> Any:
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 100_000,
        "headerTimeoutMs": 1000,
        "idleTimeoutMs": 5000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}
