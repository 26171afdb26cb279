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
    ServedRow,
    TargetLevel,
    decode,
    encode,
)
from cloverway.tests.processor_time import limit_processor_time

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

CRASH_AGES = st.integers(0, 2**31 - 1).map(lambda steps: steps * heartbeats.AGE_STEP_S)
DIGESTS = st.lists(st.integers(0, 2**63 - 1), max_size=3).map(tuple)
CRASHES = st.builds(CrashRow, NAMES, DIGESTS, CRASH_AGES)
HEARTBEATS = st.builds(
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
    requested_details=st.lists(I32, max_size=3).map(tuple),
    summaries=st.lists(SUMMARIES, max_size=2).map(tuple),
    retired=st.integers(-(2**63), 2**63 - 1),
    crashes=st.lists(CRASHES, max_size=2).map(tuple),
    served=DIGESTS,
    excused=st.lists(st.builds(ServedRow, st.integers(0, 2**63 - 1), CRASH_AGES), max_size=3).map(
        tuple
    ),
)
AUTHENTICATOR = DatagramAuthenticator.from_secret(b"k" * 32)


@given(HEARTBEATS)
@settings(max_examples=60)
def test_a_heartbeat_round_trips_through_its_encoding(heartbeat):
    assert decode(encode(heartbeat)) == heartbeat


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
@settings(max_examples=200)
def test_arbitrary_bytes_are_decoded_or_rejected(body):
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(body)
    with contextlib.suppress(PeerError):
        decode(body)


@given(HEARTBEATS, st.data())
@settings(max_examples=100, deadline=None)
def test_a_corrupted_heartbeat_is_decoded_or_rejected(heartbeat, data):
    body = bytearray(encode(heartbeat))
    for _ in range(data.draw(st.integers(1, 4))):
        body[data.draw(st.integers(0, len(body) - 1))] = data.draw(st.integers(0, 255))
    with limit_processor_time(), contextlib.suppress(PeerError):
        encode(decode(bytes(body)))


def test_numbers_out_of_range_are_clamped():
    row = LoadRow(1, 2, 1e9, 10**9, -5)
    assert decode(encode(Heartbeat("a", 1, 1, load=50.0, loads=(row,)))).loads == (
        LoadRow(1, 2, heartbeats.MAX_I16 * heartbeats.AGE_STEP_S, heartbeats.MAX_I16, 0),
    )


@given(COUNTS)
def test_counts_in_a_summary_are_rounded_down(count):
    row = TargetLevel(1, count, count, count)
    heartbeat = Heartbeat("a", 1, 1, summaries=(DomainSummary("d", 0.0, 1, targets=(row,)),))
    decoded = decode(encode(heartbeat))
    assert 0.9 * count - 1 <= decoded.summaries[0].targets[0].free <= count
    assert decode(encode(decoded)) == decoded


def test_columns_of_unequal_length_are_rejected():
    message = heartbeats.wire.Heartbeat(
        host="a", incarnation=1, sequence=1, heard=[1, 2], heard_sequences=[1]
    )
    with pytest.raises(PeerError):
        decode(heartbeats.serialize(message, heartbeats._PROTOCOL))


def test_an_incarnation_round_trips_through_its_number():
    for text in ("0000000000000001", "ffffffffffffffff", "8000000000000000"):
        assert heartbeats.format_incarnation(heartbeats.parse_incarnation(text)) == text


@pytest.mark.parametrize("at", [0, 1, 5, OVERHEAD_BYTES, -1])
def test_a_changed_datagram_is_rejected(at):
    """Failure: a sender without the secret makes hosts believe that another host is leaving.

    It changes one byte of a valid datagram: of the version, the recipient's tag, the MAC or the
    body. The MAC covers all of them.
    """
    datagram = bytearray(AUTHENTICATOR.sign(b"body", 7))
    assert AUTHENTICATOR.verify(bytes(datagram)) == (7, b"body")
    datagram[at] ^= 1
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(bytes(datagram))


def test_a_datagram_with_another_secret_is_rejected():
    with pytest.raises(PeerError):
        AUTHENTICATOR.verify(DatagramAuthenticator.from_secret(b"z" * 32).sign(b"body", 7))
    with pytest.raises(ValueError, match="32 bytes"):
        DatagramAuthenticator.from_secret(b"short")
