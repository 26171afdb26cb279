from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from cloverway.errors import Kind, PeerError, Ran, RequestError
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
"""A timeout that a test waits out; nothing that must succeed depends on it."""


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
def link(server):
    link = TcpProxy(server.address)
    yield link
    link.close()


def run_refused(client, address, request=None, **more):
    with pytest.raises(RequestError) as error:
        client.run("h2", address, request or make_request(), **more)
    return error.value.kind, error.value.ran


def test_pooled_connection_gone_silent(server, handler, link):
    """A firewall has forgotten the pooled connection: what is sent on it vanishes.

    The claim is asked again on a new connection, before the issuer is called dead.
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(reused_response_timeout_s=SHORT_S))
    client.claim("h2", link.address, CLAIM)
    link.silence()
    assert client.claim("h2", link.address, CLAIM) == Grant(10.0)
    client.close()


def test_claim_ends_with_the_time_of_its_request(server, link):
    """The issuer of a key is paused, and a caller with little time asks another host.

    The claim on the pooled connection and the one on a new connection each took their own timeout,
    whatever the request had left: the caller got its answer after its deadline.
    """
    slow = LIMITS._replace(
        connect_timeout_s=TIMEOUT_S,
        response_timeout_s=TIMEOUT_S,
        reused_response_timeout_s=TIMEOUT_S,
        backoff_s=TIMEOUT_S,
    )
    client = PeerClient(ME, SECRET, slow)
    client.claim("h2", link.address, CLAIM)
    link.silence()
    link.silent = True
    began = time.monotonic()
    with pytest.raises(PeerError):
        client.claim("h2", link.address, CLAIM._replace(left_s=SHORT_S))
    assert time.monotonic() - began < TIMEOUT_S
    client.close()


def test_dead_host_is_not_waited_for_by_every_caller(server, handler, link):
    """The link is cut; one caller waits out the timeout, those right behind it do not."""
    client = PeerClient(ME, SECRET, LIMITS._replace(connect_timeout_s=SHORT_S, backoff_s=TIMEOUT_S))
    link.silent = True
    for _ in range(3):
        with pytest.raises(PeerError):
            client.claim("h2", link.address, CLAIM)
    assert run_refused(client, link.address) == (Kind.ENDPOINT_REFUSED, Ran.NO)
    wait_until(lambda: link.connections)
    assert len(link.connections) == 2
    assert not handler.claims


def test_connection_gone_silent_after_the_request(server, handler, link):
    """The request arrived, then the link goes silent for good.

    The origin gives up within the silence limit, not at the deadline, and says "unknown".
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(silence_timeout_s=SHORT_S))
    handler.gate = threading.Event()
    threading.Thread(target=lambda: (wait_until(lambda: handler.requests), link.silence())).start()
    request = make_request(left_s=1_000.0)
    assert run_refused(client, link.address, request) == (Kind.ENDPOINT_FAILED, Ran.UNKNOWN)
    handler.gate.set()


def test_pings_while_the_endpoint_thinks(server, handler):
    """A long prompt is silent for longer than the limit; pings keep the connection alive."""
    handler.gate = threading.Event()
    channel = connect(server)
    channel.send_message(make_call(), make_deadline())
    assert [channel.receive(make_deadline()).kind for _ in range(3)] == [FrameKind.PING] * 3
    handler.gate.set()
    assert isinstance(channel.receive_message(make_deadline()), wire.ReplyHead)
    channel.close()


@pytest.mark.parametrize("ran", list(Ran))
def test_stream_cut_at_the_endpoint(server, handler, client, ran):
    """The endpoint fails mid-stream: the caller never takes a part for the whole answer.

    The head has come, so "no" can't be true any more, whatever the other host says.
    """
    error = RequestError(Kind.TRUNCATED, "cut", ran=ran)
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", error))
    reply = client.run("h2", server.address, make_request())
    pieces = []
    with pytest.raises(RequestError) as caught:
        pieces.extend(reply.stream)
    assert caught.value.kind is Kind.TRUNCATED
    assert caught.value.ran is (Ran.UNKNOWN if ran is Ran.NO else ran)


def test_whole_body_cut_between_hosts(server, handler, client, link):
    """The host dies after the head of a JSON answer; the part that came is not given out."""
    gate = threading.Event()
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", gate, b"two"))
    reply = client.run("h2", link.address, make_request())
    pieces = iter(reply.stream)
    assert next(pieces) == b"one"
    for each in link.connections:
        # The link's own threads close the other side as soon as one is shut.
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)
    with pytest.raises(RequestError) as error:
        next(pieces)
    assert (error.value.kind, error.value.ran) == (Kind.TRUNCATED, Ran.UNKNOWN)
    gate.set()


