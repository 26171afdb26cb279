"""Schema of published documents: one NamedTuple per table, with the constraints of its fields."""

from __future__ import annotations

import re
import sys
from enum import IntEnum, StrEnum
from typing import Annotated, Literal, NamedTuple

from pydantic import AfterValidator, Field

from cloverway.addresses import check_address

NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
KEY_HASH = re.compile(r"sha256:[0-9a-f]{64}")


def check_url(url: str) -> str:
    """Raise ValueError unless a URL is http:// with an IP address and a port."""
    if not url.startswith("http://"):
        raise ValueError("must be http:// with an IP address and a port")
    check_address(url.removeprefix("http://"))
    return url


def check_name(name: str) -> str:
    """Raise ValueError unless a name is well-formed; return an interned copy."""
    if not NAME.fullmatch(name):
        raise ValueError("must be lower-case letters, digits, '.' and '-', such as port-louis-a")
    return sys.intern(name)


def check_key_hash(key_hash: str) -> str:
    """Raise ValueError unless a key hash is well-formed; the error doesn't contain the value."""
    if not KEY_HASH.fullmatch(key_hash):
        raise ValueError("must be sha256: and 64 hexadecimal digits, as printed by `cloverway key`")
    return key_hash


Name = Annotated[str, AfterValidator(check_name)]
Address = Annotated[str, AfterValidator(check_address)]
Url = Annotated[str, AfterValidator(check_url)]
Share = Annotated[float, Field(ge=0, le=1000, allow_inf_nan=False)]
KeyHash = Annotated[str, AfterValidator(check_key_hash)]


class Urgency(IntEnum):
    """Urgency of a class of requests; higher values are served first."""

    BATCH = 0
    NORMAL = 1
    URGENT = 2


class EndpointKind(StrEnum):
    """Whether an endpoint is an inference engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class Organisation(NamedTuple):
    """The organisation that publishes."""

    name: Name


class Objective(NamedTuple):
    """Weights of the organisation's objectives; they need not sum to one."""

    tail_latency: Share = 1.0
    cost: Share = 1.0
    sent_away: Share = 1.0


class Region(NamedTuple):
    """A region, to which data residency may be restricted."""

    title: str = ""
    trip_ms: Annotated[float, Field(ge=0, le=60_000, allow_inf_nan=False)] = 50.0
    """One-way latency to other regions in milliseconds, used until it is measured."""


class Domain(NamedTuple):
    """A failure domain: its hosts and endpoints fail, or lose their network, together."""

    region: Name


class Host(NamedTuple):
    """A host that runs the daemon, with the addresses on which `cloverwayd` listens."""

    domain: Name
    callers: Address
    admin: Address
    peers: Address
    """Address for other hosts, both TCP and UDP."""


class Endpoint(NamedTuple):
    """A replica of a model, or an instance of a plain service."""

    domain: Name
    url: Url
    kind: EndpointKind = EndpointKind.ENGINE
    models: tuple[Name, ...] = ()
    services: tuple[Name, ...] = ()
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    """Requests that it runs concurrently."""
    fencing: bool = False
    """Whether it rejects requests with an outdated fencing token; False if not known."""


class Profile(NamedTuple):
    """How a class of requests is served."""

    model: Name | None = None
    service: Name | None = None
    urgency: Literal["batch", "normal", "urgent"] = "normal"
    idempotent: bool = False
    deadline_ms: Annotated[int, Field(ge=50, le=3_600_000)] = 30_000
    gap_ms: Annotated[int, Field(ge=50, le=600_000)] = 10_000
    """Maximum gap between two events of a stream in milliseconds; a longer one aborts it."""
    regions: tuple[Name, ...] = ()
    """Regions that may serve it; empty for all regions."""

    @property
    def target(self) -> str:
        """The model or the service that serves the requests."""
        return self.model or self.service or ""

    @property
    def priority(self) -> Urgency:
        """The urgency as an ordered number."""
        return Urgency[self.urgency.upper()]


class Team(NamedTuple):
    """A team of callers, with its key hashes, profiles and data residency."""

    home: Name
    bound: bool = False
    """Whether only its home region may process its data."""
    profiles: tuple[Name, ...] = ()
    key_hashes: tuple[KeyHash, ...] = ()
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    """Its weight when capacity is divided because demand exceeds it."""


TABLES: dict[str, type] = {
    "regions": Region,
    "domains": Domain,
    "hosts": Host,
    "endpoints": Endpoint,
    "profiles": Profile,
    "teams": Team,
}
"""Tables that hold documents by name."""

SINGLETONS: dict[str, type] = {"organisation": Organisation, "objective": Objective}
"""Tables that hold a single document."""


class Tables(NamedTuple):
    """All documents of one configuration."""

    revision: int
    organisation: Organisation
    objective: Objective = Objective()
    regions: dict[str, Region] = {}
    domains: dict[str, Domain] = {}
    hosts: dict[str, Host] = {}
    endpoints: dict[str, Endpoint] = {}
    profiles: dict[str, Profile] = {}
    teams: dict[str, Team] = {}
