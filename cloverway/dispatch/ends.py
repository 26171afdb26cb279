"""Requests that crash the endpoints that run them, tracked across the hosts of the fleet."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.quarantine import (
    Block,
    Crash,
    CrashUpdate,
    Quarantine,
    QuarantineSettings,
    ServedRequest,
)
from cloverway.dispatch.tickets import Ticket
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState, View
from cloverway.messages import LocalRoute, Outcome, Refused, Request

log = logging.getLogger(__name__)

REBROADCAST_S = 6.0
"""How long a crash is rebroadcast after it happened. A dozen heartbeats are sent in this time; all
of them get lost only if the link is cut."""
MAX_BROADCAST_REQUESTS = 64
"""Maximum number of requests in one update: those of one endpoint that crashed with all of its
slots taken."""


class _Excuse(NamedTuple):
    """The answer of a request that other hosts suspect."""

    answer: ServedRequest
    until: float
    """Until when heartbeats tell it."""


class CrashTracker:
    """Count the endpoint crashes of each request and refuse requests that keep causing them.

    The dispatcher queries and records; the control loop exchanges updates with other hosts. Each
    runs on its own thread. The lock is held only for a few dictionary operations.
    """

    def __init__(self, terms: QuarantineSettings) -> None:
        self._quarantine = Quarantine(terms, ambiguous_crashes=0)
        self._lock = threading.Lock()
        self._has_urgent = False
        self._excused: dict[int, _Excuse] = {}
        """Requests that others suspect and this host has served, by digest."""

    def find_refusal(self, request: Request, now: float) -> Refused | None:
        """Return the refusal of a request that has crashed too many endpoints, or None."""
        block = self.find_block(request.compute_digest(), now)
        if block is None:
            return None
        detail = f"{block.crashes} endpoints ended while they ran it"
        return Refused(Kind.QUARANTINED, detail, block.remaining_s)

    def find_block(self, digest: int, now: float) -> Block | None:
        """Return the block of a request that is in quarantine now, or None if it may be sent."""
        with self._lock:
            return self._quarantine.get_block(digest, now)

    def record_outcome(self, ticket: Ticket, outcome: Outcome, view: View, now: float) -> None:
        """Record the outcome of an attempt at an endpoint of this failure domain."""
        if not isinstance(ticket.candidate.route, LocalRoute):
            return
        endpoint_incarnation = f"{ticket.candidate.name}@{ticket.incarnation}"
        digest = ticket.entry.request.compute_digest()
        if outcome is Outcome.LOST:
            self.record_crash(Crash(endpoint_incarnation, (digest,), now))
        elif outcome is Outcome.DONE:
            self.record_served(digest, now)
            self._record_report(endpoint_incarnation, view.endpoints.get(ticket.candidate.name))

    def _record_report(self, endpoint_incarnation: str, state: EndpointState | None) -> None:
        """Record until when an endpoint incarnation was alive, by its last load report.

        An answer alone does not identify the incarnation that sent it. An endpoint that restarts
        within 0.1 s is treated as the previous incarnation until its next report, and its answers
        would void the crash that it restarted after.
        """
        if state is not None and endpoint_incarnation == f"{state.name}@{state.incarnation}":
            with self._lock:
                self._quarantine.record_alive(
                    endpoint_incarnation, float("-inf"), state.reported_at
                )

    def record_crash(self, crash: Crash) -> None:
        """Record that an endpoint crashed while it ran some requests."""
        with self._lock:
            new_crash = self._quarantine.record_crash(crash)
            self._has_urgent = self._has_urgent or new_crash is not None
        self._log_crashes([new_crash], is_remote=False, now=crash.at)

    def record_served(self, digest: int, now: float) -> None:
        """Record that a request got a complete answer."""
        with self._lock:
            if self._quarantine.record_served(digest, now):
                self._has_urgent = True

    def apply_update(self, update: CrashUpdate, now: float) -> None:
        """Apply an update from another host; the next heartbeats forward it."""
        with self._lock:
            for digest in update.served:
                self._quarantine.record_served(digest, now)
            for answer in update.excused:
                self._quarantine.record_served(answer.digest, answer.at)
            self._excuse(update.crashes, now)
            new_crashes = [self._quarantine.record_crash(crash) for crash in update.crashes]
        self._log_crashes(new_crashes, is_remote=True, now=now)

    def _excuse(self, crashes: Iterable[Crash], now: float) -> None:
        """Tell other hosts which requests of crashes had answers; keep the lock held."""
        for crash in crashes:
            for answer in self._quarantine.list_excused(crash):
                self._excused[answer.digest] = _Excuse(answer, now + REBROADCAST_S)

    def take_urgent(self) -> bool:
        """Return whether this host has an update to broadcast at once, and clear the flag."""
        with self._lock:
            has_urgent, self._has_urgent = self._has_urgent, False
        return has_urgent

    def list_updates(self, now: float, full: bool = False) -> CrashUpdate:
        """Return the recent crashes and served requests for other hosts.

        With `full`, include the crashes for which requests are in quarantine now. All other crashes
        and the served requests are broadcast for a short time only. Otherwise heartbeats would fill
        up with the crashes of months, and a request that was served once and causes crashes later
        would never be detected.
        """
        with self._lock:
            recent = self._quarantine.list_updates(now - REBROADCAST_S, MAX_BROADCAST_REQUESTS)
            blocked = (
                self._quarantine.list_blocked_crashes(now, MAX_BROADCAST_REQUESTS) if full else ()
            )
            self._excused = {key: item for key, item in self._excused.items() if item.until > now}
            excused = tuple(item.answer for item in self._excused.values())
        return recent._replace(
            crashes=recent.crashes + blocked, excused=excused[-MAX_BROADCAST_REQUESTS:]
        )

    def _log_crashes(
        self, new_crashes: Iterable[Crash | None], is_remote: bool, now: float
    ) -> None:
        """Log the crashed endpoints and the requests that are refused from now on."""
        for crash in filter(None, new_crashes):
            log.info(
                "an endpoint has ended",
                extra={
                    "life": crash.incarnation,
                    "requests": len(crash.digests),
                    "heard": is_remote,
                },
            )
            for digest in crash.digests:
                block = self.find_block(digest, now)
                if block is not None:
                    fields = {
                        "request_digest": f"{digest:016x}",
                        "life": crash.incarnation,
                        "ends": block.crashes,
                        "hold_s": round(block.remaining_s, 1),
                    }
                    log.warning("a request is refused from now on", extra=fields)
