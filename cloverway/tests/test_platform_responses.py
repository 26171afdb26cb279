"""Decoding of the head of an endpoint's response by the platform's dialect."""

from __future__ import annotations

import pytest

from cloverway.platform.dialect import PlatformDialect
from cloverway.serving.http.client import ResponseHead


def decode(*headers, status=200):
    return PlatformDialect().decode_reply(ResponseHead(status, headers))


@pytest.mark.parametrize(
    ("value", "limit"), [(b"1", 1.0), (b"0.25", 0.25), (b" 12.5 ", 12.5), (b"0", 0.0)]
)
def test_limit_is_a_decimal_number_of_requests_per_second(value, limit):
    assert decode((b"server-limit", value)).limit_per_s == limit


@pytest.mark.parametrize("value", [b"", b"-1", b"nan", b"inf", b"1e9", b"1_0", b"a few", b"9" * 40])
def test_malformed_limit_is_ignored_and_logged(value, caplog):
    assert decode((b"server-limit", value)).limit_per_s is None
    assert "the request rate limit in a response is malformed" in caplog.messages


def test_response_without_a_limit_has_none():
    assert decode().limit_per_s is None


@pytest.mark.parametrize(("value", "leaving"), [(b"1", True), (b"0", False), (b"soon", False)])
def test_only_the_value_1_marks_an_endpoint_as_leaving(value, leaving):
    assert decode((b"server-leaving", value)).leaving is leaving
    assert decode().leaving is False
