"""Endpoints of the own interface that send bytes without end which are no answer."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from cloverway.config.settings import Limits
from cloverway.errors import RequestError
from cloverway.tests.raw_endpoint import EndpointSideConnection, RawEndpoint, make_request
from cloverway.tests.test_endpoints import send
from cloverway.upstream.endpoints import EndpointClient

LIMITS = Limits(answer_bytes=4 * 1024 * 1024)
MAX_SENT_BYTES = 16 * 1024 * 1024
"""What a host may read: the limit on an answer is 4 MB, and the kernel buffers more."""
MAX_S = 2.0
"""Within which it gives up, well before the deadline, on a machine that is busy."""
DEADLINE_S = 4.0
PIECE = b"x" * 4000
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
EVENTS = OK + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(PIECE), PIECE)
WAYS = {
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "no protocol": (b"", PIECE),
    "header line": (OK + b"A: ", PIECE),
    "headers": (OK, b"A: b\r\n"),
    "blank lines": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"),
    "other interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body": (OK + b"Content-Length: 99999999999\r\n\r\n", PIECE),
    "chunks": (CHUNKED, CHUNK),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", PIECE),
    "trailer": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "event": (EVENTS, CHUNK),
    "event in small chunks": (EVENTS, b"1\r\nx\r\n"),
    "chunk size in a stream": (EVENTS, b"0"),
    "comment lines": (EVENTS, b"3\r\n: \n\r\n"),
}


@pytest.fixture
def client() -> Iterator[EndpointClient]:
    client = EndpointClient.from_settings(LIMITS)
    yield client
    client.close()


class Flood:
    """Sends one of the ways until the client closes."""

    def __init__(self, way: tuple[bytes, bytes]) -> None:
        self._first, piece = way
        self._piece = piece * (len(PIECE) // len(piece) + 1)
        self.sent = 0
        self.ended_after_s = float("inf")

    def serve(self, connection: EndpointSideConnection) -> None:
        if not connection.read_request():
            return
        started_at = time.monotonic()
        try:
            connection.send(self._first)
            while True:
                connection.send(self._piece)
                self.sent += len(self._piece)
        except OSError:
            self.ended_after_s = time.monotonic() - started_at


@pytest.mark.parametrize("name", WAYS)
def test_bytes_without_end_are_given_up(client: EndpointClient, name: str) -> None:
    """Guards against a daemon whose worker reads what is no answer until its caller's deadline."""
    flood = Flood(WAYS[name])
    with RawEndpoint(flood.serve) as endpoint:
        with pytest.raises(RequestError):
            reply = send(
                client, endpoint.url, make_request(deadline_s=DEADLINE_S), idempotent=False
            )
            assert reply.stream is not None
            b"".join(reply.stream)
        until = time.monotonic() + 1.0
        while flood.ended_after_s == float("inf") and time.monotonic() < until:
            time.sleep(0.01)
    assert flood.ended_after_s <= MAX_S
    assert flood.sent <= MAX_SENT_BYTES
