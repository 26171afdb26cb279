"""The immutable picture of the system that the control loop publishes to all other tasks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from cloverway.config.published import Published


class EndpointState(NamedTuple):
    """What this host knows of one endpoint of its own failure domain. Times are monotonic."""

    name: str
    incarnation: str = ""
    """Changes when the endpoint restarts; its cache is then cold."""
    ready: bool = False
    leaving: bool = False
    """Sticky for the incarnation: no list can take it back."""
    running: int = 0
    waiting: int = 0
    slots: int = 1
    models: tuple[str, ...] = ()
    """Models that are loaded now, or services that are offered."""
    reported_at: float = float("-inf")
    started_at: float = float("-inf")
    """When this incarnation was first seen ready; a new one is given little at first."""


class HostState(NamedTuple):
    """What this host knows of another host. Times are monotonic."""

    name: str
    domain: str
    incarnation: str = ""
    leaving: bool = False
    overloaded: bool = False
    load: float = 0.0
    """Requests in progress over the limit, 0 to 1."""
    revision: int = 0
    heard_at: float = float("-inf")


class Summary(NamedTuple):
    """What one failure domain offers for one model or service."""

    domain: str
    target: str
    ready: int = 0
    """Endpoints that are ready."""
    free: int = 0
    """Slots that are free."""
    waiting: int = 0
    at: float = float("-inf")


class View(NamedTuple):
    """All that decisions are made from, as of one moment."""

    host: str
    incarnation: str
    domain: str
    region: str
    published: Published | None = None
    """None until a configuration was accepted: the host is not ready."""
    hosts: Mapping[str, HostState] = {}
    endpoints: Mapping[str, EndpointState] = {}
    """Of the own failure domain."""
    summaries: Mapping[tuple[str, str], Summary] = {}
    """By (failure domain, model or service), of other failure domains."""
    leaving: bool = False
    platform_stale: bool = False
    """Whether a peer knows a later revision than the platform answers."""

    @property
    def ready(self) -> bool:
        """Whether the host may take work."""
        return self.published is not None and not self.leaving


class ViewHolder:
    """One reference that the control loop assigns and all others read."""

    def __init__(self, view: View) -> None:
        self.current = view
