"""The response body of a request that was forwarded to another host."""

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
    """Reads data frames up to the message that marks the response as complete."""

    def __init__(
        self, channel: Channel, limits: PeerLimits, release: Callable[[Channel], None]
    ) -> None:
        self._channel = channel
        self._limits = limits
        self._release = release
        self._received = 0
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the pieces of the body; raise RequestError when it is truncated."""
        while not self._ended:
            piece = self._receive_piece()
            if piece:
                yield piece

    def read_all(self, deadline: float) -> bytes:
        """Return the complete body; raise RequestError when it is truncated, late or too large."""
        pieces = []
        while not self._ended:
            pieces.append(self._receive_piece(deadline))
            if self._received > self._limits.max_response_bytes:
                self.close()
                raise RequestError(Kind.TRUNCATED, "the response is too large", ran=Ran.UNKNOWN)
        return b"".join(pieces)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest of the body to the caller in chunked encoding, without the last chunk."""
        watched = not isinstance(caller, ssl.SSLSocket)
        while not self._ended:
            if watched and not self._channel.has_input:
                watched = self._wait_for_input(caller)
            piece = self._receive_piece()
            if piece:
                self._send_chunk(caller, piece)

    def close(self) -> None:
        """Abandon the response: the other host sees the connection closed and cancels the run."""
        if not self._ended:
            self._ended = True
            self._channel.close()

    def _receive_piece(self, deadline: float | None = None) -> bytes:
        """Return the next piece, which is empty for a ping and at the end."""
        try:
            silence_deadline = time.monotonic() + self._limits.silence_timeout_s
            frame = self._channel.receive(
                silence_deadline if deadline is None else min(silence_deadline, deadline)
            )
            return self._process_frame(frame)
        except PeerError as error:
            self.close()
            deadline_passed = deadline is not None and time.monotonic() >= deadline
            kind = Kind.TIMED_OUT if deadline_passed else Kind.TRUNCATED
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
            # The head of the response has arrived, so the request ran at least in part.
            ran = Ran.UNKNOWN if message.ran is Ran.NO else message.ran
            raise RequestError(message.kind, message.detail, ran=ran)
        raise PeerError("received an unexpected message from the peer")

    def _wait_for_input(self, caller: socket.socket) -> bool:
        """Wait for input from the host or the caller.

        Return whether the caller has to be watched further. Raise RequestError when it has
        disconnected.
        """
        poll = select.poll()
        poll.register(self._channel.socket, select.POLLIN)
        poll.register(caller, DISCONNECT_EVENTS)
        ready = {number for number, _ in poll.poll(self._limits.silence_timeout_s * 1000)}
        if caller.fileno() not in ready:
            return True
        try:
            disconnected = not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            disconnected = True
        if disconnected:
            self.close()
            raise RequestError(Kind.CALLER_LEFT)
        # The caller has sent its next request early. From now on only a failed send shows that it
        # has disconnected.
        return False

    def _send_chunk(self, caller: socket.socket, piece: bytes) -> None:
        try:
            caller.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
        except OSError as error:
            self.close()
            raise RequestError(Kind.CALLER_LEFT) from error
