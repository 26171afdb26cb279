"""One history of revisions: the documents in force, and those of refused changes on top of them.

A revision stands for one set of documents. Changes are taken only on top of a revision whose
documents are all known, so that no revision is held without a part of its changes. Whether a set
is valid is a pure function of it, so that all hosts refuse the same revisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from cloverway.config.consistency import Claims, Place, find_faults
from cloverway.config.documents import Documents, Entry
from cloverway.config.findings import Findings
from cloverway.config.published import Published, is_revision, parse_document, warn_unknown
from cloverway.config.schema import SINGLES, TABLES, Objective
from cloverway.sources.port import Changes

MOST_DOCUMENTS = 100_000
"""Bound on the documents that are held: five times the two-year size."""

MOST_FINDINGS = 50
"""Findings that a refusal names; one mistake in a region can show at thousands of teams."""

MOST_REFUSED = 100
"""Refused revisions that are remembered, so that peers are not asked for them again."""


class Accepted(NamedTuple):
    """A new configuration is in force."""

    published: Published
    after: int
    """The revision that was in force before."""
    warnings: tuple[str, ...] = ()


class Unchanged(NamedTuple):
    """The offer holds nothing new."""

    revision: int


class Rejected(NamedTuple):
    """The offer can't be in force; the last good configuration stays."""

    revision: int
    findings: tuple[str, ...]
    contradicts: bool = False
    """Whether a revision that is in force stands for other documents in the offer."""


class Stale(NamedTuple):
    """The source is behind: it offers less than is known."""

    known: int
    offered: int


class Gap(NamedTuple):
    """The changes start later than what is known: ask for those after `known`."""

    known: int
    after: int


OfferResult = Accepted | Unchanged | Rejected | Stale | Gap


class _Pending(NamedTuple):
    """Documents of refused changes: a later change that mends them stands on top of them."""

    revision: int = 0
    entries: Mapping[str, Entry] = {}
    contradicts: bool = False


NOTHING = _Pending()


