from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from cloverway.errors import EndpointLostError, Kind
from cloverway.tests.raw_endpoint import (
    TIMEOUT_S,
    EndpointSideConnection,
    RawEndpoint,
    make_request,
)
from cloverway.tests.standins.batching import Timing
from cloverway.tests.standins.engine import Engine
from cloverway.tests.standins.waiting import wait_until
from cloverway.tests.stream_harness import (
    COMPLETE_STREAM,
    EVENTS,
    HEAD,
    LAST_CHUNK,
    StreamHarness,
    chunk,
    make_script,
)
from cloverway.upstream.copiers import EndpointStream, RelayCopier, WorkerCopier
from cloverway.upstream.framing import ChunkedBody
from cloverway.upstream.relay import Relay


@pytest.fixture(params=[WorkerCopier, lambda: RelayCopier(Relay.start())], ids=["worker", "relay"])
def harness(request: pytest.FixtureRequest) -> Iterator[StreamHarness]:
    harness = StreamHarness(request.param())
    yield harness
    harness.close()


def test_complete_stream_and_its_connection_is_reused(harness: StreamHarness) -> None:
    with RawEndpoint(make_script(*COMPLETE_STREAM)) as endpoint:
        for _ in range(2):
            body = ChunkedBody()
            assert body.feed(harness.copy(harness.open(endpoint.url))) == b"".join(EVENTS)
            assert not body.ended, "the last chunk is written by the server for callers"
        assert len(endpoint.connections) == 1
        assert endpoint.cancels == []
    assert [stats.tokens for _, stats in harness.stats] == [3, 3]


