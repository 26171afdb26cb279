"""Idempotency keys: the process that issued a key decides, alone, who may run its request.

Nothing is shared and nothing lasts: a key names the one incarnation of the one host that may grant
it. When that process is gone the key can't be granted any more, so it can't be granted twice.
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
"""The part of the table that one team may fill; the rest stays open to all others."""
DEADLINE_MARGIN_MS = 1_000
"""After a request's deadline, until a repeat is told that the outcome is unknown."""
MAX_RETRY_AFTER_S = 60.0
IN_USE_RETRY_AFTER_S = 1.0


class Recorded(NamedTuple):
    """A whole answer, held so that a repeat gets it again."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def size(self) -> int:
        """Bytes that count against the limits."""
        headers = sum(len(parsed) + len(value) for parsed, value in self.headers)
        return len(self.body) + len(self.content_type) + headers


class Settlement(StrEnum):
    """How the run that a grant allowed has ended."""

    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    """Certain: no byte left for an endpoint, or the endpoint said that it did not start."""


class ClaimCall(NamedTuple):
    """Ask the issuer of a key for the right to run its request."""

    key: str
    team: str
    profile: str
    digest: bytes
    claimant: str
    """Names one attempt of one host incarnation; never used for a second attempt."""
    left_s: float
    """Time until the request's deadline."""


class SettleCall(NamedTuple):
    """Tell the issuer how the run ended."""

    key: str
    team: str
    profile: str
    claimant: str
    settlement: Settlement
    recorded: Recorded | None = None


class Grant(NamedTuple):
    """The right to run, once, given to one claimant only."""

    lifetime_s: float
    """The run must start within this time from before the claim was sent."""


ClaimResult = Grant | Recorded | Refused


class KeyState(StrEnum):
    """What the issuer knows about a key that was claimed."""

    GRANTED = "granted"
    FREE = "free"
    """The run that was granted certainly did not happen."""
    DONE = "done"
    UNKNOWN = "unknown"


STATE_AFTER_SETTLEMENT = {
    Settlement.DONE: KeyState.DONE,
    Settlement.UNKNOWN: KeyState.UNKNOWN,
    Settlement.NOT_RUN: KeyState.FREE,
}


class _Entry:
    """One key that was claimed."""

    __slots__ = ("binding", "claimant", "ends_ms", "expires_ms", "recorded", "state", "team")

    def __init__(self, team: str, binding: bytes, expires_ms: int) -> None:
        self.team = team
        self.binding = binding
        self.expires_ms = expires_ms
        self.state = KeyState.FREE
        self.claimant = ""
        self.ends_ms = 0
        self.recorded: Recorded | None = None


class Bounds(NamedTuple):
    """How much a ledger holds, and for how long."""

    keys: int
    lifetime_s: float
    recorded_bytes: int
    recorded_answer_bytes: int


def compute_digest(method: str, path: str, body: bytes) -> bytes:
    """Identify a request's content; a key is bound to it at its first claim."""
    return _hash_parts(method.encode(), path.encode(), body)


