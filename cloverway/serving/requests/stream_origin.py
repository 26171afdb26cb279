"""Where a stream began that a caller takes up: only that version may go on with it."""

from __future__ import annotations

import random
from urllib.parse import quote, unquote

from cloverway.core.calls import Call
from cloverway.core.deployment import CallKind, Route
from cloverway.core.stream_origins import AMBIGUOUS, StreamOrigin, compute_stream_key
from cloverway.errors import Kind, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.hosts.stream_origins import DEFAULT_LIFE_S, Answer
from cloverway.serving.telemetry import log_event

ORIGIN_HEADER = b"cloverway-stream-origin"
"""Header between hosts: service and version that began a stream. In a request only this version may
go on with it; in a response it is the version of the events. Callers never get it."""
STREAM_LIVES_PER_TIMEOUT = 2
"""How long a stream may last, over all tries of its caller, in timeouts of its route."""
RETRY_AFTER_S = (0.2, 0.6)
"""Range of Retry-After where no host knows the origin: others may be back by then."""


def encode_origin(origin: StreamOrigin) -> bytes:
    """Return the value of ORIGIN_HEADER."""
    return f"{quote(origin.service, safe='')};{quote(origin.version, safe='')}".encode()


def decode_origin(value: bytes | None) -> StreamOrigin | None:
    """Decode the value of ORIGIN_HEADER; return None if it is missing or malformed."""
    service, _, version = (value or b"").decode("latin-1").partition(";")
    if not service or not version:
        return None
    return StreamOrigin(unquote(service), unquote(version))


def choose_stream_key(call: Call) -> int:
    """Return the key of the stream that a request continues.

    A caller that doesn't name its first request is recognized by what it repeats.
    """
    return compute_stream_key(call.resumes) if call.resumes else call.compute_digest()


def list_stream_keys(call: Call) -> list[int]:
    """Return the keys under which the stream of a request is remembered."""
    first_id = call.resumes if call.last_event_id else call.id
    keys = [call.compute_digest()]
    return [compute_stream_key(first_id), *keys] if first_id else keys


async def find_origin(context: Context, call: Call, route: Route) -> StreamOrigin | None:
    """Return what began the stream that a request continues; None for any other request.

    Raise RequestError, as not run, if that isn't certain: a stream that goes on at another version
    looks complete and is not.
    """
    if not call.last_event_id or route.kind is not CallKind.STREAM:
        return None
    stated = call.forwarding.origin if call.forwarding is not None else None
    if stated is not None:
        return stated
    began_at = read_clock()
    life_s = max(DEFAULT_LIFE_S, STREAM_LIVES_PER_TIMEOUT * route.timeout_s)
    service = context.directory.find_only_service(call.host, call.path, life_s, began_at)
    answer = await context.stream_origins.find(choose_stream_key(call), service, life_s)
    origin, source = _decide(context, answer, service, life_s)
    context.metrics.record_event(f"stream_origin_{source}")
    log_event(
        "stream_taken_up",
        request_id=call.id,
        resumes=call.resumes or None,
        after_event=call.last_event_id,
        source=source,
        service=origin.service if origin else service,
        endpoint_version=origin.version if origin else None,
        asked=answer.asked,
        answered=answer.answered,
        lasted_s=round(read_clock() - began_at, 3),
    )
    if origin is None:
        why = "no host that answers knows which version of the service began the stream"
        raise RequestError(Kind.STREAM_UNKNOWN, why, retry_after=random.uniform(*RETRY_AFTER_S))
    if origin.service not in {share.service for share in route.services}:
        why = f"the route no longer leads to the service {origin.service} that began the stream"
        raise RequestError(Kind.VERSION_GONE, why)
    return origin


def _decide(
    context: Context, answer: Answer, service: str | None, life_s: float
) -> tuple[StreamOrigin | None, str]:
    """Return the origin, and how it is known.

    That one version served all the while comes last: a host that remembers the stream may have
    heard earlier of another version.
    """
    if answer.origin is not None and answer.origin != AMBIGUOUS:
        return answer.origin, "asked" if answer.asked else "remembered"
    if answer.origin == AMBIGUOUS or service is None:
        return None, "unknown"
    own = context.directory.find_only_version(service, life_s, read_clock())
    versions = {version for version in (own, answer.only_version) if version is not None}
    seen = context.directory.list_recent_versions(service, life_s, read_clock())
    if len(versions) != 1 or not seen <= versions:
        return None, "unknown"
    return StreamOrigin(service, versions.pop()), "only"
