"""Requests that wait for a place, served in the order of their rank."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from cloverway.serving.clock import read_clock

T = TypeVar("T")

POLL_INTERVAL_S = 0.02
"""How often waiting requests are tried: a fraction of the time in which a prompt is read."""
MAX_HEAD_POLLED = 4
"""Requests at the head of the line that are tried each time."""
MAX_TAIL_POLLED = 4
"""Requests behind them that are tried by turns: a small one may have a place where large ones have
none. An attempt costs 0.5 ms before 15 endpoints, so a long line would take a weak host's core."""


class QueueRank(NamedTuple):
    """The place of a request in the line: the most urgent first, then who came first."""

    priority: int
    arrived_at: float


class QueueTicket(NamedTuple):
    """What a request asks of the line."""

    rank: QueueRank
    work_s: float = 0.0
    """Seconds of an endpoint's work that it will take."""
    latest_start_at: float = float("inf")
    """From when on its answer can't begin within the objective any more."""

    def get_sort_key(self, now: float) -> tuple[int, bool, float]:
        """Give the place in the line.

        Of one priority, those that can still be answered in time go first. In the order of their
        arrival alone, after one burst every request would wait until it is late.
        """
        return self.rank.priority, now > self.latest_start_at, self.rank.arrived_at


Acquire = Callable[[float], T | None]
"""Tries to take a place, with the work in seconds that waits before."""


class _Waiter(NamedTuple, Generic[T]):
    ticket: QueueTicket
    acquire: Acquire[T]
    granted: asyncio.Future[T]


class RequestQueue(Generic[T]):
    """One line for each service.

    Without it whoever asks just when a place gets free would have it: requests that came late or
    matter less would pass those that wait, and the oldest would wait until they are refused.
    """

    def __init__(self) -> None:
        self._waiters: list[_Waiter[T]] = []
        self._ticker: asyncio.Task[None] | None = None
        self._turn = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def sum_work_ahead(self, ticket: QueueTicket, now: float) -> float:
        """Give the seconds of work of the requests that go before one."""
        sort_key = ticket.get_sort_key(now)
        return sum(w.ticket.work_s for w in self._waiters if w.ticket.get_sort_key(now) <= sort_key)

    def sum_work(self) -> float:
        """Give the seconds of an endpoint's work that all waiting requests ask for."""
        return sum(waiter.ticket.work_s for waiter in self._waiters)

    def try_acquire(self, ticket: QueueTicket, acquire: Acquire[T], now: float) -> T | None:
        """Give what the attempt gives, unless another request goes first."""
        sort_key = ticket.get_sort_key(now)
        if any(waiter.ticket.get_sort_key(now) <= sort_key for waiter in self._waiters):
            return None
        return acquire(0.0)

    async def wait(
        self, ticket: QueueTicket, acquire: Acquire[T], until: float, release: Callable[[T], None]
    ) -> T | None:
        """Give what the attempt gives when its turn has come, or None when the time is over."""
        left_s = until - read_clock()
        if left_s <= 0:
            return None
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ticket, acquire, future)
        self._waiters.append(waiter)
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick())
        try:
            await asyncio.wait((future,), timeout=left_s)
        except asyncio.CancelledError:
            if future.done():
                release(future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return future.result() if future.done() else None

    async def _tick(self) -> None:
        while self._waiters:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._try_waiters(read_clock())

    def _try_waiters(self, now: float) -> None:
        """Try the requests at the head of the line, and some of the others."""
        ordered = sorted(self._waiters, key=lambda waiter: waiter.ticket.get_sort_key(now))
        behind = max(1, len(ordered) - MAX_HEAD_POLLED)
        turns = {MAX_HEAD_POLLED + (self._turn + step) % behind for step in range(MAX_TAIL_POLLED)}
        self._turn += MAX_TAIL_POLLED
        ahead_s = 0.0
        for place, waiter in enumerate(ordered):
            is_tried = place < MAX_HEAD_POLLED or place in turns
            granted = waiter.acquire(ahead_s) if is_tried else None
            if granted is not None:
                self._waiters.remove(waiter)
                waiter.granted.set_result(granted)
            else:
                ahead_s += waiter.ticket.work_s
