"""Bring a call to a step, and hold it there until a fault is in place."""

from __future__ import annotations

import http.client
import json
import select
from collections.abc import Callable

from cloverway.tests.matrix.testbed import ENTRY, SECOND, TOKENS, Bench, Call, Flight
from cloverway.tests.standins.clients import NO_ANSWER, Caller, Result
from cloverway.tests.standins.topology import SERVICE, key_of
from cloverway.tests.standins.waiting import wait_until

Begin = Callable[[Bench, Call, str], Flight]
RAW_TIMEOUT_S = 9.0
SUCCESSES = 30


def _make_flight(bench: Bench, call: Call, name: str) -> Flight:
    return Flight(call, bench.mark(name), bench.take_key(call))


def _depart(bench: Bench, flight: Flight, host: str = ENTRY) -> None:
    flight.result = bench.pool.submit(bench.send, host, flight)


def begin_lookup(bench: Bench, call: Call, name: str) -> Flight:
    """Ask one host, and if it does not answer the next, which to use; call the first that is up."""
    flight = Flight(call, bench.mark(name), "")

    def look_up_and_call() -> Result:
        asked = (Caller(bench.fleet.url(host), call.team, 1.0) for host in (ENTRY, SECOND))
        answers = (caller.request("GET", "/v1/hosts") for caller in asked)
        listed = next((answer for answer in answers if answer.status == 200), None)
        if listed is None:
            return Result(NO_ANSWER, error="no host gave a list")
        named = [entry["name"] for entry in json.loads(listed.body)["hosts"]]
        up = next(host for host in named if _answers(bench, host))
        flight.key = bench.take_key(call, up)
        return bench.send(up, flight)

    def release() -> None:
        flight.result = bench.pool.submit(look_up_and_call)

    flight.release = release  # type: ignore[method-assign]
    return flight


def _answers(bench: Bench, host: str) -> bool:
    caller = Caller(bench.fleet.url(host), timeout_s=1.0)
    return caller.request("GET", "/v1/hosts").status == 200


