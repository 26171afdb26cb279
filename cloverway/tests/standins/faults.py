"""Fault switches of the stand-in servers."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

POLL_S = 0.005


class Faults:
    """The faults that a stand-in injects; all switches are off initially."""

    DEFAULTS: ClassVar[dict[str, Any]] = {
        "refuse": False,  # respond 503 and say that the request was not started
        "error": 0,  # respond with this status after the request was counted
        "first_byte_s": 0.0,  # delay the head of the response
        "silent": False,  # accept the request and never respond
        "cut_after": None,  # close after so many tokens of a stream or bytes of a body
        "stall_after": None,  # as cut_after, but keep the connection open and send nothing
        "short_body": False,  # declare a longer body than is sent, then close
        "close_at_once": False,  # close after the request was read and counted
        "hold": False,  # delay the head of the response until the switch is off
        "hold_after": None,  # pause after so many tokens or bytes until the switch is off
        "duplicate": False,  # send the response twice on one connection
        "token_s": None,  # override the interval between tokens
        "times": None,  # how many requests the switches apply to
    }

    def __init__(self) -> None:
        self.__dict__.update(self.DEFAULTS)

    def set(self, **switches: Any) -> None:
        unknown = set(switches) - set(self.DEFAULTS)
        if unknown:
            raise ValueError(f"unknown fault switches: {sorted(unknown)}")
        self.__dict__.update(switches)

    def clear(self) -> None:
        self.__dict__.update(self.DEFAULTS)

    async def wait_released(self, disconnected: asyncio.Event) -> None:
        """Wait until `hold` and `hold_after` are off or the client disconnected."""
        while (self.hold or self.hold_after is not None) and not disconnected.is_set():
            await asyncio.sleep(POLL_S)

    def take_for_request(self) -> Faults:
        """Return the switches for one request and count it against `times`."""
        taken = Faults()
        if self.times == 0:
            return taken
        taken.__dict__.update(self.__dict__)
        if self.times is not None:
            self.times -= 1
        return taken
