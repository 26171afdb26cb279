"""How a heartbeat that is too long for one datagram is cut into several."""

from __future__ import annotations

from typing import Any

from cloverway.membership.heartbeats import Heartbeat

EMPTY_HEARTBEAT = Heartbeat("", 0, 0)
"""A heartbeat that tells nothing; each part of one that was cut is filled up from it."""
LIST_FIELDS = ("heard", "doubted", "loads", "details", "wanted", "summaries", "ends", "served")
"""The parts of a heartbeat that can be cut."""


def split_heartbeat(message: Heartbeat) -> tuple[Heartbeat, ...]:
    """Cut a message's longest part in two; give nothing when there is no more to cut."""
    field = max(LIST_FIELDS, key=lambda name: len(getattr(message, name)))
    items = getattr(message, field)
    middle = len(items) // 2
    if middle == 0:
        return _split_by_field(message)
    return (
        _replace_field(message, field, items[:middle]),
        _replace_field(EMPTY_HEARTBEAT, field, items[middle:]),
    )


def _split_by_field(message: Heartbeat) -> tuple[Heartbeat, ...]:
    """Give one message for each part that has an item, when there is more than one such part."""
    filled = [name for name in LIST_FIELDS if getattr(message, name)]
    separated = tuple(
        _replace_field(EMPTY_HEARTBEAT, name, getattr(message, name)) for name in filled
    )
    return separated if len(separated) > 1 else ()


def _replace_field(message: Heartbeat, field: str, items: tuple[Any, ...]) -> Heartbeat:
    changed: dict[str, Any] = {field: items}
    return message._replace(**changed)
