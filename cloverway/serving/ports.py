"""What the tasks need of the platform: a reader of published documents, and a dialect of HTTP."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from cloverway.core.calls import Call, Header
from cloverway.core.deployment import Document, Publication, Snapshot
from cloverway.errors import PlatformError, RequestError
from cloverway.serving.http.client import ReplyHead
from cloverway.serving.http.server import Exchange


class StoreBusyError(PlatformError):
    """The store turned a read away because there were too many."""


class HistoryGoneError(PlatformError):
    """The store no longer has the changes after a revision; read everything again."""


class Store(Protocol):
    """Reads the platform's store; both calls raise PlatformError when it can't be read."""

    async def read_all(self) -> Snapshot:
        """Give all documents."""
        ...

    async def watch(self, after: int, wait_s: float) -> Snapshot:
        """Give what changed after a revision; wait up to some seconds until there is something."""
        ...


class ReplyFacts(NamedTuple):
    """What the head of an endpoint's answer says beside its status."""

    not_run: bool
    """Whether the endpoint says that it did not run the request, and never will."""
    is_signed: bool
    """Whether the endpoint's signature is there: without it the bytes are not the endpoint's."""
    is_misdirected: bool = False
    """Whether it came from another endpoint than the one that was meant."""
    limit_per_s: float | None = None
    """Requests a second that the endpoint takes from all hosts together; None for no limit."""
    leaving: bool = False
    """Whether the endpoint says that it leaves."""
    pause_s: float | None = None
    """How long the endpoint wants nothing from this host; None where it doesn't say."""


class SendOptions(NamedTuple):
    """What the system sets itself on a request that it sends to an endpoint."""

    endpoint_id: str
    left_s: float
    """Time that the endpoint has."""
    priority: int
    last_event_id: str = ""
    fetch_from: str = ""
    """The address of an endpoint that has read parts of the prompt already."""


class IncarnationFacts(NamedTuple):
    """What an endpoint that was asked for it says of itself."""

    is_misdirected: bool
    """Whether another endpoint answered."""
    born_ms: int | None
    """Unix time of its start; None where it doesn't say."""


class Lookup(NamedTuple):
    """A caller's question which hosts to use."""

    host: str
    domain: str
    region: str


class Dialect(Protocol):
    """Names and formats between callers, hosts and endpoints."""

    def decode_documents(self, documents: Iterable[Document]) -> list[Publication]:
        """Decode published documents; what can't be read is told as that."""
        ...

    def decode_call(self, exchange: Exchange) -> Call:
        """Decode a caller's request; raise RequestError."""
        ...

    def decode_lookup(self, exchange: Exchange) -> Lookup | None:
        """Decode a question which hosts to use; None when it is something else."""
        ...

    def is_readiness(self, exchange: Exchange) -> bool:
        """Tell whether a request asks if this host is ready."""
        ...

    def encode_lookup(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Give the body of the answer to a lookup."""
        ...

    def encode_endpoint_headers(self, call: Call, terms: SendOptions) -> list[Header]:
        """Give the headers of a request to an endpoint."""
        ...

    def encode_peer_headers(self, call: Call, left_s: float) -> list[Header]:
        """Give the headers of a request that another host is to run, in the callers' form."""
        ...

    def is_answer_to(self, head: ReplyHead, call: Call) -> bool:
        """Tell whether an answer belongs to a request."""
        ...

    def decode_reply(self, head: ReplyHead) -> ReplyFacts:
        """Decode the head of an endpoint's answer."""
        ...

    def encode_incarnation_query(self, endpoint_id: str) -> tuple[str, list[Header]]:
        """Give target and headers of the GET that asks an endpoint when it started."""
        ...

    def decode_incarnation(self, head: ReplyHead, body: bytes) -> IncarnationFacts:
        """Decode the answer to it."""
        ...

    def encode_refusal(self, error: RequestError, call_id: str) -> tuple[int, list[Header], bytes]:
        """Give status, headers and body of the answer to a request that failed here."""
        ...
