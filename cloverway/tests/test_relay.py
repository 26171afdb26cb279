from __future__ import annotations

import select
import socket
from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from cloverway.errors import Kind, RequestError
from cloverway.tests.copying import END, EVENTS, HEAD, Bench, chunk, play
from cloverway.tests.raw_endpoint import (
    PATIENCE_S,
    Conversation,
    RawEndpoint,
)
from cloverway.tests.standins.waiting import wait_until
from cloverway.upstream import relay
from cloverway.upstream.copiers import RelayCopier
from cloverway.upstream.framing import ChunkedBody
from cloverway.upstream.meters import Meter
from cloverway.upstream.relay import Bounds, Link, Relay


@pytest.fixture
def relay_bench() -> Iterator[Bench]:
    bench = Bench(RelayCopier(Relay.start()))
    yield bench
    bench.close()


def test_caller_leaves_while_the_endpoint_is_silent(relay_bench: Bench) -> None:
    """The engine is told within moments that its caller has left, not at its next token.

    The caller closes its connection while the engine reads a long prompt and sends nothing. The
    loop sees the end of the caller's connection, closes the engine's and asks for a cancel.
    """
    with RawEndpoint(play(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, ended = relay_bench.hand_over(relay_bench.open(endpoint.url))
        assert caller.recv(4096) == chunk(EVENTS[0])
        caller.close()
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: endpoint.ended == 1, what="close")
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


def open_big_stream(
    bench: Bench, size: int
) -> tuple[RawEndpoint, list[int], socket.socket, Future]:
    """Hand over a stream that is larger than all buffers between its ends."""
    event = b"data: " + b"x" * 65536 + b"\n\n"
    sent = []

    def send_much(conversation: Conversation) -> None:
        conversation.read_request()
        conversation.send(HEAD)
        for _ in range(size):
            conversation.send(chunk(event))
            sent.append(len(event))
        conversation.send(chunk(EVENTS[-1]) + END)
        conversation.wait_for_close()

    endpoint = RawEndpoint(send_much)
    caller, ended = bench.hand_over(bench.open(endpoint.url))
    return endpoint, sent, caller, ended


def get_paused(bench: Bench) -> list[Link]:
    """Give the streams whose endpoint is not read, because bytes wait for the caller."""
    task = bench.client._copier._relay
    waiting = [link for link in list(task._links) if link.waits_for_caller]
    return [link for link in waiting if link.endpoint.fileno() not in task._handlers]


def test_slow_caller_slows_the_endpoint_down(relay_bench: Bench) -> None:
    """A caller that reads slowly gets all, and what waits for it here stays small.

    The caller reads nothing at first. When the buffers of the kernel are full, the endpoint is
    no longer read, so its sends block; once the caller reads, all of it arrives.
    """
    endpoint, sent, caller, ended = open_big_stream(relay_bench, 256)
    with endpoint:
        wait_until(lambda: get_paused(relay_bench), what="back-pressure")
        link = get_paused(relay_bench)[0]
        assert len(link._unsent) <= relay.READ_BYTES + 65536 + 100
        body, size = ChunkedBody(), 0
        for data in iter(lambda: caller.recv(1 << 20), b""):
            size += len(body.feed(data))
        ended.result(PATIENCE_S)
        assert size == sum(sent) + len(EVENTS[-1])


def test_caller_that_never_reads_is_given_up(relay_bench, monkeypatch) -> None:
    monkeypatch.setattr(relay, "CALLER_STALL_S", 0.2)
    endpoint, _, _, ended = open_big_stream(relay_bench, 512)
    with endpoint:
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


@pytest.mark.parametrize(
    "leave", [lambda caller: caller.close(), lambda caller: caller.shutdown(socket.SHUT_WR)]
)
def test_caller_leaves_while_bytes_wait_for_it(relay_bench: Bench, leave) -> None:
    endpoint, _, caller, ended = open_big_stream(relay_bench, 512)
    with endpoint:
        wait_until(lambda: get_paused(relay_bench), what="back-pressure")
        leave(caller)
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT


def test_stop_cuts_and_tells(relay_bench: Bench) -> None:
    with RawEndpoint(play(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, ended = relay_bench.hand_over(relay_bench.open(endpoint.url))
        caller.recv(4096)
        relay_bench.client._copier.close()
        assert ended.exception(PATIENCE_S).kind is Kind.TRUNCATED


class FakeEvents:
    """Events that are never whole and pass everything on."""

    whole = False
    tokens = 0

    def feed(self, data: bytes) -> bytes:
        return data


def test_limits_by_time() -> None:
    """A stalled caller's time is not counted as the endpoint's silence.

    The endpoint is not read while bytes wait for the caller. Once they are taken, its silence
    counts from that moment.
    """
    endpoint, endpoint_end = socket.socketpair()
    caller, caller_end = socket.socketpair()
    with endpoint, endpoint_end, caller, caller_end:
        caller.setblocking(False)
        link = Link(endpoint, caller, FakeEvents(), Meter(), Bounds(1000.0, 10.0))
        link.begin(b"x" * 4_000_000, now=100.0)
        assert link.waits_for_caller
        link.check(now=100.0 + relay.CALLER_STALL_S - 0.1)
        with pytest.raises(RequestError) as failure:
            link.check(now=100.0 + relay.CALLER_STALL_S)
        assert failure.value.kind is Kind.CALLER_LEFT
        while link.waits_for_caller:
            caller_end.recv(1 << 20)
            link.write(now=120.0)
        link.check(now=129.9)
        for now, kind in ((130.0, Kind.TIMED_OUT), (1000.0, Kind.TIMED_OUT)):
            with pytest.raises(RequestError) as failure:
                link.check(now)
            assert failure.value.kind is kind


def test_a_process_that_slept_calls_no_stream_silent() -> None:
    """The stream goes on though the host was paused for longer than the gap limit.

    The process stops after a poll that found nothing and wakes a minute later. An event came
    meanwhile; the loop reads it before it asks how long the endpoint was silent.
    """
    clock = iter([100.0, 160.0, 160.0, 160.0])
    endpoint, endpoint_end = socket.socketpair()
    caller, caller_end = socket.socketpair()
    task = Relay(lambda: next(clock))
    with endpoint, endpoint_end, caller, caller_end:
        link = Link(endpoint, caller, FakeEvents(), Meter(), Bounds(1000.0, 10.0))
        link.begin(b"", now=100.0)
        task._links.add(link)
        task._register(endpoint, select.EPOLLIN, task._make_endpoint_handler(link))
        task.step()
        endpoint_end.send(b"data: x\n\n")
        task.step()
        assert not link.ended.done()
        assert caller_end.recv(100) == b"9\r\ndata: x\n\n\r\n"


def test_a_batch_that_took_long_calls_no_stream_silent() -> None:
    """Streams are cut as silent under load, though each of their tokens came in time.

    Serving the streams of one poll takes longer than the gap limit, since workers hold the
    interpreter. A stream that was read late in the batch was noted as heard at its beginning, and
    the next look found it silent for as long as the batch had taken.
    """
    now = [100.0]
    slow, slow_end = socket.socketpair()
    endpoint, endpoint_end = socket.socketpair()
    caller, caller_end = socket.socketpair()
    task = Relay(lambda: now[0])

    def serve_slowly(mask: int, at: float) -> None:
        slow.recv(1)
        now[0] = 160.0

    with slow, slow_end, endpoint, endpoint_end, caller, caller_end:
        link = Link(endpoint, caller, FakeEvents(), Meter(), Bounds(1000.0, 10.0))
        link.begin(b"", now=100.0)
        task._links.add(link)
        task._register(slow, select.EPOLLIN, serve_slowly)
        task._register(endpoint, select.EPOLLIN, task._make_endpoint_handler(link))
        slow_end.send(b"x")
        endpoint_end.send(b"data: x\n\n")
        task.step()
        now[0] = 160.1
        task.step()
        assert not link.ended.done()


def test_stream_handed_over_to_a_stopped_relay() -> None:
    endpoint, endpoint_end = socket.socketpair()
    caller, caller_end = socket.socketpair()
    with endpoint, endpoint_end, caller, caller_end:
        task = Relay.start()
        task.stop()
        link = Link(endpoint, caller, FakeEvents(), Meter(), Bounds(1e9, 10.0))
        task.take(link, b"")
        assert link.ended.exception(PATIENCE_S).kind is Kind.TRUNCATED
