"""The immutable view of the system that the control loop publishes to all other tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cloverway.config.published import Published


class EndpointState(NamedTuple):
    """What this host knows of one endpoint of its own failure domain. Times are monotonic."""

    name: str
    incarnation: str = ""
    """Changes when the endpoint restarts, which empties its KV cache."""
    ready: bool = False
    leaving: bool = False
    """Never reset within an incarnation, whatever the platform's list says."""
    running: int = 0
    waiting: int = 0
    slots: int = 1
    models: tuple[str, ...] = ()
    """Models that are loaded now, or services that are offered."""
    reported_at: float = float("-inf")
    started_at: float = float("-inf")
    """When this incarnation was first seen ready; a new one gets few requests at first."""


class HostState(NamedTuple):
    """What this host knows of another host. Times are monotonic."""

    name: str
    domain: str
    incarnation: str = ""
    leaving: bool = False
    overloaded: bool = False
    load: float = 0.0
    """Requests in progress divided by the limit, 0 to 1."""
    revision: int = 0
    heard_at: float = float("-inf")
    grace_until: float = float("-inf")
    """Until when it counts as alive regardless of its silence, after a pause of this process."""

    def is_alive(self, known_until: float, suspect_s: float) -> bool:
        """Return whether it was heard recently enough, as of the time that the view shows."""
        return known_until - self.heard_at <= suspect_s or known_until < self.grace_until


class Summary(NamedTuple):
    """The capacity of one failure domain for one model or service."""

    domain: str
    target: str
    ready: int = 0
    """Number of ready endpoints."""
    free: int = 0
    """Number of free slots."""
    waiting: int = 0
    at: float = float("-inf")
    usable_until: float = float("inf")
    """When the failure domain counts as unreachable unless a newer summary arrives."""


class View(NamedTuple):
    """Everything that decisions are based on, as of one moment."""

    host: str
    incarnation: str
    domain: str
    region: str
    published: Published | None = None
    """None until the host starts serving, so until then it is not ready."""
    hosts: Mapping[str, HostState] = {}
    endpoints: Mapping[str, EndpointState] = {}
    """Endpoints of the own failure domain, by name."""
    summaries: Mapping[tuple[str, str], Summary] = {}
    """Capacity of other failure domains, by (failure domain, model or service)."""
    leaving: bool = False
    platform_stale: bool = False
    """Whether a peer knows a later revision than the one that the platform returns."""
    made_at: float = float("inf")
    """Up to when this host has processed what it received."""

    def get_known_until(self, now: float) -> float:
        """Return the time by which to judge how long others have been silent.

        After a pause of this process the view is as old as the pause. Judged by the present time,
        all others would seem to have been silent for so long.
        """
        return min(now, self.made_at)

    @property
    def ready(self) -> bool:
        """Whether the host may accept requests."""
        return self.published is not None and not self.leaving


class ViewHolder:
    """Holds the current view: the control loop assigns it, all other tasks read it."""

    def __init__(self, view: View) -> None:
        self.current = view
