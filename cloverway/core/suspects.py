"""Isolation of requests that may have crashed an endpoint, so that the next crash identifies one.

All requests that are lost in a crash are retried. If each were sent to the best endpoint, like any
other request, they would run together again. If that endpoint crashed too, it would still be
unknown which of them caused both crashes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cloverway.core.prediction import Candidate
from cloverway.core.quarantine import SuspicionLevel

SUSPECT_PENALTY_S = 1.0
"""Cost for a suspect of an endpoint where another suspect runs. It is longer than most waits, so
that suspects run together only if there are more of them than endpoints."""
EXPOSURE_PENALTY_S = 0.03
"""Cost for a suspect of each request running at the endpoint: a crash would interrupt it."""
SUSPECT_AVOIDANCE_S = 0.3
"""Cost for other requests of an endpoint where a suspect runs."""


class SuspectRun(NamedTuple):
    """A suspected request that is running at an endpoint."""

    subject: int
    """What it is suspected for: its digest, or a part of its prompt that other requests share."""
    incarnation: str
    level: SuspicionLevel
    until: float
    """The latest time at which it ends."""


class SuspectRuns:
    """The suspects running at the endpoints of a region, by the host that sent them."""

    def __init__(self) -> None:
        self._by_host: dict[str, tuple[SuspectRun, ...]] = {}

    def record(self, host: str, runs: Iterable[SuspectRun]) -> None:
        """Record all running suspects of a host, in place of those recorded before."""
        kept = tuple(runs)
        if kept:
            self._by_host[host] = kept
        else:
            self._by_host.pop(host, None)

    def list_running(self, now: float) -> list[SuspectRun]:
        """Return the suspects that this host believes to be running now."""
        return [run for runs in self._by_host.values() for run in runs if run.until > now]


def isolate_suspects(
    subject: int, level: SuspicionLevel, candidates: Sequence[Candidate], runs: Sequence[SuspectRun]
) -> Sequence[Candidate]:
    """Exclude endpoints, or add to their cost, because of the suspects that run there.

    Of the requests that one more crash would block, by their digest or by a part that they share,
    one runs at a time in the region, and never beside another suspect. In all other cases only the
    cost changes.
    """
    if not runs and level is SuspicionLevel.NONE:
        return candidates
    if level is SuspicionLevel.ISOLATED and any(run.subject == subject for run in runs):
        return []
    levels: dict[str, SuspicionLevel] = {}
    for run in runs:
        levels[run.incarnation] = max(run.level, levels.get(run.incarnation, SuspicionLevel.NONE))
    adjusted = (
        _add_penalty(
            level, candidate, levels.get(candidate.endpoint.entry.incarnation, SuspicionLevel.NONE)
        )
        for candidate in candidates
    )
    return [candidate for candidate in adjusted if candidate is not None]


def _add_penalty(
    level: SuspicionLevel, candidate: Candidate, endpoint_level: SuspicionLevel
) -> Candidate | None:
    """Add the cost of suspects that run together; return None where they must not."""
    if level is SuspicionLevel.NONE:
        return candidate.with_added_cost(
            SUSPECT_AVOIDANCE_S * (endpoint_level is not SuspicionLevel.NONE)
        )
    if (
        SuspicionLevel.ISOLATED in (level, endpoint_level)
        and endpoint_level is not SuspicionLevel.NONE
    ):
        return None
    penalty_s = SUSPECT_PENALTY_S * (endpoint_level is not SuspicionLevel.NONE)
    return candidate.with_added_cost(penalty_s + EXPOSURE_PENALTY_S * candidate.running)
