"""One history of revisions: the documents in force, and pending documents of rejected changes.

A revision identifies one set of documents. Changes are applied only on top of a revision whose
documents are all known, so that no stored revision lacks a part of its changes. Validation is a
pure function of the set of documents, so that all hosts reject the same revisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from cloverway.config.consistency import DocumentId, UniqueIndex, find_inconsistencies
from cloverway.config.documents import DocumentEntry, Documents
from cloverway.config.findings import Findings
from cloverway.config.published import Published, is_revision, parse_document, warn_unknown_table
from cloverway.config.schema import SINGLETONS, TABLES, Objective
from cloverway.sources.port import Changes

MAX_DOCUMENTS = 100_000
"""Maximum number of stored documents: five times those of the largest planned deployment."""

MAX_FINDINGS = 50
"""Maximum findings in a rejection; one mistake in a region can affect thousands of teams."""

MAX_REJECTED_REVISIONS = 100
"""Number of recently rejected revisions to keep, so that peers are not asked for them again."""


class Accepted(NamedTuple):
    """The changes led to a new configuration, which is in force."""

    published: Published
    after: int
    """The revision that was in force before."""
    warnings: tuple[str, ...] = ()


class Unchanged(NamedTuple):
    """The changes contain nothing new."""

    revision: int


class Rejected(NamedTuple):
    """The changes are invalid; the last valid configuration stays in force."""

    revision: int
    findings: tuple[str, ...]
    conflicts: bool = False
    """Whether the changes have other content for a revision that is in force."""


class Stale(NamedTuple):
    """The source is behind: its revision is lower than a known one."""

    known: int
    offered: int


class Gap(NamedTuple):
    """The changes start after the known revision; read the changes after `known` instead."""

    known: int
    after: int


ApplyResult = Accepted | Unchanged | Rejected | Stale | Gap


class _Pending(NamedTuple):
    """Documents of rejected changes; a later change that corrects them is applied on top."""

    revision: int = 0
    entries: Mapping[str, DocumentEntry] = {}
    conflicts: bool = False


NO_PENDING = _Pending()


class Revisions:
    """The documents in force; applies changes that lead to a valid configuration."""

    def __init__(self) -> None:
        self.published: Published | None = None
        self.rejection: Rejected | None = None
        """The latest rejection, until a later revision is in force."""
        self.documents = Documents()
        self._unique_index = UniqueIndex()
        self._pending = NO_PENDING
        self._rejected_revisions: deque[int] = deque(maxlen=MAX_REJECTED_REVISIONS)

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self.published.revision if self.published else 0

    @property
    def known_revision(self) -> int:
        """The revision up to which the platform's documents are known, in force or rejected."""
        return max(self.revision, self._pending.revision)

    @property
    def has_conflict(self) -> bool:
        """Whether the platform's documents conflict with a revision that is in force."""
        return self._pending.conflicts

    def has_rejected(self, revision: int) -> bool:
        """Return whether a revision was recently rejected."""
        return revision in self._rejected_revisions

    def apply_from_platform(self, changes: Changes) -> ApplyResult:
        """Apply changes of the platform, on top of rejected ones that are pending."""
        if changes.after > self.known_revision:
            return Gap(self.known_revision, changes.after)
        if changes.revision < max(self.revision, changes.after):
            return Stale(max(self.revision, changes.after), changes.revision)
        pending = self._pending
        extends_pending = bool(pending.entries) and changes.after >= pending.revision
        if extends_pending and not changes.documents and changes.revision == pending.revision:
            return Unchanged(self.revision)
        entries = self._encode(changes, pending.entries if extends_pending else {})
        result = self._apply_entries(entries, changes)
        if (
            isinstance(result, Rejected)
            and result.conflicts
            and not (extends_pending or changes.complete)
        ):
            # A delta may lack documents of the conflicting history. If it became pending without
            # them, the next delta would appear to fit.
            return result
        if isinstance(result, Rejected):
            self._pending = _Pending(changes.revision, entries, result.conflicts)
        elif extends_pending or changes.complete or pending.revision <= self.revision:
            self._pending = NO_PENDING
        return result

    def apply_from_peer(self, changes: Changes) -> ApplyResult:
        """Apply changes that a peer has in force."""
        if changes.after > self.revision:
            return Gap(self.revision, changes.after)
        if changes.revision < self.revision:
            return Stale(self.revision, changes.revision)
        result = self._apply_entries(self._encode(changes, {}), changes)
        if isinstance(result, Accepted) and self._pending.revision <= self.revision:
            self._pending = NO_PENDING
        return result

    def find_format_error(self, changes: Changes) -> str:
        """Return what is malformed in changes, or an empty string."""
        if not is_revision(changes.revision):
            return f"{changes.revision!r} is not a revision"
        if len(self.documents) + len(changes.documents) > MAX_DOCUMENTS:
            return f"there are over {MAX_DOCUMENTS} documents; publish fewer"
        too_late = [
            document.key
            for document in changes.documents
            if not is_revision(document.revision) or document.revision > changes.revision
        ]
        return f"{too_late[0]} has a revision later than that of the changes" if too_late else ""

    def _encode(
        self, changes: Changes, base: Mapping[str, DocumentEntry]
    ) -> dict[str, DocumentEntry]:
        """Return changes as entries on top of `base`, including deletions implied by a snapshot."""
        entries = {
            key: entry._replace(revision=changes.revision) if entry.implied else entry
            for key, entry in base.items()
        }
        for document in changes.documents:
            known = entries.get(document.key)
            if known is None or known.implied or known.revision <= document.revision:
                entries[document.key] = DocumentEntry.from_document(document)
        if changes.complete:
            deleted = DocumentEntry(changes.revision, None, implied=True)
            entries |= {key: deleted for key in self.documents if key not in entries}
        return entries

    def _apply_entries(self, entries: Mapping[str, DocumentEntry], changes: Changes) -> ApplyResult:
        """Put entries in force if they lead to a valid configuration, or reject all of them."""
        revision = changes.revision
        findings = Findings(f"revision {revision}")
        self._check_history(entries, changes, findings)
        newer = {key: entry for key, entry in entries.items() if entry.revision > self.revision}
        if changes.digest and self.documents.compute_digest_with(newer) != changes.digest:
            if not changes.complete:
                return Gap(0, changes.after)
            findings.add("", "the digest of the documents differs from the one sent by the source")
        if findings.errors:
            return self._reject(revision, findings, conflicts=True)
        if revision == self.revision:
            return Unchanged(revision)
        return self._validate_and_activate(newer, revision, findings)

    def _check_history(
        self, entries: Mapping[str, DocumentEntry], changes: Changes, findings: Findings
    ) -> None:
        """Add an error for each document with other content in force under the same revision.

        Either the platform was restored from older data and reuses revisions, or two operators
        published the same revision. The document in force stays: replacing it would withdraw
        accepted content, and hosts that accepted the other one would never agree.
        """
        remedy = f"publish it again with a revision over {changes.revision}"
        different = [
            key
            for key, entry in entries.items()
            if entry.revision <= self.revision and entry.text != self.documents.get_text(key)
        ]
        if not changes.complete:
            later = self.documents.list_keys_after(changes.after)
            different += [key for key in later if key not in entries]
        for key in different:
            findings.add(_format_key(key), f"is in force with other content; {remedy}")

    def _validate_and_activate(
        self, newer: Mapping[str, DocumentEntry], revision: int, findings: Findings
    ) -> Accepted | Rejected:
        parsed = self._parse(newer, findings)
        if findings.errors:
            return self._reject(revision, findings)
        published = self._compose(parsed, revision)
        if published is None:
            findings.add("organisation", "is missing; publish it")
            return self._reject(revision, findings)
        for inconsistency in find_inconsistencies(published, parsed, self._unique_index):
            findings.add(*inconsistency)
        if findings.errors:
            return self._reject(revision, findings)
        before = self.revision
        self._activate(published, parsed, newer)
        return Accepted(published, before, tuple(findings.warnings[:MAX_FINDINGS]))

    def _parse(
        self, newer: Mapping[str, DocumentEntry], findings: Findings
    ) -> dict[DocumentId, Any]:
        """Parse the documents whose content changes; None for a deleted one."""
        parsed: dict[DocumentId, Any] = {}
        for key, entry in newer.items():
            document_id = _parse_key(key)
            if entry.error:
                findings.add(document_id.dotted, entry.error)
            elif entry.text == self.documents.get_text(key):
                continue
            elif not _is_known_table(document_id):
                warn_unknown_table(document_id.dotted, findings)
            else:
                value = entry.value
                parsed[document_id] = (
                    None if value is None else parse_document(document_id, value, findings)
                )
        return parsed

    def _compose(self, parsed: Mapping[DocumentId, Any], revision: int) -> Published | None:
        """Return the configuration in force with some documents replaced; None if incomplete.

        Unchanged tables are the same objects as before, so that values derived from them stay
        valid.
        """
        fields = self.published._asdict() if self.published else {}
        for table in {document_id.table for document_id in parsed if document_id.table in TABLES}:
            fields[table] = dict(fields.get(table, {}))
        for document_id, document in parsed.items():
            if document_id.table in SINGLETONS:
                fields[document_id.table] = document
            elif document is None:
                fields[document_id.table].pop(document_id.name, None)
            else:
                fields[document_id.table][document_id.name] = document
        if fields.get("organisation") is None:
            return None
        if fields.get("objective") is None:
            fields["objective"] = Objective()
        return Published(**{**fields, "revision": revision})

    def _activate(
        self,
        published: Published,
        parsed: Mapping[DocumentId, Any],
        newer: Mapping[str, DocumentEntry],
    ) -> None:
        for document_id, document in parsed.items():
            self._unique_index.replace(
                document_id, _find_document(self.published, document_id), document
            )
        self.documents.apply(newer, published.revision)
        self.published = published
        self.rejection = None

    def _reject(self, revision: int, findings: Findings, conflicts: bool = False) -> Rejected:
        self.rejection = Rejected(revision, _truncate(findings.errors), conflicts)
        self._rejected_revisions.append(revision)
        return self.rejection


def _parse_key(key: str) -> DocumentId:
    table, _, name = key.partition("/")
    return DocumentId(table, name)


def _format_key(key: str) -> str:
    return _parse_key(key).dotted


def _is_known_table(document_id: DocumentId) -> bool:
    return document_id.table in (TABLES if document_id.name else SINGLETONS)


def _find_document(published: Published | None, document_id: DocumentId) -> Any:
    if published is None or not document_id.name:
        return None
    return getattr(published, document_id.table).get(document_id.name)


def _truncate(findings: list[str]) -> tuple[str, ...]:
    """Limit the findings of a rejection, to bound log lines and memory."""
    if len(findings) <= MAX_FINDINGS:
        return tuple(findings)
    return (*findings[:MAX_FINDINGS], f"and {len(findings) - MAX_FINDINGS} more findings")
