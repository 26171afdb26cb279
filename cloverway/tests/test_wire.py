from __future__ import annotations

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.errors import Kind, PeerError, Ran
from cloverway.messages import Refused
from cloverway.once.keys import ClaimCall, Grant, Recorded, SettleCall, Settlement
from cloverway.peers import wire

INPUTS = int(os.environ.get("CLOVERWAY_FUZZ", "300"))

RECORDED = Recorded(200, "application/json", b"\xff{}", (("A", "b"), ("C", "d")))
EXAMPLES = [
    wire.Hello(1, "h1", "i1", "h2", b"n" * 16),
    wire.Challenge("h2", "i2", b"n" * 16, b"\x00\xff"),
    wire.Proof(b"text"),
    ClaimCall("k1_h1_i1_0_00_00", "t", "p", b"\xfe" * 32, "h1/i1/1/r", 1.5),
    Grant(2.5),
    RECORDED,
    Refused(Kind.KEY_IN_USE, "détail", 0.5, Ran.UNKNOWN),
    Refused(Kind.KEY_SPENT, ran=Ran.UNKNOWN),
    SettleCall("k", "t", "p", "c", Settlement.DONE, RECORDED),
    SettleCall("k", "t", "p", "c", Settlement.NOT_RUN),
    wire.Settled(),
    wire.RunCall("r", "t", "p", "/x?y", "POST", "text/plain", True, "", 7, 1.25, 10),
    wire.ReplyHead(200, "text/event-stream", (), True),
    wire.End(10),
    wire.ChangesCall(3),
    wire.ChangesPage(9, (wire.Change("teams.t", 8, "{}"), wire.Change("hosts.h", 9)), False, 7),
]


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
def test_messages_round_trip(message):
    assert wire.decode(wire.encode(message)) == message


def test_each_message_has_an_example():
    assert {type(example) for example in EXAMPLES} == set(wire.MESSAGE_CODEC.kinds.values())


@settings(max_examples=INPUTS, deadline=None)
@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_decoded_or_rejected(data):
    decode_or_reject(data)


@settings(max_examples=INPUTS, deadline=None)
@given(st.sampled_from(EXAMPLES), st.data())
def test_corrupted_messages_are_decoded_or_rejected(message, data):
    """A message with bytes changed, removed or added, most of which still parses."""
    encoded = bytearray(wire.encode(message))
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(encoded)))
        end = at + data.draw(st.integers(0, 4))
        encoded[at:end] = data.draw(st.binary(max_size=4))
    decode_or_reject(bytes(encoded))


def decode_or_reject(data):
    try:
        message = wire.decode(data)
    except PeerError:
        return
    assert type(message) in wire.MESSAGE_CODEC.kinds.values()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="nothing"),
        pytest.param(b"\x00", id="no message"),
        pytest.param(b"\x0b\x00\x63\xff\xff\xff\xff\x00", id="text of negative length"),
        pytest.param(b"\x0b\x00\x63\x7f\xff\xff\xff\x00", id="text of two gigabytes"),
        pytest.param(b"\x0f\x00\x63\x01\x7f\xff\xff\xff\x00", id="two billion items of no size"),
        pytest.param(b"\x0f\x00\x63\x02\x7f\xff\xff\xff\x00", id="two billion flags"),
        pytest.param(b"\x0f\x00\x63\x0c\xff\xff\xff\xff\x00", id="list of negative length"),
        pytest.param(b"\x0c\x00\x63" * 100_000, id="deep structs"),
        pytest.param(b"\x0f\x00\x63" + b"\x0f\x00\x00\x00\x01" * 100_000, id="deep lists"),
        pytest.param(b"\x0d\x00\x63\x01\x01\x7f\xff\xff\xff\x00", id="map"),
        pytest.param(wire.encode(Grant(1.0)) + b"\x00", id="bytes left over"),
        pytest.param(wire.encode(Grant(1.0))[:-1], id="cut"),
        pytest.param(wire.encode(Grant(1.0))[:-1] + wire.encode(wire.End(1)), id="two messages"),
        pytest.param(wire.encode(Grant(float("nan"))), id="not a number"),
        pytest.param(
            wire.encode(wire.Proof(b"x")).replace(b"\x0b\x00\x01", b"\x08\x00\x01"), id="x"
        ),
    ],
)
def test_malicious_bytes_are_rejected(data):
    with pytest.raises(PeerError):
        wire.decode(data)


def test_text_that_can_not_be_encoded_is_rejected():
    with pytest.raises(PeerError):
        wire.encode(Refused(Kind.INTERNAL, "\ud800"))


def test_unknown_field_of_a_newer_host_is_ignored():
    """During a rolling update, a newer host sends a field that this one does not know."""
    encoded = wire.encode(Grant(1.0))
    assert encoded.endswith(b"\x00\x00")
    newer = encoded[:-2] + b"\x0b\x00\x63\x00\x00\x00\x01x" + b"\x00\x00"
    assert wire.decode(newer) == Grant(1.0)
