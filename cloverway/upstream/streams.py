"""Wrappers around the stream of an answer, which report its outcome once."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator

from cloverway.errors import Kind, RequestError
from cloverway.replies import Stream


class ObservedStream:
    """Reports how a stream ended: complete, truncated, or abandoned by the caller."""

    def __init__(self, stream: Stream, on_end: Callable[[RequestError | None], None]) -> None:
        self._stream = stream
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the body; raise RequestError if it is truncated."""
        try:
            yield from self._stream
        except RequestError as error:
            self._end(error)
            raise
        self._end(None)

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller's socket; raise RequestError if it is truncated."""
        try:
            self._stream.relay_to(caller)
        except RequestError as error:
            self._end(error)
            raise
        self._end(None)

    def close(self) -> None:
        """Abandon the answer."""
        self._stream.close()
        self._end(RequestError(Kind.CALLER_LEFT))

    def _end(self, error: RequestError | None) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(error)


class RecordedStream:
    """Records a stream up to a size limit, and reads it to its end even if the caller disconnects.

    A repeat with the same idempotency key gets the recording. If a disconnect cancelled the run,
    a non-idempotent operation could stop halfway, and a repeat could not learn its outcome.
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
        self._recorded: list[bytes] | None = []
        self._size = 0
        self._pieces = self._read()

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the body; raise RequestError if it is truncated."""
        return self._pieces

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller's socket; read on to the end if the caller disconnects."""
        caller_left = False
        for piece in self._pieces:
            caller_left = caller_left or not _send_chunk(caller, piece)
        if caller_left:
            raise RequestError(Kind.CALLER_LEFT)

    def close(self) -> None:
        """Read the rest, so that the recording is complete."""
        try:
            for _ in self._pieces:
                pass
        except RequestError:
            return

    def _read(self) -> Iterator[bytes]:
        try:
            for piece in self._stream:
                self._record(piece)
                yield piece
        except RequestError as error:
            self._on_end(error, None)
            raise
        self._on_end(None, b"".join(self._recorded) if self._recorded is not None else None)

    def _record(self, piece: bytes) -> None:
        self._size += len(piece)
        if self._size > self._limit:
            self._recorded = None
        if self._recorded is not None:
            self._recorded.append(piece)


def _send_chunk(caller: socket.socket, piece: bytes) -> bool:
    """Send one chunk; return whether the caller is still connected."""
    try:
        caller.sendall(b"%X\r\n%s\r\n" % (len(piece), piece))
    except OSError:
        return False
    return True
