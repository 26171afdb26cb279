"""How often a host may send to an endpoint that is cold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.members import rank_for

WINDOW_S = 1.1
"""The second in which sends are counted, and a tenth more: sends spaced by just a second may
arrive closer together than they left."""


class ColdTerms(NamedTuple):
    """How far over its stated rate a cold endpoint may be loaded, over all hosts together."""

    overshoot: float = 1.0
    slack: float = 0.0


def compute_cold_spacing(
    cold_per_s: float, terms: ColdTerms, endpoint: str, host: str, hosts: Iterable[str]
) -> float | None:
    """Give the seconds between two sends of one host to a cold endpoint; None for no sends.

    A cold endpoint crashes when all hosts together send more than it bears within one second. Each
    host takes an equal part of the bound. Where there are more hosts than the bound has sends,
    only as many as that send at all, those that a hash ranks first for this endpoint.
    """
    bound = int(cold_per_s * terms.overshoot + terms.slack)
    rank = sorted({host, *hosts}, key=lambda name: rank_for(endpoint, name))
    if rank.index(host) >= bound:
        return None
    return WINDOW_S / max(1, bound // len(rank))
