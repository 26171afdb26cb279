"""Wrappers around the stream of an answer that tell, once, how it ended."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

from cloverway.errors import Kind, RequestError
from cloverway.replies import Stream


class WatchedStream:
    """Tell how a stream ended: whole, cut, or given up by the caller."""

    def __init__(self, stream: Stream, on_end: Callable[[RequestError | None], None]) -> None:
        self._stream = stream
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Give the pieces of the body; raise RequestError when it is cut."""
        try:
            yield from self._stream
        except RequestError as error:
            self._end(error)
            raise
        self._end(None)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller's socket; raise RequestError when it is cut."""
        try:
            self._stream.relay_to(caller)
        except RequestError as error:
            self._end(error)
            raise
        self._end(None)

    def close(self) -> None:
        """Give the answer up."""
        self._stream.close()
        self._end(RequestError(Kind.CALLER_LEFT))

    def _end(self, error: RequestError | None) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(error)


class RecordedStream:
    """Keep a copy of a stream up to a bound, and read it to its end though the caller left.

    A repeat with the same idempotency key gets the copy. Were the run cancelled when the caller
    leaves, an allocation could stop half done and its repeat would learn nothing.
    """

    def __init__(
        self,
        stream: Stream,
        limit: int,
        on_end: Callable[[RequestError | None, bytes | None], None],
    ) -> None:
        self._stream = stream
        self._limit = limit
        self._on_end = on_end
        self._kept: list[bytes] | None = []
        self._size = 0
        self._pieces = self._read()

    def __iter__(self) -> Iterator[bytes]:
        """Give the pieces of the body; raise RequestError when it is cut."""
        return self._pieces

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller's socket; reads on to the end when the caller has left."""
        left = False
        for piece in self._pieces:
            left = left or not _send_chunk(caller, piece)
        if left:
            raise RequestError(Kind.CALLER_LEFT)

    def close(self) -> None:
        """Read the rest, so that the record is whole."""
        try:
            for _ in self._pieces:
                pass
        except RequestError:
            return

    def _read(self) -> Iterator[bytes]:
        try:
            for piece in self._stream:
                self._keep(piece)
                yield piece
        except RequestError as error:
            self._on_end(error, None)
            raise
        self._on_end(None, b"".join(self._kept) if self._kept is not None else None)

    def _keep(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size > self._limit:
            self._kept = None
        if self._kept is not None:
            self._kept.append(piece)


def _send_chunk(caller: socket.socket, piece: bytes) -> bool:
    """Send one chunk; tell whether the caller is still there."""
    try:
        caller.sendall(b"%X\r\n%s\r\n" % (len(piece), piece))
    except OSError:
        return False
    return True
