"""Timeouts that leave out the time for which the process was suspended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

STEPS = 4
"""Steps in which a timeout is counted. A suspension counts as one step at most."""


class RunningTimer:
    """Calls back after a time for which this process ran.

    While the process is stopped or its machine suspended, the other end may answer, but nothing is
    read. A plain timer is due at the wake-up, and would end a wait just before the answer is read.
    Here each step has a timer of its own, and what arrived until the last one was due is used.
    """

    def __init__(self, callback: Callable[[], object], steps: int = STEPS) -> None:
        self._callback = callback
        self._steps = steps
        self._step_s = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float) -> None:
        """Call back after some seconds, and not when an earlier start would have."""
        self.cancel()
        self._step_s = seconds / self._steps
        self._start_step(self._steps)

    def cancel(self) -> None:
        """Don't call back."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _start_step(self, remaining: int) -> None:
        if remaining:
            loop = asyncio.get_running_loop()
            self._handle = loop.call_later(self._step_s, self._start_step, remaining - 1)
        else:
            self._handle = None
            self._callback()


@asynccontextmanager
async def limit_running_time(seconds: float | None, steps: int = STEPS) -> AsyncIterator[None]:
    """Raise TimeoutError if the block takes longer than `seconds`; None for no limit.

    The time for which this process is suspended doesn't count.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        if seconds is None:
            yield
            return
        # Expires in the next iteration of the loop, after the input of this one is used.
        timer = RunningTimer(lambda: timeout.reschedule(loop.time()), steps)
        timer.start(seconds)
        try:
            yield
        finally:
            timer.cancel()
