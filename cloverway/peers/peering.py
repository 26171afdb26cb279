"""What hosts offer to each other over TCP, and the bounds on it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cloverway.config.settings import Limits
from cloverway.messages import Request
from cloverway.once.keys import ClaimCall, ClaimResult, SettleCall
from cloverway.peers.wire import Change
from cloverway.replies import Reply


class EncodedChanges(NamedTuple):
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

    def get_changes(self, after: int) -> EncodedChanges:
        """Give the documents that changed after a revision."""
        ...


class PeerLimits(NamedTuple):
    """Bounds on connections between hosts. Times are in seconds."""

    connect_timeout_s: float = 1.0
    """Connecting and authenticating, at either end."""
    response_timeout_s: float = 1.5
    """Waiting for a small call's answer on a new connection."""
    reused_response_timeout_s: float = 0.8
    """The same on a re-used connection, which may be silent; a new one is tried after that."""
    send_timeout_s: float = 10.0
    """Until the other end has room for a frame."""
    ping_interval_s: float = 1.0
    """How often a host that works on a request shows that it is alive."""
    silence_timeout_s: float = 4.0
    """Without any frame from a host that works on a request, until it is given up."""
    backoff_s: float = 1.0
    """After a host could not be reached, until it is tried again."""
    idle_timeout_s: float = 5.0
    """Until a connection that is not used is dropped by the end that opened it."""
    max_connections: int = 256
    """Accepted at one time."""
    max_pooled: int = 64
    """Open and not used, to all hosts together."""
    max_body_bytes: int = 4 * 1024 * 1024
    max_response_bytes: int = 64 * 1024 * 1024

    @classmethod
    def from_limits(cls, limits: Limits) -> PeerLimits:
        """Take what the settings of a daemon bound."""
        return cls(
            connect_timeout_s=limits.connect_timeout_s,
            max_body_bytes=limits.body_bytes,
            max_response_bytes=limits.answer_bytes,
        )
