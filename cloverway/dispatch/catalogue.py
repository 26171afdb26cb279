"""Indexes over one published configuration, computed once for each revision."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from cloverway.config.published import Published


class DomainCapacity(NamedTuple):
    """Configured capacity of one failure domain for one model or service."""

    domain: str
    region: str
    endpoints: int
    slots: int


class Catalogue:
    """Index of the failure domains that can serve a target, and of their hosts."""

    def __init__(self, published: Published) -> None:
        self.published = published
        self._capacities = _list_capacities(published)
        self._hosts: dict[str, list[str]] = defaultdict(list)
        for name, host in sorted(published.hosts.items()):
            self._hosts[host.domain].append(name)

    def list_capacities(self, target: str) -> list[DomainCapacity]:
        """Return the capacity of each failure domain with endpoints for a model or service."""
        return self._capacities.get(target, [])

    def list_hosts(self, domain: str) -> list[str]:
        """Return the names of a failure domain's hosts, sorted."""
        return self._hosts.get(domain, [])

    def get_latency_s(self, here: str, there: str) -> float:
        """Return the one-way network latency in seconds between two regions, or within one."""
        if here == there:
            return 0.001
        region_pair = (self.published.regions.get(here), self.published.regions.get(there))
        return max((region.trip_ms for region in region_pair if region), default=0.0) / 1000


def _list_capacities(published: Published) -> dict[str, list[DomainCapacity]]:
    counts: dict[tuple[str, str], list[int]] = defaultdict(list)
    for endpoint in published.endpoints.values():
        for target in (*endpoint.models, *endpoint.services):
            counts[target, endpoint.domain].append(endpoint.slots)
    capacities: dict[str, list[DomainCapacity]] = defaultdict(list)
    for (target, domain), slots in sorted(counts.items()):
        region = published.region_of(domain)
        capacities[target].append(DomainCapacity(domain, region, len(slots), sum(slots)))
    return dict(capacities)
