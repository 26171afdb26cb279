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
    Gap,
    OfferResult,
    Rejected,
    Revisions,
    Stale,
    Unchanged,
)
from cloverway.sources.port import Changes

__all__ = [
    "Accepted",
    "ConfigurationStore",
    "Gap",
    "OfferResult",
    "Readiness",
    "Rejected",
    "Source",
    "Stale",
    "StartGate",
    "Unchanged",
    "choose_readers",
    "log_result",
]

log = logging.getLogger(__name__)

STALE_AFTER_S = 4.0
"""A platform that is behind for so long is stale; a change is in force everywhere by then."""

CONTACT_S = 10.0
"""A platform that was out of reach for so long may have been restored from older data."""

SILENT_S = 4.0
"""A peer that was not heard for so long is not waited for at the start."""

READERS = 2
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
        self._held = Revisions()
        self._settled = False
        self._heard_whole = False
        self._asks_whole = False
        self._platform_revision = 0
        self._shown = 0
        self._platform_at = float("-inf")
        self._behind_since: float | None = None
        self._check = Check.NONE
        self.platform_stale = False
        """Whether the platform answers less than is in force, or another history of it."""

    @property
    def published(self) -> Published | None:
        """The configuration in force, or None before the first was accepted."""
        return self._held.published

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        return self._held.revision

    @property
    def served_revision(self) -> int:
        """The revision to tell peers: 0 until settled, so that no peer builds on it."""
        return self._held.revision if self._settled else 0

    @property
    def refused(self) -> Rejected | None:
        """The latest refusal, until a later revision is in force."""
        return self._held.refused

    @property
    def digest(self) -> str:
        """Summarise the documents in force: equal digests mean equal configurations."""
        return self._held.documents.digest

    @property
    def read_after(self) -> int:
        """The revision after which the platform is to be read next; 0 reads the whole.

        It is the last one that the platform itself has shown, also where peers have told of later
        ones: the platform must show the same, or it goes on from another history.
        """
        if self._check is Check.LATEST:
            return min(self._held.documents.anchor, self._shown)
        if self._check is Check.WHOLE and self._platform_revision >= self.revision:
            return 0
        return self._shown

    def ask_peer_after(self, revision: int) -> int | None:
        """Give the revision after which to ask a peer that has `revision`, or None for not."""
        if self._held.has_refused(revision) or revision < 1:
            return None
        if not self._settled and not self._heard_whole:
            return 0
        if self._asks_whole and revision >= self.revision:
            return 0
        return self.revision if revision > self.revision else None

    def settle(self) -> None:
        """Begin to serve: from now on nothing in force is exchanged, only changed."""
        self._settled = True

    def contradicts(self, revision: int, digest: str) -> bool:
        """Tell whether a peer holds other documents under the revision that is in force here."""
        return revision == self.revision and digest != self.digest

    def changes_after(self, revision: int) -> Changes:
        """Give a peer what it lacks; the whole when it has nothing or is far behind."""
        return self._held.documents.changes_after(revision, self.revision)

    def offer(self, changes: Changes, source: Source, now: float) -> OfferResult:
        """Merge changes; tell whether they are in force, and if not, why."""
        before = self.revision
        if fault := self._held.find_shape_fault(changes):
            return Rejected(before, (fault,))
        if source is Source.PLATFORM:
            result = self._offer_of_platform(changes, now)
        elif changes.whole and not self._settled and not self._heard_whole:
            return self._start_from_peer(changes)
        else:
            result = self._held.take_from_peer(changes)
            self._asks_whole = isinstance(result, Gap) and result.known == 0 < self.revision
        # A lowered revision would bring back what operators have withdrawn, such as a key.
        assert self.revision >= before, "the revision in force went down"
        return result

    def _offer_of_platform(self, changes: Changes, now: float) -> OfferResult:
        self._note_contact(changes.revision, now)
        if changes.revision >= self.revision and not self._passes_check(changes):
            return Gap(self.read_after, changes.after)
        result = self._held.take_published(changes)
        if isinstance(result, Accepted | Unchanged) or changes.revision == self._held.covered:
            self._shown = changes.revision
        if isinstance(result, Rejected) and result.contradicts:
            self.platform_stale = True
            self._check = Check.NONE if self._held.contradicted else Check.WHOLE
        elif self._held.contradicted:
            self.platform_stale = True
        elif self._check is Check.NONE and isinstance(result, Accepted | Unchanged):
            self.platform_stale = False
        return result

    def _passes_check(self, changes: Changes) -> bool:
        """Tell whether changes reach back as far as they have to."""
        if changes.whole or (self._check is Check.LATEST and changes.after <= self.read_after):
            self._check = Check.NONE
        return self._check is Check.NONE

    def _note_contact(self, offered: int, now: float) -> None:
        """Mark the platform when it went back, or is behind for longer than a change takes."""
        went_back = offered < self._platform_revision
        if now - self._platform_at > CONTACT_S and self._check is Check.NONE:
            self._check = Check.LATEST
        self._platform_revision = offered
        self._platform_at = now
        if offered >= self.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        lags = self._behind_since is not None and now - self._behind_since >= STALE_AFTER_S
        if went_back or lags:
            self.platform_stale = True
            self._check = Check.WHOLE

    def _start_from_peer(self, changes: Changes) -> OfferResult:
        """Take what a peer has in force in place of what the platform alone gave.

        The platform is then read as a whole again: where it is later it goes on top, and where
        it contradicts the peer it is refused.
        """
        trial = Revisions()
        result = trial.take_from_peer(changes)
        if isinstance(result, Accepted):
            self._held = trial
            self._heard_whole = True
            self._check = Check.WHOLE
        return result


