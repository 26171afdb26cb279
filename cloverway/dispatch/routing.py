"""Candidates for a request: where it could run, and what it would cost there in seconds.

A cost is the predicted time to the first token: wait for a slot, trip, and reading what the cache
doesn't hold; slow places pay for their slowness too. Nothing here chooses; `policies` does.
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
from cloverway.messages import Away, Local, Route

SLOW_START_S = 10.0
SLOW_START_FRACTION = 0.25
"""Part of the slots that a returning endpoint gets at first, while its cache is cold."""
STARTUP_WINDOW_S = 2.0
"""Endpoints that were first seen this soon after the host's own start aren't returning ones."""
SLOW_THRESHOLD = 2.0
"""Answers this much slower than expected make a place slow; less is chance."""
SLOWDOWN_HALF_LIFE_S = 20.0
"""A slow place is believed to mend, so that it is tried again."""
LAST_RESORT_COST_S = 2.0
"""Cost of the last endpoint when it fails too: other failure domains are better while they work."""
BATCH_COST_FRACTION = 0.03
"""Part of the service time that a full batch costs against an empty one."""
RANKED_UNCACHED_FRACTIONS = (0.1, 0.3, 0.6)
"""Part of a prompt believed cold at its first and second place by rendezvous hash."""
MAX_SUMMARY_AGE_PERIODS = 5
"""A summary that missed this many of its periods says that the failure domain is cut off."""
AWAY_RESERVED_FRACTION = 0.1
"""Part of another failure domain's slots that is left free for its own callers."""


def make_domain_key(domain: str) -> str:
    """Name a failure domain among places; an endpoint may have the same published name."""
    return f"domain/{domain}"


def make_host_key(host: str) -> str:
    """Name a host among places; an endpoint may have the same published name."""
    return f"host/{host}"


class Candidate(NamedTuple):
    """One place that could run a request."""

    name: str
    """Name of an endpoint, or of another failure domain as `name_domain` gives it."""
    route: Route
    region: str
    free: bool
    """Whether a slot is probably free."""
    sendable: bool
    """Whether the limits let a request go there now, if only to wait for a warm cache."""
    wait_s: float
    cost_s: float
    saved_s: float
    """What a warm cache takes off, against a cold one."""
    uncached_prefill_s: float
    """Predicted time to read what the cache doesn't hold."""
    load: float
    """Estimated requests in progress over slots."""
    outstanding: int
    """Own requests in progress there."""


class DestinationRecord:
    """What this host has learnt about one place. Owned by the dispatcher."""

    def __init__(self, slots: int) -> None:
        self.attempts = AttemptCounter()
        self.limit = ConcurrencyLimit(slots)
        self._slowdown = Mean(1.0)
        self._slowdown_at = float("-inf")

    def record_slowdown(self, sample: float, now: float) -> None:
        """Take in a time over the expected one."""
        self._slowdown.value = self.slowdown(now)
        self._slowdown.add(min(20.0, sample))
        self._slowdown_at = now

    def slowdown(self, now: float) -> float:
        """Give how slow the place is: 1 is as expected."""
        faded = 0.5 ** (max(0.0, now - self._slowdown_at) / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self._slowdown.value - 1.0) * faded

    def effective_slowdown(self, now: float) -> float:
        """Give the pace where it stands out, from ended attempts and from those in progress.

        A place that has become slow finishes nothing for a while; the age of its attempts in
        progress shows it before their end does.
        """
        slowdown = max(self.slowdown(now), self.attempts.mean_age(now))
        return slowdown if slowdown >= SLOW_THRESHOLD else 1.0


class LearnedState:
    """All that a host has learnt about places; the rest comes from the view."""

    def __init__(self) -> None:
        self.records: dict[str, DestinationRecord] = {}
        self.prefixes = PrefixTable()
        self.estimates = Estimates()
        self.outliers = OutlierDetector()
        self.ready_at: float | None = None
        """When this host was first ready."""

    def get_record(self, name: str, slots: int = 1) -> DestinationRecord:
        """Give the record of a place."""
        if name not in self.records:
            self.records[name] = DestinationRecord(slots)
        return self.records[name]

    def prune(self, view: View, now: float) -> None:
        """Forget places that are gone from the view and have nothing in flight."""
        domains = view.published.domains if view.published else ()
        known = {*view.endpoints, *(make_domain_key(domain) for domain in domains)}
        self.records = {
            name: record
            for name, record in self.records.items()
            if record.attempts.in_flight or name in known
        }
        self.outliers.prune(now)


