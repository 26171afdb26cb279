"""Changes and lists as JSON: the platform's own form, which hosts use between them as well."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from cloverway.config.published import is_revision
from cloverway.errors import PlatformError
from cloverway.platform.port import Changes, Document, HostList, Listed


def encode_changes(changes: Changes) -> bytes:
    """Give changes as JSON text."""
    body = {
        "revision": changes.revision,
        "after": changes.after,
        "digest": changes.digest,
        "documents": [document._asdict() for document in changes.documents],
    }
    return json.dumps(body, separators=(",", ":")).encode()


def decode_changes(data: bytes, after: int | None = None) -> Changes:
    """Read changes; `after` is what was asked for, where the text does not say it.

    Raises PlatformError for anything that is not of the form.
    """
    body = _decode(data)
    documents = body.get("documents")
    if not isinstance(documents, list):
        raise PlatformError("the documents are not a list")
    start = body.get("after", 0) if after is None else after
    return Changes(
        _parse_revision(body.get("revision"), least=0),
        _parse_revision(start, least=0),
        tuple(_parse_document(item) for item in documents),
        str(body.get("digest", "")),
    )


def decode_list(data: bytes) -> HostList:
    """Read the list of hosts and endpoints; raises PlatformError for any other form."""
    body = _decode(data)
    return HostList(_parse_states(body.get("hosts")), _parse_states(body.get("endpoints")))


def _decode(data: bytes) -> Mapping[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise PlatformError("the answer is not JSON") from error
    if not isinstance(body, dict):
        raise PlatformError("the answer is not an object")
    return body


def _parse_document(item: Any) -> Document:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformError("a document has no key")
    value = item.get("value")
    if not isinstance(value, dict | None):
        raise PlatformError(f"the value of {item['key'][:80]!r} is not a table")
    return Document(item["key"], _parse_revision(item.get("revision"), least=1), value)


def _parse_revision(value: Any, least: int) -> int:
    if isinstance(value, int) and (is_revision(value) or (value == 0 and least == 0)):
        return int(value)
    raise PlatformError(f"{str(value)[:80]!r} is not a revision")


def _parse_states(states: Any) -> dict[str, Listed]:
    if not isinstance(states, dict):
        raise PlatformError("the list of states is not a table")
    return {name: _parse_state(entry) for name, entry in states.items()}


def _parse_state(entry: Any) -> Listed:
    """Read one state; one that is not known is taken as leaving, which sends it no new work."""
    state = entry.get("state") if isinstance(entry, dict) else entry
    return Listed.LIVE if state == Listed.LIVE else Listed.LEAVING
