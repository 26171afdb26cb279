from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from cloverway.errors import Kind, PeerError, PeerUnreachableError, Ran, RequestError
from cloverway.once.keys import Grant
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind, Identity
from cloverway.peers.peer_client import PeerClient
from cloverway.replies import Reply
from cloverway.tests.peer_fakes import (
    CLAIM,
    LIMITS,
    ME,
    SECRET,
    TIMEOUT_S,
    FakeHandler,
    FakeStream,
    TcpProxy,
    connect,
    make_call,
    make_deadline,
    make_request,
    start_server,
    wait_until,
)

SHORT_S = 0.1
"""A timeout that expires in a test; nothing that must succeed depends on it."""


@pytest.fixture
def handler():
    return FakeHandler()


@pytest.fixture
def server(handler):
    server = start_server(handler)
    yield server
    server.stop()


@pytest.fixture
def client():
    client = PeerClient(ME, SECRET, LIMITS)
    yield client
    client.close()


@pytest.fixture
def proxy(server):
    proxy = TcpProxy(server.address)
    yield proxy
    proxy.close()


def run_refused(client, address, request=None, **more):
    with pytest.raises(RequestError) as error:
        client.run("h2", address, request or make_request(), **more)
    return error.value.kind, error.value.ran


def test_pooled_connection_gone_silent(server, handler, proxy):
    """Failure: the issuer of a key counts as dead because a pooled connection went silent.

    A firewall dropped the state of the connection, and what is sent on it is lost. The claim is
    repeated on a new connection.
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(reused_response_timeout_s=SHORT_S))
    client.claim("h2", proxy.address, CLAIM)
    proxy.silence()
    assert client.claim("h2", proxy.address, CLAIM) == Grant(10.0)
    client.close()


def test_claim_ends_at_the_deadline_of_its_request(server, proxy):
    """Failure: a caller gets its response after its deadline.

    The issuer of the key is paused. The claim on the pooled connection and the one on a new
    connection each took their full timeout, however little time the request had left.
    """
    slow = LIMITS._replace(
        connect_timeout_s=TIMEOUT_S,
        response_timeout_s=TIMEOUT_S,
        reused_response_timeout_s=TIMEOUT_S,
        backoff_s=TIMEOUT_S,
    )
    client = PeerClient(ME, SECRET, slow)
    client.claim("h2", proxy.address, CLAIM)
    proxy.silence()
    proxy.silent = True
    began = time.monotonic()
    with pytest.raises(PeerError):
        client.claim("h2", proxy.address, CLAIM._replace(left_s=SHORT_S))
    assert time.monotonic() - began < TIMEOUT_S
    client.close()


def test_dead_host_delays_only_one_caller(server, handler, proxy):
    """The link is cut; the first caller waits for the timeout, the next ones do not."""
    client = PeerClient(ME, SECRET, LIMITS._replace(connect_timeout_s=SHORT_S, backoff_s=TIMEOUT_S))
    proxy.silent = True
    for _ in range(3):
        with pytest.raises(PeerError):
            client.claim("h2", proxy.address, CLAIM)
    with pytest.raises(PeerUnreachableError) as error:
        client.run("h2", proxy.address, make_request())
    assert (error.value.kind, error.value.ran) == (Kind.ENDPOINT_REFUSED, Ran.NO)
    wait_until(lambda: proxy.connections)
    assert len(proxy.connections) == 2
    assert not handler.claims


def test_connection_gone_silent_after_the_request(server, handler, proxy):
    """The link goes silent for good after the request arrived.

    The origin gives up after the silence timeout, not at the deadline, with `ran` "unknown".
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(silence_timeout_s=SHORT_S))
    handler.gate = threading.Event()
    threading.Thread(target=lambda: (wait_until(lambda: handler.requests), proxy.silence())).start()
    request = make_request(left_s=1_000.0)
    assert run_refused(client, proxy.address, request) == (Kind.ENDPOINT_FAILED, Ran.UNKNOWN)
    handler.gate.set()


def test_pings_during_a_long_prefill(server, handler):
    """A long prefill takes longer than the silence timeout; pings keep the connection alive."""
    handler.gate = threading.Event()
    channel = connect(server)
    channel.send_message(make_call(), make_deadline())
    assert [channel.receive(make_deadline()).kind for _ in range(3)] == [FrameKind.PING] * 3
    handler.gate.set()
    assert isinstance(channel.receive_message(make_deadline()), wire.ReplyHead)
    channel.close()


