from __future__ import annotations

import select
import socket
from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from cloverway.errors import Kind, RequestError
from cloverway.tests.raw_endpoint import (
    TIMEOUT_S,
    EndpointSideConnection,
    RawEndpoint,
)
from cloverway.tests.standins.waiting import wait_until
from cloverway.tests.stream_harness import (
    EVENTS,
    HEAD,
    LAST_CHUNK,
    StreamHarness,
    chunk,
    make_script,
)
from cloverway.upstream import relay
from cloverway.upstream.copiers import RelayCopier
from cloverway.upstream.framing import ChunkedBody
from cloverway.upstream.relay import Relay, RelayedStream, StreamLimits
from cloverway.upstream.stream_stats import StreamMeter


@pytest.fixture
def relay_harness() -> Iterator[StreamHarness]:
    harness = StreamHarness(RelayCopier(Relay.start()))
    yield harness
    harness.close()


def test_caller_disconnects_while_the_endpoint_is_silent(relay_harness: StreamHarness) -> None:
    """The engine gets a cancel as soon as the caller disconnects, not at its next token.

    The caller closes its connection while the engine prefills a long prompt and sends nothing. The
    relay detects the close, closes the connection to the engine and sends a cancel.
    """
    with RawEndpoint(make_script(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, copy_future = relay_harness.hand_over(relay_harness.open(endpoint.url))
        assert caller.recv(4096) == chunk(EVENTS[0])
        caller.close()
        assert copy_future.exception(TIMEOUT_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: endpoint.closed_count == 1, what="close")
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


def open_big_stream(
    harness: StreamHarness, size: int
) -> tuple[RawEndpoint, list[int], socket.socket, Future]:
    """Hand over a stream that is larger than all buffers between endpoint and caller."""
    event = b"data: " + b"x" * 65536 + b"\n\n"
    sent = []

    def send_much(connection: EndpointSideConnection) -> None:
        connection.read_request()
        connection.send(HEAD)
        for _ in range(size):
            connection.send(chunk(event))
            sent.append(len(event))
        connection.send(chunk(EVENTS[-1]) + LAST_CHUNK)
        connection.wait_for_close()

    endpoint = RawEndpoint(send_much)
    caller, copy_future = harness.hand_over(harness.open(endpoint.url))
    return endpoint, sent, caller, copy_future


def list_paused_streams(harness: StreamHarness) -> list[RelayedStream]:
    """Return the streams whose endpoint is not read because bytes wait for the caller."""
    task = harness.client._copier._relay
    waiting = [stream for stream in list(task._streams) if stream.has_unsent]
    return [stream for stream in waiting if stream.endpoint.fileno() not in task._handlers]


def test_slow_caller_puts_back_pressure_on_the_endpoint(relay_harness: StreamHarness) -> None:
    """A slow caller gets the complete stream, while the buffer of the relay stays small.

    The caller reads nothing at first. Once the kernel buffers are full, the endpoint is no longer
    read, so its sends block; when the caller reads, the complete stream arrives.
    """
    endpoint, sent, caller, copy_future = open_big_stream(relay_harness, 256)
    with endpoint:
        wait_until(lambda: list_paused_streams(relay_harness), what="back-pressure")
        stream = list_paused_streams(relay_harness)[0]
        assert len(stream._unsent) <= relay.READ_BYTES + 65536 + 100
        body, size = ChunkedBody(), 0
        for data in iter(lambda: caller.recv(1 << 20), b""):
            size += len(body.feed(data))
        copy_future.result(TIMEOUT_S)
        assert size == sum(sent) + len(EVENTS[-1])


def test_caller_that_never_reads_is_disconnected(relay_harness, monkeypatch) -> None:
    monkeypatch.setattr(relay, "CALLER_STALL_TIMEOUT_S", 0.2)
    endpoint, _, _, copy_future = open_big_stream(relay_harness, 512)
    with endpoint:
        assert copy_future.exception(TIMEOUT_S).kind is Kind.CALLER_LEFT
        wait_until(lambda: len(endpoint.cancels) == 1, what="cancel")


@pytest.mark.parametrize(
    "disconnect", [lambda caller: caller.close(), lambda caller: caller.shutdown(socket.SHUT_WR)]
)
def test_caller_disconnects_while_bytes_wait_for_it(
    relay_harness: StreamHarness, disconnect
) -> None:
    endpoint, _, caller, copy_future = open_big_stream(relay_harness, 512)
    with endpoint:
        wait_until(lambda: list_paused_streams(relay_harness), what="back-pressure")
        disconnect(caller)
        assert copy_future.exception(TIMEOUT_S).kind is Kind.CALLER_LEFT


def test_stop_aborts_streams_and_reports_it(relay_harness: StreamHarness) -> None:
    with RawEndpoint(make_script(chunk(EVENTS[0]), hold=True)) as endpoint:
        caller, copy_future = relay_harness.hand_over(relay_harness.open(endpoint.url))
        caller.recv(4096)
        relay_harness.client._copier.close()
        assert copy_future.exception(TIMEOUT_S).kind is Kind.TRUNCATED


class FakeEvents:
    """Event parser that never completes and forwards all bytes."""

    complete = False
    tokens = 0

    def feed(self, data: bytes) -> bytes:
        return data


def test_a_stalled_caller_does_not_count_as_a_silent_endpoint() -> None:
    """The time during which the caller is stalled does not count as silence of the endpoint.

    The endpoint is not read while bytes wait for the caller. Its silence is measured from the
    moment when the caller has accepted them.
    """
    endpoint, endpoint_peer = socket.socketpair()
    caller, caller_peer = socket.socketpair()
    with endpoint, endpoint_peer, caller, caller_peer:
        caller.setblocking(False)
        stream = RelayedStream(
            endpoint, caller, FakeEvents(), StreamMeter(), StreamLimits(1000.0, 10.0)
        )
        stream.begin(b"x" * 4_000_000, now=100.0)
        assert stream.has_unsent
        stream.check_limits(now=100.0 + relay.CALLER_STALL_TIMEOUT_S - 0.1)
        with pytest.raises(RequestError) as failure:
            stream.check_limits(now=100.0 + relay.CALLER_STALL_TIMEOUT_S)
        assert failure.value.kind is Kind.CALLER_LEFT
        while stream.has_unsent:
            caller_peer.recv(1 << 20)
            stream.write(now=120.0)
        stream.check_limits(now=129.9)
        for now, kind in ((130.0, Kind.TIMED_OUT), (1000.0, Kind.TIMED_OUT)):
            with pytest.raises(RequestError) as failure:
                stream.check_limits(now)
            assert failure.value.kind is kind


def test_a_suspended_process_does_not_abort_streams_as_silent() -> None:
    """A stream continues although the process was suspended beyond the inter-token timeout.

    The process is suspended after a poll without events and resumes a minute later. An event
    arrived meanwhile; the loop reads it before it checks how long the endpoint was silent.
    """
    clock = iter([100.0, 160.0, 160.0, 160.0])
    endpoint, endpoint_peer = socket.socketpair()
    caller, caller_peer = socket.socketpair()
    task = Relay(lambda: next(clock))
    with endpoint, endpoint_peer, caller, caller_peer:
        stream = RelayedStream(
            endpoint, caller, FakeEvents(), StreamMeter(), StreamLimits(1000.0, 10.0)
        )
        stream.begin(b"", now=100.0)
        task._streams.add(stream)
        task._register(endpoint, select.EPOLLIN, task._make_endpoint_handler(stream))
        task.step()
        endpoint_peer.send(b"data: x\n\n")
        task.step()
        assert not stream.finished.done()
        assert caller_peer.recv(100) == b"9\r\ndata: x\n\n\r\n"


def test_a_long_batch_does_not_abort_streams_as_silent() -> None:
    """Streams are not aborted as silent under load while their tokens arrive in time.

    Serving the streams of one poll takes longer than the inter-token timeout, because workers hold
    the GIL. If the start of the batch were the time of each read, a stream that is read late in
    the batch would look silent for the duration of the batch.
    """
    now = [100.0]
    slow, slow_peer = socket.socketpair()
    endpoint, endpoint_peer = socket.socketpair()
    caller, caller_peer = socket.socketpair()
    task = Relay(lambda: now[0])

    def serve_slowly(mask: int, at: float) -> None:
        slow.recv(1)
        now[0] = 160.0

    with slow, slow_peer, endpoint, endpoint_peer, caller, caller_peer:
        stream = RelayedStream(
            endpoint, caller, FakeEvents(), StreamMeter(), StreamLimits(1000.0, 10.0)
        )
        stream.begin(b"", now=100.0)
        task._streams.add(stream)
        task._register(slow, select.EPOLLIN, serve_slowly)
        task._register(endpoint, select.EPOLLIN, task._make_endpoint_handler(stream))
        slow_peer.send(b"x")
        endpoint_peer.send(b"data: x\n\n")
        task.step()
        now[0] = 160.1
        task.step()
        assert not stream.finished.done()


def test_stream_handed_over_to_a_stopped_relay() -> None:
    endpoint, endpoint_peer = socket.socketpair()
    caller, caller_peer = socket.socketpair()
    with endpoint, endpoint_peer, caller, caller_peer:
        task = Relay.start()
        task.stop()
        stream = RelayedStream(
            endpoint, caller, FakeEvents(), StreamMeter(), StreamLimits(1e9, 10.0)
        )
        task.add(stream, b"")
        assert stream.finished.exception(TIMEOUT_S).kind is Kind.TRUNCATED
