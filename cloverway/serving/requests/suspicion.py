"""Whether one request ends the endpoints that run it, as far as its own sends tell."""

from __future__ import annotations

from cloverway.core.prediction import STALLED_AFTER_S, RoutedCall
from cloverway.core.quarantine import Crash
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.requests.attempt import Answered, Broken
from cloverway.serving.requests.streaming import Timing
from cloverway.serving.requests.targeting import Target


class Suspicion:
    """Notes the ends of endpoints under one request, and stops it where there were too many."""

    def __init__(self, context: Context, routed: RoutedCall, timing: Timing) -> None:
        self._context = context
        self._digest = routed.digest
        self._timing = timing
        self._awaited: Target | None = None
        """Where the answer to it is awaited from."""
        self._sent_at = routed.call.arrived_at
        """When the last send began."""
        self.ended: list[str] = []
        """The lives of endpoints that ended, by all signs, while they ran it."""

    def check(self, ran: Ran) -> None:
        """Raise RequestError when the request has ended too many endpoints to be run again.

        `ran` is what is known of its own runs.
        """
        hold = self._context.quarantine.get_block(self._digest, read_clock())
        if hold is not None:
            why = f"{hold.crashes} endpoints ended while they ran it"
            left_s = hold.remaining_s if ran is Ran.NO else None
            raise RequestError(Kind.QUARANTINED, why, ran=ran, retry_after=left_s)

    async def may_send(self, target: Target) -> bool:
        """Tell whether it may be sent to a place, after asking an endpoint that may be gone."""
        if target.candidate is None:
            return True
        return await self._context.lives.may_send(target.candidate.endpoint, self._digest)

    def note_sent(self, target: Target, now: float) -> None:
        """Note that a send begins."""
        self._awaited = target
        self._sent_at = now

    def note_failed(self) -> None:
        """Note that the send has failed; nothing is awaited any more."""
        self._awaited = None

    def note_broken(self, target: Target, outcome: Broken, now: float) -> None:
        """Note what a send that may have run tells of the ends of endpoints."""
        if outcome.is_end:
            self._note_end(target, now)
        elif _is_stalled(target, now):
            self._note_end(target, self._heard_at)
        for life in outcome.ended:
            # Not told on: the host that saw it does so, but its answer is here before its word.
            self._context.quarantine.note_crash(Crash(life, (self._digest,), now))

    def note_whole(self, target: Target, answered: Answered) -> None:
        """Note that the request had a whole answer, so that it ends nothing."""
        self._awaited = None
        self._context.crashes.report_served(self._digest)
        if target.candidate is not None:
            # Only the life that a connection was opened to answers on it. By its entry alone, one
            # that is back before its entry tells would take back the end that it came from.
            life = target.candidate.endpoint.entry.incarnation
            opened_at = answered.sending.connection.opened_at
            self._context.quarantine.note_alive(life, opened_at, read_clock())

    def note_given_up(self, now: float) -> Target | None:
        """Take an endpoint for ended that was silent when the request was given up, and give it.

        One that loses power with the request says nothing, and the connection neither.
        """
        target = self._awaited
        is_silent = now - self._heard_at >= STALLED_AFTER_S
        if target is None or not is_silent or not _is_stalled(target, now):
            return None
        self._note_end(target, self._heard_at)
        return target

    @property
    def _heard_at(self) -> float:
        """When the last send began, or its answer was last heard of."""
        return max(self._sent_at, self._timing.last_at)

    def _note_end(self, target: Target, at: float) -> None:
        if target.candidate is not None:
            life = target.candidate.endpoint.entry.incarnation
            self.ended.append(life)
            self._context.crashes.report_crash(life, self._digest, at)


def _is_stalled(target: Target, now: float) -> bool:
    """Tell whether an endpoint has served nobody here for longer than a sound one would."""
    if target.candidate is None:
        return False
    return now - target.candidate.endpoint.load.last_progress_at > STALLED_AFTER_S
