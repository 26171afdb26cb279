"""This host's share of a request rate limit that an endpoint sets for all hosts together."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.members import rank_host

MIN_REQUESTS_PER_S = 0.2
"""Minimum request rate to a limited endpoint: one request in five seconds shows whether the limit
still applies."""
MIN_HOST_AGE_S = 2.0
"""Minimum age of a host that has a share. By then it has received heartbeats from the other hosts
of its region, which come every 0.4 to 1 s. Without it, hosts that started together each used the
whole limit."""
MIN_SENDERS = 4
SENDERS_PER_RPS = 0.5
"""Number of hosts that may send: a minimum, and the increase per request per second of the limit.
Each of them may send one request at any time without the others' knowledge, so that all these
requests may arrive at once."""
BURST_S = 0.25
"""Seconds of its share that a host may send as a burst, in addition to that one request. Requests
arrive unevenly, and capacity that one host doesn't use is lost to all."""


class LimitShare(NamedTuple):
    """The share of a limit that one host may use."""

    per_s: float
    """Requests per second."""
    burst: float
    """Requests that it may send at once."""


def compute_share(
    limit_per_s: float,
    endpoint: str,
    host: str,
    hosts: Iterable[str],
    *,
    age_s: float,
    may_share: bool,
) -> LimitShare | None:
    """Return this host's share of an endpoint's limit, or None if it has none.

    `hosts` are the other hosts that may send there. All get equal shares, regardless of demand, so
    that the sum stays within the limit without coordination. If there are many hosts, only those
    that a hash ranks first for this endpoint may send. A host that started only
    `age_s` ago doesn't know the others yet and has no share. One that doesn't know how many there
    are (`may_share`) has the share of one of
    many, and at most half of the senders may be such hosts.
    """
    if age_s < MIN_HOST_AGE_S:
        return None
    limit_per_s = max(limit_per_s, MIN_REQUESTS_PER_S)
    senders = MIN_SENDERS + int(SENDERS_PER_RPS * limit_per_s)
    ranked = sorted({host, *hosts}, key=lambda name: rank_host(endpoint, name))
    if ranked.index(host) >= (senders if may_share else senders // 2):
        return None
    per_s = limit_per_s / (min(senders, len(ranked)) if may_share else senders)
    return LimitShare(per_s, 1 + BURST_S * per_s)


class TokenBucket:
    """Token bucket for a host's share of a limit.

    It starts empty, because an endpoint sets a limit when it is already overloaded.
    """

    def __init__(self, now: float) -> None:
        self._tokens = 0.0
        self._updated_at = now

    def estimate_wait(self, share: LimitShare, now: float) -> float:
        """Return the seconds until a request may be sent; 0 if one may be sent now."""
        self._refill(share, now)
        return max(0.0, (1 - self._tokens) / share.per_s)

    def take(self, share: LimitShare, now: float) -> None:
        """Take the token of a request that is sent."""
        self._refill(share, now)
        self._tokens -= 1

    def _refill(self, share: LimitShare, now: float) -> None:
        gained = (now - self._updated_at) * share.per_s
        self._tokens = min(share.burst, self._tokens + gained)
        self._updated_at = now
