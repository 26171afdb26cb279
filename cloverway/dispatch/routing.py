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
from cloverway.dispatch.admission import Waiting
from cloverway.dispatch.affinity import SURELY_S, PrefixTable, rank_places
from cloverway.dispatch.catalogue import Catalogue, Offer
from cloverway.dispatch.estimates import Estimates, Mean
from cloverway.dispatch.limits import HEADROOM, Flight, Limit, estimate_others, share_slots
from cloverway.dispatch.outliers import Outliers
from cloverway.membership.view import EndpointState, HostState, Summary, View
from cloverway.messages import Away, Local, Route

SLOW_START_S = 10.0
SLOW_START_PART = 0.25
"""Part of the slots that a returning endpoint gets at first, while its cache is cold."""
SAME_TIME_S = 2.0
"""Endpoints that were first seen this soon after the host's own start aren't returning ones."""
OUTLYING_PACE = 2.0
"""Answers this much slower than expected make a place slow; less is chance."""
PACE_HALF_LIFE_S = 20.0
"""A slow place is believed to mend, so that it is tried again."""
LAST_RESORT_S = 2.0
"""Cost of the last endpoint when it fails too: other failure domains are better while they work."""
BUSY_PART = 0.03
"""Part of the service time that a full batch costs against an empty one."""
LIKELY_WARM = (0.1, 0.3, 0.6)
"""Part of a prompt believed cold at its first and second place by rendezvous hash."""
SUMMARY_AGE_PERIODS = 5
"""A summary that missed this many of its periods says that the failure domain is cut off."""
SPARE_PART = 0.1
"""Part of another failure domain's slots that is left free for its own callers."""


def name_domain(domain: str) -> str:
    """Name a failure domain among places; an endpoint may have the same published name."""
    return f"domain/{domain}"


def name_host(host: str) -> str:
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
    read_s: float
    """Predicted time to read what the cache doesn't hold."""
    load: float
    """Estimated requests in progress over slots."""
    outstanding: int
    """Own requests in progress there."""


class Tracked:
    """What this host has learnt about one place. Owned by the dispatcher."""

    def __init__(self, slots: int) -> None:
        self.flight = Flight()
        self.limit = Limit(slots)
        self._pace = Mean(1.0)
        self._pace_at = float("-inf")

    def note_pace(self, sample: float, now: float) -> None:
        """Take in a time over the expected one."""
        self._pace.value = self.pace(now)
        self._pace.add(min(20.0, sample))
        self._pace_at = now

    def pace(self, now: float) -> float:
        """Give how slow the place is: 1 is as expected."""
        faded = 0.5 ** (max(0.0, now - self._pace_at) / PACE_HALF_LIFE_S)
        return 1.0 + (self._pace.value - 1.0) * faded

    def slowness(self, now: float) -> float:
        """Give the pace where it stands out, from ended attempts and from those in progress.

        A place that has become slow finishes nothing for a while; the age of its attempts in
        progress shows it before their end does.
        """
        pace = max(self.pace(now), self.flight.mean_age(now))
        return pace if pace >= OUTLYING_PACE else 1.0


class Knowledge:
    """All that a host has learnt about places; the rest comes from the view."""

    def __init__(self) -> None:
        self.tracked: dict[str, Tracked] = {}
        self.prefixes = PrefixTable()
        self.estimates = Estimates()
        self.outliers = Outliers()
        self.ready_at: float | None = None
        """When this host was first ready."""

    def track(self, name: str, slots: int = 1) -> Tracked:
        """Give the record of a place."""
        if name not in self.tracked:
            self.tracked[name] = Tracked(slots)
        return self.tracked[name]

    def prune(self, view: View, now: float) -> None:
        """Forget places that are gone from the view and have nothing in flight."""
        domains = view.published.domains if view.published else ()
        known = {*view.endpoints, *(name_domain(domain) for domain in domains)}
        self.tracked = {
            name: tracked
            for name, tracked in self.tracked.items()
            if tracked.flight.in_flight or name in known
        }
        self.outliers.prune(now)


class Standing(NamedTuple):
    """How one endpoint stands for this host at one moment."""

    own: int
    occupied: float
    slowness: float
    cap: float
    """What this host may have in flight there at most."""
    allowance: float
    """What it may have in flight there without making the endpoint queue."""
    reading_s: float


