"""Typed messages that the tasks of a daemon exchange."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from cloverway.core.calls import compute_digest
from cloverway.errors import Kind, Ran, RequestError


class Request(NamedTuple):
    """An authenticated request, as the dispatcher and the gateway use it.

    Times are monotonic seconds.
    """

    id: str
    team: str
    profile: str
    path: str
    """Path below the endpoint's address, with the query string."""
    method: str
    body: bytes
    content_type: str
    arrived_at: float
    deadline: float
    stream: bool = False
    key: str = ""
    """The idempotency key, or empty."""
    is_forwarded: bool = False
    """Whether another host forwarded it; it is then run here or refused, never forwarded again."""
    revision: int = 0
    """Configuration revision with which the entry host admitted it."""

    def compute_digest(self) -> int:
        """Return a digest that is the same for all repeats of the request, whatever their IDs."""
        identity = (self.team, self.profile, self.method, self.path)
        return compute_digest(identity, self.body)


class LocalRoute(NamedTuple):
    """A route to an endpoint of this failure domain."""

    endpoint: str
    url: str


class RemoteRoute(NamedTuple):
    """A route through a host of another failure domain."""

    domain: str
    host: str
    address: str


Route = LocalRoute | RemoteRoute


class Outcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    """The endpoint or the other host could not be reached, so the attempt did not run."""
    REFUSED = "refused"
    """The endpoint or the other host answered that it did not start the request."""
    FAILED = "failed"
    """It failed after the first byte may have been sent."""
    LOST = "lost"
    """It failed like `FAILED`, because the connection broke; the endpoint may have crashed."""
    CALLER_LEFT = "caller_left"


class Arrival(NamedTuple):
    """Worker to dispatcher: a request needs a route."""

    request: Request


class Started(NamedTuple):
    """Worker to dispatcher: the first byte of the answer arrived."""

    ticket: int
    at: float


class Finished(NamedTuple):
    """Worker to dispatcher: the attempt ended."""

    ticket: int
    outcome: Outcome
    at: float
    retry: bool = False
    """Whether the worker needs another route for the same request."""
    requested_pause_s: float | None = None
    """Seconds for which the endpoint asked this host to send no requests, if it did."""


class Cancelled(NamedTuple):
    """Worker to dispatcher: the caller disconnected while the request was queued."""

    request_id: str


class Admitted(NamedTuple):
    """Dispatcher to worker: send the request by this route."""

    ticket: int
    route: Route


class Refused(NamedTuple):
    """Dispatcher to worker: refuse the request with this error."""

    kind: Kind
    detail: str = ""
    retry_after: float | None = None
    ran: Ran = Ran.NO

    def as_error(self) -> RequestError:
        """Return the error that is sent to the caller."""
        return RequestError(self.kind, self.detail, ran=self.ran, retry_after=self.retry_after)


Verdict = Admitted | Refused
