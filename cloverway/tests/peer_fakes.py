"""Fakes for the tests of the protocol between hosts."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

from cloverway.messages import Request
from cloverway.once.keys import ClaimCall, Grant
from cloverway.peers import wire
from cloverway.peers.channel import HEADER, Channel, Identity
from cloverway.peers.peer_server import PeerServer
from cloverway.peers.peering import EncodedChanges, PeerLimits
from cloverway.replies import Reply

SECRET = b"s" * 32
TIMEOUT_S = 10.0
LIMITS = PeerLimits(
    connect_timeout_s=5.0,
    response_timeout_s=5.0,
    reused_response_timeout_s=5.0,
    silence_timeout_s=5.0,
    ping_interval_s=0.05,
    backoff_s=0.01,
)
ME = Identity("h1", "i1")
PEER = Identity("h2", "i2")
CLAIM = ClaimCall("k", "t", "p", b"d", "c", 10.0)


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    step = threading.Event()
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        step.wait(0.005)


class FakeStream:
    """The pieces of a response; an exception among them is raised, an event is waited for."""

    def __init__(self, *items):
        self.items = items
        self.closed = threading.Event()

    def __iter__(self):
        for item in self.items:
            if isinstance(item, Exception):
                raise item
            if isinstance(item, threading.Event):
                item.wait(TIMEOUT_S)
            else:
                yield item

    def close(self):
        self.closed.set()


class FakeHandler:
    def __init__(self):
        self.claims = []
        self.settled = []
        self.requests = []
        self.reply = Reply(200, "application/json", b"{}", headers=(("Ran-At", "h2"),))
        self.error = None
        self.gate = None
        self.all_changes = EncodedChanges(0)

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
            self.gate.wait(TIMEOUT_S)
        if self.error:
            raise self.error
        return self.reply

    def get_changes(self, after):
        return self.all_changes


class TcpProxy:
    """A TCP proxy whose connections a test can make silent: it drops what it receives."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        """Whether connections are silent from their start."""
        self.recorded = bytearray()
        self.connections = []
        self._flags = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Make the connections that are open now silent for good."""
        for flag in self._flags:
            flag.set()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            host, port = self.target.split(":")
            server = socket.create_connection((host, int(port)))
            flag = threading.Event()
            if self.silent:
                flag.set()
            self._flags.append(flag)
            self.connections += [client, server]
            self._start_copy(client, server, flag, self.recorded)
            self._start_copy(server, client, flag, bytearray())

    def _start_copy(self, *arguments):
        threading.Thread(target=self._copy, args=arguments, daemon=True).start()

    def _copy(self, source, sink, flag, recorded):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                recorded += data
                if not flag.is_set():
                    sink.sendall(data)
        for each in (source, sink):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def close(self):
        for each in (self._listener, *self.connections):
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()


def make_request(body=b"{}", left_s=10.0, **more):
    now = time.monotonic()
    return Request("r1", "t", "p", "/x?y=1", "POST", body, "text/x", now, now + left_s, **more)


class RawConnection:
    """A raw connection, on which a test can send arbitrary bytes."""

    def __init__(self, address):
        host, port = address.split(":")
        self.raw = socket.create_connection((host, int(port)), TIMEOUT_S)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.raw.close()

    def send_handshake(self, message):
        payload = wire.encode(message)
        self.raw.sendall(HEADER.pack(len(payload), 0) + payload)

    def read_handshake(self):
        length, _ = HEADER.unpack(self.raw.recv(HEADER.size, socket.MSG_WAITALL))
        return wire.decode(self.raw.recv(length, socket.MSG_WAITALL))

    def wait_for_close(self):
        try:
            while self.raw.recv(4096):
                pass
        except ConnectionResetError:
            pass
        return True


def start_server(handler, me=PEER, limits=LIMITS):
    server = PeerServer("127.0.0.1:0", me, SECRET, handler, limits)
    server.start()
    return server


def connect(server):
    return Channel.connect(server.address, ME, "h2", SECRET, TIMEOUT_S)


def make_deadline():
    return time.monotonic() + TIMEOUT_S


def make_channels():
    """Return the two ends of one TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connecting = socket.create_connection(listener.getsockname())
        accepting, _ = listener.accept()
    return Channel(connecting), Channel(accepting)


def make_call(left_s=10.0, body_bytes=0):
    return wire.RunCall("r", "t", "p", "/x", "POST", "", False, "", 1, left_s, body_bytes)