class Ledger:
    """All keys of one host incarnation that were claimed; pure but for its own state.

    Safety does not rest on clocks: a key is granted only when it has no entry or a free one, and
    an entry goes only when its key has expired for new claims.
    """

    def __init__(
        self, host: str, incarnation: str, secret: bytes, bounds: Bounds, now: float
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.leaving = False
        self._secret = secret
        self._bounds = bounds
        self._lifetime_ms = int(bounds.lifetime_s * 1000)
        self._epoch = now
        self._now_ms = 0
        self._last_issue_ms = float("-inf")
        self._last_end_ms = 0
        self._outstanding = 0
        self._entries: dict[bytes, _Entry] = {}
        self._teams: Counter[str] = Counter()
        self._answer_sizes: dict[bytes, int] = {}
        self._recorded_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def recorded_bytes(self) -> int:
        """Bytes of recorded answers that are held."""
        return self._recorded_bytes

    @property
    def outstanding(self) -> int:
        """Grants that are not settled."""
        return self._outstanding

    def is_needed(self, now: float, hold_s: float) -> bool:
        """Tell whether a host that leaves should still answer claims.

        So it is while a run goes on that a grant allowed, and for as long after the last issue as
        callers hold keys before they send them.
        """
        now_ms = self._advance(now)
        running = self._outstanding > 0 and now_ms < self._last_end_ms
        return running or now_ms - self._last_issue_ms < hold_s * 1000

    def issue(self, nonces: Iterable[bytes], now: float) -> list[str] | Refused:
        """Make one key for each nonce; a leaving issuer makes none."""
        if self.leaving:
            return Refused(Kind.LEAVING, "ask another host for keys")
        issued_ms = self._advance(now)
        self._last_issue_ms = issued_ms
        return [self._sign(issued_ms, nonce) for nonce in nonces]

    def claim(self, call: ClaimCall, now: float) -> ClaimResult:
        """Grant the key, give the recorded answer, or say why neither can be had."""
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
        """Note how a run ended; False when the claimant does not hold the grant.

        The first settlement stands: a late or doubled one can't change it.
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
        entry.ends_ms = 0
        self._outstanding -= 1
        if call.settlement is Settlement.DONE and call.recorded is not None:
            self._record_answer(parsed.nonce, entry, call.recorded)
        return True

    def expire(self, now: float) -> None:
        """Drop the entries whose keys can't be granted any more."""
        self._advance(now)

    def _advance(self, now: float) -> int:
        """Give the time in whole milliseconds, never lower than before, and expire entries.

        Whole numbers, because an entry must not go a rounding error before its key expires.
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
            # The entry may have been dropped, so nothing is known about the past.
            return Refused(Kind.KEY_EXPIRED, ran=Ran.UNKNOWN)
        if call.left_s <= 0:
            return Refused(Kind.DEADLINE)
        if len(self._entries) >= self._bounds.keys:
            return Refused(Kind.OVERLOADED, "too many keys are in use", self._compute_retry_after())
        if self._teams[call.team] >= max(1, int(self._bounds.keys * MAX_TEAM_SHARE)):
            return Refused(
                Kind.TEAM_LIMIT, "the team uses too many keys", self._compute_retry_after()
            )
        # First claim plus lifetime is never before issue plus lifetime: once the entry goes,
        # its key has expired, and it can't be granted a second time.
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
            # A late copy of a claim that its sender has already given up.
            return Refused(Kind.KEY_IN_USE, "the claim was given up", IN_USE_RETRY_AFTER_S, Ran.NO)
        return self._grant(entry, call)

    def _grant(self, entry: _Entry, call: ClaimCall) -> Grant:
        assert entry.state is KeyState.FREE, "a key is granted only while no run can have happened"
        entry.state = KeyState.GRANTED
        entry.claimant = call.claimant
        lifetime_s = self._compute_lifetime(call)
        entry.ends_ms = self._now_ms + int(lifetime_s * 1000) + DEADLINE_MARGIN_MS
        self._last_end_ms = max(self._last_end_ms, entry.ends_ms)
        self._outstanding += 1
        return Grant(lifetime_s)

    def _compute_lifetime(self, call: ClaimCall) -> float:
        return min(call.left_s, self._bounds.lifetime_s)

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
            # The answer to the first claim was lost; the claimant still has run nothing.
            return Grant(self._compute_lifetime(call))
        left_s = (entry.ends_ms - self._now_ms) / 1000
        if left_s > 0:
            wait = min(left_s, IN_USE_RETRY_AFTER_S)
            return Refused(Kind.KEY_IN_USE, retry_after=wait, ran=Ran.UNKNOWN)
        # The claimant is gone or slow. It is never granted again on the word of a clock.
        return Refused(Kind.KEY_SPENT, "the first run was not heard of", ran=Ran.UNKNOWN)

    def _compute_retry_after(self) -> float:
        first = next(iter(self._entries.values()))
        return min((first.expires_ms - self._now_ms) / 1000, MAX_RETRY_AFTER_S)

    def _record_answer(self, nonce: bytes, entry: _Entry, recorded: Recorded) -> None:
        """Hold an answer; the oldest ones make room, which loses answers but never a use."""
        size = recorded.size
        if size > min(self._bounds.recorded_answer_bytes, self._bounds.recorded_bytes):
            return
        while self._recorded_bytes + size > self._bounds.recorded_bytes:
            self._drop_answer(next(iter(self._answer_sizes)))
        entry.recorded = recorded
        self._answer_sizes[nonce] = size
        self._recorded_bytes += size

    def _drop_answer(self, nonce: bytes) -> None:
        self._recorded_bytes -= self._answer_sizes.pop(nonce, 0)
        self._entries[nonce].recorded = None


def _hash_parts(*parts: bytes) -> bytes:
    """Hash parts with their lengths, so that no two lists of parts look alike."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
