"""The events of a stream: split out of its bytes, so that only whole ones are passed on."""

from __future__ import annotations

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    An endpoint that fails may stop in the middle of an event. A caller that had got the first half
    could not tell it from a whole one, and the stream could not go on at another endpoint.
    """

    def __init__(self, last_id: str = "") -> None:
        self._incomplete = b""
        self.last_id = last_id
        """The id of the last whole event."""

    def split(self, data: bytes) -> list[bytes]:
        """Give the events that are whole with these bytes."""
        data = self._incomplete + data
        events = []
        start = 0
        for match in EVENT_END.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self._incomplete = data[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        for event in events:
            found = EVENT_ID.findall(event)
            if found:
                self.last_id = found[-1].decode("latin-1")
        return events

    def take_incomplete(self) -> bytes:
        """Give what came after the last whole event."""
        rest, self._incomplete = self._incomplete, b""
        return rest

    def drop_incomplete(self) -> None:
        """Forget the part of an event that will never be whole."""
        self._incomplete = b""
