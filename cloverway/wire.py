"""The codec between hosts: typed messages to bytes and back, by thrift's binary protocol."""

from __future__ import annotations

import math
import types
from collections.abc import Callable
from enum import StrEnum
from functools import cache
from importlib import resources
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.thrift import TDecodeException
from thriftpy2.utils import deserialize, serialize

from cloverway.errors import PeerError
from cloverway.keys import ClaimCall, Grant, Recorded, SettleCall
from cloverway.messages import Refused
from cloverway.thriftform import check_struct

VERSION = 1


class Hello(NamedTuple):
    """The connecting host's first words."""

    version: int
    host: str
    incarnation: str
    wanted: str
    """The host that it means to reach."""
    nonce: bytes


class Challenge(NamedTuple):
    """The accepting host's answer, which proves that it knows the secret."""

    host: str
    incarnation: str
    nonce: bytes
    mac: bytes


class Proof(NamedTuple):
    """Proves that the connecting host knows the secret."""

    mac: bytes


class Settled(NamedTuple):
    """Acknowledges a settlement."""


class RunCall(NamedTuple):
    """Run a request; its body follows in data frames."""

    id: str
    team: str
    profile: str
    path: str
    method: str
    content_type: str
    stream: bool
    key: str
    revision: int
    left_s: float
    """Time until the deadline; clocks of two hosts are never compared."""
    body_bytes: int


class ReplyHead(NamedTuple):
    """The head of an answer; its body follows in data frames."""

    status: int
    content_type: str
    headers: tuple[tuple[str, str], ...]
    streamed: bool


class End(NamedTuple):
    """The answer is whole; without this frame it is cut."""

    body_bytes: int


class ChangesCall(NamedTuple):
    """Ask for the published documents that changed after a revision."""

    after: int


class Change(NamedTuple):
    """One published document at one revision."""

    key: str
    revision: int
    value: str | None = None
    """JSON text, or None when the document was deleted."""


class ChangesPage(NamedTuple):
    """Some of the changes; more pages may follow."""

    top: int
    """The highest revision that the host knows."""
    changes: tuple[Change, ...]
    more: bool
    after: int = 0
    """The revision that the changes start from; 0 when they are all documents."""
    digest: str = ""
    """Digest of all documents at `top`."""


Message = (
    Hello
    | Challenge
    | Proof
    | ClaimCall
    | Grant
    | Recorded
    | Refused
    | SettleCall
    | Settled
    | RunCall
    | ReplyHead
    | End
    | ChangesCall
    | ChangesPage
)

MESSAGES: dict[str, type[Any]] = {kind.__name__: kind for kind in get_args(Message)}

CODEC = TCyBinaryProtocolFactory()
Convert = Callable[[Any], Any]


def encode(message: Message) -> bytes:
    """Give the bytes of a message; raise PeerError for text that UTF-8 can't hold."""
    outer = _load_idl().Message()
    setattr(outer, type(message).__name__, _pack(message))
    try:
        data: bytes = serialize(outer, CODEC)
    except (UnicodeError, OverflowError, TDecodeException) as error:
        raise PeerError("a message can't be encoded") from error
    return data


def decode(data: bytes) -> Message:
    """Read a message; raise PeerError for bytes that are not one whole message."""
    try:
        check_struct(data)
        outer = deserialize(_load_idl().Message(), data, CODEC)
        present = [name for name in MESSAGES if getattr(outer, name) is not None]
        if len(present) != 1:
            raise PeerError("a frame must hold one message")
        message: Message = _unpack(MESSAGES[present[0]], getattr(outer, present[0]))
    except PeerError:
        raise
    except Exception as error:
        # The decoder raises whatever it stumbles over; for the reader all of it is one case.
        raise PeerError(f"a frame can't be read: {type(error).__name__}") from error
    return message


@cache
def _load_idl() -> Any:
    with resources.as_file(resources.files("cloverway") / "peer.thrift") as path:
        return thriftpy2.load(str(path), module_name="cloverway_peer_thrift")


def _pack(value: Any) -> Any:
    if hasattr(value, "_fields"):
        packed = getattr(_load_idl(), type(value).__name__)()
        for name in value._fields:
            setattr(packed, name, _pack(getattr(value, name)))
        return packed
    if isinstance(value, tuple):
        return [_pack(item) for item in value]
    return str(value) if isinstance(value, StrEnum) else value


def _unpack(kind: Any, packed: Any) -> Any:
    defaults = kind._field_defaults
    values = []
    for name, convert in _list_fields(kind):
        value = getattr(packed, name, None)
        if value is None and name in defaults:
            values.append(defaults[name])
        else:
            values.append(convert(value))
    return kind(*values)


@cache
def _list_fields(kind: Any) -> tuple[tuple[str, Convert], ...]:
    hints = get_type_hints(kind)
    return tuple((name, _choose_convert(hints[name])) for name in kind._fields)


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
