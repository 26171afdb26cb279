"""What operators and endpoints publish: routes, services, endpoints and evacuated domains."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class CallKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One of the services that share the requests of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests below a prefix are served. Times are seconds."""

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    """The longest that a caller is kept waiting."""
    objective_s: float
    """The answer, or the first event of a stream, is wanted within this."""
    gap_objective_s: float = 0.0
    """The longest wanted pause between the events of a stream."""
    attempts: int = 1
    """How many endpoints may run one request."""
    priority: int = 0
    """0 is the most urgent."""
    resumable: bool = False
    """Whether a stream may go on at another endpoint after its last event."""
    home_regions: frozenset[str] = frozenset()
    """The only regions that may see the request; empty for all."""

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again from its beginning."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable

    def pick_service(self, point: float) -> str:
        """Give the service at a point in [0, 1) of the weights."""
        left = point * sum(share.weight for share in self.services)
        for share in self.services:
            left -= share.weight
            if left < 0:
                return share.service
        return self.services[-1].service


class EngineShape(NamedTuple):
    """What each replica of a model service holds."""

    slots: int
    kv_tokens: int
    """Tokens of prompts and answers that fit into its memory."""
    token_bytes: int = 0
    """Memory of one token."""
    link_mbps: float = 0.0
    """Over which a replica fetches memory from another one; 0 where it can't."""
    tokens_per_event: int = 0
    """Tokens that one event of a stream holds; 0 where nothing says so."""

    @property
    def can_fetch(self) -> bool:
        """Whether a replica can fetch parts of prompts that another one has read."""
        return self.token_bytes > 0 and self.link_mbps > 0


class Service(NamedTuple):
    """A group of endpoints that serve the same requests."""

    name: str
    max_connections: int
    """Connections that one endpoint accepts, from all hosts together."""
    cold_s: float = 0.0
    cold_requests_per_s: float = 0.0
    """Requests a second that a cold endpoint bears; 0 for no bound."""
    engine: EngineShape | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take. Times are seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


class Configuration(NamedTuple):
    """One version of what operators publish, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()


class RouteTable:
    """Finds the route of a request by its host and the longest prefix of its path."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._hosts[route.host][route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Give the route, or None."""
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

    def count_home_regions(self, host: str) -> Counter[str]:
        """Count for each region the routes of a host that are bound to it, among others."""
        routes = self._hosts.get(host, {}).values()
        return Counter(region for route in routes for region in route.home_regions)


class EndpointEntry(NamedTuple):
    """One endpoint as it published itself."""

    id: str
    """New at each start of the endpoint, unless it tells when it was born."""
    service: str
    address: str
    domain: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    """How much longer it is cold, in seconds from when it was published."""
    removal_in_s: float | None = None
    """How much longer it lives, where it is taken away at short notice."""
    started_ms: int | None = None
    """Unix time of its start; None where endpoints don't tell, and each start has a new id."""

    @property
    def incarnation(self) -> str:
        """Name one life of the endpoint: what is known of one says nothing of the next."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"


class Document(NamedTuple):
    """One published value, not decoded."""

    key: str
    revision: int
    value: bytes | None
    """None when the revision deleted it."""


class Snapshot(NamedTuple):
    """Published documents up to a revision of the store."""

    revision: int
    documents: tuple[Document, ...]
    complete: bool
    """Whether these are all documents; otherwise those that changed."""


class ConfigurationPublished(NamedTuple):
    """A version of the configuration."""

    configuration: Configuration


class EndpointPublished(NamedTuple):
    """An endpoint's entry, or None where it was removed."""

    id: str
    entry: EndpointEntry | None


class EndpointUnreadable(NamedTuple):
    """An endpoint's entry that can't be read: it names no endpoint to use."""

    id: str
    why: str


class DocumentUnreadable(NamedTuple):
    """Another document that can't be read; what was known of it holds on."""

    key: str
    why: str


class EvacuationPublished(NamedTuple):
    """A failure domain is to get nothing, or may be used again."""

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
    """Where this host is, and the region of each failure domain."""

    domain: str
    region: str
    regions: dict[str, str]

    def region_of(self, domain: str) -> str:
        """Give the region of a failure domain; an unknown domain is a region of its own."""
        return self.regions.get(domain, domain)
