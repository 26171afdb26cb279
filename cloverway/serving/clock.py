"""The clock of a host, and the ticks of its periodic tasks."""

from __future__ import annotations

import asyncio
import time

TICK_ORIGIN = time.monotonic()
"""Origin of the ticks of this process. Hosts start at different moments, so their ticks aren't
synchronized."""
MIN_TICK_FRACTION = 0.25
"""A tick that is due within this fraction of the period is skipped."""


async def wait_for_tick(period_s: float) -> None:
    """Sleep until the next tick of a period.

    Tasks whose periods are multiples of each other wake up together. With independent timers an
    idle host woke up 28 times a second, and each wake-up costs more than the work done.
    """
    await asyncio.sleep(compute_tick_delay(period_s))


def compute_tick_delay(period_s: float) -> float:
    """Return the seconds until the next tick of a period."""
    left_s = period_s - (time.monotonic() - TICK_ORIGIN) % period_s
    return left_s if left_s >= MIN_TICK_FRACTION * period_s else left_s + period_s


def read_clock() -> float:
    """Return the seconds since the machine booted, including the time for which it was suspended.

    The monotonic clock of the event loop stops while the machine is suspended. Deadlines, leases
    and ages would seem younger than they are, and a request would be run after its caller left.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
