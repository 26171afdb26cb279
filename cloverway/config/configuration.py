"""The configuration in force: merged from the platform and peers; its revision never decreases."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Iterable
from enum import Enum, StrEnum
from typing import NamedTuple

from cloverway.config.published import Published
from cloverway.config.revisions import (
    Accepted,
    ApplyResult,
    Gap,
    Rejected,
    Revisions,
    Stale,
    Unchanged,
)
from cloverway.sources.port import Changes

__all__ = [
    "Accepted",
    "ApplyResult",
    "ConfigurationStore",
    "Gap",
    "Readiness",
    "ReadinessGate",
    "Rejected",
    "Source",
    "Stale",
    "Unchanged",
    "choose_readers",
    "log_result",
]

log = logging.getLogger(__name__)

STALE_AFTER_S = 4.0
"""Seconds after which a platform that is behind is stale; a change takes less time to spread."""

RECHECK_AFTER_S = 10.0
"""Seconds without contact after which the platform may have been restored from older data."""

PEER_TIMEOUT_S = 4.0
"""Seconds without contact after which a starting host stops waiting for a peer."""

READERS_PER_DOMAIN = 2
"""Hosts of a failure domain that read the platform; more than one, in case a reader fails."""


class Source(StrEnum):
    """Where changes come from."""

    PLATFORM = "platform"
    PEER = "peer"


class PlatformCheck(Enum):
    """What the platform must send again before its changes are accepted."""

    NONE = 0
    RECENT = 1
    """The latest changes in force, because it was out of contact and may have been restored."""
    SNAPSHOT = 2
    """All documents, because its revision decreased or is behind, and it may reuse revisions."""


class ConfigurationStore:
    """The configuration in force; accepts or rejects the changes of the platform and peers.

    Not thread-safe. Before `start_serving` is called, the first snapshot from a peer replaces what
    was read from the platform alone: the peer has its snapshot in force, while a platform that was
    restored from older data may have reused revisions.
    """

    def __init__(self) -> None:
        self._revisions = Revisions()
        self._is_serving = False
        self._has_peer_snapshot = False
        self._needs_snapshot = False
        self._platform_revision = 0
        self._delivered_revision = 0
        self._last_contact_at = float("-inf")
        self._behind_since: float | None = None
        self._pending_check = PlatformCheck.NONE
        self.platform_stale = False
        """Whether the platform is behind the configuration in force, or conflicts with it."""

    @property
    def published(self) -> Published | None:
        """The configuration in force, or None before the first one was accepted."""
        return self._revisions.published

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self._revisions.revision

    @property
    def served_revision(self) -> int:
        """The revision announced to peers; 0 until this host serves, so that no peer fetches it."""
        return self._revisions.revision if self._is_serving else 0

    @property
    def rejection(self) -> Rejected | None:
        """The latest rejection, until a later revision is in force."""
        return self._revisions.rejection

    @property
    def digest(self) -> str:
        """Digest of the documents in force; equal digests mean equal configurations."""
        return self._revisions.documents.digest

    @property
    def read_after(self) -> int:
        """The revision after which to read the platform next; 0 for a snapshot.

        This is the last revision that the platform itself delivered, even if peers delivered later
        ones. The platform must deliver the same changes; otherwise its history conflicts.
        """
        if self._pending_check is PlatformCheck.RECENT:
            return min(self._revisions.documents.recheck_after, self._delivered_revision)
        if (
            self._pending_check is PlatformCheck.SNAPSHOT
            and self._platform_revision >= self.revision
        ):
            return 0
        return self._delivered_revision

    def get_fetch_after(self, revision: int) -> int | None:
        """Return the revision after which to fetch from a peer at `revision`; None for no fetch."""
        if self._revisions.has_rejected(revision) or revision < 1:
            return None
        if not self._is_serving and not self._has_peer_snapshot:
            return 0
        if self._needs_snapshot and revision >= self.revision:
            return 0
        return self.revision if revision > self.revision else None

    def start_serving(self) -> None:
        """Start to serve; a peer's snapshot no longer replaces the configuration in force."""
        self._is_serving = True

    def conflicts_with(self, revision: int, digest: str) -> bool:
        """Return whether a peer has other documents under the revision that is in force here."""
        return revision == self.revision and digest != self.digest

    def get_changes_after(self, revision: int) -> Changes:
        """Return a delta for a peer, or a snapshot if the peer has nothing or is far behind."""
        return self._revisions.documents.get_changes_after(revision, self.revision)

    def apply(self, changes: Changes, source: Source, now: float) -> ApplyResult:
        """Apply changes; return whether they came into force, or the reason why not."""
        before = self.revision
        if error := self._revisions.find_format_error(changes):
            return Rejected(before, (error,))
        if source is Source.PLATFORM:
            result = self._apply_from_platform(changes, now)
        elif changes.complete and not self._is_serving and not self._has_peer_snapshot:
            return self._replace_with_peer_snapshot(changes)
        else:
            result = self._revisions.apply_from_peer(changes)
            self._needs_snapshot = isinstance(result, Gap) and result.known == 0 < self.revision
        # A lower revision would restore documents that operators have withdrawn, such as a key.
        assert self.revision >= before, "the revision in force went down"
        return result

    def _apply_from_platform(self, changes: Changes, now: float) -> ApplyResult:
        self._record_contact(changes.revision, now)
        if changes.revision >= self.revision and not self._passes_check(changes):
            return Gap(self.read_after, changes.after)
        result = self._revisions.apply_from_platform(changes)
        if (
            isinstance(result, Accepted | Unchanged)
            or changes.revision == self._revisions.known_revision
        ):
            self._delivered_revision = changes.revision
        if isinstance(result, Rejected) and result.conflicts:
            self.platform_stale = True
            self._pending_check = (
                PlatformCheck.NONE if self._revisions.has_conflict else PlatformCheck.SNAPSHOT
            )
        elif self._revisions.has_conflict:
            self.platform_stale = True
        elif self._pending_check is PlatformCheck.NONE and isinstance(result, Accepted | Unchanged):
            self.platform_stale = False
        return result

    def _passes_check(self, changes: Changes) -> bool:
        """Return whether changes reach back as far as the pending check requires."""
        if changes.complete or (
            self._pending_check is PlatformCheck.RECENT and changes.after <= self.read_after
        ):
            self._pending_check = PlatformCheck.NONE
        return self._pending_check is PlatformCheck.NONE

    def _record_contact(self, reported_revision: int, now: float) -> None:
        """Record the platform's revision; mark it as stale if it decreased or lags too long."""
        has_decreased = reported_revision < self._platform_revision
        if (
            now - self._last_contact_at > RECHECK_AFTER_S
            and self._pending_check is PlatformCheck.NONE
        ):
            self._pending_check = PlatformCheck.RECENT
        self._platform_revision = reported_revision
        self._last_contact_at = now
        if reported_revision >= self.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        is_behind = self._behind_since is not None and now - self._behind_since >= STALE_AFTER_S
        if has_decreased or is_behind:
            self.platform_stale = True
            self._pending_check = PlatformCheck.SNAPSHOT

    def _replace_with_peer_snapshot(self, changes: Changes) -> ApplyResult:
        """Replace what was read from the platform alone by a peer's snapshot, if that is valid.

        A snapshot of the platform is read next: later changes are applied on top, and a
        conflicting history is rejected.
        """
        revisions = Revisions()
        result = revisions.apply_from_peer(changes)
        if isinstance(result, Accepted):
            self._revisions = revisions
            self._has_peer_snapshot = True
            self._pending_check = PlatformCheck.SNAPSHOT
        return result


