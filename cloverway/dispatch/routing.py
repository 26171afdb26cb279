"""Candidates for a request: where it could run, and its cost there in seconds.

The cost is the predicted time to first token: wait for a slot, network latency, and prefill of what
is not cached, with a surcharge for slow destinations. The choice is made in `policies`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from cloverway.config.settings import Timing
from cloverway.dispatch.admission import QueueEntry
from cloverway.dispatch.affinity import LIKELY_CACHED_S, PrefixTable, rank_destinations
from cloverway.dispatch.catalogue import Catalogue, DomainCapacity
from cloverway.dispatch.estimates import Estimates, Mean
from cloverway.dispatch.limits import (
    HEADROOM,
    AttemptCounter,
    ConcurrencyLimit,
    estimate_others_in_flight,
    share_slots,
)
from cloverway.dispatch.outliers import OutlierDetector
from cloverway.membership.view import EndpointState, HostState, Summary, View
from cloverway.messages import LocalRoute, RemoteRoute, Route

SLOW_START_S = 10.0
SLOW_START_FRACTION = 0.25
"""Fraction of the slots that a restarted endpoint gets at first, while its cache is cold."""
STARTUP_WINDOW_S = 2.0
"""Endpoints first seen this soon after the host became ready are not treated as restarted."""
SLOW_THRESHOLD = 2.0
"""Factor over the expected time from which a destination counts as slow; less is noise."""
SLOWDOWN_HALF_LIFE_S = 20.0
"""Half-life of a measured slowdown, so that a slow destination is tried again."""
LAST_RESORT_COST_S = 2.0
"""Added cost of the last endpoint if it fails too, so that other failure domains are preferred."""
BATCH_COST_FRACTION = 0.03
"""Added cost of a full batch over an empty one, as a fraction of the service time."""
RANKED_UNCACHED_FRACTIONS = (0.1, 0.3, 0.6)
"""Assumed uncached fraction of a prompt at its first endpoints by rendezvous hash."""
AWAY_RESERVED_FRACTION = 0.1
"""Fraction of another failure domain's slots that is left free for its own callers."""


def make_domain_key(domain: str) -> str:
    """Return the key of a failure domain; the prefix avoids collisions with endpoint names."""
    return f"domain/{domain}"


def make_host_key(host: str) -> str:
    """Return the key of a host; the prefix avoids collisions with endpoint names."""
    return f"host/{host}"


class Candidate(NamedTuple):
    """One destination that could run a request."""

    name: str
    """Name of an endpoint, or key of another failure domain from `make_domain_key`."""
    route: Route
    region: str
    free: bool
    """Whether a slot is probably free."""
    sendable: bool
    """Whether the limits allow sending a request now, possibly to wait for a warm cache."""
    wait_s: float
    cost_s: float
    saved_s: float
    """Seconds that the cached prefix saves, compared to a cold cache."""
    uncached_prefill_s: float
    """Predicted prefill seconds of the uncached part of the prompt."""
    load: float
    """Estimated requests in progress over slots."""
    outstanding: int
    """Own requests in progress there."""


class DestinationRecord:
    """What this host has learned about one destination. Owned by the dispatcher."""

    def __init__(self, slots: int) -> None:
        self.attempts = AttemptCounter()
        self.limit = ConcurrencyLimit(slots)
        self._slowdown = Mean(1.0)
        self._slowdown_at = float("-inf")

    def record_slowdown(self, sample: float, now: float) -> None:
        """Record a measured time divided by the expected one."""
        self._slowdown.value = self.get_slowdown(now)
        self._slowdown.add(min(20.0, sample))
        self._slowdown_at = now

    def get_slowdown(self, now: float) -> float:
        """Return the slowdown factor of the destination; 1 is as expected."""
        decay = 0.5 ** (max(0.0, now - self._slowdown_at) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self._slowdown.value - 1.0) * decay

    def get_effective_slowdown(self, now: float) -> float:
        """Return the slowdown if it reaches SLOW_THRESHOLD, else 1.

        A destination that has become slow completes nothing for a while. The age of its attempts in
        progress shows the slowdown earlier than their completion.
        """
        slowdown = max(self.get_slowdown(now), self.attempts.compute_mean_age(now))
        return slowdown if slowdown >= SLOW_THRESHOLD else 1.0


