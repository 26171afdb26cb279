"""What endpoints say of themselves in their answers, as far as the hosts of a region know it.

A host is told with its own answers, and by its siblings with theirs. What it knows of one life of
an endpoint is joined from both, in any order, late or twice, with the same result.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MOST_LIVES = 4_096
"""Lives of endpoints of which statements are remembered."""


class Statement(NamedTuple):
    """What one life of an endpoint has said of itself last. Times are of this host's clock."""

    limit_per_s: float | None = None
    """Requests a second that it takes from all hosts together; None for no limit."""
    limit_at: float = float("-inf")
    """When it was heard to name the limit, or asked when it named none any more."""

    def join(self, other: Statement) -> Statement:
        """Join what is known from two sides; of two words of one time the lower limit holds."""
        return max(self, other, key=_rank_limit)


NOTHING = Statement()
"""What is known of an endpoint that said nothing of itself."""


class Statements:
    """The statements of all endpoints that this host knows."""

    def __init__(self) -> None:
        self._by_life: OrderedDict[str, Statement] = OrderedDict()

    def get(self, life: str) -> Statement:
        """Give what a life of an endpoint has said."""
        return self._by_life.get(life, NOTHING)

    def note(self, life: str, statement: Statement) -> bool:
        """Take over what a life of an endpoint has said; tell whether anything else holds now."""
        known = self._by_life.get(life)
        if known is None:
            # Most answers name no limit, of endpoints that never did: nothing is kept of them.
            if statement.limit_per_s is None:
                return False
            known = NOTHING
        joined = known.join(statement)
        self._by_life[life] = joined
        self._by_life.move_to_end(life)
        if len(self._by_life) > MOST_LIVES:
            self._by_life.popitem(last=False)
        return joined.limit_per_s != known.limit_per_s

    def list_since(self, since: float) -> list[tuple[str, Statement]]:
        """List the limits that hold, and those that ended after some time, by life."""
        return [
            (life, statement)
            for life, statement in self._by_life.items()
            if statement.limit_per_s is not None or statement.limit_at >= since
        ]


def _rank_limit(statement: Statement) -> tuple[float, float]:
    limit = statement.limit_per_s
    return statement.limit_at, float("-inf") if limit is None else -limit
