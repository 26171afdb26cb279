"""Callers that were told when to come back, and are served ahead of others when they do.

While more comes than can be served, a caller that keeps to the time it was told would meet the same
line again, behind those that came meanwhile and are still on time, and be refused a second time.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

KEPT_S = 5.0
"""How long after the time that it was told a caller may come: about one try of it."""
MOST_BOOKINGS = 4_096
"""Callers that are remembered: those refused in half a minute of a region's heaviest overload."""


class Booking(NamedTuple):
    """A refusal that has promised a caller a time. Times are of this host's clock."""

    digest: int
    """What the request and its return have in common."""
    arrived_at: float
    """When it came for the first time."""
    due_at: float
    """When it is told to come back."""


class Bookings:
    """The callers that were refused lately, by the request that they come back with."""

    def __init__(self) -> None:
        self._by_digest: OrderedDict[int, list[Booking]] = OrderedDict()

    def note(self, booking: Booking) -> None:
        """Note a refusal."""
        self._by_digest.setdefault(booking.digest, []).append(booking)
        self._by_digest.move_to_end(booking.digest)
        if len(self._by_digest) > MOST_BOOKINGS:
            self._by_digest.popitem(last=False)

    def take(self, digest: int, now: float) -> Booking | None:
        """Give the refusal that a request comes back from, once for each; None where it is new."""
        bookings = self._by_digest.pop(digest, ())
        kept = [booking for booking in bookings if now <= booking.due_at + KEPT_S]
        if not kept:
            return None
        first, *rest = sorted(kept, key=lambda booking: booking.arrived_at)
        if rest:
            self._by_digest[digest] = rest
        return first
