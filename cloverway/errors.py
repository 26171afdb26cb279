"""Error kinds, the answer that a caller gets for each kind, and the exception hierarchy."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypedDict

DEFAULT_RETRY_AFTER_S = 1.0
"""Retry-After in seconds if no better value is known."""


class Ran(StrEnum):
    """Whether an endpoint ran a request; `NO` is a guarantee that it did not."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


def combine_ran(first: Ran, second: Ran) -> Ran:
    """Return the claim that covers two attempts: YES if either ran, else UNKNOWN over NO."""
    return max(first, second, key=RAN_ORDER.index)


class Kind(StrEnum):
    """All ways in which a request can fail; callers can rely on the list being complete."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    RESIDENCY = "residency"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_MISMATCH = "key_mismatch"
    KEY_EXPIRED = "key_expired"
    KEY_IN_USE = "key_in_use"
    KEY_OWNER_LOST = "key_owner_lost"
    KEY_SPENT = "key_spent"
    ANSWER_GONE = "answer_gone"
    OVERLOADED = "overloaded"
    TEAM_LIMIT = "team_limit"
    NO_CAPACITY = "no_capacity"
    QUARANTINED = "quarantined"
    STREAM_UNKNOWN = "stream_unknown"
    VERSION_GONE = "version_gone"
    STARTING = "starting"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    TIMED_OUT = "timed_out"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_FAILED = "endpoint_failed"
    TRUNCATED = "truncated"
    CALLER_LEFT = "caller_left"
    INTERNAL = "internal"


class ErrorAnswer(NamedTuple):
    """The answer that callers get for one kind of error."""

    status: int
    title: str
    ran: Ran
    has_retry_after: bool
    """Whether the answer carries Retry-After."""


ERROR_ANSWERS: dict[Kind, ErrorAnswer] = {
    Kind.MALFORMED: ErrorAnswer(400, "The request is malformed", Ran.NO, False),
    Kind.UNAUTHENTICATED: ErrorAnswer(401, "No valid caller key", Ran.NO, False),
    Kind.FORBIDDEN: ErrorAnswer(403, "The team may not use this profile", Ran.NO, False),
    Kind.RESIDENCY: ErrorAnswer(403, "The data may not leave its region", Ran.NO, False),
    Kind.NOT_FOUND: ErrorAnswer(404, "There is no such resource", Ran.NO, False),
    Kind.METHOD_NOT_ALLOWED: ErrorAnswer(405, "The method is not allowed here", Ran.NO, False),
    Kind.TOO_LARGE: ErrorAnswer(413, "The request is too large", Ran.NO, False),
    Kind.TOO_SLOW: ErrorAnswer(408, "The request arrived too slowly", Ran.NO, False),
    Kind.KEY_REQUIRED: ErrorAnswer(428, "An idempotency key is required", Ran.NO, False),
    Kind.KEY_INVALID: ErrorAnswer(422, "No host issued this idempotency key", Ran.NO, False),
    Kind.KEY_MISMATCH: ErrorAnswer(422, "The key belongs to a different request", Ran.NO, False),
    Kind.KEY_EXPIRED: ErrorAnswer(409, "The idempotency key has expired", Ran.UNKNOWN, False),
    Kind.KEY_IN_USE: ErrorAnswer(409, "The first request with this key goes on", Ran.UNKNOWN, True),
    Kind.KEY_OWNER_LOST: ErrorAnswer(
        503, "The host that issued the key can't be asked", Ran.UNKNOWN, True
    ),
    Kind.KEY_SPENT: ErrorAnswer(409, "It may have run and is never run again", Ran.UNKNOWN, False),
    Kind.ANSWER_GONE: ErrorAnswer(409, "It ran; its answer is no longer held", Ran.YES, False),
    Kind.OVERLOADED: ErrorAnswer(429, "There is more work than capacity", Ran.NO, True),
    Kind.TEAM_LIMIT: ErrorAnswer(429, "The team is over its fair share", Ran.NO, True),
    Kind.NO_CAPACITY: ErrorAnswer(503, "No endpoint is ready for this", Ran.NO, True),
    Kind.QUARANTINED: ErrorAnswer(503, "Endpoints ended while they ran this request", Ran.NO, True),
    Kind.STREAM_UNKNOWN: ErrorAnswer(503, "Where the stream began isn't known", Ran.NO, True),
    Kind.VERSION_GONE: ErrorAnswer(503, "Nothing serves that can go on with it", Ran.NO, True),
    Kind.STARTING: ErrorAnswer(503, "This host has no configuration yet", Ran.NO, True),
    Kind.LEAVING: ErrorAnswer(503, "This host is leaving", Ran.NO, True),
    Kind.DEADLINE: ErrorAnswer(504, "The deadline can't be met", Ran.NO, True),
    Kind.TIMED_OUT: ErrorAnswer(504, "No whole answer came in time", Ran.UNKNOWN, False),
    Kind.ENDPOINT_REFUSED: ErrorAnswer(503, "The endpoint did not start the request", Ran.NO, True),
    Kind.ENDPOINT_FAILED: ErrorAnswer(502, "The endpoint failed", Ran.UNKNOWN, False),
    Kind.TRUNCATED: ErrorAnswer(502, "The answer was cut short", Ran.UNKNOWN, False),
    Kind.CALLER_LEFT: ErrorAnswer(499, "The caller left", Ran.UNKNOWN, False),
    Kind.INTERNAL: ErrorAnswer(500, "The gateway failed", Ran.UNKNOWN, False),
}


class Problem(TypedDict, total=False):
    """The body of an error answer: application/problem+json (RFC 9457)."""

    type: str
    title: str
    status: int
    kind: str
    ran: str
    detail: str
    request_id: str
    retry_after_s: float


class CloverwayError(Exception):
    """Base of all exceptions that this package raises."""


class UserError(CloverwayError):
    """A mistake that the user can correct; shown without a traceback."""


class ConfigurationError(UserError):
    """Invalid settings or published documents; carries every finding."""

    def __init__(self, findings: list[str]) -> None:
        super().__init__("\n".join(findings))
        self.findings = findings


class PlatformError(CloverwayError):
    """The platform could not be read."""


class DocumentError(CloverwayError):
    """A published document could not be read."""


class PeerError(CloverwayError):
    """A peer could not be reached, or sent a message that is invalid or not authentic."""


class RequestError(CloverwayError):
    """A request failed; carries the contents of its error answer."""

    def __init__(
        self,
        kind: Kind,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else ERROR_ANSWERS[kind].ran
        # Callers that get a refusal without Retry-After retry at once or never. The default is set
        # here, so that no code that raises the error can omit it. If the outcome is unknown, the
        # omission may be intended: a replaced issuer of a key never learns the outcome, so that a
        # later retry makes no difference.
        if retry_after is None and self.ran is Ran.NO and ERROR_ANSWERS[kind].has_retry_after:
            retry_after = DEFAULT_RETRY_AFTER_S
        self.retry_after = retry_after
        """Seconds until a new attempt is useful; None for kinds without Retry-After."""

    @property
    def status(self) -> int:
        """The HTTP status of the answer."""
        return ERROR_ANSWERS[self.kind].status

    def as_problem(self, request_id: str) -> Problem:
        """Return the body of the error answer."""
        answer = ERROR_ANSWERS[self.kind]
        problem = Problem(
            type=f"urn:cloverway:error:{self.kind}",
            title=answer.title,
            status=answer.status,
            kind=str(self.kind),
            ran=str(self.ran),
            detail=self.detail or answer.title,
            request_id=request_id,
        )
        if self.retry_after is not None:
            problem["retry_after_s"] = round(self.retry_after, 3)
        return problem


class EndpointLostError(RequestError):
    """The connection to an endpoint was lost while it ran a request, as when it crashes."""


class EndpointUnreachableError(RequestError):
    """Connecting to an endpoint failed, so that it did not receive the request."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(Kind.ENDPOINT_REFUSED, detail, ran=Ran.NO)


class PeerUnreachableError(RequestError):
    """Another host could not be reached, or was lost before it had the whole request.

    The request did not run. This says nothing about the other hosts of its failure domain.
    """

    def __init__(self, detail: str = "") -> None:
        super().__init__(Kind.ENDPOINT_REFUSED, detail, ran=Ran.NO)


class CallError(RequestError):
    """A call by `cloverway.client` failed; carries what a report or a retry needs."""

    def __init__(
        self,
        kind: Kind,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after: float | None = None,
        key: str = "",
        request_id: str = "",
        host: str = "",
        reached: bool = True,
    ) -> None:
        super().__init__(kind, detail, ran=ran, retry_after=retry_after)
        self.key = key
        """The idempotency key that the call was sent with, or empty."""
        self.request_id = request_id
        self.host = host
        """The address of the entry host that was called last."""
        self.reached = reached
        """Whether that host answered; if it did not, another host may."""
