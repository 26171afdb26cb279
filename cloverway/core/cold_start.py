"""How often a host may send to an endpoint that is cold."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.members import rank_host

WINDOW_S = 1.1
"""The second in which sends are counted, and a tenth more: sends spaced by just a second may
arrive closer together than they left."""


SETTLED_S = 2.0
"""Age from which a host sends to cold endpoints: by then it has heard of the others of its region
(their heartbeats come each 0.4 to 1 s), and those have heard of it for a whole window. Hosts that
started together had each taken the whole bound: six sends in a second where five were borne."""


class ColdTerms(NamedTuple):
    """How far over its stated rate a cold endpoint may be loaded, over all hosts together."""

    overshoot: float = 1.0
    slack: float = 0.0


def compute_cold_spacing(
    cold_per_s: float,
    terms: ColdTerms,
    endpoint: str,
    host: str,
    hosts: Iterable[str],
    *,
    age_s: float,
) -> float | None:
    """Give the seconds between two sends of one host to a cold endpoint; None for no sends.

    A cold endpoint crashes when all hosts together send more than it bears within one second. Each
    host takes an equal part of the bound. Where there are more hosts than the bound has sends,
    only as many as that send at all, those that a hash ranks first for this endpoint. A host that
    has just started, `age_s` ago, doesn't know the others yet and sends none.
    """
    if age_s < SETTLED_S:
        return None
    bound = int(cold_per_s * terms.overshoot + terms.slack)
    rank = sorted({host, *hosts}, key=lambda name: rank_host(endpoint, name))
    if rank.index(host) >= bound:
        return None
    return WINDOW_S / max(1, bound // len(rank))
