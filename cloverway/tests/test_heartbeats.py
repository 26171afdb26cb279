from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.errors import PeerError
from cloverway.membership import heartbeats
from cloverway.membership.datagram_auth import (
    MAX_DATAGRAM_BYTES,
    OVERHEAD_BYTES,
    DatagramAuthenticator,
)
from cloverway.membership.heartbeats import (
    CrashRow,
    Detail,
    DomainSummary,
    Heartbeat,
    HostLevel,
    LoadRow,
    TargetLevel,
    decode,
    encode,
)

NAMES = st.from_regex(r"[a-z0-9][a-z0-9.-]{0,20}", fullmatch=True)
I32 = st.integers(-(2**31), 2**31 - 1)
I64 = st.integers(-(2**63), 2**63 - 1)
TAGS = st.integers(1, 2**32 - 1)
COUNTS = st.integers(0, 2**15 - 1)
COUNT_STEPS = st.sampled_from(heartbeats.COUNT_STEPS)
AGES = st.integers(0, 2**15 - 1).map(lambda steps: steps * heartbeats.AGE_STEP_S)
ROWS = st.builds(LoadRow, I32, I32, AGES, COUNTS, COUNTS)
DETAILS = st.builds(
    Detail,
    NAMES,
    NAMES,
    st.booleans(),
    st.booleans(),
    st.integers(1, 2**15 - 1),
    st.lists(NAMES, max_size=3).map(tuple),
    st.integers(0, 2**31 - 1).map(lambda steps: steps * heartbeats.STARTED_STEP_S),
    AGES,
)
SUMMARIES = st.builds(
    DomainSummary,
    NAMES,
    AGES,
    st.integers(0, 2**62),
    st.lists(st.builds(HostLevel, I32, I64, st.integers(-1, 127)), max_size=3).map(tuple),
    st.lists(st.builds(TargetLevel, I32, COUNT_STEPS, COUNT_STEPS, COUNT_STEPS), max_size=3).map(
        tuple
    ),
)
END_AGES = st.integers(0, 2**31 - 1).map(lambda steps: steps * heartbeats.AGE_STEP_S)
DIGESTS = st.lists(st.integers(0, 2**63 - 1), max_size=3).map(tuple)
ENDS = st.builds(CrashRow, NAMES, DIGESTS, END_AGES)
BEATS = st.builds(
    Heartbeat,
    host=NAMES,
    incarnation=st.integers(-(2**63), 2**63 - 1),
    sequence=st.integers(1, 2**31 - 1),
    leaving=st.booleans(),
    overloaded=st.booleans(),
    load=st.integers(0, 127).map(lambda hundredths: hundredths / 100),
    revision=st.integers(0, 2**62),
    heard=st.lists(st.tuples(TAGS, st.integers(1, 2**31 - 1)), max_size=3).map(tuple),
    doubted=st.lists(TAGS, max_size=3).map(tuple),
    loads=st.lists(ROWS, max_size=3).map(tuple),
    details=st.lists(DETAILS, max_size=2).map(tuple),
    wanted=st.lists(I32, max_size=3).map(tuple),
    summaries=st.lists(SUMMARIES, max_size=2).map(tuple),
    retired=st.integers(-(2**63), 2**63 - 1),
    ends=st.lists(ENDS, max_size=2).map(tuple),
    served=DIGESTS,
)
AUTHENTICATOR = DatagramAuthenticator.from_secret(b"k" * 32)


@given(BEATS)
@settings(max_examples=60)
def test_a_heartbeat_survives_its_wire_form(beat):
    assert decode(encode(beat)) == beat


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
@settings(max_examples=200)
def test_any_bytes_are_read_or_refused(body):
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(body)
    with contextlib.suppress(PeerError):
        decode(body)


@given(BEATS, st.data())
@settings(max_examples=100)
def test_a_damaged_heartbeat_is_read_or_refused(beat, data):
    body = bytearray(encode(beat))
    for _ in range(data.draw(st.integers(1, 4))):
        body[data.draw(st.integers(0, len(body) - 1))] = data.draw(st.integers(0, 255))
    with contextlib.suppress(PeerError):
        encode(decode(bytes(body)))


def test_numbers_out_of_range_are_cut():
    row = LoadRow(1, 2, 1e9, 10**9, -5)
    assert decode(encode(Heartbeat("a", 1, 1, load=50.0, loads=(row,)))).loads == (
        LoadRow(1, 2, heartbeats.MAX_I16 * heartbeats.AGE_STEP_S, heartbeats.MAX_I16, 0),
    )


@given(COUNTS)
def test_a_summary_tells_no_more_than_there_is(count):
    row = TargetLevel(1, count, count, count)
    beat = Heartbeat("a", 1, 1, summaries=(DomainSummary("d", 0.0, 1, targets=(row,)),))
    told = decode(encode(beat))
    assert 0.9 * count - 1 <= told.summaries[0].targets[0].free <= count
    assert decode(encode(told)) == told


def test_columns_of_unequal_length_are_refused():
    message = heartbeats.wire.Heartbeat(
        host="a", incarnation=1, sequence=1, heard=[1, 2], heard_sequences=[1]
    )
    with pytest.raises(PeerError):
        decode(heartbeats.serialize(message, heartbeats._PROTOCOL))


def test_an_incarnation_keeps_its_digits():
    for text in ("0000000000000001", "ffffffffffffffff", "8000000000000000"):
        assert heartbeats.format_incarnation(heartbeats.parse_incarnation(text)) == text


@pytest.mark.parametrize("at", [0, 1, 5, OVERHEAD_BYTES, -1])
def test_a_changed_datagram_is_refused(at):
    """A host that does not hold the secret says that another one is leaving.

    It changes a byte of a true datagram: of the version, of whom it is meant for, of the seal or
    of the body. The seal covers them all.
    """
    datagram = bytearray(AUTHENTICATOR.sign(b"body", 7))
    assert AUTHENTICATOR.verify(bytes(datagram)) == (7, b"body")
    datagram[at] ^= 1
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(bytes(datagram))


def test_another_secret_makes_another_seal():
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(DatagramAuthenticator.from_secret(b"z" * 32).sign(b"body", 7))
    with pytest.raises(ValueError, match="32 bytes"):
        DatagramAuthenticator.from_secret(b"short")