@pytest.mark.parametrize("ran", list(Ran))
def test_stream_truncated_at_the_endpoint(server, handler, client, ran):
    """Failure: the endpoint fails mid-stream, and the caller accepts a part as the full response.

    The head has arrived, so `ran` "no" can't be true any more, whatever the other host reports.
    """
    error = RequestError(Kind.TRUNCATED, "cut", ran=ran)
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", error))
    reply = client.run("h2", server.address, make_request())
    pieces = []
    with pytest.raises(RequestError) as caught:
        pieces.extend(reply.stream)
    assert caught.value.kind is Kind.TRUNCATED
    assert caught.value.ran is (Ran.UNKNOWN if ran is Ran.NO else ran)


def test_body_truncated_between_hosts(server, handler, client, proxy):
    """The host dies after the head of the response; the part that arrived is not accepted."""
    gate = threading.Event()
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", gate, b"two"))
    reply = client.run("h2", proxy.address, make_request())
    pieces = iter(reply.stream)
    assert next(pieces) == b"one"
    for each in proxy.connections:
        # The threads of the proxy close the other side as soon as one side is shut down.
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)
    with pytest.raises(RequestError) as error:
        next(pieces)
    assert (error.value.kind, error.value.ran) == (Kind.TRUNCATED, Ran.UNKNOWN)
    gate.set()


def test_request_that_is_not_idempotent_uses_a_new_connection(server, client):
    """A pooled connection may be stale, and then it is unknown whether the request arrived."""
    client.claim("h2", server.address, CLAIM)
    assert server.connections == 1
    client.run("h2", server.address, make_request())
    assert server.connections == 2
    client.run("h2", server.address, make_request(), idempotent=True)
    assert server.connections == 2


def test_idempotent_request_on_a_stale_connection(server, handler, proxy, client):
    """The other host was replaced; the pooled connection leads to its previous process."""
    client.claim("h2", proxy.address, CLAIM)
    new = start_server(handler, Identity("h2", "i3"))
    proxy.target = new.address
    server.stop()
    reply = client.run("h2", proxy.address, make_request(), idempotent=True)
    assert reply == handler.reply
    new.stop()


def test_refusal_after_a_lost_attempt(server, handler, proxy):
    """Failure: `ran` is "no" for a request that may have run.

    The request is lost on a pooled connection after it may have run. The second attempt is refused
    with "no", which is true of that attempt only.
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(reused_response_timeout_s=SHORT_S))
    client.claim("h2", proxy.address, CLAIM)
    proxy.silence()
    handler.error = RequestError(Kind.NO_CAPACITY)
    refused = run_refused(client, proxy.address, idempotent=True)
    assert refused == (Kind.NO_CAPACITY, Ran.UNKNOWN)


class PausedSocket:
    """A socket whose process is paused just after it has found nothing to read."""

    def __init__(self, connection, pause):
        self._connection = connection
        self._pause = pause

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def recv(self, size):
        try:
            return self._connection.recv(size)
        except BlockingIOError:
            self._pause()
            raise


def test_response_that_arrived_during_a_pause(server, handler, client):
    """Guards against refusing a request because this process was paused past the timeout.

    The response lies in the socket's buffer; the timeout is over when the process looks again.
    """
    channel = connect(server)
    channel.socket = PausedSocket(channel.socket, lambda: time.sleep(2 * SHORT_S))
    channel.send_message(CLAIM, make_deadline())
    assert channel.receive_message(time.monotonic() + SHORT_S) == Grant(10.0)
    channel.close()


class FailingChannel:
    """A fake channel whose nth frame can't be sent."""

    def __init__(self, fails_at):
        self.frames_left = fails_at

    def send(self, kind, payload, deadline):
        self.frames_left -= 1
        if self.frames_left == 0:
            raise PeerError("the connection failed")

    def close(self):
        pass


@pytest.mark.parametrize(("fails_at", "ran"), [(1, Ran.NO), (2, Ran.NO), (3, Ran.UNKNOWN)])
def test_send_that_fails(client, monkeypatch, fails_at, ran):
    """The connection fails while a request of three frames is sent.

    The other host runs nothing before it has the last frame, so until then "no" is certain.
    """
    monkeypatch.setattr(Channel, "connect", lambda *_: FailingChannel(fails_at))
    request = make_request(body=b"x" * 300_000)
    assert run_refused(client, "127.0.0.1:1", request)[1] is ran


