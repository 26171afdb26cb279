"""Which software versions of a service have served lately, as far as this host can tell."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from cloverway.core.deployment import RouteTable

MAX_READ_AGE_S = 4.0
"""Age of the documents above which a version may serve that this host has not heard of. Hosts whose
store answers know each change earlier."""
MAX_UPDATE_GAP_S = 2.0
"""Time without an update after which the same holds: the process was suspended."""
MAX_ROUTE_CHANGES = 32
"""Configurations with other services that are remembered. With more of them within the life of a
stream, it counts as unknown which service a stream began at."""
MAX_GONE = 2_000
"""Versions of services that are remembered after their last endpoint has gone."""


class _RouteChange(NamedTuple):
    routes: dict[str, dict[str, tuple[str, ...]]]
    """The services that each changed prefix of a host led to before."""
    at: float

    def list_services(self, host: str, path: str) -> Iterator[str]:
        """Return the services that a path may have led to before."""
        prefixes = self.routes.get(host, {})
        return (name for prefix in prefixes if path.startswith(prefix) for name in prefixes[prefix])


class VersionHistory:
    """The versions whose endpoints have gone, and since when none can have gone unseen."""

    def __init__(self) -> None:
        self.known_since = float("inf")
        """Since when this host has known all versions that served, without a gap."""
        self._updated_at = float("-inf")
        self._gone: OrderedDict[tuple[str, str], float] = OrderedDict()
        """When an endpoint of a service and version was last known that has gone."""

    def update(self, read_at: float, now: float) -> None:
        """Record how old the documents are; `read_at` is when the store was last read."""
        has_gap = now - read_at > MAX_READ_AGE_S or now - self._updated_at > MAX_UPDATE_GAP_S
        self._updated_at = now
        if now - read_at > MAX_READ_AGE_S:
            self.known_since = float("inf")
        elif has_gap or self.known_since == float("inf"):
            self.known_since = now

    def record_gone(self, service: str, version: str, now: float) -> None:
        """Record that an endpoint has gone, or has another version now."""
        self._gone[service, version] = now
        self._gone.move_to_end((service, version))
        if len(self._gone) > MAX_GONE:
            _, gone_at = self._gone.popitem(last=False)
            self.known_since = max(self.known_since, gone_at)

    def list_recent(
        self, service: str, present: Iterable[str], life_s: float, now: float
    ) -> set[str]:
        """Return the versions that are known to have served within `life_s`."""
        gone = self._gone.items()
        return {
            *present,
            *(version for (name, version), at in gone if name == service and now - at <= life_s),
        }

    def find_only(
        self, service: str, present: Iterable[str], life_s: float, now: float
    ) -> str | None:
        """Return the only version that served within `life_s`; None if it can't be shown.

        `present` are the versions of the endpoints that are known now, empty for an unknown one.
        """
        if self.known_since > now - life_s or now - self._updated_at > MAX_UPDATE_GAP_S:
            return None
        versions = self.list_recent(service, present, life_s, now)
        return versions.pop() if len(versions) == 1 and "" not in versions else None


class RouteHistory:
    """Which services paths led to before the routes changed: where streams may have begun."""

    def __init__(self) -> None:
        self._changes: deque[_RouteChange] = deque()
        self._dropped_at = float("-inf")
        """When the newest of the changes was made that are no longer kept."""

    def record(self, old: RouteTable, new: RouteTable, now: float) -> None:
        """Record that other routes are in force from now on."""
        changed = old.list_changed_services(new)
        if not changed:
            return
        self._changes.append(_RouteChange(changed, now))
        if len(self._changes) > MAX_ROUTE_CHANGES:
            self._dropped_at = self._changes.popleft().at

    def find_only_service(
        self, current: RouteTable, host: str, path: str, life_s: float, now: float
    ) -> str | None:
        """Return the only service that a path led to within `life_s`; None if it can't be shown."""
        if now - self._dropped_at <= life_s:
            return None
        route = current.find(host, path)
        services = set(route.list_services()) if route is not None else set()
        for change in self._changes:
            if now - change.at <= life_s:
                services.update(change.list_services(host, path))
        return services.pop() if len(services) == 1 else None
