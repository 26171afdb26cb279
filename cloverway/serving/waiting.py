"""Requests that wait for a place, served in the order of their rank."""

from __future__ import annotations

import asyncio
import bisect
import itertools
from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

from cloverway.serving.clock import read_clock

T = TypeVar("T")

TICK_S = 0.02
"""How often waiting requests are tried: a fraction of the time in which a prompt is read."""


class Rank(NamedTuple):
    """The place of a request in the line: the most urgent first, then who came first."""

    priority: int
    arrived_at: float


class Ask(NamedTuple):
    """What a request asks of the line."""

    rank: Rank
    work_s: float = 0.0
    """Seconds of an endpoint's work that it will take."""


Attempt = Callable[[float], T | None]
"""Tries to take a place, with the work in seconds that waits before."""


class _Waiter(NamedTuple, Generic[T]):
    rank: Rank
    number: int
    work_s: float
    attempt: Attempt[T]
    taken: asyncio.Future[T]


class WaitingLine(Generic[T]):
    """One line for each service.

    Without it whoever asks just when a place gets free would have it: requests that came late or
    matter less would pass those that wait, and the oldest would wait until they are refused.
    """

    def __init__(self) -> None:
        self._waiters: list[_Waiter[T]] = []
        self._numbers = itertools.count()
        self._ticker: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._waiters)

    def sum_work(self) -> float:
        """Give the seconds of an endpoint's work that all waiting requests ask for."""
        return sum(waiter.work_s for waiter in self._waiters)

    async def take(
        self, ask: Ask, attempt: Attempt[T], until: float, undo: Callable[[T], None]
    ) -> T | None:
        """Give what the attempt gives when its turn has come, or None when the time is over."""
        if not any(waiter.rank <= ask.rank for waiter in self._waiters):
            taken = attempt(0.0)
            if taken is not None:
                return taken
        left_s = until - read_clock()
        if left_s <= 0:
            return None
        return await self._wait(ask, attempt, left_s, undo)

    async def _wait(
        self, ask: Ask, attempt: Attempt[T], left_s: float, undo: Callable[[T], None]
    ) -> T | None:
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(ask.rank, next(self._numbers), ask.work_s, attempt, future)
        bisect.insort(self._waiters, waiter, key=lambda item: (item.rank, item.number))
        if self._ticker is None or self._ticker.done():
            self._ticker = asyncio.create_task(self._tick())
        try:
            await asyncio.wait((future,), timeout=left_s)
        except asyncio.CancelledError:
            if future.done():
                undo(future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return future.result() if future.done() else None

    async def _tick(self) -> None:
        while self._waiters:
            await asyncio.sleep(TICK_S)
            ahead_s = 0.0
            for waiter in list(self._waiters):
                taken = waiter.attempt(ahead_s)
                if taken is not None:
                    self._waiters.remove(waiter)
                    waiter.taken.set_result(taken)
                else:
                    ahead_s += waiter.work_s
