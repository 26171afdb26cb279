from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverway.config.settings import Limits
from cloverway.endpoints import EndpointClient
from cloverway.errors import Kind, Ran, RequestError
from cloverway.exchange import Reply
from cloverway.messages import Request
from cloverway.tests.raw_endpoint import Conversation, RawEndpoint, make_request, wait_until


@pytest.fixture
def client() -> Iterator[EndpointClient]:
    client = EndpointClient.from_settings(Limits())
    yield client
    client.close()


def send(client: EndpointClient, url: str, request: Request | None = None, **options) -> Reply:
    defaults = {"idempotent": True, "gap_s": 5.0, "priority": 1, "check": lambda: None}
    return client.send(url, request or make_request(), **(defaults | options))


def answer_forever(conversation: Conversation) -> None:
    while conversation.sock.fileno() >= 0:
        before = len(conversation.requests)
        conversation.answer(b'{"n": %d}' % before)
        if len(conversation.requests) == before:
            return


def fail(client: EndpointClient, *scripts, **options) -> RequestError:
    with RawEndpoint(*scripts) as endpoint, pytest.raises(RequestError) as failure:
        send(client, endpoint.url, **options)
    return failure.value


def test_whole_answer_and_request_headers(client: EndpointClient) -> None:
    with RawEndpoint(lambda c: c.answer(b'{"a": 1}', extra=b"X-Ran-At: e1\r\n")) as endpoint:
        reply = send(client, endpoint.url, make_request(key="k1"), priority=2)
    assert (reply.status, reply.content_type, reply.body) == (200, "application/json", b'{"a": 1}')
    assert reply.headers == (("X-Ran-At", "e1"),)
    head = endpoint.requests[0].lower()
    for line in (b"x-request-id: r1", b"idempotency-key: k1", b"cloverway-priority: 2"):
        assert line in head
    assert b"accept-encoding: identity" in head
    assert b"cloverway-deadline-ms: " in head


def test_body_cut_short_is_an_error(client: EndpointClient) -> None:
    """The caller sees an error in place of half an answer.

    The endpoint announces ten bytes, sends four and closes the connection, which without the
    count would look like an ordinary end.
    """

    def cut(conversation: Conversation) -> None:
        conversation.read_request()
        conversation.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1234")

    failure = fail(client, cut)
    assert (failure.kind, failure.ran) == (Kind.TRUNCATED, Ran.UNKNOWN)


def test_refused_connection_was_not_run(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        url = endpoint.url
    with pytest.raises(RequestError) as failure:
        send(client, url)
    assert (failure.value.kind, failure.value.ran) == (Kind.ENDPOINT_REFUSED, Ran.NO)


def test_idempotent_requests_share_a_connection(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        bodies = [send(client, endpoint.url).body for _ in range(3)]
        assert bodies == [b'{"n": 0}', b'{"n": 1}', b'{"n": 2}']
        send(client, endpoint.url, idempotent=False)
        assert len(endpoint.conversations) == 2


def test_whole_stream(client: EndpointClient) -> None:
    with RawEndpoint(stream_three) as endpoint:
        reply = send(client, endpoint.url)
        assert reply.stream is not None
        assert b"".join(reply.stream) == b"data: 0\n\ndata: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
        send(client, endpoint.url).stream.close()
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")


def stream_three(conversation: Conversation) -> None:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    while conversation.read_request():
        conversation.send(head)
        for event in (b"data: 0\n\n", b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"):
            conversation.send(b"%x\r\n%b\r\n" % (len(event), event))
        conversation.send(b"0\r\n\r\n")
