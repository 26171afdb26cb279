"""Lookups: the choice of the hosts that a caller sends its requests to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cloverway.core.members import MIN_NAMED_HOSTS, Member, Members, rank_by_capacity

CORE_S_PER_REQUEST = 0.007
"""CPU time of one request: 38 s for 5,000 requests under high load on a fleet of seven hosts,
including heartbeats and process starts."""
LINK_BITS_PER_REQUEST = 80_000
"""Bits per request on a host's link, in one direction: half of the requests have bodies of 9 to
18 KB, and each body is received and sent once."""
TARGET_UTILIZATION = 0.5
"""Planned utilization of the hosts that lookups name. The rest of their capacity absorbs bursts,
and the requests of a host that fails, for the seconds until more hosts are named. With 0.3, all
hosts of a large deployment were named at each peak."""
MIN_LOOKUP_AGE_S = 1.0
"""Age from which a host knows enough others to answer lookups: the first host that receives its
heartbeat sends it a list of hosts, and the heartbeats of all of its region follow."""
RECENTLY_STARTED_S = 3.0
"""Age up to which a host may not know all others yet."""
RECENTLY_STARTED_TTL_S = 0.5
"""TTL of the lookup answers of such a host."""


class Machine(NamedTuple):
    """Resources of the machine that a host runs on."""

    core_share: float = 1.0
    """Fraction of one core that is available to the host."""
    core_speed: float = 1.0
    """Speed of a core relative to a reference core."""
    link_mbps: float = 1000.0

    def estimate_capacity(self) -> int:
        """Return the maximum number of requests per second that the machine sustains."""
        by_cores = self.core_share * self.core_speed / CORE_S_PER_REQUEST
        by_link = self.link_mbps * 1e6 / LINK_BITS_PER_REQUEST
        return max(1, int(min(by_cores, by_link)))


def choose_lookup_ttl(ttl_s: float, age_s: float) -> float | None:
    """Return the TTL of a lookup answer of a host of some age; None if it must not answer yet.

    Just after a restart of all hosts, each of them knows only itself. If it answered with its own
    address, each small host would get callers and send their prompts as if it were the only host:
    engines received three times the prompt tokens that they can prefill in a second, and streams
    stalled for 10 s. Callers that get no new answer keep their old one, which names the largest
    hosts.
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
    """Return the addresses that a caller in a failure domain should use, at least one.

    Prefer hosts of the caller's domain, then of its region (including hosts that have just begun to
    leave), then of the region that is the home region of most routes of the requested host name.
    Traffic between domains is billed, and data with a residency must stay in its home regions.
    Return this host's own address if no other choice has a host.
    """
    own = members.own
    ready = [own] if own.ready else []
    ready += [peer.member for peer in members.list_alive(now) if peer.member.ready]
    leaving = members.list_leaving(now)
    max_home_routes = max((home_regions.get(member.region, 0) for member in ready), default=0)
    in_domain = [member for member in ready if member.domain == domain]
    choices: Iterable[Sequence[Member]] = (
        select_largest_hosts(in_domain, members.sum_request_rates(domain, now)),
        [member for member in ready if member.region == region],
        [member for member in leaving if member.region == region],
        [member for member in ready if home_regions.get(member.region, 0) == max_home_routes],
        ready,
        leaving,
    )
    chosen = next((choice for choice in choices if choice), [own])
    return sorted(member.caller_address for member in chosen)


def select_largest_hosts(hosts: Sequence[Member], requests_per_s: float) -> Sequence[Member]:
    """Return the largest hosts, as few as sustain the request rate at the target utilization.

    Each host learns of the other hosts' requests at an endpoint with a delay. The fewer hosts send,
    the fewer of them choose the same endpoint at the same time: with all 24 hosts of a region
    named, a third of the streams under low load had a gap over 600 ms, at engines that spent a
    quarter of their time on prefill. Callers choose among the named hosts at random, so the host
    with the lowest capacity sets the limit.
    """
    ranked = sorted(hosts, key=rank_by_capacity)
    counts = range(min(MIN_NAMED_HOSTS, len(ranked)), len(ranked) + 1)
    sustained = [
        (count * ranked[count - 1].capacity * TARGET_UTILIZATION, count)
        for count in counts
        if count
    ]
    count_needed = next((count for rate, count in sustained if rate >= requests_per_s), None)
    if count_needed is None:
        count_needed = max(sustained, default=(0.0, 0))[1]
    return ranked[:count_needed]
