from __future__ import annotations

import contextlib
import socket
import threading
import time

import pytest

from cloverway import wire
from cloverway.channel import HEADER, Channel, FrameKind, Identity
from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.exchange import Reply
from cloverway.keys import ClaimCall, Grant, SettleCall, Settlement
from cloverway.messages import Request
from cloverway.peer_client import PeerClient
from cloverway.peer_server import PeerServer, split_pages
from cloverway.peering import Changes, PeerBounds

SECRET = b"s" * 32
PATIENCE_S = 10.0
BOUNDS = PeerBounds(connect_s=5.0, answer_s=5.0, silence_s=5.0, ping_s=0.05, dead_s=0.01)
QUICK = BOUNDS._replace(connect_s=0.1, answer_s=0.1, silence_s=0.1, ping_s=0.02)
ME = Identity("h1", "i1")
PEER = Identity("h2", "i2")
CLAIM = ClaimCall("k", "t", "p", b"d", "c", 10.0)


def wait_until(condition):
    deadline = time.monotonic() + PATIENCE_S
    step = threading.Event()
    while not condition():
        assert time.monotonic() < deadline, "it did not come"
        step.wait(0.005)


class Stream:
    """Pieces of an answer; an item that is an error is raised, an event is waited for."""

    def __init__(self, *items):
        self.items = items
        self.closed = threading.Event()

    def __iter__(self):
        for item in self.items:
            if isinstance(item, Exception):
                raise item
            if isinstance(item, threading.Event):
                item.wait(PATIENCE_S)
            else:
                yield item

    def close(self):
        self.closed.set()


class Handler:
    def __init__(self):
        self.claims = []
        self.settled = []
        self.requests = []
        self.reply = Reply(200, "application/json", b"{}", headers=(("Ran-At", "h2"),))
        self.error = None
        self.gate = None
        self.all_changes = Changes(0)

    def claim(self, call):
        self.claims.append(call)
        if self.error:
            raise self.error
        return Grant(call.left_s)

    def settle(self, call):
        self.settled.append(call)

    def run(self, request):
        self.requests.append(request)
        if self.gate:
            self.gate.wait(PATIENCE_S)
        if self.error:
            raise self.error
        return self.reply

    def changes(self, after):
        return self.all_changes


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    server = PeerServer("127.0.0.1:0", PEER, SECRET, handler, BOUNDS)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client():
    client = PeerClient(ME, SECRET, BOUNDS)
    yield client
    client.close()