class Readiness(NamedTuple):
    """Whether a starting host may serve callers, and the reason."""

    ready: bool
    reason: str
    confirmed: bool = False
    """Whether the platform and all expected peers responded and none has a later revision."""


class ReadinessGate:
    """Delays the start of a host until the platform and its peers respond, or until a timeout."""

    def __init__(self, started_at: float, timeout_s: float = 3.0) -> None:
        self._deadline = started_at + timeout_s
        self._peer_revisions: dict[str, int] = {}
        self._last_heard_at: dict[str, float] = {}
        self._newly_heard: set[str] = set()
        self._platform_revision: int | None = None

    def record_platform(self, revision: int) -> None:
        """Record the revision of a response of the platform."""
        self._platform_revision = revision

    def record_peer(self, host: str, revision: int) -> None:
        """Record the revision that a peer has in force; 0 for a peer that is starting too."""
        self._peer_revisions[host] = max(revision, self._peer_revisions.get(host, 0))
        self._newly_heard.add(host)

    def check(self, own_revision: int, expected_peers: Iterable[str], now: float) -> Readiness:
        """Return whether this host is ready, given its revision and the peers that must respond."""
        self._drop_silent_peers(now)
        if own_revision < 1:
            return Readiness(False, "no configuration was accepted yet")
        highest = max(self._peer_revisions.values(), default=0)
        if own_revision < highest:
            return Readiness(False, "a peer has a later configuration")
        all_responded = self._platform_revision is not None and set(expected_peers) <= set(
            self._peer_revisions
        )
        if all_responded and own_revision >= (self._platform_revision or 0):
            return Readiness(True, "the platform and all peers responded", confirmed=True)
        if now < self._deadline:
            return Readiness(False, "waiting for the platform and peers")
        return Readiness(True, "timed out waiting for the platform and peers")

    def _drop_silent_peers(self, now: float) -> None:
        """Drop peers that were not heard from recently.

        A peer can crash after it has announced a revision that no other peer has. This host would
        wait for that revision forever; only the platform may still have it.
        """
        self._last_heard_at |= {host: now for host in self._newly_heard}
        self._newly_heard.clear()
        for host in [host for host, at in self._last_heard_at.items() if now - at > PEER_TIMEOUT_S]:
            del self._last_heard_at[host], self._peer_revisions[host]


def choose_readers(
    hosts: Iterable[str], domain: str, key: str = "configuration", count: int = READERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Choose which live hosts of a failure domain read the platform, by rendezvous hashing."""
    ranked = sorted(
        set(hosts), key=lambda host: (_compute_score(domain, key, host), host), reverse=True
    )
    return tuple(ranked[:count])


def log_result(result: ApplyResult, source: Source) -> None:
    """Log the result of applying changes; a rejection needs a correction by operators."""
    fields = {"source": str(source)}
    match result:
        case Accepted(published, after):
            log.info(
                "a configuration is in force",
                extra=fields | {"revision": published.revision, "after": after},
            )
        case Rejected(revision, findings):
            log.error(
                "a configuration was refused; the last good one stays in force",
                extra=fields | {"revision": revision, "findings": list(findings)},
            )
        case Stale(known, offered):
            log.warning(
                "a received configuration is older than the one in force",
                extra=fields | {"revision": known, "offered": offered},
            )


def _compute_score(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
