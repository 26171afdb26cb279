"""Queue of the requests that wait for a target, served by rank."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from cloverway.serving.clock import read_clock

T = TypeVar("T")

POLL_INTERVAL_S = 0.02
"""Interval at which queued requests are tried: a fraction of the time that a prefill takes."""
MAX_HEAD_POLLED = 4
"""Requests at the head of the queue that are tried in each interval."""
MAX_TAIL_POLLED = 4
"""Requests behind the head that are tried in each interval, in rotation: there may be capacity for
a small request where there is none for large ones. Trying one costs 0.5 ms with 15 endpoints, so
trying all of a long queue would use up the core of a small host."""


class QueueRank(NamedTuple):
    """The rank of a request: by priority, then by arrival."""

    priority: int
    arrived_at: float


class QueueTicket(NamedTuple):
    """The entry of a request in the queue."""

    rank: QueueRank
    work_s: float = 0.0
    """Seconds of an endpoint's time that the request will take."""
    latest_start_at: float = float("inf")
    """Latest start at which its response can still begin within the objective."""

    def get_sort_key(self, now: float) -> tuple[int, bool, float]:
        """Return the key to order the queue by.

        Within a priority, requests that can still meet their objective go first. If they were
        served by arrival only, every request after one burst would wait until it is late.
        """
        return self.rank.priority, now > self.latest_start_at, self.rank.arrived_at


Acquire = Callable[[float], T | None]
"""Tries to reserve a target; its argument is the work queued before, in seconds."""


class _Waiter(NamedTuple, Generic[T]):
    ticket: QueueTicket
    acquire: Acquire[T]
    granted: asyncio.Future[T]


class RequestQueue(Generic[T]):
    """The queue of one service.

    Without a queue, freed capacity would go to whichever request arrives at that moment. Later or
    less urgent requests would overtake queued ones, and the oldest would time out.
    """

    def __init__(self) -> None:
        self._waiters: list[_Waiter[T]] = []
        self._poller: asyncio.Task[None] | None = None
        self._turn = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def sum_work_ahead(self, ticket: QueueTicket, now: float) -> float:
        """Return the seconds of work of the queued requests that go before a request."""
        sort_key = ticket.get_sort_key(now)
        return sum(w.ticket.work_s for w in self._waiters if w.ticket.get_sort_key(now) <= sort_key)

    def sum_work(self) -> float:
        """Return the seconds of an endpoint's time that all queued requests will take."""
        return sum(waiter.ticket.work_s for waiter in self._waiters)

    def try_acquire(self, ticket: QueueTicket, acquire: Acquire[T], now: float) -> T | None:
        """Return the result of `acquire`, or None if a queued request goes first."""
        sort_key = ticket.get_sort_key(now)
        if any(waiter.ticket.get_sort_key(now) <= sort_key for waiter in self._waiters):
            return None
        return acquire(0.0)

    async def wait(
        self, ticket: QueueTicket, acquire: Acquire[T], until: float, release: Callable[[T], None]
    ) -> T | None:
        """Queue the request until `acquire` succeeds; return its result, or None at `until`.

        `release` gets the result if the waiting task is cancelled.
        """
        left_s = until - read_clock()
        if left_s <= 0:
            return None
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ticket, acquire, future)
        self._waiters.append(waiter)
        if self._poller is None or self._poller.done():
            self._poller = asyncio.create_task(self._poll())
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

    async def _poll(self) -> None:
        while self._waiters:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._try_waiters(read_clock())

    def _try_waiters(self, now: float) -> None:
        """Try the requests at the head of the queue, and some of the others."""
        ordered = sorted(self._waiters, key=lambda waiter: waiter.ticket.get_sort_key(now))
        behind = max(1, len(ordered) - MAX_HEAD_POLLED)
        turns = {MAX_HEAD_POLLED + (self._turn + step) % behind for step in range(MAX_TAIL_POLLED)}
        self._turn += MAX_TAIL_POLLED
        ahead_s = 0.0
        for position, waiter in enumerate(ordered):
            is_tried = position < MAX_HEAD_POLLED or position in turns
            granted = waiter.acquire(ahead_s) if is_tried else None
            if granted is not None:
                self._waiters.remove(waiter)
                waiter.granted.set_result(granted)
            else:
                ahead_s += waiter.ticket.work_s
