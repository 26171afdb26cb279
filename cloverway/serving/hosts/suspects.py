"""Isolates suspected requests at endpoints, and informs the hosts of the region where they run."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cloverway.core.bad_parts import PartSuspects
from cloverway.core.prediction import Candidate, RoutedCall
from cloverway.core.quarantine import Quarantine, SuspicionLevel
from cloverway.core.suspects import SuspectRun, SuspectRuns, isolate_suspects
from cloverway.serving.hosts.broadcast import UpdateBatch
from cloverway.serving.hosts.messages import CODEC, SuspectReport, SuspectSend
from cloverway.serving.telemetry import log_event

MAX_SUSPECTS_PER_MESSAGE = 20
"""Maximum number of suspects in a message: about 60 bytes each, within one packet of 1,500 bytes.
One host has more in progress only just after an endpoint with all slots in use has crashed."""


class SuspectTracker:
    """Tracks the suspected requests in progress at this host and at other hosts of the region."""

    message = SuspectReport
    is_regional = True

    def __init__(self, own_name: str, quarantine: Quarantine, part_suspects: PartSuspects) -> None:
        self._own_name = own_name
        self._quarantine = quarantine
        self._part_suspects = part_suspects
        self._own: dict[int, SuspectRun] = {}
        """The suspects in progress here, by the number of the attempt."""
        self._runs = SuspectRuns()
        self._has_changed = False
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def weigh_candidates(
        self, routed: RoutedCall, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Exclude candidates of a request, or add to their cost, because of running suspects."""
        subject, level = self._find_suspicion(routed, now)
        return isolate_suspects(subject, level, candidates, self._runs.list_running(now))

    def begin(
        self, number: int, routed: RoutedCall, incarnation: str, until: float, now: float
    ) -> None:
        """Record that a request is sent to an endpoint."""
        subject, level = self._find_suspicion(routed, now)
        if level is SuspicionLevel.NONE:
            return
        self._own[number] = SuspectRun(subject, incarnation, level, until)
        self._publish_own()
        log_event(
            "suspect_sent",
            request_id=routed.call.id,
            request_digest=f"{routed.digest:016x}",
            subject=f"{subject:x}",
            to=incarnation,
            ends=self._quarantine.count_crashes(routed.digest),
            beside=sum(run.incarnation == incarnation for run in self._runs.list_running(now)) - 1,
        )

    def _find_suspicion(self, routed: RoutedCall, now: float) -> tuple[int, SuspicionLevel]:
        """Return what a request is suspected for, a part of its prompt or its digest."""
        part = self._part_suspects.find_isolated(routed.parts, now)
        if part is not None:
            return part, SuspicionLevel.ISOLATED
        level = self._quarantine.get_level(
            routed.digest, now, lambda name: self._part_suspects.explains(name, routed.parts)
        )
        return routed.digest, level

    def end(self, number: int) -> None:
        """Record that an attempt has ended, whatever its outcome."""
        if self._own.pop(number, None) is not None:
            self._publish_own()

    def receive(self, report: SuspectReport, is_remote: bool, now: float) -> None:
        """Apply the list of suspects in progress at another host."""
        self._runs.record(report.host, (_decode_run(run, now) for run in report.runs))

    def take_pending(self, now: float) -> UpdateBatch:
        """Return all suspects in progress here if they have changed."""
        has_changed, self._has_changed = self._has_changed, False
        return UpdateBatch([self._encode(now)]) if has_changed else UpdateBatch()

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return all suspects in progress here."""
        return [self._encode(now)] if self._own else []

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return all suspects in progress here."""
        return self.list_for_rebroadcast(now)

    def _publish_own(self) -> None:
        self._runs.record(self._own_name, self._own.values())
        self._has_changed = True
        self.schedule_broadcast(0.0)

    def _encode(self, now: float) -> bytes:
        runs = sorted(self._own.values(), key=lambda run: -run.level)[:MAX_SUSPECTS_PER_MESSAGE]
        sends = tuple(_encode_run(run, now) for run in runs)
        return CODEC.encode(SuspectReport(self._own_name, sends))


def _encode_run(run: SuspectRun, now: float) -> SuspectSend:
    left_ms = max(0, int((run.until - now) * 1000))
    return SuspectSend(run.subject, run.incarnation, int(run.level), left_ms)


def _decode_run(send: SuspectSend, now: float) -> SuspectRun:
    level = SuspicionLevel(min(max(send.level, SuspicionLevel.NONE), SuspicionLevel.ISOLATED))
    return SuspectRun(send.digest, send.life, level, now + send.left_ms / 1000)
