"""The published documents that a host knows, told apart by what they mean and not by their writes.

Endpoints write their entries every second, and nearly all of these writes say nothing new. Hosts
that get documents from each other compare digests of what the documents mean: while these are
equal, a host that did not read the store knows as much as one that did.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cloverway.core.deployment import Document, EndpointPublished, Publication, Snapshot

MOST_REMOVED = 2_000
"""Deletions that are remembered for hosts that ask what has changed; whoever asks for older ones is
given all documents. An hour of them at 840 restarts a day is 35."""

Decode = Callable[[Iterable[Document]], list[Publication]]


class _Held(NamedTuple):
    document: Document
    meaning: int
    """A hash of what it means."""
    changed_at: int
    """The revision at which the meaning was new to this host."""


class DocumentTable:
    """All documents up to a revision of the store."""

    def __init__(self, decode: Decode) -> None:
        self.revision = 0
        self.digest = 0
        """Of the meanings of all documents; equal on hosts that know the same."""
        self._decode = decode
        self._held: dict[str, _Held] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._complete_since = 0
        """The revision since which every change is known here, deletions too."""

    def apply(self, snapshot: Snapshot) -> list[Publication]:
        """Take over documents; give those whose meaning is new. An older snapshot does nothing."""
        if snapshot.revision < self.revision:
            return []
        documents = [item for item in snapshot.documents if self._is_newer(item)]
        if snapshot.whole:
            documents += self._list_absent(snapshot)
            self._complete_since = snapshot.revision
        changed = [p for document in documents for p in self._apply_one(document)]
        self.revision = snapshot.revision
        return changed

    def follow(self, revision: int, digest: int) -> bool:
        """Take over a later revision from a host that knows the same; tell whether it does."""
        if digest != self.digest or revision < self.revision:
            return False
        self.revision = revision
        return True

    def export(self, after: int) -> Snapshot:
        """Give what has changed since a revision; all documents where that is not known."""
        if not self._complete_since <= after <= self.revision:
            documents = tuple(held.document for held in self._held.values())
            return Snapshot(self.revision, documents, True)
        changed = [h.document for h in self._held.values() if h.changed_at > after]
        removed = [Document(key, at, None) for key, at in self._removed.items() if at > after]
        return Snapshot(self.revision, (*changed, *removed), False)

    def _is_newer(self, document: Document) -> bool:
        held = self._held.get(document.key)
        if held is not None:
            return document.revision > held.document.revision
        return document.revision > self._removed.get(document.key, -1)

    def _list_absent(self, snapshot: Snapshot) -> list[Document]:
        present = {document.key for document in snapshot.documents}
        return [Document(key, snapshot.revision, None) for key in self._held if key not in present]

    def _apply_one(self, document: Document) -> list[Publication]:
        held = self._held.get(document.key)
        publications = self._decode((document,))
        if document.value is None:
            return self._remove(document, held, publications)
        self._removed.pop(document.key, None)
        meaning = _hash_meaning(document, publications)
        if held is not None and held.meaning == meaning:
            self._held[document.key] = held._replace(document=document)
            return []
        self.digest ^= meaning ^ (held.meaning if held is not None else 0)
        self._held[document.key] = _Held(document, meaning, document.revision)
        return publications

    def _remove(
        self, document: Document, held: _Held | None, publications: list[Publication]
    ) -> list[Publication]:
        if held is None:
            return []
        del self._held[document.key]
        self.digest ^= held.meaning
        self._removed[document.key] = document.revision
        if len(self._removed) > MOST_REMOVED:
            _, dropped_at = self._removed.popitem(last=False)
            self._complete_since = max(self._complete_since, dropped_at)
        return publications


def _hash_meaning(document: Document, publications: list[Publication]) -> int:
    """Hash what a document means, alike on all hosts and never 0."""
    match publications:
        case [EndpointPublished(_, entry)]:
            # Without the counters that an endpoint writes anew each time.
            data = repr(entry).encode()
        case _:
            data = document.value or b""
    digest = hashlib.blake2b(document.key.encode() + b"\0" + data, digest_size=8).digest()
    return int.from_bytes(digest, signed=True) or 1
