"""Incremental parsers for response bodies, which detect truncation.

The end of a body is taken from its framing, never from the end of the connection: a connection
that closes is no proof that the answer was complete.
"""

from __future__ import annotations

import re
from typing import Protocol

from cloverway.errors import Kind, RequestError

MAX_LINE_BYTES = 4096
"""Maximum length of a chunk-size or trailer line, in bytes."""
MAX_TRAILER_BYTES = 16 * 1024
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum length of a server-sent event, in bytes; a longer one is malformed."""
MIN_COUNTED_BYTES = 64
"""What a chunk counts at least in a length: one of a byte takes as long to parse."""
DONE = b"[DONE]"

CRLF = b"\r\n"
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
BLANK_LINE = b"\n\n"
MAX_EVENT_END_BYTES = 3
_EVENT_END = re.compile(rb"\n\r?\n")


def make_malformed_error(detail: str) -> RequestError:
    """Return the error for an answer with invalid framing."""
    return RequestError(Kind.ENDPOINT_FAILED, f"the endpoint's answer is malformed: {detail}")


class BodyParser(Protocol):
    """Decodes the bytes of a connection into the bytes of one body."""

    ended: bool
    """Whether the end of the body was parsed."""
    excess: bytes
    """Bytes received after the end of the body; they belong to no answer."""
    chunks: int
    """Chunks that have begun."""

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the body bytes that they contain; raise RequestError."""
        ...


class LengthBody:
    """A body whose length is given by Content-Length."""

    def __init__(self, length: int) -> None:
        self._remaining_bytes = length
        self.ended = length == 0
        self.excess = b""
        self.chunks = 0

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the body bytes that they contain."""
        body = data[: self._remaining_bytes]
        self._remaining_bytes -= len(body)
        self.ended = self._remaining_bytes == 0
        self.excess += data[len(body) :]
        return body


class ChunkedBody:
    """A body in chunked transfer coding."""

    def __init__(self) -> None:
        self.ended = False
        self.excess = b""
        self.chunks = 0
        self._buffer = b""
        self._at = 0
        """Up to where the buffer is parsed."""
        self._remaining_bytes = 0
        """Remaining bytes of the current chunk, including its final CRLF; 0 between chunks."""
        self._trailer_bytes = -1
        """Bytes of the trailer parsed, or -1 before the last chunk."""

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the body bytes that they contain; raise RequestError."""
        if not self._buffer and not self._remaining_bytes:
            payload = self._take_single_chunk(data)
            if payload is not None:
                self.chunks += 1
                return payload
        self._buffer += data
        pieces = []
        while not self.ended:
            piece = self._step()
            if piece is None:
                break
            pieces.append(piece)
        self._buffer, self._at = self._buffer[self._at :], 0
        if self.ended:
            self.excess += self._buffer
            self._buffer = b""
        return b"".join(pieces)

    def _take_single_chunk(self, data: bytes) -> bytes | None:
        """Return the payload if the bytes are exactly one chunk (fast path), or None."""
        if self.ended or self._trailer_bytes >= 0:
            return None
        line = _SIZE_LINE.match(data)
        if line is None:
            return None
        start = line.end()
        size = int(line[1], 16)
        if size == 0 or len(data) != start + size + 2 or not data.endswith(CRLF):
            return None
        return data[start:-2]

    def _step(self) -> bytes | None:
        """Parse one element and return its body bytes, or None if more bytes are needed."""
        if self._trailer_bytes >= 0:
            return self._read_trailer()
        if self._remaining_bytes:
            return self._read_data()
        return self._read_size()

    def _read_size(self) -> bytes | None:
        end = self._find_line_end()
        if end is None:
            return None
        line = _SIZE_LINE.fullmatch(self._buffer, self._at, end + 2)
        if line is None:
            raise make_malformed_error("invalid chunk size")
        self._at = end + 2
        self.chunks += 1
        size = int(line[1], 16)
        if size:
            self._remaining_bytes = size + 2
        else:
            self._trailer_bytes = 0
        return b""

    def _read_data(self) -> bytes | None:
        available = len(self._buffer) - self._at
        if not available:
            return None
        if self._remaining_bytes > 2:
            piece = self._buffer[self._at : self._at + self._remaining_bytes - 2]
            self._remaining_bytes -= len(piece)
            self._at += len(piece)
            return piece
        if available < 2:
            return None
        if not self._buffer.startswith(CRLF, self._at):
            raise make_malformed_error("chunk data exceeds the chunk size")
        self._remaining_bytes = 0
        self._at += 2
        return b""

    def _read_trailer(self) -> bytes | None:
        start, end = self._at, self._find_line_end()
        if end is None:
            return None
        self._trailer_bytes += end + 2 - start
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            raise make_malformed_error("trailer too long")
        self._at = end + 2
        self.ended = end == start
        return b""

    def _find_line_end(self) -> int | None:
        """Return where the line that begins next ends, or None if its end is not here yet."""
        end = self._buffer.find(CRLF, self._at)
        self._check_line((len(self._buffer) if end < 0 else end) - self._at)
        return end if end >= 0 else None

    def _check_line(self, length: int) -> None:
        if length > MAX_LINE_BYTES:
            raise make_malformed_error("chunk-size or trailer line too long")


