"""Keeps suspected requests apart at endpoints, and tells the hosts of the region where they run."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cloverway.core.prediction import Candidate, Wanted
from cloverway.core.quarantine import Level, Quarantine
from cloverway.core.suspects import SuspectRun, SuspectRuns, keep_apart
from cloverway.serving.hosts.news import FreshNews
from cloverway.serving.hosts.peerwire import CODEC, SuspectReport, SuspectSend
from cloverway.serving.telemetry import log_event

MOST_TOLD = 20
"""Suspects in one message: some 60 bytes each, within one packet of 1,500 bytes. More than that are
under way at one host only in the moment after an endpoint has ended with all places taken."""


class SuspectWatch:
    """The suspects that this host has under way, and those of the other hosts."""

    message = SuspectReport
    is_regional = True

    def __init__(self, own_name: str, quarantine: Quarantine) -> None:
        self._own_name = own_name
        self._quarantine = quarantine
        self._own: dict[int, SuspectRun] = {}
        """By the number of the send."""
        self._runs = SuspectRuns()
        self._is_fresh = False
        self.tell_soon: Callable[[float], None] = lambda delay_s: None

    def keep_apart(
        self, wanted: Wanted, candidates: Sequence[Candidate], now: float
    ) -> Sequence[Candidate]:
        """Weigh the endpoints that may run a request by the suspects that run there."""
        level = self._quarantine.get_level(wanted.digest, now)
        return keep_apart(wanted.digest, level, candidates, self._runs.list_running(now))

    def begin(self, number: int, wanted: Wanted, life: str, until: float, now: float) -> None:
        """Note that a request is sent to an endpoint."""
        level = self._quarantine.get_level(wanted.digest, now)
        if level is Level.NONE:
            return
        self._own[number] = SuspectRun(wanted.digest, life, level, until)
        self._note_own()
        log_event(
            "suspect_sent",
            request_id=wanted.call.id,
            request_digest=f"{wanted.digest:016x}",
            to=life,
            ends=self._quarantine.count_ends(wanted.digest),
            beside=sum(run.life == life for run in self._runs.list_running(now)) - 1,
        )

    def end(self, number: int) -> None:
        """Note that a send has ended, however."""
        if self._own.pop(number, None) is not None:
            self._note_own()

    def hear(self, report: SuspectReport, is_far: bool, now: float) -> None:
        """Take over which suspects another host has under way."""
        self._runs.note(report.host, (_read_run(run, now) for run in report.runs))

    def take_fresh(self, now: float) -> FreshNews:
        """Give all that are under way here, where that has changed."""
        is_fresh, self._is_fresh = self._is_fresh, False
        return FreshNews([self._encode(now)]) if is_fresh else FreshNews()

    def list_standing(self, now: float) -> list[bytes]:
        """Give all that are under way here."""
        return [self._encode(now)] if self._own else []

    def list_for_newcomer(self, now: float) -> list[bytes]:
        """Give all that are under way here."""
        return self.list_standing(now)

    def _note_own(self) -> None:
        self._runs.note(self._own_name, self._own.values())
        self._is_fresh = True
        self.tell_soon(0.0)

    def _encode(self, now: float) -> bytes:
        runs = sorted(self._own.values(), key=lambda run: -run.level)[:MOST_TOLD]
        sends = tuple(_make_send(run, now) for run in runs)
        return CODEC.encode(SuspectReport(self._own_name, sends))


def _make_send(run: SuspectRun, now: float) -> SuspectSend:
    left_ms = max(0, int((run.until - now) * 1000))
    return SuspectSend(run.digest, run.life, int(run.level), left_ms)


def _read_run(send: SuspectSend, now: float) -> SuspectRun:
    level = Level(min(max(send.level, Level.NONE), Level.ALONE))
    return SuspectRun(send.digest, send.life, level, now + send.left_ms / 1000)
