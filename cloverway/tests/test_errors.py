"""Each kind of error has an answer, with Retry-After where the table requires it."""

from __future__ import annotations

import pytest

from cloverway.errors import ERROR_ANSWERS, Kind, Ran, RequestError


def test_every_kind_has_an_answer():
    assert set(ERROR_ANSWERS) == set(Kind)


@pytest.mark.parametrize("kind", Kind)
def test_refusal_has_retry_after_where_its_kind_requires_it(kind):
    """Guards against refusals without Retry-After.

    Code that raises the error without a time, such as for a closed port of an endpoint, would give
    the caller a 503 without Retry-After. The error therefore has a default.
    """
    error = RequestError(kind, ran=Ran.NO)
    assert (error.retry_after is not None) is ERROR_ANSWERS[kind].has_retry_after
    assert ("retry_after_s" in error.as_problem("r")) is ERROR_ANSWERS[kind].has_retry_after


def test_unknown_outcome_has_no_default_retry_after():
    assert RequestError(Kind.KEY_OWNER_LOST).retry_after is None


def test_given_retry_after_is_kept():
    assert RequestError(Kind.OVERLOADED, retry_after=0.25).retry_after == 0.25
