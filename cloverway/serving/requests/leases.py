"""Leases of forwarded requests: a host works for another one only while it hears from it.

The close of a connection may never arrive: its packets are dropped, a proxy answers for a machine
that is gone, or the process at the other end is stopped. A host that is not told goes on with work
that another endpoint has taken over.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from cloverway.core.calls import Header
from cloverway.core.patience import Lease
from cloverway.errors import Kind, RequestError
from cloverway.serving.clock import read_clock
from cloverway.serving.http.server import BLANK_LINE, Exchange
from cloverway.serving.http.transport import Connection
from cloverway.serving.telemetry import Metrics, log_event
from cloverway.serving.timeouts import RunningTimer

LEASE_HEADER = b"cloverway-lease"
"""Header between hosts: the lease of a request, both times in milliseconds. A host that repeats it
in the head of a stream understands signs of life."""
SIGN_OF_LIFE = BLANK_LINE
"""What a host sends on the connection of a stream that it waits for. A server ignores it before the
head of a request, so that one which crosses the end of the answer does no harm."""
SIGNS_PER_LEASE = 5
"""Signs of life in the time of a lease. One that is late, as after a lost packet, ends nothing; and
events after the last sign are acknowledged soon enough that an engine may pause for nearly as long
as the other host waits for it."""
LEASE_SLACK_S = 0.2
"""How much later than the lease a host stops: a sign of life needs a round trip between regions."""
LEASE_VALUE = re.compile(rb"(\d{1,8});(\d{1,8})")


def encode_lease(lease: Lease) -> Header:
    """Return the header that states a lease."""
    return LEASE_HEADER, b"%d;%d" % (lease.first_s * 1000, lease.renewed_s * 1000)


def decode_lease(value: bytes | None) -> Lease | None:
    """Decode the value of LEASE_HEADER, None if it is missing; raise RequestError."""
    if value is None:
        return None
    match = LEASE_VALUE.fullmatch(value)
    if match is None:
        raise RequestError(Kind.MALFORMED, "the header cloverway-lease is malformed")
    return Lease(int(match.group(1)) / 1000, int(match.group(2)) / 1000)


class LeaseRenewal:
    """Tells the host that runs a stream that this one still waits for it."""

    def __init__(self, connection: Connection, lease: Lease) -> None:
        self._connection = connection
        self._interval_s = lease.renewed_s / SIGNS_PER_LEASE
        self._due_at = float("-inf")

    def record_data(self, now: float) -> None:
        """Send a sign of life, if one is due, because data of the stream has arrived.

        Without data none is sent: this host goes on elsewhere after a time without data, and until
        then the other one must have stopped.
        """
        if now >= self._due_at:
            self._due_at = now + self._interval_s
            self._connection.write(SIGN_OF_LIFE)

    @contextmanager
    def keep_up(self) -> Iterator[None]:
        """Send signs of life while this host doesn't read the stream, as its caller is slow."""

        def renew() -> None:
            self.record_data(read_clock())
            timer.start(self._interval_s)

        timer = RunningTimer(renew, steps=1)
        timer.start(self._interval_s)
        try:
            yield
        finally:
            timer.cancel()


class HeldLease:
    """The lease of a request that another host forwarded, while this host runs it."""

    def __init__(self, exchange: Exchange, lease: Lease, on_expired: Callable[[float], None]):
        self._connection = exchange.connection
        self._lease = lease
        self._on_expired = on_expired
        """Called with the time for which the other host was not heard, in seconds."""
        self._heard_at = read_clock()
        self._timer = RunningTimer(self._expire)

    @contextmanager
    def hold(self) -> Iterator[None]:
        """Close the connection, so that the work ends, if the lease expires within the block."""
        self._connection.take_input = self._take_signs
        self._timer.start(self._lease.first_s + LEASE_SLACK_S)
        try:
            yield
        finally:
            self._timer.cancel()
            self._connection.take_input = None

    def _take_signs(self, data: bytes) -> bytes:
        """Renew the lease by the signs of life in received bytes; return the other bytes."""
        rest = data.lstrip(SIGN_OF_LIFE)
        if len(rest) < len(data):
            self._heard_at = read_clock()
            self._timer.start(self._lease.renewed_s + LEASE_SLACK_S)
        return rest

    def _expire(self) -> None:
        self._on_expired(read_clock() - self._heard_at)
        self._connection.abort()


def record_expired(metrics: Metrics, request_id: str, address: str, unheard_s: float) -> None:
    """Log and count a lease that expired."""
    metrics.record_event("lease_expired")
    log_event(
        "lease_expired",
        request_id=request_id,
        from_address=address,
        unheard_s=round(unheard_s, 3),
    )
