"""Policies: how one candidate is chosen. All but the first are baselines for measurements."""

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
"""Part of its service time that a request would wait at home at equal weights, to stay there."""
MIN_TAIL_WEIGHT = 0.01
URGENCY_FACTOR = {Urgency.BATCH: 2.0, Urgency.NORMAL: 1.0, Urgency.URGENT: 0.5}
HYSTERESIS_FRACTION = 0.1
"""Hysteresis: part of the service time by which the first one sent away must gain."""
TAIL_WAIT_FACTOR = 3.0
"""Predicted waits by which the slowest ones exceed the mean, at most."""
WARM_WAIT_FACTOR = 1.0
"""Waiting for a warm cache, as a part of what it saves."""
COST_JITTER_FRACTION = 0.01
"""Part of the service time by which costs are blurred, so that hosts don't all choose alike."""


class Reach(Enum):
    """How far candidates are looked for."""

    HOME = "home"
    NEEDED = "needed"
    """In other failure domains where home has no good place."""
    ALL = "all"


class HomeEstimate(NamedTuple):
    """What staying in this failure domain means for a request that finds no slot now."""

    cost_s: float
    """Predicted time to the first token through the queue; infinite where home can't serve it."""
    in_time: bool
    """Whether the queue would let it meet its deadline."""
    wait_s: float
    """Predicted wait in the queue."""


class PlacementOptions(NamedTuple):
    """All that one choice is made from."""

    entry: QueueEntry
    local: Sequence[Candidate]
    away: Sequence[Candidate]
    home: HomeEstimate
    recently_sent_away: bool = False
    """Whether requests for this target were sent to another region a moment ago."""
    waited_s: float = 0.0
    """How long the request has waited for a route."""


def should_wait_for_warm_cache(options: PlacementOptions, free_candidate: Candidate) -> bool:
    """Tell whether to wait for a slot at a place whose cache is warmer than that of a free one.

    Under load the warm place is mostly full, and a request that takes the first free slot evicts
    there what others need: soon no cache holds anything. Waiting as long as the cold read would
    take costs no more than the read, and mostly the slot comes sooner. Urgent work takes what it
    finds: the slots that are kept for it are few.
    """
    if options.entry.urgency is Urgency.URGENT:
        return False
    warmest = max((destination.saved_s for destination in options.local), default=0.0)
    return options.waited_s < WARM_WAIT_FACTOR * (warmest - free_candidate.saved_s)


class Policy(Protocol):
    """Chooses among candidates; None leaves the request in the queue."""

    reach: Reach
    """How far candidates are looked for, for a request that has just come."""

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        ...

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Give the cost of another failure domain with what the policy adds to it."""
        ...


class HomeFirst:
    """Choose the least predicted cost, at home unless another region is worth being sent to."""

    reach = Reach.NEEDED

    def __init__(self, objective: Callable[[], Objective], region: str) -> None:
        self._objective = objective
        self._region = region

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        jitter_s = COST_JITTER_FRACTION * options.entry.cost_s
        at_home = min(
            (candidate for candidate in options.local if candidate.sendable),
            key=lambda candidate: candidate.cost_s + random.uniform(0, jitter_s),
            default=None,
        )
        if at_home is not None and should_wait_for_warm_cache(options, at_home):
            return None
        home_s = at_home.cost_s if at_home else self.adjust_home_cost(options.home)
        elsewhere = min(
            (
                destination
                for destination in options.away
                if destination.free or home_s == float("inf")
            ),
            key=lambda destination: self.adjust_away_cost(destination, options),
            default=None,
        )
        if elsewhere is None or self.adjust_away_cost(elsewhere, options) >= home_s:
            return at_home
        return elsewhere

    def adjust_home_cost(self, home: HomeEstimate) -> float:
        """Give the cost of waiting at home: more than the mean wait where the tail matters."""
        objective = self._objective()
        total_weight = objective.tail_latency + objective.sent_away
        fraction = objective.tail_latency / total_weight if total_weight > 0 else 0.5
        return home.cost_s + TAIL_WAIT_FACTOR * fraction * home.wait_s

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Give the cost of another failure domain with what the objective adds to it.

        A request that would miss its deadline at home is sent for its predicted cost alone.
        """
        if destination.region == self._region or not options.home.in_time:
            return destination.cost_s
        objective = self._objective()
        weight = objective.sent_away / max(objective.tail_latency, MIN_TAIL_WEIGHT)
        fraction = SENT_AWAY_FRACTION * weight * URGENCY_FACTOR[options.entry.urgency]
        if not options.recently_sent_away:
            fraction += HYSTERESIS_FRACTION
        return destination.cost_s + fraction * options.entry.cost_s


class UnadjustedCost:
    """Add nothing to the cost of another failure domain."""

    def adjust_away_cost(self, destination: Candidate, options: PlacementOptions) -> float:
        """Give the cost of another failure domain with what the policy adds to it."""
        return destination.cost_s


class BaselinePolicy(UnadjustedCost):
    """Choose among free places at home by a simple rule; away only where home can't serve."""

    reach = Reach.NEEDED

    def __init__(self, rule: Callable[[Sequence[Candidate], Random], Candidate]) -> None:
        self._rule = rule

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        if options.local or options.home.cost_s < float("inf"):
            free = [candidate for candidate in options.local if candidate.free]
            return self._rule(free, random) if free else None
        return min(options.away, key=lambda candidate: candidate.cost_s, default=None)


class GlobalLeastLoaded(UnadjustedCost):
    """Choose the least loaded place of all regions, whatever the trip."""

    reach = Reach.ALL

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        free = [destination for destination in (*options.local, *options.away) if destination.free]
        if not free and options.home.cost_s == float("inf"):
            free = list(options.away)
        return min(free, key=lambda candidate: (candidate.load, candidate.cost_s), default=None)


class HomeOnly(HomeFirst):
    """Choose as the first policy does, but stay home wherever home may serve at all."""

    def choose(self, options: PlacementOptions, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        can_stay_home = bool(options.local) or options.home.cost_s < float("inf")
        return super().choose(options._replace(away=()) if can_stay_home else options, random)


def make_policy(name: str, objective: Callable[[], Objective], region: str) -> Policy:
    """Make the policy that the settings name."""
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
