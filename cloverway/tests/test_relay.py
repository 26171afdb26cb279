from __future__ import annotations

import select
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress

import pytest

from cloverway import relay
from cloverway.config.settings import Limits
from cloverway.copiers import Copier, EndpointStream, RelayCopier, WorkerCopier
from cloverway.endpoints import EndpointClient
from cloverway.errors import Kind, RequestError
from cloverway.framing import ChunkedBody
from cloverway.messages import Request
from cloverway.meters import GAP_BOUNDS_S, Meter, StreamStats
from cloverway.relay import Bounds, Link, Relay
from cloverway.tests.raw_endpoint import (
    PATIENCE_S,
    Conversation,
    RawEndpoint,
    make_request,
    wait_until,
)
from cloverway.tests.standins.batching import Timing
from cloverway.tests.standins.engine import Engine

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENTS = (b"data: a\n\n", b"data: b\n\n", b"data: c\n\n", b"data: [DONE]\n\n")
END = b"0\r\n\r\n"


class Bench:
    """A client whose streams are copied to callers, each in a thread of its own."""

    def __init__(self, copier: Copier) -> None:
        self.stats: list[tuple[Request, StreamStats]] = []
        self.client = EndpointClient(Limits(), copier, lambda *seen: self.stats.append(seen))
        self.workers = ThreadPoolExecutor(16)
        self.sockets: list[socket.socket] = []

    def open(self, url: str, request: Request | None = None, gap_s: float = 5.0) -> EndpointStream:
        stream = self.client.send(
            url,
            request or make_request(),
            idempotent=True,
            gap_s=gap_s,
            priority=1,
            check=lambda: None,
        ).stream
        assert stream is not None
        return stream

    def hand_over(self, stream: EndpointStream) -> tuple[socket.socket, Future[None]]:
        """Give the caller's end of the connection, and the future of the copying."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            caller.connect(listener.getsockname())
            served, _ = listener.accept()
        caller.settimeout(PATIENCE_S)
        served.settimeout(7.0)
        self.sockets += [caller, served]
        return caller, self.workers.submit(self._copy, stream, served)

    def copy(self, stream: EndpointStream) -> bytes:
        """Copy a stream to a caller that reads all, and give what it read."""
        caller, ended = self.hand_over(stream)
        data = b"".join(iter(lambda: caller.recv(65536), b""))
        ended.result(PATIENCE_S)
        return data

    def _copy(self, stream: EndpointStream, served: socket.socket) -> None:
        try:
            stream.hand_over(served)
            assert served.gettimeout() == 7.0
        finally:
            with suppress(OSError):
                served.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.client.close()
        for sock in self.sockets:
            sock.close()
        self.workers.shutdown()


@pytest.fixture(params=[WorkerCopier, lambda: RelayCopier(Relay.start())], ids=["worker", "relay"])
def bench(request: pytest.FixtureRequest) -> Iterator[Bench]:
    bench = Bench(request.param())
    yield bench
    bench.close()


@pytest.fixture
def relay_bench() -> Iterator[Bench]:
    bench = Bench(RelayCopier(Relay.start()))
    yield bench
    bench.close()


def chunk(event: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(event), event)


def play(*pieces: bytes, hold: bool = False) -> Callable[[Conversation], None]:
    """Make a script: answer each request by these pieces; then hold the connection or end it."""

    def script(conversation: Conversation) -> None:
        while conversation.read_request():
            for piece in (HEAD, *pieces):
                conversation.send(piece)
            if hold:
                conversation.wait_for_close()
            if hold or END not in pieces:
                return

    return script


WHOLE = (*map(chunk, EVENTS), END)


def test_whole_stream_and_its_connection_is_used_again(bench: Bench) -> None:
    with RawEndpoint(play(*WHOLE)) as endpoint:
        for _ in range(2):
            body = ChunkedBody()
            assert body.feed(bench.copy(bench.open(endpoint.url))) == b"".join(EVENTS)
            assert not body.ended, "the last chunk is the caller's server to write"
        assert len(endpoint.conversations) == 1
        assert endpoint.cancels == []
    assert [stats.tokens for _, stats in bench.stats] == [3, 3]


def test_first_piece_is_read_before_the_rest_is_handed_over(bench: Bench) -> None:
    """The caller gets every event once, though the worker read the first ones itself.

    A generator around the stream reads a piece and is dropped, which closes what it reads from;
    only then are the sockets handed over.
    """

    def read_around(stream: EndpointStream) -> Iterator[bytes]:
        yield from stream

    first_read = threading.Event()

    def wait_between(conversation: Conversation) -> None:
        conversation.read_request()
        conversation.send(HEAD + WHOLE[0])
        assert first_read.wait(PATIENCE_S)
        conversation.send(b"".join(WHOLE[1:]))

    with RawEndpoint(wait_between) as endpoint:
        stream = bench.open(endpoint.url)
        assert next(iter(read_around(stream))) == EVENTS[0]
        first_read.set()
        assert ChunkedBody().feed(bench.copy(stream)) == b"".join(EVENTS[1:])


def test_everything_arrives_with_the_head(bench: Bench) -> None:
    with RawEndpoint(lambda c: c.read_request() and c.send(HEAD + b"".join(WHOLE))) as endpoint:
        assert ChunkedBody().feed(bench.copy(bench.open(endpoint.url))) == b"".join(EVENTS)


def test_stream_cut_at_every_byte(bench: Bench) -> None:
    """The caller never takes a part of a stream for the whole, wherever it is cut.

    The endpoint closes after each possible number of bytes: between frames, within one, after
    `[DONE]` but before the last chunk. The worker is told, and neither `[DONE]` nor the last
    chunk was copied.
    """
    wire = b"".join(WHOLE)
    scripts = [play(wire[:place]) for place in range(len(wire))]
    with RawEndpoint(*scripts) as endpoint:
        for place in range(len(wire)):
            caller, ended = bench.hand_over(bench.open(endpoint.url))
            copied = b"".join(iter(lambda: caller.recv(4096), b""))  # noqa: B023
            error = ended.exception(PATIENCE_S)
            assert isinstance(error, RequestError), place
            assert error.kind is Kind.TRUNCATED
            assert b"[DONE]" not in copied
            body = ChunkedBody()
            assert b"".join(EVENTS).startswith(body.feed(copied))
            assert not body.ended


def test_malformed_stream(bench: Bench) -> None:
    with RawEndpoint(play(chunk(EVENTS[0]), b"oops\r\n", hold=True)) as endpoint:
        _, ended = bench.hand_over(bench.open(endpoint.url))
        assert ended.exception(PATIENCE_S).kind is Kind.ENDPOINT_FAILED
        wait_until(lambda: endpoint.ended == 1, "close")


def test_silent_endpoint(bench: Bench) -> None:
    """The caller's stream ends, cut, once the endpoint was silent for the gap limit.

    One event comes and then nothing, with the connection open: something between the two ends
    has lost track of it. The engine is told on a new connection, and its old one is closed.
    """
    with RawEndpoint(play(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, ended = bench.hand_over(bench.open(endpoint.url, gap_s=0.15))
        assert caller.recv(4096) == chunk(EVENTS[0])
        assert ended.exception(PATIENCE_S).kind is Kind.TIMED_OUT
        wait_until(lambda: endpoint.ended == 1, "close")
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")
        assert b'"r1"' in endpoint.cancels[0]


def test_endless_stream_keeps_to_the_deadline(bench: Bench) -> None:
    def drip(conversation: Conversation) -> None:
        conversation.read_request()
        conversation.send(HEAD)
        conversation.sock.settimeout(0.01)
        while not conversation.wait_for_close():
            conversation.send(chunk(EVENTS[0]))

    with RawEndpoint(drip) as endpoint:
        _, ended = bench.hand_over(bench.open(endpoint.url, make_request(0.3)))
        assert ended.exception(PATIENCE_S).kind is Kind.TIMED_OUT
        wait_until(lambda: endpoint.ended == 1, "close")


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
        wait_until(lambda: endpoint.ended == 1, "close")
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")


def test_caller_leaves_while_tokens_come(bench: Bench) -> None:
    def go_on(conversation: Conversation) -> None:
        conversation.read_request()
        conversation.send(HEAD)
        conversation.sock.settimeout(0.005)
        while not conversation.wait_for_close():
            conversation.send(chunk(EVENTS[0]))

    with RawEndpoint(go_on) as endpoint:
        caller, ended = bench.hand_over(bench.open(endpoint.url))
        caller.recv(4096)
        caller.close()
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")


def test_next_request_of_the_caller_is_left_alone(bench: Bench) -> None:
    with RawEndpoint(play(*WHOLE)) as endpoint:
        stream = bench.open(endpoint.url)
        caller, ended = bench.hand_over(stream)
        caller.sendall(b"GET /v1/hosts HTTP/1.1\r\n")
        ended.result(PATIENCE_S)
        assert bench.sockets[-1].recv(4096) == b"GET /v1/hosts HTTP/1.1\r\n"


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
        wait_until(lambda: get_paused(relay_bench), "back-pressure")
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
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")


@pytest.mark.parametrize(
    "leave", [lambda caller: caller.close(), lambda caller: caller.shutdown(socket.SHUT_WR)]
)
def test_caller_leaves_while_bytes_wait_for_it(relay_bench: Bench, leave) -> None:
    endpoint, _, caller, ended = open_big_stream(relay_bench, 512)
    with endpoint:
        wait_until(lambda: get_paused(relay_bench), "back-pressure")
        leave(caller)
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT


def test_streams_at_once_are_never_mixed(bench: Bench) -> None:
    def echo(conversation: Conversation) -> None:
        while request := conversation.read_request():
            event = b"data: %b\n\n" % request.partition(b"\r\n\r\n")[2]
            conversation.send(HEAD + chunk(event))
            for _ in range(50):
                conversation.send(chunk(event))
            conversation.send(chunk(EVENTS[-1]) + END)

    def ask(number: int) -> bool:
        body = b"%d" % number * 40
        with RawEndpoint(echo) as endpoint:
            answer = ChunkedBody().feed(
                bench.copy(bench.open(endpoint.url, make_request(body=body)))
            )
        return answer == b"data: %b\n\n" % body * 51 + EVENTS[-1]

    with ThreadPoolExecutor(8) as callers:
        assert all(callers.map(ask, range(40)))


def test_stop_cuts_and_tells(relay_bench: Bench) -> None:
    with RawEndpoint(play(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, ended = relay_bench.hand_over(relay_bench.open(endpoint.url))
        caller.recv(4096)
        relay_bench.client._copier.close()
        assert ended.exception(PATIENCE_S).kind is Kind.TRUNCATED


def test_unused_stream_is_given_up(bench: Bench) -> None:
    with RawEndpoint(play(chunk(EVENTS[0]), hold=True)) as endpoint:
        stream = bench.open(endpoint.url)
        stream.close()
        stream.close()
        wait_until(lambda: endpoint.ended == 1, "close")
        wait_until(lambda: len(endpoint.cancels) == 1, "cancel")
    assert len(bench.stats) == 1


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


def test_stream_handed_over_to_a_stopped_relay() -> None:
    endpoint, endpoint_end = socket.socketpair()
    caller, caller_end = socket.socketpair()
    with endpoint, endpoint_end, caller, caller_end:
        task = Relay.start()
        task.stop()
        link = Link(endpoint, caller, FakeEvents(), Meter(), Bounds(1e9, 10.0))
        task.take(link, b"")
        assert link.ended.exception(PATIENCE_S).kind is Kind.TRUNCATED


def test_meter_counts_gaps_by_bucket() -> None:
    meter = Meter()
    for tokens, now in ((0, 1.0), (1, 2.0), (1, 2.5), (2, 2.06), (4, 2.12), (5, 99.0)):
        meter.note(tokens, now)
    stats = meter.summarise(100.0)
    assert (stats.tokens, stats.first_at, stats.gap_sum_s) == (5, 2.0, 97.0)
    buckets = [index for index, count in enumerate(stats.gaps) for _ in range(count)]
    assert buckets == [4, 4, len(GAP_BOUNDS_S)]


def test_engine_ends_the_run_of_a_caller_that_left(bench: Bench) -> None:
    """The engine ends the run whose caller left, and does not keep it to be resumed.

    The end of the connection only interrupts the run. The call that follows names it by the
    request's id, which the engine was given with the request.
    """
    with Engine(timing=Timing(token_s=0.05)) as engine:
        body = b'{"model": "clover-assist", "prompt": "x", "max_tokens": 500, "stream": true}'
        request = make_request(path="/v1/completions", body=body)
        caller, ended = bench.hand_over(bench.open(engine.url, request))
        assert caller.recv(4096)
        caller.close()
        assert ended.exception(PATIENCE_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: engine.batch.runs["r1"].state == "cancelled", "cancel")
