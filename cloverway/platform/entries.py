"""What endpoints and operators write to the platform's store, checked field by field.

Anybody may write there: a value may be cut off, of another form, or meant to do harm. All bytes
are read by the validation library, which bounds depth and numbers itself and reports whatever is
wrong as one kind of error. Decoded by hand, one value that nests deeply or holds `1e999` ended the
task that reads the store, again at each try, and the host never learnt of anything else.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cloverway.core.deployment import (
    CallerLimits,
    CallKind,
    Configuration,
    EndpointEntry,
    EngineShape,
    Route,
    Service,
    WeightedService,
)
from cloverway.errors import DocumentError

MOST_ENTRY_BYTES = 64 * 1024
"""An endpoint's entry is some 300 bytes, and grows with the models that it lists."""
MOST_CONFIGURATION_BYTES = 8 * 1024 * 1024
"""A route is some 300 bytes: room for 25,000 of them."""
ADDRESS = (
    r"^(?:[1-9]|[1-9]\d|1\d\d|2[01]\d|22[0-3])(?:\.(?:\d|[1-9]\d|1\d\d|2[0-4]\d|25[0-5])){3}"
    r":(?:[1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])$"
)
"""IPv4 and port. A port beyond 65,535 would raise where a connection is opened, with every request
that is led there; an address of many hosts, or of none, is no endpoint's."""
ENDPOINT_ID = re.compile(r"[!-~]{1,190}")
"""Printable, since it is sent in a header: another byte would raise with every request, or end the
header early."""
DAY_MS = 86_400_000
KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.NON_IDEMPOTENT,
    "streaming": CallKind.STREAM,
}

Name = Annotated[str, Field(min_length=1, max_length=200)]
Address = Annotated[str, Field(pattern=ADDRESS)]
Milliseconds = Annotated[float, Field(ge=0, le=DAY_MS)]
Count = Annotated[int, Field(ge=0, lt=1 << 53)]


class _Fields(BaseModel):
    """Fields of one type each, never converted; those that are not named here are ignored."""

    model_config = ConfigDict(strict=True, allow_inf_nan=False)


class EntryFields(_Fields):
    """What an endpoint says of itself."""

    service: Name
    address: Address
    domain: Name = Field(alias="zone")
    version: Annotated[str, Field(max_length=200)]
    """Of its software; only checked, as a sign of who wrote the entry."""
    slots: Annotated[int, Field(ge=1, le=1_000_000)]
    state: Literal["ready", "draining"]
    cold_ms: Milliseconds = Field(alias="coldRemainingMs")
    """Time left, although the name could be read as time since."""
    sequence: Count
    leaves_ms: Milliseconds | None = Field(None, alias="remainingMs")
    born_ms: Count | None = Field(None, alias="born")
    """Unix time of its start."""

    def make_entry(self, name: str) -> EndpointEntry:
        """Give the entry of an endpoint with this id."""
        return EndpointEntry(
            id=name,
            service=self.service,
            address=self.address,
            domain=self.domain,
            slots=self.slots,
            draining=self.state == "draining",
            cold_s=self.cold_ms / 1000,
            leaves_s=self.leaves_ms / 1000 if self.leaves_ms is not None else None,
            born_ms=self.born_ms,
        )


class _ShareFields(_Fields):
    service: Name
    weight: Annotated[float, Field(ge=0)]


class _RouteFields(_Fields):
    name: Name
    host: str = Field(alias="hostname")
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"] = Field(alias="routeType")
    """Whether a request may be repeated, not how it is matched."""
    service: Name | None = None
    shares: list[_ShareFields] | None = Field(None, alias="weightedBackends")
    timeout_ms: Milliseconds = Field(alias="timeoutMs")
    objective_ms: Milliseconds | None = Field(None, alias="targetLatencyMs")
    gap_objective_ms: Milliseconds | None = Field(None, alias="targetGapMs")
    attempts: Annotated[int, Field(ge=1)] = 1
    priority: Count = 0
    resumable: bool = False
    homes: list[Name] | None = Field(None, alias="homeRegions")

    def make_route(self) -> Route:
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            kind=KINDS[self.kind],
            services=self._list_services(),
            timeout_s=self.timeout_ms / 1000,
            objective_s=(self.objective_ms or self.timeout_ms) / 1000,
            gap_objective_s=(self.gap_objective_ms or 0.0) / 1000,
            attempts=self.attempts,
            priority=self.priority,
            resumable=self.resumable,
            homes=frozenset(self.homes or ()),
        )

    def _list_services(self) -> tuple[WeightedService, ...]:
        if self.shares:
            return tuple(WeightedService(share.service, share.weight) for share in self.shares)
        if self.service is None:
            raise DocumentError(f"the route {self.name} names no service")
        return (WeightedService(self.service, 1.0),)