class Revisions:
    """Hold the documents in force; take changes that make a valid whole."""

    def __init__(self) -> None:
        self.published: Published | None = None
        self.refused: Rejected | None = None
        """The latest refusal, until a later revision is in force."""
        self.documents = Documents()
        self._claims = Claims()
        self._pending = NOTHING
        self._refused_revisions: deque[int] = deque(maxlen=MOST_REFUSED)

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self.published.revision if self.published else 0

    @property
    def covered(self) -> int:
        """The revision up to which the platform's documents are known, in force or refused."""
        return max(self.revision, self._pending.revision)

    @property
    def contradicted(self) -> bool:
        """Whether the platform's documents contradict a revision that is in force."""
        return self._pending.contradicts

    def has_refused(self, revision: int) -> bool:
        """Tell whether a revision was refused lately."""
        return revision in self._refused_revisions

    def take_published(self, changes: Changes) -> OfferResult:
        """Take the platform's changes, on top of those that were refused before."""
        if changes.after > self.covered:
            return Gap(self.covered, changes.after)
        if changes.revision < max(self.revision, changes.after):
            return Stale(max(self.revision, changes.after), changes.revision)
        pending = self._pending
        on_top = bool(pending.entries) and changes.after >= pending.revision
        if on_top and not changes.documents and changes.revision == pending.revision:
            return Unchanged(self.revision)
        entries = self._encode(changes, pending.entries if on_top else {})
        result = self._judge(entries, changes)
        if isinstance(result, Rejected) and result.contradicts and not (on_top or changes.whole):
            # What the other history has in place of the missing documents is not known: without
            # them the next delta would seem to fit.
            return result
        if isinstance(result, Rejected):
            self._pending = _Pending(changes.revision, entries, result.contradicts)
        elif on_top or changes.whole or pending.revision <= self.revision:
            self._pending = NOTHING
        return result

    def take_from_peer(self, changes: Changes) -> OfferResult:
        """Take changes that a peer has in force."""
        if changes.after > self.revision:
            return Gap(self.revision, changes.after)
        if changes.revision < self.revision:
            return Stale(self.revision, changes.revision)
        result = self._judge(self._encode(changes, {}), changes)
        if isinstance(result, Accepted) and self._pending.revision <= self.revision:
            self._pending = NOTHING
        return result

    def find_shape_fault(self, changes: Changes) -> str:
        """Say what makes changes unreadable, or give an empty text."""
        if not is_revision(changes.revision):
            return f"{changes.revision!r} is not a revision"
        if len(self.documents) + len(changes.documents) > MOST_DOCUMENTS:
            return f"there are over {MOST_DOCUMENTS} documents; publish fewer"
        beyond = [
            document.key
            for document in changes.documents
            if not is_revision(document.revision) or document.revision > changes.revision
        ]
        return f"{beyond[0]} has a revision beyond that of the whole" if beyond else ""

    def _encode(self, changes: Changes, below: Mapping[str, Entry]) -> dict[str, Entry]:
        """Give changes as entries on top of others, with the deletions that a whole implies."""
        entries = {
            key: entry._replace(revision=changes.revision) if entry.implied else entry
            for key, entry in below.items()
        }
        for document in changes.documents:
            known = entries.get(document.key)
            if known is None or known.implied or known.revision <= document.revision:
                entries[document.key] = Entry.from_document(document)
        if changes.whole:
            deleted = Entry(changes.revision, None, implied=True)
            entries |= {key: deleted for key in self.documents if key not in entries}
        return entries

    def _judge(self, entries: Mapping[str, Entry], changes: Changes) -> OfferResult:
        """Put entries in force if they make a valid whole, or refuse them all."""
        revision = changes.revision
        findings = Findings(f"revision {revision}")
        self._check_history(entries, changes, findings)
        late = {key: entry for key, entry in entries.items() if entry.revision > self.revision}
        if changes.digest and self.documents.digest_with(late) != changes.digest:
            if not changes.whole:
                return Gap(0, changes.after)
            findings.add("", "the documents don't have the digest that the source tells")
        if findings.errors:
            return self._refuse(revision, findings, contradicts=True)
        if revision == self.revision:
            return Unchanged(revision)
        return self._advance(late, revision, findings)

    def _check_history(
        self, entries: Mapping[str, Entry], changes: Changes, findings: Findings
    ) -> None:
        """Note each document that a revision in force holds with other content.

        Either the platform was restored from older data and has used revisions again, or two
        operators published the same revision. To take it would withdraw what was accepted, and
        hosts that saw the other one first would differ for good: the one in force stays.
        """
        remedy = f"publish it again with a revision over {changes.revision}"
        different = [
            key
            for key, entry in entries.items()
            if entry.revision <= self.revision and entry.text != self.documents.text(key)
        ]
        if not changes.whole:
            later = self.documents.list_later(changes.after)
            different += [key for key in later if key not in entries]
        for key in different:
            findings.add(_dot(key), f"is in force with other content; {remedy}")

    def _advance(
        self, late: Mapping[str, Entry], revision: int, findings: Findings
    ) -> Accepted | Rejected:
        parsed = self._parse(late, findings)
        if findings.errors:
            return self._refuse(revision, findings)
        published = self._compose(parsed, revision)
        if published is None:
            findings.add("organisation", "is missing; publish it")
            return self._refuse(revision, findings)
        for fault in find_faults(published, parsed, self._claims):
            findings.add(*fault)
        if findings.errors:
            return self._refuse(revision, findings)
        before = self.revision
        self._put_in_force(published, parsed, late)
        return Accepted(published, before, tuple(findings.warnings[:MOST_FINDINGS]))

    def _parse(self, late: Mapping[str, Entry], findings: Findings) -> dict[Place, Any]:
        """Parse the documents whose content changes; None stands for a deleted one."""
        parsed: dict[Place, Any] = {}
        for key, entry in late.items():
            place = _place(key)
            if entry.fault:
                findings.add(place.dotted, entry.fault)
            elif entry.text == self.documents.text(key):
                continue
            elif not _is_known(place):
                warn_unknown(place.dotted, findings)
            else:
                value = entry.value
                parsed[place] = None if value is None else parse_document(place, value, findings)
        return parsed

    def _compose(self, parsed: Mapping[Place, Any], revision: int) -> Published | None:
        """Give the configuration in force with some documents changed.

        Tables without a change are the same objects as before, so that what is derived from
        them can be kept.
        """
        fields = self.published._asdict() if self.published else {}
        for table in {place.table for place in parsed if place.table in TABLES}:
            fields[table] = dict(fields.get(table, {}))
        for place, document in parsed.items():
            if place.table in SINGLES:
                fields[place.table] = document
            elif document is None:
                fields[place.table].pop(place.name, None)
            else:
                fields[place.table][place.name] = document
        if fields.get("organisation") is None:
            return None
        if fields.get("objective") is None:
            fields["objective"] = Objective()
        return Published(**{**fields, "revision": revision})

    def _put_in_force(
        self, published: Published, parsed: Mapping[Place, Any], late: Mapping[str, Entry]
    ) -> None:
        for place, document in parsed.items():
            self._claims.replace(place, _find(self.published, place), document)
        self.documents.put(late, published.revision)
        self.published = published
        self.refused = None

    def _refuse(self, revision: int, findings: Findings, contradicts: bool = False) -> Rejected:
        self.refused = Rejected(revision, _limit(findings.errors), contradicts)
        self._refused_revisions.append(revision)
        return self.refused


def _place(key: str) -> Place:
    table, _, name = key.partition("/")
    return Place(table, name)


def _dot(key: str) -> str:
    return _place(key).dotted


def _is_known(place: Place) -> bool:
    return place.table in (TABLES if place.name else SINGLES)


def _find(published: Published | None, place: Place) -> Any:
    if published is None or not place.name:
        return None
    return getattr(published, place.table).get(place.name)


def _limit(findings: list[str]) -> tuple[str, ...]:
    """Keep a refusal short enough for a log line and a peer's memory."""
    if len(findings) <= MOST_FINDINGS:
        return tuple(findings)
    return (*findings[:MOST_FINDINGS], f"and {len(findings) - MOST_FINDINGS} more findings")
