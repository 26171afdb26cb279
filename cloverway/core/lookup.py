"""Which hosts callers are told to use."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cloverway.core.members import MIN_NAMED_HOSTS, Member, Members, rank_by_capacity

CORE_S_PER_REQUEST = 0.007
"""Time of one core for one request: 38 s of the processes' own code for 5,000 requests on a heavy
day of a fleet of seven hosts, heartbeats and starts included."""
LINK_BITS_PER_REQUEST = 80_000
"""Bits on a host's link in one direction for one request: half of the requests have bodies of 9 to
18 KB, and each goes in and out again."""
TARGET_UTILIZATION = 0.5
"""Part of its capacity that a named host is expected to use. What is left takes bursts, and the
requests of a host that fails, for the seconds until more hosts are named. With 0.3 all hosts were
named at each peak of a large deployment."""
MIN_LOOKUP_AGE_S = 1.0
"""Age from which a host knows enough others to lead callers: it is told of them by the first that
hears it, and hears all of its region with their next heartbeats."""
RECENTLY_STARTED_S = 3.0
"""Age up to which it may still miss some."""
RECENTLY_STARTED_TTL_S = 0.5
"""How long its answers hold until then."""


class Machine(NamedTuple):
    """What a host's machine gives it."""

    core_share: float = 1.0
    """Part of the time that a core works for it."""
    core_speed: float = 1.0
    """Against a core of common speed."""
    link_mbps: float = 1000.0

    def estimate_capacity(self) -> int:
        """Give the requests per second that the machine bears at most."""
        by_cores = self.core_share * self.core_speed / CORE_S_PER_REQUEST
        by_link = self.link_mbps * 1e6 / LINK_BITS_PER_REQUEST
        return max(1, int(min(by_cores, by_link)))


def choose_lookup_ttl(ttl_s: float, age_s: float) -> float | None:
    """Give how long callers may keep the answer of a host of some age; None when it has none.

    After a restart of all hosts, each of them knows only itself for a moment. Named by itself, each
    weak host got callers and sent their prompts as if it were alone: engines got three times what
    they can read in a second, and answers paused for ten. Callers without a new answer keep their
    old one, which names the strong hosts.
    """
    if age_s < MIN_LOOKUP_AGE_S:
        return None
    return min(ttl_s, RECENTLY_STARTED_TTL_S) if age_s < RECENTLY_STARTED_S else ttl_s


def choose_hosts_for_caller(
    members: Members,
    domain: str,
    region: str,
    home_regions: Mapping[str, int],
    now: float,
) -> list[str]:
    """Give the addresses that a caller in a failure domain should use, at least one.

    Its own domain first, then its region, also hosts there that have just begun to leave, then the
    region that is a home of most routes of what it asks for. Bytes between domains cost, and bound
    data must not go elsewhere. This host itself when it knows nobody better.
    """
    own = members.own
    ready = [own] if own.ready else []
    ready += [peer.member for peer in members.list_alive(now) if peer.member.ready]
    leaving = members.list_leaving(now)
    most = max((home_regions.get(member.region, 0) for member in ready), default=0)
    near = [member for member in ready if member.domain == domain]
    choices: Iterable[Sequence[Member]] = (
        select_strongest_hosts(near, members.sum_request_rates(domain, now)),
        [member for member in ready if member.region == region],
        [member for member in leaving if member.region == region],
        [member for member in ready if home_regions.get(member.region, 0) == most],
        ready,
        leaving,
    )
    chosen = next((choice for choice in choices if choice), [own])
    return sorted(member.caller_address for member in chosen)


def select_strongest_hosts(hosts: Sequence[Member], requests_per_s: float) -> Sequence[Member]:
    """Give the strongest hosts, as many as bear the requests of a failure domain with ease.

    Each host that sends to an endpoint knows of the others' requests a little late. The fewer send
    at once, the fewer choose the same endpoint by mistake: with all 24 hosts of a region named, a
    third of the streams on a calm day had a pause over 600 ms at engines that read a quarter of the
    time. Callers choose among the named at random, so the weakest of them sets the bound.
    """
    ranked = sorted(hosts, key=rank_by_capacity)
    counts = range(min(MIN_NAMED_HOSTS, len(ranked)), len(ranked) + 1)
    bears = [
        (count * ranked[count - 1].capacity * TARGET_UTILIZATION, count)
        for count in counts
        if count
    ]
    enough = next((count for borne, count in bears if borne >= requests_per_s), None)
    if enough is None:
        enough = max(bears, default=(0.0, 0))[1]
    return ranked[:enough]
