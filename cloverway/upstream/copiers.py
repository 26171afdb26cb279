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
from cloverway.upstream.meters import Meter, StreamStats
from cloverway.upstream.relay import CALLER_STALL_S, READ_BYTES, Bounds, Link, Relay

GRACE_S = 5.0
"""How long after its deadline the relay task is waited for."""

Finish = Callable[[bool, StreamStats], None]
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
        received: bytes,
        finish: Finish,
        copier: Copier,
    ) -> None:
        self.endpoint = endpoint
        self.events = events
        self.meter = Meter()
        self._received = received
        self._finish: Finish | None = finish
        self._copier = copier

    def __iter__(self) -> Iterator[bytes]:
        """Give the whole events as they come; raise RequestError when the stream is cut.

        The iterator has no `close`: a generator that reads it by `yield from` and is dropped
        would otherwise end the stream before it was handed over.
        """
        return iter(self._read_piece, None)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller in chunked framing, without the last chunk.

        A caller that vanished without a sign leaves the kernel to send in vain for a quarter of
        an hour; the option ends that, so that the engine does not work for nobody.
        """
        timeout = caller.gettimeout()
        with suppress(OSError):  # It has failed already, which the copying will find.
            milliseconds = int(CALLER_STALL_S * 1000)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        try:
            self._copier.copy(self, caller)
        finally:
            caller.settimeout(timeout)
            self._end()

    def close(self) -> None:
        """Give the rest up. Harmless when the stream has ended."""
        self._end()

    def take_received(self) -> bytes:
        """Give the events that came together with the head of the answer, once."""
        received, self._received = self._received, b""
        piece = self.events.feed(received) if received else b""
        self.meter.note(self.events.tokens, time.monotonic())
        return piece

    def _read_piece(self) -> bytes | None:
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
        if self.events.whole:
            self._end()
        return piece or None

    def _read_events(self) -> bytes:
        """Give the next events, or nothing after the end."""
        piece = self.take_received()
        while not piece and not self.events.whole:
            data = self.endpoint.recv(READ_BYTES)
            if not data:
                raise EndpointLostError(Kind.TRUNCATED, "the connection ended within the stream")
            piece = self.events.feed(data)
            self.meter.note(self.events.tokens, time.monotonic())
        return piece

    def _end(self) -> None:
        finish, self._finish = self._finish, None
        if finish is not None:
            finish(self.events.whole, self.meter.summarise(time.monotonic()))


class WorkerCopier:
    """Copies in the thread that runs the request: the plain way, kept to measure against."""

    def copy(self, stream: EndpointStream, caller: socket.socket) -> None:
        """Return when the whole was copied; raise RequestError when it was not."""
        caller.settimeout(CALLER_STALL_S)
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
        piece = stream.take_received()
        if stream.events.whole and not piece:
            return
        endpoint = stream.endpoint
        bounds = Bounds(endpoint.until, endpoint.silence_s)
        link = Link(endpoint, caller, stream.events, stream.meter, bounds)
        self._relay.take(link, piece)
        left = max(0.0, endpoint.until - time.monotonic())
        try:
            link.ended.result(left + GRACE_S)
        except (TimeoutError, CancelledError) as error:
            raise RequestError(Kind.INTERNAL, "the relay does not answer") from error

    def close(self) -> None:
        """End the relay task; streams in progress are cut."""
        self._relay.stop()