class LearnedState:
    """All that a host has learned about destinations; everything else comes from the view."""

    def __init__(self) -> None:
        self.records: dict[str, DestinationRecord] = {}
        self.prefixes = PrefixTable()
        self.estimates = Estimates()
        self.outliers = OutlierDetector()
        self.ready_at: float | None = None
        """When this host was first ready."""

    def get_record(self, name: str, slots: int = 1) -> DestinationRecord:
        """Return the record of a destination; create it if needed."""
        if name not in self.records:
            self.records[name] = DestinationRecord(slots)
        return self.records[name]

    def prune(self, view: View, now: float) -> None:
        """Drop destinations that are no longer in the view and have nothing in flight."""
        domains = view.published.domains if view.published else ()
        known = {*view.endpoints, *(make_domain_key(domain) for domain in domains)}
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.attempts.in_flight or name in known
        }
        self.outliers.prune(now)


class Assessment(NamedTuple):
    """Load and limits of one endpoint, as this host sees it at one moment."""

    own_in_flight: int
    occupied: float
    effective_slowdown: float
    max_in_flight: float
    """Maximum number of requests that this host may have in flight there."""
    allowance: float
    """Number of requests that it may have in flight there without queueing at the endpoint."""
    pending_prefill_s: float


class Router:
    """List candidates for requests, from one view at one moment."""

    def __init__(
        self, view: View, catalogue: Catalogue, learned: LearnedState, timing: Timing, now: float
    ) -> None:
        self.view = view
        self.catalogue = catalogue
        self.learned = learned
        self.now = now
        self._known_until = view.get_known_until(now)
        self._timing = timing
        self._states: dict[str, list[EndpointState]] = {}
        self._assessments: dict[str, Assessment] = {}
        self._by_domain: dict[str, list[HostState]] = defaultdict(list)
        for host in view.hosts.values():
            self._by_domain[host.domain].append(host)
        self.hosts = 1 + sum(
            host.name != view.host and self._is_live(host) for host in self._by_domain[view.domain]
        )

    def list_local_states(self, target: str) -> list[EndpointState]:
        """Return the endpoints of this failure domain that are eligible for a target."""
        if target not in self._states:
            self._states[target] = self._find_local_states(target)
        return self._states[target]

    def assess(self, state: EndpointState) -> Assessment:
        """Return the assessment of an endpoint; it is cached until `invalidate`."""
        if state.name not in self._assessments:
            self._assessments[state.name] = self._assess(state)
        return self._assessments[state.name]

    def invalidate(self, name: str) -> None:
        """Drop the cached assessment of an endpoint after a request was sent to it."""
        self._assessments.pop(name, None)

    def _find_local_states(self, target: str) -> list[EndpointState]:
        published = self.catalogue.published
        eligible = [
            state
            for name, state in sorted(self.view.endpoints.items())
            if state.ready
            and not state.leaving
            and target in state.models
            and name in published.endpoints
            and published.endpoints[name].domain == self.view.domain
        ]
        usable = self.learned.outliers.filter_usable([state.name for state in eligible], self.now)
        return [state for state in eligible if state.name in usable]

    def list_local(self, entry: QueueEntry, states: list[EndpointState]) -> list[Candidate]:
        """Return the candidates among endpoints of this failure domain."""
        states = [state for state in states if state.name not in entry.tried]
        ranked = rank_destinations(
            entry.prefix.key, [state.name for state in states][: _get_ranking_size(entry)]
        )
        return [self._make_local_candidate(entry, state, ranked) for state in states]

    def list_away(
        self, entry: QueueEntry, allowed: frozenset[str], random: Random
    ) -> list[Candidate]:
        """Return the candidates among other failure domains in allowed regions."""
        assert not entry.request.is_forwarded, "a passed-on request is never passed on again"
        return [
            candidate
            for capacity in self.catalogue.list_capacities(entry.target)
            if capacity.domain != self.view.domain
            and capacity.region in allowed
            and make_domain_key(capacity.domain) not in entry.tried
            and not self.learned.outliers.is_paused(make_domain_key(capacity.domain), self.now)
            for candidate in self._make_away_candidates(entry, capacity, random)
        ]

    def estimate_slots(self, states: list[EndpointState]) -> float:
        """Estimate the slots that this host may fill, reduced by the slowdown of each endpoint."""
        assessments = [self.assess(state) for state in states]
        return sum(
            assessment.allowance / assessment.effective_slowdown for assessment in assessments
        )

    def has_capacity(self, states: list[EndpointState]) -> bool:
        """Return whether any endpoint may take a request now."""
        assessments = [self.assess(state) for state in states]
        return any(
            assessment.own_in_flight < assessment.max_in_flight for assessment in assessments
        )

    def count_free(self, states: list[EndpointState]) -> float:
        """Estimate the slots that this host may still fill."""
        assessments = [self.assess(state) for state in states]
        return sum(
            max(0.0, assessment.allowance - assessment.own_in_flight) for assessment in assessments
        )

    def is_warming(self, state: EndpointState) -> bool:
        """Return whether an endpoint restarted recently, so that its cache is cold."""
        ready_at = self.learned.ready_at
        if ready_at is None or state.started_at <= ready_at + STARTUP_WINDOW_S:
            return False
        return self.now < state.started_at + SLOW_START_S

    def _make_local_candidate(
        self, entry: QueueEntry, state: EndpointState, ranked: list[str]
    ) -> Candidate:
        assessment = self.assess(state)
        effective_slowdown = assessment.effective_slowdown
        service_s = entry.cost_s * effective_slowdown
        wait_s = max(0.0, assessment.occupied + 1 - state.slots) / state.slots * service_s
        estimates = self.learned.estimates
        full_prefill_s = estimates.estimate_prefill_s(entry.target, entry.prefix.length)
        prefill_s = estimates.estimate_prefill_s(
            entry.target, self._estimate_uncached_bytes(entry, state, ranked)
        )
        total_prefill_s = assessment.pending_prefill_s * self.hosts + prefill_s
        if self.learned.outliers.is_paused(state.name, self.now):
            wait_s += LAST_RESORT_COST_S
        first_token_s = estimates.estimate_first_token_s(entry.target, 0)
        cost_s = (
            wait_s
            + (first_token_s + total_prefill_s) * effective_slowdown
            + (effective_slowdown - 1) * entry.cost_s
        )
        load = assessment.occupied / state.slots
        free = assessment.own_in_flight < assessment.allowance
        saved_s = full_prefill_s - prefill_s
        return Candidate(
            name=state.name,
            route=LocalRoute(state.name, self.catalogue.published.endpoints[state.name].url),
            region=self.view.region,
            free=free,
            sendable=free
            or (wait_s < saved_s and assessment.own_in_flight < assessment.max_in_flight),
            wait_s=wait_s,
            cost_s=cost_s + BATCH_COST_FRACTION * service_s * min(1.0, load),
            saved_s=saved_s,
            uncached_prefill_s=prefill_s,
            load=load,
            outstanding=assessment.own_in_flight,
        )

    def _make_away_candidates(
        self, entry: QueueEntry, capacity: DomainCapacity, random: Random
    ) -> Iterator[Candidate]:
        name = make_domain_key(capacity.domain)
        host = self._choose_host(capacity.domain, entry.tried, random)
        summary = self.view.summaries.get((capacity.domain, entry.target))
        if host is None or (summary is not None and not self.is_usable(summary)):
            return
        attempts = self.learned.get_record(name).attempts
        free = self._estimate_free(capacity, summary, attempts)
        slots = max(1, capacity.slots * (summary.ready if summary else 1) // capacity.endpoints)
        queued = summary.waiting if summary else 0
        spare_slots = free - AWAY_RESERVED_FRACTION * slots
        wait_s = 0.0 if spare_slots >= 1 else (1 - spare_slots + queued) / slots * entry.cost_s
        since = self.now - LIKELY_CACHED_S
        matched = self.learned.prefixes.count_matching_blocks(name, "", entry.prefix, since)
        prefill_s = self.learned.estimates.estimate_prefill_s(
            entry.target, entry.prefix.count_uncached_bytes(matched)
        )
        round_trip_s = 2 * self.catalogue.get_latency_s(self.view.region, capacity.region)
        first_token_s = self.learned.estimates.estimate_first_token_s(entry.target, 0)
        load = min(1.0, max(0.0, 1 - free / slots))
        yield Candidate(
            name=name,
            route=RemoteRoute(capacity.domain, host, self.catalogue.published.hosts[host].peers),
            region=capacity.region,
            free=summary is not None and spare_slots >= 1,
            sendable=True,
            wait_s=wait_s,
            cost_s=round_trip_s
            + wait_s
            + first_token_s
            + prefill_s
            + BATCH_COST_FRACTION * entry.cost_s * load,
            saved_s=0.0,
            uncached_prefill_s=prefill_s,
            load=load,
            outstanding=attempts.in_flight,
        )

    def _estimate_free(
        self, capacity: DomainCapacity, summary: Summary | None, attempts: AttemptCounter
    ) -> float:
        """Estimate the free slots of a failure domain, minus what this one has sent since then."""
        if summary is None:
            return capacity.slots - attempts.in_flight * self.hosts
        sent = max(0, attempts.in_flight - attempts.count_at(summary.at))
        return summary.free - sent * self.hosts

    def _choose_host(self, domain: str, tried: frozenset[str], random: Random) -> str | None:
        """Choose the less loaded of two random live hosts.

        If this host has never heard of any of them by gossip, choose any published one.
        """
        published = self._list_usable_hosts(domain, tried)
        heard_hosts = [host for host in self._by_domain[domain] if host.heard_at != float("-inf")]
        if not heard_hosts:
            return random.choice(published) if published else None
        live = [
            host
            for host in heard_hosts
            if self._is_live(host) and not host.overloaded and host.name in published
        ]
        if not live:
            return None
        pair = random.sample(live, min(2, len(live)))
        return min(pair, key=lambda host: host.load).name

    def _list_usable_hosts(self, domain: str, tried: frozenset[str]) -> list[str]:
        """Return the published hosts of a failure domain that are not tried and not ejected.

        A request that could not reach another host there gets the last ejected one, since the
        failures of that host may have been due to something else. Other requests don't wait for it.
        """
        names = [
            name for name in self.catalogue.list_hosts(domain) if make_host_key(name) not in tried
        ]
        usable = [
            name
            for name in names
            if not self.learned.outliers.is_paused(make_host_key(name), self.now)
        ]
        is_retry = len(names) < len(self.catalogue.list_hosts(domain))
        if usable or not is_retry:
            return usable
        last = self.learned.outliers.filter_usable(list(map(make_host_key, names)), self.now)
        return [name for name in names if make_host_key(name) in last]

    def _is_live(self, host: HostState) -> bool:
        return not host.leaving and host.is_alive(self._known_until, self._timing.suspect_s)

    def is_usable(self, summary: Summary) -> bool:
        """Return whether a failure domain is reachable and has ready endpoints."""
        return summary.ready > 0 and self._known_until < summary.usable_until

    def _assess(self, state: EndpointState) -> Assessment:
        record = self.learned.get_record(state.name, state.slots)
        own_in_flight = record.attempts.in_flight
        others = estimate_others_in_flight(state, record.attempts, self.hosts, self.now)
        max_in_flight = self._compute_max_in_flight(state, record)
        share = share_slots(state.slots, self.hosts)
        return Assessment(
            own_in_flight=own_in_flight,
            occupied=own_in_flight + others,
            effective_slowdown=record.get_effective_slowdown(self.now),
            max_in_flight=max_in_flight,
            allowance=min(max(float(share), state.slots - others), max_in_flight),
            pending_prefill_s=max(0.0, record.attempts.pending_prefill_s),
        )

    def _compute_max_in_flight(self, state: EndpointState, record: DestinationRecord) -> float:
        limit = min(record.limit.value, state.slots * HEADROOM)
        if not self.is_warming(state):
            return limit
        ramp_fraction = SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * (
            (self.now - state.started_at) / SLOW_START_S
        )
        return max(1.0, ramp_fraction * limit)

    def _estimate_uncached_bytes(
        self, entry: QueueEntry, state: EndpointState, ranked: list[str]
    ) -> float:
        matched = self.learned.prefixes.count_matching_blocks(
            state.name, state.incarnation, entry.prefix, self.now - LIKELY_CACHED_S
        )
        uncached = float(entry.prefix.count_uncached_bytes(matched))
        assumed_fractions = dict(zip(ranked, RANKED_UNCACHED_FRACTIONS, strict=False))
        return min(uncached, entry.prefix.length * assumed_fractions.get(state.name, 1.0))


def _get_ranking_size(entry: QueueEntry) -> int | None:
    """Return how many endpoints to rank: all (None), or none for a prompt without a full block."""
    return None if entry.prefix.key else 0
