"""Requests that end the endpoints which run them, as all hosts of the own interface see them."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterable

from cloverway.core.quarantine import Block, Crash, CrashUpdate, Quarantine, QuarantineTerms
from cloverway.dispatch.tickets import Ticket
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState, View
from cloverway.messages import Local, Outcome, Refused, Request

log = logging.getLogger(__name__)

RETOLD_S = 6.0
"""How long an end is told again after it happened: a dozen heartbeats, of which all get lost only
where the link is cut."""
MOST_TOLD = 64
"""Requests that are told of at a time: those of one endpoint that ended with all of its slots
taken."""


class Ends:
    """Counts the endpoints that ended under requests, and refuses those that go on ending them.

    The dispatcher asks and notes, and the control loop hears from other hosts and tells them, each
    on a thread of its own. A lock is held for the time of a few look-ups.
    """

    def __init__(self, terms: QuarantineTerms) -> None:
        self._quarantine = Quarantine(terms, ambiguous_crashes=0)
        self._lock = threading.Lock()
        self._is_fresh = False

    def find_refusal(self, request: Request, now: float) -> Refused | None:
        """Give the refusal of a request that has ended too many endpoints, or None."""
        hold = self.find_hold(request.compute_digest(), now)
        if hold is None:
            return None
        why = f"{hold.crashes} endpoints ended while they ran it"
        return Refused(Kind.QUARANTINED, why, hold.remaining_s)

    def find_hold(self, digest: int, now: float) -> Block | None:
        """Tell why a request must not be sent now, or None when it may."""
        with self._lock:
            return self._quarantine.get_block(digest, now)

    def note(self, ended: Ticket, outcome: Outcome, view: View, now: float) -> None:
        """Learn from the end of an attempt at an endpoint of this failure domain."""
        if not isinstance(ended.candidate.route, Local):
            return
        life = f"{ended.candidate.name}@{ended.incarnation}"
        digest = ended.entry.request.compute_digest()
        if outcome is Outcome.LOST:
            self.note_end(Crash(life, (digest,), now))
        elif outcome is Outcome.DONE:
            self.note_served(digest, now)
            self._note_report(life, view.endpoints.get(ended.candidate.name))

    def _note_report(self, life: str, state: EndpointState | None) -> None:
        """Note until when a life of an endpoint was there, by its last report.

        An answer alone doesn't tell which life gave it: one that is back within 0.1 s is taken for
        the one before until it is reported, and would take back the end that it came from.
        """
        if state is not None and life == f"{state.name}@{state.incarnation}":
            with self._lock:
                self._quarantine.note_alive(life, float("-inf"), state.reported_at)

    def note_end(self, crash: Crash) -> None:
        """Note that an endpoint ended while it ran some requests."""
        with self._lock:
            fresh = self._quarantine.note_crash(crash)
            self._is_fresh = self._is_fresh or fresh is not None
        self._tell([fresh], is_heard=False, now=crash.at)

    def note_served(self, digest: int, now: float) -> None:
        """Note that a request had a whole answer."""
        with self._lock:
            if self._quarantine.note_served(digest, now):
                self._is_fresh = True

    def hear(self, news: CrashUpdate, now: float) -> None:
        """Take over what another host tells. It goes on with the next heartbeats."""
        with self._lock:
            for digest in news.served:
                self._quarantine.note_served(digest, now)
            fresh = [self._quarantine.note_crash(crash) for crash in news.crashes]
        self._tell(fresh, is_heard=True, now=now)

    def take_fresh(self) -> bool:
        """Tell, once, whether this host has seen something that others are to know at once."""
        with self._lock:
            is_fresh, self._is_fresh = self._is_fresh, False
        return is_fresh

    def list_news(self, now: float, full: bool = False) -> CrashUpdate:
        """List what was learnt lately, for other hosts; in full with what requests are held for.

        An end for which nothing is refused, and who was served, is told only while it is news. Told
        for ever, the first would fill heartbeats with the failures of months, and the second keep a
        request that turns deadly later from being found out.
        """
        with self._lock:
            recent = self._quarantine.list_updates(now - RETOLD_S, MOST_TOLD)
            held = self._quarantine.list_blocked_crashes(now, MOST_TOLD) if full else ()
        return recent._replace(crashes=recent.crashes + held)

    def _tell(self, fresh: Iterable[Crash | None], is_heard: bool, now: float) -> None:
        """Log the endpoints that ended, and the requests that are refused from now on."""
        for crash in filter(None, fresh):
            log.info(
                "an endpoint has ended",
                extra={
                    "life": crash.incarnation,
                    "requests": len(crash.digests),
                    "heard": is_heard,
                },
            )
            for digest in crash.digests:
                hold = self.find_hold(digest, now)
                if hold is not None:
                    shown = {
                        "request_digest": f"{digest:016x}",
                        "life": crash.incarnation,
                        "ends": hold.crashes,
                        "hold_s": round(hold.remaining_s, 1),
                    }
                    log.warning("a request is refused from now on", extra=shown)
