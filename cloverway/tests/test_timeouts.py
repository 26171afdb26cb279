"""Timeouts that leave out the time for which the event loop did not run."""

from __future__ import annotations

import asyncio
import time

import pytest

from cloverway.serving.timeouts import STEPS, limit_running_time

TIMEOUT_S = 0.2


async def wait_forever_for(seconds, suspensions=0):
    """Wait under a timeout; stop the loop for the length of the timeout at each of its steps."""
    loop = asyncio.get_running_loop()
    for number in range(suspensions):
        loop.call_later((number + 0.5) * seconds / STEPS, time.sleep, seconds)
    async with limit_running_time(seconds):
        await loop.create_future()


def test_a_wait_ends_at_its_timeout():
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(wait_forever_for(TIMEOUT_S))
    assert TIMEOUT_S <= time.monotonic() - began_at < 2 * TIMEOUT_S


def test_a_suspension_counts_as_one_step_at_most():
    """Guards against timeouts that end a wait at the wake-up, before its input is read."""
    began_at = time.monotonic()
    with pytest.raises(TimeoutError):
        asyncio.run(wait_forever_for(TIMEOUT_S, suspensions=1))
    assert time.monotonic() - began_at >= TIMEOUT_S * (2 - 1 / STEPS)


def test_a_wait_ends_however_often_it_is_suspended():
    """Guards against a wait without a bound on a host that is suspended again and again."""
    with pytest.raises(TimeoutError):
        asyncio.run(wait_forever_for(TIMEOUT_S, suspensions=3 * STEPS))


def test_without_a_timeout_nothing_is_limited():
    async def finish():
        async with limit_running_time(None):
            await asyncio.sleep(0)

    asyncio.run(finish())


def test_a_cancelled_wait_is_not_a_timeout():
    """Guards against a caller's disconnect that is taken for a silent endpoint."""

    async def cancel():
        wait = asyncio.ensure_future(wait_forever_for(TIMEOUT_S))
        await asyncio.sleep(0)
        wait.cancel()
        await wait

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(cancel())
