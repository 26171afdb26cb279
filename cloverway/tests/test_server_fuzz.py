"""Malformed and ambiguous requests at the callers' server; no sockets.

Run more by hand: FUZZ_INPUTS=100000 python -m pytest cloverway/tests/test_server_fuzz.py
"""

from __future__ import annotations

import asyncio
import os
import random

from cloverway.core.deployment import CallerLimits
from cloverway.serving.http.server import Server, ServerOptions
from cloverway.serving.http.transport import Connection

INPUTS = int(os.environ.get("FUZZ_INPUTS", "3000"))
SEED = int(os.environ.get("FUZZ_SEED", "1"))
LIMITS = CallerLimits(header_bytes=4096, body_bytes=4096, header_s=0.5, idle_s=0.5)
HEADS = (
    b"Content-Length: 5",
    b"Content-Length: 5, 5",
    b"Content-Length: 6",
    b"Content-Length: -1",
    b"Content-Length : 5",
    b"Content-Length:\t5",
    b"Content-Length: +5",
    b"Content-Length: 0x5",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: chunked, identity",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding:\x0bchunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    b" folded: yes",
    b"Host: other",
    b"X: a\x00b",
    b"X: a\nY: b",
)
BODIES = (
    b"hello",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"05\r\nhello\r\n0\r\n\r\n",
    b"5;x=y\r\nhello\r\n0\r\n\r\n",
    b"5 \r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"-5\r\nhello\r\n0\r\n\r\n",
    b"5\nhello\n0\n\n",
    b"ffffffffffffffff\r\nhello",
    b"0\r\n\r\n",
    b"0\r\nTrailer: x\r\n\r\n",
    b"",
)
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Records what is written; closing it ends the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def get_extra_info(self, name, default=None):
        return self if name == "socket" else default

    def setsockopt(self, *args):
        pass

    def write(self, data):
        self.written += bytes(data)

    def write_eof(self):
        self.closed = True

    def close(self):
        self.closed = True

    abort = close

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        pass

    resume_reading = pause_reading

    def get_write_buffer_size(self):
        return 0


async def feed(data: bytes) -> tuple[list, bytes]:
    """Return the requests that the server parsed, and what it answered."""
    seen = []

    async def handle(exchange):
        seen.append((exchange.method, exchange.target, exchange.body))
        await exchange.answer(200, [], b"ok")

    def refuse(exchange, error):
        return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

    server = Server(handle, ServerOptions(lambda: LIMITS, lambda: False, refuse))
    connection = Connection(server._accept)
    transport = FakeTransport()
    connection.connection_made(transport)
    connection.data_received(data)
    for _ in range(12):
        await asyncio.sleep(0)
    connection.eof_received()
    connection.connection_lost(None)
    for _ in range(12):
        await asyncio.sleep(0)
    assert not server._tasks
    return seen, transport.written


def make_input(source: random.Random) -> bytes:
    lines = [b"POST /a/b HTTP/1.1", b"Host: a", *source.sample(HEADS, source.randint(0, 3))]
    data = b"\r\n".join(lines) + b"\r\n\r\n" + source.choice(BODIES) + SMUGGLED
    if source.random() < 0.3:
        position = source.randrange(len(data))
        data = data[:position] + bytes([source.randrange(256)]) + data[position + 1 :]
    return data


def test_each_input_is_refused_or_parsed_in_one_way():
    """Guards against request smuggling by heads that two parsers understand differently.

    A head has a length and chunks, two lengths or odd spaces, and a second request follows. A
    parser that sees the end of the first request elsewhere than another one would run a piece of a
    body as a request that nobody sent. Each input is either refused with its connection closed, or
    read with exactly one meaning.
    """

    async def scenario():
        source = random.Random(SEED)
        for _ in range(INPUTS):
            data = make_input(source)
            seen, written = await feed(data)
            head, _, _ = data.partition(b"\r\n\r\n")
            lowered = head.lower()
            if b"transfer-encoding" in lowered and b"content-length:" in lowered:
                names = [line.partition(b":")[0] for line in lowered.split(b"\r\n")]
                if b"transfer-encoding" in names and b"content-length" in names:
                    assert seen == [], data
            for method, target, body in seen:
                assert method.encode() + b" " + target.encode("latin-1") in data
                assert body == b"" or len(body) <= LIMITS.body_bytes
            answers = written.count(b"HTTP/1.1 ")
            assert answers <= len(seen) + 1, data

    asyncio.run(scenario())


def test_random_bytes_are_refused_and_leave_no_task_behind():
    async def scenario():
        source = random.Random(SEED)
        for _ in range(INPUTS // 10):
            data = source.randbytes(source.randint(1, 200))
            seen, _ = await feed(data)
            assert seen == []

    asyncio.run(scenario())
