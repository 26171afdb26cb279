"""Splits a stream of server-sent events, so that only complete events are forwarded."""

from __future__ import annotations

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_EVENT_BYTES = 256 * 1024
MAX_EVENT_PIECES = 1024
"""Pieces in which one event may arrive: each is copied together with those before it."""
MAX_EVENT_END_BYTES = 4


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    An endpoint that fails may stop in the middle of an event. A caller could not tell its first
    half from a complete event, and another endpoint could not continue the stream.
    """

    def __init__(self, last_id: str = "") -> None:
        self._incomplete = b""
        self._pieces = 0
        """Pieces that have arrived since the last complete event."""
        self.last_id = last_id
        """The id of the last complete event."""

    def split(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete; raise ValueError if one is too long."""
        searched = max(0, len(self._incomplete) - MAX_EVENT_END_BYTES + 1)
        data = self._incomplete + data
        events = []
        start = 0
        for match in EVENT_END.finditer(data, searched):
            events.append(data[start : match.end()])
            start = match.end()
        self._incomplete = data[start:]
        self._pieces = 0 if events else self._pieces + 1
        if len(self._incomplete) > MAX_EVENT_BYTES or self._pieces > MAX_EVENT_PIECES:
            raise ValueError("an event is over the size limit")
        for event in events:
            found = EVENT_ID.findall(event)
            if found:
                self.last_id = found[-1].decode("latin-1")
        return events

    @property
    def incomplete_bytes(self) -> int:
        """Bytes after the last complete event."""
        return len(self._incomplete)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not complete; blank lines begin none."""
        return bool(self._incomplete.strip(b"\r\n"))

    def take_incomplete(self) -> bytes:
        """Return the bytes after the last complete event and clear them."""
        rest, self._incomplete = self._incomplete, b""
        return rest

    def drop_incomplete(self) -> None:
        """Discard the bytes of an event that will never be complete."""
        self._incomplete = b""
