"""Checks that bytes are one complete struct of the Thrift binary protocol before decoding.

The compiled decoder of thriftpy2 0.7.1 skips a list of an unknown element type without reading a
byte: a list that claims 2**31 elements blocks the process, with all its threads, for minutes. After
this check every element takes at least one existing byte, so decoding ends.
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
"""Size of the type and number of a field."""


def check_struct(body: bytes) -> None:
    """Raise PeerError unless the bytes are exactly one complete struct.

    A part that claims more bytes than there are moves the offset beyond the end, where reading the
    next part fails. So no part needs a bounds check of its own. Speed matters: half of the work of
    a host that serves no callers is decoding messages of other hosts.
    """
    try:
        end = _skip_struct(body, 0, MAX_DEPTH)
    except (struct.error, IndexError) as error:
        raise PeerError("a message is truncated") from error
    if end != len(body):
        raise PeerError("a message has bytes after its end")


def _skip_struct(body: bytes, offset: int, depth: int) -> int:
    if depth <= 0 and body[offset]:
        raise PeerError("a message is nested too deeply")
    while kind := body[offset]:
        offset += _FIELD_BYTES
        width = WIDTHS.get(kind)
        if width is not None:
            offset += width
        elif kind == STRING:
            offset = _skip_string(body, offset)
        else:
            offset = _skip_nested(body, offset, kind, depth - 1)
    return offset + 1


def _skip_string(body: bytes, offset: int) -> int:
    (size,) = _SIZE.unpack_from(body, offset)
    if size < 0:
        raise PeerError("a message has a string of negative length")
    return offset + _SIZE.size + int(size)


def _skip_nested(body: bytes, offset: int, kind: int, depth: int) -> int:
    if depth < 0:
        raise PeerError("a message is nested too deeply")
    if kind == STRUCT:
        return _skip_struct(body, offset, depth)
    if kind in (LIST, SET):
        element, size = _LIST.unpack_from(body, offset)
        return _skip_elements(body, offset + _LIST.size, (element,), size, depth)
    if kind == MAP:
        key, value, size = _MAP.unpack_from(body, offset)
        return _skip_elements(body, offset + _MAP.size, (key, value), size, depth)
    raise PeerError(f"a message has a value of unknown type {kind}")


def _skip_elements(body: bytes, offset: int, kinds: tuple[int, ...], size: int, depth: int) -> int:
    if not 0 <= size <= len(body):
        raise PeerError("a list claims more elements than the message has bytes")
    if all(kind in WIDTHS for kind in kinds):
        return offset + size * sum(WIDTHS[kind] for kind in kinds)
    for _ in range(size):
        for kind in kinds:
            offset = _skip_value(body, offset, kind, depth - 1)
    return offset


def _skip_value(body: bytes, offset: int, kind: int, depth: int) -> int:
    if depth < 0:
        raise PeerError("a message is nested too deeply")
    width = WIDTHS.get(kind)
    if width is not None:
        return offset + width
    if kind == STRING:
        return _skip_string(body, offset)
    return _skip_nested(body, offset, kind, depth)
