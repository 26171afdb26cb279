from __future__ import annotations

import multiprocessing
import os
import signal
import threading
import time

import pytest

from cloverway.errors import Kind, Ran, RequestError
from cloverway.exchange import Reply
from cloverway.messages import Outcome
from cloverway.once.claims import Claims, Granted, LedgerTask, Replayed
from cloverway.once.keys import Bounds, Ledger
from cloverway.peers.channel import Identity
from cloverway.peers.peer_client import PeerClient
from cloverway.tests.peers import (
    BOUNDS,
    PATIENCE_S,
    SECRET,
    Handler,
    Link,
    make_request,
    start_server,
    wait_until,
)


class KeyHost:
    """A host with a ledger that its peers reach over TCP."""

    def __init__(self, name, incarnation, addresses, peer_bounds=BOUNDS):
        bounds = Bounds(100, 100.0, 10_000, 1_000)
        ledger = Ledger(name, incarnation, name.encode() * 8, bounds, time.monotonic())
        me = Identity(name, incarnation)
        self.keys = LedgerTask(ledger, lambda *_: True)
        self.client = PeerClient(me, SECRET, peer_bounds)
        self.claims = Claims(self.keys, self.client, addresses.get, lambda *_: True)
        handler = Handler()
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
    """The caller's answer from h1 is lost; it repeats at h2, and again when h1 was replaced.

    h2 first gives the recorded answer of h1. The new process at h1's address can't know, so the
    outcome is then unknown, and nothing is run a second time.
    """
    addresses = {}
    first, second = KeyHost("h1", "i1", addresses), KeyHost("h2", "i1", addresses)
    link = Link(first.server.address)
    addresses["h1"] = link.address
    (key,) = first.keys.issue(1)
    request = make_request(key=key)
    granted = second.claims.claim(request)
    second.claims.settle(granted, Outcome.DONE, Reply(200, "text/plain", b"picked once"))
    wait_until(lambda: first.keys.count().outstanding == 0)
    again = second.claims.claim(request)
    assert isinstance(again, Replayed)
    assert again.reply.body == b"picked once"
    replaced = KeyHost("h1", "i2", addresses)
    link.target = replaced.server.address
    first.stop()
    with pytest.raises(RequestError) as error:
        second.claims.claim(request)
    assert (error.value.kind, error.value.ran) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)
    second.stop()
    replaced.stop()
    link.close()


def test_repeats_all_at_once():
    """An impatient caller sends one request twelve times at the same moment, to two hosts.

    One of them is granted; every other is told to come back, and none that it was not run.
    """
    addresses = {}
    hosts = [KeyHost(name, "i1", addresses) for name in ("h1", "h2")]
    (key,) = hosts[0].keys.issue(1)
    together = threading.Barrier(12)
    results = []

    def send(claims):
        together.wait(PATIENCE_S)
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
        thread.join(PATIENCE_S)
    assert sum(isinstance(result, Granted) for result in results) == 1
    assert results.count((Kind.KEY_IN_USE, Ran.UNKNOWN)) == 11
    for host in hosts:
        host.stop()


def serve_issuer(pipe):
    """Be the issuing host, in a process of its own, until the pipe is closed."""
    host = KeyHost("h1", "i1", {})
    pipe.send((host.server.address, host.keys.issue(2)))
    pipe.poll(None)
    host.stop()


@pytest.fixture
def issuer():
    """Give a process that issues keys, its address and two keys."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    process = context.Process(target=serve_issuer, args=(theirs,), daemon=True)
    process.start()
    theirs.close()
    yield process, *ours.recv()
    ours.close()
    process.join(PATIENCE_S)


def test_issuer_that_is_paused_and_wakes_late(issuer):
    """The issuer is stopped while h2 claims a key of its; h2 tells its caller "unknown" in time.

    The issuer wakes with the claim in its socket, long after h2 gave up. It must not grant it: the
    caller's repeat, at h3, then finds the key free and runs, for the first and only time.
    """
    process, address, (warm_up, key) = issuer
    quick = BOUNDS._replace(reused_answer_s=0.1, connect_s=0.3)
    addresses = {"h1": address}
    second = KeyHost("h2", "i1", addresses, quick._replace(connect_s=PATIENCE_S))
    third = KeyHost("h3", "i1", addresses)
    second.claims.claim(make_request(key=warm_up))
    second.client._bounds = quick
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