def begin_admit(bench: Bench, call: Call, name: str) -> Flight:
    """Send the head and half of the body; the rest comes with the release."""
    flight = _make_flight(bench, call, name)
    body = flight.mark.ljust(call.size, ".").encode()
    address = bench.fleet.hosts[ENTRY].callers
    connection = http.client.HTTPConnection(address, timeout=RAW_TIMEOUT_S)
    connection.putrequest("POST", f"/v1/services/{SERVICE}/{flight.mark}")
    headers = {
        "Authorization": f"Bearer {key_of(call.team)}",
        "Cloverway-Profile": call.profile,
        "Cloverway-Deadline-Ms": str(call.deadline_ms),
        "Content-Length": str(len(body)),
    }
    headers |= {"Idempotency-Key": flight.key} if flight.key else {}
    for header, value in headers.items():
        connection.putheader(header, value)
    before = bench.in_progress(ENTRY)
    connection.endheaders(body[: len(body) // 2])

    def is_read() -> bool:
        early = select.select([connection.sock], [], [], 0)[0]
        return bool(early) or bench.in_progress(ENTRY) > before

    wait_until(is_read, 5, "the head to be read, or refused")

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
        return Result(200, data, whole=value["echo"] == body.decode())

    def release() -> None:
        flight.result = bench.pool.submit(finish)

    flight.release = release  # type: ignore[method-assign]
    return flight


def begin_queue(bench: Bench, call: Call, name: str) -> Flight:
    """Fill every slot of the region with calls that are held, and send one more."""
    endpoints = bench.endpoints(call)
    bench.warm(ENTRY, call)
    bench.set_faults(endpoints, hold=True)
    bench.occupy(ENTRY, Call("lookup", team=call.team, deadline_ms=9000))
    flight = _make_flight(bench, call, name)
    before = bench.queued(ENTRY)
    _depart(bench, flight)
    wait_until(lambda: bench.queued(ENTRY) > before or flight.result.done(), 5, "the queue")
    assert not flight.result.done(), flight.result.result()
    flight.release = bench.clear_faults  # type: ignore[method-assign]
    return flight


def begin_before(bench: Bench, call: Call, name: str) -> Flight:
    """Hold the call back until the fault is in place: it meets the fault where it comes to it.

    The host has some successes first, for its budget of retries is a share of them, and takes every
    endpoint of its region into use again after an earlier cell's fault.
    """
    endpoints = set(bench.endpoints(call))
    wait_until(lambda: bench.find_free(ENTRY, call) >= endpoints, 20, "all endpoints to be in use")
    bench.warm(ENTRY, Call("lookup", team=call.team), SUCCESSES)
    flight = _make_flight(bench, call, name)
    flight.release = lambda: _depart(bench, flight)  # type: ignore[method-assign]
    return flight


def begin_send(bench: Bench, call: Call, name: str) -> Flight:
    """Let the link pass a part of the body only."""
    links = [bench.fleet.links[endpoint] for endpoint in bench.endpoints(call)]
    before = sum(link.held for link in links)
    for link in links:
        link.hold_large(1000)
    flight = _make_flight(bench, call, name)
    _depart(bench, flight)
    wait_until(lambda: sum(link.held for link in links) > before, 5, "the body to be on its way")

    def release() -> None:
        for link in links:
            link.let_go()

    flight.release = release  # type: ignore[method-assign]
    return flight


def begin_first_byte(bench: Bench, call: Call, name: str) -> Flight:
    """Let the endpoint have the whole request, and hold its answer."""
    return _begin_held(bench, call, name, hold=True)


def begin_mid_stream(bench: Bench, call: Call, name: str) -> Flight:
    """Let the caller have a few tokens, and hold the next one."""
    flight = _begin_held(bench, call, name, hold_after=3)
    wait_until(lambda: b"-2 " in b"".join(flight.pieces), 5, "the first tokens to arrive")
    return flight


def begin_end(bench: Bench, call: Call, name: str) -> Flight:
    """Let the caller have every token, and hold the end of the stream."""
    flight = _begin_held(bench, call, name, hold_after=TOKENS)
    last = f"-{TOKENS - 1} ".encode()
    wait_until(lambda: last in b"".join(flight.pieces), 5, "all tokens to arrive")
    return flight


def begin_recording(bench: Bench, call: Call, name: str) -> Flight:
    """Run a call whole; what is released is a repeat with its key at the other host."""
    flight = _make_flight(bench, call, name)
    _depart(bench, flight)
    first = flight.result.result(10)
    assert first.whole, first
    flight.pieces = []
    flight.release = lambda: _depart(bench, flight, SECOND)  # type: ignore[method-assign]
    return flight


def _begin_held(bench: Bench, call: Call, name: str, **hold: object) -> Flight:
    bench.set_faults(bench.endpoints(call), **hold)
    flight = _make_flight(bench, call, name)
    _depart(bench, flight)

    def has_arrived() -> bool:
        # A call that was refused never arrives: what it was told is the trace of the cause.
        assert not flight.result.done(), flight.result.result()
        return bench.runs(flight.mark) == 1

    wait_until(has_arrived, 5, "the request to reach an endpoint")
    flight.release = bench.clear_faults  # type: ignore[method-assign]
    return flight


STEPS: dict[str, Begin] = {
    "lookup": begin_lookup,
    "admit": begin_admit,
    "queue": begin_queue,
    "choose": begin_before,
    "connect": begin_before,
    "send": begin_send,
    "first byte": begin_first_byte,
    "mid-stream": begin_mid_stream,
    "end": begin_end,
    "passing on": begin_first_byte,
    "recording": begin_recording,
}

CALLS: dict[str, Call] = {
    "send": Call(size=200_000),
    "mid-stream": Call("dossier", stream=True),
    "end": Call("dossier", stream=True),
    "passing on": Call(team="bound-cu"),
}
"""The call of each step, where it is not the plain one: an allocation with a key."""
