"""What flows back to a caller: a whole body, or a stream that is known to be whole or cut."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import NamedTuple, Protocol

from cloverway.messages import Request


class Stream(Protocol):
    """The body of an answer that comes piece by piece.

    Iterating raises RequestError when the answer was cut before its end, so that a caller never
    takes a part for the whole.
    """

    def __iter__(self) -> Iterator[bytes]:
        """Give the pieces of the body."""
        ...

    def relay_to(self, caller: socket.socket) -> None:
        """Copy the rest to the caller's socket in chunked framing, without the last chunk.

        Returns when the whole body was copied. Raises RequestError when it was cut, and with
        Kind.CALLER_LEFT when the caller left.
        """
        ...

    def close(self) -> None:
        """Give the answer up; cancels the work where the endpoint can. Harmless when ended."""
        ...


class Reply(NamedTuple):
    """The answer to a request that was run."""

    status: int
    content_type: str
    body: bytes = b""
    stream: Stream | None = None
    headers: tuple[tuple[str, str], ...] = ()
    """Further headers, for example where it ran."""


class Gateway(Protocol):
    """Runs an authenticated request; raises RequestError for every failure."""

    def run(self, request: Request) -> Reply:
        """Run a request to the head of its answer, or to the whole of it."""
        ...
