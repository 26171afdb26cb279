"""Histograms and counters of requests, owned by one task.

The registry is not thread-safe, so only this task uses it. Each request and each stream sends one
observation when it has ended, instead of one for each token.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Future
from itertools import accumulate
from typing import Any, NamedTuple

import aioprometheus
from aioprometheus.histogram import Histogram as Buckets

from cloverway.dispatch.tenants import TenantLabels
from cloverway.errors import Kind, Ran
from cloverway.task import Task

TIME_BOUNDS_S = (
    *(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75),
    *(1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 30.0, 60.0, 300.0),
)
"""Upper bounds of the latency buckets, in seconds."""
MAX_ENDPOINT_LABELS = 512
"""Maximum number of endpoints and failure domains with a label of their own; others share one."""
OTHER_ENDPOINTS = "_other"
UNKNOWN_CLASS = "_unknown"
SUCCESS = "ok"
RENDER_TIMEOUT_S = 5.0


class RequestEnded(NamedTuple):
    """Observation of one request that was answered or rejected. Times are seconds."""

    team: str
    urgency: str
    kind: Kind | None
    ran: Ran
    endpoint: str = ""
    attempts: int = 0
    queue_s: float = 0.0
    first_byte_s: float | None = None
    total_s: float = 0.0


class StreamEnded(NamedTuple):
    """Observation of one stream: its inter-token gaps, counted by bucket. Times are seconds."""

    team: str
    urgency: str
    tokens: int
    gap_counts: Sequence[int]
    """A count for each bound of the gaps, and one for the gaps above the last bound."""
    gap_sum_s: float


class Gauge(NamedTuple):
    """The current value of a gauge."""

    name: str
    help: str
    value: float
    labels: Mapping[str, str] = {}


class _Render(NamedTuple):
    gauges: Sequence[Gauge]


class _HistogramPair:
    """One quantity in two histograms: by priority class and by tenant."""

    def __init__(
        self, registry: aioprometheus.Registry, name: str, help_text: str, bounds: Sequence[float]
    ) -> None:
        self.bounds = bounds
        self.by_class = self._make(registry, f"cloverway_class_{name}", f"{help_text}, by class")
        self.by_tenant = self._make(registry, f"cloverway_tenant_{name}", f"{help_text}, by tenant")

    def observe(self, urgency: str, tenant: str, seconds: float) -> None:
        """Record one time."""
        self.by_class.observe({"class": urgency}, seconds)
        self.by_tenant.observe({"tenant": tenant}, seconds)

    def merge(self, urgency: str, tenant: str, counts: Sequence[int], total_s: float) -> None:
        """Add counts per bucket and the sum of their times."""
        self._merge(self.by_class, {"class": urgency}, counts, total_s)
        self._merge(self.by_tenant, {"tenant": tenant}, counts, total_s)

    def drop_tenant(self, tenant: str) -> None:
        """Remove the histogram of a tenant whose label is no longer used."""
        self.by_tenant.values.pop({"tenant": tenant}, None)

    def _make(
        self, registry: aioprometheus.Registry, name: str, help_text: str
    ) -> aioprometheus.Histogram:
        # Without an explicit registry, the histogram is added to the library's global one.
        return aioprometheus.Histogram(
            name, help_text, registry=registry, buckets=list(self.bounds)
        )

    def _merge(
        self,
        histogram: aioprometheus.Histogram,
        labels: dict[str, str],
        counts: Sequence[int],
        total_s: float,
    ) -> None:
        buckets = histogram.values.get(labels)
        if buckets is None:
            buckets = Buckets(*self.bounds, float("inf"))
            histogram.set_value(labels, buckets)
        for bound, count in zip(buckets.buckets, accumulate(counts), strict=True):
            buckets.buckets[bound] += count
        buckets.observations += sum(counts)
        buckets.sum += total_s


class Metrics:
    """Collects observations and renders them in the text format of Prometheus."""

    def __init__(self, clock: Callable[[], float], gap_bounds_s: Sequence[float]) -> None:
        self._clock = clock
        self._tenant_labels = TenantLabels(clock())
        self._endpoint_labels: set[str] = set()
        self._registry = aioprometheus.Registry()
        self._make_histograms(gap_bounds_s)
        self._make_counters()
        self._gauges: dict[str, aioprometheus.Gauge] = {}
        self._task = Task("metrics", self._handle, self._tick, period_s=1.0)

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def stop(self) -> None:
        """Stop the task once it has handled the observations sent so far."""
        self._task.stop()

    def record(self, observation: RequestEnded | StreamEnded) -> None:
        """Send an observation without waiting."""
        self._task.send(observation)

    def render(self, gauges: Sequence[Gauge] = ()) -> bytes:
        """Return all metrics as text, including the given gauges."""
        text: bytes = self._task.ask(_Render(gauges), RENDER_TIMEOUT_S)
        return text

    def _make_histograms(self, gap_bounds_s: Sequence[float]) -> None:
        registry = self._registry
        self._first_token_times = _HistogramPair(
            registry,
            "first_token_seconds",
            "Time from arrival to the first byte of the answer",
            TIME_BOUNDS_S,
        )
        self._token_gaps = _HistogramPair(
            registry,
            "token_gap_seconds",
            "Time between tokens of a stream",
            gap_bounds_s,
        )
        self._request_times = _HistogramPair(
            registry, "request_seconds", "Time from arrival to the end", TIME_BOUNDS_S
        )
        self._queue_times = _HistogramPair(
            registry,
            "queue_seconds",
            "Time from arrival to the first route",
            TIME_BOUNDS_S,
        )

    def _make_counters(self) -> None:
        self._requests = self._make_counter("requests_total", "Requests by kind of outcome")
        self._attempts = self._make_counter("attempts_total", "Attempts at endpoints, by class")
        self._endpoint_requests = self._make_counter(
            "endpoint_requests_total", "Requests by the endpoint that was tried last"
        )
        self._tokens = self._make_counter("tokens_total", "Tokens of streams")

    def _make_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(f"cloverway_{name}", help_text, registry=self._registry)

    def _handle(self, message: Any, answer: Future[Any]) -> None:
        match message:
            case RequestEnded():
                self._record_request(message)
                answer.set_result(None)
            case StreamEnded():
                self._record_stream(message)
                answer.set_result(None)
            case _Render(gauges):
                answer.set_result(self._render(gauges))

    def _tick(self) -> None:
        for tenant in self._tenant_labels.review(self._clock()):
            for pair in (
                self._first_token_times,
                self._token_gaps,
                self._request_times,
                self._queue_times,
            ):
                pair.drop_tenant(tenant)

    def _record_request(self, observation: RequestEnded) -> None:
        kind = str(observation.kind) if observation.kind is not None else SUCCESS
        urgency = observation.urgency or UNKNOWN_CLASS
        self._requests.inc({"class": urgency, "kind": kind, "ran": str(observation.ran)})
        if observation.endpoint:
            self._endpoint_requests.inc(
                {"endpoint": self._label_endpoint(observation.endpoint), "kind": kind}
            )
        if observation.attempts:
            self._attempts.add({"class": urgency}, observation.attempts)
        if not observation.team:
            return
        tenant = self._tenant_labels.choose(observation.team)
        self._request_times.observe(urgency, tenant, observation.total_s)
        if observation.attempts:
            self._queue_times.observe(urgency, tenant, observation.queue_s)
        if observation.first_byte_s is not None:
            self._first_token_times.observe(urgency, tenant, observation.first_byte_s)

    def _record_stream(self, observation: StreamEnded) -> None:
        urgency = observation.urgency or UNKNOWN_CLASS
        self._tokens.add({"class": urgency}, observation.tokens)
        tenant = self._tenant_labels.get(observation.team)
        self._token_gaps.merge(urgency, tenant, observation.gap_counts, observation.gap_sum_s)

    def _label_endpoint(self, endpoint: str) -> str:
        """Return the label of a local endpoint, or of a remote endpoint's failure domain."""
        label = endpoint.partition("/")[0] + "/" if "/" in endpoint else endpoint
        if label not in self._endpoint_labels and len(self._endpoint_labels) >= MAX_ENDPOINT_LABELS:
            return OTHER_ENDPOINTS
        self._endpoint_labels.add(label)
        return label

    def _render(self, gauges: Sequence[Gauge]) -> bytes:
        for known in self._gauges.values():
            # An endpoint that no longer exists must not keep its last value.
            known.values.clear()
        for gauge in gauges:
            if gauge.name not in self._gauges:
                self._gauges[gauge.name] = aioprometheus.Gauge(
                    f"cloverway_{gauge.name}", gauge.help, registry=self._registry
                )
            self._gauges[gauge.name].set(dict(gauge.labels), gauge.value)
        text, _ = aioprometheus.render(self._registry, ["text/plain"])
        return text
