"""How often one host may send to an endpoint that names a limit for all hosts together."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.cold_start import SETTLED_S
from cloverway.core.members import rank_host

MIN_REQUESTS_PER_S = 0.2
"""Requests a second that an endpoint gets, however little it takes: one in five seconds shows
whether it still says so."""
MIN_SENDERS = 4
SENDERS_PER_RPS = 0.5
"""Hosts that may send, and how many more for each request a second of the limit. Each of them may
send one request at a time that no other host knows of, so that many may come at once."""
BURST_S = 0.25
"""Seconds of its share that a host may send at once beside that one: requests come unevenly, and
what isn't sent is lost to all."""


class LimitShare(NamedTuple):
    """The part of a limit that one host may use."""

    per_s: float
    burst: float
    """Requests that it may send at once."""


def compute_share(
    limit_per_s: float, endpoint: str, host: str, hosts: Iterable[str], *, age_s: float
) -> LimitShare | None:
    """Give this host's share of an endpoint's limit; None where it has none.

    `hosts` are the others that may send there. All get equal parts, whatever they need, so that the
    sum stays within the limit without a word between them. Where they are many, only some of them
    send, those that a hash ranks first for this endpoint. A host that has just started, `age_s`
    ago, doesn't know the others yet and has no share.
    """
    if age_s < SETTLED_S:
        return None
    limit_per_s = max(limit_per_s, MIN_REQUESTS_PER_S)
    senders = MIN_SENDERS + int(SENDERS_PER_RPS * limit_per_s)
    ranked = sorted({host, *hosts}, key=lambda name: rank_host(endpoint, name))
    if ranked.index(host) >= senders:
        return None
    per_s = limit_per_s / min(senders, len(ranked))
    return LimitShare(per_s, 1 + BURST_S * per_s)


class TokenBucket:
    """The requests of its share that a host has not used yet, as a token bucket.

    It begins empty: an endpoint names a limit when it has too much already.
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._updated_at = now

    def estimate_wait(self, share: LimitShare, now: float) -> float:
        """Give the seconds until a request may be sent; 0 where one may be sent now."""
        self._refill(share, now)
        return max(0.0, (1 - self._tokens) / share.per_s)

    def take(self, share: LimitShare, now: float) -> None:
        """Count a request that is sent."""
        self._refill(share, now)
        self._tokens -= 1

    def _refill(self, share: LimitShare, now: float) -> None:
        gained = (now - self._updated_at) * share.per_s
        self._tokens = min(share.burst, self._tokens + gained)
        self._updated_at = now
