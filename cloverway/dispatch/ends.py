"""Requests that end the endpoints which run them, as all hosts of the own interface see them."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable

from cloverway.core.quarantine import Crash, CrashNews, Hold, Quarantine, QuarantineTerms
from cloverway.dispatch.tickets import Ticket
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState, View
from cloverway.messages import Local, Outcome, Refused, Request

log = logging.getLogger(__name__)

REBROADCAST_S = 6.0
"""How long an end is told again after it happened: a dozen heartbeats, of which all get lost only
where the link is cut."""
MAX_BROADCAST_REQUESTS = 64
"""Requests that are told of at a time: those of one endpoint that ended with all of its slots
taken."""


class CrashTracker:
    """Counts the endpoints that ended under requests, and refuses those that go on ending them.

    The dispatcher asks and notes, and the control loop hears from other hosts and tells them, each
    on a thread of its own. A lock is held for the time of a few look-ups.
    """

    def __init__(self, terms: QuarantineTerms) -> None:
        self._quarantine = Quarantine(terms, unsure_ends=0)
        self._lock = threading.Lock()
        self._has_urgent = False

    def find_refusal(self, request: Request, now: float) -> Refused | None:
        """Give the refusal of a request that has ended too many endpoints, or None."""
        hold = self.find_hold(request.compute_digest(), now)
        if hold is None:
            return None
        why = f"{hold.ends} endpoints ended while they ran it"
        return Refused(Kind.QUARANTINED, why, hold.left_s)

    def find_hold(self, digest: int, now: float) -> Hold | None:
        """Tell why a request must not be sent now, or None when it may."""
        with self._lock:
            return self._quarantine.get_hold(digest, now)

    def record_outcome(self, ticket: Ticket, outcome: Outcome, view: View, now: float) -> None:
        """Learn from the end of an attempt at an endpoint of this failure domain."""
        if not isinstance(ticket.candidate.route, Local):
            return
        endpoint_incarnation = f"{ticket.candidate.name}@{ticket.incarnation}"
        digest = ticket.entry.request.compute_digest()
        if outcome is Outcome.LOST:
            self.record_crash(Crash(endpoint_incarnation, (digest,), now))
        elif outcome is Outcome.DONE:
            self.record_served(digest, now)
            self._record_report(endpoint_incarnation, view.endpoints.get(ticket.candidate.name))

    def _record_report(self, endpoint_incarnation: str, state: EndpointState | None) -> None:
        """Note until when a life of an endpoint was there, by its last report.

        An answer alone doesn't tell which life gave it: one that is back within 0.1 s is taken for
        the one before until it is reported, and would take back the end that it came from.
        """
        if state is not None and endpoint_incarnation == f"{state.name}@{state.incarnation}":
            with self._lock:
                self._quarantine.note_alive(endpoint_incarnation, float("-inf"), state.reported_at)

    def record_crash(self, crash: Crash) -> None:
        """Note that an endpoint ended while it ran some requests."""
        with self._lock:
            new_crash = self._quarantine.note_crash(crash)
            self._has_urgent = self._has_urgent or new_crash is not None
        self._log_crashes([new_crash], is_remote=False, now=crash.at)

    def record_served(self, digest: int, now: float) -> None:
        """Note that a request had a whole answer."""
        with self._lock:
            if self._quarantine.note_served(digest, now):
                self._has_urgent = True

    def apply_update(self, update: CrashNews, now: float) -> None:
        """Take over what another host tells. It goes on with the next heartbeats."""
        with self._lock:
            for digest in update.served:
                self._quarantine.note_served(digest, now)
            new_crashes = [self._quarantine.note_crash(crash) for crash in update.crashes]
        self._log_crashes(new_crashes, is_remote=True, now=now)

    def take_urgent(self) -> bool:
        """Tell, once, whether this host has seen something that others are to know at once."""
        with self._lock:
            has_urgent, self._has_urgent = self._has_urgent, False
        return has_urgent

    def list_updates(self, now: float, full: bool = False) -> CrashNews:
        """List what was learnt lately, for other hosts; in full with what requests are held for.

        An end for which nothing is refused, and who was served, is told only while it is news. Told
        for ever, the first would fill heartbeats with the failures of months, and the second keep a
        request that turns deadly later from being found out.
        """
        with self._lock:
            recent = self._quarantine.list_news(now - REBROADCAST_S, MAX_BROADCAST_REQUESTS)
            held = self._quarantine.list_held(now, MAX_BROADCAST_REQUESTS) if full else ()
        return recent._replace(crashes=recent.crashes + held)

    def _log_crashes(
        self, new_crashes: Iterable[Crash | None], is_remote: bool, now: float
    ) -> None:
        """Log the endpoints that ended, and the requests that are refused from now on."""
        for crash in filter(None, new_crashes):
            log.info(
                "an endpoint has ended",
                extra={"life": crash.life, "requests": len(crash.digests), "heard": is_remote},
            )
            for digest in crash.digests:
                hold = self.find_hold(digest, now)
                if hold is not None:
                    fields = {
                        "request_digest": f"{digest:016x}",
                        "life": crash.life,
                        "ends": hold.ends,
                        "hold_s": round(hold.left_s, 1),
                    }
                    log.warning("a request is refused from now on", extra=fields)
