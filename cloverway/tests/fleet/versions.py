"""Endpoints of several software versions, and callers that take their streams up again."""

from __future__ import annotations

import asyncio
import itertools
import re
from typing import Any, NamedTuple

from cloverway.serving.host import Host
from cloverway.serving.http.client import ClientExchange, ResponseError
from cloverway.tests.fleet.deployment import Fleet, Reply, read_reply, wait_for
from cloverway.tests.fleet.standins import Endpoint, make_route, make_service

EVENTS = 8
LEFT_AFTER = 4
"""Events that a caller gets before it leaves, or an endpoint sends before it breaks."""
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) at \S+\n\n")
LAST_EVENT = b"last-event-id"
PATHS = itertools.count(1)


class Begun(NamedTuple):
    """A stream that its caller left after some events."""

    id: str
    """The id of the request that brought its first event."""
    path: str
    body: bytes


def list_versions(body: bytes) -> set[str]:
    """Return the versions that wrote the events of a stream."""
    return {version.decode() for _, version in EVENT.findall(body)}


def list_ids(body: bytes) -> list[int]:
    """Return the ids of the events of a stream."""
    return [int(number) for number, _ in EVENT.findall(body)]


def is_whole(body: bytes) -> bool:
    """Return whether a stream has each of its events once."""
    return list_ids(body) == list(range(1, EVENTS + 1))


async def add_model(
    fleet: Fleet, name: str, version: str, domain: str = "d1", **fields: Any
) -> Endpoint:
    """Add an endpoint of the service `model` that writes its version into each event."""
    endpoint = await fleet.add_endpoint(name, "model", domain, version=version, **fields)
    serve_version(endpoint, version)
    return endpoint


def serve_version(
    endpoint: Endpoint, version: str, *, breaks: bool = False, crashes: bool = False
) -> None:
    """Let an endpoint answer with its version.

    With `breaks` each new stream ends midway; with `crashes` the endpoint crashes then.
    """

    async def answer(exchange) -> None:
        last = int(dict(exchange.headers).get(LAST_EVENT, b"0"))
        kind = (b"Content-Type", b"text/event-stream")
        exchange.start(200, [*endpoint.make_head(exchange), kind])
        for number in range(last + 1, EVENTS + 1):
            if (breaks or crashes) and not last and number > LEFT_AFTER:
                await asyncio.sleep(0.01)
                endpoint.crash() if crashes else exchange.connection.abort()
                return
            await exchange.send(
                b"id: %d\ndata: %s at %s\n\n" % (number, version.encode(), endpoint.name.encode())
            )
        exchange.finish()

    endpoint.answer = answer


def publish_stream_route(fleet: Fleet, **fields: Any) -> None:
    """Publish a route whose streams another endpoint may continue."""
    route = make_route("stream", "streaming", "model", attempts=3, resumable=True) | fields
    services = {"model", *(share["service"] for share in fields.get("weightedBackends", ()))}
    fleet.publish([route], [make_service(name) for name in sorted(services)])


async def wait_for_versions(fleet: Fleet) -> None:
    """Wait until all hosts know the endpoints as published, the routes and each other."""
    count = sum(key.startswith("servers/") for key in fleet.store.items)
    others = len(fleet.hosts) - 1

    def is_known(host: Host) -> bool:
        configuration = host.directory.configuration
        usable = [e for e in host.directory.endpoints.values() if e.missing_since is None]
        return (
            configuration is not None
            and configuration.version == fleet.version
            and len(usable) == count
            and len(host.members.peers) == others
        )

    await wait_for(lambda: all(map(is_known, fleet.hosts)))


def make_path() -> str:
    """Return the path of a request that no other one repeats."""
    return f"/stream/{next(PATHS)}"


async def begin_stream(
    fleet: Fleet, host: Host, events: int = LEFT_AFTER, path: str | None = None
) -> Begun:
    """Read some events of a new stream, and leave."""
    path = path or make_path()
    exchange = await fleet.begin_call(path, host)
    call_id = fleet.last_call_id
    body = await _read_events(exchange, events)
    exchange.connection.abort()
    return Begun(call_id, path, body)


async def take_up(fleet: Fleet, host: Host, begun: Begun, *, names_first: bool = True) -> Reply:
    """Take a stream up after the events that its caller has."""
    headers = [(b"Last-Event-Id", b"%d" % list_ids(begun.body)[-1])]
    if names_first:
        headers.append((b"Resumes", begun.id.encode()))
    exchange = await fleet.begin_call(begun.path, host, headers=tuple(headers))
    return await read_reply(exchange)


async def _read_events(exchange: ClientExchange, count: int) -> bytes:
    """Return the first `count` events of an answer, without what came together with them."""
    head = await exchange.read_head(lambda head: True)
    assert head.status == 200, head.status
    body = b""
    while len(EVENT.findall(body)) < count:
        part = await exchange.read_chunk()
        if not part:
            raise ResponseError("the stream ended early")
        body += part
    return b"".join(match.group(0) for match in list(EVENT.finditer(body))[:count])
