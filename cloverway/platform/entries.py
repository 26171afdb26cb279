"""Decode the entries of endpoints and the operators' configuration, and validate each field.

Any program may write to the store: a value may be truncated, malformed or malicious. msgspec
decodes all values and checks types and ranges, and every failure becomes a DocumentError. Any other
exception, such as from a deeply nested value or a `1e999`, would stop the task that reads the store
at each attempt, and the host would receive no further updates.

msgspec is used rather than pydantic, because loading pydantic models adds 80 ms of CPU time to the
start of a host, and callers wait for that when all hosts restart.
"""

from __future__ import annotations

import logging
import re
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct, field

from cloverway.core.deployment import (
    CallerLimits,
    CallKind,
    Configuration,
    EndpointEntry,
    EngineSpec,
    Route,
    Service,
    WeightedService,
)
from cloverway.errors import DocumentError

log = logging.getLogger(__name__)

MAX_ENTRY_BYTES = 64 * 1024
"""A typical entry has about 300 bytes, plus those of each listed model."""
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
"""A route has about 300 bytes, so that 25,000 routes fit."""
ADDRESS = (
    r"^(?:[1-9]|[1-9]\d|1\d\d|2[01]\d|22[0-3])(?:\.(?:\d|[1-9]\d|1\d\d|2[0-4]\d|25[0-5])){3}"
    r":(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])\Z"
)
"""Unicast IPv4 address and port. With a port over 65,535, each connection to the endpoint would
raise an exception; multicast, broadcast and unspecified addresses belong to no endpoint."""
ENDPOINT_ID = re.compile(r"[!-~]{1,190}")
"""Printable ASCII, because the id is sent in a header: any other byte would raise an exception for
each request, or end the header early."""
DAY_MS = 86_400_000
ROUTE_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Address = Annotated[str, Meta(pattern=ADDRESS)]
Milliseconds = Annotated[float, Meta(ge=0, le=DAY_MS)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]


