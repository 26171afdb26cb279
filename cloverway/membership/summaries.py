"""Summaries that failure domains exchange: capacity, live hosts and configuration revision.

Some hosts of each failure domain send its summary to one host of another domain, which relays it
to its siblings. A domain of the same region gets every summary, domains of other regions in turn.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from cloverway.config.published import Published
from cloverway.membership.heartbeats import (
    LEAVING_LEVEL,
    DomainSummary,
    HostLevel,
    TargetLevel,
    format_incarnation,
    get_incarnation_tag,
    hash_name,
    parse_incarnation,
)
from cloverway.membership.view import EndpointState, HostState, Summary

SUMMARY_SENDERS = 2
"""Hosts of a domain that send its summary to other domains; one may be dead without a gap."""
REMOTE_FANOUT = 4
"""Failure domains of other regions to which a host sends the summary in one period."""
RELAY_S_PER_DOMAIN = 0.4
"""A summary from another region is relayed within a failure domain once per this time, multiplied
by the number of other domains, so that the total relay rate does not grow with them."""
REGION_RELAY_PERIODS = 2
"""Summary periods between two relays of a summary from the same region."""
URGENT_RELAY_FACTOR = 2
"""A summary with an urgent change may be relayed this many times as often."""
MAX_MISSED_SUMMARIES = 3
"""Missed summaries after which a failure domain counts as unreachable."""
MAX_HOSTS = 24
"""Maximum number of hosts in a summary; those with the least load are kept."""
MAX_TARGETS = 64
"""Maximum number of models and services in a summary, which must fit into one datagram."""


class SummaryRecord(NamedTuple):
    """A summary with the time at which it was current."""

    summary: DomainSummary
    at: float
    direct: bool
    """Whether it came from the failure domain itself and `take_due_relays` has not processed it."""
    relayed: DomainSummary | None = None
    """The summary that was last relayed to or by siblings."""
    relayed_at: float = float("-inf")
    grace_until: float = float("-inf")
    """Until when the failure domain counts as reachable regardless of its silence."""


class Summaries:
    """The summaries of all other failure domains that one host knows."""

    def __init__(self, domain: str, summary_s: float) -> None:
        self.domain = domain
        self._summary_s = summary_s
        self._records: dict[str, SummaryRecord] = {}
        self._published: Published | None = None
        self._region_domains: tuple[str, ...] = ()
        self._remote_domains: tuple[str, ...] = ()
        self._hosts: dict[int, str] = {}
        self._targets: dict[int, str] = {}

    def adopt(self, published: Published) -> None:
        """Apply the published failure domains, hosts and targets; drop those that were removed."""
        self._published = published
        region = published.region_of(self.domain)
        others = sorted(name for name in published.domains if name != self.domain)
        self._region_domains = tuple(name for name in others if published.region_of(name) == region)
        self._remote_domains = tuple(name for name in others if published.region_of(name) != region)
        self._records = {name: self._records[name] for name in others if name in self._records}
        self._hosts = {hash_name(name): name for name in published.hosts}
        targets = itertools.chain.from_iterable(
            (*endpoint.models, *endpoint.services) for endpoint in published.endpoints.values()
        )
        profiles = (profile.target for profile in published.profiles.values())
        self._targets = {hash_name(name): name for name in itertools.chain(targets, profiles)}

    def get_loss_timeout(self, domain: str) -> float:
        """Return the silence after which a failure domain counts as unreachable, in seconds."""
        if domain in self._region_domains:
            return MAX_MISSED_SUMMARIES * (1 + REGION_RELAY_PERIODS) * self._summary_s
        rounds = max(1, -(-len(self._remote_domains) // REMOTE_FANOUT))
        return MAX_MISSED_SUMMARIES * (self._summary_s * rounds + self._relay_s)

    @property
    def _relay_s(self) -> float:
        others = len(self._region_domains) + len(self._remote_domains)
        return max(self._summary_s, RELAY_S_PER_DOMAIN * others)

    def choose_domains(self, turn: int, region_only: bool = False) -> list[str]:
        """Choose the recipients of one period: all domains of the region, and some of the rest."""
        if region_only or not self._remote_domains:
            return list(self._region_domains)
        count = min(REMOTE_FANOUT, len(self._remote_domains))
        start = turn * count % len(self._remote_domains)
        return [
            *self._region_domains,
            *itertools.islice(itertools.cycle(self._remote_domains), start, start + count),
        ]

    def apply(self, summary: DomainSummary, at: float, direct: bool) -> bool:
        """Apply a summary if it is newer than the known one; return whether it is."""
        if summary.domain == self.domain or self._published is None:
            return False
        if summary.domain not in self._published.domains:
            return False
        current_at = at - summary.age_s
        known = self._records.get(summary.domain)
        if known and current_at <= known.at:
            if not direct:
                # Siblings have a copy, possibly an older one. Relaying ours too would double the
                # traffic.
                self._records[summary.domain] = known._replace(relayed=summary, relayed_at=at)
            return False
        record = SummaryRecord(summary, current_at, direct)
        if not direct:
            record = record._replace(relayed=summary, relayed_at=at)
        elif known:
            record = record._replace(relayed=known.relayed, relayed_at=known.relayed_at)
        if known:
            record = record._replace(grace_until=known.grace_until)
        self._records[summary.domain] = record
        return True

    def resume(self, paused_at: float, now: float) -> None:
        """Record that this process was paused between two times.

        The other failure domains were not silent, this process could not receive. Each one that
        was reachable before the pause gets its full timeout again.
        """
        for name in self._list_current(paused_at):
            grace_until = now + self.get_loss_timeout(name)
            self._records[name] = self._records[name]._replace(grace_until=grace_until)

    def take_due_relays(self, now: float) -> list[DomainSummary]:
        """Return the summaries to relay to siblings: urgent changes soon, the rest rarely.

        Each copy is checked only once, by the host that received it. If all hosts that ever
        received one checked again later, two of them would relay the same summary at once.
        """
        direct = {name: record for name, record in self._records.items() if record.direct}
        due = {name for name, record in direct.items() if self._is_due(record, now)}
        for name, record in direct.items():
            updated = record._replace(direct=False)
            if name in due:
                updated = updated._replace(relayed=record.summary, relayed_at=now)
            self._records[name] = updated
        return [direct[name].summary._replace(age_s=now - direct[name].at) for name in sorted(due)]

    def list_recipients(self, domain: str) -> list[tuple[str, int]]:
        """List (host, tag) of a failure domain's hosts; the tag is 0 for unknown incarnations."""
        record = self._records.get(domain)
        rows = record.summary.hosts if record else ()
        live = {row.host: get_incarnation_tag(row.incarnation) for row in rows}
        names = self._published.hosts_of(domain) if self._published else []
        known = [(name, live[hash_name(name)]) for name in names if hash_name(name) in live]
        return known or [(name, 0) for name in names]

    def make_host_states(self, now: float) -> Iterator[HostState]:
        """Yield the live hosts of other failure domains for the view."""
        for record in self._list_current(now).values():
            for row in record.summary.hosts:
                name = self._hosts.get(row.host)
                if name:
                    yield HostState(
                        name=name,
                        domain=record.summary.domain,
                        incarnation=format_incarnation(row.incarnation),
                        leaving=row.level == LEAVING_LEVEL,
                        load=max(0, row.level) / 100,
                        revision=record.summary.revision,
                        # The host is live because its failure domain is. Summaries arrive less
                        # often than the heartbeats that readers of the view expect, so the time
                        # of the summary would make the host look dead.
                        heard_at=now,
                    )

    def get_states(self, now: float) -> dict[tuple[str, str], Summary]:
        """Return the capacity of other failure domains, by (failure domain, target)."""
        return {
            (record.summary.domain, target): Summary(
                domain=record.summary.domain,
                target=target,
                ready=row.ready,
                free=row.free,
                waiting=row.waiting,
                at=record.at,
                usable_until=self._get_usable_until(record),
            )
            for record in self._list_current(now).values()
            for row in record.summary.targets
            if (target := self._targets.get(row.target))
        }

    def _list_current(self, now: float) -> dict[str, SummaryRecord]:
        """Return the summaries of the failure domains that count as reachable, by domain."""
        return {
            name: record
            for name, record in self._records.items()
            if now < self._get_usable_until(record)
        }

    def _get_usable_until(self, record: SummaryRecord) -> float:
        silent_at = record.at + self.get_loss_timeout(record.summary.domain)
        return max(silent_at, record.grace_until)

    def _is_due(self, record: SummaryRecord, now: float) -> bool:
        in_region = record.summary.domain in self._region_domains
        period_s = REGION_RELAY_PERIODS * self._summary_s if in_region else self._relay_s
        waited_s = now - record.relayed_at
        if record.relayed is None or waited_s >= period_s:
            return True
        changed = _get_urgent_fields(record.relayed) != _get_urgent_fields(record.summary)
        return changed and waited_s >= period_s / URGENT_RELAY_FACTOR


