"""Bring a call to a step, and hold it there until the fault is injected."""

from __future__ import annotations

import http.client
import json
import select
from collections.abc import Callable

from cloverway.tests.matrix.testbed import (
    ENTRY,
    SECOND_ENTRY,
    TOKENS,
    Call,
    FaultTestbed,
    PendingCall,
)
from cloverway.tests.standins.clients import NO_ANSWER, Caller, Result
from cloverway.tests.standins.topology import SERVICE, make_team_key
from cloverway.tests.standins.waiting import wait_until

BeginStep = Callable[[FaultTestbed, Call, str], PendingCall]
RAW_TIMEOUT_S = 9.0
WARM_UP_SUCCESSES = 30


def _make_pending(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    return PendingCall(call, testbed.make_tag(name), testbed.request_key(call))


def _send_in_background(testbed: FaultTestbed, pending: PendingCall, host: str = ENTRY) -> None:
    pending.result = testbed.pool.submit(testbed.send, host, pending)


def begin_lookup(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Look up the hosts at one host, or at the next if it fails; call the first that is up."""
    pending = PendingCall(call, testbed.make_tag(name), "")

    def look_up_and_call() -> Result:
        asked = (Caller(testbed.fleet.url(host), call.team, 1.0) for host in (ENTRY, SECOND_ENTRY))
        answers = (caller.request("GET", "/v1/hosts") for caller in asked)
        listed = next((answer for answer in answers if answer.status == 200), None)
        if listed is None:
            return Result(NO_ANSWER, error="no host answered the lookup")
        named = [entry["name"] for entry in json.loads(listed.body)["hosts"]]
        up = next(host for host in named if _is_answering(testbed, host))
        pending.key = testbed.request_key(call, up)
        return testbed.send(up, pending)

    def release() -> None:
        pending.result = testbed.pool.submit(look_up_and_call)

    pending.release = release  # type: ignore[method-assign]
    return pending


def _is_answering(testbed: FaultTestbed, host: str) -> bool:
    caller = Caller(testbed.fleet.url(host), timeout_s=1.0)
    return caller.request("GET", "/v1/hosts").status == 200


def begin_admit(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Send the head and half of the body; the release sends the rest."""
    pending = _make_pending(testbed, call, name)
    body = pending.tag.ljust(call.body_size, ".").encode()
    address = testbed.fleet.hosts[ENTRY].callers
    connection = http.client.HTTPConnection(address, timeout=RAW_TIMEOUT_S)
    connection.putrequest("POST", f"/v1/services/{SERVICE}/{pending.tag}")
    headers = {
        "Authorization": f"Bearer {make_team_key(call.team)}",
        "Cloverway-Profile": call.profile,
        "Cloverway-Deadline-Ms": str(call.deadline_ms),
        "Content-Length": str(len(body)),
    }
    headers |= {"Idempotency-Key": pending.key} if pending.key else {}
    for header, value in headers.items():
        connection.putheader(header, value)
    before = testbed.count_in_progress(ENTRY)
    connection.endheaders(body[: len(body) // 2])

    def is_head_read() -> bool:
        readable = select.select([connection.sock], [], [], 0)[0]
        return bool(readable) or testbed.count_in_progress(ENTRY) > before

    wait_until(is_head_read, 5, "the head to be read, or refused")

    def finish() -> Result:
        try:
            connection.send(body[len(body) // 2 :])
            answer = connection.getresponse()
            data = answer.read()
        except (OSError, http.client.HTTPException) as error:
            return Result(NO_ANSWER, error=repr(error))
        finally:
            connection.close()
        value = json.loads(data)
        if answer.status != 200:
            return Result(answer.status, data, dict(answer.headers), problem=value)
        return Result(200, data, complete=value["echo"] == body.decode())

    def release() -> None:
        pending.result = testbed.pool.submit(finish)

    pending.release = release  # type: ignore[method-assign]
    return pending


def begin_queue(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Fill every slot of the region with calls that are held, and queue one more call."""
    endpoints = testbed.list_endpoints(call)
    testbed.warm_up(ENTRY, call)
    testbed.set_faults(endpoints, hold=True)
    testbed.fill_slots(ENTRY, Call("lookup", team=call.team, deadline_ms=9000))
    pending = _make_pending(testbed, call, name)
    before = testbed.count_queued(ENTRY)
    _send_in_background(testbed, pending)
    wait_until(
        lambda: testbed.count_queued(ENTRY) > before or pending.result.done(), 5, "a queued call"
    )
    assert not pending.result.done(), pending.result.result()
    pending.release = testbed.clear_faults  # type: ignore[method-assign]
    return pending


def begin_unsent(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Send the call only after the fault is injected.

    Before that, wait until the host uses every endpoint of its region again after the fault of an
    earlier cell, and send calls that succeed, because the retry budget is a fraction of these.
    """
    endpoints = set(testbed.list_endpoints(call))
    wait_until(
        lambda: testbed.list_available_endpoints(ENTRY, call) >= endpoints,
        20,
        "all endpoints to be in use",
    )
    testbed.warm_up(ENTRY, Call("lookup", team=call.team), WARM_UP_SUCCESSES)
    pending = _make_pending(testbed, call, name)
    pending.release = lambda: _send_in_background(testbed, pending)  # type: ignore[method-assign]
    return pending


def begin_send(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Let the links forward only a part of the body."""
    links = [testbed.fleet.links[endpoint] for endpoint in testbed.list_endpoints(call)]
    before = sum(link.held for link in links)
    for link in links:
        link.hold_large(1000)
    pending = _make_pending(testbed, call, name)
    _send_in_background(testbed, pending)
    wait_until(lambda: sum(link.held for link in links) > before, 5, "the body to be on its way")

    def release() -> None:
        for link in links:
            link.release_large()

    pending.release = release  # type: ignore[method-assign]
    return pending


def begin_first_byte(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Let the endpoint receive the request, and hold its response."""
    return _begin_held(testbed, call, name, hold=True)


def begin_mid_stream(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Let the caller receive a few tokens, and hold the next one."""
    pending = _begin_held(testbed, call, name, hold_after=3)
    wait_until(lambda: b"-2 " in b"".join(pending.chunks), 5, "the first tokens to arrive")
    return pending


def begin_end(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Let the caller receive every token, and hold the end of the stream."""
    pending = _begin_held(testbed, call, name, hold_after=TOKENS)
    last = f"-{TOKENS - 1} ".encode()
    wait_until(lambda: last in b"".join(pending.chunks), 5, "all tokens to arrive")
    return pending


def begin_recording(testbed: FaultTestbed, call: Call, name: str) -> PendingCall:
    """Complete a call; the release repeats it with its key at the other host."""
    pending = _make_pending(testbed, call, name)
    _send_in_background(testbed, pending)
    first = pending.result.result(10)
    assert first.complete, first
    pending.chunks = []
    pending.release = lambda: _send_in_background(testbed, pending, SECOND_ENTRY)  # type: ignore[method-assign]
    return pending


def _begin_held(testbed: FaultTestbed, call: Call, name: str, **hold: object) -> PendingCall:
    testbed.set_faults(testbed.list_endpoints(call), **hold)
    pending = _make_pending(testbed, call, name)
    _send_in_background(testbed, pending)

    def has_reached_endpoint() -> bool:
        # A refused call never reaches an endpoint; its result then shows the cause.
        assert not pending.result.done(), pending.result.result()
        return testbed.count_runs(pending.tag) == 1

    wait_until(has_reached_endpoint, 5, "the request to reach an endpoint")
    pending.release = testbed.clear_faults  # type: ignore[method-assign]
    return pending


STEPS: dict[str, BeginStep] = {
    "lookup": begin_lookup,
    "admit": begin_admit,
    "queue": begin_queue,
    "choose": begin_unsent,
    "connect": begin_unsent,
    "send": begin_send,
    "first byte": begin_first_byte,
    "mid-stream": begin_mid_stream,
    "end": begin_end,
    "passing on": begin_first_byte,
    "recording": begin_recording,
}

CALLS: dict[str, Call] = {
    "send": Call(body_size=200_000),
    "mid-stream": Call("dossier", stream=True),
    "end": Call("dossier", stream=True),
    "passing on": Call(team="bound-cu"),
}
"""The call of a step, where it differs from the default: an allocation with a key."""
