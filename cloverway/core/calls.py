"""Requests of callers, decoded once on arrival."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.patience import Lease
from cloverway.core.stream_origins import StreamOrigin

Header = tuple[bytes, bytes]


MAX_SHARED_PARTS = 32
"""Shared segments of one prompt that are considered, the first ones: callers choose how many."""


def compute_digest(names: Iterable[str], body: bytes) -> int:
    """Return a 63-bit digest of a body and of names, which must not have line breaks."""
    digest = hashlib.blake2b("\n".join(names).encode() + b"\n\n", digest_size=8)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1


class PromptSegment(NamedTuple):
    """One segment of a prompt; prompts that contain a segment with the same id share it."""

    id: int
    tokens: int


class Prompt(NamedTuple):
    """What is known of the work that a request causes at a model engine."""

    input_tokens: int
    max_output_tokens: int
    """Upper bound on the tokens to generate."""
    segments: tuple[PromptSegment, ...] = ()
    expected_output_tokens: int | None = None
    """The caller's estimate of the tokens that will be generated; None if it gave none."""

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """The segments that other requests may have too: all but the last one."""
        return self.segments[:-1]

    @property
    def shared_parts(self) -> tuple[int, ...]:
        """The ids of these segments, each once."""
        ids = dict.fromkeys(segment.id for segment in self.shared_segments[:MAX_SHARED_PARTS])
        return tuple(ids)


class Call(NamedTuple):
    """One request of a caller. Times are seconds on this host's clock."""

    id: str
    method: str
    target: str
    """Path and query as sent by the caller."""
    host: str
    headers: tuple[Header, ...]
    """Headers to forward, without hop-by-hop headers and those that only this system sets."""
    body: bytes
    arrived_at: float
    deadline: float
    """When the caller stops waiting."""
    prompt: Prompt | None = None
    last_event_id: str = ""
    """The last event that the caller has of a stream that it continues; empty for a new stream."""
    resumes: str = ""
    """The id of the caller's request that brought the first event of that stream."""
    forwarding: ForwardingContext | None = None
    """Set if another host forwarded the request; None if it came from its caller."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def compute_digest(self) -> int:
        """Return a digest that is the same for all repeats of the request.

        Each attempt of a caller has its own id, so the id does not identify repeats. Hashing takes
        about 20 us for 18 KB, so the digest is computed only where it is needed.
        """
        return compute_digest((self.method, self.host, self.target), self.body)


class ForwardingContext(NamedTuple):
    """What the entry host of a caller states to the host that it forwards the request to."""

    version: int
    """Version of the configuration that the entry host used."""
    service: str
    region: str
    """Region of the entry host."""
    origin: StreamOrigin | None = None
    """What began the stream that the request continues."""
    address: str = ""
    """The entry host's end of the connection that brought the request."""
    lease: Lease | None = None
    """How long to work for the entry host without hearing from it; None for any time."""