class Readiness(NamedTuple):
    """Whether a starting host may take work, and what that rests on."""

    ready: bool
    why: str
    proved: bool = False
    """Whether the platform and every expected peer were heard, and nothing later is known."""


class StartGate:
    """Hold a starting host back until it has asked the platform and its peers, within a bound."""

    def __init__(self, started_at: float, wait_s: float = 3.0) -> None:
        self._until = started_at + wait_s
        self._peers: dict[str, int] = {}
        self._heard_at: dict[str, float] = {}
        self._heard_since: set[str] = set()
        self._platform: int | None = None

    def hear_platform(self, revision: int) -> None:
        """Note the revision that the platform answered."""
        self._platform = revision

    def hear_peer(self, host: str, revision: int) -> None:
        """Note the revision that a peer has in force; 0 for one that is starting itself."""
        self._peers[host] = max(revision, self._peers.get(host, 0))
        self._heard_since.add(host)

    def decide(self, in_force: int, expected: Iterable[str], now: float) -> Readiness:
        """Decide for the revision in force here and the peers that ought to answer."""
        self._forget_silent(now)
        if in_force < 1:
            return Readiness(False, "no configuration was accepted yet")
        highest = max(self._peers.values(), default=0)
        if in_force < highest:
            return Readiness(False, "a peer has a later configuration")
        heard_all = self._platform is not None and set(expected) <= set(self._peers)
        if heard_all and in_force >= (self._platform or 0):
            return Readiness(True, "the platform and all peers were heard", proved=True)
        if now < self._until:
            return Readiness(False, "the platform and peers are being asked")
        return Readiness(True, "not all were heard within the bound")

    def _forget_silent(self, now: float) -> None:
        """Forget peers that are no longer heard.

        A peer can die with a revision that it alone had told of. Waiting for it would keep this
        host from its callers for good; the platform has the revision, or nobody has.
        """
        self._heard_at |= {host: now for host in self._heard_since}
        self._heard_since.clear()
        for host in [host for host, at in self._heard_at.items() if now - at > SILENT_S]:
            del self._heard_at[host], self._peers[host]


def choose_readers(
    hosts: Iterable[str], domain: str, key: str = "configuration", count: int = READERS
) -> tuple[str, ...]:
    """Choose which live hosts of a failure domain read the platform, by rendezvous hash."""
    ranked = sorted(set(hosts), key=lambda host: (_weigh(domain, key, host), host), reverse=True)
    return tuple(ranked[:count])


def log_result(result: OfferResult, source: Source) -> None:
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


def _weigh(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
