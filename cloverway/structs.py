"""Typed messages to bytes and back, by thrift's binary protocol and a committed interface file."""

from __future__ import annotations

import math
import types
from collections.abc import Callable, Iterable
from enum import StrEnum
from functools import cache
from importlib import resources
from operator import attrgetter
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TDecodeException
from thriftpy2.utils import deserialize, serialize

from cloverway.errors import PeerError
from cloverway.thrift_check import check_struct

CODEC = TCyBinaryProtocolFactory()
Convert = Callable[[Any], Any]


class StructCodec:
    """Encodes the messages of one interface file, each a NamedTuple with a struct of its name.

    The file has a struct `Message` that holds exactly one of them.
    """

    def __init__(self, idl: str, kinds: Iterable[type[Any]]) -> None:
        self._idl_name = idl
        self.kinds = {kind.__name__: kind for kind in kinds}

    def encode(self, message: Any) -> bytes:
        """Give the bytes of a message; raise PeerError for text that UTF-8 can't hold."""
        outer = load_idl(self._idl_name).Message()
        setattr(outer, type(message).__name__, self._pack(message))
        try:
            data: bytes = serialize(outer, CODEC)
        except (UnicodeError, OverflowError, TDecodeException) as error:
            raise PeerError("a message can't be encoded") from error
        return data

    def decode(self, data: bytes) -> Any:
        """Read a message; raise PeerError for bytes that are not one whole message."""
        try:
            check_struct(data)
            outer = deserialize(load_idl(self._idl_name).Message(), data, CODEC)
            present = [name for name in self.kinds if getattr(outer, name) is not None]
            if len(present) != 1:
                raise PeerError("a frame must hold one message")
            return _unpack(self.kinds[present[0]], getattr(outer, present[0]))
        except PeerError:
            raise
        except Exception as error:
            # The decoder raises whatever it stumbles over; for the reader all of it is one case.
            raise PeerError(f"a frame can't be read: {type(error).__name__}") from error

    def _pack(self, value: Any) -> Any:
        if hasattr(value, "_fields"):
            make = getattr(load_idl(self._idl_name), type(value).__name__)
            items = zip(value._fields, value, strict=True)
            return make(
                **{name: item if type(item) in _PLAIN else self._pack(item) for name, item in items}
            )
        if isinstance(value, tuple):
            return [self._pack(item) for item in value]
        return str(value) if isinstance(value, StrEnum) else value


@cache
def load_idl(name: str) -> Any:
    """Load an interface file of this package."""
    with resources.as_file(resources.files("cloverway") / name) as path:
        return thriftpy2.load(str(path), module_name=f"cloverway_{path.stem}_thrift")


class _Field(NamedTuple):
    """How one field of a message is read."""

    name: str
    plain: Any
    """The type of a value that is taken as it is; None where each is converted."""
    convert: Convert
    default: Any
    """What stands for a field that isn't there; the field itself is missing without one."""


_MISSING = object()
_PLAIN = (str, bytes, int, bool)


def _unpack(kind: Any, packed: Any) -> Any:
    """Give the message of a struct.

    Where all of its fields are there and are to be taken as they are, as with the hosts that a
    heartbeat tells of, they are read and checked in two steps for all of them.
    """
    read_all, types = _plan_direct_read(kind)
    if types is not None:
        found = read_all(packed)
        if tuple(map(type, found)) == types:
            return kind(*found)
    values = []
    for name, plain, convert, default in _list_fields(kind):
        value = getattr(packed, name, None)
        if type(value) is plain:
            values.append(value)
        elif value is None and default is not _MISSING:
            values.append(default)
        else:
            values.append(convert(value))
    return kind(*values)


@cache
def _plan_direct_read(kind: Any) -> tuple[Callable[[Any], tuple[Any, ...]], tuple[Any, ...] | None]:
    """Give what reads all fields of a struct, and their types where each is taken as it is."""
    types = tuple(field.plain for field in _list_fields(kind))
    is_whole = len(types) > 1 and None not in types
    return attrgetter(*kind._fields) if is_whole else tuple, types if is_whole else None


@cache
def _list_fields(kind: Any) -> tuple[_Field, ...]:
    hints = get_type_hints(kind)
    defaults = kind._field_defaults
    return tuple(
        _Field(
            name,
            hints[name] if hints[name] in _PLAIN else None,
            _choose_convert(hints[name]),
            defaults.get(name, _MISSING),
        )
        for name in kind._fields
    )


def _choose_convert(hint: Any) -> Convert:
    """Give the function that checks and converts one field."""
    if isinstance(hint, types.UnionType):
        (inner,) = [part for part in get_args(hint) if part is not type(None)]
        convert = _choose_convert(inner)
        return lambda value: None if value is None else convert(value)
    if get_origin(hint) is tuple:
        return _choose_tuple(get_args(hint))
    if hasattr(hint, "_fields"):
        return lambda value: _unpack(hint, value)
    if issubclass(hint, StrEnum):
        return hint
    return lambda value: _check_plain(value, hint)


def _choose_tuple(parts: tuple[Any, ...]) -> Convert:
    convert = _choose_convert(parts[0])
    if parts[-1] is Ellipsis:
        return lambda value: tuple(convert(item) for item in value)

    def convert_fixed(value: Any) -> tuple[Any, ...]:
        if len(value) != len(parts):
            raise PeerError("a field has the wrong length")
        return tuple(convert(item) for item in value)

    return convert_fixed


def _check_plain(value: Any, kind: type[Any]) -> Any:
    if type(value) is not kind or (kind is float and not math.isfinite(value)):
        raise PeerError(f"a field is not {kind.__name__}")
    return value