def test_request_that_is_not_idempotent_goes_on_a_new_connection(server, client):
    """A connection from the pool may be stale, and then nobody can tell what arrived."""
    client.claim("h2", server.address, CLAIM)
    assert server.connections == 1
    client.run("h2", server.address, make_request())
    assert server.connections == 2
    client.run("h2", server.address, make_request(), idempotent=True)
    assert server.connections == 2


def test_idempotent_request_on_a_stale_connection(server, handler, link, client):
    """The other host was replaced; the pooled connection leads to the process that is gone."""
    client.claim("h2", link.address, CLAIM)
    new = start_server(handler, Identity("h2", "i3"))
    link.target = new.address
    server.stop()
    reply = client.run("h2", link.address, make_request(), idempotent=True)
    assert reply == handler.reply
    new.stop()


def test_refusal_after_a_lost_attempt(server, handler, link):
    """An idempotent request vanishes on a pooled connection, where it may have been run.

    The second attempt is refused. "No" is true for it, and false for the request.
    """
    client = PeerClient(ME, SECRET, LIMITS._replace(reused_response_timeout_s=SHORT_S))
    client.claim("h2", link.address, CLAIM)
    link.silence()
    handler.error = RequestError(Kind.NO_CAPACITY)
    refused = run_refused(client, link.address, idempotent=True)
    assert refused == (Kind.NO_CAPACITY, Ran.UNKNOWN)


class FailingChannel:
    """Stands for a connection that fails at its nth frame."""

    def __init__(self, fails_at):
        self.left = fails_at

    def send(self, kind, payload, deadline):
        self.left -= 1
        if self.left == 0:
            raise PeerError("the connection failed")

    def close(self):
        pass


@pytest.mark.parametrize(("fails_at", "ran"), [(1, Ran.NO), (2, Ran.NO), (3, Ran.UNKNOWN)])
def test_send_that_fails(client, monkeypatch, fails_at, ran):
    """The connection fails while a request of three frames is sent.

    The other host runs nothing before it has the whole, so before the last frame "no" is certain.
    """
    monkeypatch.setattr(Channel, "connect", lambda *_: FailingChannel(fails_at))
    request = make_request(body=b"x" * 300_000)
    assert run_refused(client, "127.0.0.1:1", request)[1] is ran


def test_origin_that_slept_past_the_grant(server, handler, client):
    """The origin is paused after it has connected and wakes when its grant has ended.

    It checks once more just before the last frame and sends nothing that could run.
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
    """The caller closes its connection mid-stream; the endpoint's work is given up."""
    gate = threading.Event()
    stream = FakeStream(b"one", gate, *[b"more"] * 1_000)
    handler.reply = Reply(200, "text/event-stream", stream=stream)
    reply = client.run("h2", server.address, make_request())
    caller, ours = socket.socketpair()
    results = []

    def hand_over():
        try:
            reply.stream.relay_to(ours)
        except RequestError as error:
            results.append(error.kind)

    thread = threading.Thread(target=hand_over)
    thread.start()
    assert caller.recv(100) == b"3\r\none\r\n"
    caller.close()
    thread.join(TIMEOUT_S)
    assert results == [Kind.CALLER_LEFT]
    gate.set()
    assert stream.closed.wait(TIMEOUT_S)
    ours.close()


def test_whole_stream_is_handed_over(server, handler, client):
    """Chunks reach the caller without the last one, which its own server writes."""
    handler.reply = Reply(200, "text/event-stream", stream=FakeStream(b"one", b"two"))
    reply = client.run("h2", server.address, make_request())
    caller, ours = socket.socketpair()
    caller.send(b"GET /next")
    reply.stream.relay_to(ours)
    ours.close()
    assert caller.recv(100) == b"3\r\none\r\n3\r\ntwo\r\n"
    caller.close()


def test_too_many_connections(handler):
    """More hosts connect than there are threads; the one that was idle longest makes room.

    A host that is refused would take this one for dead and tell its caller "unknown".
    """
    server = start_server(handler, bounds=LIMITS._replace(max_connections=2))
    first, second = connect(server), connect(server)
    for each in (first, second):
        each.send_message(CLAIM, make_deadline())
        assert each.receive_message(make_deadline()) == Grant(10.0)
    third = connect(server)
    third.send_message(CLAIM, make_deadline())
    assert third.receive_message(make_deadline()) == Grant(10.0)
    wait_until(lambda: first.broken or second.broken)
    assert not (first.broken and second.broken)
    assert server.connections == 2
    for each in (first, second, third):
        each.close()
    server.stop()


def test_busy_connections_are_not_dropped(handler, client):
    """All threads run passed-on requests when one more host connects; none of them is cut."""
    server = start_server(handler, bounds=LIMITS._replace(max_connections=1))
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


def test_stop_lets_a_request_end(handler, client):
    """A host is stopped while it runs a passed-on request; the answer still arrives whole."""
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
