"""Splitting of a heartbeat that does not fit into one datagram."""

from __future__ import annotations

from typing import Any

from cloverway.membership.heartbeats import Heartbeat

EMPTY_HEARTBEAT = Heartbeat("", 0, 0)
"""A heartbeat without content, from which the further parts of a split heartbeat are made."""
LIST_FIELDS = (
    "heard",
    "doubted",
    "loads",
    "details",
    "requested_details",
    "summaries",
    "crashes",
    "served",
    "excused",
)
"""The fields of a heartbeat that can be split."""


def split_heartbeat(message: Heartbeat) -> tuple[Heartbeat, ...]:
    """Split the longest list of a heartbeat in two; return () when nothing is left to split."""
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
    """Return one heartbeat per field with an item, or () when only one field has any."""
    filled = [name for name in LIST_FIELDS if getattr(message, name)]
    separated = tuple(
        _replace_field(EMPTY_HEARTBEAT, name, getattr(message, name)) for name in filled
    )
    return separated if len(separated) > 1 else ()


def _replace_field(message: Heartbeat, field: str, items: tuple[Any, ...]) -> Heartbeat:
    changed: dict[str, Any] = {field: items}
    return message._replace(**changed)
