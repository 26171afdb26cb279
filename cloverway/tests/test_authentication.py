from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.config.published import Published
from cloverway.config.schema import Profile
from cloverway.entry.authentication import (
    KeyIndex,
    KeyIndexCache,
    authenticate,
    choose_deadline_s,
    hash_key,
    parse_bearer,
)
from cloverway.errors import RequestError
from cloverway.tests.caller_harness import BEARER, DOCUMENTS

PUBLISHED = Published.from_documents(DOCUMENTS)


def test_the_index_is_built_once_for_each_configuration():
    index_cache = KeyIndexCache()
    index = index_cache.get_index(PUBLISHED)
    assert index_cache.get_index(PUBLISHED) is index
    later = PUBLISHED._replace(revision=4)
    assert index_cache.get_index(later).published is later


def test_a_withdrawn_key_is_rejected_at_once():
    """After an operator withdraws a key, the next call with it is rejected."""
    index_cache = KeyIndexCache()
    authenticate(index_cache.get_index(PUBLISHED), f"Bearer {BEARER}", "chat")
    pharmacy = PUBLISHED.teams["pharmacy"]._replace(key_hashes=())
    later = PUBLISHED._replace(revision=4, teams={**PUBLISHED.teams, "pharmacy": pharmacy})
    with pytest.raises(RequestError, match="unauthenticated"):
        authenticate(index_cache.get_index(later), f"Bearer {BEARER}", "chat")


@given(st.text(max_size=600))
def test_only_published_keys_identify_a_team(text):
    index = KeyIndex.from_published(PUBLISHED)
    try:
        bearer = parse_bearer(text)
    except RequestError as error:
        assert error.kind == "unauthenticated"
        return
    assert index.find_team(bearer) == ""


def test_the_hash_of_a_key_is_not_accepted_as_a_key():
    """A reader of the published configuration can't authenticate with its contents."""
    index = KeyIndex.from_published(PUBLISHED)
    assert index.find_team(BEARER) == "pharmacy"
    assert index.find_team(hash_key(BEARER)) == ""
    assert index.find_team(hash_key(BEARER).partition(":")[2]) == ""


@pytest.mark.parametrize(
    ("header", "seconds"), [("", 30.0), ("500", 0.5), ("60000", 30.0), ("000000001", 0.001)]
)
def test_the_shorter_deadline_applies(header, seconds):
    assert choose_deadline_s(Profile(model="m"), header) == seconds


@pytest.mark.parametrize("header", ["0", "-1", "1.5", "1e3", "+5", "\u0663", "1" * 10, " 5", "a"])
def test_a_deadline_must_be_a_positive_integer(header):
    with pytest.raises(RequestError, match="malformed"):
        choose_deadline_s(Profile(model="m"), header)
