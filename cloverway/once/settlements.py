"""Background delivery of settlements to the hosts that issued the keys."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import NamedTuple, Protocol

from cloverway.errors import PeerError
from cloverway.once.keys import ClaimCall, ClaimResult, SettleCall
from cloverway.task import Task

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 5
RETRY_INTERVAL_S = 0.5
MAX_PENDING = 128
"""Maximum number of pending settlements; more are dropped, and the outcome of their keys becomes
unknown."""


class IssuerClient(Protocol):
    """Client for the ledgers of other hosts; raises PeerError within a bounded time."""

    def claim(self, host: str, address: str, call: ClaimCall) -> ClaimResult:
        """Claim a key that another host issued; may send the same call twice."""
        ...

    def settle(self, host: str, address: str, call: SettleCall) -> None:
        """Settle a key that another host issued."""
        ...


class _PendingSettlement(NamedTuple):
    """A settlement not yet acknowledged by its issuer."""

    call: SettleCall
    issuer: str
    attempts: int = 0


class SettlementSender:
    """A thread that delivers settlements, with a few retries if an issuer does not answer."""

    def __init__(
        self,
        issuers: IssuerClient,
        find_address: Callable[[str], str | None],
        clock: Callable[[], float],
    ) -> None:
        self._issuers = issuers
        self._find_address = find_address
        self._clock = clock
        self._pending_slots = threading.BoundedSemaphore(MAX_PENDING)
        self._pending: list[_PendingSettlement] = []
        self._next_retry_at = 0.0
        self._task = Task(
            "settlements", self._handle, self._retry_pending, period_s=RETRY_INTERVAL_S
        )

    def start(self) -> None:
        """Start the thread."""
        self._task.start()

    def stop(self) -> None:
        """Stop the thread after one attempt at everything in the inbox."""
        self._task.stop()

    def settle(self, issuer: str, call: SettleCall) -> None:
        """Queue a settlement for delivery; drop it if too many are pending."""
        if not self._pending_slots.acquire(blocking=False):
            log.warning("too many settlements are pending; dropped one", extra={"issuer": issuer})
            return
        self._task.send(_PendingSettlement(call, issuer))

    def _handle(self, pending: _PendingSettlement, answer: Future[None]) -> None:
        self._try_settle(pending)
        answer.set_result(None)

    def _try_settle(self, pending: _PendingSettlement) -> None:
        address = self._find_address(pending.issuer)
        if address is None:
            self._pending_slots.release()
            return
        try:
            self._issuers.settle(pending.issuer, address, pending.call)
        except PeerError:
            self._schedule_retry(pending._replace(attempts=pending.attempts + 1))
        else:
            self._pending_slots.release()

    def _schedule_retry(self, pending: _PendingSettlement) -> None:
        if pending.attempts < MAX_ATTEMPTS:
            self._pending.append(pending)
            return
        self._pending_slots.release()
        log.warning("could not deliver a settlement; dropped it", extra={"issuer": pending.issuer})

    def _retry_pending(self) -> None:
        now = self._clock()
        if not self._pending or now < self._next_retry_at:
            return
        self._next_retry_at = now + RETRY_INTERVAL_S
        due, self._pending = self._pending, []
        for pending in due:
            self._try_settle(pending)