class _EngineFields(_Fields):
    slots: Annotated[int, Field(ge=1)]
    kv_tokens: Annotated[int, Field(ge=1)] = Field(alias="kvTokens")
    token_bytes: Annotated[float, Field(ge=0)] | None = Field(None, alias="kvTokenBytes")
    link_mbps: Annotated[float, Field(ge=0)] | None = Field(None, alias="linkMbps")
    event_tokens: Count | None = Field(None, alias="stride")
    """How much each event holds, not how far apart they are."""

    def make_shape(self) -> EngineShape:
        return EngineShape(
            slots=self.slots,
            kv_tokens=self.kv_tokens,
            token_bytes=int(self.token_bytes or 0),
            link_mbps=self.link_mbps or 0.0,
            event_tokens=self.event_tokens or 0,
        )


class _ServiceFields(_Fields):
    name: Name
    max_connections: Count | None = Field(None, alias="maxConnections")
    cold_s: Annotated[float, Field(ge=0)] | None = Field(None, alias="coldS")
    cold_per_s: Annotated[float, Field(ge=0)] | None = Field(None, alias="coldPerS")
    engine: _EngineFields | None = None

    def make_service(self) -> Service:
        return Service(
            name=self.name,
            max_connections=self.max_connections or 100,
            cold_s=self.cold_s or 0.0,
            cold_per_s=self.cold_per_s or 0.0,
            engine=self.engine.make_shape() if self.engine is not None else None,
        )


class _LimitFields(_Fields):
    header_bytes: Annotated[int, Field(ge=1)] | None = Field(None, alias="maxHeaderBytes")
    body_bytes: Annotated[int, Field(ge=1)] | None = Field(None, alias="maxBodyBytes")
    header_ms: Milliseconds | None = Field(None, alias="headerTimeoutMs")
    idle_ms: Milliseconds | None = Field(None, alias="idleTimeoutMs")

    def make_limits(self) -> CallerLimits:
        default = CallerLimits()
        return CallerLimits(
            header_bytes=self.header_bytes or default.header_bytes,
            body_bytes=self.body_bytes or default.body_bytes,
            header_s=self.header_ms / 1000 if self.header_ms else default.header_s,
            idle_s=self.idle_ms / 1000 if self.idle_ms else default.idle_s,
        )


class _ConfigurationFields(_Fields):
    version: Count
    routes: list[_RouteFields]
    services: list[_ServiceFields]
    limits: _LimitFields | None = None


Model = TypeVar("Model", bound=_Fields)


def decode_entry(name: str, value: bytes) -> EndpointEntry:
    """Decode the entry of an endpoint; raise DocumentError, whatever the bytes."""
    if not ENDPOINT_ID.fullmatch(name):
        raise DocumentError("the id can't be sent in a header")
    return _decode(EntryFields, value, MOST_ENTRY_BYTES).make_entry(name)


def decode_configuration(value: bytes) -> Configuration:
    """Decode a whole configuration; raise DocumentError, whatever the bytes."""
    fields = _decode(_ConfigurationFields, value, MOST_CONFIGURATION_BYTES)
    return Configuration(
        version=fields.version,
        routes=tuple(route.make_route() for route in fields.routes),
        services={service.name: service.make_service() for service in fields.services},
        limits=fields.limits.make_limits() if fields.limits is not None else CallerLimits(),
    )


def _decode(model: type[Model], value: bytes, most_bytes: int) -> Model:
    if len(value) > most_bytes:
        raise DocumentError(f"{len(value)} bytes are too many")
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        raise DocumentError(f"{where}: {first['msg']}"[:200]) from error
