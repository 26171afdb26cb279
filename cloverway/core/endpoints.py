"""The configuration in force and the endpoints as known to a host, updated by publications."""

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
from cloverway.core.endpoint import Endpoint
from cloverway.core.statements import Statement, StatementChange, Statements
from cloverway.core.stream_origins import StreamOrigin
from cloverway.core.versions import RouteHistory, VersionHistory

log = logging.getLogger(__name__)

POST_EVACUATION_COLD_S = 2.0
"""How long the endpoints of an evacuated domain are treated as cold after the end of the
evacuation, unless their entries say that they are cold: a heartbeat of theirs arrives in less
time."""
LOST_EVACUATION_GRACE_S = 5.0
"""How long an evacuation stays in force after the store has lost it. Operators write it again, and
a domain that they have emptied may be out of service."""
MAX_PAUSE_S = 3_600.0
"""Upper bound of a pause that an endpoint asks for: a value that is wrong by a factor of a thousand
must not remove it permanently."""
MAX_PAUSES = 4_096
"""Incarnations of endpoints whose last pause is remembered."""
MAX_PAST_ENTRIES = 2_000
"""Removed endpoints whose last entry is remembered, so that an older entry that arrives late is not
treated as that of a new endpoint."""


class Change(NamedTuple):
    """A change of the directory, for the log."""

    what: str
    subject: str
    detail: str = ""


