"""Codec for typed messages: Thrift's binary protocol with a committed interface file."""

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
        """Return the bytes of a message; raise PeerError for text that UTF-8 cannot encode."""
        envelope = load_idl(self._idl_name).Message()
        setattr(envelope, type(message).__name__, self._pack(message))
        try:
            data: bytes = serialize(envelope, CODEC)
        except (UnicodeError, OverflowError, TDecodeException) as error:
            raise PeerError("a message could not be encoded") from error
        return data

    def decode(self, data: bytes) -> Any:
        """Return the message; raise PeerError unless the bytes are exactly one complete message."""
        try:
            check_struct(data)
            envelope = deserialize(load_idl(self._idl_name).Message(), data, CODEC)
            present = [name for name in self.kinds if getattr(envelope, name) is not None]
            if len(present) != 1:
                raise PeerError("a frame must contain exactly one message")
            return _unpack(self.kinds[present[0]], getattr(envelope, present[0]))
        except PeerError:
            raise
        except Exception as error:
            # The decoder raises many kinds of exceptions for malformed input; callers need only
            # one.
            raise PeerError(f"a frame could not be decoded: {type(error).__name__}") from error

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
    """How one field of a message is decoded."""

    name: str
    plain: Any
    """The type of a value that needs no conversion; None if every value is converted."""
    convert: Convert
    default: Any
    """Value of an absent field; _MISSING if the field is required."""


_MISSING = object()
_PLAIN = (str, bytes, int, bool)


def _unpack(kind: Any, packed: Any) -> Any:
    """Return the message of a struct.

    If all fields are present and need no conversion, as for the hosts described in a heartbeat,
    they are read and checked together in two steps.
    """
    read_fields, types = _plan_direct_read(kind)
    if types is not None:
        direct = read_fields(packed)
        if tuple(map(type, direct)) == types:
            return kind(*direct)
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
    """Return a reader of all fields of a struct, and their types if none needs conversion."""
    types = tuple(field.plain for field in _list_fields(kind))
    is_direct = len(types) > 1 and None not in types
    return attrgetter(*kind._fields) if is_direct else tuple, types if is_direct else None


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
    """Return the function that checks and converts one field."""
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
            raise PeerError("a tuple field has the wrong length")
        return tuple(convert(item) for item in value)

    return convert_fixed


def _check_plain(value: Any, kind: type[Any]) -> Any:
    if type(value) is not kind or (kind is float and not math.isfinite(value)):
        raise PeerError(f"a field is not of type {kind.__name__}")
    return value
