"""State of one endpoint as known to a host: present, leaving, cold or down."""

from __future__ import annotations

from cloverway.core.deployment import EndpointEntry
from cloverway.core.load import EndpointLoad

MISSING_GRACE_S = 2.0
"""How long an endpoint is still used after its entry was removed. All entries expire together when
the store is unavailable, and are back within two seconds; without the grace period a host would
have no endpoints in that time. An endpoint that leaves without announcing it keeps serving for
longer."""
RESTORED_ENTRY_BACKOFF_S = 4.0
"""How long an endpoint that was gone gets no requests after its entry came back with an older copy
of the store. By then the entry has lapsed again, or the endpoint is alive."""
MISDIRECTED_BACKOFF_S = 3.0
"""How long an endpoint gets no requests after another one has answered at its address. By then its
entry has expired or has its new address. Each request sent there would waste an attempt."""
REFUSED_BACKOFF_S = 0.5
"""How long an endpoint gets no requests after its address refused a connection. Either it has
crashed and its entry has not expired yet, or it is restarting. One attempt each half second detects
when it is back; if it is the only endpoint of a service, requests wait that long for it."""
UNKNOWN_VERSION_BACKOFF_S = 2.0
"""How long an endpoint that has restarted gets no new streams while its version is unknown. Its
entry states the version, and arrives within this time unless the store is unavailable."""


class Endpoint:
    """One incarnation of an endpoint: its entry and the state that this host has observed."""

    def __init__(self, entry: EndpointEntry, region: str) -> None:
        self.entry = entry
        self.region = region
        self.load = EndpointLoad()
        self.missing_since: float | None = None
        self.cold_until = 0.0
        self.leaves_at: float | None = None
        self.last_attempt_at = float("-inf")
        """When this host was last about to send it a request."""
        self.has_unreadable_entry = False
        """Whether the latest entry could not be decoded."""
        self.misdirected_at = float("-inf")
        """When another endpoint answered at its address."""
        self.refused_at = float("-inf")
        """When its address last refused a connection, or was tried again since then."""
        self.restored_at = float("-inf")
        """When its entry came back with an older copy of the store, after it was gone."""
        self.restarted_at = float("-inf")
        """When it stated that it has started, before its entry did."""
        self.confirmed_at = float("-inf")
        """Until when it is certain that connections to its address led to this incarnation."""
        self.has_announced_leaving = False
        """Whether it has announced in a response that it is leaving. Its entry says so later, and
        not at all while the store is unavailable."""

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold, so that the rate of its requests is limited."""
        return now < self.cold_until

    def is_down(self, now: float) -> bool:
        """Return whether its address has just refused a connection."""
        return now - self.refused_at < REFUSED_BACKOFF_S

    def begin_attempt(self, now: float) -> None:
        """Record that a request is about to be sent to it.

        If its address has refused the last connection, no other request is sent until this one is
        connected. Otherwise all queued requests would try it at once when the backoff is over.
        """
        self.last_attempt_at = now
        if self.refused_at > float("-inf"):
            self.refused_at = now

    def record_connected(self) -> None:
        """Record that its address has accepted a connection."""
        self.refused_at = float("-inf")

    def is_certain(self, opened_at: float) -> bool:
        """Return whether a connection opened at a time leads to this incarnation.

        A process with a new id rejects requests that are meant for another one. One that keeps the
        id of its predecessor accepts them, whatever its version, so that it must be queried.
        """
        return self.entry.started_ms is None or opened_at <= self.confirmed_at

    def has_known_version(self, now: float) -> bool:
        """Return whether another endpoint could go on with a stream that begins at this one now.

        After a while without an entry that states the version, it is used all the same.
        """
        return bool(self.entry.version) or now - self.restarted_at >= UNKNOWN_VERSION_BACKOFF_S

    def is_leaving(self, now: float) -> bool:
        """Return whether the endpoint must not get new requests."""
        if self.entry.draining or self.leaves_at is not None or self.has_unreadable_entry:
            return True
        if self.has_announced_leaving:
            return True
        if now - self.misdirected_at < MISDIRECTED_BACKOFF_S:
            return True
        if now - self.restored_at < RESTORED_ENTRY_BACKOFF_S:
            return True
        return self.missing_since is not None and now - self.missing_since >= MISSING_GRACE_S
