"""Policies: how one candidate is chosen. All but the first are baselines for measurements."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from typing import NamedTuple, Protocol

from cloverway.config.schema import Objective, Urgency
from cloverway.dispatch.admission import Waiting
from cloverway.dispatch.routing import Candidate

SENT_AWAY_PART = 0.25
"""Part of its service time that a request would wait at home at equal weights, to stay there."""
LEAST_TAIL_WEIGHT = 0.01
URGENCY_FACTOR = {Urgency.BATCH: 2.0, Urgency.NORMAL: 1.0, Urgency.URGENT: 0.5}
STEADY_PART = 0.1
"""Hysteresis: part of the service time by which the first one sent away must gain."""
TAIL_WAITS = 3.0
"""Predicted waits by which the slowest ones exceed the mean, at most."""
PATIENCE = 1.0
"""Waiting for a warm cache, as a part of what it saves."""
NOISE_PART = 0.01
"""Part of the service time by which costs are blurred, so that hosts don't all choose alike."""


class Reach(Enum):
    """How far candidates are looked for."""

    HOME = "home"
    NEEDED = "needed"
    """In other failure domains where home has no good place."""
    ALL = "all"


class Home(NamedTuple):
    """What staying in this failure domain means for a request that finds no slot now."""

    cost_s: float
    """Predicted time to the first token through the queue; infinite where home can't serve it."""
    in_time: bool
    """Whether the queue would let it meet its deadline."""
    wait_s: float
    """Predicted wait in the queue."""


class Choice(NamedTuple):
    """All that one choice is made from."""

    entry: Waiting
    local: Sequence[Candidate]
    away: Sequence[Candidate]
    home: Home
    sending: bool = False
    """Whether requests for this target were sent to another region a moment ago."""
    waited_s: float = 0.0
    """How long the request has waited for a route."""


def is_worth_waiting(choice: Choice, cold: Candidate) -> bool:
    """Tell whether to wait for a slot at a place whose cache is warmer than that of a free one.

    Under load the warm place is mostly full, and a request that takes the first free slot evicts
    there what others need: soon no cache holds anything. Waiting as long as the cold read would
    take costs no more than the read, and mostly the slot comes sooner. Urgent work takes what it
    finds: the slots that are kept for it are few.
    """
    if choice.entry.urgency is Urgency.URGENT:
        return False
    warmest = max((place.saved_s for place in choice.local), default=0.0)
    return choice.waited_s < PATIENCE * (warmest - cold.saved_s)


class Policy(Protocol):
    """Chooses among candidates; None leaves the request in the queue."""

    reach: Reach
    """How far candidates are looked for, for a request that has just come."""

    def choose(self, choice: Choice, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        ...

    def weigh_away(self, place: Candidate, choice: Choice) -> float:
        """Give the cost of another failure domain with what the policy adds to it."""
        ...


class HomeFirst:
    """Choose the least predicted cost, at home unless another region is worth being sent to."""

    reach = Reach.NEEDED

    def __init__(self, objective: Callable[[], Objective], region: str) -> None:
        self._objective = objective
        self._region = region

    def choose(self, choice: Choice, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        blur = NOISE_PART * choice.entry.cost_s
        at_home = min(
            (candidate for candidate in choice.local if candidate.sendable),
            key=lambda candidate: candidate.cost_s + random.uniform(0, blur),
            default=None,
        )
        if at_home is not None and is_worth_waiting(choice, at_home):
            return None
        home_s = at_home.cost_s if at_home else self.weigh_home(choice.home)
        elsewhere = min(
            (place for place in choice.away if place.free or home_s == float("inf")),
            key=lambda place: self.weigh_away(place, choice),
            default=None,
        )
        if elsewhere is None or self.weigh_away(elsewhere, choice) >= home_s:
            return at_home
        return elsewhere

    def weigh_home(self, home: Home) -> float:
        """Give the cost of waiting at home: more than the mean wait where the tail matters."""
        objective = self._objective()
        both = objective.tail_latency + objective.sent_away
        part = objective.tail_latency / both if both > 0 else 0.5
        return home.cost_s + TAIL_WAITS * part * home.wait_s

    def weigh_away(self, place: Candidate, choice: Choice) -> float:
        """Give the cost of another failure domain with what the objective adds to it.

        A request that would miss its deadline at home is sent for its predicted cost alone.
        """
        if place.region == self._region or not choice.home.in_time:
            return place.cost_s
        objective = self._objective()
        weight = objective.sent_away / max(objective.tail_latency, LEAST_TAIL_WEIGHT)
        part = SENT_AWAY_PART * weight * URGENCY_FACTOR[choice.entry.urgency]
        if not choice.sending:
            part += STEADY_PART
        return place.cost_s + part * choice.entry.cost_s


class Unweighed:
    """Add nothing to the cost of another failure domain."""

    def weigh_away(self, place: Candidate, choice: Choice) -> float:
        """Give the cost of another failure domain with what the policy adds to it."""
        return place.cost_s


class Baseline(Unweighed):
    """Choose among free places at home by a simple rule; away only where home can't serve."""

    reach = Reach.NEEDED

    def __init__(self, rule: Callable[[Sequence[Candidate], Random], Candidate]) -> None:
        self._rule = rule

    def choose(self, choice: Choice, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        if choice.local or choice.home.cost_s < float("inf"):
            free = [candidate for candidate in choice.local if candidate.free]
            return self._rule(free, random) if free else None
        return min(choice.away, key=lambda candidate: candidate.cost_s, default=None)


class GlobalLeastLoaded(Unweighed):
    """Choose the least loaded place of all regions, whatever the trip."""

    reach = Reach.ALL

    def choose(self, choice: Choice, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        free = [place for place in (*choice.local, *choice.away) if place.free]
        if not free and choice.home.cost_s == float("inf"):
            free = list(choice.away)
        return min(free, key=lambda candidate: (candidate.load, candidate.cost_s), default=None)


class HomeOnly(HomeFirst):
    """Choose as the first policy does, but stay home wherever home may serve at all."""

    def choose(self, choice: Choice, random: Random) -> Candidate | None:
        """Choose one of the candidates that may take the request now."""
        stay = bool(choice.local) or choice.home.cost_s < float("inf")
        return super().choose(choice._replace(away=()) if stay else choice, random)


def make_policy(name: str, objective: Callable[[], Objective], region: str) -> Policy:
    """Make the policy that the settings name."""
    turns = itertools.count()
    made: dict[str, Callable[[], Policy]] = {
        "cloverway": lambda: HomeFirst(objective, region),
        "home_only": lambda: HomeOnly(objective, region),
        "global_least_loaded": GlobalLeastLoaded,
        "random": lambda: Baseline(lambda free, random: random.choice(free)),
        "round_robin": lambda: Baseline(lambda free, random: free[next(turns) % len(free)]),
        "least_outstanding": lambda: Baseline(
            lambda free, random: min(free, key=lambda candidate: candidate.load)
        ),
    }
    return made[name]()
