"""The heads of requests to endpoints and of their answers: what is sent, and what it means."""

from __future__ import annotations

from cloverway.errors import Kind, Ran, RequestError
from cloverway.messages import Request
from cloverway.upstream.connections import ResponseHead
from cloverway.upstream.framing import BodyParser, ChunkedBody, LengthBody, make_malformed_error

REQUEST_ID = "X-Request-Id"
"""Header of a request, by which endpoints name it in their answer."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
SERVER_HEADERS = frozenset({"content-length", "content-type", "date", "server", REQUEST_ID.lower()})
"""Headers that the gateway's own HTTP server writes."""


def make_headers(request: Request, priority: int, now: float) -> dict[str, str]:
    """Return the headers of a request to an endpoint."""
    headers = {
        "Accept-Encoding": "identity",
        "Cloverway-Deadline-Ms": str(max(0, int((request.deadline - now) * 1000))),
        "Cloverway-Priority": str(priority),
        "User-Agent": "cloverway",
        REQUEST_ID: request.id,
    }
    if request.content_type:
        headers["Content-Type"] = request.content_type
    if request.key:
        headers["Idempotency-Key"] = request.key
    return headers


def names_request(head: ResponseHead, request: Request) -> bool:
    """Return whether an answer names the request as its own.

    An endpoint may send its last answer once more when the next one is due on the connection. Only
    by the name can the two be told apart; on a new connection there is no earlier answer.
    """
    return head.headers.get(REQUEST_ID) == request.id


def may_reuse(head: ResponseHead, request: Request) -> bool:
    """Return whether a connection may carry another request, after a complete answer."""
    return head.keep_alive and names_request(head, request)


def raise_for_status(head: ResponseHead) -> None:
    """Raise RequestError for an answer that must not be passed to a caller."""
    if head.status in (429, 503) and head.headers.get("Cloverway-Ran", "").lower() == Ran.NO:
        raise RequestError(Kind.ENDPOINT_REFUSED, ran=Ran.NO, retry_after=_parse_retry_after(head))
    if head.status >= 500:
        raise RequestError(Kind.ENDPOINT_FAILED, f"the endpoint answered {head.status}")
    if 300 <= head.status < 400:
        raise RequestError(
            Kind.ENDPOINT_FAILED, "the endpoint answered with a redirect, which is not followed"
        )


def _parse_retry_after(head: ResponseHead) -> float | None:
    text = head.headers.get("Retry-After", "")
    return float(text) if text.isascii() and text.isdigit() else None


def make_body_parser(head: ResponseHead) -> BodyParser:
    """Return the parser for a body.

    A body that ends with the connection is an error: a truncated one would look the same.
    """
    if head.length is not None:
        return LengthBody(head.length)
    if head.chunked:
        return ChunkedBody()
    raise make_malformed_error("neither Content-Length nor chunked transfer coding")


def filter_headers(head: ResponseHead) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without hop-by-hop headers and those that the server sets."""
    named = {
        name.strip().lower()
        for value in head.headers.get_all("Connection", [])
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP | SERVER_HEADERS | named
    return tuple(
        (name, value) for name, value in head.headers.items() if name.lower() not in dropped
    )
