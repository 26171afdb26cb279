"""The configuration that operators publish: its schema and its checks.

The same documents come from a directory of TOML files or from the platform's service.
Validation is a pure function of the documents, so that every host comes to the same verdict.
"""

from __future__ import annotations

import ipaddress
import json
import re
import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import IntEnum, StrEnum
from functools import cached_property
from typing import Annotated, Any, Literal, NamedTuple

from pydantic import AfterValidator, Field

from cloverway.config.checks import Claims, Place, find_faults
from cloverway.config.options import Findings, suggest, validate

VALUE_BYTES = 1024 * 1024
"""The longest document, as JSON; the platform holds no longer ones."""

ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)

NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
KEY_HASH = re.compile(r"sha256:[0-9a-f]{64}")
ADDRESS = re.compile(r"(?P<ip>[0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):(?P<port>[0-9]{1,5})")


def check_address(address: str) -> str:
    """Raise ValueError unless an address is an IP number and a port."""
    found = ADDRESS.fullmatch(address)
    if found is None or not 0 < int(found["port"]) < 2**16:
        raise ValueError("must be an IP number and a port, such as 10.0.0.1:7000")
    ipaddress.ip_address(found["ip"].strip("[]"))
    return address


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

SINGLES: dict[str, type] = {"organisation": Organisation, "objective": Objective}
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


class Published(Tables):
    """One whole, valid configuration. Look-ups below are dictionaries by name.

    A class of its own so that indexes are kept with it: a tuple has no place for them.
    """

    @classmethod
    def from_documents(cls, documents: Mapping[str, Any], source: str = "") -> Published:
        """Validate nested tables; raise ConfigurationError with all findings, or give the whole."""
        findings = Findings(source)
        published = cls.check_documents(documents, findings)
        findings.raise_if_any()
        assert published is not None
        return published

    @classmethod
    def check_documents(cls, documents: Mapping[str, Any], findings: Findings) -> Published | None:
        """Validate nested tables; note every finding, and give the whole if there is no error."""
        revision = documents.get("revision")
        if not is_revision(revision):
            findings.add("revision", "must be a whole number over 0; raise it with each change")
        values = dict(_list_values(documents, findings))
        for place, value in values.items():
            try:
                encode_value(value)
            except ValueError as error:
                findings.add(place.dotted, str(error))
        parsed = {place: parse_document(place, value, findings) for place, value in values.items()}
        if Place("organisation") not in parsed:
            findings.add("organisation", "is missing; publish it")
        if findings.errors:
            return None
        assert isinstance(revision, int)
        published = cls(**_group(parsed), revision=revision)
        for fault in find_faults(published, parsed, Claims()):
            findings.add(*fault)
        return None if findings.errors else published

    def region_of(self, domain: str) -> str:
        """Give the region of a failure domain, or an empty name for an unknown one."""
        found = self.domains.get(domain)
        return found.region if found else ""

    def hosts_of(self, domain: str) -> tuple[str, ...]:
        """List the names of a failure domain's hosts, sorted."""
        return self._hosts_by_domain.get(domain, ())

    def endpoints_of(self, domain: str) -> tuple[str, ...]:
        """List the names of a failure domain's endpoints, sorted."""
        return self._endpoints_by_domain.get(domain, ())

    @cached_property
    def _hosts_by_domain(self) -> dict[str, tuple[str, ...]]:
        return _group_by_domain(self.hosts)

    @cached_property
    def _endpoints_by_domain(self) -> dict[str, tuple[str, ...]]:
        return _group_by_domain(self.endpoints)


def is_revision(value: Any) -> bool:
    """Tell whether a value is a revision: a whole number from 1 that fits 63 bits."""
    return isinstance(value, int) and not isinstance(value, bool) and 1 <= value < 2**63


def parse_document(place: Place, value: Any, findings: Findings) -> Any:
    """Give one document as its NamedTuple, or None when the findings say why not."""
    if place.table in SINGLES:
        return validate(SINGLES[place.table], value, findings, place.dotted)
    if NAME.fullmatch(place.name) is None:
        findings.add(place.dotted, "has a name that can't be used; take a-z, 0-9, '-' and '.'")
        return None
    return validate(TABLES[place.table], value, findings, place.dotted)


def encode_value(value: Any) -> bytes:
    """Give a document's value as canonical JSON; raise ValueError with the remedy if it can't be.

    Equal values have equal text, so that it serves to compare and to digest as well.
    """
    try:
        text = ENCODER.encode(value).encode()
    except (TypeError, ValueError, RecursionError):
        raise ValueError("holds what JSON can't carry; use no dates, nan or inf") from None
    if len(text) > VALUE_BYTES:
        raise ValueError(f"is longer than {VALUE_BYTES} bytes; split it")
    return text


def warn_unknown(table: str, findings: Findings) -> None:
    """Warn of a table that this release does not know, such as one of a later release."""
    findings.warn(table, f"is not a known table; {suggest(table, [*TABLES, *SINGLES])}")


def _list_values(documents: Mapping[str, Any], findings: Findings) -> Iterable[tuple[Place, Any]]:
    for table, value in documents.items():
        if table in SINGLES:
            yield Place(table), value
        elif table in TABLES and isinstance(value, Mapping):
            yield from ((Place(table, str(name)), entry) for name, entry in value.items())
        elif table in TABLES:
            findings.add(table, f"is not a table; write [{table}.NAME]")
        elif table != "revision":
            warn_unknown(table, findings)


def _group(parsed: Mapping[Place, Any]) -> dict[str, Any]:
    """Sort documents into the fields of `Published`."""
    tables: dict[str, Any] = {table: {} for table in TABLES}
    for place, document in parsed.items():
        if place.name:
            tables[place.table][place.name] = document
        else:
            tables[place.table] = document
    return tables


def _group_by_domain(placed: Mapping[str, Any]) -> dict[str, tuple[str, ...]]:
    names: dict[str, list[str]] = defaultdict(list)
    for name in sorted(placed):
        names[placed[name].domain].append(name)
    return {domain: tuple(found) for domain, found in names.items()}
