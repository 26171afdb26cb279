"""Copy a stream from an endpoint to a caller, and know whether it is whole."""

from __future__ import annotations

import bisect
import logging
import socket
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cloverway.connections import TimedSocket
from cloverway.errors import Kind, RequestError
from cloverway.framing import EventStream

log = logging.getLogger(__name__)

READ_BYTES = 16 * 1024
CALLER_STALL_S = 30.0
"""How long a caller may take no byte of its stream, in seconds."""

GAP_BOUNDS_S = (0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the buckets in which gaps between tokens are counted, in seconds."""


class StreamStats(NamedTuple):
    """What is known of a stream when it has ended. Times are monotonic seconds."""

    tokens: int
    first_at: float | None
    ended_at: float
    gaps: tuple[int, ...]
    """Gaps by the buckets of GAP_BOUNDS_S, and those above them all."""
    gap_sum_s: float


class Meter:
    """Counts the tokens of one stream and the gaps between them."""

    def __init__(self) -> None:
        self.tokens = 0
        self._first_at: float | None = None
        self._last_at = 0.0
        self._gaps = [0] * (len(GAP_BOUNDS_S) + 1)

    def note(self, tokens: int, now: float) -> None:
        """Note how many tokens there are by now; those that came together have one gap."""
        if tokens == self.tokens:
            return
        self.tokens = tokens
        if self._first_at is None:
            self._first_at = now
        else:
            self._gaps[bisect.bisect_left(GAP_BOUNDS_S, now - self._last_at)] += 1
        self._last_at = now

    def summarise(self, now: float) -> StreamStats:
        """Give the counts of the stream, which ended now."""
        first_at = self._first_at
        spread = self._last_at - first_at if first_at is not None else 0.0
        return StreamStats(self.tokens, first_at, now, tuple(self._gaps), spread)


Finish = Callable[[bool, StreamStats], None]
"""Told once whether the stream was read whole, and its figures."""


class RelayedStream:
    """A stream read by the worker that runs the request."""

    def __init__(
        self, endpoint: TimedSocket, events: EventStream, received: bytes, finish: Finish
    ) -> None:
        self._endpoint = endpoint
        self._events = events
        self._received = received
        self._finish: Finish | None = finish
        self._meter = Meter()
        self._pieces = self._read()

    def __iter__(self) -> Iterator[bytes]:
        """Give the whole events as they come; raise RequestError when the stream is cut."""
        return self._pieces

    def hand_over(self, caller: socket.socket) -> None:
        """Copy the rest to the caller in chunked framing, without the last chunk."""
        timeout = caller.gettimeout()
        caller.settimeout(CALLER_STALL_S)
        try:
            for piece in self._pieces:
                send_chunk(caller, piece)
        finally:
            caller.settimeout(timeout)
            self.close()

    def close(self) -> None:
        """Give the rest up. Harmless when the stream has ended."""
        self._end(False)

    def _read(self) -> Iterator[bytes]:
        try:
            yield from self._read_events()
        except TimeoutError as error:
            raise RequestError(Kind.TIMED_OUT, "the stream was silent for too long") from error
        except OSError as error:
            raise RequestError(Kind.TRUNCATED, "the connection failed in the stream") from error
        finally:
            self._end(self._events.whole)

    def _read_events(self) -> Iterator[bytes]:
        data = self._received
        while True:
            piece = self._events.feed(data)
            self._meter.note(self._events.tokens, time.monotonic())
            if self._events.whole:
                self._end(True)
            if piece:
                yield piece
            if self._events.whole:
                return
            data = self._endpoint.recv(READ_BYTES)
            if not data:
                raise RequestError(Kind.TRUNCATED, "the connection ended within the stream")

    def _end(self, whole: bool) -> None:
        finish, self._finish = self._finish, None
        if finish is not None:
            finish(whole, self._meter.summarise(time.monotonic()))


def send_chunk(caller: socket.socket, piece: bytes) -> None:
    """Send one chunk; raise RequestError when the caller left or takes nothing."""
    try:
        caller.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
    except OSError as error:
        raise RequestError(Kind.CALLER_LEFT, "the caller takes no more of its stream") from error
