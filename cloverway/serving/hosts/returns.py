"""What hosts of a region tell each other of callers that were told when to come back."""

from __future__ import annotations

from collections.abc import Callable

from cloverway.core.bookings import Booking, Bookings
from cloverway.serving.hosts.news import TELL_AFTER_S, FreshNews
from cloverway.serving.hosts.peerwire import CODEC, BookingReport, CallerBooking

MOST_TOLD = 50
"""Callers in one message: some 26 bytes each, within one packet of 1,500 bytes."""


class BookingExchange:
    """Notes whom this host has refused, and tells and hears of it: callers may come to any host."""

    message = BookingReport
    is_regional = True

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._bookings = Bookings()
        self._fresh: list[Booking] = []
        self.tell_soon: Callable[[float], None] = lambda delay_s: None

    def note_refused(self, booking: Booking) -> None:
        """Note a caller that was told when to come back."""
        self._bookings.note(booking)
        self._fresh.append(booking)
        self.tell_soon(TELL_AFTER_S)

    def take(self, digest: int, now: float) -> Booking | None:
        """Give the refusal that a request comes back from; None where it is new."""
        return self._bookings.take(digest, now)

    def hear(self, report: BookingReport, is_far: bool, now: float) -> None:
        """Take over whom another host has refused."""
        for told in report.bookings:
            arrived_at, due_at = now - told.age_ms / 1000, now + told.due_ms / 1000
            self._bookings.note(Booking(told.digest, arrived_at, due_at))

    def take_fresh(self, now: float) -> FreshNews:
        """Give what wasn't told yet."""
        fresh, self._fresh = self._fresh, []
        parts = [fresh[first : first + MOST_TOLD] for first in range(0, len(fresh), MOST_TOLD)]
        return FreshNews([self._encode(part, now) for part in parts])

    def list_standing(self, now: float) -> list[bytes]:
        """Nothing is told again: a lost word costs one caller its place ahead."""
        return []

    def list_for_newcomer(self, now: float) -> list[bytes]:
        """Nothing: a newcomer has no line yet in which anyone could go ahead."""
        return []

    def _encode(self, bookings: list[Booking], now: float) -> bytes:
        told = tuple(_encode_booking(booking, now) for booking in bookings)
        return CODEC.encode(BookingReport(self._own_name, told))


def _encode_booking(booking: Booking, now: float) -> CallerBooking:
    age_ms = max(0, int((now - booking.arrived_at) * 1000))
    due_ms = max(0, int((booking.due_at - now) * 1000))
    return CallerBooking(booking.digest, age_ms, due_ms)
