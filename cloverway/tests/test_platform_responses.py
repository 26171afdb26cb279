"""What the platform's dialect reads from the head of an endpoint's answer."""

from __future__ import annotations

import pytest

from cloverway.platform.dialect import PlatformDialect
from cloverway.serving.http.client import ResponseHead


def decode(*headers, status=200):
    return PlatformDialect().decode_reply(ResponseHead(status, headers))


@pytest.mark.parametrize(
    ("value", "limit"), [(b"1", 1.0), (b"0.25", 0.25), (b" 12.5 ", 12.5), (b"0", 0.0)]
)
def test_a_limit_is_a_decimal_number_of_requests_a_second(value, limit):
    assert decode((b"server-limit", value)).limit_per_s == limit


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e9", b"1_0", b"a few", b"9" * 40])
def test_a_limit_that_is_no_such_number_is_none_and_told(value, caplog):
    assert decode((b"server-limit", value)).limit_per_s is None
    assert "the request rate limit in a response is malformed" in caplog.messages


def test_an_answer_that_names_no_limit_says_nothing_of_one():
    assert decode().limit_per_s is None


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False), (b"soon", False)])
def test_an_endpoint_says_in_one_way_that_it_leaves(value, leaving):
    assert decode((b"server-leaving", value)).leaving is leaving
    assert decode().leaving is False
