"""Replies to callers: a complete body, or a stream that ends complete or with an error."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from cloverway.messages import Request


class Stream(Protocol):
    """The body of an answer that arrives piece by piece.

    Iterating raises RequestError if the answer was truncated, so that a caller never treats an
    incomplete answer as complete.
    """

    def __iter__(self) -> Iterator[bytes]:
        """Yield the pieces of the body."""
        ...

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest of the body to the caller's socket, chunked but without the last chunk.

        Return when the complete body has been copied. Raise RequestError if the body was
        truncated, or with Kind.CALLER_LEFT if the caller disconnected.
        """
        ...

    def close(self) -> None:
        """Abandon the answer and cancel the work if the endpoint supports it; idempotent."""
        ...


class Reply(NamedTuple):
    """The answer to a request that an endpoint ran."""

    status: int
    content_type: str
    body: bytes = b""
    stream: Stream | None = None
    headers: tuple[tuple[str, str], ...] = ()
    """Additional headers, such as the endpoint that ran it."""


class Gateway(Protocol):
    """Runs authenticated requests; raises RequestError if one fails."""

    def run(self, request: Request) -> Reply:
        """Run a request; return once the header of its answer, or all of it, has arrived."""
        ...
