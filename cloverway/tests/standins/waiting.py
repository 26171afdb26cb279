"""Wait for a condition with a timeout, and cancel the tasks of an event loop."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

PERIOD_S = 0.01


def wait_until(condition: Callable[[], T], timeout_s: float = 10.0, what: str = "") -> T:
    """Return the first true value of a condition; raise AssertionError after the timeout."""
    pause = threading.Event()
    end = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"not within {timeout_s} s: {what or condition}")
        pause.wait(PERIOD_S)


def end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel the remaining tasks of a stopped loop and close it."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    loop.close()
