"""The configuration in force: merged from the platform and from peers, and never lowered."""

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
"""A platform that is behind for so long is stale; a change is in force everywhere by then."""

RECHECK_AFTER_S = 10.0
"""A platform that was out of reach for so long may have been restored from older data."""

PEER_TIMEOUT_S = 4.0
"""A peer that was not heard for so long is not waited for at the start."""

READERS_PER_DOMAIN = 2
"""Hosts of a failure domain that read the platform: one may be dead without a gap."""


class Source(StrEnum):
    """Where an offer comes from."""

    PLATFORM = "platform"
    PEER = "peer"


class Check(Enum):
    """What the platform has to show before its changes are taken."""

    NONE = 0
    LATEST = 1
    """The latest document in force: it was out of reach, and may have come back as another."""
    WHOLE = 2
    """All documents: it went back, and may be using revisions again."""


class ConfigurationStore:
    """Hold the configuration in force; judge what the platform and peers offer.

    One task owns it. Until `settle` is called the host serves nobody, and the first whole from a
    peer takes the place of what the platform alone gave: the peer has it in force, while a
    platform that was restored from older data may have used the same revisions again.
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
        self._check = Check.NONE
        self.platform_stale = False
        """Whether the platform answers less than is in force, or another history of it."""

    @property
    def published(self) -> Published | None:
        """The configuration in force, or None before the first was accepted."""
        return self._revisions.published

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self._revisions.revision

    @property
    def served_revision(self) -> int:
        """The revision to tell peers: 0 until settled, so that no peer builds on it."""
        return self._revisions.revision if self._is_serving else 0

    @property
    def rejection(self) -> Rejected | None:
        """The latest refusal, until a later revision is in force."""
        return self._revisions.rejection

    @property
    def digest(self) -> str:
        """Summarise the documents in force: equal digests mean equal configurations."""
        return self._revisions.documents.digest

    @property
    def read_after(self) -> int:
        """The revision after which the platform is to be read next; 0 reads the whole.

        It is the last one that the platform itself has shown, also where peers have told of later
        ones: the platform must show the same, or it goes on from another history.
        """
        if self._check is Check.LATEST:
            return min(self._revisions.documents.recheck_after, self._delivered_revision)
        if self._check is Check.WHOLE and self._platform_revision >= self.revision:
            return 0
        return self._delivered_revision

    def fetch_after(self, revision: int) -> int | None:
        """Give the revision after which to ask a peer that has `revision`, or None for not."""
        if self._revisions.has_rejected(revision) or revision < 1:
            return None
        if not self._is_serving and not self._has_peer_snapshot:
            return 0
        if self._needs_snapshot and revision >= self.revision:
            return 0
        return self.revision if revision > self.revision else None

    def start_serving(self) -> None:
        """Begin to serve: from now on nothing in force is exchanged, only changed."""
        self._is_serving = True

    def conflicts(self, revision: int, digest: str) -> bool:
        """Tell whether a peer holds other documents under the revision that is in force here."""
        return revision == self.revision and digest != self.digest

    def changes_after(self, revision: int) -> Changes:
        """Give a peer what it lacks; the whole when it has nothing or is far behind."""
        return self._revisions.documents.changes_after(revision, self.revision)

    def apply(self, changes: Changes, source: Source, now: float) -> ApplyResult:
        """Merge changes; tell whether they are in force, and if not, why."""
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
        # A lowered revision would bring back what operators have withdrawn, such as a key.
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
            self._check = Check.NONE if self._revisions.has_conflict else Check.WHOLE
        elif self._revisions.has_conflict:
            self.platform_stale = True
        elif self._check is Check.NONE and isinstance(result, Accepted | Unchanged):
            self.platform_stale = False
        return result

    def _passes_check(self, changes: Changes) -> bool:
        """Tell whether changes reach back as far as they have to."""
        if changes.complete or (self._check is Check.LATEST and changes.after <= self.read_after):
            self._check = Check.NONE
        return self._check is Check.NONE

    def _record_contact(self, offered: int, now: float) -> None:
        """Mark the platform when it went back, or is behind for longer than a change takes."""
        went_back = offered < self._platform_revision
        if now - self._last_contact_at > RECHECK_AFTER_S and self._check is Check.NONE:
            self._check = Check.LATEST
        self._platform_revision = offered
        self._last_contact_at = now
        if offered >= self.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        lags = self._behind_since is not None and now - self._behind_since >= STALE_AFTER_S
        if went_back or lags:
            self.platform_stale = True
            self._check = Check.WHOLE

    def _replace_with_peer_snapshot(self, changes: Changes) -> ApplyResult:
        """Take what a peer has in force in place of what the platform alone gave.

        The platform is then read as a whole again: where it is later it goes on top, and where
        it contradicts the peer it is refused.
        """
        trial = Revisions()
        result = trial.apply_from_peer(changes)
        if isinstance(result, Accepted):
            self._revisions = trial
            self._has_peer_snapshot = True
            self._check = Check.WHOLE
        return result


class Readiness(NamedTuple):
    """Whether a starting host may take work, and what that rests on."""

    ready: bool
    reason: str
    confirmed: bool = False
    """Whether the platform and every expected peer were heard, and nothing later is known."""


class ReadinessGate:
    """Hold a starting host back until it has asked the platform and its peers, within a bound."""

    def __init__(self, started_at: float, timeout_s: float = 3.0) -> None:
        self._deadline = started_at + timeout_s
        self._peers: dict[str, int] = {}
        self._last_heard_at: dict[str, float] = {}
        self._newly_heard: set[str] = set()
        self._platform: int | None = None

    def record_platform(self, revision: int) -> None:
        """Note the revision that the platform answered."""
        self._platform = revision

    def record_peer(self, host: str, revision: int) -> None:
        """Note the revision that a peer has in force; 0 for one that is starting itself."""
        self._peers[host] = max(revision, self._peers.get(host, 0))
        self._newly_heard.add(host)

    def check(self, current: int, expected: Iterable[str], now: float) -> Readiness:
        """Decide for the revision in force here and the peers that ought to answer."""
        self._drop_silent_peers(now)
        if current < 1:
            return Readiness(False, "no configuration was accepted yet")
        highest = max(self._peers.values(), default=0)
        if current < highest:
            return Readiness(False, "a peer has a later configuration")
        heard_all = self._platform is not None and set(expected) <= set(self._peers)
        if heard_all and current >= (self._platform or 0):
            return Readiness(True, "the platform and all peers were heard", confirmed=True)
        if now < self._deadline:
            return Readiness(False, "the platform and peers are being asked")
        return Readiness(True, "not all were heard within the bound")

    def _drop_silent_peers(self, now: float) -> None:
        """Forget peers that are no longer heard.

        A peer can die with a revision that it alone had told of. Waiting for it would keep this
        host from its callers for good; the platform has the revision, or nobody has.
        """
        self._last_heard_at |= {host: now for host in self._newly_heard}
        self._newly_heard.clear()
        for host in [host for host, at in self._last_heard_at.items() if now - at > PEER_TIMEOUT_S]:
            del self._last_heard_at[host], self._peers[host]


def choose_readers(
    hosts: Iterable[str], domain: str, key: str = "configuration", count: int = READERS_PER_DOMAIN
) -> tuple[str, ...]:
    """Choose which live hosts of a failure domain read the platform, by rendezvous hash."""
    ranked = sorted(
        set(hosts), key=lambda host: (_compute_score(domain, key, host), host), reverse=True
    )
    return tuple(ranked[:count])


def log_result(result: ApplyResult, source: Source) -> None:
    """Log what became of an offer; a refusal is an error that an operator has to mend."""
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
                "a configuration that is offered is older than the one in force",
                extra=fields | {"revision": known, "offered": offered},
            )


def _compute_score(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
