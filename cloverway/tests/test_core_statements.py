"""What is known of endpoints by their own word, joined from several sides; no network."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from cloverway.core.statements import MAX_INCARNATIONS, NO_STATEMENT, News, Statement, Statements

STATEMENTS = st.builds(
    Statement,
    st.one_of(st.none(), st.sampled_from([0.0, 0.5, 1.0, 20.0])),
    st.sampled_from([0.0, 1.0, 1.5, 2.0]),
    st.booleans(),
)


@given(st.lists(STATEMENTS, max_size=4), st.data())
def test_statements_join_to_the_same_in_any_order_and_however_often(statements, data):
    """Guards against hosts that go on with different limits after the same news."""
    repeated = [*statements, *data.draw(st.lists(st.sampled_from(statements or [NO_STATEMENT])))]
    shuffled = data.draw(st.permutations(repeated))
    joined = [list(itertools.accumulate(some, Statement.join)) for some in (statements, shuffled)]
    last = max(statements, key=lambda s: (s.limit_at, -_read(s)), default=NO_STATEMENT)
    expected = last._replace(leaving=any(statement.leaving for statement in statements))
    assert [chain[-1] if chain else NO_STATEMENT for chain in joined] == [expected] * 2


def _read(statement):
    return float("inf") if statement.limit_per_s is None else statement.limit_per_s


def test_the_last_word_of_an_endpoint_holds():
    known = Statements()
    assert known.note("e@1", Statement(2.0, 10.0)) == (News.LIMIT_NAMED,)
    assert not known.note("e@1", Statement(2.0, 11.0))
    assert known.note("e@1", Statement(None, 12.0)) == (News.LIMIT_ENDED,)
    assert not known.note("e@1", Statement(2.0, 11.5))
    assert known.get("e@1").limit_per_s is None
    assert known.get("e@2") == NO_STATEMENT


def test_only_endpoints_that_named_a_limit_are_remembered_and_not_too_many():
    known = Statements()
    assert not known.note("e", Statement(None, 5.0))
    assert known.list_since(float("-inf")) == []
    for number in range(MAX_INCARNATIONS + 10):
        known.note(f"e{number}", Statement(1.0, number))
    assert len(known.list_since(float("-inf"))) == MAX_INCARNATIONS
    assert known.get(f"e{MAX_INCARNATIONS + 9}").limit_per_s == 1.0


def test_limits_that_hold_are_told_on_and_ended_ones_for_a_while():
    known = Statements()
    known.note("holds", Statement(1.0, 1.0))
    for life, at in (("ended", 50.0), ("long-ended", 5.0)):
        known.note(life, Statement(1.0, 1.0))
        known.note(life, Statement(None, at))
    assert {life for life, _ in known.list_since(40.0)} == {"holds", "ended"}


def test_leaving_is_for_good_in_one_life():
    """Guards against an older or a careless answer that brings a leaving endpoint back."""
    known = Statements()
    assert known.note("e@1", Statement(leaving=True)) == (News.LEAVING,)
    assert known.note("e@1", Statement(None, 20.0)) == ()
    assert known.get("e@1").leaving
    assert not known.get("e@2").leaving
