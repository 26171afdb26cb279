"""The hosts of the fleet: which are alive, ready or leaving, from their own heartbeats."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

from cloverway.core.decay import DecayingSum
from cloverway.core.deployment import StorePosition
from cloverway.core.known_hosts import KnownHosts
from cloverway.core.load import EngineState

ALIVE_TIMEOUT_S = 1.5
"""Time without a heartbeat after which a host is neither named to callers nor sent requests. It
spans several heartbeats, so that one lost datagram has no effect."""
SMALL_REGION_HOSTS = 8
"""Size of a region up to which that timeout applies. In larger regions heartbeats are less
frequent, and the timeout grows with the number of hosts."""
MAX_ALIVE_TIMEOUT_S = 3.6
"""Upper bound of that timeout."""
REMOTE_ALIVE_TIMEOUT_S = 4.0
"""The same timeout for hosts of other regions, which send heartbeats less often."""
REMOTE_HOSTS = 16
"""Number of hosts in other regions up to which that timeout applies. With more of them, reports of
each arrive less often, through other hosts, and the timeout grows with their number."""
MAX_REMOTE_ALIVE_TIMEOUT_S = 8.0
"""Upper bound of that timeout. With 4 s, four of 48 hosts were treated as dead and alive again each
second."""
LEAVING_NAMED_S = 2.0
"""How long a leaving host is still named to callers if its region has no other host. It accepts
requests for longer than this, and sending them to another region costs more than a short stay."""
RATE_HALF_LIFE_S = 2.0
"""Half-life of a host's request rate. Callers cache a lookup answer for about as long, so a faster
average would make the choice of hosts oscillate."""
ACTIVE_REQUESTS_PER_S = 1.5
"""Request rate from which a host of a large region counts as serving callers. Hosts that lookups
don't name get fewer requests: probes for the configuration in force."""
MIN_NAMED_HOSTS = 2
"""Minimum number of hosts of a failure domain that lookups name, if it has as many: a caller whose
host fails has another address at once."""
FORGET_AFTER_S = 30.0
"""Time without a heartbeat after which no more heartbeats are sent to a host. That it exists is
remembered for longer (`KnownHosts`)."""
MAX_MISSED_HEARTBEATS = 2.5
"""Heartbeat periods without a heartbeat after which a host with a long period counts as dead: two
heartbeats may be lost. Such hosts serve no callers, so no request is lost if one counts as alive
for a little longer, or as dead too early. With the longest period, 3.2 s, a crashed host counts as
alive for 8 s; callers must not be directed to it for longer."""
MAX_CACHED_RANKS = 4_096
"""Maximum number of cached ranks. The rank of each host of the own failure domain is needed several
times a second."""


class Member(NamedTuple):
    """A host's own description."""

    name: str
    """Its address for other hosts, which is unique at any time."""
    incarnation: int
    """Increases with each start of a host at the same address."""
    domain: str
    region: str
    caller_address: str
    """Address for callers."""
    forwarding_address: str
    """Address for requests that other hosts forward."""
    ready: bool = False
    leaving: bool = False
    capacity: int = 1
    """Requests per second that its machine sustains."""


class AdvertisedCapacity(NamedTuple):
    """The capacity of a region for one service, as advertised by one of its hosts."""

    service: str
    wait_s: float
    """Time to the first event of a request that is sent there now."""
    free_slots: int
    """Requests that may be sent there at once."""
    max_prompt_tokens: int
    """Prompt tokens of the largest of these requests."""
    engine: EngineState = EngineState(0.0, 0.0, 0.0, 0)
    """The engine with the shortest queue, if the service has engines."""


