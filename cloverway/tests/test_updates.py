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
    """Records the requested waits, and is never available."""

    def __init__(self, requested_waits: asyncio.Queue, loop: asyncio.AbstractEventLoop) -> None:
        self._requested_waits = requested_waits
        self._loop = loop

    def read(self, after: int, wait_s: float) -> Changes:
        self._loop.call_soon_threadsafe(self._requested_waits.put_nowait, wait_s)
        raise PlatformError("the platform is unavailable")

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
    unavailable = UnavailablePlatform(requested_waits, asyncio.get_running_loop())
    updater = ConfigurationUpdater(
        settings, ConfigurationStore(), unavailable, refuse, time.monotonic
    )
    updater.start()
    watch = asyncio.create_task(updater.watch_platform(lambda now: True, lambda published: None))
    try:
        return await asyncio.wait_for(requested_waits.get(), READ_TIMEOUT_S)
    finally:
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        updater.stop()


@pytest.mark.parametrize(("kind", "expected"), [("file", 0.25), ("http", 7.0)])
def test_read_wait_depends_on_the_kind_of_platform(kind, expected):
    """With the poll interval of a directory as the wait of a call, the platform's service would get
    at least twice the calls needed. The largest planned deployment has 216 readers."""
    platform = PlatformSettings(kind=kind, poll_s=0.25, watch_s=7.0)
    assert asyncio.run(get_read_wait(platform)) == expected
