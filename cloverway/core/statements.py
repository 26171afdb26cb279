"""What endpoints say of themselves in their answers, as far as the hosts of a region know it.

A host is told with its own answers, and by its siblings with theirs. What it knows of one life of
an endpoint is joined from both, in any order, late or twice, with the same result.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

MAX_INCARNATIONS = 4_096
"""Lives of endpoints of which statements are remembered."""


class Statement(NamedTuple):
    """What one life of an endpoint has said of itself last. Times are of this host's clock."""

    limit_per_s: float | None = None
    """Requests a second that it takes from all hosts together; None for no limit."""
    limit_at: float = float("-inf")
    """When it was heard to name the limit, or asked when it named none any more."""
    leaving: bool = False
    """Whether it has said that it leaves, which is for good."""

    def join(self, other: Statement) -> Statement:
        """Join what is known from two sides; of two words of one time the lower limit holds."""
        last = max(self, other, key=_rank_limit)
        return last._replace(leaving=self.leaving or other.leaving)


NO_STATEMENT = Statement()
"""What is known of an endpoint that said nothing of itself."""


class News(StrEnum):
    """What holds of an endpoint from now on."""

    LIMIT_NAMED = "limit_named"
    LIMIT_ENDED = "limit_ended"
    LEAVING = "leaving_said"


class Statements:
    """The statements of all endpoints that this host knows."""

    def __init__(self) -> None:
        self._by_incarnation: OrderedDict[str, Statement] = OrderedDict()

    def get(self, incarnation: str) -> Statement:
        """Give what a life of an endpoint has said."""
        return self._by_incarnation.get(incarnation, NO_STATEMENT)

    def note(self, incarnation: str, statement: Statement) -> tuple[News, ...]:
        """Take over what a life of an endpoint has said; give what is new of that."""
        known = self._by_incarnation.get(incarnation)
        if known is None:
            # Most answers say nothing, of endpoints that never did: nothing is kept of them.
            if statement.limit_per_s is None and not statement.leaving:
                return ()
            known = NO_STATEMENT
        joined = known.join(statement)
        self._by_incarnation[incarnation] = joined
        self._by_incarnation.move_to_end(incarnation)
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            self._by_incarnation.popitem(last=False)
        return tuple(_list_news(known, joined))

    def list_since(self, since: float) -> list[tuple[str, Statement]]:
        """List what holds, and the limits that ended after some time, by life."""
        return [
            (incarnation, statement)
            for incarnation, statement in self._by_incarnation.items()
            if statement.limit_per_s is not None or statement.leaving or statement.limit_at >= since
        ]


def _list_news(known: Statement, joined: Statement) -> Iterator[News]:
    if joined.limit_per_s != known.limit_per_s:
        yield News.LIMIT_ENDED if joined.limit_per_s is None else News.LIMIT_NAMED
    if joined.leaving and not known.leaving:
        yield News.LEAVING


def _rank_limit(statement: Statement) -> tuple[float, float]:
    limit = statement.limit_per_s
    return statement.limit_at, float("-inf") if limit is None else -limit
