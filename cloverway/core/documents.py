"""The published documents that a host knows, told apart by what they mean and not by their writes.

Endpoints write their entries every second, and nearly all of these writes say nothing new. Hosts
that get documents from each other compare digests of what the documents mean: while these are
equal, a host that did not read the store knows as much as one that did.

Others may write there too. What can't be read means nothing: its bytes are not kept and it has no
part in the digest, so that writing it again and again costs one decode each time and nothing else.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cloverway.core.deployment import (
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
    Publication,
    Snapshot,
)

MAX_TOMBSTONES = 2_000
"""Deletions that are remembered for hosts that ask what has changed; whoever asks for older ones is
given all documents. An hour of them at 840 restarts a day is 35."""
MAX_UNREADABLE = 2_000
"""Unreadable documents that are remembered, to tell of each only once and to tell other hosts which
entries have turned bad. Of more, the ones that were noted first are forgotten."""
MAX_DOCUMENTS = 30_000
"""Documents that are kept: three times the endpoints of the largest deployment aimed at. A writer
that fills the store must not fill the memory of hosts; what comes beyond is left out."""

Decode = Callable[[Iterable[Document]], list[Publication]]


class _KnownDocument(NamedTuple):
    document: Document
    content_hash: int
    """A hash of what it means."""
    changed_revision: int
    """The revision at which the meaning was new to this host."""


class DocumentTable:
    """All documents up to a revision of the store."""

    def __init__(self, decode: Decode) -> None:
        self.revision = 0
        self.digest = 0
        """Of the meanings of all documents; equal on hosts that know the same."""
        self._decode = decode
        self._known: dict[str, _KnownDocument] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._unreadable: OrderedDict[str, int] = OrderedDict()
        """The keys of unreadable documents, and the revisions at which they became that."""
        self._complete_since = 0
        """The revision since which every change is known here, deletions too."""

    def apply(self, snapshot: Snapshot) -> list[Publication]:
        """Take over documents; give those whose meaning is new. An older snapshot does nothing."""
        if snapshot.revision < self.revision:
            return []
        documents = [item for item in snapshot.documents if self._is_newer(item)]
        if snapshot.complete:
            documents += self._list_absent(snapshot)
            self._complete_since = snapshot.revision
        changed = [p for document in documents for p in self._apply_one(document)]
        self.revision = snapshot.revision
        return changed

    def adopt_revision(self, revision: int, digest: int) -> bool:
        """Take over a later revision from a host that knows the same; tell whether it does."""
        if digest != self.digest or revision < self.revision:
            return False
        self.revision = revision
        return True

    def export_since(self, after: int) -> Snapshot:
        """Give what has changed since a revision; all documents where that is not known."""
        if not self._complete_since <= after <= self.revision:
            good = [known.document for known in self._known.values()]
            unreadable = [
                _make_unreadable_document(key, at)
                for key, at in self._unreadable.items()
                if key not in self._known
            ]
            return Snapshot(self.revision, (*good, *unreadable), True)
        changed = [h.document for h in self._known.values() if h.changed_revision > after]
        removed = [Document(key, at, None) for key, at in self._removed.items() if at > after]
        unreadable = [
            _make_unreadable_document(key, at) for key, at in self._unreadable.items() if at > after
        ]
        return Snapshot(self.revision, (*changed, *removed, *unreadable), False)

    def _is_newer(self, document: Document) -> bool:
        known = self._known.get(document.key)
        if known is not None:
            return document.revision > known.document.revision
        seen_at = max(self._removed.get(document.key, -1), self._unreadable.get(document.key, -1))
        return document.revision > seen_at

    def _list_absent(self, snapshot: Snapshot) -> list[Document]:
        present = {document.key for document in snapshot.documents}
        known_keys = {*self._known, *self._unreadable}
        return [Document(key, snapshot.revision, None) for key in known_keys if key not in present]

    def _apply_one(self, document: Document) -> list[Publication]:
        known = self._known.get(document.key)
        publications = self._decode((document,))
        if not publications or (known is None and len(self._known) >= MAX_DOCUMENTS):
            return []
        match publications:
            case [EndpointUnreadable() | DocumentUnreadable()]:
                return self._record_unreadable(document, known, publications)
        if document.value is None:
            return self._remove(document, known, publications)
        return self._store(document, known, publications)

    def _store(
        self, document: Document, known: _KnownDocument | None, publications: list[Publication]
    ) -> list[Publication]:
        self._removed.pop(document.key, None)
        was_unreadable = self._unreadable.pop(document.key, None) is not None
        content_hash = _hash_content(document, publications)
        if known is not None and known.content_hash == content_hash:
            self._known[document.key] = known._replace(document=document)
            return publications if was_unreadable else []
        self.digest ^= content_hash ^ (known.content_hash if known is not None else 0)
        self._known[document.key] = _KnownDocument(document, content_hash, document.revision)
        return publications

    def _record_unreadable(
        self, document: Document, known: _KnownDocument | None, publications: list[Publication]
    ) -> list[Publication]:
        """Remember an unreadable document; give what is to be told of it, once.

        An endpoint's entry is no longer in force then; another document stays as it was.
        """
        if isinstance(publications[0], EndpointUnreadable):
            self._drop(document.key, known)
        if document.key in self._unreadable:
            return []
        self._unreadable[document.key] = document.revision
        if len(self._unreadable) > MAX_UNREADABLE:
            _, forgotten_at = self._unreadable.popitem(last=False)
            self._complete_since = max(self._complete_since, forgotten_at)
        return publications

    def _remove(
        self, document: Document, known: _KnownDocument | None, publications: list[Publication]
    ) -> list[Publication]:
        was_unreadable = self._unreadable.pop(document.key, None) is not None
        if known is None and not was_unreadable:
            return []
        self._drop(document.key, known)
        self._removed[document.key] = document.revision
        if len(self._removed) > MAX_TOMBSTONES:
            _, dropped_at = self._removed.popitem(last=False)
            self._complete_since = max(self._complete_since, dropped_at)
        return publications

    def _drop(self, key: str, known: _KnownDocument | None) -> None:
        if known is not None:
            del self._known[key]
            self.digest ^= known.content_hash


def _make_unreadable_document(key: str, revision: int) -> Document:
    """Give a document that no host can read: its own bytes are not kept."""
    return Document(key, revision, b"")


def _hash_content(document: Document, publications: list[Publication]) -> int:
    """Hash what a document means, alike on all hosts and never 0."""
    match publications:
        case [EndpointPublished(_, entry)]:
            # Without the counters that an endpoint writes anew each time.
            data = repr(entry).encode()
        case _:
            data = document.value or b""
    digest = hashlib.blake2b(document.key.encode() + b"\0" + data, digest_size=8).digest()
    return int.from_bytes(digest, signed=True) or 1
