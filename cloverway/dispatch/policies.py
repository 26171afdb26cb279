"""Policies that choose among candidates. All but HomeFirst are baselines for benchmarks.

Home is the failure domain of this host; candidates in other failure domains are away.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import NamedTuple, Protocol

from cloverway.config.schema import Objective, Urgency
from cloverway.dispatch.admission import QueueEntry
from cloverway.dispatch.routing import Candidate

SENT_AWAY_FRACTION = 0.25
"""Extra wait at home before a request is sent away, at equal weights, as a fraction of its service
time."""
MIN_TAIL_WEIGHT = 0.01
"""Lower bound on the weight of tail latency, by which the surcharge is divided."""
URGENCY_FACTOR = {Urgency.BATCH: 2.0, Urgency.NORMAL: 1.0, Urgency.URGENT: 0.5}
"""Factor on the surcharge for sending a request away."""
HYSTERESIS_FRACTION = 0.1
"""Hysteresis: fraction of the service time that the first request sent away must gain."""
TAIL_WAIT_FACTOR = 3.0
"""Maximum excess of the slowest waits over the predicted mean wait, as a multiple of the latter."""
WARM_WAIT_FACTOR = 1.0
"""Maximum wait for a warm cache, as a multiple of the time it saves."""
COST_JITTER_FRACTION = 0.01
"""Random jitter on costs as a fraction of the service time, so that hosts choose differently."""


class Reach(Enum):
    """Scope of the search for candidates."""

    HOME = "home"
    NEEDED = "needed"
    """In other failure domains only if home has no good candidate."""
    ALL = "all"


class HomeEstimate(NamedTuple):
    """Predictions for a request that waits in this failure domain because no slot is free."""

    cost_s: float
    """Predicted time to first token including the queue; infinite if home can't serve it."""
    meets_deadline: bool
    """Whether it would still meet its deadline after the predicted wait."""
    wait_s: float
    """Predicted wait in the queue."""


class PlacementOptions(NamedTuple):
    """Inputs of one choice."""

    entry: QueueEntry
    local: Sequence[Candidate]
    away: Sequence[Candidate]
    home: HomeEstimate
    recently_sent_away: bool = False
    """Whether requests for this target were recently sent to another region."""
    waited_s: float = 0.0
    """Time that the request has waited for a route."""


def should_wait_for_warm_cache(options: PlacementOptions, free_candidate: Candidate) -> bool:
    """Return whether to wait for a slot at an endpoint with a warmer cache than the free one.

    Under load the endpoint with the warm cache is mostly full. A request that takes the first free
    slot elsewhere evicts cache entries that other requests need there, until no cache is useful.
    Waiting for as long as the extra prefill would take costs no more than that prefill, and the
    slot usually becomes free sooner. Urgent requests don't wait, because only few slots are
    reserved for them.
    """
    if options.entry.urgency is Urgency.URGENT:
        return False
    max_saved_s = max((destination.saved_s for destination in options.local), default=0.0)
    return options.waited_s < WARM_WAIT_FACTOR * (max_saved_s - free_candidate.saved_s)


class Policy(Protocol):
    """Choose among candidates; None leaves the request in the queue."""

    reach: Reach
    """Scope of the search for candidates of a newly arrived request."""

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        ...

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Return the cost of another failure domain including the policy's surcharge."""
        ...


class HomeFirst:
    """Choose the lowest predicted cost, and prefer home unless another region gains enough."""

    reach = Reach.NEEDED

    def __init__(self, objective: Callable[[], Objective], region: str) -> None:
        self._objective = objective
        self._region = region

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        jitter_s = COST_JITTER_FRACTION * options.entry.cost_s
        best_local = min(
            (candidate for candidate in options.local if candidate.sendable),
            key=lambda candidate: candidate.cost_s + random.uniform(0, jitter_s),
            default=None,
        )
        if best_local is not None and should_wait_for_warm_cache(options, best_local):
            return None
        home_cost_s = best_local.cost_s if best_local else self.adjust_home_cost(options.home)
        best_away = min(
            (
                destination
                for destination in options.away
                if destination.free or home_cost_s == float("inf")
            ),
            key=lambda destination: self.adjust_away_cost(destination, options),
            default=None,
        )
        if best_away is None or self.adjust_away_cost(best_away, options) >= home_cost_s:
            return best_local
        return best_away

    def adjust_home_cost(self, home: HomeEstimate) -> float:
        """Return the cost of waiting at home, above the mean wait if tail latency matters."""
        objective = self._objective()
        total_weight = objective.tail_latency + objective.sent_away
        fraction = objective.tail_latency / total_weight if total_weight > 0 else 0.5
        return home.cost_s + TAIL_WAIT_FACTOR * fraction * home.wait_s

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Return the cost of another failure domain including the surcharge by the objective.

        A request that would miss its deadline at home has no surcharge.
        """
        if destination.region == self._region or not options.home.meets_deadline:
            return destination.cost_s
        objective = self._objective()
        weight = objective.sent_away / max(objective.tail_latency, MIN_TAIL_WEIGHT)
        fraction = SENT_AWAY_FRACTION * weight * URGENCY_FACTOR[options.entry.urgency]
        if not options.recently_sent_away:
            fraction += HYSTERESIS_FRACTION
        return destination.cost_s + fraction * options.entry.cost_s


class UnadjustedAwayCost:
    """Add no surcharge to the cost of another failure domain."""

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Return the cost of another failure domain including the policy's surcharge."""
        return destination.cost_s


class BaselinePolicy(UnadjustedAwayCost):
    """Choose among free candidates at home by a rule; away only if home can't serve."""

    reach = Reach.NEEDED

    def __init__(self, rule: Callable[[Sequence[Candidate], Random], Candidate]) -> None:
        self._rule = rule

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        if options.local or options.home.cost_s < float("inf"):
            free = [candidate for candidate in options.local if candidate.free]
            return self._rule(free, random) if free else None
        return min(options.away, key=lambda candidate: candidate.cost_s, default=None)


class GlobalLeastLoaded(UnadjustedAwayCost):
    """Choose the least loaded candidate of all regions, regardless of network latency."""

    reach = Reach.ALL

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        free = [destination for destination in (*options.local, *options.away) if destination.free]
        if not free and options.home.cost_s == float("inf"):
            free = list(options.away)
        return min(free, key=lambda candidate: (candidate.load, candidate.cost_s), default=None)


class HomeOnly(HomeFirst):
    """Choose as HomeFirst does, but stay at home whenever home can serve at all."""

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        can_stay_home = bool(options.local) or options.home.cost_s < float("inf")
        return super().choose(options._replace(away=()) if can_stay_home else options, random)


def make_policy(name: str, objective: Callable[[], Objective], region: str) -> Policy:
    """Create the policy with the name from the settings."""
    counter = itertools.count()
    factories: dict[str, Callable[[], Policy]] = {
        "cloverway": lambda: HomeFirst(objective, region),
        "home_only": lambda: HomeOnly(objective, region),
        "global_least_loaded": GlobalLeastLoaded,
        "random": lambda: BaselinePolicy(lambda free, random: random.choice(free)),
        "round_robin": lambda: BaselinePolicy(lambda free, random: free[next(counter) % len(free)]),
        "least_outstanding": lambda: BaselinePolicy(
            lambda free, random: min(free, key=lambda candidate: candidate.load)
        ),
    }
    return factories[name]()