def test_origin_that_was_paused_past_the_grant(server, handler, client):
    """The origin is paused after it has connected, and resumes after its grant has ended.

    It checks the time again just before the last frame, so nothing runs.
    """
    start_by = time.monotonic()
    refused = run_refused(client, server.address, start_by=start_by)
    assert refused == (Kind.DEADLINE, Ran.NO)
    wait_until(lambda: server.connections == 0)
    assert not handler.requests


def test_body_that_is_too_large(server, handler, client):
    body = b"x" * (LIMITS.max_body_bytes + 1)
    assert run_refused(client, server.address, make_request(body)) == (Kind.TOO_LARGE, Ran.NO)
    assert not handler.requests


def test_caller_that_leaves(server, handler, client):
    """The caller disconnects mid-stream; the run at the endpoint is cancelled."""
    gate = threading.Event()
    stream = FakeStream(b"one", gate, *[b"more"] * 1_000)
    handler.reply = Reply(200, "text/event-stream", stream=stream)
    reply = client.run("h2", server.address, make_request())
    caller, gateway_end = socket.socketpair()
    results = []

    def relay():
        try:
            reply.stream.relay_to(gateway_end)
        except RequestError as error:
            results.append(error.kind)

    thread = threading.Thread(target=relay)
    thread.start()
    assert caller.recv(100) == b"3\r\none\r\n"
    caller.close()
    thread.join(TIMEOUT_S)
    assert results == [Kind.CALLER_LEFT]
    gate.set()
    assert stream.closed.wait(TIMEOUT_S)
    gateway_end.close()


def test_stream_is_relayed_to_a_socket(server, handler, client):
    """The caller gets all chunks except the last one, which the server of the origin writes."""
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", b"two"))
    reply = client.run("h2", server.address, make_request())
    caller, gateway_end = socket.socketpair()
    caller.send(b"GET /next")
    reply.stream.relay_to(gateway_end)
    gateway_end.close()
    assert caller.recv(100) == b"3\r\none\r\n3\r\ntwo\r\n"
    caller.close()


def test_too_many_connections(handler):
    """More hosts connect than the limit allows; the connection idle for longest is evicted.

    A host whose connection is rejected would treat this host as dead and tell its caller "unknown".
    """
    server = start_server(handler, limits=LIMITS._replace(max_connections=2))
    first, second = connect(server), connect(server)
    for each in (first, second):
        each.send_message(CLAIM, make_deadline())
        assert each.receive_message(make_deadline()) == Grant(10.0)
    third = connect(server)
    third.send_message(CLAIM, make_deadline())
    assert third.receive_message(make_deadline()) == Grant(10.0)
    wait_until(lambda: first.is_broken or second.is_broken)
    assert not (first.is_broken and second.is_broken)
    assert server.connections == 2
    for each in (first, second, third):
        each.close()
    server.stop()


def test_busy_connections_are_not_dropped(handler, client):
    """All connections are busy when another host connects; no request is interrupted."""
    server = start_server(handler, limits=LIMITS._replace(max_connections=1))
    handler.gate = threading.Event()
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(client.run("h2", server.address, make_request()))
    )
    thread.start()
    wait_until(lambda: handler.requests)
    with pytest.raises(PeerError):
        connect(server)
    handler.gate.set()
    thread.join(TIMEOUT_S)
    assert replies == [handler.reply]
    server.stop()


def test_stop_lets_a_request_finish(handler, client):
    """A host is stopped while it runs a forwarded request; the complete response still arrives."""
    server = start_server(handler)
    handler.gate = threading.Event()
    replies = []
    request = make_request()
    run = threading.Thread(target=lambda: replies.append(client.run("h2", server.address, request)))
    run.start()
    wait_until(lambda: handler.requests)
    stop = threading.Thread(target=server.stop, args=(TIMEOUT_S,))
    stop.start()
    wait_until(server._stopping.is_set)
    handler.gate.set()
    run.join(TIMEOUT_S)
    stop.join(TIMEOUT_S)
    assert replies == [handler.reply]
