"""How a heartbeat that is too long for one datagram is cut into several."""

from __future__ import annotations

from typing import Any

from cloverway.membership.heartbeats import Heartbeat

BLANK = Heartbeat("", 0, 0)
"""A heartbeat that tells nothing; each part of one that was cut is filled up from it."""
LISTS = ("heard", "doubted", "loads", "details", "wanted", "summaries", "ends", "served")
"""The parts of a heartbeat that can be cut."""


def halve(message: Heartbeat) -> tuple[Heartbeat, ...]:
    """Cut a message's longest part in two; give nothing when there is no more to cut."""
    field = max(LISTS, key=lambda name: len(getattr(message, name)))
    items = getattr(message, field)
    middle = len(items) // 2
    if middle == 0:
        return _separate(message)
    return (_replace(message, field, items[:middle]), _replace(BLANK, field, items[middle:]))


def _separate(message: Heartbeat) -> tuple[Heartbeat, ...]:
    """Give one message for each part that has an item, when there is more than one such part."""
    filled = [name for name in LISTS if getattr(message, name)]
    alone = tuple(_replace(BLANK, name, getattr(message, name)) for name in filled)
    return alone if len(alone) > 1 else ()


def _replace(message: Heartbeat, field: str, items: tuple[Any, ...]) -> Heartbeat:
    changed: dict[str, Any] = {field: items}
    return message._replace(**changed)
