"""The configuration in force: merged from the platform and from peers, and never lowered."""

from __future__ import annotations

import hashlib
import itertools
import json
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from cloverway.config.published import Published
from cloverway.errors import ConfigurationError
from cloverway.platform.port import Changes, Document

SINGLE = ("organisation", "objective")
"""Documents of which there is one."""

READERS = 2
"""Hosts of a failure domain that read the platform: one may be dead without a gap."""


class Source(StrEnum):
    """Where an offer comes from."""

    PLATFORM = "platform"
    PEER = "peer"


class Accepted(NamedTuple):
    """A new configuration is in force."""

    published: Published
    changes: Changes
    """What has changed, as peers are to be told."""


class Unchanged(NamedTuple):
    """The offer holds nothing new."""

    revision: int


class Rejected(NamedTuple):
    """The offer can't be in force; the last good configuration stays."""

    revision: int
    findings: tuple[str, ...]


class Stale(NamedTuple):
    """The source is behind: it offers less than is known."""

    known: int
    offered: int


class Gap(NamedTuple):
    """The changes start later than what is known: ask for those after `known`."""

    known: int
    after: int


OfferResult = Accepted | Unchanged | Rejected | Stale | Gap


class ConfigurationStore:
    """Hold every document with its revision; take changes that make a valid whole."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._pending: dict[str, Document] = {}
        self._published: Published | None = None
        self._platform_revision = 0
        self.platform_stale = False
        """Whether a peer knows more than the platform answers."""

    @property
    def published(self) -> Published | None:
        """The configuration in force, or None before the first was accepted."""
        return self._published

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self._published.revision if self._published else 0

    @property
    def read_after(self) -> int:
        """The revision after which the platform is to be read next; 0 reads the whole."""
        return self._platform_revision

    def offer(self, changes: Changes, source: Source, now: float) -> OfferResult:
        """Merge changes; tell whether they are in force, and if not, why."""
        if changes.revision < self.revision and source is Source.PLATFORM:
            self.platform_stale = True
            return Stale(self.revision, changes.revision)
        if changes.after > self.revision:
            return Gap(self.revision, changes.after)
        if changes.revision <= self.revision:
            return Unchanged(self.revision)
        merged = dict(self._documents)
        for document in itertools.chain(self._pending.values(), changes.documents):
            known = merged.get(document.key)
            if known is None or document.revision > known.revision:
                merged[document.key] = document
        try:
            published = Published.from_documents(_nest(merged.values(), changes.revision))
        except ConfigurationError as error:
            return Rejected(changes.revision, tuple(error.findings))
        self._documents = merged
        self._published = published
        return Accepted(published, changes)

    def changes_after(self, revision: int) -> Changes:
        """Give a peer what it lacks; the whole when it has nothing."""
        documents = tuple(
            document for document in self._documents.values() if document.revision > revision
        )
        return Changes(self.revision, revision, documents)

    def digest(self) -> str:
        """Summarise the documents in force: equal digests mean equal configurations."""
        lines = sorted(
            f"{document.key} {json.dumps(document.value, sort_keys=True)}"
            for document in self._documents.values()
            if document.value is not None
        )
        return hashlib.blake2b("\n".join(lines).encode(), digest_size=16).hexdigest()


class Readiness(NamedTuple):
    """Whether a starting host may take work, and what that rests on."""

    ready: bool
    why: str
    proved: bool = False
    """Whether both the platform and every expected peer confirmed the revision."""


class StartGate:
    """Hold a starting host back until it has asked the platform and its peers, within a bound."""

    def __init__(self, started_at: float, wait_s: float = 3.0) -> None:
        self._until = started_at + wait_s
        self._heard: dict[str, int] = {}
        self._platform: int | None = None

    def hear_platform(self, revision: int) -> None:
        """Note the revision that the platform answered."""
        self._platform = max(revision, self._platform or 0)

    def hear_peer(self, host: str, revision: int) -> None:
        """Note the revision that a peer has in force."""
        self._heard[host] = max(revision, self._heard.get(host, 0))

    def decide(self, in_force: int, expected: Iterable[str], now: float) -> Readiness:
        """Decide for the revision in force here and the peers that ought to answer."""
        highest = max(self._heard.values(), default=0)
        if in_force < 1:
            return Readiness(False, "no configuration was accepted yet")
        if in_force < highest:
            return Readiness(False, "a peer has a later configuration")
        missing = set(expected) - set(self._heard)
        if self._platform is not None and not missing:
            return Readiness(True, "platform and peers agree", proved=True)
        if now < self._until:
            return Readiness(False, "platform and peers are being asked")
        return Readiness(True, "not all answered within the bound")


def choose_readers(
    hosts: Iterable[str], domain: str, key: str = "configuration", count: int = READERS
) -> tuple[str, ...]:
    """Choose which live hosts of a failure domain read the platform, by rendezvous hash."""
    ranked = sorted(set(hosts), key=lambda host: (_weigh(domain, key, host), host), reverse=True)
    return tuple(ranked[:count])


def _weigh(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()


def _nest(documents: Iterable[Document], revision: int) -> Mapping[str, Any]:
    """Give documents as the nested tables that the schema reads."""
    tables: dict[str, Any] = {"revision": revision}
    for document in documents:
        if document.value is None:
            continue
        table, _, name = document.key.partition("/")
        if name:
            tables.setdefault(table, {})[name] = document.value
        else:
            tables[table] = document.value
    return tables
