"""The relay task: one event loop that copies every stream from its endpoint to its caller.

A worker hands over both sockets and blocks until the stream has ended. Meanwhile only the loop
reads and writes them. Waking a thread for each token would cost several times as much.
"""

from __future__ import annotations

import logging
import select
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from contextlib import suppress
from functools import partial
from typing import NamedTuple

from cloverway.errors import EndpointLostError, Kind, RequestError
from cloverway.upstream.framing import EventStream
from cloverway.upstream.stream_stats import StreamMeter

log = logging.getLogger(__name__)

READ_BYTES = 16 * 1024
LIMIT_CHECK_INTERVAL_S = 0.1
"""Interval between checks of the stream limits, in seconds, and so their precision."""
CALLER_STALL_TIMEOUT_S = 30.0
"""A caller that accepts no byte of its stream for this many seconds is disconnected."""

EventHandler = Callable[[int, float], None]

_receive = socket.socket.recv
"""Receives without the timeouts of a TimedSocket, since the loop enforces the limits itself."""


class StreamLimits(NamedTuple):
    """Deadline of a stream, and the longest inter-token gap in seconds."""

    deadline: float
    """Monotonic time."""
    max_gap_s: float


class RelayedStream:
    """One stream that was handed over: its sockets, its parser and the bytes not sent yet.

    The endpoint is read only while no bytes wait for the caller. A slow caller therefore puts
    back-pressure on the endpoint, and the buffer is bounded by one read and one event.
    """

    def __init__(
        self,
        endpoint: socket.socket,
        caller: socket.socket,
        events: EventStream,
        meter: StreamMeter,
        limits: StreamLimits,
    ) -> None:
        self.endpoint = endpoint
        self.caller = caller
        self.finished: Future[None] = Future()
        self._events = events
        self._meter = meter
        self._limits = limits
        self._unsent = b""
        self._last_read_at = 0.0
        self._last_write_at = 0.0

    @property
    def has_unsent(self) -> bool:
        """Return whether bytes wait to be sent to the caller."""
        return bool(self._unsent)

    @property
    def complete(self) -> bool:
        """Return whether the complete stream was sent to the caller."""
        return self._events.complete and not self._unsent

    def begin(self, piece: bytes, now: float) -> None:
        """Start with the bytes that were read before the sockets were handed over."""
        self._last_read_at = self._last_write_at = now
        if piece:
            self._forward(piece, now)

    def read(self, now: float) -> None:
        """Read from the endpoint and forward to the caller; raise RequestError."""
        try:
            data = _receive(self.endpoint, READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            raise EndpointLostError(
                Kind.TRUNCATED, "the connection to the endpoint failed during the stream"
            ) from error
        if not data:
            raise EndpointLostError(
                Kind.TRUNCATED, "the endpoint closed the connection before the end of the stream"
            )
        self._last_read_at = now
        events = self._events
        piece = events.feed(data)
        self._meter.record_tokens(events.tokens, now)
        if piece:
            self._forward(piece, now)

    def write(self, now: float) -> None:
        """Send as many of the waiting bytes as the caller accepts; raise RequestError."""
        try:
            count = self.caller.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            raise RequestError(
                Kind.CALLER_LEFT, "the caller disconnected during its stream"
            ) from error
        self._last_write_at = now
        self._unsent = self._unsent[count:]
        if not self._unsent:
            self._last_read_at = now

    def check_limits(self, now: float) -> None:
        """Raise RequestError if a limit is exceeded.

        While bytes wait for the caller, the endpoint is not read and its gap is not measured.
        """
        if now >= self._limits.deadline:
            raise RequestError(Kind.TIMED_OUT, "the stream did not end before its deadline")
        if self._unsent:
            if now - self._last_write_at >= CALLER_STALL_TIMEOUT_S:
                raise RequestError(
                    Kind.CALLER_LEFT,
                    "the caller accepted no byte of its stream within the stall timeout",
                )
        elif now - self._last_read_at >= self._limits.max_gap_s:
            raise RequestError(
                Kind.TIMED_OUT, "the endpoint sent nothing within the inter-token timeout"
            )

    def _forward(self, piece: bytes, now: float) -> None:
        self._unsent = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._last_write_at = now
        self.write(now)


class Relay:
    """Event loop that owns the sockets of all streams that were handed over to it."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._poll = select.epoll()
        self._handlers: dict[int, EventHandler] = {}
        self._streams: set[RelayedStream] = set()
        self._new_streams: deque[tuple[RelayedStream, bytes]] = deque()
        self._wake_sender, self._wake_receiver = socket.socketpair()
        self._wake_sender.setblocking(False)
        self._wake_receiver.setblocking(False)
        self._stopping = False
        self._limits_checked_at = float("-inf")
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @classmethod
    def start(cls) -> Relay:
        """Create a relay and start its thread."""
        relay = cls()
        relay._register(relay._wake_receiver, select.EPOLLIN, relay._drain_wakeups)
        relay._thread.start()
        return relay

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop the thread; streams in progress are aborted."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout_s)

    def add(self, stream: RelayedStream, piece: bytes) -> None:
        """Take over the sockets of a stream, and the bytes of it that were read already.

        The sockets belong to the loop until `stream.finished` is done.
        """
        if self._stopping:
            stream.finished.set_exception(RequestError(Kind.TRUNCATED, "the host is shutting down"))
            return
        self._new_streams.append((stream, piece))
        self._wake()

    def _wake(self) -> None:
        with suppress(BlockingIOError):  # If the buffer is full, the loop wakes up anyway.
            self._wake_sender.send(b"\0")

    def _drain_wakeups(self, mask: int, now: float) -> None:
        with suppress(BlockingIOError):
            self._wake_receiver.recv(4096)

    def step(self) -> None:
        """Wait for ready sockets, serve them, and check the limits of all streams.

        The limits are checked against the time before the wait. If the process was suspended
        during the wait, what arrived meanwhile is read before a stream counts as stalled.
        Each socket is served with its own time stamp. With a single one, the duration of a long
        batch would count as silence of each of its streams.
        """
        before = self._clock()
        for descriptor, mask in self._poll.poll(LIMIT_CHECK_INTERVAL_S):
            handler = self._handlers.get(descriptor)
            if handler is not None:
                handler(mask, self._clock())
        # After the batch, because a new stream may reuse a descriptor that has an event in it.
        self._add_new()
        if before - self._limits_checked_at >= LIMIT_CHECK_INTERVAL_S:
            self._limits_checked_at = before
            self._check_all_limits(before)

    def _run(self) -> None:
        while not self._stopping:
            self.step()
        self._add_new()
        for stream in list(self._streams):
            self._end(stream, RequestError(Kind.TRUNCATED, "the host is shutting down"))
        self._poll.close()

    def _add_new(self) -> None:
        while self._new_streams:
            stream, piece = self._new_streams.popleft()
            self._streams.add(stream)
            self._run_guarded(stream, partial(self._begin, stream, piece, self._clock()))

    def _begin(self, stream: RelayedStream, piece: bytes, now: float) -> None:
        stream.endpoint.setblocking(False)
        stream.caller.setblocking(False)
        self._register(stream.caller, select.EPOLLRDHUP, self._make_caller_handler(stream))
        self._register(stream.endpoint, select.EPOLLIN, self._make_endpoint_handler(stream))
        stream.begin(piece, now)
        self._update_interest(stream, False)

    def _make_endpoint_handler(self, stream: RelayedStream) -> EventHandler:
        def handle(mask: int, now: float) -> None:
            try:
                stream.read(now)
                if stream.has_unsent or stream.complete:
                    self._update_interest(stream, False)
            except Exception as error:
                self._end(stream, error)

        return handle

    def _make_caller_handler(self, stream: RelayedStream) -> EventHandler:
        def handle(mask: int, now: float) -> None:
            try:
                if mask & ~select.EPOLLOUT:
                    raise RequestError(
                        Kind.CALLER_LEFT, "the caller disconnected during its stream"
                    )
                stream.write(now)
                self._update_interest(stream, True)
            except Exception as error:
                self._end(stream, error)

        return handle

    def _update_interest(self, stream: RelayedStream, was_blocked: bool) -> None:
        """Register for the events that the stream waits for, or end it if it is complete."""
        if stream.complete:
            self._end(stream, None)
        elif stream.has_unsent and not was_blocked:
            # Unregistered, because epoll reports a reset repeatedly even with an empty mask.
            self._unregister(stream.endpoint)
            self._poll.modify(stream.caller, select.EPOLLOUT | select.EPOLLRDHUP)
        elif was_blocked and not stream.has_unsent:
            self._poll.modify(stream.caller, select.EPOLLRDHUP)
            self._register(stream.endpoint, select.EPOLLIN, self._make_endpoint_handler(stream))

    def _check_all_limits(self, now: float) -> None:
        for stream in list(self._streams):
            self._run_guarded(stream, partial(stream.check_limits, now))

    def _run_guarded(self, stream: RelayedStream, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            self._end(stream, error)

    def _end(self, stream: RelayedStream, error: Exception | None) -> None:
        """Return the sockets to the worker, with the outcome of the stream."""
        if stream not in self._streams:
            return
        self._streams.discard(stream)
        self._unregister(stream.endpoint)
        self._unregister(stream.caller)
        if error is None:
            stream.finished.set_result(None)
            return
        if not isinstance(error, RequestError):
            log.error("unexpected error while relaying a stream", exc_info=error)
        stream.finished.set_exception(error)

    def _register(self, sock: socket.socket, mask: int, handler: EventHandler) -> None:
        self._handlers[sock.fileno()] = handler
        self._poll.register(sock, mask)

    def _unregister(self, sock: socket.socket) -> None:
        if self._handlers.pop(sock.fileno(), None) is not None:
            self._poll.unregister(sock)
