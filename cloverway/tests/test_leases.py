"""Leases of forwarded requests: their header, signs of life, and hosts of the code before."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.core.patience import Lease
from cloverway.errors import RequestError
from cloverway.serving.http.client import ClientExchange
from cloverway.serving.http.server import MAX_BLANK_BYTES
from cloverway.serving.requests.attempt import FORWARDING_HEADER
from cloverway.serving.requests.leases import (
    LEASE_HEADER,
    SIGN_OF_LIFE,
    SIGNS_PER_LEASE,
    LeaseRenewal,
    decode_lease,
    encode_lease,
)
from cloverway.tests.fleet.deployment import read_reply, run_fleet, run_scenario, wait_for

SHORT = Lease(0.4, 0.4)


class SentBytes:
    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


def test_a_lease_is_decoded_as_it_was_encoded():
    name, value = encode_lease(Lease(2.5, 2.4))
    assert name == LEASE_HEADER
    assert decode_lease(value) == Lease(2.5, 2.4)
    assert decode_lease(None) is None


@pytest.mark.parametrize("value", [b"", b"1", b"1;", b"a;b", b"-1;2", b"1;2;3", b"9" * 9 + b";1"])
def test_a_malformed_lease_is_refused(value):
    """Guards against work without an end, or none at all, because of a header that is not ours."""
    with pytest.raises(RequestError, match="cloverway-lease"):
        decode_lease(value)


def test_signs_of_life_follow_data_and_nothing_else():
    """Guards against a host that is told to work on while the one that waits hears nothing."""
    sent = SentBytes()
    renewal = LeaseRenewal(sent, Lease(2.5, 2.5))
    interval_s = 2.5 / SIGNS_PER_LEASE
    for at in (0.0, 0.1, 0.1 + interval_s, 0.2 + interval_s):
        renewal.record_data(at)
    assert sent.data == 2 * SIGN_OF_LIFE


def forward(fleet, headers=()):
    """Send a request for a stream as another host does, and return what reads its answer."""
    return fleet.begin_call(
        "/stream/a",
        headers=((FORWARDING_HEADER, b"3;model;south"), *headers),
        to=fleet.hosts[0].members.own.forwarding_address,
    )


@pytest.mark.parametrize(
    ("headers", "ends_early"), [((encode_lease(SHORT),), True), ((), False)], ids=["lease", "none"]
)
def test_work_ends_with_its_lease_and_only_then(headers, ends_early):
    """Guards against breaking off streams of hosts that know no leases, as in a rolling restart."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 10, gap_s=0.1)
            exchange = await forward(fleet, headers)
            reply = await read_reply(exchange)
            assert reply.complete is not ends_early
            assert (LEASE_HEADER in reply.headers) is ends_early
            await wait_for(lambda: endpoint.cancelled == ends_early)

    run_scenario(scenario)


def test_signs_of_life_renew_a_lease_and_harm_no_later_request():
    """Guards against a sign of life that is taken for the beginning of the next request."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            endpoint = fleet.endpoints["model-0"]
            endpoint.answer = endpoint.stream(1, 10, gap_s=0.1)
            exchange = await forward(fleet, (encode_lease(SHORT),))
            reading = asyncio.create_task(read_reply(exchange))
            while not reading.done():
                await asyncio.sleep(0.1)
                exchange.connection.write(SIGN_OF_LIFE)
            assert (await reading).complete
            exchange.connection.write(SIGN_OF_LIFE)
            again = ClientExchange(exchange.connection, exchange._request, b"x")
            again.write()
            head = await again.read_head(lambda head: True)
            assert head.status == 200, await again.read_body(1000)

    run_scenario(scenario)


def test_blank_lines_before_a_request_are_bounded():
    """Guards against a connection that is held with blank lines and never carries a request."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            address = fleet.hosts[0].settings.listen.callers
            connection = await fleet.pool.open_new(address, 1.0)
            connection.write(SIGN_OF_LIFE * MAX_BLANK_BYTES)
            assert (await connection.receive()).startswith(b"HTTP/1.1 400")

    run_scenario(scenario)
