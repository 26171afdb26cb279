"""Rate limits and leaving announcements of endpoints, as known to the hosts of a region.

Endpoints state these in their answers. A host learns of them from the answers that it receives, and
from other hosts of its region. Both are merged per incarnation of an endpoint; the merge gives the
same result for late, repeated and reordered updates.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

MAX_INCARNATIONS = 4_096
"""Incarnations of endpoints whose statements are retained."""


class Statement(NamedTuple):
    """The last statement of one incarnation of an endpoint. Times are of this host's clock."""

    limit_per_s: float | None = None
    """Requests per second that it accepts from all hosts together; None for no limit."""
    limit_at: float = float("-inf")
    """When the answer with the limit arrived, or the request was sent whose answer had none."""
    leaving: bool = False
    """Whether it has announced that it is leaving, which is final."""

    def join(self, other: Statement) -> Statement:
        """Merge two statements; the later limit wins, and of two with equal time the lower."""
        last = max(self, other, key=_rank_limit)
        return last._replace(leaving=self.leaving or other.leaving)


NO_STATEMENT = Statement()
"""The statement of an endpoint that has set no limit and announced nothing."""


class StatementChange(StrEnum):
    """A change in the statement of an endpoint."""

    LIMIT_NAMED = "limit_named"
    LIMIT_ENDED = "limit_ended"
    LEAVING = "leaving_said"


class Statements:
    """The statements of all endpoints known to this host."""

    def __init__(self) -> None:
        self._by_incarnation: OrderedDict[str, Statement] = OrderedDict()

    def get(self, incarnation: str) -> Statement:
        """Return the statement of an incarnation of an endpoint."""
        return self._by_incarnation.get(incarnation, NO_STATEMENT)

    def record(self, incarnation: str, statement: Statement) -> tuple[StatementChange, ...]:
        """Merge a statement of an incarnation of an endpoint; return what changed."""
        known = self._by_incarnation.get(incarnation)
        if known is None:
            # Most answers state nothing, of endpoints that never did; nothing is stored for them.
            if statement.limit_per_s is None and not statement.leaving:
                return ()
            known = NO_STATEMENT
        joined = known.join(statement)
        self._by_incarnation[incarnation] = joined
        self._by_incarnation.move_to_end(incarnation)
        if len(self._by_incarnation) > MAX_INCARNATIONS:
            self._by_incarnation.popitem(last=False)
        return tuple(_list_changes(known, joined))

    def list_since(self, since: float) -> list[tuple[str, Statement]]:
        """Return the statements in force and the limits that ended after a time."""
        return [
            (incarnation, statement)
            for incarnation, statement in self._by_incarnation.items()
            if statement.limit_per_s is not None or statement.leaving or statement.limit_at >= since
        ]


def _list_changes(known: Statement, joined: Statement) -> Iterator[StatementChange]:
    if joined.limit_per_s != known.limit_per_s:
        yield (
            StatementChange.LIMIT_ENDED
            if joined.limit_per_s is None
            else StatementChange.LIMIT_NAMED
        )
    if joined.leaving and not known.leaving:
        yield StatementChange.LEAVING


def _rank_limit(statement: Statement) -> tuple[float, float]:
    limit = statement.limit_per_s
    return statement.limit_at, float("-inf") if limit is None else -limit
