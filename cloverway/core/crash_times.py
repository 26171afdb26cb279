"""Which incarnations of endpoints seemed to crash, and which of them answered later."""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")

MAX_CRASHED = 4_096
"""Crashed endpoints retained; also the number retained that seemed to crash and answered later."""
MAX_READ_DELAY_S = 0.25
"""How long after the crash of an endpoint its last output may still be read: it waits in buffers,
and the host that reads it may have little CPU time."""
MIN_RESTART_S = 0.2
"""Minimum time for a crashed endpoint to be back: starting a process alone takes longer. A
connection that is opened sooner reaches the process that was there before."""


class CrashTimes:
    """When each incarnation seemed to crash; a connection reset looks like a crash."""

    def __init__(self) -> None:
        self._crashed: OrderedDict[str, float] = OrderedDict()
        self._retracted: OrderedDict[str, float] = OrderedDict()
        """Incarnations that seemed to crash, and until when they are known to have been alive."""

    def __len__(self) -> int:
        return len(self._crashed)

    def record(self, incarnation: str, at: float) -> None:
        """Record that an incarnation seemed to crash."""
        keep_last(self._crashed, incarnation, at, MAX_CRASHED)

    def is_retracted(self, incarnation: str, at: float) -> bool:
        """Return whether an incarnation was alive after it seemed to crash at a time."""
        return at <= self._retracted.get(incarnation, float("-inf"))

    def retract_if_alive(
        self, incarnation: str, since: float, until: float, has_unique_id: bool
    ) -> bool:
        """Retract the crash of an incarnation that was alive from `since` to `until`.

        Return whether there was one, within this time or just before. `has_unique_id` tells that a
        restarted process would not have answered under this id, so that any later time will do.
        """
        at = self._crashed.get(incarnation)
        if at is None or not _is_still_alive(at, since, until, has_unique_id):
            return False
        return self.retract(incarnation, until)

    def retract(self, incarnation: str, until: float) -> bool:
        """Retract the crash of an incarnation; return whether there was one."""
        if self._crashed.pop(incarnation, None) is None:
            return False
        keep_last(self._retracted, incarnation, until, MAX_CRASHED)
        return True


def _is_still_alive(crashed_at: float, since: float, until: float, has_unique_id: bool) -> bool:
    """Return whether an incarnation seen alive from `since` to `until` did not crash."""
    if since <= crashed_at:
        return crashed_at < until - MAX_READ_DELAY_S
    return has_unique_id or since < crashed_at + MIN_RESTART_S


def keep_last(values: OrderedDict[Key, Value], key: Key, value: Value, limit: int) -> None:
    """Record a value, as the latest one; forget the oldest of more than `limit`."""
    values[key] = value
    values.move_to_end(key)
    if len(values) > limit:
        values.popitem(last=False)
