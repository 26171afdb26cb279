"""Endpoints that send an answer once more, when the next request is on its connection."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverway.config.settings import Limits
from cloverway.tests.raw_endpoint import EndpointSideConnection, RawEndpoint, make_request
from cloverway.tests.test_endpoints import send
from cloverway.upstream.endpoints import EndpointClient

STREAM = b"10\r\ndata: token %03d\n\r\n1\r\n\n\r\ne\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"


@pytest.fixture
def client() -> Iterator[EndpointClient]:
    client = EndpointClient.from_settings(Limits())
    yield client
    client.close()


class CopyingEndpoint:
    """Answers with the number of the request, after a copy of the answer before."""

    def __init__(self, *, names_requests: bool, is_stream: bool) -> None:
        self.answered = 0
        self._names_requests = names_requests
        self._is_stream = is_stream

    def serve(self, connection: EndpointSideConnection) -> None:
        """Answer the requests on a connection."""
        copy = b""
        while connection.read_request():
            self.answered += 1
            answer = self._make_answer(connection)
            connection.send(copy + answer)
            copy = answer

    def _make_answer(self, connection: EndpointSideConnection) -> bytes:
        named = connection.name_request() if self._names_requests else b""
        head = b"HTTP/1.1 200 OK\r\n" + named
        if self._is_stream:
            head += b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            return head + STREAM % self.answered
        return head + b"Content-Length: 3\r\n\r\n%03d" % self.answered


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("names_requests", [True, False])
def test_a_late_copy_of_an_answer_never_reaches_the_next_caller(
    client: EndpointClient, names_requests: bool, is_stream: bool
) -> None:
    """Guards against the answer of another caller, perhaps of another team."""
    copying = CopyingEndpoint(names_requests=names_requests, is_stream=is_stream)
    with RawEndpoint(copying.serve) as endpoint:
        for number in range(6):
            reply = send(client, endpoint.url, make_request(id=f"r{number}"))
            content = b"".join(reply.stream) if reply.stream is not None else reply.body
            assert b"%03d" % copying.answered in content


@pytest.mark.parametrize(
    ("names", "connections"), [("the request", 1), ("nothing", 3), ("another request", 3)]
)
def test_only_endpoints_that_name_requests_get_several_on_a_connection(
    client: EndpointClient, names: str, connections: int
) -> None:
    """Guards against answers that are told apart by their order alone."""

    def answer(connection: EndpointSideConnection) -> None:
        while connection.read_request():
            named = connection.name_request() if names == "the request" else b""
            named = b"X-Request-Id: own-7\r\n" if names == "another request" else named
            connection.send(b"HTTP/1.1 200 OK\r\n" + named + b"Content-Length: 2\r\n\r\n{}")

    with RawEndpoint(answer) as endpoint:
        for number in range(3):
            reply = send(client, endpoint.url, make_request(id=f"r{number}"))
            assert (reply.body, reply.headers) == (b"{}", ())
        assert len(endpoint.connections) == connections
