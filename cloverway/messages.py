"""Typed messages between the tasks of a daemon."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from cloverway.core.calls import compute_digest
from cloverway.errors import Kind, Ran, RequestError


class Request(NamedTuple):
    """An authenticated request, as all decisions see it. Times are monotonic seconds."""

    id: str
    team: str
    profile: str
    path: str
    """Path below the endpoint's address, with its query."""
    method: str
    body: bytes
    content_type: str
    arrived_at: float
    deadline: float
    stream: bool = False
    key: str = ""
    """The idempotency key, or empty."""
    is_forwarded: bool = False
    """Came from another host: run here or refused, never passed on again."""
    revision: int = 0
    """Configuration revision by which the first host admitted it."""

    def compute_digest(self) -> int:
        """Give a number that all repeats of the request have in common, whatever their ids."""
        who = (self.team, self.profile, self.method, self.path)
        return compute_digest(who, self.body)


class LocalRoute(NamedTuple):
    """Run at an endpoint of this failure domain."""

    endpoint: str
    url: str


class RemoteRoute(NamedTuple):
    """Pass on to a host of another failure domain."""

    domain: str
    host: str
    address: str


Route = LocalRoute | RemoteRoute


class Outcome(StrEnum):
    """How an attempt ended."""

    DONE = "done"
    NOT_SENT = "not_sent"
    """No byte left this host: the attempt certainly did not run."""
    REFUSED = "refused"
    """The endpoint or the other host said that it did not start."""
    FAILED = "failed"
    """It failed after the first byte may have left."""
    LOST = "lost"
    """The same, and the connection to the endpoint broke, as it does when the endpoint ends."""
    CALLER_LEFT = "caller_left"


class Arrival(NamedTuple):
    """Worker to dispatcher: a request asks for a route."""

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
    """Asks for another route for the same request."""
    pause_s: float | None = None
    """How long the endpoint wants nothing from this host, where it said so."""


class Cancelled(NamedTuple):
    """Worker to dispatcher: the caller left while the request was queued."""

    request_id: str


class Admitted(NamedTuple):
    """Dispatcher to worker: run it along this route."""

    ticket: int
    route: Route


class Refused(NamedTuple):
    """Dispatcher to worker: the final answer, given at once."""

    kind: Kind
    detail: str = ""
    retry_after: float | None = None
    ran: Ran = Ran.NO

    def as_error(self) -> RequestError:
        """Give the error that answers the caller."""
        return RequestError(self.kind, self.detail, ran=self.ran, retry_after=self.retry_after)


Verdict = Admitted | Refused
