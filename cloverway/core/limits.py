"""How often one host may send to an endpoint that names a limit for all hosts together."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.cold_start import MIN_HOST_AGE_S
from cloverway.core.members import rank_for

LEAST_PER_S = 0.2
"""Requests a second that an endpoint gets, however little it takes: one in five seconds shows
whether it still says so."""
LEAST_HOLDERS = 4
HOLDERS_PER_REQUEST = 0.5
"""Hosts that may send, and how many more for each request a second of the limit. Each of them may
send one request at a time that no other host knows of, so that many may come at once."""
BURST_S = 0.25
"""Seconds of its share that a host may send at once beside that one: requests come unevenly, and
what isn't sent is lost to all."""


class Share(NamedTuple):
    """The part of a limit that one host may use."""

    per_s: float
    burst: float
    """Requests that it may send at once."""


def compute_share(
    limit_per_s: float, endpoint: str, host: str, hosts: Iterable[str], *, age_s: float
) -> Share | None:
    """Give this host's share of an endpoint's limit; None where it has none.

    `hosts` are the others that may send there. All get equal parts, whatever they need, so that the
    sum stays within the limit without a word between them. Where they are many, only some of them
    send, those that a hash ranks first for this endpoint. A host that has just started, `age_s`
    ago, doesn't know the others yet and has no share.
    """
    if age_s < MIN_HOST_AGE_S:
        return None
    limit_per_s = max(limit_per_s, LEAST_PER_S)
    holders = LEAST_HOLDERS + int(HOLDERS_PER_REQUEST * limit_per_s)
    ranked = sorted({host, *hosts}, key=lambda name: rank_for(endpoint, name))
    if ranked.index(host) >= holders:
        return None
    per_s = limit_per_s / min(holders, len(ranked))
    return Share(per_s, 1 + BURST_S * per_s)


class Allowance:
    """The requests of its share that a host has not used yet, as a token bucket.

    It begins empty: an endpoint names a limit when it has too much already.
    """

    def __init__(self, now: float) -> None:
        self._left = 0.0
        self._at = now

    def estimate_wait(self, share: Share, now: float) -> float:
        """Give the seconds until a request may be sent; 0 where one may be sent now."""
        self._fill(share, now)
        return max(0.0, (1 - self._left) / share.per_s)

    def take(self, share: Share, now: float) -> None:
        """Count a request that is sent."""
        self._fill(share, now)
        self._left -= 1

    def _fill(self, share: Share, now: float) -> None:
        gained = (now - self._at) * share.per_s
        self._left = min(share.burst, self._left + gained)
        self._at = now
