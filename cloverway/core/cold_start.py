"""Rate limit for requests to cold endpoints, shared by all hosts of a region."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.members import rank_host

SEND_WINDOW_S = 1.1
"""The second in which sends are counted, plus a tenth: sends spaced by exactly one second may
arrive closer together than they left."""
MIN_HOST_AGE_S = 2.0
"""Minimum age of a host that sends to cold endpoints. By then it has received heartbeats from the
other hosts of its region, which come every 0.4 to 1 s, and those have known of it for a whole
window. Without it, hosts that started together each used the whole limit: six sends in a second to
an endpoint that sustains five."""


class ColdStartSettings(NamedTuple):
    """How far the hosts together may exceed the stated rate of a cold endpoint."""

    overshoot: float = 1.0
    slack: float = 0.0


def compute_cold_send_interval(
    cold_per_s: float,
    settings: ColdStartSettings,
    endpoint: str,
    host: str,
    hosts: Iterable[str],
    *,
    age_s: float,
) -> float | None:
    """Return the seconds between two sends of one host to a cold endpoint; None for no sends.

    A cold endpoint crashes when all hosts together send more than it sustains within one second.
    Each host gets an equal share of the limit. If there are more hosts than sends in the limit,
    only that many hosts send, those that a hash ranks first for this endpoint. A host that started
    less than `MIN_HOST_AGE_S` ago (`age_s`) doesn't know the others yet and sends nothing.
    """
    if age_s < MIN_HOST_AGE_S:
        return None
    bound = int(cold_per_s * settings.overshoot + settings.slack)
    rank = sorted({host, *hosts}, key=lambda name: rank_host(endpoint, name))
    if rank.index(host) >= bound:
        return None
    return SEND_WINDOW_S / max(1, bound // len(rank))
