"""Request bodies of callers: reading with limits for size and time, and parsing as JSON."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from cloverway.errors import Kind, RequestError

READ_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_LINES = 32
JSON_TYPE = "application/json"


class Reader(Protocol):
    """Buffered reader of a connection."""

    def read1(self, size: int, /) -> bytes:
        """Return available bytes after at most one read of the socket; empty at the end."""
        ...

    def readline(self, size: int, /) -> bytes:
        """Return a line of at most `size` bytes."""
        ...


def read_body(reader: Reader, length: str | None, chunked: bool, limit: int) -> bytes:
    """Read a body of at most `limit` bytes; raise RequestError TOO_LARGE, TOO_SLOW or MALFORMED.

    The reader raises TimeoutError once the time for the complete body is over.
    """
    pieces = _read_chunked(reader, limit) if chunked else _read_sized(reader, length, limit)
    body = bytearray()
    try:
        # One buffer, because a list of single bytes would use 40 times the size of the body.
        for piece in pieces:
            body += piece
    except TimeoutError as error:
        raise RequestError(Kind.TOO_SLOW, "the request body did not arrive in time") from error
    except OSError as error:
        raise RequestError(
            Kind.MALFORMED, "the connection failed within the request body"
        ) from error
    return bytes(body)


def _read_sized(reader: Reader, length: str | None, limit: int) -> Iterator[bytes]:
    yield from _read_exactly(reader, _parse_length(length, limit))


def _parse_length(length: str | None, limit: int) -> int:
    if length is None or length == "":
        return 0
    if not length.isascii() or not length.isdigit():
        raise RequestError(Kind.MALFORMED, "Content-Length is not a decimal number")
    if len(length) > 19 or int(length) > limit:
        raise RequestError(Kind.TOO_LARGE, f"the body exceeds the limit of {limit} bytes")
    return int(length)


def _read_exactly(reader: Reader, count: int) -> Iterator[bytes]:
    while count:
        piece = reader.read1(min(count, READ_BYTES))
        if not piece:
            raise RequestError(
                Kind.MALFORMED, "the request body is shorter than its declared length"
            )
        count -= len(piece)
        yield piece


def _read_chunked(reader: Reader, limit: int) -> Iterator[bytes]:
    """Decode chunks, checking the size of each before reading its data."""
    remaining = limit
    while size := _read_chunk_size(reader):
        if size > remaining:
            raise RequestError(Kind.TOO_LARGE, f"the body exceeds the limit of {limit} bytes")
        remaining -= size
        yield from _read_exactly(reader, size)
        if reader.readline(MAX_CHUNK_LINE_BYTES) != b"\r\n":
            raise RequestError(Kind.MALFORMED, "chunk data exceeds the chunk size")
    for _ in range(MAX_TRAILER_LINES):
        if _read_line(reader) == b"\r\n":
            return
    raise RequestError(Kind.MALFORMED, "too many trailer fields")


def _read_chunk_size(reader: Reader) -> int:
    digits = _read_line(reader).partition(b";")[0].rstrip(b" \t\r\n")
    if not 0 < len(digits) <= 15 or digits.strip(b"0123456789abcdefABCDEF"):
        raise RequestError(Kind.MALFORMED, "invalid chunk size")
    return int(digits, 16)


def _read_line(reader: Reader) -> bytes:
    line = reader.readline(MAX_CHUNK_LINE_BYTES)
    if not line.endswith(b"\r\n"):
        raise RequestError(Kind.MALFORMED, "a chunk-size or trailer line is truncated or too long")
    return line


def parse_json(body: bytes, content_type: str) -> dict[str, Any]:
    """Parse a JSON object; raise RequestError MALFORMED for anything else."""
    if content_type.partition(";")[0].strip().lower() != JSON_TYPE:
        raise RequestError(Kind.MALFORMED, f"Content-Type must be {JSON_TYPE}")
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise RequestError(Kind.MALFORMED, "the body is not valid JSON") from error
    if not isinstance(document, dict):
        raise RequestError(Kind.MALFORMED, "the body is not a JSON object")
    return document


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


class CompletionRequest(NamedTuple):
    """A completion request in the form that is sent to an endpoint."""

    body: bytes
    stream: bool


def parse_completion(
    body: bytes, content_type: str, required_field: str, model: str
) -> CompletionRequest:
    """Check the body of a completion request and set its model to that of the profile.

    Raise RequestError MALFORMED. The body is encoded again from the parsed document: if it has a
    duplicate name, an endpoint could use another value than the one that was checked here.
    """
    document = parse_json(body, content_type)
    if not document.get(required_field):
        raise RequestError(Kind.MALFORMED, f"the body has no {required_field!r}")
    stream = document.get("stream", False)
    if not isinstance(stream, bool | None):
        raise RequestError(Kind.MALFORMED, "'stream' must be true or false")
    document["model"] = model
    return CompletionRequest(_encode_json(document), bool(stream))


def _encode_json(document: dict[str, Any]) -> bytes:
    try:
        return json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    except (ValueError, RecursionError) as error:
        # A number such as 1e999 is valid JSON, but parsed as infinity, which is not.
        raise RequestError(Kind.MALFORMED, "the body has a number that is out of range") from error
