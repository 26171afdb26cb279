"""A stream of events from an endpoint: read piece by piece, or handed over to the relay task."""

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
"""How long after its deadline the relay task is waited for."""

OnFinish = Callable[[bool, StreamStats], None]
"""Told once whether the stream was read whole, and its figures."""


class Copier(Protocol):
    """A way to copy the rest of a stream to a caller."""

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Return when the whole was copied; raise RequestError when it was not."""
        ...

    def close(self) -> None:
        """End what does the copying; streams in progress are cut."""
        ...


class EndpointStream:
    """The stream of one exchange. It owns the endpoint's socket until it has ended."""

    def __init__(
        self,
        endpoint: TimedSocket,
        events: EventStream,
        buffered: bytes,
        finish: OnFinish,
        copier: Copier,
    ) -> None:
        self.endpoint = endpoint
        self.events = events
        self.meter = StreamMeter()
        self._buffered = buffered
        self._finish: OnFinish | None = finish
        self._copier = copier

    def __iter__(self) -> Iterator[bytes]:
        """Give the whole events as they come; raise RequestError when the stream is cut.

        The iterator has no `close`: a generator that reads it by `yield from` and is dropped
        would otherwise end the stream before it was handed over.
        """
        return iter(self._read_or_none, None)

    def hand_over(self, caller: socket.socket) -> None:
        """Copy the rest to the caller in chunked framing, without the last chunk.

        A caller that vanished without a sign leaves the kernel to send in vain for a quarter of
        an hour; the option ends that, so that the engine does not work for nobody.
        """
        timeout = caller.gettimeout()
        with suppress(OSError):  # It has failed already, which the copying will find.
            milliseconds = int(CALLER_STALL_TIMEOUT_S * 1000)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        try:
            self._copier.copy(self, caller)
        finally:
            caller.settimeout(timeout)
            self._end()

    def close(self) -> None:
        """Give the rest up. Harmless when the stream has ended."""
        self._end()

    def take_buffered(self) -> bytes:
        """Give the events that came together with the head of the answer, once."""
        buffered, self._buffered = self._buffered, b""
        piece = self.events.feed(buffered) if buffered else b""
        self.meter.record_tokens(self.events.tokens, time.monotonic())
        return piece

    def _read_or_none(self) -> bytes | None:
        """Give the next events, or None after the end; raise RequestError."""
        try:
            piece = self._read_events()
        except TimeoutError as error:
            self._end()
            raise RequestError(Kind.TIMED_OUT, "the stream was silent for too long") from error
        except OSError as error:
            self._end()
            raise EndpointLostError(
                Kind.TRUNCATED, "the connection failed in the stream"
            ) from error
        except RequestError:
            self._end()
            raise
        if self.events.complete:
            self._end()
        return piece or None

    def _read_events(self) -> bytes:
        """Give the next events, or nothing after the end."""
        piece = self.take_buffered()
        while not piece and not self.events.complete:
            data = self.endpoint.recv(READ_BYTES)
            if not data:
                raise EndpointLostError(Kind.TRUNCATED, "the connection ended within the stream")
            piece = self.events.feed(data)
            self.meter.record_tokens(self.events.tokens, time.monotonic())
        return piece

    def _end(self) -> None:
        finish, self._finish = self._finish, None
        if finish is not None:
            finish(self.events.complete, self.meter.get_stats(time.monotonic()))


class WorkerCopier:
    """Copies in the thread that runs the request: the plain way, kept to measure against."""

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Return when the whole was copied; raise RequestError when it was not."""
        caller.settimeout(CALLER_STALL_TIMEOUT_S)
        for piece in stream:
            try:
                caller.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
            except OSError as error:
                raise RequestError(Kind.CALLER_LEFT, "the caller left its stream") from error

    def close(self) -> None:
        """Do nothing: there is no task."""


class RelayCopier:
    """Hands both sockets to the relay task and sleeps until the stream has ended."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Return when the whole was copied; raise RequestError when it was not."""
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
            raise RequestError(Kind.INTERNAL, "the relay does not answer") from error

    def close(self) -> None:
        """End the relay task; streams in progress are cut."""
        self._relay.stop()
