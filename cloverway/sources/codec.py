"""Decode the JSON responses of the platform's service."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from cloverway.config.published import is_revision
from cloverway.errors import PlatformError
from cloverway.sources.port import Changes, Document, MemberState, MemberStates


def decode_changes(data: bytes, after: int) -> Changes:
    """Decode the changes after a revision; raise PlatformError if they are malformed."""
    body = _decode(data)
    documents = body.get("documents")
    if not isinstance(documents, list):
        raise PlatformError("the documents in the response are not a list")
    revision = _parse_revision(body.get("revision"), minimum=0)
    return Changes(revision, after, tuple(_parse_document(item) for item in documents))


def decode_member_states(data: bytes) -> MemberStates:
    """Decode the states of hosts and endpoints; raise PlatformError if they are malformed."""
    body = _decode(data)
    return MemberStates(_parse_states(body.get("hosts")), _parse_states(body.get("endpoints")))


def _decode(data: bytes) -> Mapping[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise PlatformError("the response is not JSON") from error
    if not isinstance(body, dict):
        raise PlatformError("the response is not a JSON object")
    return body


def _parse_document(item: Any) -> Document:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformError("a document in the response has no key")
    value = item.get("value")
    if not isinstance(value, dict | None):
        raise PlatformError(f"the value of {item['key'][:80]!r} is not a JSON object")
    return Document(item["key"], _parse_revision(item.get("revision"), minimum=1), value)


def _parse_revision(value: Any, minimum: int) -> int:
    if isinstance(value, int) and (is_revision(value) or (value == 0 and minimum == 0)):
        return int(value)
    raise PlatformError(f"{str(value)[:80]!r} is not a revision")


def _parse_states(states: Any) -> dict[str, MemberState]:
    if not isinstance(states, dict):
        raise PlatformError("the states in the response are not a JSON object")
    return {name: _parse_state(entry) for name, entry in states.items()}


def _parse_state(entry: Any) -> MemberState:
    """Decode one state; an unknown one is treated as leaving, so that no new requests are sent."""
    state = entry.get("state") if isinstance(entry, dict) else entry
    return MemberState.LIVE if state == MemberState.LIVE else MemberState.LEAVING