class EventStream:
    """Server-sent events in a framed body, forwarded event by event.

    The `[DONE]` event is not forwarded before the end of the body was parsed. Otherwise a stream
    that is truncated between the two would look complete to a caller that checks only `[DONE]`.
    """

    def __init__(self, body: BodyParser) -> None:
        self.body = body
        self.tokens = 0
        """Number of data events parsed, without `[DONE]`."""
        self._pending = b""
        self._chunks_before = 0
        """Chunks of the body up to the last complete event."""
        self._done_event = b""
        self._end_forwarded = False

    @property
    def complete(self) -> bool:
        """Return whether both `[DONE]` and the end of the body were parsed."""
        return bool(self._done_event) and self.body.ended

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the complete events to forward; raise RequestError."""
        payload = self.body.feed(data)
        if self._is_single_event(payload):
            self.tokens += 1
            self._chunks_before = self.body.chunks
            return payload
        was_forwarded = self._end_forwarded
        events = self._split(payload) if payload else b""
        if self.body.ended and not was_forwarded:
            self._end_forwarded = True
            self._check_end()
            return events + self._done_event
        return events

    def _is_single_event(self, payload: bytes) -> bool:
        """Return whether the payload is exactly one data event before the end (fast path)."""
        return (
            payload.startswith(b"data:")
            and payload.find(BLANK_LINE) == len(payload) - len(BLANK_LINE)
            and not self._pending
            and not self._done_event
            and not self.body.ended
            and DONE not in payload
            and b"\r" not in payload
        )

    def _split(self, payload: bytes) -> bytes:
        """Return the complete events and buffer the rest."""
        if self._done_event:
            self._require_blank(payload)
            return b""
        searched = max(0, len(self._pending) - MAX_EVENT_END_BYTES + 1)
        payload = self._pending + payload
        end = 0
        for end_match in _EVENT_END.finditer(payload, searched):
            event = payload[end : end_match.end()]
            if DONE in event and _read_data(event) == DONE:
                self._done_event = event
                self._pending = b""
                self._require_blank(payload[end_match.end() :])
                return payload[:end]
            if event.startswith(b"data") or b"\ndata" in event:
                self.tokens += 1
            end = end_match.end()
        self._pending = payload[end:]
        if end:
            self._chunks_before = self.body.chunks
        counted = MIN_COUNTED_BYTES * (self.body.chunks - self._chunks_before)
        if max(len(self._pending), counted) > MAX_EVENT_BYTES:
            raise make_malformed_error("server-sent event too long")
        return payload[:end]

    def _require_blank(self, payload: bytes) -> None:
        """Raise RequestError if anything but blank lines follows `[DONE]`."""
        if payload.strip():
            raise make_malformed_error("an event follows [DONE]")

    def _check_end(self) -> None:
        if not self._done_event:
            raise RequestError(Kind.TRUNCATED, "the stream ended before its [DONE] event")


def _read_data(event: bytes) -> bytes:
    """Return the data of an event: its data lines, joined."""
    lines = [line[5:] for line in event.splitlines() if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines)
