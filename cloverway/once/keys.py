"""Idempotency keys: only the process that issued a key decides who may run its request.

State is neither shared nor persisted: a key names the only host incarnation that may grant it. Once
that process has ended, the key can't be granted any more, and so it can't be granted twice.
"""

from __future__ import annotations

import hashlib
import hmac
import logging
import sys
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from cloverway.errors import Kind, Ran
from cloverway.messages import Refused
from cloverway.once.key_format import MAC_BYTES, ParsedKey

log = logging.getLogger(__name__)

NONCE_BYTES = 12
BINDING_BYTES = 16
MAX_TEAM_SHARE = 0.5
"""Maximum share of the table that one team may use; the rest is left to other teams."""
DEADLINE_MARGIN_MS = 1_000
"""Time after a request's deadline until a repeat gets "outcome unknown" instead of "in use"."""
MAX_RETRY_AFTER_S = 60.0
IN_USE_RETRY_AFTER_S = 1.0


class Recorded(NamedTuple):
    """A complete answer, stored so that repeats of the request get it too."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def size(self) -> int:
        """Bytes that count towards the limits."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.body) + len(self.content_type) + headers


class Settlement(StrEnum):
    """How a granted run ended."""

    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    """Certain: no byte was sent to an endpoint, or the endpoint reported that it did not start."""


class ClaimCall(NamedTuple):
    """Ask the issuer of a key for permission to run its request."""

    key: str
    team: str
    profile: str
    digest: bytes
    claimant: str
    """ID of one attempt of one host incarnation; never reused for another attempt."""
    left_s: float
    """Time until the request's deadline."""


class SettleCall(NamedTuple):
    """Report to the issuer how the run ended."""

    key: str
    team: str
    profile: str
    claimant: str
    settlement: Settlement
    recorded: Recorded | None = None


class Grant(NamedTuple):
    """Permission for one claimant to run the request once."""

    lifetime_s: float
    """The run must start within this time from before the claim was sent."""


ClaimResult = Grant | Recorded | Refused


class KeyState(StrEnum):
    """What the issuer knows about a claimed key."""

    GRANTED = "granted"
    FREE = "free"
    """The granted run certainly did not happen."""
    DONE = "done"
    UNKNOWN = "unknown"


STATE_AFTER_SETTLEMENT = {
    Settlement.DONE: KeyState.DONE,
    Settlement.UNKNOWN: KeyState.UNKNOWN,
    Settlement.NOT_RUN: KeyState.FREE,
}


class _Entry:
    """A claimed key."""

    __slots__ = (
        "binding",
        "claimant",
        "expires_ms",
        "grant_expires_ms",
        "recorded",
        "state",
        "team",
    )

    def __init__(self, team: str, binding: bytes, expires_ms: int) -> None:
        self.team = team
        self.binding = binding
        self.expires_ms = expires_ms
        self.state = KeyState.FREE
        self.claimant = ""
        self.grant_expires_ms = 0
        self.recorded: Recorded | None = None


class LedgerLimits(NamedTuple):
    """Limits on the size of a ledger and the lifetime of its keys."""

    keys: int
    lifetime_s: float
    recorded_bytes: int
    recorded_answer_bytes: int


def compute_content_digest(method: str, path: str, body: bytes) -> bytes:
    """Return a digest of a request's content; the first claim binds the key to it."""
    return _hash_parts(method.encode(), path.encode(), body)


