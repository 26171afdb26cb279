"""The clock of a host."""

from __future__ import annotations

import asyncio
import time

TICK_ORIGIN = time.monotonic()
"""Where the ticks of this process begin. Hosts start at different moments, so they don't tick in
step with each other."""
MIN_TICK_FRACTION = 0.25
"""A tick that is due sooner than this part of a period is left to the next one."""


async def wait_for_tick(period_s: float) -> None:
    """Sleep until the next tick of a period.

    Tasks whose periods are multiples of each other wake up together. Each by itself, those of a
    host that serves nobody woke it 28 times a second, and each time costs more than what is done.
    """
    await asyncio.sleep(compute_tick_delay(period_s))


def compute_tick_delay(period_s: float) -> float:
    """Give the seconds until the next tick of a period."""
    left_s = period_s - (time.monotonic() - TICK_ORIGIN) % period_s
    return left_s if left_s >= MIN_TICK_FRACTION * period_s else left_s + period_s


def read_clock() -> float:
    """Give the seconds since the host started, with the time in which it was suspended.

    The steady clock of the event loop stands still while a host is suspended: deadlines, leases
    and ages would be taken for younger than they are, and a request whose caller has long left
    would be run.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
