"""Messages that the check refuses before they reach the Thrift decoder."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.errors import PeerError
from cloverway.thrift_check import check_struct

HOSTILE_LIST = b"\x0f\x00\x07" + b"\x01" + b"\x7f\xff\xff\xff" + b"\x00"


def test_a_list_of_an_unknown_type_is_refused_at_once():
    """A host stops answering for minutes after one datagram.

    The datagram holds a list of 2**31 elements of a type that does not exist. The compiled decoder
    skips each of them without reading a byte, and holds the interpreter lock meanwhile.
    """
    with pytest.raises(PeerError):
        check_struct(HOSTILE_LIST)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x0f",
        b"\x08\x00\x01\x00\x00",
        b"\x0b\x00\x01\xff\xff\xff\xff\x00",
        b"\x0f\x00\x01\x08\xff\xff\xff\xff\x00",
        b"\x0f\x00\x01\x0c\x7f\xff\xff\xff\x00",
        b"\x00\x00",
        b"\x0c\x00\x01" * 50 + b"\x00" * 51,
    ],
)
def test_a_malformed_struct_is_refused(body):
    with pytest.raises(PeerError):
        check_struct(body)


@pytest.mark.parametrize(
    "body",
    [
        b"\x00",
        b"\x02\x00\x01\x01\x00",
        b"\x0b\x00\x01\x00\x00\x00\x02ab\x00",
        b"\x0f\x00\x01\x08\x00\x00\x00\x01\x00\x00\x00\x05\x00",
        b"\x0d\x00\x01\x0b\x03\x00\x00\x00\x01\x00\x00\x00\x01a\x07\x00",
        b"\x0c\x00\x01\x00\x00",
    ],
)
def test_a_complete_struct_passes(body):
    check_struct(body)


@given(st.binary(max_size=200))
def test_any_bytes_pass_or_raise_peer_error(body):
    with contextlib.suppress(PeerError):
        check_struct(body)
