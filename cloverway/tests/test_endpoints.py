from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from cloverway.config.settings import Limits
from cloverway.errors import EndpointLostError, Kind, Ran, RequestError
from cloverway.messages import Request
from cloverway.replies import Reply
from cloverway.tests.raw_endpoint import (
    TIMEOUT_S,
    EndpointSideConnection,
    RawEndpoint,
    make_request,
)
from cloverway.tests.standins.waiting import wait_until
from cloverway.upstream.connections import EndpointConnection
from cloverway.upstream.endpoints import EndpointClient
from cloverway.upstream.pending import PendingExchanges


@pytest.fixture
def client() -> Iterator[EndpointClient]:
    client = EndpointClient.from_settings(Limits())
    yield client
    client.close()


def send(client: EndpointClient, url: str, request: Request | None = None, **options) -> Reply:
    defaults = {
        "idempotent": True,
        "max_gap_s": 5.0,
        "priority": 1,
        "check_before_send": lambda: None,
    }
    return client.send(url, request or make_request(), **(defaults | options))


def answer_forever(connection: EndpointSideConnection) -> None:
    while connection.sock.fileno() >= 0:
        before = len(connection.requests)
        connection.answer(b'{"n": %d}' % before)
        if len(connection.requests) == before:
            return


def send_expecting_error(client: EndpointClient, *scripts, **options) -> RequestError:
    with RawEndpoint(*scripts) as endpoint, pytest.raises(RequestError) as failure:
        send(client, endpoint.url, **options)
    return failure.value


def test_complete_answer_and_request_headers(client: EndpointClient) -> None:
    with RawEndpoint(lambda c: c.answer(b'{"a": 1}', extra=b"X-Ran-At: e1\r\n")) as endpoint:
        reply = send(client, endpoint.url, make_request(key="k1"), priority=2)
    assert (reply.status, reply.content_type, reply.body) == (200, "application/json", b'{"a": 1}')
    assert reply.headers == (("X-Ran-At", "e1"),)
    head = endpoint.requests[0].lower()
    for line in (b"x-request-id: r1", b"idempotency-key: k1", b"cloverway-priority: 2"):
        assert line in head
    assert b"accept-encoding: identity" in head
    assert b"cloverway-deadline-ms: " in head


def test_truncated_body_is_an_error(client: EndpointClient) -> None:
    """The caller gets an error instead of a truncated answer.

    The endpoint announces ten bytes, sends four and closes the connection. Without the length,
    this would look like an ordinary end.
    """

    def close_midway(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1234")

    failure = send_expecting_error(client, close_midway)
    assert (failure.kind, failure.ran) == (Kind.TRUNCATED, Ran.UNKNOWN)
    assert isinstance(failure, EndpointLostError)


def test_refused_connection_counts_as_not_run(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        url = endpoint.url
    with pytest.raises(RequestError) as failure:
        send(client, url)
    assert (failure.value.kind, failure.value.ran) == (Kind.ENDPOINT_REFUSED, Ran.NO)


def test_complete_stream(client: EndpointClient) -> None:
    with RawEndpoint(stream_three) as endpoint:
        reply = send(client, endpoint.url)
        assert reply.stream is not None
        assert b"".join(reply.stream) == b"data: 0\n\ndata: 1\n\ndata: 2\n\ndata: [DONE]\n\n"
        send(client, endpoint.url).stream.close()
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


def stream_three(connection: EndpointSideConnection) -> None:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    while connection.read_request():
        connection.send(head)
        for event in (b"data: 0\n\n", b"data: 1\n\n", b"data: 2\n\n", b"data: [DONE]\n\n"):
            connection.send(b"%x\r\n%b\r\n" % (len(event), event))
        connection.send(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("answer", "kind", "ran"),
    [
        (b"503 Busy\r\nCloverway-Ran: no\r\nRetry-After: 2", Kind.ENDPOINT_REFUSED, Ran.NO),
        (b"429 Busy\r\nCloverway-Ran: no\r\nRetry-After: 2", Kind.ENDPOINT_REFUSED, Ran.NO),
        (b"503 Busy", Kind.ENDPOINT_FAILED, Ran.UNKNOWN),
        (b"500 Broken\r\nCloverway-Ran: no", Kind.ENDPOINT_FAILED, Ran.UNKNOWN),
        (b"302 Elsewhere\r\nLocation: http://10.0.0.1/", Kind.ENDPOINT_FAILED, Ran.UNKNOWN),
        (b"103 Early Hints", Kind.ENDPOINT_FAILED, Ran.UNKNOWN),
    ],
)
def test_error_answers_are_not_passed_to_the_caller(client, answer, kind, ran) -> None:
    failure = send_expecting_error(client, lambda c: c.answer(b"{}", answer), idempotent=False)
    assert (failure.kind, failure.ran) == (kind, ran)
    assert failure.retry_after == (2.0 if ran is Ran.NO else None)
    assert not isinstance(failure, EndpointLostError), "an endpoint that answers has not crashed"


def test_client_errors_are_passed_to_the_caller(client: EndpointClient) -> None:
    hops = b"Connection: x-hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-Own: 2\r\n"
    with RawEndpoint(lambda c: c.answer(b"no", b"422 Wrong", hops)) as endpoint:
        reply = send(client, endpoint.url)
    assert (reply.status, reply.body, reply.headers) == (422, b"no", (("X-Own", "2"),))


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno length: whether it is whole can't be known",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"x" * 90000,
        b"HTTP/1.1 200",
        b"SMTP ready\r\n\r\n",
        b"",
    ],
)
def test_incomplete_answers_are_errors(answer: bytes) -> None:
    """The caller gets an error with an unknown outcome, never an incomplete answer.

    The endpoint reads the request, sends an incomplete answer and closes; it may have run.
    """

    def send_incomplete(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(answer)

    client = EndpointClient.from_settings(Limits(answer_bytes=65536))
    failure = send_expecting_error(client, send_incomplete, idempotent=False)
    client.close()
    assert failure.ran is Ran.UNKNOWN
    assert failure.kind in {Kind.ENDPOINT_FAILED, Kind.TRUNCATED}


def test_nothing_is_sent_when_the_check_refuses(client: EndpointClient) -> None:
    """A request that is reported as not run was never sent.

    The process is suspended between the decision and the send and resumes after the deadline. The
    check before the first byte raises, so the endpoint sees a connection without a request.
    """

    def refuse() -> None:
        raise RequestError(Kind.DEADLINE)

    with RawEndpoint(answer_forever) as endpoint:
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url, idempotent=False, check_before_send=refuse)
        wait_until(lambda: endpoint.closed_count == 1, what="close")
        assert endpoint.requests == []
    assert failure.value.ran is Ran.NO


