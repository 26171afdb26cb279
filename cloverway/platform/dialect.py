"""Format of requests and responses between callers, hosts and the platform's endpoints."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Iterable, Sequence
from urllib.parse import parse_qs

from cloverway.core.calls import Call, Header, Prompt, PromptSegment
from cloverway.core.deployment import Document, Publication
from cloverway.errors import Kind, Ran, RequestError
from cloverway.platform import names
from cloverway.platform.documents import decode_documents
from cloverway.platform.entries import decode_start_time
from cloverway.serving.http.client import ResponseHead
from cloverway.serving.http.hop_by_hop import list_end_to_end_headers
from cloverway.serving.http.server import Exchange
from cloverway.serving.ports import IncarnationFacts, Lookup, ReplyFacts, SendOptions

log = logging.getLogger(__name__)

LOOKUP_PATH = "/resolve"
READINESS_PATH = "/ready"
STATE_PATH = "/report"
"""Path at which an endpoint reports its state; this request doesn't occupy one of its slots."""
DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request that sets none, in seconds; the timeouts of routes are shorter."""
OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that callers take as "the request did not run", whether a host or an endpoint sent
them."""
MAX_PRIORITY = 9
DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
PROBLEM_HEADER = (b"Content-Type", b"application/problem+json")


class PlatformDialect:
    """Encodes and decodes the platform's HTTP messages."""

    def decode_documents(self, documents: Iterable[Document]) -> list[Publication]:
        """Decode published documents; malformed ones become `...Unreadable` publications."""
        return decode_documents(documents)

    def decode_call(self, exchange: Exchange) -> Call:
        """Decode a caller's request; raise RequestError."""
        fields = dict(exchange.headers)
        call_id = fields.get(names.REQUEST_ID)
        if call_id is None:
            raise RequestError(Kind.MALFORMED, "the header with the request id is missing")
        deadline_s = _read_number(fields.get(names.DEADLINE), DEFAULT_DEADLINE_S * 1000) / 1000
        return Call(
            id=call_id.decode("latin-1"),
            method=exchange.method,
            target=exchange.target,
            host=_get_host(fields),
            headers=tuple(_list_forwarded_headers(exchange.headers)),
            body=exchange.body,
            arrived_at=exchange.arrived_at,
            deadline=exchange.arrived_at + deadline_s,
            prompt=_decode_prompt(fields),
            last_event_id=fields.get(names.LAST_EVENT, b"").decode("latin-1"),
            resumes=fields.get(names.RESUMES, b"").decode("latin-1"),
        )

    def decode_lookup(self, exchange: Exchange) -> Lookup | None:
        """Decode a query for the hosts to use; return None for any other request."""
        path, _, query = exchange.target.partition("?")
        if path != LOOKUP_PATH:
            return None
        values = parse_qs(query)
        host, domain, region = (values.get(key, [""])[0] for key in ("name", "zone", "region"))
        return Lookup(host.lower(), domain, region)

    def is_readiness(self, exchange: Exchange) -> bool:
        """Return whether a request is the readiness check."""
        return exchange.target.partition("?")[0] == READINESS_PATH

    def encode_lookup(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Return the body of the response to a lookup."""
        return json.dumps({"addresses": list(addresses), "ttlS": ttl_s}).encode()

    def encode_endpoint_headers(self, call: Call, options: SendOptions) -> list[Header]:
        """Return the headers of a request to an endpoint."""
        headers = [
            *call.headers,
            (names.DEADLINE, _format_ms(options.left_s)),
            # If another endpoint now has this address, it rejects the request without running it.
            (names.EXPECTED_ENDPOINT, options.endpoint_id.encode("latin-1")),
        ]
        if call.prompt is not None:
            priority = min(MAX_PRIORITY, options.priority)
            headers.append((names.PRIORITY, str(priority).encode()))
        if options.last_event_id:
            headers.append((names.LAST_EVENT, options.last_event_id.encode("latin-1")))
        if options.fetch_from:
            headers.append((names.FETCH_FROM, options.fetch_from.encode("latin-1")))
        return headers

    def encode_peer_headers(self, call: Call, left_s: float) -> list[Header]:
        """Return the headers of a request that is forwarded to a host, in the callers' format."""
        headers = [*call.headers, (names.DEADLINE, _format_ms(left_s))]
        if call.last_event_id:
            headers.append((names.LAST_EVENT, call.last_event_id.encode("latin-1")))
        return headers

    def decode_request_id(self, head: ResponseHead) -> str | None:
        """Return the id of the request that a response names; None if it names none."""
        request_id = head.get(names.REQUEST_ID)
        return request_id.decode("latin-1") if request_id is not None else None

    def decode_reply(self, head: ResponseHead) -> ReplyFacts:
        """Decode the head of an endpoint's response."""
        is_misdirected = head.status == MISDIRECTED
        not_run = head.get(names.NOT_RUN) is not None or is_misdirected
        is_signed = head.get(names.SIGNATURE) is not None
        limit = head.get(names.RATE_LIMIT)
        limit_per_s = _read_decimal(limit, "the request rate limit in a response is malformed")
        leaving = head.get(names.LEAVING) == b"1"
        pause = head.get(names.RETRY_AFTER) if head.status == UNAVAILABLE else None
        pause_s = _read_decimal(pause, "the retry-after header in a response is malformed")
        return ReplyFacts(not_run, is_signed, is_misdirected, limit_per_s, leaving, pause_s)

    def encode_incarnation_query(self, endpoint_id: str) -> tuple[str, list[Header]]:
        """Return target and headers of the GET that queries an endpoint for its start time."""
        return STATE_PATH, [(names.EXPECTED_ENDPOINT, endpoint_id.encode("latin-1"))]

    def decode_incarnation(self, head: ResponseHead, body: bytes) -> IncarnationFacts:
        """Decode the response to an incarnation query."""
        started_ms = decode_start_time(body) if head.status == OK else None
        return IncarnationFacts(head.status == MISDIRECTED, started_ms)

    def encode_health_query(self, endpoint_id: str) -> list[Header]:
        """Return the headers of a health check of an endpoint."""
        return [(names.EXPECTED_ENDPOINT, endpoint_id.encode("latin-1"))]

    def decode_cold_time(self, head: ResponseHead) -> float | None:
        """Return how long an endpoint is still cold by its health response; None if it isn't."""
        left = None if head.status == MISDIRECTED else head.get(names.COLD)
        left_ms = _read_decimal(left, "the cold time in a health response is malformed")
        return left_ms / 1000 if left_ms else None

    def encode_refusal(self, error: RequestError, call_id: str) -> tuple[int, list[Header], bytes]:
        """Return status, headers and body of the response to a request that failed at this host."""
        headers = [PROBLEM_HEADER]
        if call_id:
            headers.append((names.REQUEST_ID, call_id.encode("latin-1")))
        if error.retry_after is not None and error.ran is Ran.NO:
            headers.append((names.RETRY_AFTER, f"{error.retry_after:.3f}".encode()))
        body = json.dumps(error.as_problem(call_id)).encode()
        return _choose_status(error), headers, body


def _choose_status(error: RequestError) -> int:
    """Return a status that fits `error.ran`, since callers take some statuses as "did not run"."""
    if error.ran is Ran.NO and error.status >= 500:
        return 503
    if error.ran is not Ran.NO and error.status in NOT_RUN_STATUSES:
        return 502
    return error.status


def _list_forwarded_headers(headers: Iterable[Header]) -> Iterable[Header]:
    """Return the headers of a caller that are forwarded to an endpoint."""
    items = list_end_to_end_headers(headers, required=names.REQUEST_ID)
    return (item for item in items if item[0] not in names.RESERVED_HEADERS)


def _get_host(fields: dict[bytes, bytes]) -> str:
    return fields.get(b"host", b"").decode("latin-1").partition(":")[0].lower()


def _decode_prompt(fields: dict[bytes, bytes]) -> Prompt | None:
    tokens = fields.get(names.TOKEN_COUNTS)
    if tokens is None:
        return None
    counts = tokens.split(b",")
    if len(counts) != 2 or not all(count.strip().isdigit() for count in counts):
        raise RequestError(Kind.MALFORMED, "the header with the token counts is malformed")
    hint = fields.get(names.LENGTH_HINT)
    expected = int(_read_number(hint, 0)) if hint is not None else None
    segments = tuple(_decode_segments(fields.get(names.PROMPT_SEGMENTS, b"")))
    return Prompt(int(counts[0]), int(counts[1]), segments, expected)


def _decode_segments(value: bytes) -> Iterable[PromptSegment]:
    for item in filter(None, value.split(b",")):
        name, _, tokens = item.strip().partition(b":")
        try:
            # Truncated to 63 bits, because messages between hosts hold segment ids as signed
            # 64-bit integers.
            yield PromptSegment(int(name, 16) & (1 << 63) - 1, int(tokens))
        except ValueError:
            raise RequestError(Kind.MALFORMED, "the prompt prefix header is malformed") from None


def _read_number(value: bytes | None, default: float) -> float:
    if value is None:
        return default
    try:
        number = float(value)
    except ValueError:
        raise RequestError(Kind.MALFORMED, "a numeric header is malformed") from None
    if not 0 <= number < 1e9:
        raise RequestError(Kind.MALFORMED, "a numeric header is out of range")
    return number


def _read_decimal(value: bytes | None, message: str) -> float | None:
    """Return a decimal number, or None if it is missing, or malformed (which is logged)."""
    if value is None:
        return None
    if DECIMAL.fullmatch(value.strip()) is None:
        log.warning(message, extra={"value": value[:40]})
        return None
    return float(value)


def _format_ms(seconds: float) -> bytes:
    return str(max(1, int(seconds * 1000))).encode()
