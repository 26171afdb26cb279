"""Rate limit for requests to cold endpoints, shared by all hosts of a region."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.members import rank_host

SEND_WINDOW_S = 1.1
"""Window in which sends are counted: a second, and a tenth more because sends spaced by exactly one
second may arrive closer together than they were sent."""


class ColdStartSettings(NamedTuple):
    """How far the hosts together may exceed the stated rate of a cold endpoint."""

    overshoot: float = 1.0
    """Factor by which the stated rate is multiplied."""
    slack: float = 0.0
    """Requests per second that are allowed in addition."""


def compute_cold_send_interval(
    cold_per_s: float,
    settings: ColdStartSettings,
    endpoint: str,
    host: str,
    hosts: Iterable[str],
    *,
    count: int,
    may_share: bool,
) -> float | None:
    """Return the seconds between two sends of one host to a cold endpoint; None for no sends.

    A cold endpoint crashes when all hosts together send more than it sustains within one second.
    Each host gets an equal share of the limit. If there are more hosts than sends in the limit,
    only that many hosts send, those that a hash ranks first for this endpoint. `count` is the
    number of all hosts, some of which may be known by no name yet; without the names, there is no
    rank. A host that doesn't know how many there are (`may_share`) sends nothing.
    """
    if not may_share:
        return None
    max_sends = int(cold_per_s * settings.overshoot + settings.slack)
    rank = sorted({host, *hosts}, key=lambda name: rank_host(endpoint, name))
    count = max(count, len(rank))
    if count > max_sends and (count > len(rank) or rank.index(host) >= max_sends):
        return None
    return SEND_WINDOW_S / max(1, max_sends // count)
