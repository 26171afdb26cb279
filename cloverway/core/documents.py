"""The published documents known to a host, compared by content rather than by position.

Endpoints write their entries every second, and nearly all of these writes change nothing. Hosts
that synchronize documents with each other compare digests of the decoded content: while the digests
are equal, a host that did not read the store is as up to date as one that did.

Other programs may write to the store too. Documents that can't be decoded are not stored and are
not part of the digest, so that rewriting one costs a decode each time and nothing else.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cloverway.core.deployment import (
    ConfigurationPublished,
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
    Publication,
    Snapshot,
    StorePosition,
)
from cloverway.errors import PlatformError

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

BEFORE_ALL = StorePosition(-1, -1)

Decode = Callable[[Iterable[Document]], list[Publication]]


class _KnownDocument(NamedTuple):
    document: Document
    content_hash: int
    """Hash of the content, without the counters of endpoint entries."""
    changed_at: StorePosition
    """The position at which this host first saw this content."""


class DocumentTable:
    """All known documents up to a position in the history of the store."""

    def __init__(self, decode: Decode) -> None:
        self.position = StorePosition()
        self.digest = 0
        """XOR of the content hashes of all documents; equal on hosts with the same content."""
        self.configuration: Document | None = None
        """The document with the newest configuration that was ever read, also if the store has lost
        it since."""
        self._configuration_version = -1
        self._decode = decode
        self._known: dict[str, _KnownDocument] = {}
        self._removed: OrderedDict[str, StorePosition] = OrderedDict()
        self._unreadable: OrderedDict[str, StorePosition] = OrderedDict()
        """Keys of unreadable documents, with the position at which each became unreadable."""
        self._complete_since = StorePosition()
        """The position since which this table knows every change, including deletions; of the same
        epoch as its own position."""

    @property
    def revision(self) -> int:
        """The revision of the store up to which the documents are known, in its epoch."""
        return self.position.revision

    def follows_loss(self, snapshot: Snapshot) -> bool:
        """Return whether the store has lost writes that may be known here."""
        return StorePosition() < self.position and self.position.epoch < snapshot.epoch

    def apply(self, snapshot: Snapshot) -> list[Publication]:
        """Apply a snapshot; return the documents whose content changed. Ignore an older one.

        The changes of another epoch are ignored too: they don't start from what is known here.
        """
        is_delta_of_other_epoch = not snapshot.complete and snapshot.epoch != self.position.epoch
        if snapshot.position < self.position or is_delta_of_other_epoch:
            return []
        documents = list(self._list_newer(snapshot))
        if snapshot.complete:
            documents += self._list_absent(snapshot)
            self._complete_since = snapshot.position
        changed = [p for document in documents for p in self._apply_one(document)]
        self.position = snapshot.position
        return changed

    def apply_configuration(self, document: Document) -> list[Publication]:
        """Apply a configuration that the store has lost; return it if it is the newest one known.

        The documents stay what the store says, so that hosts can compare them.
        """
        publications = self._decode((document,))
        return publications if self._keep_newest_configuration(document, publications) else []

    def _keep_newest_configuration(
        self, document: Document, publications: list[Publication]
    ) -> bool:
        """Keep a document if it has a newer configuration than any before; return whether so."""
        match publications:
            case [ConfigurationPublished(configuration)] if (
                configuration.version > self._configuration_version
            ):
                self.configuration = document
                self._configuration_version = configuration.version
                return True
        return False

    def adopt_position(self, position: StorePosition, digest: int) -> bool:
        """Adopt a later position from a host with the same digest; return whether it was done."""
        if digest != self.digest or position < self.position:
            return False
        if position.epoch > self.position.epoch:
            self._complete_since = position
        self.position = position
        return True

    def export_since(self, after: StorePosition | None) -> Snapshot:
        """Return the changes since a position, or all documents where those aren't known."""
        if after is None or not self._complete_since <= after <= self.position:
            readable = [known.document for known in self._known.values()]
            unreadable = [
                _make_unreadable_document(key, at)
                for key, at in self._unreadable.items()
                if key not in self._known
            ]
            return self._make_snapshot((*readable, *unreadable), True)
        changed = [k.document for k in self._known.values() if k.changed_at > after]
        removed = [
            Document(key, at.revision, None, at.epoch)
            for key, at in self._removed.items()
            if at > after
        ]
        unreadable = [
            _make_unreadable_document(key, at) for key, at in self._unreadable.items() if at > after
        ]
        return self._make_snapshot((*changed, *removed, *unreadable), False)

    def _make_snapshot(self, documents: tuple[Document, ...], is_complete: bool) -> Snapshot:
        return Snapshot(self.position.revision, documents, is_complete, self.position.epoch)

    def _list_newer(self, snapshot: Snapshot) -> Iterator[Document]:
        """Yield the documents of a snapshot that are newer than what is known of their keys.

        A host whose documents are the same as those of a later position may not have seen each
        change of them, so all its documents are as new as its position.
        """
        for document in snapshot.documents:
            seen_at = self._get_position(document.key)
            if document.position > seen_at:
                yield document
            elif snapshot.complete and seen_at <= snapshot.position and self._differs(document):
                yield document._replace(revision=snapshot.revision, epoch=snapshot.epoch)

    def _get_position(self, key: str) -> StorePosition:
        """Return the position of the last known write or deletion of a key."""
        known = self._known.get(key)
        if known is not None:
            return known.document.position
        return max(self._removed.get(key, BEFORE_ALL), self._unreadable.get(key, BEFORE_ALL))

    def _differs(self, document: Document) -> bool:
        known = self._known.get(document.key)
        return known is None or known.document.value != document.value

    def _list_absent(self, snapshot: Snapshot) -> list[Document]:
        present = {document.key for document in snapshot.documents}
        known_keys = {*self._known, *self._unreadable}
        return [
            Document(key, snapshot.revision, None, snapshot.epoch)
            for key in known_keys
            if key not in present
        ]

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
        self._keep_newest_configuration(document, publications)
        self._removed.pop(document.key, None)
        was_unreadable = self._unreadable.pop(document.key, None) is not None
        content_hash = _hash_content(document, publications)
        if known is not None and known.content_hash == content_hash:
            self._known[document.key] = known._replace(document=document)
            return publications if was_unreadable else []
        self.digest ^= content_hash ^ (known.content_hash if known is not None else 0)
        self._known[document.key] = _KnownDocument(document, content_hash, document.position)
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
        self._unreadable[document.key] = document.position
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
        self._removed[document.key] = document.position
        if len(self._removed) > MAX_TOMBSTONES:
            _, dropped_at = self._removed.popitem(last=False)
            self._complete_since = max(self._complete_since, dropped_at)
        return publications

    def _drop(self, key: str, known: _KnownDocument | None) -> None:
        if known is not None:
            del self._known[key]
            self.digest ^= known.content_hash


def _make_unreadable_document(key: str, at: StorePosition) -> Document:
    """Return a placeholder that no host can decode; the original bytes aren't stored."""
    return Document(key, at.revision, UNREADABLE, at.epoch)


def merge_pages(pages: Iterable[Snapshot]) -> Snapshot:
    """Merge the pages of one read of the store; raise PlatformError if it lost writes meanwhile.

    The pages don't form a consistent snapshot. The returned revision is the lowest of all pages, so
    that the following watch repeats all writes made while they were read.
    """
    pages = list(pages)
    epochs = {page.epoch for page in pages}
    if len(epochs) > 1:
        raise PlatformError(f"the store has lost writes while it was read: epochs {sorted(epochs)}")
    documents = tuple(document for page in pages for document in page.documents)
    return Snapshot(min(page.revision for page in pages), documents, True, epochs.pop())


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
