"""Requests under which endpoints have ended go apart, so that the next end names one of them.

A request that was lost with an endpoint is run again, as are all others that ran there. Sent to the
best endpoint, as any request is, they all meet again; and when that one ends too, none of them can
be told from the one that ended both.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.prediction import Candidate
from cloverway.core.quarantine import Level

APART_S = 1.0
"""Time that an endpoint counts more at which another suspect runs: longer than most waits, so that
suspects meet only where there are more of them than endpoints."""
COMPANY_S = 0.03
"""Time that each request counts which runs at an endpoint that a suspect is sent to: it is lost
with the endpoint."""
AVOIDANCE_COST_S = 0.3
"""Time that an endpoint counts more for other requests while a suspect runs there."""


class SuspectRun(NamedTuple):
    """A request that is suspected, and runs at an endpoint."""

    digest: int
    life: str
    level: Level
    until: float
    """When it has ended at the latest."""


class SuspectRuns:
    """The suspects that run at the endpoints of a region, by the host that sent them."""

    def __init__(self) -> None:
        self._by_host: dict[str, tuple[SuspectRun, ...]] = {}

    def note(self, host: str, runs: Iterable[SuspectRun]) -> None:
        """Note all suspects that a host has under way."""
        kept = tuple(runs)
        if kept:
            self._by_host[host] = kept
        else:
            self._by_host.pop(host, None)

    def list_running(self, now: float) -> list[SuspectRun]:
        """List the suspects that run now, as far as this host knows."""
        return [run for runs in self._by_host.values() for run in runs if run.until > now]


def keep_apart(
    digest: int, level: Level, candidates: Sequence[Candidate], runs: Sequence[SuspectRun]
) -> Sequence[Candidate]:
    """Weigh the endpoints that may run a request by the suspects that run there.

    One that is one end short of being refused runs once at a time in the region, and never beside
    another such. All else is a matter of cost.
    """
    if not runs and level is Level.NONE:
        return candidates
    if level is Level.ALONE and any(run.digest == digest for run in runs):
        return []
    levels: dict[str, Level] = {}
    for run in runs:
        levels[run.life] = max(run.level, levels.get(run.life, Level.NONE))
    weighed = (
        _weigh(level, candidate, levels.get(candidate.endpoint.entry.life, Level.NONE))
        for candidate in candidates
    )
    return [candidate for candidate in weighed if candidate is not None]


def _weigh(level: Level, candidate: Candidate, there: Level) -> Candidate | None:
    """Add what it costs that suspects meet at an endpoint; None where they must not."""
    if level is Level.NONE:
        return candidate.with_added_cost(AVOIDANCE_COST_S * (there is not Level.NONE))
    if Level.ALONE in (level, there) and there is not Level.NONE:
        return None
    apart_s = APART_S * (there is not Level.NONE)
    return candidate.with_added_cost(apart_s + COMPANY_S * candidate.running)
