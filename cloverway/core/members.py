"""The hosts of the fleet: who is alive, ready or leaving, by what they say themselves."""

from __future__ import annotations

import hashlib
from functools import lru_cache
from typing import NamedTuple

from cloverway.core.decay import DecayingSum
from cloverway.core.load import EngineState

ALIVE_TIMEOUT_S = 1.5
"""A host that was not heard for this long is not named to callers nor given requests: several
heartbeats in a row, so that a lost datagram changes nothing."""
SMALL_REGION_HOSTS = 8
"""Hosts of a region up to which that time holds; in larger ones heartbeats are less frequent, and
it grows with them."""
MAX_ALIVE_TIMEOUT_S = 3.6
"""The longest such time."""
REMOTE_ALIVE_TIMEOUT_S = 4.0
"""The same for hosts of other regions, which send less often."""
REMOTE_HOSTS = 16
"""Hosts of other regions up to which that time holds; of more each is heard less often, by others,
and it grows with them."""
MAX_REMOTE_ALIVE_TIMEOUT_S = 8.0
"""The longest such time. With 4 s, four of 48 hosts were taken for gone and back each second."""
LEAVING_NAMED_S = 2.0
"""How long a leaving host is still named to callers where its region has no other: it takes
requests for longer than this, and sends to another region cost more than a short stay."""
RATE_HALF_LIFE_S = 2.0
"""Age at which a request counts half in a host's rate: callers keep the answer to a lookup about as
long, so a faster measure would lead them to and fro."""
ACTIVE_REQUESTS_PER_S = 1.5
"""Requests per second from which a host of a large region counts as one that serves callers. Hosts
that callers are not led to get fewer: those that try which configuration is in force."""
MIN_NAMED_HOSTS = 2
"""Hosts of a failure domain that callers are led to at least, where there are as many: a caller
whose host fails has another address at once."""
FORGET_AFTER_S = 30.0
"""Hosts that were not heard for this long are forgotten. Shares of common budgets are taken from
the hosts that are known, so one that is cut off must be counted for a good while."""


MISSED_HEARTBEATS = 2.5
"""Heartbeats of a host that speaks rarely, two of which may be lost before it counts as gone. A
host that serves nobody and is taken for alive a little longer, or for gone too soon, costs no
request; callers must not be led to it for eight seconds after its end."""
MAX_CACHED_RANKS = 4_096
"""Ranks that are kept: asked for ten times a second for each host of the own failure domain."""


class Member(NamedTuple):
    """A host as it describes itself."""

    name: str
    """Its address for other hosts, which no two hosts have at one time."""
    incarnation: int
    """Grows with each start of a host at the same address."""
    domain: str
    region: str
    caller_address: str
    """Address for callers."""
    forwarding_address: str
    """Address for requests that are passed on."""
    ready: bool = False
    leaving: bool = False
    capacity: int = 1
    """Requests per second that its machine bears."""


class AdvertisedCapacity(NamedTuple):
    """What a region can take of one service, as its hosts see it."""

    service: str
    wait_s: float
    """Time until the first event of a request that goes there now."""
    free_slots: int
    """Requests that may be sent there at once."""
    max_prompt_tokens: int
    """Prompt tokens of the largest of them."""
    engine: EngineState = EngineState(0.0, 0.0, 0.0, 0)
    """The best of its engines, where the service has some."""


class Peer:
    """Another host, and what is known of it."""

    def __init__(self, member: Member, heard_at: float) -> None:
        self.member = member
        self.heard_at = heard_at
        self.heard_directly_at = float("-inf")
        """When it was heard itself, not through others."""
        self.configuration_version = 0
        """The version of its configuration."""
        self.revision = 0
        """How far it has read the store, itself or through others."""
        self.digest = 0
        """Of the documents that it knows."""
        self.store_read_age_s = float("inf")
        """How long ago it read the store, when it was heard."""
        self.request_rate = 0.0
        """Requests of callers per second, when it was heard itself."""
        self.heartbeat_period_s = 0.0
        """Time between its heartbeats to its region, as it says."""
        self.advertised: dict[str, AdvertisedCapacity] = {}
        self.advertised_at = float("-inf")
        self.backoff_until = float("-inf")
        self.leaving_since: float | None = None


