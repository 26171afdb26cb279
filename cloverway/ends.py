"""Requests that end the endpoints which run them, as the dispatcher of one host sees them."""

from __future__ import annotations

from cloverway.core.quarantine import Crash, Quarantine, QuarantineTerms
from cloverway.errors import Kind
from cloverway.messages import Local, Outcome, Refused, Request
from cloverway.tickets import Ticket


class Ends:
    """Counts the endpoints that ended under requests, and refuses those that go on ending them.

    Each host counts by itself: one request ends three endpoints for each host that it is sent to,
    and not one with each try.
    """

    def __init__(self, terms: QuarantineTerms) -> None:
        self._quarantine = Quarantine(terms)

    def find_refusal(self, request: Request, now: float) -> Refused | None:
        """Give the refusal of a request that has ended too many endpoints, or None."""
        hold = self._quarantine.get_hold(request.compute_digest(), now)
        if hold is None:
            return None
        why = f"{hold.ends} endpoints ended while they ran it"
        return Refused(Kind.QUARANTINED, why, hold.left_s)

    def note(self, ended: Ticket, outcome: Outcome, now: float) -> None:
        """Learn from the end of an attempt at an endpoint of this failure domain."""
        if not isinstance(ended.candidate.route, Local):
            return
        life = f"{ended.candidate.name}@{ended.incarnation}"
        digest = ended.entry.request.compute_digest()
        if outcome is Outcome.LOST:
            self._quarantine.note_crash(Crash(life, (digest,), now))
        elif outcome is Outcome.DONE:
            self._quarantine.note_served(digest, now)
            self._quarantine.note_answer(life, ended.admitted_at)
