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

_LIST = struct.Struct("!bi")
_MAP = struct.Struct("!bbi")
_SIZE = struct.Struct("!i")
_FIELD_BYTES = 3
"""The type and the number of a field."""


def check_struct(body: bytes) -> None:
    """Raise PeerError unless the bytes are one struct whose every part is there.

    A part that claims more than is there leads beyond the end, where the next one isn't found: so
    one look at each type is enough, and no part needs a check of its own. Half of what a host that
    serves nobody does is to decode what others tell it.
    """
    try:
        end = _skip_struct(body, 0, MAX_DEPTH)
    except (struct.error, IndexError) as error:
        raise PeerError("a message ends too early") from error
    if end != len(body):
        raise PeerError("a message goes on after its end")


def _skip_struct(body: bytes, at: int, depth: int) -> int:
    if depth <= 0 and body[at]:
        raise PeerError("a message is nested too deeply")
    while kind := body[at]:
        at += _FIELD_BYTES
        width = WIDTHS.get(kind)
        if width is not None:
            at += width
        elif kind == STRING:
            at = _skip_string(body, at)
        else:
            at = _skip_nested(body, at, kind, depth - 1)
    return at + 1


def _skip_string(body: bytes, at: int) -> int:
    (size,) = _SIZE.unpack_from(body, at)
    if size < 0:
        raise PeerError("a message has a text of a negative length")
    return at + _SIZE.size + int(size)


def _skip_nested(body: bytes, at: int, kind: int, depth: int) -> int:
    if depth < 0:
        raise PeerError("a message is nested too deeply")
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
    if not 0 <= size <= len(body):
        raise PeerError("a message has a list that is longer than itself")
    if all(kind in WIDTHS for kind in kinds):
        return at + size * sum(WIDTHS[kind] for kind in kinds)
    for _ in range(size):
        for kind in kinds:
            at = _skip_value(body, at, kind, depth - 1)
    return at


def _skip_value(body: bytes, at: int, kind: int, depth: int) -> int:
    if depth < 0:
        raise PeerError("a message is nested too deeply")
    width = WIDTHS.get(kind)
    if width is not None:
        return at + width
    if kind == STRING:
        return _skip_string(body, at)
    return _skip_nested(body, at, kind, depth)
