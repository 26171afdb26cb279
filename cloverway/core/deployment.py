"""Published data of operators and endpoints: routes, services, endpoints, evacuated domains."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class CallKind(StrEnum):
    """Whether a request may be repeated, and whether its answer is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service and its share of the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests below a path prefix are served. Times are in seconds."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """Maximum time that a caller waits."""
    objective_s: float
    """Target latency of the answer, or of the first event of a stream."""
    gap_objective_s: float = 0.0
    """Target for the gap between two events of a stream."""
    attempts: int = 1
    """Maximum number of endpoints that run one request."""
    priority: int = 0
    """0 is the highest priority."""
    resumable: bool = False
    """Whether another endpoint may continue a stream after the last event received."""
    home_regions: frozenset[str] = frozenset()
    """The regions that may process the request (data residency); empty for all regions."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run may be sent again from the start."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable

    def list_services(self) -> tuple[str, ...]:
        """Return the services that get requests of the route."""
        return tuple(share.service for share in self.services if share.weight > 0)

    def pick_service(self, point: float) -> str:
        """Return the service at `point`, in [0, 1), of the cumulative weights."""
        remaining = point * sum(share.weight for share in self.services)
        for share in self.services:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.services[-1].service


class EngineSpec(NamedTuple):
    """Capacity of each replica of a model service."""

    slots: int
    kv_tokens: int
    """Prompt and output tokens that fit into the KV cache."""
    token_bytes: int = 0
    """Size of one token in the KV cache."""
    link_mbps: float = 0.0
    """Bandwidth for KV cache transfers between replicas; 0 where they are not supported."""
    tokens_per_event: int = 0
    """Tokens in one event of a stream; 0 where it is not known."""

    @property
    def can_fetch(self) -> bool:
        """Whether a replica can fetch KV cache of prompt segments from another replica."""
        return self.token_bytes > 0 and self.link_mbps > 0


class Service(NamedTuple):
    """A group of endpoints that serve the same requests."""

    name: str
    max_connections: int
    """Connections that one endpoint accepts, over all hosts."""
    cold_s: float = 0.0
    """Time for which an endpoint is cold after it has started."""
    cold_requests_per_s: float = 0.0
    """Requests per second that a cold endpoint can sustain; 0 for no limit."""
    health_path: str = ""
    """Path at which its endpoints answer health checks, as published; empty if there is none."""
    engine: EngineSpec | None = None


class CallerLimits(NamedTuple):
    """Limits on the size and the duration of callers' requests. Times are in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Configuration(NamedTuple):
    """One complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Routes by host name and path prefix; the longest matching prefix wins."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._hosts[route.host][route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def list_changed_services(self, newer: RouteTable) -> dict[str, dict[str, tuple[str, ...]]]:
        """Return, by host and prefix, the services here of routes that lead elsewhere in `newer`.

        For a prefix that only `newer` has, they are those of the route that it takes paths from.
        """
        changed: dict[str, dict[str, tuple[str, ...]]] = {}
        for host in self._hosts:
            old, new = self._hosts[host], newer._hosts.get(host, {})
            for prefix in old.keys() | new.keys():
                before, after = old.get(prefix), new.get(prefix)
                if before and after and before.list_services() == after.list_services():
                    continue
                match = self.find(host, prefix)
                if match is not None:
                    changed.setdefault(host, {})[prefix] = match.list_services()
        return changed

    def count_home_regions(self, host: str) -> Counter[str]:
        """Count, by region, the routes of a host that have the region among their home regions."""
        routes = self._hosts.get(host, {}).values()
        return Counter(region for route in routes for region in route.home_regions)


class EndpointEntry(NamedTuple):
    """An endpoint's own published description."""

    id: str
    """New at each start of the endpoint, unless the entry has its start time."""
    service: str
    address: str
    domain: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    """Seconds for which it is still cold, counted from publication."""
    removal_in_s: float | None = None
    """Seconds until its machine is reclaimed at short notice; None where that isn't announced."""
    started_ms: int | None = None
    """Start time, as Unix time in milliseconds; None where entries lack it and ids change."""
    version: str = ""
    """Version of its software; one version can't continue the stream of another."""

    @property
    def incarnation(self) -> str:
        """The id of this incarnation; what is known of one incarnation isn't valid for the next."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"


class StorePosition(NamedTuple):
    """A point in the history of the store.

    A store that has lost writes assigns their revisions again, in the next epoch. So a position of
    a later epoch is later, whatever its revision.
    """

    epoch: int = 0
    """Increases each time that the store has lost writes; 0 for a store that states none."""
    revision: int = 0


class Document(NamedTuple):
    """A published value, not decoded."""

    key: str
    revision: int
    value: bytes | None
    """None where this revision deleted the document."""
    epoch: int = 0
    """The epoch of the store that the revision belongs to."""

    @property
    def position(self) -> StorePosition:
        """Where in the history of the store it was written."""
        return StorePosition(self.epoch, self.revision)


class Snapshot(NamedTuple):
    """Published documents up to a revision of the store."""

    revision: int
    documents: tuple[Document, ...]
    complete: bool
    """Whether these are all documents, rather than only those that changed."""
    epoch: int = 0
    """The epoch of the store that the revision belongs to."""

    @property
    def position(self) -> StorePosition:
        """Up to where in the history of the store the documents are known."""
        return StorePosition(self.epoch, self.revision)


class ConfigurationPublished(NamedTuple):
    """A new version of the configuration."""

    configuration: Configuration


class EndpointPublished(NamedTuple):
    """A new entry of an endpoint, or None where the entry was removed."""

    id: str
    entry: EndpointEntry | None


class EndpointUnreadable(NamedTuple):
    """An endpoint's entry that can't be decoded; the endpoint isn't used."""

    id: str
    why: str


class DocumentUnreadable(NamedTuple):
    """Another document that can't be decoded; its last valid value stays in force."""

    key: str
    why: str


class EvacuationPublished(NamedTuple):
    """The evacuation of a failure domain begins or ends."""

    domain: str
    active: bool


Publication = (
    ConfigurationPublished
    | EndpointPublished
    | EndpointUnreadable
    | DocumentUnreadable
    | EvacuationPublished
)


class Topology(NamedTuple):
    """Location of this host, and the region of each failure domain."""

    domain: str
    region: str
    regions: dict[str, str]

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain; an unknown domain is a region of its own."""
        return self.regions.get(domain, domain)
