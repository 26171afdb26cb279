"""The relay task: one loop that copies every stream from its endpoint to its caller.

A worker hands both sockets over and sleeps until it is told how the stream ended. Meanwhile the
loop alone reads and writes them; a thread that woke for each token would cost several times more.
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
from cloverway.upstream.meters import Meter

log = logging.getLogger(__name__)

READ_BYTES = 16 * 1024
SWEEP_S = 0.1
"""How often silent streams are looked for; limits are kept to about this much."""
CALLER_STALL_S = 30.0
"""How long a caller may take no byte of its stream, in seconds."""

Handler = Callable[[int, float], None]

_receive = socket.socket.recv
"""Receiving without the time bounds of a TimedSocket: the loop keeps them itself."""


class Bounds(NamedTuple):
    """How long a stream may last and be silent."""

    deadline: float
    """Monotonic time."""
    gap_s: float


class Link:
    """One stream that was handed over: its sockets, its parser and what the caller owes to take.

    The endpoint is read only while nothing waits for the caller, so a caller that is slow slows
    the endpoint down, and what is held here is bounded by one read and one event.
    """

    def __init__(
        self,
        endpoint: socket.socket,
        caller: socket.socket,
        events: EventStream,
        meter: Meter,
        bounds: Bounds,
    ) -> None:
        self.endpoint = endpoint
        self.caller = caller
        self.ended: Future[None] = Future()
        self._events = events
        self._meter = meter
        self._bounds = bounds
        self._unsent = b""
        self._heard_at = 0.0
        self._taken_at = 0.0

    @property
    def waits_for_caller(self) -> bool:
        """Whether bytes wait for the caller."""
        return bool(self._unsent)

    @property
    def whole(self) -> bool:
        """Whether the caller was given the whole stream."""
        return self._events.whole and not self._unsent

    def begin(self, piece: bytes, now: float) -> None:
        """Start with a piece that was read before the sockets were handed over."""
        self._heard_at = self._taken_at = now
        if piece:
            self._forward(piece, now)

    def read(self, now: float) -> None:
        """Read what the endpoint sent and give it to the caller; raise RequestError."""
        try:
            data = _receive(self.endpoint, READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            raise EndpointLostError(
                Kind.TRUNCATED, "the connection failed in the stream"
            ) from error
        if not data:
            raise EndpointLostError(Kind.TRUNCATED, "the connection ended within the stream")
        self._heard_at = now
        events = self._events
        piece = events.feed(data)
        self._meter.note(events.tokens, now)
        if piece:
            self._forward(piece, now)

    def write(self, now: float) -> None:
        """Give the caller what it takes of the bytes that wait; raise RequestError."""
        try:
            count = self.caller.send(self._unsent)
        except BlockingIOError:
            return
        except OSError as error:
            raise RequestError(Kind.CALLER_LEFT, "the caller left within its stream") from error
        self._taken_at = now
        self._unsent = self._unsent[count:]
        if not self._unsent:
            self._heard_at = now

    def check(self, now: float) -> None:
        """Raise RequestError when a limit is passed.

        While the caller is waited for, the endpoint is not read and its silence is not counted.
        """
        if now >= self._bounds.deadline:
            raise RequestError(Kind.TIMED_OUT, "the stream did not end before its deadline")
        if self._unsent:
            if now - self._taken_at >= CALLER_STALL_S:
                raise RequestError(Kind.CALLER_LEFT, "the caller takes no more of its stream")
        elif now - self._heard_at >= self._bounds.gap_s:
            raise RequestError(Kind.TIMED_OUT, "the stream was silent for too long")

    def _forward(self, piece: bytes, now: float) -> None:
        self._unsent = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._taken_at = now
        self.write(now)


class Relay:
    """A task that owns the sockets of all streams that were handed over to it."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._poll = select.epoll()
        self._handlers: dict[int, Handler] = {}
        self._links: set[Link] = set()
        self._inbox: deque[tuple[Link, bytes]] = deque()
        self._waker, self._woken = socket.socketpair()
        self._waker.setblocking(False)
        self._woken.setblocking(False)
        self._stopping = False
        self._swept_at = float("-inf")
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    @classmethod
    def start(cls) -> Relay:
        """Make a relay and start its thread."""
        relay = cls()
        relay._register(relay._woken, select.EPOLLIN, relay._note_wake)
        relay._thread.start()
        return relay

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the thread; streams that are still copied are cut."""
        self._stopping = True
        self._wake()
        self._thread.join(timeout_s)

    def take(self, link: Link, piece: bytes) -> None:
        """Take over the sockets of a stream, and a piece of it to begin with.

        They belong to the loop until `link.ended` is done.
        """
        if self._stopping:
            link.ended.set_exception(RequestError(Kind.TRUNCATED, "the host stopped"))
            return
        self._inbox.append((link, piece))
        self._wake()

    def _wake(self) -> None:
        with suppress(BlockingIOError):  # It is full of wake-ups already.
            self._waker.send(b"\0")

    def _note_wake(self, mask: int, now: float) -> None:
        with suppress(BlockingIOError):
            self._woken.recv(4096)

    def step(self) -> None:
        """Wait for sockets that are ready, serve them, and look for streams over their limits.

        Limits are checked by the time before the wait: a process that slept within it finds what
        arrived meanwhile before it calls a stream silent. Each stream is served by a time of its
        own: with one for a batch that took long, all of it would look silent for as long.
        """
        before = self._clock()
        for descriptor, mask in self._poll.poll(SWEEP_S):
            handler = self._handlers.get(descriptor)
            if handler is not None:
                handler(mask, self._clock())
        # Only after the batch, for a new stream may have a descriptor that is named in it.
        self._take_new()
        if before - self._swept_at >= SWEEP_S:
            self._swept_at = before
            self._sweep(before)

    def _run(self) -> None:
        while not self._stopping:
            self.step()
        self._take_new()
        for link in list(self._links):
            self._end(link, RequestError(Kind.TRUNCATED, "the host stopped"))
        self._poll.close()

    def _take_new(self) -> None:
        while self._inbox:
            link, piece = self._inbox.popleft()
            self._links.add(link)
            self._guard(link, partial(self._begin, link, piece, self._clock()))

    def _begin(self, link: Link, piece: bytes, now: float) -> None:
        link.endpoint.setblocking(False)
        link.caller.setblocking(False)
        self._register(link.caller, select.EPOLLRDHUP, self._make_caller_handler(link))
        self._register(link.endpoint, select.EPOLLIN, self._make_endpoint_handler(link))
        link.begin(piece, now)
        self._follow(link, False)

    def _make_endpoint_handler(self, link: Link) -> Handler:
        def handle(mask: int, now: float) -> None:
            try:
                link.read(now)
                if link.waits_for_caller or link.whole:
                    self._follow(link, False)
            except Exception as error:
                self._end(link, error)

        return handle

    def _make_caller_handler(self, link: Link) -> Handler:
        def handle(mask: int, now: float) -> None:
            try:
                if mask & ~select.EPOLLOUT:
                    raise RequestError(Kind.CALLER_LEFT, "the caller left within its stream")
                link.write(now)
                self._follow(link, True)
            except Exception as error:
                self._end(link, error)

        return handle

    def _follow(self, link: Link, waited: bool) -> None:
        """Watch the side that the stream waits for now."""
        if link.whole:
            self._end(link, None)
        elif link.waits_for_caller and not waited:
            # Not a mask of zero: a reset is reported whatever the mask, over and over.
            self._unregister(link.endpoint)
            self._poll.modify(link.caller, select.EPOLLOUT | select.EPOLLRDHUP)
        elif waited and not link.waits_for_caller:
            self._poll.modify(link.caller, select.EPOLLRDHUP)
            self._register(link.endpoint, select.EPOLLIN, self._make_endpoint_handler(link))

    def _sweep(self, now: float) -> None:
        for link in list(self._links):
            self._guard(link, partial(link.check, now))

    def _guard(self, link: Link, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception as error:
            self._end(link, error)

    def _end(self, link: Link, error: Exception | None) -> None:
        """Give the sockets back to the worker and tell it how the stream ended."""
        if link not in self._links:
            return
        self._links.discard(link)
        self._unregister(link.endpoint)
        self._unregister(link.caller)
        if error is None:
            link.ended.set_result(None)
            return
        if not isinstance(error, RequestError):
            log.error("a stream could not be copied", exc_info=error)
        link.ended.set_exception(error)

    def _register(self, sock: socket.socket, mask: int, handler: Handler) -> None:
        self._handlers[sock.fileno()] = handler
        self._poll.register(sock, mask)

    def _unregister(self, sock: socket.socket) -> None:
        if self._handlers.pop(sock.fileno(), None) is not None:
            self._poll.unregister(sock)
