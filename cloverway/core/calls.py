"""What a caller asks for, decoded once."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

Header = tuple[bytes, bytes]


def compute_digest(names: Iterable[str], body: bytes) -> int:
    """Give a number, 63 bits wide, for a request: some names without line breaks, and its body."""
    digest = hashlib.blake2b("\n".join(names).encode() + b"\n\n", digest_size=8)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1


class PromptSegment(NamedTuple):
    """One part of a prompt; parts with the same id are shared between prompts."""

    id: int
    tokens: int


class Prompt(NamedTuple):
    """What is known of the work for a model engine."""

    input_tokens: int
    max_output_tokens: int
    """The most tokens that may be generated."""
    segments: tuple[PromptSegment, ...] = ()
    expected_output_tokens: int | None = None
    """The caller's estimate of the tokens that will be generated."""


class Call(NamedTuple):
    """One request of a caller. Times are seconds on this host's clock."""

    id: str
    method: str
    target: str
    """Path and query as the caller sent them."""
    host: str
    headers: tuple[Header, ...]
    """What is passed on: neither of one connection only, nor the system's to set."""
    body: bytes
    arrived_at: float
    deadline: float
    """When the caller stops waiting."""
    prompt: Prompt | None = None
    last_event_id: str = ""
    passed_on: ForwardingContext | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def compute_digest(self) -> int:
        """Give a number that all repeats of the request have in common.

        Each try of a caller has an id of its own, so the id can't tell that a request comes again.
        Taking it over costs some 20 us for 18 KB, so it is asked for only where it is needed.
        """
        return compute_digest((self.method, self.host, self.target), self.body)


class ForwardingContext(NamedTuple):
    """What the host that a caller is connected to tells the one it passes the request on to."""

    version: int
    """The version of the configuration by which it chose."""
    service: str
    region: str
    """The region of the host that the caller is connected to."""
