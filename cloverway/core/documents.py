"""The published documents known to a host, compared by content rather than by revision.

Endpoints write their entries every second, and nearly all of these writes change nothing. Hosts
that synchronize documents with each other compare digests of the decoded content: while the digests
are equal, a host that did not read the store is as up to date as one that did.

Other programs may write to the store too. Documents that can't be decoded are not stored and are
not part of the digest, so that rewriting one costs a decode each time and nothing else.
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
"""Deletions retained for hosts that request changes; a host that requests older changes receives
all documents. At 840 restarts a day, an hour has 35 deletions."""
MAX_UNREADABLE = 2_000
"""Unreadable documents retained, so that each is reported once and other hosts learn which entries
became invalid. Beyond this number the oldest are dropped."""
UNREADABLE_CUTOFF = 40_000
"""Number of documents in one read beyond which unreadable ones are dropped, and so treated as
absent. If a writer fills the store, its keys would not fit into the memory of a host."""
UNREADABLE = b""
"""Replaces a value that can't be decoded; no valid document is empty."""
MAX_DOCUMENTS = 30_000
"""Documents stored: three times the endpoints of the largest deployment planned for. Further
documents are ignored, so that a writer that fills the store can't exhaust the memory of hosts."""

Decode = Callable[[Iterable[Document]], list[Publication]]


class _KnownDocument(NamedTuple):
    document: Document
    content_hash: int
    """Hash of the content, without the counters of endpoint entries."""
    changed_revision: int
    """The revision at which this host first saw this content."""


class DocumentTable:
    """All known documents up to a revision of the store."""

    def __init__(self, decode: Decode) -> None:
        self.revision = 0
        self.digest = 0
        """XOR of the content hashes of all documents; equal on hosts with the same content."""
        self._decode = decode
        self._known: dict[str, _KnownDocument] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._unreadable: OrderedDict[str, int] = OrderedDict()
        """Keys of unreadable documents, with the revision at which each became unreadable."""
        self._complete_since = 0
        """The revision since which this table knows every change, including deletions."""

    def apply(self, snapshot: Snapshot) -> list[Publication]:
        """Apply a snapshot; return the documents whose content changed. Ignore an older one."""
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
        """Adopt a later revision from a host with the same digest; return whether it was done."""
        if digest != self.digest or revision < self.revision:
            return False
        self.revision = revision
        return True

    def export_since(self, after: int) -> Snapshot:
        """Return the changes since a revision, or all documents where those aren't known."""
        if not self._complete_since <= after <= self.revision:
            readable = [known.document for known in self._known.values()]
            unreadable = [
                _make_unreadable_document(key, at)
                for key, at in self._unreadable.items()
                if key not in self._known
            ]
            return Snapshot(self.revision, (*readable, *unreadable), True)
        changed = [k.document for k in self._known.values() if k.changed_revision > after]
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
        if _is_unreadable(publications):
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
        """Record an unreadable document; return its publications the first time.

        The entry of an endpoint is dropped; any other document keeps its last valid value.
        """
        if isinstance(publications[0], EndpointUnreadable):
            self._drop(document.key, known)
        if document.key in self._unreadable:
            return []
        self._unreadable[document.key] = document.revision
        if len(self._unreadable) > MAX_UNREADABLE:
            _, dropped_at = self._unreadable.popitem(last=False)
            self._complete_since = max(self._complete_since, dropped_at)
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
    """Return a placeholder that no host can decode; the original bytes aren't stored."""
    return Document(key, revision, UNREADABLE)


def limit_unreadable(page: Iterable[Document], read_count: int, decode: Decode) -> list[Document]:
    """Return a page with unreadable documents emptied, or dropped beyond UNREADABLE_CUTOFF."""
    kept = []
    for document in page:
        if not _is_unreadable(decode((document,))):
            kept.append(document)
        elif read_count + len(kept) < UNREADABLE_CUTOFF:
            kept.append(document._replace(value=UNREADABLE))
    return kept


def _is_unreadable(publications: list[Publication]) -> bool:
    match publications:
        case [EndpointUnreadable() | DocumentUnreadable()]:
            return True
    return False


def _hash_content(document: Document, publications: list[Publication]) -> int:
    """Hash the content of a document; the hash is the same on all hosts and never 0."""
    match publications:
        case [EndpointPublished(_, entry)]:
            # The entry leaves out the counters that an endpoint changes with each write.
            data = repr(entry).encode()
        case _:
            data = document.value or b""
    digest = hashlib.blake2b(document.key.encode() + b"\0" + data, digest_size=8).digest()
    return int.from_bytes(digest, signed=True) or 1
