"""Documents in force, each as the text that peers are given, with its revision."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import json
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from cloverway.config.published import encode_value
from cloverway.sources.port import Changes, Document

MAX_KEY_LENGTH = 128
"""The longest key: a table and a name."""

DIGEST_BYTES = 8

RECHECKED_CHANGES = 1000
"""Changes that a platform has to tell again after an outage: more than the three hours' worth at
the two-year size. If it was restored from data no older than that, every change that it lost is
among them, and one that was not published anew is found missing."""


class DocumentEntry(NamedTuple):
    """A document as it is held: text takes a fifth of the memory of parsed tables."""

    revision: int
    text: bytes | None
    """Canonical JSON, so that equal values have equal text; None for a deleted document."""
    error: str = ""
    """Why the value can't be held; such an entry is never in force."""
    implied: bool = False
    """Deleted because a whole lacked it, and not by a revision of its own."""

    @classmethod
    def from_document(cls, document: Document) -> DocumentEntry:
        """Encode a document; a value that JSON can't carry gives an entry with a fault."""
        if document.value is None:
            return cls(document.revision, None)
        if len(document.key) > MAX_KEY_LENGTH:
            return cls(document.revision, None, f"has a key of over {MAX_KEY_LENGTH} characters")
        try:
            return cls(document.revision, encode_value(document.value))
        except ValueError as error:
            return cls(document.revision, None, str(error))

    @property
    def value(self) -> dict[str, Any] | None:
        """The decoded value; None for a deleted document."""
        return None if self.text is None else json.loads(self.text.decode())

    def as_document(self, key: str) -> Document:
        """Decode the document."""
        return Document(key, self.revision, self.value)


class Documents:
    """The documents of one configuration in the order of their revisions, with deleted ones.

    A deleted document stays as a tombstone so that a delta tells of it. Only the latest
    tombstones are kept; who lacks more is given the whole, of which nothing needs to be deleted.
    """

    def __init__(self, max_tombstones: int = 1000) -> None:
        self._entries: dict[str, DocumentEntry] = {}
        self._tombstones: dict[str, DocumentEntry] = {}
        self._max_tombstones = max_tombstones
        self._min_delta_revision: int | None = None
        """Deltas from an earlier revision would miss a deletion; None while there is nothing."""
        self._digest_sum = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def get_text(self, key: str) -> bytes | None:
        """Give the text of a document, or None when there is no such document."""
        entry = self._entries.get(key)
        return entry.text if entry else None

    def apply(self, changes: Mapping[str, DocumentEntry], revision: int) -> None:
        """Take changes that lead to a revision; all are later than what is held."""
        if self._min_delta_revision is None:
            self._min_delta_revision = revision
        for key, entry in sorted(changes.items(), key=_get_sort_key):
            self._remove(key)
            if entry.text is None:
                self._tombstones[key] = entry
                continue
            self._entries[key] = entry
            self._digest_sum += _hash(key, entry.text)
        self._prune()

    def changes_after(self, after: int, revision: int) -> Changes:
        """Give the changes from one revision to the present one, or the whole."""
        if after < (self._min_delta_revision or 0) or after > revision:
            after = 0
        deleted = _list_entries_after(self._tombstones, after) if after else ()
        found = sorted([*_list_entries_after(self._entries, after), *deleted], key=_get_sort_key)
        documents = tuple(entry.as_document(key) for key, entry in found)
        return Changes(revision, after, documents, self.digest)

    @property
    def recheck_after(self) -> int:
        """The revision before the latest changes: a delta from there holds them again.

        It is 0, and the delta the whole, where there are not so many changes.
        """
        kept = (_list_entries_after(self._entries, 0), self._list_deleted(0))
        latest = heapq.merge(*kept, key=lambda item: -item[1].revision)
        found = next(itertools.islice(latest, RECHECKED_CHANGES - 1, None), None)
        return found[1].revision - 1 if found else 0

    def list_keys_after(self, after: int) -> Iterator[str]:
        """Yield the keys of the documents that were written or deleted after a revision."""
        changes = itertools.chain(
            _list_entries_after(self._entries, after), self._list_deleted(after)
        )
        return (key for key, _ in changes)

    @property
    def digest(self) -> str:
        """Equal digests mean equal documents; costs nothing, as each change is added to it."""
        return _format_digest(self._digest_sum)

    def compute_digest_with(self, changes: Mapping[str, DocumentEntry]) -> str:
        """Give the digest that changes lead to."""
        difference = sum(
            _hash(key, entry.text) - _hash(key, self.get_text(key))
            for key, entry in changes.items()
        )
        return _format_digest(self._digest_sum + difference)

    def _list_deleted(self, after: int) -> Iterator[tuple[str, DocumentEntry]]:
        """Yield what a revision of its own has deleted; of the others the true revision is lost."""
        return (
            (key, entry)
            for key, entry in _list_entries_after(self._tombstones, after)
            if not entry.implied
        )

    def _remove(self, key: str) -> None:
        self._tombstones.pop(key, None)
        old = self._entries.pop(key, None)
        if old is not None:
            self._digest_sum -= _hash(key, old.text)

    def _prune(self) -> None:
        while len(self._tombstones) > self._max_tombstones:
            oldest = next(iter(self._tombstones))
            self._min_delta_revision = max(
                self._min_delta_revision or 0, self._tombstones.pop(oldest).revision
            )


def _list_entries_after(
    entries: dict[str, DocumentEntry], after: int
) -> Iterator[tuple[str, DocumentEntry]]:
    """Yield the entries after a revision; they stand last, so that the others cost nothing."""
    keys = itertools.takewhile(lambda key: entries[key].revision > after, reversed(entries))
    return ((key, entries[key]) for key in keys)


def _hash(key: str, text: bytes | None) -> int:
    """Give what one document adds to the sum; a deleted one adds nothing."""
    if text is None:
        return 0
    data = key.encode() + b"\0" + text
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def _get_sort_key(item: tuple[str, DocumentEntry]) -> tuple[int, str]:
    return (item[1].revision, item[0])


def _format_digest(total: int) -> str:
    return (total % 2 ** (8 * DIGEST_BYTES)).to_bytes(DIGEST_BYTES).hex()
