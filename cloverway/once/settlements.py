"""Tells the hosts that issued keys how the runs ended, off the path of callers."""

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

ATTEMPTS = 5
PAUSE_S = 0.5
MOST_WAITING = 128
"""Settlements that wait for issuers; more are dropped, and their keys end as unknown."""


class Issuers(Protocol):
    """Reaches the ledgers of other hosts; raises PeerError within a bounded time."""

    def claim(self, host: str, address: str, call: ClaimCall) -> ClaimResult:
        """Claim a key that another host issued; may ask twice, with the same call."""
        ...

    def settle(self, host: str, address: str, call: SettleCall) -> None:
        """Settle a key that another host issued."""
        ...


class _Unsettled(NamedTuple):
    """A settlement that its issuer has not acknowledged."""

    call: SettleCall
    issuer: str
    attempts: int = 0


class Settler:
    """A thread that delivers settlements, and tries again a few times when an issuer is silent."""

    def __init__(
        self,
        issuers: Issuers,
        address_of: Callable[[str], str | None],
        clock: Callable[[], float],
    ) -> None:
        self._issuers = issuers
        self._address_of = address_of
        self._clock = clock
        self._room = threading.BoundedSemaphore(MOST_WAITING)
        self._unsettled: list[_Unsettled] = []
        self._again_at = 0.0
        self._task = Task("settlements", self._handle, self._settle_again, period_s=PAUSE_S)

    def start(self) -> None:
        """Start the thread."""
        self._task.start()

    def stop(self) -> None:
        """End the thread after one attempt at all that is in the inbox."""
        self._task.stop()

    def settle(self, issuer: str, call: SettleCall) -> None:
        """Deliver a settlement later; returns at once, and drops it when too many wait."""
        if not self._room.acquire(blocking=False):
            log.warning("too many settlements wait", extra={"issuer": issuer})
            return
        self._task.send(_Unsettled(call, issuer))

    def _handle(self, unsettled: _Unsettled, answer: Future[None]) -> None:
        self._try_to_settle(unsettled)
        answer.set_result(None)

    def _try_to_settle(self, unsettled: _Unsettled) -> None:
        address = self._address_of(unsettled.issuer)
        if address is None:
            self._room.release()
            return
        try:
            self._issuers.settle(unsettled.issuer, address, unsettled.call)
        except PeerError:
            self._keep(unsettled._replace(attempts=unsettled.attempts + 1))
        else:
            self._room.release()

    def _keep(self, unsettled: _Unsettled) -> None:
        if unsettled.attempts < ATTEMPTS:
            self._unsettled.append(unsettled)
            return
        self._room.release()
        log.warning("a settlement was given up", extra={"issuer": unsettled.issuer})

    def _settle_again(self) -> None:
        now = self._clock()
        if not self._unsettled or now < self._again_at:
            return
        self._again_at = now + PAUSE_S
        waiting, self._unsettled = self._unsettled, []
        for unsettled in waiting:
            self._try_to_settle(unsettled)
