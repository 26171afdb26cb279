"""The event stream of an endpoint: iterated by a worker, then handed over to a copier."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from concurrent.futures import CancelledError
from contextlib import suppress
from typing import Protocol

from cloverway.errors import EndpointLostError, Kind, RequestError
from cloverway.upstream.connections import TimedSocket
from cloverway.upstream.framing import EventStream
from cloverway.upstream.relay import (
    CALLER_STALL_TIMEOUT_S,
    READ_BYTES,
    Relay,
    RelayedStream,
    StreamLimits,
)
from cloverway.upstream.stream_stats import StreamMeter, StreamStats

RELAY_GRACE_S = 5.0
"""How long a worker waits for the relay task after the deadline of its stream, in seconds."""

OnFinish = Callable[[bool, StreamStats], None]
"""Called once, with whether the stream was read completely and its statistics."""


class Copier(Protocol):
    """Copies the rest of a stream to a caller."""

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Copy the stream to its end; raise RequestError if that fails."""
        ...

    def close(self) -> None:
        """Stop copying; streams in progress are aborted."""
        ...


class EndpointStream:
    """The stream of one exchange; owns the endpoint's socket until the stream has ended."""

    def __init__(
        self,
        endpoint: TimedSocket,
        events: EventStream,
        buffered: bytes,
        on_finish: OnFinish,
        copier: Copier,
    ) -> None:
        self.endpoint = endpoint
        self.events = events
        self.meter = StreamMeter()
        self._buffered = buffered
        self._on_finish: OnFinish | None = on_finish
        self._copier = copier

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over complete events as they arrive; raise RequestError on a truncated stream.

        The iterator deliberately has no `close`: a generator that delegates to it with
        `yield from` would call it when it is dropped, and end the stream before the handover.
        """
        return iter(self._read_or_none, None)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller in chunked framing, without the last chunk.

        If a caller vanishes without closing its connection, the kernel retransmits for about a
        quarter of an hour. TCP_USER_TIMEOUT shortens this, so that the engine stops decoding.
        """
        timeout = caller.gettimeout()
        with suppress(OSError):  # The copier reports a socket that has failed.
            milliseconds = int(CALLER_STALL_TIMEOUT_S * 1000)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        try:
            self._copier.copy(self, caller)
        finally:
            caller.settimeout(timeout)
            self._end()

    def close(self) -> None:
        """Discard the rest of the stream; does nothing if it has ended."""
        self._end()

    def take_buffered(self) -> bytes:
        """Return the events that were received with the head of the answer, once."""
        buffered, self._buffered = self._buffered, b""
        piece = self.events.feed(buffered) if buffered else b""
        self.meter.record_tokens(self.events.tokens, time.monotonic())
        return piece

    def _read_or_none(self) -> bytes | None:
        """Return the next events, or None after the end; raise RequestError."""
        try:
            piece = self._read_events()
        except TimeoutError as error:
            self._end()
            raise RequestError(
                Kind.TIMED_OUT, "no data from the endpoint within the time limits of the stream"
            ) from error
        except OSError as error:
            self._end()
            raise EndpointLostError(
                Kind.TRUNCATED, "the connection to the endpoint failed during the stream"
            ) from error
        except RequestError:
            self._end()
            raise
        if self.events.complete:
            self._end()
        return piece or None

    def _read_events(self) -> bytes:
        """Return the next events, or nothing after the end."""
        piece = self.take_buffered()
        while not piece and not self.events.complete:
            data = self.endpoint.recv(READ_BYTES)
            if not data:
                raise EndpointLostError(
                    Kind.TRUNCATED,
                    "the endpoint closed the connection before the end of the stream",
                )
            piece = self.events.feed(data)
            self.meter.record_tokens(self.events.tokens, time.monotonic())
        return piece

    def _end(self) -> None:
        on_finish, self._on_finish = self._on_finish, None
        if on_finish is not None:
            on_finish(self.events.complete, self.meter.get_stats(time.monotonic()))


class WorkerCopier:
    """Copies in the worker thread of the request; the baseline of benchmarks."""

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Copy the stream to its end; raise RequestError if that fails."""
        caller.settimeout(CALLER_STALL_TIMEOUT_S)
        for piece in stream:
            try:
                caller.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
            except OSError as error:
                raise RequestError(
                    Kind.CALLER_LEFT, "the caller disconnected during its stream"
                ) from error

    def close(self) -> None:
        """Do nothing, since there is no task to stop."""


class RelayCopier:
    """Hands both sockets to the relay task and blocks until the stream has ended."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Copy the stream to its end; raise RequestError if that fails."""
        piece = stream.take_buffered()
        if stream.events.complete and not piece:
            return
        endpoint = stream.endpoint
        limits = StreamLimits(endpoint.deadline, endpoint.read_timeout_s)
        relayed = RelayedStream(endpoint, caller, stream.events, stream.meter, limits)
        self._relay.add(relayed, piece)
        remaining_s = max(0.0, endpoint.deadline - time.monotonic())
        try:
            relayed.finished.result(remaining_s + RELAY_GRACE_S)
        except (TimeoutError, CancelledError) as error:
            raise RequestError(
                Kind.INTERNAL, "the relay task did not finish the stream in time"
            ) from error

    def close(self) -> None:
        """Stop the relay task; streams in progress are aborted."""
        self._relay.stop()
