"""The schema of what operators publish: one type a table, and what fits its fields."""

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
    """Raise ValueError unless an address is http:// with an IP number and a port."""
    if not url.startswith("http://"):
        raise ValueError("must be http:// with an IP number and a port")
    check_address(url.removeprefix("http://"))
    return url


def check_name(name: str) -> str:
    """Raise ValueError unless a name has the form of one; give the one copy that is kept of it."""
    if not NAME.fullmatch(name):
        raise ValueError("must be small letters, digits, '.' and '-', such as port-louis-a")
    return sys.intern(name)


def check_key_hash(key_hash: str) -> str:
    """Raise ValueError unless a text has the form of a hash; a key itself is never shown."""
    if not KEY_HASH.fullmatch(key_hash):
        raise ValueError("must be sha256: and 64 hexadecimal digits, as `cloverway key` gives it")
    return key_hash


Name = Annotated[str, AfterValidator(check_name)]
Address = Annotated[str, AfterValidator(check_address)]
Url = Annotated[str, AfterValidator(check_url)]
Share = Annotated[float, Field(ge=0, le=1000, allow_inf_nan=False)]
KeyHash = Annotated[str, AfterValidator(check_key_hash)]


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

    tail_latency: Share = 1.0
    cost: Share = 1.0
    sent_away: Share = 1.0


class Region(NamedTuple):
    """A region: data may be bound to it."""

    title: str = ""
    trip_ms: Annotated[float, Field(ge=0, le=60_000, allow_inf_nan=False)] = 50.0
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
    urgency: Literal["batch", "normal", "urgent"] = "normal"
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


TABLES: dict[str, type] = {
    "regions": Region,
    "domains": Domain,
    "hosts": Host,
    "endpoints": Endpoint,
    "profiles": Profile,
    "teams": Team,
}
"""Tables with documents by name."""

SINGLETONS: dict[str, type] = {"organisation": Organisation, "objective": Objective}
"""Documents of which there is one."""


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
