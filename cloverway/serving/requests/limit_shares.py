"""This host's shares of the rate limits that endpoints set for all hosts together."""

from __future__ import annotations

from cloverway.core.endpoint import Endpoint
from cloverway.core.endpoints import Directory
from cloverway.core.limits import LimitShare, TokenBucket, compute_share
from cloverway.core.members import Members

SENDING_HOSTS_TTL_S = 0.2
"""How long the list of sending hosts is cached: it is read for each endpoint at each selection."""


class LimitShares:
    """Tracks what this host sends to endpoints that set a rate limit."""

    def __init__(self, members: Members, directory: Directory) -> None:
        self._members = members
        self._directory = directory
        self._buckets: dict[str, TokenBucket] = {}
        self._hosts: list[str] | None = None
        self._hosts_at = float("-inf")

    def estimate_wait(self, endpoint: Endpoint, waiting: int, now: float) -> float | None:
        """Return the seconds until an endpoint may get a request; None if this host has no share.

        If the share is used up for now, `waiting` queued requests go first.
        """
        if not self._directory.is_limited(endpoint):
            self._buckets.pop(endpoint.entry.incarnation, None)
            return 0.0
        share = self._get_share(endpoint, now)
        if share is None:
            return None
        wait_s = self._get_bucket(endpoint, now).estimate_wait(share, now)
        return wait_s + waiting / share.per_s if wait_s > 0 else 0.0

    def take(self, endpoint: Endpoint, now: float) -> None:
        """Count a request sent to an endpoint against this host's share."""
        share = self._get_share(endpoint, now) if self._directory.is_limited(endpoint) else None
        if share is not None:
            self._get_bucket(endpoint, now).take(share, now)

    def _get_bucket(self, endpoint: Endpoint, now: float) -> TokenBucket:
        key = endpoint.entry.incarnation
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(now)
        return bucket

    def _get_share(self, endpoint: Endpoint, now: float) -> LimitShare | None:
        limit_per_s = self._directory.statements.get(endpoint.entry.incarnation).limit_per_s
        hosts = self._list_hosts(now)
        if limit_per_s is None or hosts is None:
            return None
        own = self._members.own.name
        return compute_share(
            limit_per_s,
            endpoint.entry.incarnation,
            own,
            hosts,
            age_s=self._members.get_age(now),
            may_share=self._members.known_hosts.may_share_region(now),
        )

    def _list_hosts(self, now: float) -> list[str] | None:
        """List the other hosts of the region that send to endpoints; None if this one doesn't.

        In a large region most hosts have no callers, and shares assigned to them would be unused.
        """
        if now - self._hosts_at >= SENDING_HOSTS_TTL_S:
            self._hosts_at = now
            serving = self._members.list_serving(self._members.own.region)
            names = {peer.member.name for peer in serving}
            if self._members.is_small_region():
                names.update(self._members.known_hosts.list_region())
            self._hosts = list(names) if self._members.is_serving(now) else None
        return self._hosts