def test_expired_or_unencodable_requests_are_not_sent(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        send(client, endpoint.url)
        for request in (make_request(-1), make_request(id="two\nlines")):
            with pytest.raises(RequestError) as failure:
                send(client, endpoint.url, request)
            assert failure.value.ran is Ran.NO
        assert len(endpoint.requests) == 1


def answer_once(connection: EndpointSideConnection) -> None:
    connection.answer(b"{}")
    connection.read_request()


@pytest.mark.parametrize("at_once", [True, False])
def test_unsolicited_second_answer_is_never_delivered(
    client: EndpointClient, at_once: bool
) -> None:
    """Each caller gets the answer to its own request, although the endpoint answers one twice.

    The second answer arrives with the first one, or later, while the connection is idle. If the
    connection were reused, the next caller would get that answer.
    """
    sent = threading.Event()
    closed: list[bool] = []

    def answer_twice(connection: EndpointSideConnection) -> None:
        connection.read_request()
        head = b"HTTP/1.1 200 OK\r\n" + connection.name_request()
        first_answer = head + b"Content-Length: 5\r\n\r\nfirst"
        connection.send(first_answer * 2 if at_once else first_answer)
        if not at_once:
            connection.send(first_answer)
        sent.set()
        closed.append(connection.wait_for_close())

    with RawEndpoint(answer_twice, answer_forever) as endpoint:
        assert send(client, endpoint.url).body == b"first"
        assert sent.wait(TIMEOUT_S)
        assert send(client, endpoint.url).body == b'{"n": 0}'
        wait_until(lambda: closed == [True], what="close without a second request")


def test_late_answer_is_never_delivered(client: EndpointClient) -> None:
    """An answer that arrives after the deadline is never delivered to the next caller.

    The endpoint answers the first request after its deadline. That connection was closed instead
    of pooled, and the engine got a cancel.
    """

    def answer_late(connection: EndpointSideConnection) -> None:
        connection.read_request()
        assert connection.wait_for_close()
        connection.answer(b"late")

    with RawEndpoint(answer_late, answer_forever) as endpoint:
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url, make_request(0.1))
        assert (failure.value.kind, failure.value.ran) == (Kind.TIMED_OUT, Ran.UNKNOWN)
        assert send(client, endpoint.url).body == b'{"n": 0}'
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"])
def test_slow_answer_is_aborted_at_its_deadline(client: EndpointClient, head: bytes) -> None:
    """The request fails at its deadline although bytes keep arriving.

    Each byte arrives within the timeout of a single read, so that only a deadline for all reads
    ends the request.
    """

    def drip(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(head)
        connection.sock.settimeout(0.01)
        while not connection.wait_for_close():
            connection.send(b"H")

    failure = send_expecting_error(client, drip, request=make_request(0.2))
    assert failure.kind is Kind.TIMED_OUT


def test_concurrent_requests_are_not_mixed_up(client: EndpointClient) -> None:
    def echo(connection: EndpointSideConnection) -> None:
        while request := connection.read_request():
            body = request.partition(b"\r\n\r\n")[2]
            head = b"HTTP/1.1 200 OK\r\n" + connection.name_request()
            connection.send(head + b"Content-Length: %d\r\n\r\n" % len(body))
            connection.send(body)

    def ask(number: int) -> bool:
        body = b"%d" % number * 3000
        return send(client, endpoint.url, make_request(body=body)).body == body

    with RawEndpoint(echo) as endpoint, ThreadPoolExecutor(8) as workers:
        assert all(workers.map(ask, range(200)))
        assert len(endpoint.connections) <= 8


@pytest.mark.parametrize("framing", [b"Transfer-Encoding: chunked", b"Content-Length: 7"])
def test_answers_without_a_body(client: EndpointClient, framing: bytes) -> None:
    def answer_head(connection: EndpointSideConnection) -> None:
        while connection.read_request():
            head = b"HTTP/1.1 200 OK\r\n" + connection.name_request()
            connection.send(head + framing + b"\r\n\r\n")

    with RawEndpoint(answer_head) as endpoint:
        request = make_request(method="HEAD", body=b"", path="/v1/services/stock")
        assert [send(client, endpoint.url, request).body for _ in range(2)] == [b"", b""]
        assert len(endpoint.connections) == 1
    assert b"content-length: 0" not in endpoint.requests[0].lower()


def test_invalid_path_is_not_sent(client: EndpointClient) -> None:
    failure = send_expecting_error(
        client, answer_forever, request=make_request(path="/a b\r\nX: y")
    )
    assert (failure.kind, failure.ran) == (Kind.MALFORMED, Ran.NO)


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"])
def test_caller_disconnects_before_its_answer(client: EndpointClient, head: bytes) -> None:
    """The engine gets a cancel at once when the caller of a non-streamed answer disconnects.

    The worker blocks in a read at that time. It is woken, closes its connection to the endpoint
    and sends a cancel; the request is not retried.
    """

    def never_end(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(head)
        connection.wait_for_close()

    with RawEndpoint(answer_once, never_end) as endpoint, ThreadPoolExecutor(1) as worker:
        send(client, endpoint.url)
        client._pool.close()
        ended = worker.submit(send, client, endpoint.url)
        wait_until(lambda: len(endpoint.requests) == 2, what="request")
        client.abort("another")
        client.abort("r1")
        error = ended.exception(TIMEOUT_S)
        assert (error.kind, error.ran) == (Kind.CALLER_LEFT, Ran.UNKNOWN)
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")
        assert len(endpoint.requests) == 2


def test_caller_disconnects_before_the_first_byte_is_sent(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url, check_before_send=lambda: client.abort("r1"))
        assert failure.value.kind is Kind.CALLER_LEFT


def test_non_idempotent_request_continues_after_a_disconnect(client: EndpointClient) -> None:
    """A non-idempotent request of a disconnected caller completes, so its answer is recorded.

    If it were aborted midway, a repeat with its key could not learn what was done.
    """
    request_read, proceed = threading.Event(), threading.Event()

    def answer_slowly(connection: EndpointSideConnection) -> None:
        request_read.set()
        assert proceed.wait(TIMEOUT_S)
        connection.answer(b"{}")

    with RawEndpoint(answer_slowly) as endpoint, ThreadPoolExecutor(1) as worker:
        ended = worker.submit(send, client, endpoint.url, idempotent=False)
        assert request_read.wait(TIMEOUT_S)
        client.abort("r1")
        proceed.set()
        assert ended.result(TIMEOUT_S).body == b"{}"


def test_abort_does_not_affect_the_next_request_on_a_connection() -> None:
    pending = PendingExchanges()
    left, right = socket.socketpair()
    with left, right, pending.track("r1") as pending_exchange:
        pending_exchange.connection = EndpointConnection.from_address(("127.0.0.1", 1), 1.0)
        pending_exchange.connection.sock = left
        pending.detach_connection(pending_exchange)
        assert pending.abort("r1")
        right.send(b"x")
        assert left.recv(1) == b"x"
    assert not pending.abort("r1")
