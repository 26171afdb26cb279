"""The clock of a host."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Give the seconds since the host started, with the time in which it was suspended.

    The steady clock of the event loop stands still while a host is suspended: deadlines, leases
    and ages would be taken for younger than they are, and a request whose caller has long left
    would be run.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
