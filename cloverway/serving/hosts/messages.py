"""What hosts of a fleet tell each other, and its form on the wire."""

from __future__ import annotations

from typing import NamedTuple

from cloverway.structs import StructCodec


class HostState(NamedTuple):
    """A host as it describes itself, and how long ago it did."""

    name: str
    incarnation: int
    domain: str
    region: str
    callers: str
    inner: str
    ready: bool
    leaving: bool
    age_ms: int
    capacity: int = 1
    """Requests per second that its machine bears."""
    rate_mhz: int = 0
    """Requests of callers at it, in thousandths per second."""
    period_ms: int = 0
    """Time between its heartbeats to its region; 0 where it doesn't say."""


class EndpointUse(NamedTuple):
    """What the sender has at one endpoint, and the prompt parts it sent there lately."""

    endpoint: str
    running: int
    unread: int
    """Prompt tokens that were not read yet."""
    held: int
    """Tokens of memory until the requests end."""
    parts: tuple[int, ...] = ()
    tokens: tuple[int, ...] = ()
    """The size of each of the parts."""
    read: int = 0
    """Prompt tokens that the sender sent there since it told of them last."""
    born_ms: int = 0
    """The start of the life of the endpoint that this is about; 0 where endpoints don't tell."""


class EndpointUses(NamedTuple):
    """What one host has at endpoints; those that are not named are as it said before."""

    host: str
    uses: tuple[EndpointUse, ...]


class RegionOffer(NamedTuple):
    """What the sender's region can take of a service."""

    service_name: str
    wait_ms: int
    free: int
    room: int = 0
    """Prompt tokens of the largest request that may be sent there at once."""
    read_ns: int = 0
    """Time to read a prompt token at the engine with the shortest queue."""
    token_us: int = 0
    """Time that a token of an answer takes there."""
    running: int = 0
    """Requests that run there."""


class Heartbeat(NamedTuple):
    """One datagram from host to host."""

    sender: HostState
    version: int
    """The version of the sender's configuration."""
    revision: int
    """How far the sender has read the store, itself or through others."""
    read_age_ms: int
    """How long ago it read the store."""
    others: tuple[HostState, ...] = ()
    offers: tuple[RegionOffer, ...] = ()
    rate_mhz: int = 0
    """Requests of callers at the sender, in thousandths per second."""
    digest: int = 0
    """Of what the documents mean that the sender knows."""
    known: int = 0
    """Hosts that the sender knows."""


class StoredDocument(NamedTuple):
    """One published document as the sender read it."""

    key: str
    revision: int
    value: bytes
    removed: bool = False


class StoredSnapshot(NamedTuple):
    """Published documents that the sender knows: all, or those that changed."""

    revision: int
    documents: tuple[StoredDocument, ...]
    whole: bool = True
    digest: int = 0
    """Of all documents that the sender knows."""


class EndpointCrash(NamedTuple):
    """The end of an endpoint, and the digests of the requests that ran there."""

    life: str
    digests: tuple[int, ...]
    age_ms: int


class CrashReport(NamedTuple):
    """What a host knows of endpoints that ended."""

    host: str
    crashes: tuple[EndpointCrash, ...] = ()
    served: tuple[int, ...] = ()
    """Digests of requests that were served after they had run at one that ended."""


class EndpointStatement(NamedTuple):
    """What a life of an endpoint has said of itself last."""

    life: str
    limit_milli: int
    """The limit that it names for all hosts, in thousandths of a request per second; -1 where it
    has ended."""
    limit_age_ms: int
    """How long ago it was heard to say so."""
    leaving: bool = False
    """Whether it has said that it leaves."""


class StatementReport(NamedTuple):
    """What a host knows of what endpoints of its region say of themselves."""

    host: str
    statements: tuple[EndpointStatement, ...]


class SuspectSend(NamedTuple):
    """A request under which endpoints have ended, and where it runs now."""

    digest: int
    life: str
    level: int
    """How far it is suspected."""
    left_ms: int
    """Until it has ended at the latest."""


class SuspectReport(NamedTuple):
    """All suspects that a host has under way."""

    host: str
    runs: tuple[SuspectSend, ...] = ()


MESSAGES = (
    *(Heartbeat, StoredSnapshot, EndpointUses, CrashReport),
    *(StatementReport, SuspectReport),
)
CODEC = StructCodec("fleet.thrift", MESSAGES)