class Peer:
    """The state of another host."""

    def __init__(self, member: Member, heard_at: float) -> None:
        self.member = member
        self.heard_at = heard_at
        self.heard_directly_at = float("-inf")
        """When its own last heartbeat arrived; `heard_at` counts other hosts' reports of it too."""
        self.configuration_version = 0
        self.position = StorePosition()
        """Up to where in the history of the store it knows the documents, from any source."""
        self.digest = 0
        """Digest of the documents that it knows."""
        self.store_read_age_s = float("inf")
        """Age of its last read of the store at the time of its last own heartbeat."""
        self.request_rate = 0.0
        """Callers' requests per second, as last reported."""
        self.heartbeat_period_s = 0.0
        """Period of its heartbeats within its region, as it states."""
        self.advertised: dict[str, AdvertisedCapacity] = {}
        self.advertised_at = float("-inf")
        self.backoff_until = float("-inf")
        self.leaving_since: float | None = None


class Members:
    """This host, and all others that it knows of."""

    def __init__(
        self, own: Member, *, started_at: float = float("-inf"), seeds: Iterable[str] = ()
    ) -> None:
        self.own = own
        self.started_at = started_at
        self.known_hosts = KnownHosts(
            own.name, own.domain, own.region, seeds, started_at=started_at
        )
        self.leaving_since: float | None = None
        self.peers: dict[str, Peer] = {}
        self._arrivals = DecayingSum(RATE_HALF_LIFE_S)
        self._region_size = 0

    def record_arrival(self, now: float) -> None:
        """Count a caller's request at this host."""
        self._arrivals.add(1.0, now)

    def get_own_request_rate(self, now: float) -> float:
        """Return the callers' requests per second at this host."""
        return self._arrivals.get_rate(now)

    def sum_request_rates(self, domain: str, now: float) -> float:
        """Return the callers' requests per second at all hosts of a failure domain.

        Hosts that have stopped sending heartbeats count too: their callers move to the others.
        """
        rate = sum(
            peer.request_rate for peer in self.peers.values() if peer.member.domain == domain
        )
        return rate + (self.get_own_request_rate(now) if self.own.domain == domain else 0.0)

    def apply_state(self, member: Member, age_s: float, is_direct: bool, now: float) -> Peer | None:
        """Apply the state of a host; return it, or None if the update is outdated.

        `is_direct` tells whether the host itself sent the update.
        """
        if member.name == self.own.name:
            return None
        heard_at = now - age_s
        peer = self.peers.get(member.name)
        if peer is None:
            if age_s > FORGET_AFTER_S:
                return None
            peer = self.peers[member.name] = Peer(member, heard_at)
        elif member.incarnation < peer.member.incarnation:
            return None
        elif member.incarnation > peer.member.incarnation:
            peer = self.peers[member.name] = Peer(member, heard_at)
        elif is_direct or heard_at > peer.heard_at:
            # A host never returns from leaving within one incarnation: a late update from another
            # host must not undo it.
            leaving = member.leaving or peer.member.leaving
            peer.member = member._replace(leaving=leaving, ready=member.ready and not leaving)
        peer.heard_at = max(peer.heard_at, heard_at)
        self.known_hosts.record(
            member.name,
            member.domain,
            member.region,
            peer.heard_at,
            leaving=peer.member.leaving,
        )
        if peer.member.leaving and peer.leaving_since is None:
            peer.leaving_since = now
        if is_direct:
            peer.heard_directly_at = now
        return peer

    def forget(self, now: float) -> list[str]:
        """Drop the hosts without a recent heartbeat; return their names."""
        removed = [
            name for name, peer in self.peers.items() if now - peer.heard_at > FORGET_AFTER_S
        ]
        for name in removed:
            del self.peers[name]
        self._region_size = len(self.list_region())
        return removed

    def update_known_hosts(self, now: float) -> None:
        """Update whether this host knows the others, by those that are alive."""
        self.known_hosts.update([peer.member.name for peer in self.list_alive(now)], now)

    def is_alive(self, peer: Peer, now: float) -> bool:
        """Return whether a host's last heartbeat is within the timeout."""
        age_s = now - peer.heard_at
        if peer.member.region != self.own.region:
            remote = len(self.peers) - self._region_size
            return age_s <= min(
                MAX_REMOTE_ALIVE_TIMEOUT_S, REMOTE_ALIVE_TIMEOUT_S * max(1.0, remote / REMOTE_HOSTS)
            )
        timeout_s = min(
            MAX_ALIVE_TIMEOUT_S, ALIVE_TIMEOUT_S * max(1.0, self._region_size / SMALL_REGION_HOSTS)
        )
        return age_s <= max(timeout_s, MAX_MISSED_HEARTBEATS * peer.heartbeat_period_s)

    def list_alive(self, now: float) -> list[Peer]:
        """Return the other hosts that are alive."""
        return [peer for peer in self.peers.values() if self.is_alive(peer, now)]

    def get_age(self, now: float) -> float:
        """Return the seconds since this host started."""
        return now - self.started_at

    def count_hosts(self) -> int:
        """Return the number of known hosts, including this one."""
        return len(self.peers) + 1

    def list_region(self) -> list[str]:
        """Return the names of the other known hosts of this region."""
        return [n for n, peer in self.peers.items() if peer.member.region == self.own.region]

    def list_serving(self, region: str) -> list[Peer]:
        """Return the hosts of a region that serve callers; in a small region, all hosts.

        These hosts get each other's updates on the load of endpoints. In a larger region only a few
        hosts serve callers; the others would receive most of these updates and never use them.
        """
        peers = [peer for peer in self.peers.values() if peer.member.region == region]
        if len(peers) < SMALL_REGION_HOSTS:
            return peers
        named = self._list_named(region)
        return [
            p for p in peers if p.request_rate >= ACTIVE_REQUESTS_PER_S or p.member.name in named
        ]

    def is_small_region(self) -> bool:
        """Return whether this region is so small that all of its hosts serve callers."""
        return len(self.list_region()) < SMALL_REGION_HOSTS

    def is_serving(self, now: float) -> bool:
        """Return whether this host serves callers, or its region is small."""
        if self.is_small_region() or self.get_own_request_rate(now) >= ACTIVE_REQUESTS_PER_S:
            return True
        return self.own.name in self._list_named(self.own.region)

    def _list_named(self, region: str) -> set[str]:
        """Return the names of the hosts of a region that lookups name even under low load."""
        members = [self.own, *(peer.member for peer in self.peers.values())]
        domains: dict[str, list[Member]] = {}
        for member in members:
            if member.region == region and member.ready:
                domains.setdefault(member.domain, []).append(member)
        return {
            member.name
            for domain in domains.values()
            for member in sorted(domain, key=rank_by_capacity)[:MIN_NAMED_HOSTS]
        }

    def list_leaving(self, now: float) -> list[Member]:
        """Return the hosts, including this one, that are leaving and still accept requests."""
        times = {peer.member: peer.leaving_since for peer in self.list_alive(now)}
        times[self.own] = self.leaving_since
        return [
            member
            for member, since in times.items()
            if since is not None and now - since <= LEAVING_NAMED_S
        ]

    def begin_leaving(self, now: float) -> None:
        """Record that this host begins to leave."""
        self.own = self.own._replace(ready=False, leaving=True)
        self.leaving_since = now

    def list_forwarding_targets(self, region: str, now: float) -> list[Peer]:
        """Return the hosts of a region to which requests may be forwarded.

        Prefer hosts that serve callers: the others don't know the load of the endpoints.
        """
        usable = [
            peer
            for peer in self.peers.values()
            if peer.member.region == region
            and peer.member.ready
            and self.is_alive(peer, now)
            and now >= peer.backoff_until
        ]
        serving = {peer.member.name for peer in self.list_serving(region)}
        return [peer for peer in usable if peer.member.name in serving] or usable


@lru_cache(maxsize=MAX_CACHED_RANKS)
def rank_host(key: str, host: str) -> bytes:
    """Return a host's rank for a key by rendezvous hashing; all hosts compute the same order."""
    return hashlib.blake2b(f"{key} {host}".encode(), digest_size=8).digest()


def rank_by_capacity(member: Member) -> tuple[int, str]:
    """Return a sort key that puts the hosts with the largest capacity first."""
    return -member.capacity, member.name
