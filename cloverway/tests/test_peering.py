from __future__ import annotations

import pytest

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.once.keys import Grant, SettleCall, Settlement
from cloverway.peers import wire
from cloverway.peers.channel import HEADER, FrameKind
from cloverway.peers.peer_client import PeerClient
from cloverway.peers.peer_server import split_pages
from cloverway.peers.peering import EncodedChanges
from cloverway.replies import Reply
from cloverway.tests.peer_fakes import (
    CLAIM,
    LIMITS,
    ME,
    SECRET,
    TIMEOUT_S,
    FakeHandler,
    FakeStream,
    RawConnection,
    TcpProxy,
    connect,
    make_deadline,
    make_request,
    start_server,
    wait_until,
)


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


def test_claim_and_settle(server, handler, client):
    assert client.claim("h2", server.address, CLAIM) == Grant(10.0)
    settle = SettleCall("k", "t", "p", "c", Settlement.UNKNOWN)
    client.settle("h2", server.address, settle)
    assert (handler.claims, handler.settled) == ([CLAIM], [settle])
    assert server.connections == 1


def test_refused_claim(server, handler, client):
    handler.error = RequestError(Kind.KEY_IN_USE, "wait", retry_after=0.5)
    answer = client.claim("h2", server.address, CLAIM)
    assert (answer.kind, answer.ran, answer.retry_after) == (Kind.KEY_IN_USE, Ran.UNKNOWN, 0.5)


def test_run(server, handler, client):
    body = b"x" * 700_000
    request = make_request(body, key="k", revision=7, stream=True)
    reply = client.run("h2", server.address, request)
    assert reply == handler.reply
    (seen,) = handler.requests
    assert seen.is_forwarded
    assert seen.deadline <= request.deadline
    expected = request._replace(
        is_forwarded=True, arrived_at=seen.arrived_at, deadline=seen.deadline
    )
    assert seen == expected


def test_streamed_answer(server, handler, client):
    stream = FakeStream(b"one", b"", b"two" * 50_000)
    handler.reply = Reply(200, "text/event-stream", stream=stream)
    reply = client.run("h2", server.address, make_request())
    assert b"".join(reply.stream) == b"one" + b"two" * 50_000
    assert stream.closed.wait(TIMEOUT_S)


def test_refusal_by_the_other_host(server, handler, client):
    """The other host refuses before the run for lack of capacity, so the origin may retry."""
    handler.error = RequestError(Kind.NO_CAPACITY, "all busy", retry_after=2.0)
    with pytest.raises(RequestError) as error:
        client.run("h2", server.address, make_request())
    assert (error.value.kind, error.value.ran) == (Kind.NO_CAPACITY, Ran.NO)
    assert error.value.retry_after == 2.0


def test_handler_that_fails(server, handler, client):
    handler.error = ValueError("an internal error")
    with pytest.raises(RequestError) as error:
        client.run("h2", server.address, make_request())
    assert (error.value.kind, error.value.ran) == (Kind.INTERNAL, Ran.UNKNOWN)


def test_wrong_secret(server, handler):
    """A process without the secret connects; neither end accepts the other."""
    unauthenticated_client = PeerClient(ME, b"x" * 32, LIMITS)
    with pytest.raises(PeerError):
        unauthenticated_client.claim("h2", server.address, CLAIM)
    with pytest.raises(RequestError) as error:
        unauthenticated_client.run("h2", server.address, make_request())
    assert error.value.ran is Ran.NO
    wait_until(lambda: server.connections == 0)
    assert not handler.requests
    assert not handler.claims


def test_invalid_proof(server, handler):
    """A process without the secret answers the challenge with a forged proof and sends a call."""
    with RawConnection(server.address) as connection:
        connection.send_handshake(wire.Hello(wire.VERSION, "h1", "i1", "h2", b"n" * 16))
        connection.read_handshake()
        connection.send_handshake(wire.Proof(b"m" * 32))
        connection.send_handshake(wire.Settled())
        assert connection.wait_for_close()
    assert not handler.claims


def test_replayed_connection(server, handler, client, proxy):
    """An attacker on the path records a settlement and replays the bytes of its connection.

    The server's nonce is new for each connection, so the recorded proof is invalid.
    """
    settle = SettleCall("k", "t", "p", "c", Settlement.NOT_RUN)
    client.settle("h2", proxy.address, settle)
    recorded = bytes(proxy.recorded)
    with RawConnection(server.address) as connection:
        connection.raw.sendall(recorded)
        assert connection.wait_for_close()
    assert handler.settled == [settle]


def test_replayed_frame(server, handler):
    """A frame is sent twice on its own connection; the counter in the MAC reveals it."""
    channel = connect(server)
    settle = SettleCall("k", "t", "p", "c", Settlement.NOT_RUN)
    frame = channel._make_frame(FrameKind.MESSAGE, wire.encode(settle))
    channel.socket.send(frame + frame)
    channel.receive_message(make_deadline())
    with pytest.raises(PeerError):
        channel.receive_message(make_deadline())
    assert handler.settled == [settle]


def test_changed_frame(server, handler):
    channel = connect(server)
    frame = bytearray(channel._make_frame(FrameKind.MESSAGE, wire.encode(CLAIM)))
    frame[-20] ^= 1
    channel.socket.send(frame)
    with pytest.raises(PeerError):
        channel.receive_message(make_deadline())
    assert not handler.claims


def test_reflected_frame(server, handler):
    """A frame of the server is sent back to it; each direction has its own key."""
    channel = connect(server)
    channel.send_message(CLAIM, make_deadline())
    length = HEADER.size + len(wire.encode(Grant(10.0))) + 16
    channel._wait(1, make_deadline())
    answer = channel.socket.recv(length)
    channel.socket.send(answer)
    with pytest.raises(PeerError):
        channel.receive_message(make_deadline())
    assert len(handler.claims) == 1


def test_handshake_message_that_is_too_large(handler):
    """A handshake message of two gigabytes is announced; the server does not wait for it."""
    server = start_server(handler, limits=LIMITS._replace(connect_timeout_s=10 * TIMEOUT_S))
    with RawConnection(server.address) as connection:
        connection.raw.sendall(HEADER.pack(2**31, 0))
        assert connection.wait_for_close()
    server.stop()


def test_another_host_at_the_address(server, client):
    """The address now belongs to another host, whose response must not be accepted as h3's."""
    with pytest.raises(PeerError):
        client.claim("h3", server.address, CLAIM)


def test_connection_without_a_handshake(handler):
    """A connection on which nothing is sent is closed in bounded time and frees its thread."""
    server = start_server(handler, limits=LIMITS._replace(connect_timeout_s=0.1))
    with RawConnection(server.address) as connection:
        assert connection.wait_for_close()
    wait_until(lambda: server.connections == 0)
    server.stop()


def test_pages_of_changes(server, handler, client):
    changes = tuple(wire.Change(f"k{n}", n, "x" * 200_000) for n in range(10))
    handler.all_changes = EncodedChanges(99, changes)
    assert client.fetch_changes("h2", server.address, 0) == EncodedChanges(99, changes)
    assert len(list(split_pages(changes))) == 5
    handler.all_changes = EncodedChanges(99, after=99)
    assert client.fetch_changes("h2", server.address, 99) == EncodedChanges(99, after=99)
