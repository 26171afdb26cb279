"""Documents in force, each stored with its revision as the JSON text that peers receive."""

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
"""Maximum length of a key, which is a table and a name."""

DIGEST_BYTES = 8

RECHECKED_CHANGES = 1000
"""Changes that the platform must send again after an outage: more than the largest planned
deployment makes in three hours. If the platform was restored from data that is no older, these
include all changes that it lost, so that a missing one is detected."""


class DocumentEntry(NamedTuple):
    """A stored document; its text uses a fifth of the memory of parsed tables."""

    revision: int
    text: bytes | None
    """Canonical JSON, so that equal values have equal text; None for a deleted document."""
    error: str = ""
    """Why the value can't be stored; such an entry is never in force."""
    implied: bool = False
    """Whether the deletion was inferred from a snapshot, so that its revision is not known."""

    @classmethod
    def from_document(cls, document: Document) -> DocumentEntry:
        """Encode a document; an entry whose value can't be encoded as JSON has an error."""
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
        """The decoded value, or None for a deleted document."""
        return None if self.text is None else json.loads(self.text.decode())

    def as_document(self, key: str) -> Document:
        """Return the document with its decoded value."""
        return Document(key, self.revision, self.value)


class Documents:
    """The documents of one configuration in the order of their revisions, including deleted ones.

    A deleted document is kept as a tombstone, which deltas include. Only the latest tombstones are
    kept; a peer that lacks older ones receives a snapshot instead of a delta.
    """

    def __init__(self, max_tombstones: int = 1000) -> None:
        self._entries: dict[str, DocumentEntry] = {}
        self._tombstones: dict[str, DocumentEntry] = {}
        self._max_tombstones = max_tombstones
        self._min_delta_revision: int | None = None
        """A delta from an earlier revision would lack a deletion; None before the first change."""
        self._digest_sum = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def get_text(self, key: str) -> bytes | None:
        """Return the text of a document, or None if there is no such document."""
        entry = self._entries.get(key)
        return entry.text if entry else None

    def apply(self, changes: Mapping[str, DocumentEntry], revision: int) -> None:
        """Apply changes up to a revision; each must be later than all stored documents."""
        if self._min_delta_revision is None:
            self._min_delta_revision = revision
        for key, entry in sorted(changes.items(), key=_get_sort_key):
            self._remove(key)
            if entry.text is None:
                self._tombstones[key] = entry
                continue
            self._entries[key] = entry
            self._digest_sum += _compute_document_hash(key, entry.text)
        self._prune()

    def get_changes_after(self, after: int, revision: int) -> Changes:
        """Return the changes after revision `after` up to `revision`, or a snapshot."""
        if after < (self._min_delta_revision or 0) or after > revision:
            after = 0
        deleted = _list_entries_after(self._tombstones, after) if after else ()
        found = sorted([*_list_entries_after(self._entries, after), *deleted], key=_get_sort_key)
        documents = tuple(entry.as_document(key) for key, entry in found)
        return Changes(revision, after, documents, self.digest)

    @property
    def recheck_after(self) -> int:
        """The revision before the latest RECHECKED_CHANGES: a delta from there has them again.

        This is 0, for a snapshot, if there are fewer changes.
        """
        stored = (_list_entries_after(self._entries, 0), self._list_deleted(0))
        latest = heapq.merge(*stored, key=lambda item: -item[1].revision)
        oldest = next(itertools.islice(latest, RECHECKED_CHANGES - 1, None), None)
        return oldest[1].revision - 1 if oldest else 0

    def list_keys_after(self, after: int) -> Iterator[str]:
        """Yield the keys of the documents that were written or deleted after a revision."""
        changes = itertools.chain(
            _list_entries_after(self._entries, after), self._list_deleted(after)
        )
        return (key for key, _ in changes)

    @property
    def digest(self) -> str:
        """Digest of all documents; equal digests mean equal documents. Updated incrementally."""
        return _format_digest(self._digest_sum)

    def compute_digest_with(self, changes: Mapping[str, DocumentEntry]) -> str:
        """Return the digest that applying changes would give."""
        difference = sum(
            _compute_document_hash(key, entry.text)
            - _compute_document_hash(key, self.get_text(key))
            for key, entry in changes.items()
        )
        return _format_digest(self._digest_sum + difference)

    def _list_deleted(self, after: int) -> Iterator[tuple[str, DocumentEntry]]:
        """Yield tombstones, except implied ones, whose revision is not known."""
        return (
            (key, entry)
            for key, entry in _list_entries_after(self._tombstones, after)
            if not entry.implied
        )

    def _remove(self, key: str) -> None:
        self._tombstones.pop(key, None)
        old = self._entries.pop(key, None)
        if old is not None:
            self._digest_sum -= _compute_document_hash(key, old.text)

    def _prune(self) -> None:
        while len(self._tombstones) > self._max_tombstones:
            oldest = next(iter(self._tombstones))
            self._min_delta_revision = max(
                self._min_delta_revision or 0, self._tombstones.pop(oldest).revision
            )


def _list_entries_after(
    entries: dict[str, DocumentEntry], after: int
) -> Iterator[tuple[str, DocumentEntry]]:
    """Yield the entries after a revision, latest first; relies on their order by revision."""
    keys = itertools.takewhile(lambda key: entries[key].revision > after, reversed(entries))
    return ((key, entries[key]) for key in keys)


def _compute_document_hash(key: str, text: bytes | None) -> int:
    """Return what one document adds to the digest; 0 for a deleted document."""
    if text is None:
        return 0
    data = key.encode() + b"\0" + text
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def _get_sort_key(item: tuple[str, DocumentEntry]) -> tuple[int, str]:
    return (item[1].revision, item[0])


def _format_digest(total: int) -> str:
    return (total % 2 ** (8 * DIGEST_BYTES)).to_bytes(DIGEST_BYTES).hex()
