"""Claims of idempotency keys, decided by the host's own ledger or by a peer's."""

from __future__ import annotations

import itertools
import logging
import secrets
import time
import zlib
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, NamedTuple

from cloverway.config.settings import Settings
from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Outcome, Refused, Request
from cloverway.once.key_format import ParsedKey
from cloverway.once.keys import (
    NONCE_BYTES,
    ClaimCall,
    ClaimResult,
    Grant,
    Ledger,
    LedgerLimits,
    Recorded,
    SettleCall,
    Settlement,
    compute_content_digest,
)
from cloverway.once.settlements import IssuerClient, SettlementSender
from cloverway.replies import Reply
from cloverway.task import Task

log = logging.getLogger(__name__)

SECRET_BYTES = 32
MAX_KEYS_PER_CALL = 1_000
LEDGER_TIMEOUT_S = 5.0
"""How long a caller waits for an answer of the task that owns the ledger."""
RETRY_AFTER_S = 2.0
SENDER_THREADS = 4

MayStore = Callable[[str, str, str], bool]
"""Return whether data of a team and profile may be stored at a host: (team, profile, host)."""


class IssueKeys(NamedTuple):
    """Message: issue keys."""

    key_count: int


class StopIssuing(NamedTuple):
    """Message: stop issuing keys; claims are still answered."""


class CountKeys(NamedTuple):
    """Message: return the size of the ledger."""


class CheckNeeded(NamedTuple):
    """Message: return whether claims must still be answered."""

    key_hold_s: float


class LedgerCount(NamedTuple):
    """Size of a ledger."""

    keys: int
    outstanding: int
    recorded_bytes: int


