"""Timeouts that leave out the time for which the process was suspended."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

STEPS = 4
"""Steps in which a timeout is counted. A suspension counts as one step at most."""


@asynccontextmanager
async def limit_running_time(seconds: float | None, steps: int = STEPS) -> AsyncIterator[None]:
    """Raise TimeoutError if the block takes longer than `seconds`; None for no limit.

    While the process is stopped or its machine suspended, the other end may answer, but nothing is
    read. A plain timer is due at the wake-up, and would end the wait just before the answer is
    read. Here each step has a timer of its own, and the block may use what arrived until the last
    one was due.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        if seconds is None:
            yield
            return
        timers: list[asyncio.TimerHandle] = []

        def start_step(remaining: int) -> None:
            if remaining:
                timers[:] = [loop.call_later(seconds / steps, start_step, remaining - 1)]
            else:
                # Expires in the next iteration of the loop, after the input of this one is used.
                timeout.reschedule(loop.time())

        start_step(steps)
        try:
            yield
        finally:
            timers[0].cancel()
