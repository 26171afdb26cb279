"""Check that bytes are one whole struct of the Thrift binary protocol, before they are decoded.

The compiled decoder of thriftpy2 0.7.1 skips a list of an unknown element type without reading a
byte: a list that claims 2**31 elements holds the process, and all its threads, for minutes.
After this check every element takes at least one byte that is there, so decoding ends.
"""

from __future__ import annotations

import struct

from cloverway.errors import PeerError

STOP, BOOL, BYTE, DOUBLE, I16, I32, I64 = 0, 2, 3, 4, 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
MAX_DEPTH = 8

_FIELD = struct.Struct("!bh")
_LIST = struct.Struct("!bi")
_MAP = struct.Struct("!bbi")
_SIZE = struct.Struct("!i")


def check_struct(body: bytes) -> None:
    """Raise PeerError unless the bytes are one struct whose every part is there."""
    try:
        end = _skip_struct(body, 0, MAX_DEPTH)
    except struct.error as error:
        raise PeerError("a message ends too early") from error
    if end != len(body):
        raise PeerError("a message goes on after its end")


def _skip_struct(body: bytes, at: int, depth: int) -> int:
    while body[at : at + 1] != b"\0":
        kind, _ = _FIELD.unpack_from(body, at)
        at = _skip_value(body, at + _FIELD.size, kind, depth - 1)
    return at + 1


def _skip_value(body: bytes, at: int, kind: int, depth: int) -> int:
    if depth < 0:
        raise PeerError("a message is nested too deeply")
    if kind in WIDTHS:
        return _advance(body, at, WIDTHS[kind])
    if kind == STRING:
        (size,) = _SIZE.unpack_from(body, at)
        return _advance(body, at + _SIZE.size, size)
    if kind == STRUCT:
        return _skip_struct(body, at, depth)
    if kind in (LIST, SET):
        element, size = _LIST.unpack_from(body, at)
        return _skip_elements(body, at + _LIST.size, (element,), size, depth)
    if kind == MAP:
        key, value, size = _MAP.unpack_from(body, at)
        return _skip_elements(body, at + _MAP.size, (key, value), size, depth)
    raise PeerError(f"a message has a value of the unknown type {kind}")


def _skip_elements(body: bytes, at: int, kinds: tuple[int, ...], size: int, depth: int) -> int:
    if all(kind in WIDTHS for kind in kinds):
        return _advance(body, at, size * sum(WIDTHS[kind] for kind in kinds))
    if not 0 <= size <= len(body):
        raise PeerError("a message has a list that is longer than itself")
    for _ in range(size):
        for kind in kinds:
            at = _skip_value(body, at, kind, depth - 1)
    return at


def _advance(body: bytes, at: int, size: int) -> int:
    if size < 0 or at + size > len(body):
        raise PeerError("a message ends too early")
    return at + size
