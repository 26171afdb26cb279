from __future__ import annotations

import time

import pytest

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Refused
from cloverway.peers.passed_on import ForwardedRun, make_truncation
from cloverway.peers.peer_server import PeerServer, _Connection
from cloverway.tests.peer_fakes import (
    CLAIM,
    LIMITS,
    PEER,
    SECRET,
    FakeHandler,
    make_call,
    make_channels,
    make_deadline,
)


@pytest.fixture
def handler():
    return FakeHandler()


def test_host_that_slept_with_the_request_in_its_socket(handler):
    """The accepting host is paused before it reads the request, and wakes late.

    The caller has long been told "unknown" and may have called the pharmacy. The deadline counts
    from when this host sent its nonce, by its own clock, so the request is not run late.
    """
    near, far = make_channels()
    far.challenge_sent_at = time.monotonic() - 60.0
    near.send_message(make_call(left_s=30.0), make_deadline())
    ForwardedRun(handler, LIMITS, far, reused=False).serve(far.receive_message(make_deadline()))
    assert near.receive_message(make_deadline()) == Refused(Kind.DEADLINE)
    assert not handler.requests


def test_origin_that_gave_up_before_the_run(handler):
    """The origin closed its connection while the request waited in the host's socket."""
    near, far = make_channels()
    far.challenge_sent_at = time.monotonic()
    near.send_message(make_call(), make_deadline())
    near.close()
    with pytest.raises(PeerError):
        ForwardedRun(handler, LIMITS, far, reused=False).serve(far.receive_message(make_deadline()))
    assert not handler.requests


def test_issuer_that_slept_with_a_claim_in_its_socket(handler):
    """The issuer is paused; the claimant gives up, and its caller is told to come back.

    The issuer wakes and reads the claim. Granting it would spend the key for nobody, so that the
    repeat would be told "unknown" about a request that nobody ever ran.
    """
    near, far = make_channels()
    near.send_message(CLAIM, make_deadline())
    near.close()
    server = PeerServer("127.0.0.1:0", PEER, SECRET, handler, LIMITS)
    with pytest.raises(PeerError):
        server._serve_call(_Connection(far.socket), far)
    assert not handler.claims
    server.stop()


def test_refusal_of_the_host_itself_after_the_head():
    assert make_truncation(RequestError(Kind.NO_CAPACITY)).ran is Ran.UNKNOWN
    assert make_truncation(RequestError(Kind.ANSWER_GONE)).ran is Ran.YES
