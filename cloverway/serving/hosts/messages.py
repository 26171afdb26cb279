"""Messages between hosts of a fleet, and their codec."""

from __future__ import annotations

from typing import NamedTuple

from cloverway.structs import StructCodec


class HostState(NamedTuple):
    """The state of a host and its age."""

    name: str
    incarnation: int
    domain: str
    region: str
    callers: str
    """Its address for callers."""
    inner: str
    """Its address for requests that other hosts forward."""
    ready: bool
    leaving: bool
    age_ms: int
    capacity: int = 1
    """Requests per second that its machine sustains."""
    rate_mhz: int = 0
    """Rate of requests from callers at it, in thousandths per second."""
    period_ms: int = 0
    """Time between its heartbeats to its region; 0 if unknown."""


class EndpointUse(NamedTuple):
    """The sender's load at one endpoint, and the prompt segments that it sent there recently."""

    endpoint: str
    running: int
    unread: int
    """Pending prefill, in prompt tokens."""
    held: int
    """KV cache tokens reserved until the requests end."""
    parts: tuple[int, ...] = ()
    """The ids of the segments."""
    tokens: tuple[int, ...] = ()
    """The size of each segment in tokens."""
    read: int = 0
    """Prompt tokens sent there since the sender's last message."""
    born_ms: int = 0
    """Start time of the endpoint's incarnation; 0 if endpoints do not state it."""


class EndpointUses(NamedTuple):
    """The load of one host at endpoints; for endpoints not listed its last message stays valid."""

    host: str
    uses: tuple[EndpointUse, ...]


class RegionOffer(NamedTuple):
    """The capacity for a service that the sender's region advertises."""

    service_name: str
    wait_ms: int
    free: int
    """Requests that may be sent there at once."""
    room: int = 0
    """Prompt tokens of the largest of these requests."""
    read_ns: int = 0
    """Prefill time per prompt token at the engine with the shortest queue."""
    token_us: int = 0
    """Decode time per output token there."""
    running: int = 0
    """Requests that run there."""


class Heartbeat(NamedTuple):
    """A heartbeat, one datagram from host to host."""

    sender: HostState
    version: int
    """The version of the sender's configuration."""
    revision: int
    """The store revision that the sender has read, itself or through other hosts."""
    read_age_ms: int
    """Time since the store was read."""
    others: tuple[HostState, ...] = ()
    offers: tuple[RegionOffer, ...] = ()
    rate_mhz: int = 0
    """Rate of requests from callers at the sender, in thousandths per second."""
    digest: int = 0
    """Digest of the content of all documents that the sender knows."""
    known: int = 0
    """Number of hosts that the sender knows."""
    epoch: int = 0
    """The epoch of the store that `revision` belongs to."""
    domain_hosts: int = 0
    """Number of hosts of the sender's failure domain, those included that it can't reach; 0 if it
    doesn't know."""
    region_hosts: int = 0
    """The same for its region."""


class StoredDocument(NamedTuple):
    """A published document as the sender read it."""

    key: str
    revision: int
    value: bytes
    removed: bool = False
    epoch: int = 0


class StoredSnapshot(NamedTuple):
    """Published documents that the sender knows: all, or those that changed."""

    revision: int
    documents: tuple[StoredDocument, ...]
    whole: bool = True
    digest: int = 0
    """Digest of all documents that the sender knows."""
    epoch: int = 0


class EndpointCrash(NamedTuple):
    """The crash of an endpoint, and the digests of the requests that ran there."""

    life: str
    """The incarnation of the endpoint."""
    digests: tuple[int, ...]
    age_ms: int


class ServedDigest(NamedTuple):
    """A request that was served, by its digest."""

    digest: int
    age_ms: int


class CrashReport(NamedTuple):
    """Crashes of endpoints that a host knows of."""

    host: str
    crashes: tuple[EndpointCrash, ...] = ()
    served: tuple[int, ...] = ()
    """Digests of requests that were served after they had run at a crashed endpoint."""
    excused: tuple[ServedDigest, ...] = ()
    """Requests that others reported with a crash, and that the sender had seen served before."""


class EndpointPartCrash(NamedTuple):
    """The crash of an endpoint, and the parts of the prompts that ran there."""

    life: str
    """The incarnation of the endpoint."""
    parts: tuple[int, ...]
    """Ids of prompt segments."""
    age_ms: int
    lasted_ms: tuple[int, ...] = ()
    """How long before the crash the first request with each part was sent there; -1 if unknown."""


class PartServed(NamedTuple):
    """A part of prompts that had a whole answer after endpoints crashed."""

    part: int
    age_ms: int
    """Time since the request of that answer was sent to its endpoint."""


class PartReport(NamedTuple):
    """Parts of prompts that ran at crashed endpoints, as far as a host knows."""

    host: str
    crashes: tuple[EndpointPartCrash, ...] = ()
    served: tuple[PartServed, ...] = ()


class EndpointStatement(NamedTuple):
    """The last statement of an endpoint incarnation about itself."""

    life: str
    limit_milli: int
    """The limit that it sets for all hosts together, in thousandths of a request per second; -1 if
    the limit has ended."""
    limit_age_ms: int
    """Time since that statement was received."""
    leaving: bool = False
    """Whether the endpoint has stated that it is leaving."""


class StatementReport(NamedTuple):
    """Statements of endpoints of its region that a host knows of."""

    host: str
    statements: tuple[EndpointStatement, ...]


class SuspectSend(NamedTuple):
    """A request that ran at crashed endpoints, and where it runs now."""

    digest: int
    life: str
    """The incarnation of the endpoint that runs it."""
    level: int
    """A value of `SuspicionLevel`."""
    left_ms: int
    """Time until it must have ended."""


class SuspectReport(NamedTuple):
    """All suspected requests in progress at a host."""

    host: str
    runs: tuple[SuspectSend, ...] = ()


class StreamsBegun(NamedTuple):
    """Streams that one version of a service began."""

    host: str
    service_name: str
    version: str
    """The software version of the endpoints that began them."""
    keys: tuple[int, ...]
    left_ms: tuple[int, ...]
    """For each stream, how long it is worth remembering."""


class StreamQuery(NamedTuple):
    """Asks a host where a stream began."""

    host: str
    number: int
    """Chosen by the sender; the reply repeats it."""
    key: int
    service_name: str
    """The only service at which it can have begun; empty if there are several."""
    life_ms: int
    """How long ago it may have begun."""


class StreamReply(NamedTuple):
    """The reply to a StreamQuery."""

    host: str
    number: int
    is_known: bool
    """Whether the host remembers the stream; `service_name` and `version` are what began it."""
    service_name: str = ""
    version: str = ""
    only_version: str = ""
    """The only version of the queried service that served meanwhile; empty if the host, which does
    not remember the stream, can't show that there was only one."""


MESSAGES = (
    *(Heartbeat, StoredSnapshot, EndpointUses, CrashReport),
    *(StatementReport, SuspectReport, PartReport),
    *(StreamsBegun, StreamQuery, StreamReply),
)
CODEC = StructCodec("fleet.thrift", MESSAGES)
