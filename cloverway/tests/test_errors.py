"""Each kind of error answers as its row of the table says."""

from __future__ import annotations

import pytest

from cloverway.errors import ERROR_ANSWERS, Kind, Ran, RequestError


def test_every_kind_has_an_answer():
    assert set(ERROR_ANSWERS) == set(Kind)


@pytest.mark.parametrize("kind", Kind)
def test_refusal_that_promises_a_time_to_come_back_names_one(kind):
    """A call to an endpoint that is gone is refused, and the refusal says when to come back.

    The place that found the closed port knew no time and gave none, so the caller got a 503 without
    Retry-After. Now the error itself has one, whatever place raises it.
    """
    error = RequestError(kind, ran=Ran.NO)
    assert (error.retry_after is not None) is ERROR_ANSWERS[kind].has_retry_after
    assert ("retry_after_s" in error.as_problem("r")) is ERROR_ANSWERS[kind].has_retry_after


def test_unknown_outcome_names_no_time_that_it_was_not_given():
    assert RequestError(Kind.KEY_OWNER_LOST).retry_after is None


def test_time_that_is_known_is_kept():
    assert RequestError(Kind.OVERLOADED, retry_after=0.25).retry_after == 0.25
