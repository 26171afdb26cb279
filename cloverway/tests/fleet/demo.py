"""The demo's call over the platform's protocol: store, endpoint and host in this process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from cloverway.tests.fleet.deployment import Reply, run_fleet

EVENTS = 3


def run_platform_call(write_line: Callable[[str], Any]) -> list[str]:
    """Stream a response over the platform's protocol, print the result and return mismatches."""
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    reply = asyncio.run(_call())
    events = reply.body.count(b"data:")
    write_line("\nOn the users' platform: a host reads the stand-in store and streams an answer")
    write_line(
        f"    status {reply.status}, {events} events, whole: {'yes' if reply.complete else 'no'}"
    )
    if (reply.status, events, reply.complete) != (200, EVENTS, True):
        return [f"the platform's call had status {reply.status} and {events} events"]
    return []


async def _call() -> Reply:
    async with run_fleet(endpoints=1) as fleet:
        endpoint = fleet.endpoints["model-0"]
        endpoint.answer = endpoint.stream(1, EVENTS)
        return await fleet.call("/stream/a")
