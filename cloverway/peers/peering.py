"""What hosts offer to each other over TCP, and the bounds on it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cloverway.config.settings import Limits
from cloverway.messages import Request
from cloverway.once.keys import ClaimCall, ClaimResult, SettleCall
from cloverway.peers.wire import Change
from cloverway.replies import Reply


class Changes(NamedTuple):
    """Published documents that a host knows."""

    top: int
    """The highest revision that it knows."""
    changes: tuple[Change, ...] = ()
    after: int = 0
    """The revision that the changes start from; 0 when they are all documents."""
    digest: str = ""
    """Digest of all documents at `top`: tells a peer of another history."""


class PeerHandler(Protocol):
    """What a host does for its peers; raises RequestError for what it refuses."""

    def claim(self, call: ClaimCall) -> ClaimResult:
        """Decide a claim of a key that this host issued."""
        ...

    def settle(self, call: SettleCall) -> None:
        """Note how a run ended."""
        ...

    def run(self, request: Request) -> Reply:
        """Run a passed-on request here, or refuse it; never pass it on."""
        ...

    def changes(self, after: int) -> Changes:
        """Give the documents that changed after a revision."""
        ...


class PeerBounds(NamedTuple):
    """Bounds on connections between hosts. Times are in seconds."""

    connect_s: float = 1.0
    """Connecting and authenticating, at either end."""
    answer_s: float = 1.5
    """Waiting for a small call's answer on a new connection."""
    reused_answer_s: float = 0.8
    """The same on a re-used connection, which may be silent; a new one is tried after that."""
    send_s: float = 10.0
    """Until the other end has room for a frame."""
    ping_s: float = 1.0
    """How often a host that works on a request shows that it is alive."""
    silence_s: float = 4.0
    """Without any frame from a host that works on a request, until it is given up."""
    dead_s: float = 1.0
    """After a host could not be reached, until it is tried again."""
    idle_s: float = 5.0
    """Until a connection that is not used is dropped by the end that opened it."""
    connections: int = 256
    """Accepted at one time."""
    pooled: int = 64
    """Open and not used, to all hosts together."""
    body_bytes: int = 4 * 1024 * 1024
    answer_bytes: int = 64 * 1024 * 1024

    @classmethod
    def from_limits(cls, limits: Limits) -> PeerBounds:
        """Take what the settings of a daemon bound."""
        return cls(
            connect_s=limits.connect_timeout_s,
            body_bytes=limits.body_bytes,
            answer_bytes=limits.answer_bytes,
        )
