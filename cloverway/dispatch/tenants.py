"""Values of the metric label `tenant`, bounded in number regardless of the number of teams.

A tenant is a team. The teams with the most traffic get their own labels. All others share a fixed
number of labels by a hash of their name. Traffic is counted with the space-saving algorithm, whose
table is bounded too: a count is never too low, and too high by at most its recorded error.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

MAX_NAMED_TEAMS = 48
"""Maximum number of teams with their own label."""
SHARED_LABELS = 16
"""Number of labels that all other teams share."""
MAX_COUNTED_TEAMS = 512
"""Maximum number of teams whose traffic is counted."""
MIN_REQUESTS = 8
"""Minimum certain requests of a team before it gets a free label."""
REVIEW_PERIOD_S = 300.0
"""Interval at which labels are reassigned between teams and counts are halved."""
TAKEOVER_FACTOR = 2
"""A team takes over a label only if it has this many times the traffic of the holder."""


class _Count(NamedTuple):
    requests: int = 0
    error: int = 0

    @property
    def certain(self) -> int:
        """Requests that were certainly sent."""
        return self.requests - self.error


class TenantLabels:
    """Assign labels to teams."""

    def __init__(
        self, now: float, max_named: int = MAX_NAMED_TEAMS, max_counted: int = MAX_COUNTED_TEAMS
    ) -> None:
        self._max_named = max_named
        self._max_counted = max_counted
        self._counts: dict[str, _Count] = {}
        self._named: set[str] = set()
        self._reviewed_at = now

    def choose(self, team: str) -> str:
        """Count a request of a team and return the team's label."""
        self._count(team)
        free = len(self._named) < self._max_named
        if free and team not in self._named and self._counts[team].certain >= MIN_REQUESTS:
            self._named.add(team)
        assert len(self._named) <= self._max_named and len(self._counts) <= self._max_counted
        return self.get(team)

    def get(self, team: str) -> str:
        """Return the label of a team without counting a request."""
        if team in self._named:
            return team
        # Published names never start with an underscore, so a team name can't equal a shared label.
        return f"_other_{zlib.crc32(team.encode()) % SHARED_LABELS:02d}"

    def review(self, now: float) -> list[str]:
        """Move labels to teams with clearly more traffic; return the labels no longer in use.

        Halve all counts, so that a past peak does not hold a label for long.
        """
        if now - self._reviewed_at < REVIEW_PERIOD_S:
            return []
        self._reviewed_at = now
        released = [holder for holder in self._reassign_labels() if holder not in self._named]
        self._counts = {
            team: _Count(count.requests // 2, count.error // 2)
            for team, count in self._counts.items()
            if count.requests > 1
        }
        return released

    def _count(self, team: str) -> None:
        known = self._counts.get(team)
        if known is None and len(self._counts) >= self._max_counted:
            smallest = min(self._counts, key=lambda name: self._counts[name].requests)
            min_count = self._counts.pop(smallest).requests
            known = _Count(min_count, min_count)
        known = known or _Count()
        self._counts[team] = known._replace(requests=known.requests + 1)

    def _reassign_labels(self) -> list[str]:
        """Reassign labels and return the holders that lost theirs."""
        candidates = sorted(
            (team for team in self._counts if team not in self._named),
            key=lambda team: (-self._counts[team].certain, team),
        )
        holders = sorted(self._named, key=lambda team: (self._count_requests(team), team))
        displaced = []
        for team, holder in zip(candidates, holders, strict=False):
            if self._counts[team].certain < TAKEOVER_FACTOR * max(1, self._count_requests(holder)):
                break
            self._named.remove(holder)
            self._named.add(team)
            displaced.append(holder)
        return displaced

    def _count_requests(self, team: str) -> int:
        return self._counts.get(team, _Count()).requests
