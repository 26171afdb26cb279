"""The interface that hosts offer to each other over TCP, and its limits."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from cloverway.config.settings import Limits
from cloverway.messages import Request
from cloverway.once.keys import ClaimCall, ClaimResult, SettleCall
from cloverway.peers.wire import Change
from cloverway.replies import Reply


class EncodedChanges(NamedTuple):
    """Published documents, encoded for another host."""

    top: int
    """The highest revision that the sender knows."""
    changes: tuple[Change, ...] = ()
    after: int = 0
    """The revision that the changes start from; 0 when they contain all documents."""
    digest: str = ""
    """Digest of all documents at `top`, by which a peer detects a diverged history."""


class PeerHandler(Protocol):
    """The calls that a host serves for other hosts; refusals raise RequestError."""

    def claim(self, call: ClaimCall) -> ClaimResult:
        """Decide a claim of a key that this host issued."""
        ...

    def settle(self, call: SettleCall) -> None:
        """Record the outcome of a run."""
        ...

    def run(self, request: Request) -> Reply:
        """Run a forwarded request on this host, or refuse it; never forward it again."""
        ...

    def get_changes(self, after: int) -> EncodedChanges:
        """Return the documents that changed after a revision."""
        ...


class PeerLimits(NamedTuple):
    """Limits of connections between hosts. Times are in seconds."""

    connect_timeout_s: float = 1.0
    """Timeout of connecting and authenticating, at either end."""
    response_timeout_s: float = 1.5
    """Timeout of the response to a small call on a new connection."""
    reused_response_timeout_s: float = 0.8
    """The same on a reused connection, which may have gone silent; then a new one is tried."""
    send_timeout_s: float = 10.0
    """Timeout of sending a frame."""
    ping_interval_s: float = 1.0
    """Interval of the pings from a host that works on a request."""
    silence_timeout_s: float = 4.0
    """Time without any frame after which a host that works on a request counts as failed."""
    backoff_s: float = 1.0
    """Delay before the next attempt to connect to a host that could not be reached."""
    idle_timeout_s: float = 5.0
    """Time after which the connecting end closes an idle connection."""
    max_connections: int = 256
    """Maximum number of accepted connections."""
    max_pooled: int = 64
    """Maximum number of idle connections in the pool, over all hosts."""
    max_body_bytes: int = 4 * 1024 * 1024
    max_response_bytes: int = 64 * 1024 * 1024

    @classmethod
    def from_limits(cls, limits: Limits) -> PeerLimits:
        """Create the limits from the settings of a daemon."""
        return cls(
            connect_timeout_s=limits.connect_timeout_s,
            max_body_bytes=limits.body_bytes,
            max_response_bytes=limits.answer_bytes,
        )
