"""Endpoints that send bytes without end which are no answer, until the host closes."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest

from cloverway.core.calls import Header
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import SIGNATURE

MAX_SENT_BYTES = 12 * 1024 * 1024
"""What a host may read: the limit on an answer is 4 MB, and the kernel buffers as much again."""
MAX_S = 2.0
"""Within which it gives up, well before the timeout of the route, on a machine that is busy."""
MAX_SOUND_S = 0.4
"""How long a request beside it may take, which an endpoint answers at once."""
PIECE = b"x" * 4000


def make_head(request_id: bytes, *headers: Header) -> bytes:
    fields = (SIGNATURE, (b"X-Cloverway-Request-Id", request_id), *headers)
    lines = [b"HTTP/1.1 200 OK", *(b": ".join(field) for field in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


CHUNKED = (b"Transfer-Encoding", b"chunked")
EVENTS = (b"Content-Type", b"text/event-stream")
LENGTH = (b"Content-Length", b"99999999999")
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
EMPTY = (b"Content-Length", b"0")
NOT_RUN = (b"X-Cloverway-Not-Executed", b"1")
OTHER = b"another-request"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

Way = tuple[bytes, bytes]
"""What comes first, with the id of the request in place of ID, and what follows without end."""
PLAIN: dict[str, Way] = {
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "no protocol": (b"", PIECE),
    "header line": (b"HTTP/1.1 200 OK\r\nA: ", PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
    "blank lines": (b"", b"\r\n"),
    "body": (make_head(b"ID", LENGTH), PIECE),
    "chunks": (make_head(b"ID", CHUNKED), CHUNK),
    "small chunks": (make_head(b"ID", CHUNKED), b"1\r\nx\r\n"),
    "chunk size": (make_head(b"ID", CHUNKED), b"0"),
    "chunk extension": (make_head(b"ID", CHUNKED) + b"1;", PIECE),
    "trailer": (make_head(b"ID", CHUNKED) + b"0\r\n", b"A: b\r\n"),
    "unframed body": (make_head(b"ID"), PIECE),
    "refusal": (make_head(b"ID", CHUNKED, NOT_RUN).replace(b"200 OK", b"503 No"), CHUNK),
    "bytes after the answer": (make_head(b"ID", EMPTY), PIECE),
    "body of another answer": (make_head(OTHER, CHUNKED), CHUNK),
    "other answers": (b"", make_head(OTHER, EMPTY)),
    "interim answers": (b"", INTERIM),
}
STREAM: dict[str, Way] = {
    "event": (make_head(b"ID", CHUNKED, EVENTS), CHUNK),
    "event in small chunks": (make_head(b"ID", CHUNKED, EVENTS), b"1\r\nx\r\n"),
    "chunk size in a stream": (make_head(b"ID", CHUNKED, EVENTS), b"0"),
    "unframed event": (make_head(b"ID", EVENTS), PIECE),
    "body of another stream": (make_head(OTHER, CHUNKED, EVENTS), CHUNK),
}
ENDS_WELL = {"bytes after the answer"}


class Flood:
    """An endpoint's answer without end."""

    def __init__(self, way: Way) -> None:
        self._first, piece = way
        self._piece = piece * (len(PIECE) // len(piece) + 1)
        self.sent = 0
        self.ended_after_s: float | None = None

    async def answer(self, exchange) -> None:
        started_at = time.monotonic()
        request_id = dict(exchange.headers)[b"x-cloverway-request-id"]
        try:
            exchange.connection.write(self._first.replace(b"ID", request_id, 1))
            while True:
                exchange.connection.write(self._piece)
                self.sent += len(self._piece)
                await exchange.connection.drain()
                await asyncio.sleep(0)
        finally:
            self.ended_after_s = time.monotonic() - started_at


async def call_beside(fleet, flood):
    """Send sound requests until the flood has ended; return the longest time that one took."""
    longest_s = 0.0
    for _ in itertools.takewhile(lambda _: flood.ended_after_s is None, itertools.count()):
        started_at = time.monotonic()
        reply = await fleet.call("/once/a")
        assert reply.status == 200
        longest_s = max(longest_s, time.monotonic() - started_at)
        await asyncio.sleep(0.01)
    return longest_s


@pytest.mark.parametrize("name", [*PLAIN, *STREAM])
def test_bytes_without_end_are_given_up(name):
    """Guards against a host that reads on what is no answer, and holds up sound requests."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            flood = Flood((PLAIN | STREAM)[name])
            path = "/cut/a" if name in STREAM else "/safe/a"
            sound, faulty = fleet.endpoints["desk-0"], fleet.endpoints["model-0"]
            faulty.answer = flood.answer
            if name not in STREAM:
                faulty = await fleet.add_endpoint("desk-1", "desk")
                faulty.answer = flood.answer
                sound.answer = sound.answer_not_executed
                await wait_for(lambda: "desk-1" in fleet.hosts[0].directory.endpoints)
            calling = asyncio.create_task(fleet.call(path))
            await wait_for(lambda: flood.sent)
            sound.answer = sound.answer_ok
            faulty.answer = faulty.answer_ok
            longest_s = await call_beside(fleet, flood)
            assert flood.ended_after_s <= MAX_S
            assert flood.sent <= MAX_SENT_BYTES
            assert longest_s <= MAX_SOUND_S
            reply = await calling
            assert (
                not (reply.complete and reply.status == 200)
                or name in ENDS_WELL
                or (reply.body == b"ran at desk-0")
            )

    run_scenario(scenario)
