"""Tracking of endpoint crashes during the attempts of one request."""

from __future__ import annotations

from typing import NoReturn

from cloverway.core.part_crashes import PartCrash
from cloverway.core.prediction import STALLED_AFTER_S, RoutedCall
from cloverway.core.quarantine import Block, Crash
from cloverway.errors import Kind, Ran, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.context import Context
from cloverway.serving.requests.attempt import Answered, Broken
from cloverway.serving.requests.streaming import Timing
from cloverway.serving.requests.target_selector import Target

SUCCESS_STATUSES = range(200, 300)


class CrashTracker:
    """Records crashes of endpoints that ran one request, and stops the request after too many."""

    def __init__(self, context: Context, routed: RoutedCall, timing: Timing) -> None:
        self._context = context
        self._routed = routed
        self._digest = routed.digest
        self._timing = timing
        self._pending_target: Target | None = None
        """The target whose response is awaited."""
        self._sent_at = routed.call.arrived_at
        """When the last attempt began."""
        self.crashed: list[str] = []
        """Incarnations of endpoints that appear to have crashed while they ran the request."""

    def check(self, ran: Ran) -> None:
        """Raise RequestError when too many endpoints crashed while they ran the request.

        `ran` tells whether earlier attempts ran it.
        """
        now = read_clock()
        part_block = self._context.bad_parts.suspects.find_block(self._routed.parts, now)
        if part_block is not None:
            why = (
                f"{part_block.crashes} endpoints ended while they ran requests with the part "
                f"{part_block.part:x} of its prompt"
            )
            self._refuse(why, part_block.remaining_s, ran)
        block = self._find_block(now)
        if block is not None:
            self._refuse(
                f"{block.crashes} endpoints ended while they ran it", block.remaining_s, ran
            )

    def _find_block(self, now: float) -> Block | None:
        """Return the block of this request by the crashes that no bad part explains."""
        suspects = self._context.bad_parts.suspects
        return self._context.quarantine.get_block(
            self._digest, now, lambda name: suspects.explains(name, self._routed.parts)
        )

    def _refuse(self, why: str, remaining_s: float, ran: Ran) -> NoReturn:
        left_s = remaining_s if ran is Ran.NO else None
        raise RequestError(Kind.QUARANTINED, why, ran=ran, retry_after=left_s)

    async def may_send(self, target: Target) -> bool:
        """Return whether the request may be sent to a target.

        If the endpoint may have crashed under this request, query its incarnation first.
        """
        if target.candidate is None:
            return True
        return await self._context.incarnations.may_send(
            target.candidate.endpoint, self._digest, self._routed.parts
        )

    def record_sent(self, target: Target, now: float) -> None:
        """Record that an attempt begins."""
        self._pending_target = target
        self._sent_at = now

    def record_failed(self) -> None:
        """Record that the attempt failed, so that no response is awaited any more."""
        self._pending_target = None

    def record_broken(self, target: Target, outcome: Broken, now: float) -> None:
        """Record the crashes implied by an attempt that may have run."""
        if outcome.is_disconnect:
            self._record_crash(target, now)
        elif _is_stalled(target, now):
            self._record_crash(target, self._last_activity_at)
        for incarnation in outcome.crashed:
            # Not broadcast: the host that saw the crash does that. Its response arrives here
            # before its broadcast.
            self._context.quarantine.record_crash(Crash(incarnation, (self._digest,), now))
            self._context.bad_parts.suspects.record_crash(self._make_part_crash(incarnation, now))

    def record_completed(self, target: Target, answered: Answered) -> None:
        """Record that the request got a complete response, so that it causes no crashes."""
        self._pending_target = None
        self._context.crashes.report_served(self._digest)
        if answered.head.status in SUCCESS_STATUSES:
            # An endpoint that fails a request may not have begun on its prompt.
            self._context.bad_parts.report_served(self._routed.parts, self._sent_at)
        if target.candidate is not None:
            # The response proves that the incarnation is running to which the connection was
            # opened. The directory entry alone doesn't show which that is: a restarted endpoint
            # whose entry still names its previous incarnation would clear the crash of that one.
            # An endpoint that states no start time has a new id at each start.
            entry = target.candidate.endpoint.entry
            for record in (self._context.quarantine, self._context.bad_parts.suspects):
                record.record_alive(
                    entry.incarnation,
                    answered.client_exchange.connection.opened_at,
                    read_clock(),
                    has_unique_id=entry.started_ms is None,
                )

    def record_abandoned(self, now: float) -> Target | None:
        """Treat the endpoint as crashed if it was silent when the request was abandoned; return it.

        An endpoint that loses power while it runs the request doesn't close the connection.
        """
        target = self._pending_target
        is_silent = now - self._last_activity_at >= STALLED_AFTER_S
        if target is None or not is_silent or not _is_stalled(target, now):
            return None
        self._record_crash(target, self._last_activity_at)
        return target

    @property
    def _last_activity_at(self) -> float:
        """When the last attempt began, or when data of its response last arrived."""
        return max(self._sent_at, self._timing.last_at)

    def _record_crash(self, target: Target, at: float) -> None:
        if target.candidate is not None:
            incarnation = target.candidate.endpoint.entry.incarnation
            self.crashed.append(incarnation)
            self._context.crashes.report_crash(incarnation, self._digest, at)
            self._context.bad_parts.report_crash(self._make_part_crash(incarnation, at))

    def _make_part_crash(self, incarnation: str, at: float) -> PartCrash:
        parts = self._routed.parts
        return PartCrash(incarnation, parts, at, (self._sent_at,) * len(parts))


def _is_stalled(target: Target, now: float) -> bool:
    """Return whether an endpoint made no progress on any request of this host for too long."""
    if target.candidate is None:
        return False
    return now - target.candidate.endpoint.load.last_progress_at > STALLED_AFTER_S
