"""The messages between hosts and their codec, in thrift's binary protocol."""

from __future__ import annotations

from typing import NamedTuple, cast, get_args

from cloverway.messages import Refused
from cloverway.once.keys import ClaimCall, Grant, Recorded, SettleCall
from cloverway.structs import StructCodec

VERSION = 1


class Hello(NamedTuple):
    """The first message of the connecting host."""

    version: int
    host: str
    incarnation: str
    wanted: str
    """The host that it intends to reach."""
    nonce: bytes


class Challenge(NamedTuple):
    """The accepting host's reply, which proves that it knows the shared secret."""

    host: str
    incarnation: str
    nonce: bytes
    mac: bytes


class Proof(NamedTuple):
    """Proves that the connecting host knows the shared secret."""

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
    """Time until the deadline, since the clocks of two hosts are not comparable."""
    body_bytes: int


class ReplyHead(NamedTuple):
    """The head of a response; its body follows in data frames."""

    status: int
    content_type: str
    headers: tuple[tuple[str, str], ...]
    streamed: bool


class End(NamedTuple):
    """Marks the end of a complete response; without this message it is truncated."""

    body_bytes: int


class ChangesCall(NamedTuple):
    """Request the published documents that changed after a revision."""

    after: int


class Change(NamedTuple):
    """One published document at one revision."""

    key: str
    revision: int
    value: str | None = None
    """JSON text, or None when the document was deleted."""


class ChangesPage(NamedTuple):
    """A page of the changes; more pages may follow."""

    top: int
    """The highest revision that the host knows."""
    changes: tuple[Change, ...]
    more: bool
    after: int = 0
    """The revision that the changes start from; 0 when they contain all documents."""
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

MESSAGE_CODEC = StructCodec("peer.thrift", get_args(Message))


def encode(message: Message) -> bytes:
    """Encode a message; raise PeerError for text that can't be encoded as UTF-8."""
    return MESSAGE_CODEC.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raise PeerError for bytes that are not exactly one complete message."""
    return cast(Message, MESSAGE_CODEC.decode(data))
