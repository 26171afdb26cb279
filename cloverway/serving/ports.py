"""Interfaces to the platform: a reader of published documents, and the dialect of HTTP."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

from cloverway.core.calls import Call, Header
from cloverway.core.deployment import Document, Publication, Snapshot, StorePosition
from cloverway.errors import PlatformError, RequestError
from cloverway.serving.http.client import ResponseHead
from cloverway.serving.http.server import Exchange


class StoreBusyError(PlatformError):
    """The store refused a read because of too many reads."""


class HistoryGoneError(PlatformError):
    """The store doesn't have the changes since a position; read all documents again."""


class Store(Protocol):
    """Reads the platform's store; both methods raise PlatformError when it can't be read."""

    async def read_all(self) -> Snapshot:
        """Return all documents."""
        ...

    async def watch(self, after: StorePosition, wait_s: float) -> Snapshot:
        """Return the changes after a position, of the same epoch.

        Wait up to `wait_s` seconds for the first one. Raise HistoryGoneError if the store doesn't
        have them, because it has discarded its history or has lost writes.
        """
        ...


class ReplyFacts(NamedTuple):
    """What the head of an endpoint's response states besides its status."""

    not_run: bool
    """Whether the endpoint states that it did not run the request and never will."""
    is_signed: bool
    """Whether the response has the endpoint's signature; without it, it may come from elsewhere."""
    is_misdirected: bool = False
    """Whether the response came from another endpoint than the addressed one."""
    limit_per_s: float | None = None
    """Requests a second that the endpoint accepts from all hosts together; None for no limit."""
    leaving: bool = False
    """Whether the endpoint states that it is leaving."""
    pause_s: float | None = None
    """For how many seconds this host must not send to the endpoint; None if not stated."""


class SendOptions(NamedTuple):
    """What a host adds to a request that it sends to an endpoint."""

    endpoint_id: str
    left_s: float
    """Time left for the endpoint, in seconds."""
    priority: int
    last_event_id: str = ""
    fetch_from: str = ""
    """The address of an endpoint that has segments of the prompt in its KV cache."""


class IncarnationFacts(NamedTuple):
    """The answer of an endpoint that was queried for its incarnation."""

    is_misdirected: bool
    """Whether another endpoint answered."""
    started_ms: int | None
    """Unix time of its start; None if not stated."""


class Lookup(NamedTuple):
    """A caller's query for the hosts to use."""

    host: str
    domain: str
    region: str


class Dialect(Protocol):
    """Names and formats of the protocol between callers, hosts and endpoints."""

    def decode_documents(self, documents: Iterable[Document]) -> list[Publication]:
        """Decode published documents; malformed ones are returned as unreadable."""
        ...

    def decode_call(self, exchange: Exchange) -> Call:
        """Decode a caller's request; raise RequestError."""
        ...

    def decode_lookup(self, exchange: Exchange) -> Lookup | None:
        """Decode a query for the hosts to use; return None for any other request."""
        ...

    def is_readiness(self, exchange: Exchange) -> bool:
        """Return whether a request is the readiness check."""
        ...

    def encode_lookup(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Return the body of the response to a lookup."""
        ...

    def encode_endpoint_headers(self, call: Call, options: SendOptions) -> list[Header]:
        """Return the headers of a request to an endpoint."""
        ...

    def encode_peer_headers(self, call: Call, left_s: float) -> list[Header]:
        """Return the headers of a request forwarded to a host, in the format that callers use."""
        ...

    def decode_request_id(self, head: ResponseHead) -> str | None:
        """Return the id of the request that a response names; None if it names none."""
        ...

    def decode_reply(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of an endpoint's response."""
        ...

    def encode_incarnation_query(self, endpoint_id: str) -> tuple[str, list[Header]]:
        """Return target and headers of the GET that queries an endpoint for its start time."""
        ...

    def decode_incarnation(self, head: ResponseHead, body: bytes) -> IncarnationFacts:
        """Decode the response to an incarnation query."""
        ...

    def encode_health_query(self, endpoint_id: str) -> list[Header]:
        """Return the headers of a health check of an endpoint."""
        ...

    def decode_cold_time(self, head: ResponseHead) -> float | None:
        """Return how long an endpoint is still cold by its health response, in seconds, or None."""
        ...

    def encode_refusal(self, error: RequestError, call_id: str) -> tuple[int, list[Header], bytes]:
        """Return status, headers and body of the response to a request that failed at this host."""
        ...