class Router:
    """List candidates for requests, from one view at one moment."""

    def __init__(
        self, view: View, catalogue: Catalogue, knowledge: Knowledge, timing: Timing, now: float
    ) -> None:
        self.view = view
        self.catalogue = catalogue
        self.knowledge = knowledge
        self.now = now
        self._timing = timing
        self._states: dict[str, list[EndpointState]] = {}
        self._standings: dict[str, Standing] = {}
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

    def stand(self, state: EndpointState) -> Standing:
        """Say how an endpoint stands, once for each moment."""
        if state.name not in self._standings:
            self._standings[state.name] = self._find_standing(state)
        return self._standings[state.name]

    def forget(self, name: str) -> None:
        """Look at an endpoint again, after it was given a request."""
        self._standings.pop(name, None)

    def _find_local_states(self, target: str) -> list[EndpointState]:
        published = self.catalogue.published
        fit = [
            state
            for name, state in sorted(self.view.endpoints.items())
            if state.ready
            and not state.leaving
            and target in state.models
            and name in published.endpoints
            and published.endpoints[name].domain == self.view.domain
        ]
        usable = self.knowledge.outliers.keep_usable([state.name for state in fit], self.now)
        return [state for state in fit if state.name in usable]

    def list_local(self, entry: Waiting, states: list[EndpointState]) -> list[Candidate]:
        """List candidates among endpoints of this failure domain."""
        states = [state for state in states if state.name not in entry.tried]
        ranked = rank_places(entry.prefix.key, [state.name for state in states][: _ranked(entry)])
        return [self._weigh_local(entry, state, ranked) for state in states]

    def list_away(self, entry: Waiting, allowed: frozenset[str], random: Random) -> list[Candidate]:
        """List candidates among other failure domains in allowed regions."""
        assert not entry.request.passed_on, "a passed-on request is never passed on again"
        return [
            candidate
            for offer in self.catalogue.offers(entry.target)
            if offer.domain != self.view.domain
            and offer.region in allowed
            and name_domain(offer.domain) not in entry.tried
            and not self.knowledge.outliers.is_paused(name_domain(offer.domain), self.now)
            for candidate in self._weigh_away(entry, offer, random)
        ]

    def measure_slots(self, states: list[EndpointState]) -> float:
        """Estimate the slots that this host may fill, each by the pace of its endpoint."""
        standings = [self.stand(state) for state in states]
        return sum(standing.allowance / standing.slowness for standing in standings)

    def has_room(self, states: list[EndpointState]) -> bool:
        """Tell whether any endpoint may take a request now."""
        standings = [self.stand(state) for state in states]
        return any(standing.own < standing.cap for standing in standings)

    def count_free(self, states: list[EndpointState]) -> float:
        """Estimate the slots that this host may still fill."""
        standings = [self.stand(state) for state in states]
        return sum(max(0.0, standing.allowance - standing.own) for standing in standings)

    def is_warming(self, state: EndpointState) -> bool:
        """Tell whether an endpoint came back lately, so that its cache is cold."""
        ready_at = self.knowledge.ready_at
        if ready_at is None or state.started_at <= ready_at + SAME_TIME_S:
            return False
        return self.now < state.started_at + SLOW_START_S

    def _weigh_local(self, entry: Waiting, state: EndpointState, ranked: list[str]) -> Candidate:
        standing = self.stand(state)
        slowness = standing.slowness
        service_s = entry.cost_s * slowness
        wait_s = max(0.0, standing.occupied + 1 - state.slots) / state.slots * service_s
        estimates = self.knowledge.estimates
        all_cold_s = estimates.cold_s(entry.target, entry.prefix.length)
        cold_s = estimates.cold_s(entry.target, self._cold_bytes(entry, state, ranked))
        read_s = standing.reading_s * self.hosts + cold_s
        if self.knowledge.outliers.is_paused(state.name, self.now):
            wait_s += LAST_RESORT_S
        first_s = estimates.first_s(entry.target, 0)
        cost_s = wait_s + (first_s + read_s) * slowness + (slowness - 1) * entry.cost_s
        load = standing.occupied / state.slots
        free = standing.own < standing.allowance
        saved_s = all_cold_s - cold_s
        return Candidate(
            name=state.name,
            route=Local(state.name, self.catalogue.published.endpoints[state.name].url),
            region=self.view.region,
            free=free,
            sendable=free or (wait_s < saved_s and standing.own < standing.cap),
            wait_s=wait_s,
            cost_s=cost_s + BUSY_PART * service_s * min(1.0, load),
            saved_s=saved_s,
            read_s=cold_s,
            load=load,
            outstanding=standing.own,
        )

    def _weigh_away(self, entry: Waiting, offer: Offer, random: Random) -> Iterator[Candidate]:
        name = name_domain(offer.domain)
        host = self._choose_host(offer.domain, entry.tried, random)
        summary = self.view.summaries.get((offer.domain, entry.target))
        if host is None or (summary is not None and not self.is_usable(summary)):
            return
        flight = self.knowledge.track(name).flight
        free = self._estimate_free(offer, summary, flight)
        slots = max(1, offer.slots * (summary.ready if summary else 1) // offer.endpoints)
        queued = summary.waiting if summary else 0
        room = free - SPARE_PART * slots
        wait_s = 0.0 if room >= 1 else (1 - room + queued) / slots * entry.cost_s
        since = self.now - SURELY_S
        matched = self.knowledge.prefixes.count_matched(name, "", entry.prefix, since)
        cold_s = self.knowledge.estimates.cold_s(entry.target, entry.prefix.cold_bytes(matched))
        trip_s = 2 * self.catalogue.trip_s(self.view.region, offer.region)
        first_s = self.knowledge.estimates.first_s(entry.target, 0)
        load = min(1.0, max(0.0, 1 - free / slots))
        yield Candidate(
            name=name,
            route=Away(offer.domain, host, self.catalogue.published.hosts[host].peers),
            region=offer.region,
            free=summary is not None and room >= 1,
            sendable=True,
            wait_s=wait_s,
            cost_s=trip_s + wait_s + first_s + cold_s + BUSY_PART * entry.cost_s * load,
            saved_s=0.0,
            read_s=cold_s,
            load=load,
            outstanding=flight.in_flight,
        )

    def _estimate_free(self, offer: Offer, summary: Summary | None, flight: Flight) -> float:
        """Estimate the free slots of a failure domain, less what this one has sent since."""
        if summary is None:
            return offer.slots - flight.in_flight * self.hosts
        sent = max(0, flight.in_flight - flight.count_at(summary.at))
        return summary.free - sent * self.hosts

    def _choose_host(self, domain: str, tried: frozenset[str], random: Random) -> str | None:
        """Choose the less loaded of two live hosts; any published one where none was ever heard."""
        published = [
            name
            for name in self.catalogue.hosts(domain)
            if name_host(name) not in tried
            and not self.knowledge.outliers.is_paused(name_host(name), self.now)
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
        return summary.ready > 0 and age <= SUMMARY_AGE_PERIODS * self._timing.summary_s

    def _find_standing(self, state: EndpointState) -> Standing:
        tracked = self.knowledge.track(state.name, state.slots)
        own = tracked.flight.in_flight
        others = estimate_others(state, tracked.flight, self.hosts, self.now)
        cap = self._find_cap(state, tracked)
        share = share_slots(state.slots, self.hosts)
        return Standing(
            own=own,
            occupied=own + others,
            slowness=tracked.slowness(self.now),
            cap=cap,
            allowance=min(max(float(share), state.slots - others), cap),
            reading_s=max(0.0, tracked.flight.reading_s),
        )

    def _find_cap(self, state: EndpointState, tracked: Tracked) -> float:
        limit = min(tracked.limit.value, state.slots * HEADROOM)
        if not self.is_warming(state):
            return limit
        ramp = SLOW_START_PART + (1 - SLOW_START_PART) * (
            (self.now - state.started_at) / SLOW_START_S
        )
        return max(1.0, ramp * limit)

    def _cold_bytes(self, entry: Waiting, state: EndpointState, ranked: list[str]) -> float:
        matched = self.knowledge.prefixes.count_matched(
            state.name, state.incarnation, entry.prefix, self.now - SURELY_S
        )
        cold = float(entry.prefix.cold_bytes(matched))
        likely = dict(zip(ranked, LIKELY_WARM, strict=False))
        return min(cold, entry.prefix.length * likely.get(state.name, 1.0))


def _ranked(entry: Waiting) -> int | None:
    """Rank no place for a prompt that is too short to be worth a cache."""
    return None if entry.prefix.key else 0