def summarize_domain(
    domain: str,
    revision: int,
    hosts: Iterable[HostState],
    endpoints: Mapping[str, EndpointState],
) -> DomainSummary:
    """Return the summary of a failure domain; an overloaded host is listed as leaving."""
    rows: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for state in endpoints.values():
        if not state.ready or state.leaving:
            continue
        free = max(0, state.slots - state.running - state.waiting)
        for target in state.models:
            row = rows[target]
            row[0] += 1
            row[1] += free
            row[2] += state.waiting
    return DomainSummary(
        domain=domain,
        age_s=0.0,
        revision=revision,
        hosts=tuple(map(_make_host_level, sorted(hosts, key=_get_host_rank)[:MAX_HOSTS])),
        targets=tuple(
            TargetLevel(hash_name(target), *row)
            for target, row in sorted(rows.items())[:MAX_TARGETS]
        ),
    )


def _get_host_rank(host: HostState) -> tuple[bool, bool, float, str]:
    return host.leaving, host.overloaded, host.load, host.name


def _make_host_level(host: HostState) -> HostLevel:
    away = host.leaving or host.overloaded
    level = LEAVING_LEVEL if away else round(host.load * 4) * 25
    return HostLevel(hash_name(host.name), parse_incarnation(host.incarnation), level)


def _get_urgent_fields(summary: DomainSummary) -> tuple[Any, ...]:
    """Return the fields whose changes are relayed sooner: the hosts, and the ready endpoints.

    Free slots change constantly under load; relaying each change at once would take 1.6 KB/s.
    """
    hosts = {(row.host, row.incarnation, row.level == LEAVING_LEVEL) for row in summary.hosts}
    targets = {(row.target, row.ready) for row in summary.targets}
    return hosts, targets
