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


def test_host_that_was_paused_with_the_request_in_its_socket(handler):
    """Failure: a request runs after its caller was told that the outcome is unknown.

    The accepting host is paused before it reads the request, and resumes late. The deadline counts
    from when this host sent its nonce, by its own clock, so the request is not run.
    """
    origin, accepting = make_channels()
    accepting.challenge_sent_at = time.monotonic() - 60.0
    origin.send_message(make_call(left_s=30.0), make_deadline())
    ForwardedRun(handler, LIMITS, accepting, reused=False).serve(
        accepting.receive_message(make_deadline())
    )
    assert origin.receive_message(make_deadline()) == Refused(Kind.DEADLINE)
    assert not handler.requests


def test_origin_that_disconnected_before_the_run(handler):
    """The origin closed its connection while the request was in the host's socket buffer."""
    origin, accepting = make_channels()
    accepting.challenge_sent_at = time.monotonic()
    origin.send_message(make_call(), make_deadline())
    origin.close()
    with pytest.raises(PeerError):
        ForwardedRun(handler, LIMITS, accepting, reused=False).serve(
            accepting.receive_message(make_deadline())
        )
    assert not handler.requests


def test_issuer_that_was_paused_with_a_claim_in_its_socket(handler):
    """Failure: the retry of a request gets "unknown", although nobody ever ran the request.

    The issuer of the key is paused; the claimant gives up, and its caller is told to retry. When
    the issuer resumes and reads the claim, a grant would use up the key for nobody.
    """
    origin, accepting = make_channels()
    origin.send_message(CLAIM, make_deadline())
    origin.close()
    server = PeerServer("127.0.0.1:0", PEER, SECRET, handler, LIMITS)
    with pytest.raises(PeerError):
        server._serve_call(_Connection(accepting.socket), accepting)
    assert not handler.claims
    server.stop()


def test_refusal_after_the_head_is_never_not_run():
    assert make_truncation(RequestError(Kind.NO_CAPACITY)).ran is Ran.UNKNOWN
    assert make_truncation(RequestError(Kind.ANSWER_GONE)).ran is Ran.YES
