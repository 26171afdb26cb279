"""Fault switches of the stand-ins."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

POLL_S = 0.005


class Faults:
    """What goes wrong; all switches are off at first."""

    DEFAULTS: ClassVar[dict[str, Any]] = {
        "refuse": False,  # 503 that says the request was not started
        "error": 0,  # this status after the work was counted
        "first_byte_s": 0.0,  # wait before the head of the answer
        "silent": False,  # accept and never answer
        "cut_after": None,  # close midway: tokens of a stream, bytes of a body
        "stall_after": None,  # as cut_after, but stay open and say nothing
        "short_body": False,  # declare a longer body than is sent, then close
        "close_at_once": False,  # close after the request was read and counted
        "hold": False,  # wait before the head of the answer until the switch is off
        "hold_after": None,  # wait after so many tokens (bytes of a body) until the switch is off
        "duplicate": False,  # send the answer twice on one connection
        "token_s": None,  # another interval between tokens
        "times": None,  # how many requests the switches hold for
    }

    def __init__(self) -> None:
        self.__dict__.update(self.DEFAULTS)

    def set(self, **switches: Any) -> None:
        unknown = set(switches) - set(self.DEFAULTS)
        if unknown:
            raise ValueError(f"no such fault: {sorted(unknown)}")
        self.__dict__.update(switches)

    def clear(self) -> None:
        self.__dict__.update(self.DEFAULTS)

    async def wait_released(self, gone: asyncio.Event) -> None:
        """Wait until both holds are off, or the other side left."""
        while (self.hold or self.hold_after is not None) and not gone.is_set():
            await asyncio.sleep(POLL_S)

    def take_for_request(self) -> Faults:
        """Give the switches for one request, and count it against `times`."""
        taken = Faults()
        if self.times == 0:
            return taken
        taken.__dict__.update(self.__dict__)
        if self.times is not None:
            self.times -= 1
        return taken