def test_first_piece_is_read_before_the_rest_is_handed_over(harness: StreamHarness) -> None:
    """The caller gets every event once, although the worker read the first ones itself.

    A generator around the stream reads a piece and is dropped, which closes its iterator; only
    then are the sockets handed over.
    """

    def read_around(stream: EndpointStream) -> Iterator[bytes]:
        yield from stream

    first_read = threading.Event()

    def wait_between(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(HEAD + COMPLETE_STREAM[0])
        assert first_read.wait(TIMEOUT_S)
        connection.send(b"".join(COMPLETE_STREAM[1:]))

    with RawEndpoint(wait_between) as endpoint:
        stream = harness.open(endpoint.url)
        assert next(iter(read_around(stream))) == EVENTS[0]
        first_read.set()
        assert ChunkedBody().feed(harness.copy(stream)) == b"".join(EVENTS[1:])


def test_complete_stream_arrives_with_the_head(harness: StreamHarness) -> None:
    with RawEndpoint(
        lambda c: c.read_request() and c.send(HEAD + b"".join(COMPLETE_STREAM))
    ) as endpoint:
        assert ChunkedBody().feed(harness.copy(harness.open(endpoint.url))) == b"".join(EVENTS)


def test_stream_truncated_at_every_byte(harness: StreamHarness) -> None:
    """A truncated stream never looks complete to the caller, wherever it is truncated.

    The endpoint closes after each possible number of bytes: between frames, within one, after
    `[DONE]` but before the last chunk. The worker gets an error, and neither `[DONE]` nor the last
    chunk is copied.
    """
    wire = b"".join(COMPLETE_STREAM)
    scripts = [make_script(wire[:size]) for size in range(len(wire))]
    with RawEndpoint(*scripts) as endpoint:
        for size in range(len(wire)):
            caller, copy_future = harness.hand_over(harness.open(endpoint.url))
            copied = b"".join(iter(lambda: caller.recv(4096), b""))  # noqa: B023
            error = copy_future.exception(TIMEOUT_S)
            assert isinstance(error, EndpointLostError), size
            assert error.kind is Kind.TRUNCATED
            assert b"[DONE]" not in copied
            body = ChunkedBody()
            assert b"".join(EVENTS).startswith(body.feed(copied))
            assert not body.ended


def test_malformed_stream(harness: StreamHarness) -> None:
    with RawEndpoint(make_script(chunk(EVENTS[0]), b"oops\r\n", hold=True)) as endpoint:
        _, copy_future = harness.hand_over(harness.open(endpoint.url))
        assert copy_future.exception(TIMEOUT_S).kind is Kind.ENDPOINT_FAILED
        wait_until(lambda: endpoint.closed_count == 1, what="close")


def test_stalled_endpoint(harness: StreamHarness) -> None:
    """A stream is aborted once the endpoint was silent for the inter-token timeout.

    One event arrives and then nothing, with the connection open, as if its state was lost on the
    path. The old connection is closed, and the engine gets a cancel on a new one.
    """
    with RawEndpoint(make_script(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, copy_future = harness.hand_over(harness.open(endpoint.url, max_gap_s=0.15))
        assert caller.recv(4096) == chunk(EVENTS[0])
        assert copy_future.exception(TIMEOUT_S).kind is Kind.TIMED_OUT
        wait_until(lambda: endpoint.closed_count == 1, what="close")
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")
        assert b'"r1"' in endpoint.cancels[0]


def test_endless_stream_is_aborted_at_its_deadline(harness: StreamHarness) -> None:
    def drip(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(HEAD)
        connection.sock.settimeout(0.01)
        while not connection.wait_for_close():
            connection.send(chunk(EVENTS[0]))

    with RawEndpoint(drip) as endpoint:
        _, copy_future = harness.hand_over(harness.open(endpoint.url, make_request(0.3)))
        assert copy_future.exception(TIMEOUT_S).kind is Kind.TIMED_OUT
        wait_until(lambda: endpoint.closed_count == 1, what="close")


def test_caller_disconnects_while_tokens_arrive(harness: StreamHarness) -> None:
    def send_until_closed(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(HEAD)
        connection.sock.settimeout(0.005)
        while not connection.wait_for_close():
            connection.send(chunk(EVENTS[0]))

    with RawEndpoint(send_until_closed) as endpoint:
        caller, copy_future = harness.hand_over(harness.open(endpoint.url))
        caller.recv(4096)
        caller.close()
        assert copy_future.exception(TIMEOUT_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


def test_next_request_of_the_caller_is_not_consumed(harness: StreamHarness) -> None:
    with RawEndpoint(make_script(*COMPLETE_STREAM)) as endpoint:
        stream = harness.open(endpoint.url)
        caller, copy_future = harness.hand_over(stream)
        caller.sendall(b"GET /v1/hosts HTTP/1.1\r\n")
        copy_future.result(TIMEOUT_S)
        assert harness.sockets[-1].recv(4096) == b"GET /v1/hosts HTTP/1.1\r\n"


def test_concurrent_streams_are_not_mixed_up(harness: StreamHarness) -> None:
    def echo(connection: EndpointSideConnection) -> None:
        while request := connection.read_request():
            event = b"data: %b\n\n" % request.partition(b"\r\n\r\n")[2]
            connection.send(HEAD + chunk(event))
            for _ in range(50):
                connection.send(chunk(event))
            connection.send(chunk(EVENTS[-1]) + LAST_CHUNK)

    def ask(number: int) -> bool:
        body = b"%d" % number * 40
        with RawEndpoint(echo) as endpoint:
            answer = ChunkedBody().feed(
                harness.copy(harness.open(endpoint.url, make_request(body=body)))
            )
        return answer == b"data: %b\n\n" % body * 51 + EVENTS[-1]

    with ThreadPoolExecutor(8) as callers:
        assert all(callers.map(ask, range(40)))


def test_closed_stream_cancels_its_request(harness: StreamHarness) -> None:
    with RawEndpoint(make_script(chunk(EVENTS[0]), hold=True)) as endpoint:
        stream = harness.open(endpoint.url)
        stream.close()
        stream.close()
        wait_until(lambda: endpoint.closed_count == 1, what="close")
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")
    assert len(harness.stats) == 1


def test_engine_cancels_the_run_of_a_disconnected_caller(harness: StreamHarness) -> None:
    """The engine cancels the run of a disconnected caller instead of keeping it for a resume.

    Closing the connection only interrupts the run. The cancel that follows identifies the run by
    the id that was sent with the request.
    """
    with Engine(timing=Timing(token_s=0.05)) as engine:
        body = b'{"model": "clover-assist", "prompt": "x", "max_tokens": 500, "stream": true}'
        request = make_request(path="/v1/completions", body=body)
        caller, copy_future = harness.hand_over(harness.open(engine.url, request))
        assert caller.recv(4096)
        caller.close()
        assert copy_future.exception(TIMEOUT_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: engine.batch.runs["r1"].state == "cancelled", what="cancel")