class Ledger:
    """All claimed keys of one host incarnation; performs no I/O and reads no clock.

    Safety does not depend on clocks: a key is granted only if it has no entry or a free one, and an
    entry is removed only when its key has expired for new claims.
    """

    def __init__(
        self, host: str, incarnation: str, secret: bytes, limits: LedgerLimits, now: float
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.leaving = False
        self._secret = secret
        self._limits = limits
        self._lifetime_ms = int(limits.lifetime_s * 1000)
        self._epoch = now
        self._now_ms = 0
        self._last_issue_ms = float("-inf")
        self._last_grant_expires_ms = 0
        self._outstanding = 0
        self._entries: dict[bytes, _Entry] = {}
        self._teams: Counter[str] = Counter()
        self._answer_sizes: dict[bytes, int] = {}
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def recorded_bytes(self) -> int:
        """Total bytes of the recorded answers."""
        return self._recorded_bytes

    @property
    def outstanding(self) -> int:
        """Number of grants that are not settled."""
        return self._outstanding

    def is_needed(self, now: float, key_hold_s: float) -> bool:
        """Return whether a leaving host must still answer claims.

        It must while a granted run may be in progress, and for `key_hold_s` after the last key was
        issued, because callers may keep a key that long before they send it.
        """
        now_ms = self._advance(now)
        running = self._outstanding > 0 and now_ms < self._last_grant_expires_ms
        return running or now_ms - self._last_issue_ms < key_hold_s * 1000

    def issue(self, nonces: Iterable[bytes], now: float) -> list[str] | Refused:
        """Issue one key for each nonce; a leaving issuer refuses."""
        if self.leaving:
            return Refused(Kind.LEAVING, "this host is leaving; get keys from another host")
        issued_ms = self._advance(now)
        self._last_issue_ms = issued_ms
        return [self._sign(issued_ms, nonce) for nonce in nonces]

    def claim(self, call: ClaimCall, now: float) -> ClaimResult:
        """Grant the key, return the recorded answer, or refuse with a reason."""
        now_ms = self._advance(now)
        parsed = ParsedKey.parse(call.key)
        refusal = self._check_key(parsed)
        if refusal is not None:
            return refusal
        assert parsed is not None
        entry = self._entries.get(parsed.nonce)
        expired = now_ms - parsed.issued_ms >= self._lifetime_ms
        parts = (call.team.encode(), call.profile.encode(), call.digest)
        binding = _hash_parts(*parts)[:BINDING_BYTES]
        if entry is None:
            return self._claim_unused(parsed, binding, call, expired)
        if not hmac.compare_digest(entry.binding, binding):
            return Refused(Kind.KEY_MISMATCH)
        if entry.state is KeyState.FREE:
            return self._claim_free(entry, call, expired)
        return self._answer_repeat(entry, call)

    def settle(self, call: SettleCall, now: float) -> bool:
        """Record how a run ended; return False if the claimant does not hold the grant.

        The first settlement is final: a late or duplicate one can't change it.
        """
        self._advance(now)
        parsed = ParsedKey.parse(call.key)
        if parsed is None or self._check_key(parsed) is not None:
            return False
        entry = self._entries.get(parsed.nonce)
        if entry is None or entry.claimant != call.claimant:
            return False
        if entry.state is not KeyState.GRANTED:
            return entry.state is STATE_AFTER_SETTLEMENT[call.settlement]
        entry.state = STATE_AFTER_SETTLEMENT[call.settlement]
        entry.grant_expires_ms = 0
        self._outstanding -= 1
        if call.settlement is Settlement.DONE and call.recorded is not None:
            self._record_answer(parsed.nonce, entry, call.recorded)
        return True

    def expire(self, now: float) -> None:
        """Remove the entries whose keys have expired."""
        self._advance(now)

    def _advance(self, now: float) -> int:
        """Return the time in milliseconds, never lower than before, and remove expired entries.

        It is an integer, so that a rounding error can't remove an entry before its key expires.
        """
        self._now_ms = max(self._now_ms, int((now - self._epoch) * 1000))
        while self._entries:
            nonce, entry = next(iter(self._entries.items()))
            if entry.expires_ms > self._now_ms:
                break
            self._drop_answer(nonce)
            del self._entries[nonce]
            self._outstanding -= entry.state is KeyState.GRANTED
            self._decrement_team(entry.team)
        return self._now_ms

    def _decrement_team(self, team: str) -> None:
        self._teams[team] -= 1
        if not self._teams[team]:
            del self._teams[team]

    def _sign(self, issued_ms: int, nonce: bytes) -> str:
        parsed = ParsedKey(self.host, self.incarnation, issued_ms, nonce, b"")
        return parsed._replace(mac=self._compute_mac(parsed)).text

    def _compute_mac(self, parsed: ParsedKey) -> bytes:
        return hmac.digest(self._secret, parsed.signed.encode(), "sha256")[:MAC_BYTES]

    def _check_key(self, parsed: ParsedKey | None) -> Refused | None:
        if parsed is None:
            return Refused(Kind.KEY_INVALID, "keys come from POST /v1/idempotency-keys")
        if (parsed.host, parsed.incarnation) != (self.host, self.incarnation):
            return Refused(
                Kind.KEY_OWNER_LOST, "the host that issued it was replaced", ran=Ran.UNKNOWN
            )
        if not hmac.compare_digest(self._compute_mac(parsed), parsed.mac):
            return Refused(Kind.KEY_INVALID, "keys come from POST /v1/idempotency-keys")
        return None

    def _claim_unused(
        self, parsed: ParsedKey, binding: bytes, call: ClaimCall, expired: bool
    ) -> ClaimResult:
        if expired:
            # The entry may have been removed, so earlier runs are unknown.
            return Refused(Kind.KEY_EXPIRED, ran=Ran.UNKNOWN)
        if call.left_s <= 0:
            return Refused(Kind.DEADLINE)
        if len(self._entries) >= self._limits.keys:
            return Refused(Kind.OVERLOADED, "too many keys are in use", self._compute_retry_after())
        if self._teams[call.team] >= max(1, int(self._limits.keys * MAX_TEAM_SHARE)):
            return Refused(
                Kind.TEAM_LIMIT, "the team uses too many keys", self._compute_retry_after()
            )
        # The lifetime of the entry starts at the first claim, and that of the key at its issue,
        # which is earlier. So once the entry is removed, its key has expired and can't be granted
        # a second time.
        team = sys.intern(call.team)
        entry = _Entry(team, binding, self._now_ms + self._lifetime_ms)
        self._teams[team] += 1
        self._entries[parsed.nonce] = entry
        return self._grant(entry, call)

    def _claim_free(self, entry: _Entry, call: ClaimCall, expired: bool) -> ClaimResult:
        if expired:
            return Refused(Kind.KEY_EXPIRED, ran=Ran.NO)
        if call.left_s <= 0:
            return Refused(Kind.DEADLINE)
        if entry.claimant == call.claimant:
            # A delayed duplicate of a claim that its sender has already given up.
            return Refused(Kind.KEY_IN_USE, "the claim was given up", IN_USE_RETRY_AFTER_S, Ran.NO)
        return self._grant(entry, call)

    def _grant(self, entry: _Entry, call: ClaimCall) -> Grant:
        assert entry.state is KeyState.FREE, "a key is granted only while no run can have happened"
        entry.state = KeyState.GRANTED
        entry.claimant = call.claimant
        lifetime_s = self._compute_lifetime(call)
        entry.grant_expires_ms = self._now_ms + int(lifetime_s * 1000) + DEADLINE_MARGIN_MS
        self._last_grant_expires_ms = max(self._last_grant_expires_ms, entry.grant_expires_ms)
        self._outstanding += 1
        return Grant(lifetime_s)

    def _compute_lifetime(self, call: ClaimCall) -> float:
        return min(call.left_s, self._limits.lifetime_s)

    def _answer_repeat(self, entry: _Entry, call: ClaimCall) -> ClaimResult:
        if entry.state is KeyState.GRANTED:
            return self._answer_repeat_in_progress(entry, call)
        if entry.state is KeyState.UNKNOWN:
            return Refused(Kind.KEY_SPENT, ran=Ran.UNKNOWN)
        if entry.recorded is None:
            return Refused(Kind.ANSWER_GONE, ran=Ran.YES)
        return entry.recorded

    def _answer_repeat_in_progress(self, entry: _Entry, call: ClaimCall) -> ClaimResult:
        if entry.claimant == call.claimant:
            # The answer to the first claim was lost; the claimant has not run anything yet.
            return Grant(self._compute_lifetime(call))
        left_s = (entry.grant_expires_ms - self._now_ms) / 1000
        if left_s > 0:
            wait = min(left_s, IN_USE_RETRY_AFTER_S)
            return Refused(Kind.KEY_IN_USE, retry_after=wait, ran=Ran.UNKNOWN)
        # The claimant has crashed or is slow. An expired time limit alone never frees the key.
        return Refused(
            Kind.KEY_SPENT, "the outcome of the first run was not reported", ran=Ran.UNKNOWN
        )

    def _compute_retry_after(self) -> float:
        first = next(iter(self._entries.values()))
        return min((first.expires_ms - self._now_ms) / 1000, MAX_RETRY_AFTER_S)

    def _record_answer(self, nonce: bytes, entry: _Entry, recorded: Recorded) -> None:
        """Store an answer and evict the oldest ones; a key whose answer is evicted stays used."""
        size = recorded.size
        if size > min(self._limits.recorded_answer_bytes, self._limits.recorded_bytes):
            return
        while self._recorded_bytes + size > self._limits.recorded_bytes:
            self._drop_answer(next(iter(self._answer_sizes)))
        entry.recorded = recorded
        self._answer_sizes[nonce] = size
        self._recorded_bytes += size

    def _drop_answer(self, nonce: bytes) -> None:
        self._recorded_bytes -= self._answer_sizes.pop(nonce, 0)
        self._entries[nonce].recorded = None


def _hash_parts(*parts: bytes) -> bytes:
    """Hash parts with their lengths, so that different lists of parts never hash the same bytes."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