class EntryFields(Struct):
    """An endpoint's own entry in the store."""

    service: Name
    address: Address
    domain: Name = field(name="zone")
    version: Annotated[str, Meta(max_length=200)]
    """Of its software; not to be confused with the versions of models."""
    slots: Annotated[int, Meta(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_ms: Milliseconds = field(name="coldRemainingMs")
    """Time until it is warm, not time since its start."""
    sequence: Count
    removal_in_ms: Milliseconds | None = field(name="remainingMs", default=None)
    started_ms: Count | None = field(name="born", default=None)
    """Unix time of its start, in milliseconds."""

    def make_entry(self, name: str) -> EndpointEntry:
        """Return the entry of the endpoint with the id `name`."""
        return EndpointEntry(
            id=name,
            service=self.service,
            address=self.address,
            domain=self.domain,
            slots=self.slots,
            draining=self.state == "draining",
            cold_s=self.cold_ms / 1000,
            removal_in_s=self.removal_in_ms / 1000 if self.removal_in_ms is not None else None,
            started_ms=self.started_ms,
            version=self.version,
        )


class _StartTimeFields(Struct):
    """The part of an endpoint's state report that identifies its incarnation."""

    started_ms: Count | None = field(name="born", default=None)


class _WeightedServiceFields(Struct):
    service: Name
    weight: Annotated[float, Meta(ge=0)]


class _RouteFields(Struct):
    name: Name
    host: str = field(name="hostname")
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"] = field(name="routeType")
    """Whether a request may be repeated or is a stream; not related to the matching of paths."""
    timeout_ms: Milliseconds = field(name="timeoutMs")
    service: Name | None = None
    weighted_services: list[_WeightedServiceFields] | None = field(
        name="weightedBackends", default=None
    )
    objective_ms: Milliseconds | None = field(name="targetLatencyMs", default=None)
    gap_objective_ms: Milliseconds | None = field(name="targetGapMs", default=None)
    attempts: Annotated[int, Meta(ge=1)] = 1
    priority: Count = 0
    resumable: bool = False
    home_regions: list[Name] | None = field(name="homeRegions", default=None)

    def make_route(self) -> Route:
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            kind=ROUTE_KINDS[self.kind],
            services=self._list_services(),
            timeout_s=self.timeout_ms / 1000,
            objective_s=(self.objective_ms or self.timeout_ms) / 1000,
            gap_objective_s=(self.gap_objective_ms or 0.0) / 1000,
            attempts=self.attempts,
            priority=self.priority,
            resumable=self.resumable,
            home_regions=frozenset(self.home_regions or ()),
        )

    def _list_services(self) -> tuple[WeightedService, ...]:
        if self.weighted_services:
            return tuple(
                WeightedService(share.service, share.weight) for share in self.weighted_services
            )
        if self.service is None:
            raise DocumentError(f"the route {self.name} names no service")
        return (WeightedService(self.service, 1.0),)


class _EngineFields(Struct):
    slots: Annotated[int, Meta(ge=1)]
    kv_tokens: Annotated[int, Meta(ge=1)] = field(name="kvTokens")
    token_bytes: Annotated[float, Meta(ge=0)] | None = field(name="kvTokenBytes", default=None)
    link_mbps: Annotated[float, Meta(ge=0)] | None = field(name="linkMbps", default=None)
    tokens_per_event: Count | None = field(name="stride", default=None)
    """Tokens in each event of a stream; despite the outer name, not a distance."""

    def make_engine_spec(self) -> EngineSpec:
        return EngineSpec(
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            token_bytes=int(self.token_bytes or 0),
            link_mbps=self.link_mbps or 0.0,
            tokens_per_event=self.tokens_per_event or 0,
        )


class _ServiceFields(Struct):
    name: Name
    max_connections: Count | None = field(name="maxConnections", default=None)
    cold_s: Annotated[float, Meta(ge=0)] | None = field(name="coldS", default=None)
    cold_requests_per_s: Annotated[float, Meta(ge=0)] | None = field(name="coldPerS", default=None)
    health_path: object = field(name="healthCheckPath", default=None)
    engine: _EngineFields | None = None

    def make_service(self) -> Service:
        return Service(
            name=self.name,
            max_connections=self.max_connections or 100,
            cold_s=self.cold_s or 0.0,
            cold_requests_per_s=self.cold_requests_per_s or 0.0,
            # A path that can't be requested doesn't make the configuration unreadable.
            health_path=self.health_path if isinstance(self.health_path, str) else "",
            engine=self.engine.make_engine_spec() if self.engine is not None else None,
        )


class _LimitFields(Struct):
    header_bytes: Annotated[int, Meta(ge=1)] | None = field(name="maxHeaderBytes", default=None)
    body_bytes: Annotated[int, Meta(ge=1)] | None = field(name="maxBodyBytes", default=None)
    header_ms: Milliseconds | None = field(name="headerTimeoutMs", default=None)
    idle_ms: Milliseconds | None = field(name="idleTimeoutMs", default=None)

    def make_limits(self) -> CallerLimits:
        default = CallerLimits()
        return CallerLimits(
            header_bytes=self.header_bytes or default.header_bytes,
            body_bytes=self.body_bytes or default.body_bytes,
            header_s=self.header_ms / 1000 if self.header_ms else default.header_s,
            idle_s=self.idle_ms / 1000 if self.idle_ms else default.idle_s,
        )


class _ConfigurationFields(Struct):
    version: Count
    routes: list[_RouteFields]
    services: list[_ServiceFields]
    limits: _LimitFields | None = None


Fields = TypeVar("Fields")


def decode_entry(name: str, value: bytes) -> EndpointEntry:
    """Decode the entry of an endpoint; raise only DocumentError, for any bytes."""
    if not ENDPOINT_ID.fullmatch(name):
        raise DocumentError("the endpoint id can't be sent in a header")
    return _decode(EntryFields, value, MAX_ENTRY_BYTES).make_entry(name)


def decode_start_time(value: bytes) -> int | None:
    """Return the start time in an endpoint's state report; None if missing or malformed."""
    try:
        return _decode(_StartTimeFields, value, MAX_ENTRY_BYTES).started_ms
    except DocumentError as error:
        log.warning("the state report of an endpoint is malformed", extra={"why": str(error)})
        return None


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration; raise only DocumentError, for any bytes."""
    fields = _decode(_ConfigurationFields, value, MAX_CONFIGURATION_BYTES)
    return Configuration(
        version=fields.version,
        routes=tuple(route.make_route() for route in fields.routes),
        services={service.name: service.make_service() for service in fields.services},
        limits=fields.limits.make_limits() if fields.limits is not None else CallerLimits(),
    )


def _decode(fields: type[Fields], value: bytes, max_bytes: int) -> Fields:
    if len(value) > max_bytes:
        raise DocumentError(f"the document is too large: {len(value)} bytes")
    try:
        return msgspec.json.decode(value, type=fields)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise DocumentError(str(error)[:200]) from error
