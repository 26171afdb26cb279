"""Which hosts there are, also those that this host can't reach now.

Each host uses a part of what all hosts share, without asking the others. The parts add up to no
more than the whole only if all hosts are counted: those that are cut off go on using theirs.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

REMEMBER_S = 3600.0
"""Time without a sign of a host after which it no longer counts. A cut that lasts longer than this
is taken for the end of the hosts behind it."""
REMEMBER_LEAVING_S = 30.0
"""The same for a host that has said that it leaves: its process ends soon."""
INTRODUCTION_S = 10.0
"""Time after its start in which a host learns of the others. It is longer than the time after which
hosts notice that they are cut off from each other."""


class HostCounts(NamedTuple):
    """The number of hosts of a failure domain and of its region, all that are remembered."""

    domain: int = 0
    """0 if the host that states it doesn't know."""
    region: int = 0


class _KnownHost(NamedTuple):
    domain: str
    region: str
    heard_at: float
    leaving: bool


class KnownHosts:
    """The other hosts that this process has heard of, and whether these are all.

    A process that has just started knows only the hosts that it can reach. It learns how many there
    are from a host of its region that knows, so that both count the same. If there is none, it must
    hear all seeds at one moment. All hosts have the same seeds, and of a fleet that is cut into
    parts only one part can contain them all, so only there such a process counts what it hears. The
    hosts of the other parts that knew the fleet before hear no seed then, and use nothing if some
    of their own domain or region are missing.
    """

    def __init__(
        self,
        own: str,
        domain: str,
        region: str,
        seeds: Iterable[str] = (),
        *,
        started_at: float = float("-inf"),
    ) -> None:
        self._own = own
        self._domain = domain
        self._region = region
        self.started_at = started_at
        self._hosts: dict[str, _KnownHost] = {}
        self._stated = HostCounts()
        """What other hosts have stated when this one was introduced."""
        self._stated_at = float("-inf")
        self._is_introduced = False
        self._hears_seed = False
        self._alive = HostCounts()
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the names of the hosts that this host was told of."""
        names = frozenset(seeds)
        self._is_seed = self._own in names
        self._other_seeds = names - {self._own}

    def record(
        self, name: str, domain: str, region: str, heard_at: float, *, leaving: bool = False
    ) -> None:
        """Record a sign of another host."""
        self._hosts[name] = _KnownHost(domain, region, heard_at, leaving)

    def record_stated(self, domain: str, counts: HostCounts, now: float) -> None:
        """Record the counts that a host of this region states; of another domain, only one holds.

        A host that knows already ignores them: otherwise each would repeat what the others state,
        and a host that is gone would count forever.
        """
        is_new = now - self.started_at < INTRODUCTION_S or not self._is_introduced
        if not counts.region or not is_new:
            return
        same_domain = domain == self._domain
        self._stated = HostCounts(
            max(self._stated.domain, counts.domain if same_domain else 0),
            max(self._stated.region, counts.region),
        )
        self._stated_at = now
        self._is_introduced |= same_domain

    def update(self, alive: Collection[str], now: float) -> None:
        """Apply which hosts are alive now; forget those that were silent for long."""
        heard_seeds = self._other_seeds.intersection(alive)
        self._hears_seed = self._is_seed or bool(heard_seeds)
        self._is_introduced |= heard_seeds == self._other_seeds
        self._hosts = {
            name: host
            for name, host in self._hosts.items()
            if now - host.heard_at <= (REMEMBER_LEAVING_S if host.leaving else REMEMBER_S)
        }
        if now - self._stated_at > REMEMBER_S:
            self._stated = HostCounts()
        self._alive = self._count(alive)

    def may_share_domain(self, now: float) -> bool:
        """Return whether this host may use its part of what is divided by its failure domain."""
        return self._may_share(now, self._alive.domain >= self.count_domain())

    def may_share_region(self, now: float) -> bool:
        """Return whether this host may use its part of what is divided by its region."""
        return self._may_share(now, self._alive.region >= self.count_region())

    def _may_share(self, now: float, is_whole: bool) -> bool:
        if not self._other_seeds:
            return True
        is_due = now - self.started_at >= INTRODUCTION_S
        return is_due and self._is_introduced and (self._hears_seed or is_whole)

    def count_domain(self) -> int:
        """Return the number of hosts of this failure domain, with this one."""
        return max(self._stated.domain, self._count(self._hosts).domain)

    def count_region(self) -> int:
        """Return the number of hosts of this region, with this one."""
        return max(self._stated.region, self._count(self._hosts).region)

    def state_counts(self) -> HostCounts:
        """Return what this host states to others: nothing if it doesn't know itself."""
        if self._other_seeds and not self._is_introduced:
            return HostCounts()
        return HostCounts(self.count_domain(), self.count_region())

    def list_region(self) -> list[str]:
        """Return the names of the other hosts of this region."""
        return [name for name, host in self._hosts.items() if host.region == self._region]

    def _count(self, names: Iterable[str]) -> HostCounts:
        hosts = [self._hosts[name] for name in names if name in self._hosts]
        return HostCounts(
            1 + sum(host.domain == self._domain for host in hosts),
            1 + sum(host.region == self._region for host in hosts),
        )


def compute_part(allowance: float, domains: int, domain_hosts: int) -> float:
    """Return the part of one host in an allowance of the fleet.

    Each failure domain has an equal part, which its known hosts divide. A host that starts while
    domains are cut off from each other knows only the hosts of its own; divided by all known hosts,
    each domain would use the whole allowance.
    """
    return allowance / max(1, domains) / max(1, domain_hosts)