class Directory:
    """The configuration in force and the endpoints, updated by publications."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.configuration: Configuration | None = None
        self.routes = RouteTable(())
        self.route_history = RouteHistory()
        self.versions = VersionHistory()
        self.evacuated: set[str] = set()
        self.lost_evacuations: dict[str, float] = {}
        """Evacuated domains whose evacuation the store has lost, with the time of that."""
        self.endpoints: dict[str, Endpoint] = {}
        self.statements = Statements()
        """Announcements that endpoints make about themselves in responses."""
        self._paused_until: OrderedDict[str, float] = OrderedDict()
        """Time until which each incarnation of an endpoint asked this host for no requests."""
        self._past_entries: OrderedDict[str, EndpointEntry] = OrderedDict()
        """The last entries of removed endpoints, by id."""
        self._by_service: dict[str, list[Endpoint]] = {}

    def apply(
        self, publications: Iterable[Publication], now: float, *, follows_loss: bool = False
    ) -> list[Change]:
        """Apply publications and return the changes.

        `follows_loss` tells that the store has lost writes just before: a document that is missing
        was not deleted, and is written again.
        """
        changes = [
            change for item in publications for change in self._apply(item, now, follows_loss)
        ]
        self._index()
        return changes

    def list_usable(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new requests."""
        staying = self._list_staying(service, now)
        return [endpoint for endpoint in staying if not endpoint.is_down(now)]

    def _list_staying(self, service: str, now: float) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.entry.domain not in self.evacuated and not endpoint.is_leaving(now)
        ]

    def list_by_origin(self, origin: StreamOrigin, now: float) -> list[Endpoint]:
        """Return the endpoints that may continue a stream, also those that are down just now."""
        return [
            endpoint
            for endpoint in self._list_staying(origin.service, now)
            if endpoint.entry.version == origin.version
        ]

    def find_only_version(self, service: str, life_s: float, now: float) -> str | None:
        """Return the only version of a service that served within `life_s`, if that is certain."""
        return self.versions.find_only(service, self._list_versions(service), life_s, now)

    def list_recent_versions(self, service: str, life_s: float, now: float) -> set[str]:
        """Return the versions of a service that are known to have served within `life_s`."""
        return self.versions.list_recent(service, self._list_versions(service), life_s, now)

    def _list_versions(self, service: str) -> set[str]:
        return {endpoint.entry.version for endpoint in self._by_service.get(service, ())}

    def find_only_service(self, host: str, path: str, life_s: float, now: float) -> str | None:
        """Return the only service that a path led to within `life_s`, if that is certain."""
        return self.route_history.find_only_service(self.routes, host, path, life_s, now)

    def record_statement(
        self, incarnation: str, statement: Statement
    ) -> tuple[StatementChange, ...]:
        """Apply the statement of an incarnation of an endpoint; return what changed."""
        changes = self.statements.record(incarnation, statement)
        if StatementChange.LEAVING in changes:
            for endpoint in self.endpoints.values():
                endpoint.has_announced_leaving |= endpoint.entry.incarnation == incarnation
        return changes

    def list_statements(self, since: float) -> list[tuple[str, Statement]]:
        """Return the statements of present endpoints and the limits that ended since a time."""
        incarnations = {endpoint.entry.incarnation for endpoint in self.endpoints.values()}
        return [item for item in self.statements.list_since(since) if item[0] in incarnations]

    def record_pause(self, incarnation: str, seconds: float, now: float) -> None:
        """Record that an incarnation of an endpoint asked this host for no requests for a time."""
        until = now + min(seconds, MAX_PAUSE_S)
        self._paused_until[incarnation] = max(until, self._paused_until.get(incarnation, until))
        self._paused_until.move_to_end(incarnation)
        if len(self._paused_until) > MAX_PAUSES:
            self._paused_until.popitem(last=False)

    def get_pause_s(self, endpoint: Endpoint, now: float) -> float:
        """Return the seconds left of the pause that an endpoint asked this host for, or 0."""
        return max(0.0, self._paused_until.get(endpoint.entry.incarnation, 0.0) - now)

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has announced a rate limit for all hosts together."""
        return self.statements.get(endpoint.entry.incarnation).limit_per_s is not None

    def count_limited(self) -> int:
        """Return the number of endpoints with a rate limit."""
        return sum(map(self.is_limited, self.endpoints.values()))

    def record_restart(self, name: str, new_start_ms: int, now: float) -> list[Change]:
        """Apply the start time that an endpoint has reported itself; return the changes.

        Its entry arrives later. Until then the new incarnation is treated as cold for as long as
        its service is after a start: with the load of the previous one, it could crash again at
        once.
        """
        endpoint = self.endpoints.get(name)
        if (
            endpoint is None
            or endpoint.entry.started_ms is None
            or new_start_ms <= endpoint.entry.started_ms
        ):
            return []
        entry = endpoint.entry._replace(
            started_ms=new_start_ms,
            draining=False,
            removal_in_s=None,
            cold_s=self._get_cold_s(endpoint.entry.service),
            # The new process may have another version, which only its entry states.
            version="",
        )
        changes = self._apply_entry(entry, now)
        self.endpoints[name].restarted_at = now
        self._index()
        return changes

    def forget_missing(self, now: float) -> list[Change]:
        """Remove the endpoints whose entries did not return within the grace period."""
        removed = [
            endpoint.entry.id
            for endpoint in self.endpoints.values()
            if endpoint.missing_since is not None and endpoint.is_leaving(now)
        ]
        for name in removed:
            entry = self.endpoints.pop(name).entry
            self.versions.record_gone(entry.service, entry.version, now)
            self._record_past_entry(entry)
        if removed:
            self._index()
        return [Change("endpoint_gone", name) for name in removed]

    def take_back_lost(self, now: float) -> list[Change]:
        """Take back the evacuations that the store has lost and nobody has written again."""
        expired = [
            domain
            for domain, lost_at in self.lost_evacuations.items()
            if now - lost_at >= LOST_EVACUATION_GRACE_S
        ]
        return [change for d in expired for change in self._set_evacuated(d, False, now)]

    def _apply(self, item: Publication, now: float, follows_loss: bool) -> list[Change]:
        match item:
            case ConfigurationPublished(configuration):
                return self._apply_configuration(configuration, now)
            case EvacuationPublished():
                return self._apply_evacuation(item, now, follows_loss)
            case DocumentUnreadable(key, why):
                return [Change("document_unreadable", key, why)]
            case EndpointUnreadable(name, why):
                return self._apply_unreadable(name, why)
            case EndpointPublished(name, None):
                return self._apply_removal(name, now)
            case EndpointPublished(_, entry):
                assert entry is not None
                is_restored = follows_loss and self._was_removed(entry)
                changes = self._apply_entry(entry, now)
                if is_restored:
                    self.endpoints[entry.id].restored_at = now
                return changes

    def _was_removed(self, entry: EndpointEntry) -> bool:
        past = self._past_entries.get(entry.id)
        return past is not None and past.started_ms == entry.started_ms

    def _apply_configuration(self, configuration: Configuration, now: float) -> list[Change]:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            # A stale read must not restore an older version: routes that callers have already used
            # would vanish.
            return []
        self.configuration = configuration
        routes = RouteTable(configuration.routes)
        self.route_history.record(self.routes, routes, now)
        self.routes = routes
        return [Change("configuration", str(configuration.version))]

    def _apply_evacuation(
        self, item: EvacuationPublished, now: float, follows_loss: bool
    ) -> list[Change]:
        if follows_loss and not item.active:
            return self._record_lost_evacuation(item.domain, now)
        return self._set_evacuated(item.domain, item.active, now)

    def _record_lost_evacuation(self, domain: str, now: float) -> list[Change]:
        if domain not in self.evacuated or domain in self.lost_evacuations:
            return []
        self.lost_evacuations[domain] = now
        return [Change("evacuation_lost", domain)]

    def _set_evacuated(self, domain: str, active: bool, now: float) -> list[Change]:
        self.lost_evacuations.pop(domain, None)
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
                endpoint.cold_until = max(endpoint.cold_until, now + POST_EVACUATION_COLD_S)
        return [Change("taken_back", domain)]

    def _apply_removal(self, name: str, now: float) -> list[Change]:
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.missing_since is not None:
            return []
        endpoint.missing_since = now
        return [Change("endpoint_missing", name)]

    def _apply_unreadable(self, name: str, why: str) -> list[Change]:
        """Stop sending new requests to an endpoint while its entry can't be decoded.

        The cause may be another writer, so the state of the endpoint is kept: with the next valid
        entry it is usable again at once.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            endpoint.has_unreadable_entry = True
        return [Change("endpoint_unreadable", name, why)]

    def _apply_entry(self, entry: EndpointEntry, now: float) -> list[Change]:
        endpoint = self.endpoints.get(entry.id)
        known = endpoint.entry if endpoint is not None else self._past_entries.get(entry.id)
        if known is not None and known.started_ms is not None:
            if entry.started_ms is None:
                return self._apply_unreadable(entry.id, "start time is missing")
            if entry.started_ms < known.started_ms:
                # Late entry, written before the endpoint restarted.
                return []
        if endpoint is not None:
            self._record_version_change(endpoint.entry, entry, now)
        if endpoint is None:
            endpoint = self._add(entry)
            change = Change("endpoint_new", entry.id, entry.address)
        elif entry.started_ms != endpoint.entry.started_ms:
            # A restarted endpoint has lost its requests, its cache and its draining state. If it
            # were treated as the same, others would fetch prompts from its empty KV cache.
            endpoint = self._add(entry)
            change = Change("endpoint_reborn", entry.id, entry.incarnation)
        elif entry.draining and not endpoint.entry.draining:
            change = Change("endpoint_draining", entry.id)
        elif endpoint.missing_since is not None or endpoint.has_unreadable_entry:
            change = Change("endpoint_back", entry.id)
        else:
            change = None
        self._update(endpoint, entry, now)
        return [change] if change is not None else []

    def _add(self, entry: EndpointEntry) -> Endpoint:
        region = self.topology.region_of(entry.domain)
        past = self._past_entries.pop(entry.id, None)
        if past is not None and past.started_ms == entry.started_ms:
            entry = entry._replace(draining=entry.draining or past.draining)
        endpoint = self.endpoints[entry.id] = Endpoint(entry, region)
        endpoint.has_announced_leaving = self.statements.get(entry.incarnation).leaving
        return endpoint

    def _update(self, endpoint: Endpoint, entry: EndpointEntry, now: float) -> None:
        """Apply a new entry of the same incarnation."""
        if entry.address != endpoint.entry.address:
            endpoint.misdirected_at = float("-inf")
            endpoint.refused_at = float("-inf")
        # Draining is final within an incarnation: an older entry that comes late must not undo it.
        draining = entry.draining or endpoint.entry.draining
        endpoint.entry = entry._replace(draining=draining)
        endpoint.missing_since = None
        endpoint.restored_at = float("-inf")
        endpoint.has_unreadable_entry = False
        endpoint.cold_until = (
            now + entry.cold_s if entry.cold_s > 0 else min(endpoint.cold_until, now)
        )
        if entry.removal_in_s is not None:
            endpoint.leaves_at = now + entry.removal_in_s

    def _record_version_change(self, old: EndpointEntry, new: EndpointEntry, now: float) -> None:
        """Record when a version was last known to serve, also where only its entry changes."""
        if not old.version and old.incarnation == new.incarnation:
            # The incarnation had this version all along; it was not known until now.
            return
        if (old.service, old.version, old.incarnation) != (
            new.service,
            new.version,
            new.incarnation,
        ):
            self.versions.record_gone(old.service, old.version, now)

    def _get_cold_s(self, service: str) -> float:
        configuration = self.configuration
        found = configuration.services.get(service) if configuration is not None else None
        return found.cold_s if found is not None else 0.0

    def _record_past_entry(self, entry: EndpointEntry) -> None:
        self._past_entries[entry.id] = entry
        if len(self._past_entries) > MAX_PAST_ENTRIES:
            self._past_entries.popitem(last=False)

    def _index(self) -> None:
        self._by_service = {}
        for endpoint in self.endpoints.values():
            self._by_service.setdefault(endpoint.entry.service, []).append(endpoint)