class LedgerTask:
    """The task that owns the ledger of this incarnation of the host."""

    def __init__(
        self,
        ledger: Ledger,
        may_store: MayStore,
        clock: Callable[[], float] = time.monotonic,
        random_bytes: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self.host = ledger.host
        self.incarnation = ledger.incarnation
        self._ledger = ledger
        self._may_store = may_store
        self._clock = clock
        self._random_bytes = random_bytes
        self._task = Task("keys", self._handle, self._expire, period_s=1.0)

    @classmethod
    def from_settings(cls, settings: Settings, incarnation: str, may_store: MayStore) -> LedgerTask:
        """Create the task with a new secret that never leaves this process."""
        limits = settings.limits
        bounds = LedgerLimits(
            limits.idempotency_keys,
            limits.idempotency_key_s,
            limits.recorded_bytes,
            limits.recorded_answer_bytes,
        )
        secret = secrets.token_bytes(SECRET_BYTES)
        ledger = Ledger(settings.host, incarnation, secret, bounds, time.monotonic())
        return cls(ledger, may_store)

    def start(self) -> None:
        """Start the thread."""
        self._task.start()

    def stop(self) -> None:
        """Stop the thread; its keys can never be granted again."""
        self._task.stop()

    def issue(self, count: int) -> list[str]:
        """Return new keys; raise RequestError if the host is leaving or the count is invalid."""
        if not 1 <= count <= MAX_KEYS_PER_CALL:
            raise RequestError(Kind.MALFORMED, f"count must be from 1 to {MAX_KEYS_PER_CALL}")
        issued = self._call_ledger(IssueKeys(count), Ran.NO)
        if isinstance(issued, Refused):
            raise issued.as_error()
        keys: list[str] = issued
        return keys

    def claim(self, call: ClaimCall) -> ClaimResult:
        """Return the decision on a claim; raise RequestError if the task does not answer."""
        result: ClaimResult = self._call_ledger(call, Ran.UNKNOWN)
        return result

    def settle(self, call: SettleCall) -> None:
        """Record how a run ended, without waiting; later claims take it into account."""
        if call.recorded is not None and not self._may_store(call.team, call.profile, self.host):
            # A peer may use an older configuration; the stricter of the two applies.
            call = call._replace(recorded=None)
        self._task.send(call)

    def stop_issuing(self) -> None:
        """Stop issuing keys."""
        self._task.send(StopIssuing())

    def count(self) -> LedgerCount:
        """Return the size of the ledger."""
        count: LedgerCount = self._call_ledger(CountKeys(), Ran.NO)
        return count

    def is_needed(self, key_hold_s: float) -> bool:
        """Return whether a leaving host must still answer claims.

        It must while granted runs are in progress, and for `key_hold_s` after it issued its last
        key.
        """
        needed: bool = self._call_ledger(CheckNeeded(key_hold_s), Ran.NO)
        return needed

    def _call_ledger(self, message: Any, ran: Ran) -> Any:
        try:
            return self._task.ask(message, LEDGER_TIMEOUT_S)
        except TimeoutError as error:
            raise RequestError(
                Kind.INTERNAL, "the key ledger did not answer in time", ran=ran
            ) from error

    def _expire(self) -> None:
        self._ledger.expire(self._clock())

    def _handle(self, message: Any, answer: Future[Any]) -> None:
        answer.set_result(self._decide(message, self._clock()))

    def _decide(self, message: Any, now: float) -> Any:
        if isinstance(message, ClaimCall):
            return self._ledger.claim(message, now)
        if isinstance(message, SettleCall):
            return self._ledger.settle(message, now)
        if isinstance(message, IssueKeys):
            nonces = [self._random_bytes(NONCE_BYTES) for _ in range(message.key_count)]
            return self._ledger.issue(nonces, now)
        if isinstance(message, StopIssuing):
            self._ledger.leaving = True
            return None
        if isinstance(message, CheckNeeded):
            return self._ledger.is_needed(now, message.key_hold_s)
        assert isinstance(message, CountKeys)
        ledger = self._ledger
        return LedgerCount(len(ledger), ledger.outstanding, ledger.recorded_bytes)


class HeldGrant(NamedTuple):
    """Exclusive permission to run a request once, if its first byte is sent before `start_by`."""

    key: str
    team: str
    profile: str
    claimant: str
    issuer: str
    start_by: float
    """Monotonic time of this host."""

    def check(self, now: float) -> None:
        """Raise RequestError if it is too late to start; call this just before sending.

        Otherwise a process that was paused could use a grant after the request's deadline.
        """
        if now >= self.start_by:
            raise RequestError(Kind.DEADLINE, "the key's grant has expired", ran=Ran.NO)


class Replayed(NamedTuple):
    """The recorded answer of a request that has already run."""

    reply: Reply


SETTLEMENT_OF_OUTCOME = {
    Outcome.DONE: Settlement.DONE,
    Outcome.NOT_SENT: Settlement.NOT_RUN,
    Outcome.REFUSED: Settlement.NOT_RUN,
    Outcome.FAILED: Settlement.UNKNOWN,
    Outcome.LOST: Settlement.UNKNOWN,
    Outcome.CALLER_LEFT: Settlement.UNKNOWN,
}

REPLAYED_HEADER = ("Cloverway-Replayed", "true")


class KeyClaimer:
    """Claim keys from the hosts that issued them."""

    def __init__(
        self,
        keys: LedgerTask,
        issuers: IssuerClient,
        find_address: Callable[[str], str | None],
        may_store: MayStore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._keys = keys
        self._issuers = issuers
        self._find_address = find_address
        self._may_store = may_store
        self._clock = clock
        self._attempts = itertools.count(1)
        self._senders = [
            SettlementSender(issuers, find_address, clock) for _ in range(SENDER_THREADS)
        ]

    def start(self) -> None:
        """Start the threads that send settlements to other hosts."""
        for sender in self._senders:
            sender.start()

    def stop(self) -> None:
        """Stop the threads after one attempt at everything in their inboxes."""
        for sender in self._senders:
            sender.stop()

    def claim(self, request: Request) -> HeldGrant | Replayed:
        """Return permission to run or the recorded answer; raise RequestError otherwise."""
        parsed_key = ParsedKey.parse(request.key)
        if parsed_key is None:
            raise RequestError(Kind.KEY_INVALID, "keys come from POST /v1/idempotency-keys")
        sent_at = self._clock()
        call = ClaimCall(
            key=request.key,
            team=request.team,
            profile=request.profile,
            digest=compute_content_digest(request.method, request.path, request.body),
            claimant=self._make_claimant_id(),
            left_s=request.deadline - sent_at,
        )
        result = self._claim_from(parsed_key, call)
        if isinstance(result, Grant):
            # Counted from before the claim was sent, so it expires here before it expires there.
            start_by = min(request.deadline, sent_at + result.lifetime_s)
            return HeldGrant(
                request.key, request.team, request.profile, call.claimant, parsed_key.host, start_by
            )
        if isinstance(result, Recorded):
            headers = (*result.headers, REPLAYED_HEADER)
            return Replayed(Reply(result.status, result.content_type, result.body, headers=headers))
        raise result.as_error()

    def settle(self, grant: HeldGrant, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report to the issuer how the run ended, without waiting.

        The answer is included if it is complete and its data may be stored at the issuer.
        """
        self._send(
            SettleCall(
                key=grant.key,
                team=grant.team,
                profile=grant.profile,
                claimant=grant.claimant,
                settlement=SETTLEMENT_OF_OUTCOME[outcome],
                recorded=self._make_recorded(grant, outcome, reply),
            ),
            grant.issuer,
        )

    def _make_recorded(
        self, grant: HeldGrant, outcome: Outcome, reply: Reply | None
    ) -> Recorded | None:
        if outcome is not Outcome.DONE or reply is None or reply.stream is not None:
            return None
        if not self._may_store(grant.team, grant.profile, grant.issuer):
            return None
        return Recorded(reply.status, reply.content_type, reply.body, reply.headers)

    def _make_claimant_id(self) -> str:
        """Return an ID of one attempt; a request ID is not unique, as callers may send it twice."""
        keys = self._keys
        return f"{keys.host}/{keys.incarnation}/{next(self._attempts)}"

    def _claim_from(self, parsed_key: ParsedKey, call: ClaimCall) -> ClaimResult:
        try:
            if parsed_key.host == self._keys.host:
                return self._keys.claim(call)
            return self._claim_from_peer(parsed_key.host, call)
        except (PeerError, RequestError) as error:
            # Release the key: the issuer may have granted the claim although its answer was lost.
            settle_call = SettleCall(
                call.key, call.team, call.profile, call.claimant, Settlement.NOT_RUN
            )
            self._send(settle_call, parsed_key.host)
            if isinstance(error, RequestError):
                raise
            log.info("could not reach the issuer of a key", extra={"issuer": parsed_key.host})
            raise RequestError(
                Kind.KEY_OWNER_LOST,
                "this request was not run; an earlier one with the key may have been",
                ran=Ran.UNKNOWN,
                retry_after=RETRY_AFTER_S,
            ) from error

    def _claim_from_peer(self, host: str, call: ClaimCall) -> ClaimResult:
        address = self._find_address(host)
        if address is None:
            # The key is not necessarily forged: the host may have been removed from the list since.
            return Refused(
                Kind.KEY_OWNER_LOST, "the host that issued it is not published", ran=Ran.UNKNOWN
            )
        return self._issuers.claim(host, address, call)

    def _send(self, call: SettleCall, issuer: str) -> None:
        if issuer == self._keys.host:
            self._keys.settle(call)
            return
        # Shard by issuer, so that an unresponsive one does not delay settlements for all others.
        shard = zlib.crc32(issuer.encode()) % SENDER_THREADS
        self._senders[shard].settle(issuer, call)
