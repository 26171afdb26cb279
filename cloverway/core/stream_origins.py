"""Which service and software version began a stream: what may continue it.

Events of two versions don't fit together, and endpoints don't check where a stream began.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

MAX_REMEMBERED = 20_000
"""Keys remembered, two for each stream, about 6 MB. At the largest deployment planned for, a host
begins 30 streams a second and is told of three times as many, for half a minute each."""
MAX_REMEMBERED_S = 120.0
"""Upper bound of that time, whatever callers state as their deadlines."""


class StreamOrigin(NamedTuple):
    """What began a stream."""

    service: str
    version: str
    """The software version of the endpoint."""


AMBIGUOUS = StreamOrigin("", "")
"""Stands for the origin of a key that streams of several origins share."""


class StreamBinding:
    """The origin of the events of one stream that its caller has; mutable while it is relayed."""

    def __init__(self, origin: StreamOrigin | None = None) -> None:
        self.origin = origin
        self.has_events = origin is not None
        """Whether the caller has events; if their origin is unknown, nothing may continue them."""

    def begin(self, origin: StreamOrigin | None) -> None:
        """Record the origin of the first event; None if it isn't certain."""
        if not self.has_events:
            self.origin = origin
            self.has_events = True


class Remembered(NamedTuple):
    """A stream that was begun, and until when it is remembered."""

    key: int
    origin: StreamOrigin
    until: float


class StreamOrigins:
    """The origins of the streams that this host has relayed or was told of, in bounded memory."""

    def __init__(self) -> None:
        self._streams: OrderedDict[int, Remembered] = OrderedDict()

    def record(self, key: int, origin: StreamOrigin, until: float, now: float) -> None:
        """Remember the origin of a stream until a time.

        Callers that don't say which stream they take up are recognized by their request, which
        others may send too. If these streams began at several versions, the key says nothing.
        """
        known = self.find(key, now)
        if known is not None and known != origin:
            origin = AMBIGUOUS
        self._streams[key] = Remembered(key, origin, min(until, now + MAX_REMEMBERED_S))
        self._streams.move_to_end(key)
        self._forget_oldest(now)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or AMBIGUOUS; None if it isn't known."""
        stream = self._streams.get(key)
        return stream.origin if stream is not None and now < stream.until else None

    def iterate(self, service: str, now: float) -> Iterator[Remembered]:
        """Iterate over the streams of a service that are remembered now."""
        return (s for s in self._streams.values() if s.origin.service == service and now < s.until)

    def list_services(self) -> set[str]:
        """Return the services of all remembered streams."""
        return {stream.origin.service for stream in self._streams.values()}

    def _forget_oldest(self, now: float) -> None:
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if len(self._streams) <= MAX_REMEMBERED and now < oldest.until:
                return
            del self._streams[oldest.key]


def compute_stream_key(call_id: str) -> int:
    """Return the 63-bit key of a stream, from the id of the request that brought its first event.

    A caller may send any text as an id; hosts keep and exchange only its key.
    """
    digest = hashlib.blake2b(call_id.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1


def rank_holder(key: int, host: str) -> bytes:
    """Return the rank of a host among those told of a stream; all hosts compute the same order."""
    return hashlib.blake2b(f"{key} {host}".encode(), digest_size=8).digest()
