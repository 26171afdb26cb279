"""The admin API for operators: health, readiness, metrics, status, explanations and draining.

It has its own listener and threads, so that it answers while all threads for callers are busy. It
requires no key, so its address must not be reachable from the callers' network.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from math import isfinite
from typing import Any, NamedTuple

from cloverway.config.settings import Settings
from cloverway.entry import bodies
from cloverway.entry.application import IncomingCall, Responder, make_json_reply, require_method
from cloverway.entry.host_list import HostList
from cloverway.entry.listener import Listener, ListenerLimits
from cloverway.errors import Kind, RequestError
from cloverway.membership.view import View, ViewHolder
from cloverway.operations.metrics import Gauge
from cloverway.replies import Reply

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_BODY_BYTES = 64 * 1024
BODY_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0
MAX_WAITING_CONNECTIONS = 64
MAX_IDLE_CONNECTIONS = 64


class AdminOperations(NamedTuple):
    """The functions of the daemon that the admin API calls."""

    list_hosts: Callable[[], HostList]
    count_in_progress: Callable[[], int]
    count_queued: Callable[[], int]
    """Returns the number of requests that are queued for an endpoint."""
    render_metrics: Callable[[Sequence[Gauge]], bytes]
    explain: Callable[[str, str], Mapping[str, Any]]
    """Returns the routing decision for a request of a team with a profile."""
    begin_leaving: Callable[[], None]


class AdminServer:
    """Serves the admin API."""

    def __init__(
        self,
        settings: Settings,
        holder: ViewHolder,
        operations: AdminOperations,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._holder = holder
        self._operations = operations
        self._clock = clock
        self._paths: Mapping[str, tuple[str, Callable[[IncomingCall], Reply]]] = {
            "/healthz": ("GET", self._answer_health),
            "/readyz": ("GET", self._answer_readiness),
            "/metrics": ("GET", self._answer_metrics),
            "/v1/hosts": ("GET", self._answer_hosts),
            "/v1/status": ("GET", self._answer_status),
            "/v1/explain": ("POST", self._explain),
            "/v1/drain": ("POST", self._drain),
        }
        responder = Responder(settings.host, self._handle, MAX_BODY_BYTES)
        listener_limits = ListenerLimits(
            settings.limits.admin_threads,
            MAX_WAITING_CONNECTIONS,
            MAX_IDLE_CONNECTIONS,
            settings.limits.header_bytes,
        )
        self._listener = Listener(
            settings.listen.admin, responder.make_application(), listener_limits, "admin"
        )

    @property
    def address(self) -> str:
        """The address of the admin API."""
        return self._listener.address

    def start(self) -> None:
        """Bind and serve; raise OSError if the address can't be bound."""
        self._listener.start()

    def stop(self) -> None:
        """Close the listener."""
        self._listener.stop()

    def _handle(self, call: IncomingCall) -> Reply:
        if call.path not in self._paths:
            raise RequestError(Kind.NOT_FOUND, f"use one of {', '.join(self._paths)}")
        method, answer = self._paths[call.path]
        require_method(call, method)
        return answer(call)

    def _answer_health(self, call: IncomingCall) -> Reply:
        return make_json_reply({"healthy": True})

    def _answer_readiness(self, call: IncomingCall) -> Reply:
        view = self._holder.current
        if view.leaving:
            raise RequestError(Kind.LEAVING)
        if not view.ready:
            raise RequestError(Kind.STARTING, retry_after=RETRY_AFTER_S)
        return make_json_reply({"ready": True})

    def _answer_metrics(self, call: IncomingCall) -> Reply:
        gauges = list(make_gauges(self._holder.current, self._operations.count_in_progress()))
        return Reply(200, METRICS_CONTENT_TYPE, self._operations.render_metrics(gauges))

    def _answer_hosts(self, call: IncomingCall) -> Reply:
        return make_json_reply(self._operations.list_hosts())

    def _answer_status(self, call: IncomingCall) -> Reply:
        view, now = self._holder.current, self._clock()
        operations = self._operations
        status = describe_status(
            view, operations.count_in_progress(), operations.count_queued(), now
        )
        return make_json_reply(status)

    def _explain(self, call: IncomingCall) -> Reply:
        query = bodies.parse_json(self._read_body(call), call.get_header("Content-Type"))
        team, profile = query.get("team"), query.get("profile")
        if not isinstance(team, str) or not isinstance(profile, str):
            raise RequestError(Kind.MALFORMED, 'send {"team": NAME, "profile": NAME}')
        return make_json_reply(self._operations.explain(team, profile))

    def _drain(self, call: IncomingCall) -> Reply:
        self._read_body(call)
        self._operations.begin_leaving()
        return make_json_reply(
            {"leaving": True, "in_progress": self._operations.count_in_progress()}, 202
        )

    def _read_body(self, call: IncomingCall) -> bytes:
        return call.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_S)


def describe_status(view: View, in_progress: int, queued: int, now: float) -> dict[str, Any]:
    """Return the state of a host, with ages in seconds instead of monotonic times."""
    return {
        "host": view.host,
        "incarnation": view.incarnation,
        "domain": view.domain,
        "region": view.region,
        "revision": view.published.revision if view.published else 0,
        "ready": view.ready,
        "leaving": view.leaving,
        "platform_stale": view.platform_stale,
        "in_progress": in_progress,
        "queued": queued,
        "hosts": [_describe_state(host, now) for host in view.hosts.values()],
        "endpoints": [_describe_state(endpoint, now) for endpoint in view.endpoints.values()],
        "summaries": [_describe_state(summary, now) for summary in view.summaries.values()],
    }


AGE_FIELDS = {"heard_at": "heard_s_ago", "reported_at": "reported_s_ago", "at": "heard_s_ago"}
AGE_FIELDS["started_at"] = "started_s_ago"
LIMIT_FIELDS = {"grace_until": "grace_s_left", "usable_until": "usable_s_left"}


def _describe_state(state: Any, now: float) -> dict[str, Any]:
    return dict(_iterate_fields(state._asdict(), now))


def _iterate_fields(fields: Mapping[str, Any], now: float) -> Iterator[tuple[str, Any]]:
    for name, value in fields.items():
        if name in AGE_FIELDS:
            # An infinite time means "never" or "no limit"; JSON can't represent it.
            yield AGE_FIELDS[name], round(now - value, 3) if isfinite(value) else None
        elif name in LIMIT_FIELDS:
            yield LIMIT_FIELDS[name], round(value - now, 3) if isfinite(value) else None
        else:
            yield name, value


def make_gauges(view: View, in_progress: int) -> Iterator[Gauge]:
    """Yield the gauges of a host with their current values."""
    revision = view.published.revision if view.published else 0
    yield Gauge("revision", "Revision of the configuration in force", revision)
    yield Gauge("ready", "Whether the host takes work", float(view.ready))
    yield Gauge("leaving", "Whether the host is leaving", float(view.leaving))
    yield Gauge("platform_stale", "Whether peers know more", float(view.platform_stale))
    yield Gauge("in_progress", "Requests in progress", in_progress)
    states = Counter(
        "leaving" if endpoint.leaving else "ready" if endpoint.ready else "unready"
        for endpoint in view.endpoints.values()
    )
    for state in ("ready", "unready", "leaving"):
        yield Gauge("endpoints", "Endpoints by state", states[state], {"state": state})
    for endpoint in view.endpoints.values():
        labels = {"endpoint": endpoint.name}
        yield Gauge("endpoint_running", "Requests running", endpoint.running, labels)
        yield Gauge("endpoint_waiting", "Requests waiting", endpoint.waiting, labels)
