"""What a host believes of endpoints: who is there, who is leaving, who is cold or evacuated."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.deployment import (
    Configuration,
    ConfigurationPublished,
    DocumentUnreadable,
    EndpointEntry,
    EndpointPublished,
    EndpointUnreadable,
    EvacuationPublished,
    Publication,
    RouteTable,
    Topology,
)
from cloverway.core.load import EndpointLoad
from cloverway.core.statements import News, Statement, Statements

log = logging.getLogger(__name__)

MISSING_GRACE_S = 2.0
"""How long an endpoint whose entry was removed is still used. Entries lapse together while the
store is away and are back within two seconds; without the wait a host would have no endpoint at
all just then. An endpoint that leaves without a word works on for longer than this."""
RETURN_COLD_S = 2.0
"""How long the endpoints of a domain that was evacuated are taken for cold after it is taken back,
unless their entries say so themselves: a heartbeat of theirs is on its way for less than this."""
MISDIRECTED_S = 3.0
"""How long an endpoint gets nothing after another one has answered at its address: by then its own
entry has lapsed, or says where it is now. Each request that is led there would lose a try."""
REFUSED_S = 0.5
"""How long an endpoint gets nothing after nobody listened at its address: it has ended, and its
entry lapses only after its last heartbeats, or it starts again. One try each half second finds out
when it is back; requests wait that long for the only one."""
LONGEST_PAUSE_S = 3_600.0
"""The longest time for which an endpoint that asks for a pause is left alone: a number that is
wrong by a factor of a thousand must not take it out for good."""
MOST_PAUSES = 4_096
"""Lives of endpoints whose last pause is remembered."""
MOST_PAST_LIVES = 2_000
"""Endpoints that are gone whose last entry is remembered, so that an older one of theirs that comes
late isn't taken for a new endpoint's."""


class Endpoint:
    """One life of an endpoint: its entry, and what this host has learnt of it."""

    def __init__(self, entry: EndpointEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.load = EndpointLoad()
        self.missing_since: float | None = None
        self.cold_until = 0.0
        self.leaves_at: float | None = None
        self.last_cold_send = float("-inf")
        self.is_unreadable = False
        """Whether its entry can't be read any more."""
        self.misdirected_at = float("-inf")
        """When another endpoint answered at its address."""
        self.refused_at = float("-inf")
        """When nobody listened at its address."""
        self.has_said_leaving = False
        """Whether it has said in an answer that it leaves. Its entry tells later, and not at all
        while the store is away."""

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint must be loaded slowly."""
        return now < self.cold_until

    def is_down(self, now: float) -> bool:
        """Tell whether nobody listened at its address just now."""
        return now - self.refused_at < REFUSED_S

    def is_leaving(self, now: float) -> bool:
        """Tell whether the endpoint must get nothing new."""
        if self.entry.draining or self.leaves_at is not None or self.is_unreadable:
            return True
        if self.has_said_leaving:
            return True
        if now - self.misdirected_at < MISDIRECTED_S:
            return True
        return self.missing_since is not None and now - self.missing_since >= MISSING_GRACE_S


class Change(NamedTuple):
    """A belief that changed, for the log."""

    what: str
    subject: str
    detail: str = ""


class Directory:
    """The configuration in force and the endpoints, kept up by what is published."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.evacuated: set[str] = set()
        self.endpoints: dict[str, Endpoint] = {}
        self.statements = Statements()
        """What endpoints say of themselves in their answers."""
        self._paused_until: OrderedDict[str, float] = OrderedDict()
        """Until when each life of an endpoint wants nothing from this host."""
        self._past_lives: OrderedDict[str, EndpointEntry] = OrderedDict()
        """The last entries of endpoints that are gone."""
        self._by_service: dict[str, list[Endpoint]] = {}

    def apply(self, publications: Iterable[Publication], now: float) -> list[Change]:
        """Take over what was published; give what changed."""
        changes = [change for item in publications for change in self._apply(item, now)]
        self._index()
        return changes

    def list_usable(self, service: str, now: float) -> list[Endpoint]:
        """List the endpoints of a service that may get new requests."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.entry.domain not in self.evacuated
            and not endpoint.is_leaving(now)
            and not endpoint.is_down(now)
        ]

    def note_statement(self, life: str, statement: Statement) -> tuple[News, ...]:
        """Take over what a life of an endpoint has said of itself; give what is new of that."""
        news = self.statements.note(life, statement)
        if News.LEAVING in news:
            for endpoint in self.endpoints.values():
                endpoint.has_said_leaving |= endpoint.entry.incarnation == life
        return news

    def list_statements(self, since: float) -> list[tuple[str, Statement]]:
        """List what endpoints that are there have said, and the limits that ended after a time."""
        lives = {endpoint.entry.incarnation for endpoint in self.endpoints.values()}
        return [item for item in self.statements.list_since(since) if item[0] in lives]

    def note_pause(self, life: str, seconds: float, now: float) -> None:
        """Note that a life of an endpoint wants nothing from this host for some time."""
        until = now + min(seconds, LONGEST_PAUSE_S)
        self._paused_until[life] = max(until, self._paused_until.get(life, until))
        self._paused_until.move_to_end(life)
        if len(self._paused_until) > MOST_PAUSES:
            self._paused_until.popitem(last=False)

    def get_pause_s(self, endpoint: Endpoint, now: float) -> float:
        """Give the seconds for which an endpoint still wants nothing from this host."""
        return max(0.0, self._paused_until.get(endpoint.entry.incarnation, 0.0) - now)

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint names a limit for all hosts together."""
        return self.statements.get(endpoint.entry.incarnation).limit_per_s is not None

    def count_limited(self) -> int:
        """Count the endpoints that name a limit."""
        return sum(map(self.is_limited, self.endpoints.values()))

    def note_born(self, name: str, born_ms: int, now: float) -> list[Change]:
        """Note when the endpoint at an address started, by its own word; give what changed.

        Its entry comes later. Until then the new life is taken to be as cold as its service is
        after a start: loaded like the one before, it could end again at once.
        """
        endpoint = self.endpoints.get(name)
        if (
            endpoint is None
            or endpoint.entry.started_ms is None
            or born_ms <= endpoint.entry.started_ms
        ):
            return []
        entry = endpoint.entry._replace(
            started_ms=born_ms,
            draining=False,
            removal_in_s=None,
            cold_s=self._get_cold_s(endpoint.entry.service),
        )
        changes = self._apply_entry(entry, now)
        self._index()
        return changes

    def forget_missing(self, now: float) -> list[Change]:
        """Drop the endpoints whose entries stayed away."""
        gone = [
            endpoint.entry.id
            for endpoint in self.endpoints.values()
            if endpoint.missing_since is not None and endpoint.is_leaving(now)
        ]
        for name in gone:
            self._note_past_life(self.endpoints.pop(name).entry)
        if gone:
            self._index()
        return [Change("endpoint_gone", name) for name in gone]

    def _apply(self, item: Publication, now: float) -> list[Change]:
        match item:
            case ConfigurationPublished(configuration):
                return self._apply_configuration(configuration)
            case EvacuationPublished(domain, active):
                return self._apply_evacuation(domain, active, now)
            case DocumentUnreadable(key, why):
                return [Change("document_unreadable", key, why)]
            case EndpointUnreadable(name, why):
                return self._apply_unreadable(name, why)
            case EndpointPublished(name, None):
                return self._apply_removal(name, now)
            case EndpointPublished(_, entry):
                assert entry is not None
                return self._apply_entry(entry, now)

    def _apply_configuration(self, configuration: Configuration) -> list[Change]:
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            # A stale read must never bring an older version back: callers would see routes vanish
            # that they have already used.
            return []
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        return [Change("configuration", str(configuration.version))]

    def _apply_evacuation(self, domain: str, active: bool, now: float) -> list[Change]:
        if active == (domain in self.evacuated):
            return []
        if domain not in self.topology.regions:
            return [Change("evacuation_unknown", domain)]
        if active:
            self.evacuated.add(domain)
            return [Change("evacuated", domain)]
        self.evacuated.discard(domain)
        for endpoint in self.endpoints.values():
            if endpoint.entry.domain == domain:
                endpoint.cold_until = max(endpoint.cold_until, now + RETURN_COLD_S)
        return [Change("taken_back", domain)]

    def _apply_removal(self, name: str, now: float) -> list[Change]:
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.missing_since is not None:
            return []
        endpoint.missing_since = now
        return [Change("endpoint_missing", name)]

    def _apply_unreadable(self, name: str, why: str) -> list[Change]:
        """Give an endpoint nothing new while its entry can't be read.

        It may be another writer's doing, so what is known of the endpoint is kept: with the next
        good entry it is back at once.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.is_unreadable = True
        return [Change("endpoint_unreadable", name, why)]

    def _apply_entry(self, entry: EndpointEntry, now: float) -> list[Change]:
        endpoint = self.endpoints.get(entry.id)
        known = endpoint.entry if endpoint is not None else self._past_lives.get(entry.id)
        if known is not None and known.started_ms is not None:
            if entry.started_ms is None:
                return self._apply_unreadable(entry.id, "the start is missing")
            if entry.started_ms < known.started_ms:
                # Written before the endpoint started again, and come late.
                return []
        if endpoint is None:
            endpoint = self._add(entry)
            change = Change("endpoint_new", entry.id, entry.address)
        elif entry.started_ms != endpoint.entry.started_ms:
            # It holds and knows nothing of before: not what it was sent, not that it drained.
            # Taken for the same, others would fetch prompts from its empty memory.
            endpoint = self._add(entry)
            change = Change("endpoint_reborn", entry.id, entry.incarnation)
        elif entry.draining and not endpoint.entry.draining:
            change = Change("endpoint_draining", entry.id)
        elif endpoint.missing_since is not None or endpoint.is_unreadable:
            change = Change("endpoint_back", entry.id)
        else:
            change = None
        self._update(endpoint, entry, now)
        return [change] if change is not None else []

    def _add(self, entry: EndpointEntry) -> Endpoint:
        region = self.topology.region_of(entry.domain)
        past = self._past_lives.pop(entry.id, None)
        if past is not None and past.started_ms == entry.started_ms:
            entry = entry._replace(draining=entry.draining or past.draining)
        endpoint = self.endpoints[entry.id] = Endpoint(entry, region)
        endpoint.has_said_leaving = self.statements.get(entry.incarnation).leaving
        return endpoint

    def _update(self, endpoint: Endpoint, entry: EndpointEntry, now: float) -> None:
        """Take over a new entry of the same life."""
        if entry.address != endpoint.entry.address:
            endpoint.misdirected_at = float("-inf")
            endpoint.refused_at = float("-inf")
        # Draining is for good in one life: an older entry that arrives late must not revive it.
        draining = entry.draining or endpoint.entry.draining
        endpoint.entry = entry._replace(draining=draining)
        endpoint.missing_since = None
        endpoint.is_unreadable = False
        endpoint.cold_until = (
            now + entry.cold_s if entry.cold_s > 0 else min(endpoint.cold_until, now)
        )
        if entry.removal_in_s is not None:
            endpoint.leaves_at = now + entry.removal_in_s

    def _get_cold_s(self, service: str) -> float:
        configuration = self.configuration
        found = configuration.services.get(service) if configuration is not None else None
        return found.cold_s if found is not None else 0.0

    def _note_past_life(self, entry: EndpointEntry) -> None:
        self._past_lives[entry.id] = entry
        if len(self._past_lives) > MOST_PAST_LIVES:
            self._past_lives.popitem(last=False)

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self.endpoints.values():
            self._by_service.setdefault(endpoint.entry.service, []).append(endpoint)
