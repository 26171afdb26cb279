"""The configuration that operators publish: its schema and its checks.

The same documents come from a directory of TOML files or from the platform's service.
Validation is a pure function of the documents, so that every host comes to the same verdict.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import IntEnum, StrEnum
from typing import Annotated, Any, NamedTuple

from pydantic import Field, TypeAdapter

from cloverway.config.options import Findings, validate

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Url = Annotated[str, Field(pattern=r"^http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
KeyHash = Annotated[str, Field(pattern=r"^sha256:[0-9a-f]{64}$")]


class Urgency(IntEnum):
    """How urgent a class of work is; a higher class goes first."""

    BATCH = 0
    NORMAL = 1
    URGENT = 2


class EndpointKind(StrEnum):
    """What stands behind an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Organisation(NamedTuple):
    """The organisation that publishes."""

    name: Name


class Objective(NamedTuple):
    """What the organisation weighs, as shares that need not add up to one."""

    tail_latency: Annotated[float, Field(ge=0)] = 1.0
    cost: Annotated[float, Field(ge=0)] = 1.0
    sent_away: Annotated[float, Field(ge=0)] = 1.0


class Region(NamedTuple):
    """A region: data may be bound to it."""

    title: str = ""
    trip_ms: Annotated[float, Field(ge=0)] = 50.0
    """One-way trip to other regions, in milliseconds, until one is measured."""


class Domain(NamedTuple):
    """A failure domain: it has its own hosts and endpoints and may be cut off."""

    region: Name


class Host(NamedTuple):
    """An entry host: where one `cloverwayd` listens."""

    domain: Name
    callers: Address
    admin: Address
    peers: Address
    """Both the TCP and the UDP address for other hosts."""


class Endpoint(NamedTuple):
    """A model replica or a plain service."""

    domain: Name
    url: Url
    kind: EndpointKind = EndpointKind.ENGINE
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    """Requests that it runs at one time."""
    fencing: bool = False
    """Whether it refuses an order with an old fencing number; unknown counts as no."""


class Profile(NamedTuple):
    """How a class of work is served."""

    model: Name | None = None
    service: Name | None = None
    urgency: Annotated[str, Field(pattern="^(batch|normal|urgent)$")] = "normal"
    idempotent: bool = False
    deadline_ms: Annotated[int, Field(ge=50, le=3_600_000)] = 30_000
    gap_ms: Annotated[int, Field(ge=50, le=600_000)] = 10_000
    """The longest silence within a stream before its connection is given up, in milliseconds."""
    regions: tuple[Name, ...] = ()
    """Where it may run; empty stands for every region."""

    @property
    def target(self) -> str:
        """The model or the service that serves it."""
        return self.model or self.service or ""

    @property
    def priority(self) -> Urgency:
        """The urgency as a number that sorts."""
        return Urgency[self.urgency.upper()]


class Team(NamedTuple):
    """A team of callers, with its keys and where its data must reside."""

    home: Name
    bound: bool = False
    """Whether its data may be served in its home region only."""
    profiles: tuple[Name, ...] = ()
    key_hashes: tuple[KeyHash, ...] = ()
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    """Its part of the capacity when there is not enough for all."""


class Published(NamedTuple):
    """One whole, valid configuration. Look-ups below are dictionaries by name."""

    revision: Annotated[int, Field(ge=1)]
    organisation: Organisation
    objective: Objective = Objective()
    regions: dict[Name, Region] = {}
    domains: dict[Name, Domain] = {}
    hosts: dict[Name, Host] = {}
    endpoints: dict[Name, Endpoint] = {}
    profiles: dict[Name, Profile] = {}
    teams: dict[Name, Team] = {}

    @classmethod
    def from_documents(cls, documents: Mapping[str, Any], source: str = "") -> Published:
        """Validate documents; raise ConfigurationError with every finding, or give the whole."""
        findings = Findings(source)
        published = validate(SCHEMA, documents, findings)
        if published is not None:
            for where, what in _find_faults(published):
                findings.add(where, what)
        findings.raise_if_any()
        assert published is not None
        return published

    def region_of(self, domain: str) -> str:
        """Give the region of a failure domain, or an empty name for an unknown one."""
        found = self.domains.get(domain)
        return found.region if found else ""

    def hosts_of(self, domain: str) -> list[str]:
        """List the names of a failure domain's hosts, sorted."""
        return sorted(name for name, host in self.hosts.items() if host.domain == domain)

    def endpoints_of(self, domain: str) -> list[str]:
        """List the names of a failure domain's endpoints, sorted."""
        return sorted(name for name, end in self.endpoints.items() if end.domain == domain)


SCHEMA: TypeAdapter[Published] = TypeAdapter(Published)


def _find_faults(published: Published) -> Iterator[tuple[str, str]]:
    """Yield what is wrong between documents that are each valid by themselves."""
    yield from _find_place_faults(published)
    yield from _find_profile_faults(published)
    yield from _find_team_faults(published)


def _find_place_faults(published: Published) -> Iterator[tuple[str, str]]:
    for name, domain in published.domains.items():
        if domain.region not in published.regions:
            yield f"domains.{name}.region", f"there is no region {domain.region!r}; publish it"
    addresses: dict[str, str] = {}
    for name, host in published.hosts.items():
        if host.domain not in published.domains:
            yield f"hosts.{name}.domain", f"there is no domain {host.domain!r}; publish it"
        for field in ("callers", "admin", "peers"):
            address = getattr(host, field)
            other = addresses.setdefault(address, f"hosts.{name}.{field}")
            if other != f"hosts.{name}.{field}":
                yield f"hosts.{name}.{field}", f"{address} is taken by {other}; choose another"
    for name, endpoint in published.endpoints.items():
        if endpoint.domain not in published.domains:
            yield f"endpoints.{name}.domain", f"there is no domain {endpoint.domain!r}; publish it"
        if endpoint.kind is EndpointKind.ENGINE and endpoint.services:
            yield f"endpoints.{name}.services", 'an engine has models; set kind = "service"'
        if endpoint.kind is EndpointKind.SERVICE and endpoint.models:
            yield f"endpoints.{name}.models", 'a service has services; set kind = "engine"'


def _find_profile_faults(published: Published) -> Iterator[tuple[str, str]]:
    for name, profile in published.profiles.items():
        if (profile.model is None) == (profile.service is None):
            yield f"profiles.{name}", "name either a model or a service, and not both"
        for region in profile.regions:
            if region not in published.regions:
                yield f"profiles.{name}.regions", f"there is no region {region!r}; publish it"


def _find_team_faults(published: Published) -> Iterator[tuple[str, str]]:
    owners: dict[str, str] = {}
    for name, team in published.teams.items():
        if team.home not in published.regions:
            yield f"teams.{name}.home", f"there is no region {team.home!r}; publish it"
        for profile in team.profiles:
            if profile not in published.profiles:
                yield f"teams.{name}.profiles", f"there is no profile {profile!r}; publish it"
        for key_hash in team.key_hashes:
            other = owners.setdefault(key_hash, name)
            if other != name:
                yield f"teams.{name}.key_hashes", f"team {other!r} has this key; make a new one"
