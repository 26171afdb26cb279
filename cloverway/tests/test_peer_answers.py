"""Tests of responses from another host that are truncated, out of order or too large."""

from __future__ import annotations

import socket
import threading

import pytest

from cloverway.errors import Kind, Ran, RequestError
from cloverway.messages import Refused
from cloverway.peers import wire
from cloverway.peers.channel import Channel, FrameKind
from cloverway.peers.peer_client import PeerClient
from cloverway.tests.peer_fakes import (
    LIMITS,
    ME,
    PEER,
    SECRET,
    TIMEOUT_S,
    make_deadline,
    make_request,
)
from cloverway.tests.test_peer_failures import run_refused


@pytest.fixture
def client():
    client = PeerClient(ME, SECRET, LIMITS)
    yield client
    client.close()


class ScriptedHost:
    """The accepting end of one connection, which sends the frames of a test."""

    def __init__(self, *frames):
        self.frames = frames
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self):
        raw, _ = self.listener.accept()
        channel = Channel.accept(raw, PEER, SECRET, TIMEOUT_S)
        channel.receive_message(make_deadline())
        for frame in self.frames:
            if isinstance(frame, bytes):
                channel.send(FrameKind.DATA, frame, make_deadline())
            else:
                channel.send_message(frame, make_deadline())
        self.listener.close()
        channel.close()


HEAD = wire.ReplyHead(200, "text/plain", (), False)


@pytest.mark.parametrize(
    "frames",
    [
        pytest.param((HEAD, b"one"), id="closed without an end"),
        pytest.param((HEAD, b"one", wire.End(4)), id="a piece is missing"),
        pytest.param((HEAD, b"one", HEAD), id="a second head"),
    ],
)
def test_incomplete_response(client, frames):
    host = ScriptedHost(*frames)
    request = make_request(body=b"")
    assert run_refused(client, host.address, request) == (Kind.TRUNCATED, Ran.UNKNOWN)


@pytest.mark.parametrize("frames", [(), (wire.Settled(),), (b"data before a head",)])
def test_no_head(client, frames):
    """The host crashes or sends an unexpected frame after the request: it is unknown if it ran."""
    host = ScriptedHost(*frames)
    request = make_request(body=b"")
    assert run_refused(client, host.address, request) == (Kind.ENDPOINT_FAILED, Ran.UNKNOWN)


@pytest.mark.parametrize("streamed", [False, True])
def test_refusal_after_the_head(client, streamed):
    """The other host refuses with `ran` "no" in the middle of a response, which can't be true."""
    host = ScriptedHost(HEAD._replace(streamed=streamed), b"one", Refused(Kind.NO_CAPACITY))
    with pytest.raises(RequestError) as error:
        reply = client.run("h2", host.address, make_request(body=b""))
        list(reply.stream)
    assert (error.value.kind, error.value.ran) == (Kind.NO_CAPACITY, Ran.UNKNOWN)


def test_response_that_is_too_large():
    client = PeerClient(ME, SECRET, LIMITS._replace(max_response_bytes=10))
    host = ScriptedHost(HEAD, b"x" * 11, wire.End(11))
    request = make_request(body=b"")
    assert run_refused(client, host.address, request) == (Kind.TRUNCATED, Ran.UNKNOWN)
