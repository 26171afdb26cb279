"""The digest that all repeats of a request share."""

from __future__ import annotations

import pytest

from cloverway.core.calls import Call

CALL = Call("a", "POST", "/check/1", "shop.example", (), b"body", 0.0, 5.0)


def test_repeats_share_a_digest_whatever_their_ids_and_times():
    repeat = CALL._replace(id="b", arrived_at=70.0, deadline=75.0, headers=((b"x", b"y"),))
    assert repeat.compute_digest() == CALL.compute_digest()
    assert 0 <= CALL.compute_digest() < 1 << 63


@pytest.mark.parametrize(
    "other",
    [
        CALL._replace(method="PUT"),
        CALL._replace(target="/check/1?again"),
        CALL._replace(host="other.example"),
        CALL._replace(body=b"bodies"),
        CALL._replace(target="/check/1\nbody", body=b""),
    ],
)
def test_other_requests_have_other_digests(other):
    assert other.compute_digest() != CALL.compute_digest()
