"""The calls that this host serves for other hosts, and the encoding of published documents."""

from __future__ import annotations

import json
from collections.abc import Callable

from cloverway.errors import PeerError
from cloverway.messages import Request
from cloverway.once.claims import LedgerTask
from cloverway.once.keys import ClaimCall, ClaimResult, SettleCall
from cloverway.peers import peering, wire
from cloverway.replies import Gateway, Reply
from cloverway.sources.port import Changes, Document

GetChangesAfter = Callable[[int], Changes]
FetchEncodedChanges = Callable[[str, str, int], peering.EncodedChanges]


class PeerRequestHandler:
    """Dispatches the calls of other hosts to the components that serve them."""

    def __init__(
        self, keys: LedgerTask, gateway: Gateway, get_changes_after: GetChangesAfter
    ) -> None:
        self._keys = keys
        self._gateway = gateway
        self._get_changes_after = get_changes_after

    def claim(self, call: ClaimCall) -> ClaimResult:
        """Decide a claim of a key that this host issued."""
        return self._keys.claim(call)

    def settle(self, call: SettleCall) -> None:
        """Record the outcome of a run."""
        self._keys.settle(call)

    def run(self, request: Request) -> Reply:
        """Run a forwarded request on this host, or refuse it."""
        return self._gateway.run(request)

    def get_changes(self, after: int) -> peering.EncodedChanges:
        """Return the documents that changed after a revision."""
        return encode_changes(self._get_changes_after(after))


def encode_changes(changes: Changes) -> peering.EncodedChanges:
    """Encode changes for another host."""
    documents = tuple(
        wire.Change(document.key, document.revision, _encode_value(document))
        for document in changes.documents
    )
    return peering.EncodedChanges(changes.revision, documents, changes.after, changes.digest)


def decode_changes(changes: peering.EncodedChanges) -> Changes:
    """Decode changes from another host; raise PeerError when a document is malformed."""
    documents = tuple(_decode_change(change) for change in changes.changes)
    return Changes(changes.top, changes.after, documents, changes.digest)


def make_fetch_changes(fetch: FetchEncodedChanges) -> Callable[[str, str, int], Changes]:
    """Return a function that fetches the changes after a revision from a host at an address."""

    def fetch_decoded_changes(host: str, address: str, after: int) -> Changes:
        return decode_changes(fetch(host, address, after))

    return fetch_decoded_changes


def _encode_value(document: Document) -> str | None:
    if document.value is None:
        return None
    return json.dumps(document.value, separators=(",", ":"))


def _decode_change(change: wire.Change) -> Document:
    if change.value is None:
        return Document(change.key, change.revision, None)
    try:
        value = json.loads(change.value)
    except (ValueError, RecursionError) as error:
        raise PeerError(f"the value of {change.key[:80]!r} is not JSON") from error
    if not isinstance(value, dict):
        raise PeerError(f"the value of {change.key[:80]!r} is not a JSON object")
    return Document(change.key, change.revision, value)
