"""Answers of endpoints without a length or chunks, and how their connections end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from enum import Enum
from typing import NamedTuple

from cloverway.serving.http.server import Exchange
from cloverway.serving.http.transport import Connection
from cloverway.tests.fleet.standins import Endpoint
from cloverway.tests.standins.links import reset_transport

EVENTS = 4
Answer = Callable[[Exchange], Awaitable[None]]


class Close(Enum):
    """How an endpoint ends a connection."""

    ORDERLY = "orderly"
    RESET = "reset"


class Ending(NamedTuple):
    """Where and how a stream ends."""

    last: int = EVENTS
    """Number of its last complete event."""
    rest: bytes = b""
    """What follows that event."""
    close: Close = Close.ORDERLY
    newline: bytes = b"\n"


def make_event(number: int, newline: bytes = b"\n") -> bytes:
    return b"id: %d%sdata: token %d%s" % (number, newline, number, newline * 2)


def make_stream(newline: bytes = b"\n") -> bytes:
    """Return all events of a whole stream."""
    return b"".join(make_event(number, newline) for number in range(1, EVENTS + 1))


def end_connection(connection: Connection, close: Close) -> None:
    """Close a connection in order, or reset it."""
    if close is Close.RESET:
        reset_transport(connection.transport)
    connection.close()


def begin_unframed(endpoint: Endpoint, exchange: Exchange) -> None:
    """Send the head of an answer that ends with its connection."""
    lines = [b"HTTP/1.1 200 OK", *(b": ".join(item) for item in endpoint.make_head(exchange))]
    exchange.connection.write(b"\r\n".join(lines) + b"\r\n\r\n")


def get_first_event(exchange: Exchange) -> int:
    """Return the number of the event at which a run begins."""
    return int(dict(exchange.headers).get(b"last-event-id", b"0")) + 1


def read_parts(exchange: Exchange) -> list[int]:
    """Return the parts of a request's prompt that other requests may have too."""
    value = dict(exchange.headers).get(b"x-cloverway-prompt-prefix", b"")
    return [int(item.partition(b":")[0], 16) for item in value.split(b",") if item][:-1]


def stream_unframed(endpoint: Endpoint, endings: Iterator[Ending]) -> Answer:
    """Return a handler that streams events without framing; each run ends as the next says."""

    async def answer(exchange: Exchange) -> None:
        ending = next(endings)
        begin_unframed(endpoint, exchange)
        for number in range(get_first_event(exchange), ending.last + 1):
            exchange.connection.write(make_event(number, ending.newline))
            await asyncio.sleep(0)
        exchange.connection.write(ending.rest)
        # Separate reads at the host, as in a stream that ends some time after its last event.
        await asyncio.sleep(0.002)
        end_connection(exchange.connection, ending.close)

    return answer


def answer_unframed(endpoint: Endpoint, body: bytes) -> Answer:
    """Return a handler that sends a plain answer without framing."""

    async def answer(exchange: Exchange) -> None:
        begin_unframed(endpoint, exchange)
        exchange.connection.write(body)
        await asyncio.sleep(0.002)
        end_connection(exchange.connection, Close.ORDERLY)

    return answer


def answer_bytes(data: bytes, close: Close) -> Answer:
    """Return a handler that sends any bytes, and then ends its connection."""

    async def answer(exchange: Exchange) -> None:
        exchange.connection.write(data)
        await asyncio.sleep(0.002)
        end_connection(exchange.connection, close)

    return answer


FRAMES = {
    "chunks": (b"Transfer-Encoding: chunked", b"%x\r\n%b\r\n", b"0\r\n\r\n"),
    "length": (b"Content-Length: %d" % len(make_stream()), b"%b", b""),
    "connection": (b"Date: today", b"%b", b""),
}
"""The header, each piece, and what follows the last one, by what marks the end."""


def frame_stream(framing: str, pieces: list[bytes], *, has_end: bool) -> bytes:
    """Return an answer in a framing, with or without what marks its end."""
    header, form, end = FRAMES[framing]
    head = b"HTTP/1.1 200 OK\r\nX-Cloverway-Response-Seal: 1.2.3\r\nConnection: close\r\n"
    kind = b"Content-Type: text/event-stream\r\n"
    body = b"".join(form % ((len(p), p) if framing == "chunks" else (p,)) for p in pieces)
    return head + kind + header + b"\r\n\r\n" + body + (end if has_end else b"")
