"""The body of an answer that another host sends."""

from __future__ import annotations

import select
import socket
import ssl
import time
from collections.abc import Callable, Iterator

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Refused
from cloverway.peers import wire
from cloverway.peers.channel import Channel, Frame, FrameKind
from cloverway.peers.peering import PeerLimits

DISCONNECT_EVENTS = select.POLLIN | select.POLLHUP | select.POLLERR


class PeerStream:
    """Reads data frames up to the one that says that the answer is whole."""

    def __init__(
        self, channel: Channel, limits: PeerLimits, release: Callable[[Channel], None]
    ) -> None:
        self._channel = channel
        self._limits = limits
        self._release = release
        self._received = 0
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Give the pieces of the body; raise RequestError when it is cut."""
        while not self._ended:
            piece = self._receive_piece()
            if piece:
                yield piece

    def read_all(self, deadline: float) -> bytes:
        """Give the whole body; raise RequestError when it is cut, late or too large."""
        pieces = []
        while not self._ended:
            pieces.append(self._receive_piece(deadline))
            if self._received > self._limits.max_response_bytes:
                self.close()
                raise RequestError(Kind.TRUNCATED, "the answer is too large", ran=Ran.UNKNOWN)
        return b"".join(pieces)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller in chunked framing, without the last chunk."""
        watched = not isinstance(caller, ssl.SSLSocket)
        while not self._ended:
            if watched and not self._channel.has_input:
                watched = self._wait_for_input(caller)
            piece = self._receive_piece()
            if piece:
                self._send_chunk(caller, piece)

    def close(self) -> None:
        """Give the answer up: the other host finds the connection closed and cancels."""
        if not self._ended:
            self._ended = True
            self._channel.close()

    def _receive_piece(self, deadline: float | None = None) -> bytes:
        """Give the next piece, which is empty at the end and when the host only lives."""
        try:
            limit = time.monotonic() + self._limits.silence_timeout_s
            frame = self._channel.receive(limit if deadline is None else min(limit, deadline))
            return self._process_frame(frame)
        except PeerError as error:
            self.close()
            late = deadline is not None and time.monotonic() >= deadline
            kind = Kind.TIMED_OUT if late else Kind.TRUNCATED
            raise RequestError(kind, str(error), ran=Ran.UNKNOWN) from error

    def _process_frame(self, frame: Frame) -> bytes:
        if frame.kind is FrameKind.PING:
            return b""
        if frame.kind is FrameKind.DATA:
            self._received += len(frame.payload)
            return frame.payload
        message = wire.decode(frame.payload)
        if isinstance(message, wire.End) and message.body_bytes == self._received:
            self._ended = True
            self._release(self._channel)
            return b""
        if isinstance(message, Refused):
            self.close()
            # Its head has come, so it was run at least in part.
            ran = Ran.UNKNOWN if message.ran is Ran.NO else message.ran
            raise RequestError(message.kind, message.detail, ran=ran)
        raise PeerError("the peer does not keep to the protocol")

    def _wait_for_input(self, caller: socket.socket) -> bool:
        """Wait for the host or the caller; give whether the caller need be watched further."""
        poll = select.poll()
        poll.register(self._channel.socket, select.POLLIN)
        poll.register(caller, DISCONNECT_EVENTS)
        ready = {number for number, _ in poll.poll(self._limits.silence_timeout_s * 1000)}
        if caller.fileno() not in ready:
            return True
        try:
            left = not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            left = True
        if left:
            self.close()
            raise RequestError(Kind.CALLER_LEFT)
        # It has sent its next request early; from now on only a failed send tells.
        return False

    def _send_chunk(self, caller: socket.socket, piece: bytes) -> None:
        try:
            caller.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
        except OSError as error:
            self.close()
            raise RequestError(Kind.CALLER_LEFT) from error
