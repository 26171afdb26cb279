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

MOST_REMOVED = 2_000
"""Deletions that are remembered for hosts that ask what has changed; whoever asks for older ones is
given all documents. An hour of them at 840 restarts a day is 35."""
MOST_UNREADABLE = 2_000
"""Unreadable documents that are remembered, to tell of each only once and to tell other hosts which
entries have turned bad. Of more, the ones that were noted first are forgotten."""
MOST_HELD = 30_000
"""Documents that are kept: three times the endpoints of the largest deployment aimed at. A writer
that fills the store must not fill the memory of hosts; what comes beyond is left out."""

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
        self._unreadable: OrderedDict[str, int] = OrderedDict()
        """The keys of unreadable documents, and the revisions at which they became that."""
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
            good = [held.document for held in self._held.values()]
            bad = [
                _make_unreadable(key, at)
                for key, at in self._unreadable.items()
                if key not in self._held
            ]
            return Snapshot(self.revision, (*good, *bad), True)
        changed = [h.document for h in self._held.values() if h.changed_at > after]
        removed = [Document(key, at, None) for key, at in self._removed.items() if at > after]
        bad = [_make_unreadable(key, at) for key, at in self._unreadable.items() if at > after]
        return Snapshot(self.revision, (*changed, *removed, *bad), False)

    def _is_newer(self, document: Document) -> bool:
        held = self._held.get(document.key)
        if held is not None:
            return document.revision > held.document.revision
        seen_at = max(self._removed.get(document.key, -1), self._unreadable.get(document.key, -1))
        return document.revision > seen_at

    def _list_absent(self, snapshot: Snapshot) -> list[Document]:
        present = {document.key for document in snapshot.documents}
        known = {*self._held, *self._unreadable}
        return [Document(key, snapshot.revision, None) for key in known if key not in present]

    def _apply_one(self, document: Document) -> list[Publication]:
        held = self._held.get(document.key)
        publications = self._decode((document,))
        if not publications or (held is None and len(self._held) >= MOST_HELD):
            return []
        match publications:
            case [EndpointUnreadable() | DocumentUnreadable()]:
                return self._note_unreadable(document, held, publications)
        if document.value is None:
            return self._remove(document, held, publications)
        return self._hold(document, held, publications)

    def _hold(
        self, document: Document, held: _Held | None, publications: list[Publication]
    ) -> list[Publication]:
        self._removed.pop(document.key, None)
        was_bad = self._unreadable.pop(document.key, None) is not None
        meaning = _hash_meaning(document, publications)
        if held is not None and held.meaning == meaning:
            self._held[document.key] = held._replace(document=document)
            return publications if was_bad else []
        self.digest ^= meaning ^ (held.meaning if held is not None else 0)
        self._held[document.key] = _Held(document, meaning, document.revision)
        return publications

    def _note_unreadable(
        self, document: Document, held: _Held | None, publications: list[Publication]
    ) -> list[Publication]:
        """Remember an unreadable document; give what is to be told of it, once.

        An endpoint's entry is no longer in force then; another document stays as it was.
        """
        if isinstance(publications[0], EndpointUnreadable):
            self._drop(document.key, held)
        if document.key in self._unreadable:
            return []
        self._unreadable[document.key] = document.revision
        if len(self._unreadable) > MOST_UNREADABLE:
            _, forgotten_at = self._unreadable.popitem(last=False)
            self._complete_since = max(self._complete_since, forgotten_at)
        return publications

    def _remove(
        self, document: Document, held: _Held | None, publications: list[Publication]
    ) -> list[Publication]:
        was_bad = self._unreadable.pop(document.key, None) is not None
        if held is None and not was_bad:
            return []
        self._drop(document.key, held)
        self._removed[document.key] = document.revision
        if len(self._removed) > MOST_REMOVED:
            _, dropped_at = self._removed.popitem(last=False)
            self._complete_since = max(self._complete_since, dropped_at)
        return publications

    def _drop(self, key: str, held: _Held | None) -> None:
        if held is not None:
            del self._held[key]
            self.digest ^= held.meaning


def _make_unreadable(key: str, revision: int) -> Document:
    """Give a document that no host can read: its own bytes are not kept."""
    return Document(key, revision, b"")


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