class Link:
    """A link that a test can make silent: bytes are read and kept back."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        self.recorded = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.accepted = []
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            number, port = self.target.split(":")
            far = socket.create_connection((number, int(port)))
            self.accepted.append((near, far))
            silent = [self.silent]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._copy, args=(source, sink, silent), daemon=True
                ).start()

    def _copy(self, source, sink, silent):
        try:
            while data := source.recv(65536):
                if source is not self.accepted[-1][1]:
                    self.recorded.append(data)
                if not silent[0]:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for each in (source, sink):
                with contextlib.suppress(OSError):
                    each.shutdown(socket.SHUT_RDWR)

    def close(self):
        self.listener.close()
        for pair in self.accepted:
            for each in pair:
                each.close()


@pytest.fixture
def link(server):
    link = Link(server.address)
    yield link
    link.close()


def make_request(body=b"{}", left_s=10.0, **more):
    now = time.monotonic()
    return Request("r1", "t", "p", "/x?y=1", "POST", body, "text/x", now, now + left_s, **more)


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
    assert seen.passed_on
    assert seen.deadline <= request.deadline
    expected = request._replace(passed_on=True, arrived_at=seen.arrived_at, deadline=seen.deadline)
    assert seen == expected


def test_streamed_answer(server, handler, client):
    stream = Stream(b"one", b"", b"two" * 50_000)
    handler.reply = Reply(200, "text/event-stream", stream=stream)
    reply = client.run("h2", server.address, make_request())
    assert b"".join(reply.stream) == b"one" + b"two" * 50_000
    assert stream.closed.wait(PATIENCE_S)


def test_refusal_by_the_other_host(server, handler, client):
    """The other host has no capacity and says so before it started; the origin may try on."""
    handler.error = RequestError(Kind.NO_CAPACITY, "all busy", retry_after=2.0)
    with pytest.raises(RequestError) as error:
        client.run("h2", server.address, make_request())
    assert (error.value.kind, error.value.ran) == (Kind.NO_CAPACITY, Ran.NO)
    assert error.value.retry_after == 2.0


def test_handler_that_fails(server, handler, client):
    handler.error = ValueError("a fault of ours")
    with pytest.raises(RequestError) as error:
        client.run("h2", server.address, make_request())
    assert (error.value.kind, error.value.ran) == (Kind.INTERNAL, Ran.UNKNOWN)


def test_wrong_secret(server, handler):
    """A process without the secret connects; neither end takes the other for a host."""
    stranger = PeerClient(ME, b"x" * 32, BOUNDS)
    with pytest.raises(PeerError):
        stranger.claim("h2", server.address, CLAIM)
    with pytest.raises(RequestError) as error:
        stranger.run("h2", server.address, make_request())
    assert error.value.ran is Ran.NO
    wait_until(lambda: server.connections == 0)
    assert not handler.requests
    assert not handler.claims


def test_stranger_that_skips_the_proof(server, handler):
    """A stranger answers the challenge with a made-up proof and sends a call at once."""
    with Dialer(server.address) as dialer:
        dialer.send_open(wire.Hello(wire.VERSION, "h1", "i1", "h2", b"n" * 16))
        dialer.read_open()
        dialer.send_open(wire.Proof(b"m" * 32))
        dialer.send_open(wire.Settled())
        assert dialer.wait_for_close()
    assert not handler.claims


def test_replayed_connection(server, handler, client, link):
    """Somebody on the path records a settlement and sends all its bytes again later.

    The server's nonce is new for each connection, so the recorded proof does not pass.
    """
    settle = SettleCall("k", "t", "p", "c", Settlement.NOT_RUN)
    client.settle("h2", link.address, settle)
    recorded = b"".join(link.recorded)
    with Dialer(server.address) as dialer:
        dialer.raw.sendall(recorded)
        assert dialer.wait_for_close()
    assert handler.settled == [settle]


def test_replayed_frame(server, handler):
    """A frame is sent twice within its own connection: the counter in its MAC tells."""
    channel = connect(server)
    settle = SettleCall("k", "t", "p", "c", Settlement.NOT_RUN)
    frame = channel._seal(FrameKind.MESSAGE, wire.encode(settle))
    channel.socket.send(frame + frame)
    channel.receive_message(time.monotonic() + PATIENCE_S)
    with pytest.raises(PeerError):
        channel.receive_message(time.monotonic() + PATIENCE_S)
    assert handler.settled == [settle]


def test_changed_frame(server, handler):
    channel = connect(server)
    frame = bytearray(channel._seal(FrameKind.MESSAGE, wire.encode(CLAIM)))
    frame[-MAC_AT] ^= 1
    channel.socket.send(frame)
    with pytest.raises(PeerError):
        channel.receive_message(time.monotonic() + PATIENCE_S)
    assert not handler.claims


MAC_AT = 20


def test_frame_sent_back(server, handler):
    """A frame of the server's own is returned to it: each direction has its own key."""
    channel = connect(server)
    channel.send_message(CLAIM, time.monotonic() + PATIENCE_S)
    length = HEADER.size + len(wire.encode(Grant(10.0))) + 16
    channel._wait(1, time.monotonic() + PATIENCE_S)
    answer = channel.socket.recv(length)
    channel.socket.send(answer)
    with pytest.raises(PeerError):
        channel.receive_message(time.monotonic() + PATIENCE_S)
    assert len(handler.claims) == 1


def test_greeting_that_is_too_large(server):
    """A stranger announces a greeting of two gigabytes; nothing is kept for it."""
    with Dialer(server.address) as dialer:
        dialer.raw.sendall(HEADER.pack(2**31, 0))
        assert dialer.wait_for_close()


def test_another_host_at_the_address(server, client):
    """The address was given to another host; its answer must not pass for h3's."""
    with pytest.raises(PeerError):
        client.claim("h3", server.address, CLAIM)


def test_stranger_that_says_nothing(handler):
    """A connection that never greets is dropped in bounded time and frees its thread."""
    server = PeerServer("127.0.0.1:0", PEER, SECRET, handler, QUICK)
    server.start()
    with Dialer(server.address) as dialer:
        assert dialer.wait_for_close()
    wait_until(lambda: server.connections == 0)
    server.stop()


def connect(server):
    return Channel.connect(server.address, ME, "h2", SECRET, PATIENCE_S)


class Dialer:
    """A raw connection that keeps to no protocol but the test's."""

    def __init__(self, address):
        number, port = address.split(":")
        self.raw = socket.create_connection((number, int(port)), PATIENCE_S)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.raw.close()

    def send_open(self, message):
        payload = wire.encode(message)
        self.raw.sendall(HEADER.pack(len(payload), 0) + payload)

    def read_open(self):
        length, _ = HEADER.unpack(self.raw.recv(HEADER.size, socket.MSG_WAITALL))
        return wire.decode(self.raw.recv(length, socket.MSG_WAITALL))

    def wait_for_close(self):
        try:
            while self.raw.recv(4096):
                pass
        except ConnectionResetError:
            pass
        return True


def test_pages_of_changes(server, handler, client):
    changes = tuple(wire.Change(f"k{n}", n, "x" * 200_000) for n in range(10))
    handler.all_changes = Changes(99, changes)
    assert client.changes("h2", server.address, 0) == Changes(99, changes)
    assert len(list(split_pages(changes))) == 5
    handler.all_changes = Changes(99)
    assert client.changes("h2", server.address, 99) == Changes(99)
