from __future__ import annotations

import multiprocessing
import os
import signal
import threading
import time

import pytest

from cloverway.errors import Kind, Ran, RequestError
from cloverway.messages import Outcome
from cloverway.once.claims import HeldGrant, KeyClaimer, LedgerTask, Replayed
from cloverway.once.keys import Ledger, LedgerLimits
from cloverway.peers.channel import Identity
from cloverway.peers.peer_client import PeerClient
from cloverway.replies import Reply
from cloverway.tests.peer_fakes import (
    LIMITS,
    SECRET,
    TIMEOUT_S,
    FakeHandler,
    TcpProxy,
    make_request,
    start_server,
    wait_until,
)


class KeyHost:
    """A host whose ledger peers can reach over TCP."""

    def __init__(self, name, incarnation, addresses, peer_limits=LIMITS):
        limits = LedgerLimits(100, 100.0, 10_000, 1_000)
        ledger = Ledger(name, incarnation, name.encode() * 8, limits, time.monotonic())
        me = Identity(name, incarnation)
        self.keys = LedgerTask(ledger, lambda *_: True)
        self.client = PeerClient(me, SECRET, peer_limits)
        self.claims = KeyClaimer(self.keys, self.client, addresses.get, lambda *_: True)
        handler = FakeHandler()
        handler.claim = self.keys.claim
        handler.settle = self.keys.settle
        self.server = start_server(handler, me)
        addresses.setdefault(name, self.server.address)
        self.keys.start()
        self.claims.start()

    def stop(self):
        self.claims.stop()
        self.server.stop()
        self.keys.stop()
        self.client.close()


def test_keys_between_hosts():
    """The answer from h1 is lost; the caller repeats at h2, and again after h1 was replaced.

    h2 first returns the recorded answer of h1. The new process at the address of h1 does not know
    the key, so then the outcome is unknown, and nothing runs a second time.
    """
    addresses = {}
    first, second = KeyHost("h1", "i1", addresses), KeyHost("h2", "i1", addresses)
    proxy = TcpProxy(first.server.address)
    addresses["h1"] = proxy.address
    (key,) = first.keys.issue(1)
    request = make_request(key=key)
    grant = second.claims.claim(request)
    second.claims.settle(grant, Outcome.DONE, Reply(200, "text/plain", b"picked once"))
    wait_until(lambda: first.keys.count().outstanding == 0)
    again = second.claims.claim(request)
    assert isinstance(again, Replayed)
    assert again.reply.body == b"picked once"
    replaced = KeyHost("h1", "i2", addresses)
    proxy.target = replaced.server.address
    first.stop()
    with pytest.raises(RequestError) as error:
        second.claims.claim(request)
    assert (error.value.kind, error.value.ran) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)
    second.stop()
    replaced.stop()
    proxy.close()


def test_concurrent_repeats():
    """A caller sends one request twelve times at the same moment, to two hosts.

    One of them is granted. All others are told to retry, and none that the request did not run.
    """
    addresses = {}
    hosts = [KeyHost(name, "i1", addresses) for name in ("h1", "h2")]
    (key,) = hosts[0].keys.issue(1)
    barrier = threading.Barrier(12)
    results = []

    def send(claims):
        barrier.wait(TIMEOUT_S)
        try:
            results.append(claims.claim(make_request(key=key)))
        except RequestError as error:
            results.append((error.kind, error.ran))

    threads = [
        threading.Thread(target=send, args=(host.claims,)) for host in hosts for _ in range(6)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TIMEOUT_S)
    assert sum(isinstance(result, HeldGrant) for result in results) == 1
    assert results.count((Kind.KEY_IN_USE, Ran.UNKNOWN)) == 11
    for host in hosts:
        host.stop()


def serve_issuer(pipe):
    """Run the issuing host in this process until the pipe is closed."""
    host = KeyHost("h1", "i1", {})
    pipe.send((host.server.address, host.keys.issue(2)))
    pipe.poll(None)
    host.stop()


@pytest.fixture
def issuer():
    """Yield a process that issues keys, its address and two keys."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=serve_issuer, args=(theirs,), daemon=True)
    process.start()
    theirs.close()
    yield process, *ours.recv()
    ours.close()
    process.join(TIMEOUT_S)


def test_issuer_paused_during_a_claim(issuer):
    """The issuer is paused while h2 claims one of its keys; h2 answers "unknown" in time.

    The issuer resumes with the claim in its socket, long after h2 gave up. It must not grant it, so
    that a repeat at h3 finds the key free and runs, for the first and only time.
    """
    process, address, (warm_up, key) = issuer
    short_limits = LIMITS._replace(reused_response_timeout_s=0.1, connect_timeout_s=0.3)
    addresses = {"h1": address}
    second = KeyHost("h2", "i1", addresses, short_limits._replace(connect_timeout_s=TIMEOUT_S))
    third = KeyHost("h3", "i1", addresses)
    second.claims.claim(make_request(key=warm_up))
    second.client._limits = short_limits
    os.kill(process.pid, signal.SIGSTOP)
    try:
        os.waitpid(process.pid, os.WUNTRACED)
        with pytest.raises(RequestError) as error:
            second.claims.claim(make_request(key=key))
    finally:
        os.kill(process.pid, signal.SIGCONT)
    assert (error.value.kind, error.value.ran) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)
    third.claims.claim(make_request(key=key)).check(time.monotonic())
    second.stop()
    third.stop()