class Assessment(NamedTuple):
    """How one endpoint stands for this host at one moment."""

    own: int
    occupied: float
    effective_slowdown: float
    max_in_flight: float
    """What this host may have in flight there at most."""
    allowance: float
    """What it may have in flight there without making the endpoint queue."""
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
        """List the endpoints of this failure domain that may be chosen for a target at all."""
        if target not in self._states:
            self._states[target] = self._find_local_states(target)
        return self._states[target]

    def assess(self, state: EndpointState) -> Assessment:
        """Say how an endpoint stands, once for each moment."""
        if state.name not in self._assessments:
            self._assessments[state.name] = self._assess(state)
        return self._assessments[state.name]

    def invalidate(self, name: str) -> None:
        """Look at an endpoint again, after it was given a request."""
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
        """List candidates among endpoints of this failure domain."""
        states = [state for state in states if state.name not in entry.tried]
        ranked = rank_destinations(
            entry.prefix.key, [state.name for state in states][: _get_ranking_size(entry)]
        )
        return [self._make_local_candidate(entry, state, ranked) for state in states]

    def list_away(
        self, entry: QueueEntry, allowed: frozenset[str], random: Random
    ) -> list[Candidate]:
        """List candidates among other failure domains in allowed regions."""
        assert not entry.request.passed_on, "a passed-on request is never passed on again"
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
        """Estimate the slots that this host may fill, each by the pace of its endpoint."""
        assessments = [self.assess(state) for state in states]
        return sum(
            assessment.allowance / assessment.effective_slowdown for assessment in assessments
        )

    def has_room(self, states: list[EndpointState]) -> bool:
        """Tell whether any endpoint may take a request now."""
        assessments = [self.assess(state) for state in states]
        return any(assessment.own < assessment.max_in_flight for assessment in assessments)

    def count_free(self, states: list[EndpointState]) -> float:
        """Estimate the slots that this host may still fill."""
        assessments = [self.assess(state) for state in states]
        return sum(max(0.0, assessment.allowance - assessment.own) for assessment in assessments)

    def is_warming(self, state: EndpointState) -> bool:
        """Tell whether an endpoint came back lately, so that its cache is cold."""
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
        full_prefill_s = estimates.prefill_s(entry.target, entry.prefix.length)
        prefill_s = estimates.prefill_s(
            entry.target, self._estimate_uncached_bytes(entry, state, ranked)
        )
        total_prefill_s = assessment.pending_prefill_s * self.hosts + prefill_s
        if self.learned.outliers.is_paused(state.name, self.now):
            wait_s += LAST_RESORT_COST_S
        first_token_s = estimates.first_token_s(entry.target, 0)
        cost_s = (
            wait_s
            + (first_token_s + total_prefill_s) * effective_slowdown
            + (effective_slowdown - 1) * entry.cost_s
        )
        load = assessment.occupied / state.slots
        free = assessment.own < assessment.allowance
        saved_s = full_prefill_s - prefill_s
        return Candidate(
            name=state.name,
            route=Local(state.name, self.catalogue.published.endpoints[state.name].url),
            region=self.view.region,
            free=free,
            sendable=free or (wait_s < saved_s and assessment.own < assessment.max_in_flight),
            wait_s=wait_s,
            cost_s=cost_s + BATCH_COST_FRACTION * service_s * min(1.0, load),
            saved_s=saved_s,
            uncached_prefill_s=prefill_s,
            load=load,
            outstanding=assessment.own,
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
        room = free - AWAY_RESERVED_FRACTION * slots
        wait_s = 0.0 if room >= 1 else (1 - room + queued) / slots * entry.cost_s
        since = self.now - LIKELY_CACHED_S
        matched = self.learned.prefixes.count_matching_blocks(name, "", entry.prefix, since)
        prefill_s = self.learned.estimates.prefill_s(
            entry.target, entry.prefix.uncached_bytes(matched)
        )
        round_trip_s = 2 * self.catalogue.get_latency_s(self.view.region, capacity.region)
        first_token_s = self.learned.estimates.first_token_s(entry.target, 0)
        load = min(1.0, max(0.0, 1 - free / slots))
        yield Candidate(
            name=name,
            route=Away(capacity.domain, host, self.catalogue.published.hosts[host].peers),
            region=capacity.region,
            free=summary is not None and room >= 1,
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
        """Estimate the free slots of a failure domain, less what this one has sent since."""
        if summary is None:
            return capacity.slots - attempts.in_flight * self.hosts
        sent = max(0, attempts.in_flight - attempts.count_at(summary.at))
        return summary.free - sent * self.hosts

    def _choose_host(self, domain: str, tried: frozenset[str], random: Random) -> str | None:
        """Choose the less loaded of two live hosts; any published one where none was ever heard."""
        published = [
            name
            for name in self.catalogue.hosts(domain)
            if make_host_key(name) not in tried
            and not self.learned.outliers.is_paused(make_host_key(name), self.now)
        ]
        heard = [host for host in self._by_domain[domain] if host.heard_at != float("-inf")]
        if not heard:
            return random.choice(published) if published else None
        live = [
            host
            for host in heard
            if self._is_live(host) and not host.overloaded and host.name in published
        ]
        if not live:
            return None
        pair = random.sample(live, min(2, len(live)))
        return min(pair, key=lambda host: host.load).name

    def _is_live(self, host: HostState) -> bool:
        return not host.leaving and self.now - host.heard_at <= self._timing.suspect_s

    def is_usable(self, summary: Summary) -> bool:
        """Tell whether a summary is young enough and offers anything."""
        age = self.now - summary.at
        return summary.ready > 0 and age <= MAX_SUMMARY_AGE_PERIODS * self._timing.summary_s

    def _assess(self, state: EndpointState) -> Assessment:
        record = self.learned.get_record(state.name, state.slots)
        own = record.attempts.in_flight
        others = estimate_others_in_flight(state, record.attempts, self.hosts, self.now)
        max_in_flight = self._compute_max_in_flight(state, record)
        share = share_slots(state.slots, self.hosts)
        return Assessment(
            own=own,
            occupied=own + others,
            effective_slowdown=record.effective_slowdown(self.now),
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
        uncached = float(entry.prefix.uncached_bytes(matched))
        likely = dict(zip(ranked, RANKED_UNCACHED_FRACTIONS, strict=False))
        return min(uncached, entry.prefix.length * likely.get(state.name, 1.0))


def _get_ranking_size(entry: QueueEntry) -> int | None:
    """Rank no place for a prompt that is too short to be worth a cache."""
    return None if entry.prefix.key else 0
