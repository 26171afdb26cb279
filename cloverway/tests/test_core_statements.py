"""Merging the statements of endpoints from several sources; no network."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from cloverway.core.statements import (
    MAX_INCARNATIONS,
    NO_STATEMENT,
    Statement,
    StatementChange,
    Statements,
)

STATEMENTS = st.builds(
    Statement,
    st.one_of(st.none(), st.sampled_from([0.0, 0.5, 1.0, 20.0])),
    st.sampled_from([0.0, 1.0, 1.5, 2.0]),
    st.booleans(),
)


@given(st.lists(STATEMENTS, max_size=4), st.data())
def test_join_is_commutative_and_idempotent(statements, data):
    """Guards against hosts that end up with different limits after the same updates."""
    repeated = [*statements, *data.draw(st.lists(st.sampled_from(statements or [NO_STATEMENT])))]
    shuffled = data.draw(st.permutations(repeated))
    joined = [list(itertools.accumulate(order, Statement.join)) for order in (statements, shuffled)]
    last = max(statements, key=lambda s: (s.limit_at, -_limit_key(s)), default=NO_STATEMENT)
    expected = last._replace(leaving=any(statement.leaving for statement in statements))
    assert [partial[-1] if partial else NO_STATEMENT for partial in joined] == [expected] * 2


def _limit_key(statement):
    return float("inf") if statement.limit_per_s is None else statement.limit_per_s


def test_latest_statement_is_in_force():
    known = Statements()
    assert known.record("e@1", Statement(2.0, 10.0)) == (StatementChange.LIMIT_NAMED,)
    assert not known.record("e@1", Statement(2.0, 11.0))
    assert known.record("e@1", Statement(None, 12.0)) == (StatementChange.LIMIT_ENDED,)
    assert not known.record("e@1", Statement(2.0, 11.5))
    assert known.get("e@1").limit_per_s is None
    assert known.get("e@2") == NO_STATEMENT


def test_only_statements_with_content_are_stored_up_to_a_maximum():
    known = Statements()
    assert not known.record("e", Statement(None, 5.0))
    assert known.list_since(float("-inf")) == []
    for number in range(MAX_INCARNATIONS + 10):
        known.record(f"e{number}", Statement(1.0, number))
    assert len(known.list_since(float("-inf"))) == MAX_INCARNATIONS
    assert known.get(f"e{MAX_INCARNATIONS + 9}").limit_per_s == 1.0


def test_list_since_has_limits_in_force_and_recently_ended_ones():
    known = Statements()
    known.record("holds", Statement(1.0, 1.0))
    for incarnation, at in (("ended", 50.0), ("long-ended", 5.0)):
        known.record(incarnation, Statement(1.0, 1.0))
        known.record(incarnation, Statement(None, at))
    assert {incarnation for incarnation, _ in known.list_since(40.0)} == {"holds", "ended"}


def test_leaving_is_final_within_one_incarnation():
    """Guards against an older answer, or one without the flag, that revives a leaving endpoint."""
    known = Statements()
    assert known.record("e@1", Statement(leaving=True)) == (StatementChange.LEAVING,)
    assert known.record("e@1", Statement(None, 20.0)) == ()
    assert known.get("e@1").leaving
    assert not known.get("e@2").leaving