class Members:
    """All hosts that this one has heard of, itself left out."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.leaving_since: float | None = None
        self.peers: dict[str, Peer] = {}
        self._arrivals = DecayingSum(RATE_HALF_LIFE_S)
        self._region_size = 0

    def note_arrival(self, now: float) -> None:
        """Count a request of a caller at this host."""
        self._arrivals.add(1.0, now)

    def get_own_request_rate(self, now: float) -> float:
        """Give the requests of callers per second at this host."""
        return self._arrivals.get_rate(now)

    def sum_request_rates(self, domain: str, now: float) -> float:
        """Give the requests of callers per second at all hosts of a failure domain.

        Hosts that have fallen silent count as well: their callers come to the others.
        """
        rate = sum(
            peer.request_rate for peer in self.peers.values() if peer.member.domain == domain
        )
        return rate + (self.get_own_request_rate(now) if self.own.domain == domain else 0.0)

    def apply_state(self, member: Member, age_s: float, direct: bool, now: float) -> Peer | None:
        """Take over what a host says of itself, or what others say of it; None if it is older."""
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
        elif direct or heard_at > peer.heard_at:
            # Leaving is for good within one incarnation: late words of others must not undo it.
            leaving = member.leaving or peer.member.leaving
            peer.member = member._replace(leaving=leaving, ready=member.ready and not leaving)
        peer.heard_at = max(peer.heard_at, heard_at)
        if peer.member.leaving and peer.leaving_since is None:
            peer.leaving_since = now
        if direct:
            peer.heard_directly_at = now
        return peer

    def forget(self, now: float) -> list[str]:
        """Drop the hosts that were not heard for long; give their names."""
        gone = [name for name, peer in self.peers.items() if now - peer.heard_at > FORGET_AFTER_S]
        for name in gone:
            del self.peers[name]
        self._region_size = len(self.list_region())
        return gone

    def is_alive(self, peer: Peer, now: float) -> bool:
        """Tell whether a host was heard lately."""
        age_s = now - peer.heard_at
        if peer.member.region != self.own.region:
            far = len(self.peers) - self._region_size
            return age_s <= min(
                MAX_REMOTE_ALIVE_TIMEOUT_S, REMOTE_ALIVE_TIMEOUT_S * max(1.0, far / REMOTE_HOSTS)
            )
        bound_s = min(
            MAX_ALIVE_TIMEOUT_S, ALIVE_TIMEOUT_S * max(1.0, self._region_size / SMALL_REGION_HOSTS)
        )
        return age_s <= max(bound_s, MISSED_HEARTBEATS * peer.heartbeat_period_s)

    def list_alive(self, now: float) -> list[Peer]:
        """List the hosts that were heard lately."""
        return [peer for peer in self.peers.values() if self.is_alive(peer, now)]

    def count_hosts(self) -> int:
        """Give the number of hosts that are known, this one counted."""
        return len(self.peers) + 1

    def list_region(self) -> list[str]:
        """List the names of the hosts of this region that are known, this one left out."""
        return [n for n, peer in self.peers.items() if peer.member.region == self.own.region]

    def list_serving(self, region: str) -> list[Peer]:
        """List the hosts of a region that serve callers; all of them where there are few.

        They are told what the others have at endpoints. In larger regions, of which only few hosts
        serve callers, the others would get most of what is told and make no use of it.
        """
        peers = [peer for peer in self.peers.values() if peer.member.region == region]
        if len(peers) < SMALL_REGION_HOSTS:
            return peers
        named = self._list_named(region)
        return [
            p for p in peers if p.request_rate >= ACTIVE_REQUESTS_PER_S or p.member.name in named
        ]

    def is_serving(self, now: float) -> bool:
        """Tell whether this host serves callers, or belongs to a region with few hosts."""
        if (
            len(self.list_region()) < SMALL_REGION_HOSTS
            or self.get_own_request_rate(now) >= ACTIVE_REQUESTS_PER_S
        ):
            return True
        return self.own.name in self._list_named(self.own.region)

    def _list_named(self, region: str) -> set[str]:
        """Give the names of the hosts of a region that callers are led to also when few come."""
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
        """List the hosts that have begun to leave and still take requests, this one among them."""
        left = {peer.member: peer.leaving_since for peer in self.list_alive(now)}
        left[self.own] = self.leaving_since
        return [
            member
            for member, since in left.items()
            if since is not None and now - since <= LEAVING_NAMED_S
        ]

    def begin_leaving(self, now: float) -> None:
        """Note that this host leaves."""
        self.own = self.own._replace(ready=False, leaving=True)
        self.leaving_since = now

    def list_forwarding_targets(self, region: str, now: float) -> list[Peer]:
        """List the hosts of a region that may get requests passed on.

        Those that serve callers where there are some: the others don't know what is at the
        endpoints.
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
def rank_host(duty: str, host: str) -> bytes:
    """Give the rank of a host for a duty; the lowest do it, and all hosts agree who that is."""
    return hashlib.blake2b(f"{duty} {host}".encode(), digest_size=8).digest()


def rank_by_capacity(member: Member) -> tuple[int, str]:
    """Give the rank of a host among those that callers may be led to, the strongest first."""
    return -member.capacity, member.name
