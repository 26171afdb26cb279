"""Pooled connections to endpoints, and failures on them."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import pytest

from cloverway.config.settings import Limits
from cloverway.errors import EndpointLostError, Kind, Ran, RequestError
from cloverway.tests.raw_endpoint import (
    EndpointSideConnection,
    RawEndpoint,
    make_request,
)
from cloverway.tests.test_endpoints import answer_forever, answer_once, send
from cloverway.upstream.connections import MAX_IDLE_PER_ADDRESS, ConnectionPool, EndpointConnection
from cloverway.upstream.endpoints import EndpointClient


@pytest.fixture
def client() -> Iterator[EndpointClient]:
    client = EndpointClient.from_settings(Limits())
    yield client
    client.close()


def test_crash_during_a_request_on_a_pooled_connection_is_reported(client) -> None:
    """A crash of an endpoint counts against the request that was sent on a pooled connection.

    The pooled connection fails, which may be a dropped idle connection, so the request is retried
    on a new one; but the endpoint no longer listens. If that did not count as a crash, the request
    could crash endpoint after endpoint without being quarantined.
    """

    def crash(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}")
        endpoint.stop_listening()
        connection.read_request()

    with RawEndpoint(crash) as endpoint:
        send(client, endpoint.url)
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url)
    assert isinstance(failure.value, EndpointLostError)
    assert (failure.value.kind, failure.value.ran) == (Kind.ENDPOINT_FAILED, Ran.UNKNOWN)


def test_refusal_after_a_dropped_pooled_connection_is_not_a_crash(client) -> None:
    def drop(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}")
        connection.read_request()

    def refuse(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}", b"503 Busy\r\nCloverway-Ran: no")

    with RawEndpoint(drop, refuse) as endpoint:
        send(client, endpoint.url)
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url)
    assert not isinstance(failure.value, EndpointLostError)
    assert failure.value.ran is Ran.UNKNOWN


def test_idempotent_requests_share_a_connection(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        bodies = [send(client, endpoint.url).body for _ in range(3)]
        assert bodies == [b'{"n": 0}', b'{"n": 1}', b'{"n": 2}']
        send(client, endpoint.url, idempotent=False)
        assert len(endpoint.connections) == 2


def test_non_idempotent_request_avoids_a_stale_connection(client: EndpointClient) -> None:
    """A non-idempotent request runs once although a pooled connection to its endpoint is dead.

    The endpoint closes each connection when its second request arrives. On the pooled connection
    the request would fail without a known outcome, so it is sent on a new one.
    """
    with RawEndpoint(answer_once) as endpoint:
        send(client, endpoint.url)
        assert send(client, endpoint.url, idempotent=False).body == b"{}"
        assert [len(each.requests) for each in endpoint.connections] == [1, 1]


def test_idempotent_request_is_retried_after_a_stale_connection(client: EndpointClient) -> None:
    """An idempotent request is answered although it was sent on a dead pooled connection.

    The endpoint closes each connection when its second request arrives. No byte of an answer
    arrived, so the request is retried on a new connection before the endpoint counts as failed.
    """
    with RawEndpoint(answer_once) as endpoint:
        send(client, endpoint.url)
        assert send(client, endpoint.url).body == b"{}"
        assert [len(each.requests) for each in endpoint.connections] == [2, 1]


def test_idempotent_request_is_retried_after_a_silent_connection(client: EndpointClient) -> None:
    """An idempotent request is answered although its pooled connection went silent.

    The second request on the connection gets no byte. After the inter-token timeout, well before
    the deadline, the request is retried on a new connection, which works.
    """

    def fall_silent(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}")
        connection.read_request()
        connection.wait_for_close()

    with RawEndpoint(fall_silent) as endpoint:
        send(client, endpoint.url)
        assert send(client, endpoint.url, max_gap_s=0.1).body == b"{}"
        assert len(endpoint.connections) == 2


def test_failure_on_a_new_connection_is_not_retried(client: EndpointClient) -> None:
    with RawEndpoint(lambda connection: connection.read_request()) as endpoint:
        for idempotent in (True, False):
            with pytest.raises(RequestError) as failure:
                send(client, endpoint.url, idempotent=idempotent)
            assert failure.value.ran is Ran.UNKNOWN
        assert len(endpoint.requests) == 2


def test_idle_connections_expire_and_are_bounded(client: EndpointClient) -> None:
    pool = ConnectionPool(idle_s=4.0)
    address = ("127.0.0.1", 1)
    left, right = socket.socketpair()
    with left, right:
        connection = EndpointConnection.from_address(address, 1.0)
        connection.sock = left
        pool.release(address, connection, now=100.0)
        assert pool.acquire(address, now=103.9) is connection
        pool.release(address, connection, now=100.0)
        assert pool.acquire(address, now=104.0) is None
        assert left.fileno() == -1
        for _ in range(MAX_IDLE_PER_ADDRESS + 5):
            pool.release(address, EndpointConnection.from_address(address, 1.0), now=100.0)
        assert len(pool._idle[address]) == MAX_IDLE_PER_ADDRESS


@pytest.mark.parametrize("second", ["refused connection", "refused by check", "refused plainly"])
def test_not_run_is_not_claimed_after_a_first_attempt(client: EndpointClient, second: str) -> None:
    """The outcome is "unknown", not "not run", if the first of two attempts may have run.

    The request is sent on a pooled connection; the endpoint reads it and closes. The second
    attempt, on a new connection, certainly does not run, but the first one may have.
    """
    checks = iter([None, None, RequestError(Kind.DEADLINE)])

    def check() -> None:
        error = next(checks) if second == "refused by check" else None
        if error is not None:
            raise error

    def answer_once_and_close(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}")
        if second == "refused connection":
            endpoint.stop_listening()
        connection.read_request()

    def refuse(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}", b"503 Busy\r\nCloverway-Ran: no")

    with RawEndpoint(answer_once_and_close, refuse) as endpoint:
        send(client, endpoint.url, check_before_send=check)
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url, check_before_send=check)
    assert failure.value.ran is Ran.UNKNOWN
    assert failure.value.kind in {Kind.ENDPOINT_FAILED, Kind.TIMED_OUT}


def test_not_run_is_not_claimed_if_the_deadline_ends_the_first_attempt(
    client: EndpointClient,
) -> None:
    def fall_silent(connection: EndpointSideConnection) -> None:
        connection.answer(b"{}")
        connection.read_request()
        connection.wait_for_close()

    def never_answer(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.wait_for_close()

    with RawEndpoint(fall_silent, never_answer) as endpoint:
        send(client, endpoint.url)
        with pytest.raises(RequestError) as failure:
            send(client, endpoint.url, make_request(0.2))
    assert (failure.value.kind, failure.value.ran) == (Kind.TIMED_OUT, Ran.UNKNOWN)


def test_connections_use_tcp_keepalive(client: EndpointClient) -> None:
    with RawEndpoint(answer_forever) as endpoint:
        send(client, endpoint.url)
        (idle,) = client._pool._idle.values()
        sock = idle[0].sock
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 6000
