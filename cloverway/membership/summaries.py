"""What failure domains tell each other: levels of capacity, live hosts and a revision. Pure."""

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
    identify,
    parse_incarnation,
    tag_of,
)
from cloverway.membership.view import EndpointState, HostState, Summary

SPEAKERS = 2
"""Hosts of a domain that tell other domains; one may be dead without a gap."""
FAR_FANOUT = 4
"""Failure domains of other regions that a speaker tells in one period."""
RELAY_S_PER_DOMAIN = 0.4
"""Each summary is told again within a failure domain once in this time for each other domain."""
NEAR_RELAY_PERIODS = 2
SOONER = 2
"""A summary with a change that matters may be told so many times as often."""
LOST_PERIODS = 3
"""Missed summaries after which a failure domain counts as cut off."""
HOSTS = 24
"""Hosts that a summary names, those with the least load first."""
TARGETS = 64
"""Models and services that a summary names: it must fit one datagram."""


class Told(NamedTuple):
    """A summary with the time it was true at."""

    summary: DomainSummary
    at: float
    direct: bool
    """Told by the failure domain itself, and not yet judged whether siblings are to know."""
    relayed: DomainSummary | None = None
    """What siblings were last told, or told this host."""
    relayed_at: float = float("-inf")


class Summaries:
    """The summaries of all other failure domains that one host knows."""

    def __init__(self, domain: str, summary_s: float) -> None:
        self.domain = domain
        self._summary_s = summary_s
        self._told: dict[str, Told] = {}
        self._published: Published | None = None
        self._near: tuple[str, ...] = ()
        self._far: tuple[str, ...] = ()
        self._hosts: dict[int, str] = {}
        self._targets: dict[int, str] = {}

    def adopt(self, published: Published) -> None:
        """Take the published failure domains, hosts and targets; forget what is gone."""
        self._published = published
        region = published.region_of(self.domain)
        others = sorted(name for name in published.domains if name != self.domain)
        self._near = tuple(name for name in others if published.region_of(name) == region)
        self._far = tuple(name for name in others if published.region_of(name) != region)
        self._told = {name: self._told[name] for name in others if name in self._told}
        self._hosts = {identify(name): name for name in published.hosts}
        targets = itertools.chain.from_iterable(
            (*endpoint.models, *endpoint.services) for endpoint in published.endpoints.values()
        )
        profiles = (profile.target for profile in published.profiles.values())
        self._targets = {identify(name): name for name in itertools.chain(targets, profiles)}

    def lost_s(self, domain: str) -> float:
        """Silence after which a failure domain counts as cut off, in seconds."""
        if domain in self._near:
            return LOST_PERIODS * (1 + NEAR_RELAY_PERIODS) * self._summary_s
        rounds = max(1, -(-len(self._far) // FAR_FANOUT))
        return LOST_PERIODS * (self._summary_s * rounds + self._relay_s)

    @property
    def _relay_s(self) -> float:
        others = len(self._near) + len(self._far)
        return max(self._summary_s, RELAY_S_PER_DOMAIN * others)

    def plan(self, turn: int, near_only: bool = False) -> list[str]:
        """Choose the failure domains to tell in one period: all of the region, some of the rest."""
        if near_only or not self._far:
            return list(self._near)
        count = min(FAR_FANOUT, len(self._far))
        start = turn * count % len(self._far)
        return [*self._near, *itertools.islice(itertools.cycle(self._far), start, start + count)]

    def take(self, summary: DomainSummary, at: float, direct: bool) -> bool:
        """Take a summary when it is later than what is known; tell whether it is."""
        if summary.domain == self.domain or self._published is None:
            return False
        if summary.domain not in self._published.domains:
            return False
        true_at = at - summary.age_s
        known = self._told.get(summary.domain)
        if known and true_at <= known.at:
            if not direct:
                # Siblings have a copy, if an older one: to tell ours too would double the bytes.
                self._told[summary.domain] = known._replace(relayed=summary, relayed_at=at)
            return False
        told = Told(summary, true_at, direct)
        if not direct:
            told = told._replace(relayed=summary, relayed_at=at)
        elif known:
            told = told._replace(relayed=known.relayed, relayed_at=known.relayed_at)
        self._told[summary.domain] = told
        return True

    def to_relay(self, now: float) -> list[DomainSummary]:
        """Give the summaries that siblings lack: changes that matter soon, the rest seldom.

        Each copy is judged once, by the host that was told. Where all hosts that were ever told
        waited for the same moment, two of them told the same at once.
        """
        direct = {name: told for name, told in self._told.items() if told.direct}
        due = {name for name, told in direct.items() if self._is_due(told, now)}
        for name, told in direct.items():
            judged = told._replace(direct=False)
            if name in due:
                judged = judged._replace(relayed=told.summary, relayed_at=now)
            self._told[name] = judged
        return [direct[name].summary._replace(age_s=now - direct[name].at) for name in sorted(due)]

    def hosts_to_tell(self, domain: str) -> list[tuple[str, int]]:
        """List (host, tag) of a failure domain's hosts; tag 0 where no incarnation is known."""
        told = self._told.get(domain)
        rows = told.summary.hosts if told else ()
        live = {row.host: tag_of(row.incarnation) for row in rows}
        names = self._published.hosts_of(domain) if self._published else []
        known = [(name, live[identify(name)]) for name in names if identify(name) in live]
        return known or [(name, 0) for name in names]

    def host_states(self, now: float) -> Iterator[HostState]:
        """Give the live hosts of other failure domains for the view."""
        for told in self._fresh(now):
            for row in told.summary.hosts:
                name = self._hosts.get(row.host)
                if name:
                    yield HostState(
                        name=name,
                        domain=told.summary.domain,
                        incarnation=format_incarnation(row.incarnation),
                        leaving=row.level == LEAVING_LEVEL,
                        load=max(0, row.level) / 100,
                        revision=told.summary.revision,
                        # It is live by the bound for its failure domain, whose summaries come
                        # more seldom than the heartbeats that readers of the view reckon with.
                        heard_at=now,
                    )

    def states(self, now: float) -> dict[tuple[str, str], Summary]:
        """Give the capacity of other failure domains for the view."""
        return {
            (told.summary.domain, target): Summary(
                domain=told.summary.domain,
                target=target,
                ready=row.ready,
                free=row.free,
                waiting=row.waiting,
                at=told.at,
            )
            for told in self._fresh(now)
            for row in told.summary.targets
            if (target := self._targets.get(row.target))
        }

    def _fresh(self, now: float) -> Iterable[Told]:
        return [told for name, told in self._told.items() if now - told.at < self.lost_s(name)]

    def _is_due(self, told: Told, now: float) -> bool:
        near = told.summary.domain in self._near
        period_s = NEAR_RELAY_PERIODS * self._summary_s if near else self._relay_s
        waited_s = now - told.relayed_at
        if told.relayed is None or waited_s >= period_s:
            return True
        changed = _list_alarms(told.relayed) != _list_alarms(told.summary)
        return changed and waited_s >= period_s / SOONER


def summarise(
    domain: str,
    revision: int,
    hosts: Iterable[HostState],
    endpoints: Mapping[str, EndpointState],
) -> DomainSummary:
    """Give the summary of the own failure domain. A host that is overloaded is told as leaving."""
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
        hosts=tuple(map(_level_host, sorted(hosts, key=_rank_host)[:HOSTS])),
        targets=tuple(
            TargetLevel(identify(target), *row) for target, row in sorted(rows.items())[:TARGETS]
        ),
    )


def _rank_host(host: HostState) -> tuple[bool, bool, float, str]:
    return host.leaving, host.overloaded, host.load, host.name


def _level_host(host: HostState) -> HostLevel:
    away = host.leaving or host.overloaded
    level = LEAVING_LEVEL if away else round(host.load * 4) * 25
    return HostLevel(identify(host.name), parse_incarnation(host.incarnation), level)


def _list_alarms(summary: DomainSummary) -> tuple[Any, ...]:
    """Give what siblings are to know soon: which hosts are there, and what is ready.

    Free slots change all the time under load; to tell each change at once cost 1.6 KB/s.
    """
    hosts = {(row.host, row.incarnation, row.level == LEAVING_LEVEL) for row in summary.hosts}
    targets = {(row.target, row.ready) for row in summary.targets}
    return hosts, targets
