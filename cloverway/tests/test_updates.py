from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from cloverway.config.configuration import ConfigurationStore
from cloverway.config.settings import Listen, PlatformSettings, Security, Settings
from cloverway.config.updates import ConfigurationUpdater
from cloverway.errors import PeerError, PlatformError
from cloverway.sources.port import Changes, MemberStates

READ_TIMEOUT_S = 10.0


class UnavailablePlatform:
    """Notes what it is asked for, and gives nothing."""

    def __init__(self, requested_waits: asyncio.Queue, loop: asyncio.AbstractEventLoop) -> None:
        self._asked = requested_waits
        self._loop = loop

    def read(self, after: int, wait_s: float) -> Changes:
        self._loop.call_soon_threadsafe(self._asked.put_nowait, wait_s)
        raise PlatformError("there is nothing yet")

    def get_member_states(self) -> MemberStates:
        return MemberStates()


def refuse(host: str, address: str, after: int) -> Changes:
    raise PeerError("there are no peers")


async def get_read_wait(platform: PlatformSettings) -> float:
    requested_waits: asyncio.Queue[float] = asyncio.Queue()
    settings = Settings(
        host="a-h1",
        domain="a-1",
        region="a",
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        platform=platform,
        security=Security("none"),
    )
    silent = UnavailablePlatform(requested_waits, asyncio.get_running_loop())
    updates = ConfigurationUpdater(settings, ConfigurationStore(), silent, refuse, time.monotonic)
    updates.start()
    watch = asyncio.create_task(updates.watch_platform(lambda now: True, lambda published: None))
    try:
        return await asyncio.wait_for(requested_waits.get(), READ_TIMEOUT_S)
    finally:
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        updates.stop()


@pytest.mark.parametrize(("kind", "expected"), [("file", 0.25), ("http", 7.0)])
def test_a_read_waits_as_long_as_the_kind_of_platform_asks(kind, expected):
    """The platform's service gets twice the calls that it needs, or more, from all regions.

    Its readers waited for a change as long as a directory is left unread, in place of the time for
    which the service holds a call back. At the two-year size 216 hosts read it.
    """
    platform = PlatformSettings(kind=kind, poll_s=0.25, watch_s=7.0)
    assert asyncio.run(get_read_wait(platform)) == expected
