"""Admission: a bounded queue, by urgency and by fair share of teams, that holds nothing back.

A request that can't start in time is refused at once. What waits is served by urgency, yet each
lower class keeps a small share, and within a class each team gets capacity by its weight.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from math import log
from random import Random
from typing import NamedTuple

from cloverway.config.schema import Urgency
from cloverway.dispatch.prompts import Prefix
from cloverway.errors import Kind, Ran
from cloverway.membership.view import View
from cloverway.messages import Refused, Request

KEPT_SHARE: dict[Urgency, float] = {Urgency.BATCH: 0.03, Urgency.NORMAL: 0.07}
"""Part of the capacity that a lower class gets while more urgent work waits: none starves."""
START_MARGIN = 1.5
"""Expected service times that must be left at the start, as most answers take less than that."""
MOST_CREDIT = 2.0
"""Bound on what a class can save up, in requests of its own."""
LEAST_SLOTS = 0.1
HALF_LIFE_S = 2.5
LEAST_RATE_PART = 0.1
"""Rate that is assumed at least, as a part of the slots, before anything was measured."""
STARTING_RETRY_S = 1.0
"""When to come back to a host that has no configuration yet."""
LEAVING_RETRY_S = 0.2
"""When to come back after asking a leaving host: another host can be asked at once."""
LEAST_RETRY_S = 0.1
LONGEST_RETRY_S = 30.0
JITTER = 0.3


class Waiting(NamedTuple):
    """A request that waits for a route."""

    place: int
    request: Request
    target: str
    urgency: Urgency
    weight: float
    """The team's part of the capacity."""
    cost_s: float
    """Expected seconds in a slot."""
    prefix: Prefix
    entered_at: float
    ran: Ran = Ran.NO
    """What earlier attempts may have done; a later refusal must not deny it."""
    tried: frozenset[str] = frozenset()
    """Endpoints, hosts and domains that earlier attempts used."""

    @property
    def give_up_at(self) -> float:
        """When a start would probably be too late: some expected times before the deadline."""
        return self.request.deadline - START_MARGIN * self.cost_s


class Line:
    """The queue for one model or service."""

    def __init__(self) -> None:
        self.waiting: dict[int, Waiting] = {}
        self._used: dict[str, float] = defaultdict(float)
        self._floor = 0.0
        self._credit: dict[Urgency, float] = defaultdict(float)
        self._offered: dict[Urgency, DecayingRate] = {
            urgency: DecayingRate() for urgency in Urgency
        }
        self.throughput = Throughput()

    def note_offered(self, urgency: Urgency, cost_s: float, now: float) -> None:
        """Count work that arrives, in slot seconds, whether it is admitted or not."""
        self._offered[urgency].add(cost_s, now)

    def expect_above(self, urgency: Urgency, now: float) -> float:
        """Give the slots that more urgent work is expected to use, from its offers lately."""
        return sum(self._offered[other].rate(now) for other in Urgency if other > urgency)

    def add(self, entry: Waiting) -> None:
        """Put a request in the queue.

        A team that was idle starts level with the others: it has no claim on time gone by.
        """
        assert entry.place not in self.waiting
        team = entry.request.team
        if not any(other.request.team == team for other in self.waiting.values()):
            self._used[team] = max(self._used[team], self._floor)
        self.waiting[entry.place] = entry

    def order(self) -> list[Waiting]:
        """List the requests in the order in which they are to be served."""
        order = sorted(
            self.waiting.values(),
            key=lambda entry: (
                -entry.urgency,
                entry.request.passed_on,
                self._used[entry.request.team],
                entry.request.deadline,
                entry.place,
            ),
        )
        overdue = self.find_overdue()
        first = next((entry for entry in order if entry.urgency is overdue), None)
        return [first, *(entry for entry in order if entry is not first)] if first else order

    def take(self, entry: Waiting) -> None:
        """Remove a request that was admitted, and charge its team and class."""
        self.drop(entry)
        team = entry.request.team
        self._floor = max(self._floor, self._used[team])
        self._used[team] += entry.cost_s / entry.weight
        self._credit[entry.urgency] = max(0.0, self._credit[entry.urgency] - entry.cost_s)
        for other in {waiting.urgency for waiting in self.waiting.values()}:
            if other < entry.urgency:
                self._credit[other] += KEPT_SHARE[other] * entry.cost_s
        self._forget_idle_teams()

    def drop(self, entry: Waiting) -> None:
        """Remove a request that is not admitted."""
        del self.waiting[entry.place]

    def predict_wait(self, entry: Waiting, slots: float, now: float) -> float:
        """Predict the seconds until a request gets one of some slots.

        More urgent work goes first, that which waits and that which will come; but a lower class
        waits no longer than its kept share takes.
        """
        level = self._level_ahead_s(entry) + entry.cost_s
        more = sum(other.cost_s for other in self.waiting.values() if other.urgency > entry.urgency)
        left = max(LEAST_SLOTS, slots - self.expect_above(entry.urgency, now))
        kept = max(LEAST_SLOTS, KEPT_SHARE.get(entry.urgency, 1.0) * slots)
        return min((more + level) / left, level / kept)

    def _level_ahead_s(self, entry: Waiting) -> float:
        """Give the slot seconds of the same class that are served before a request."""
        level = [other for other in self.waiting.values() if other.urgency == entry.urgency]
        own = sum(
            other.cost_s
            for other in level
            if other.request.team == entry.request.team
            and (other.request.deadline, other.place) < (entry.request.deadline, entry.place)
        )
        weights = {other.request.team: other.weight for other in level}
        weights[entry.request.team] = entry.weight
        fair = own * sum(weights.values()) / entry.weight
        others = sum(other.cost_s for other in level if other.request.team != entry.request.team)
        return min(own + others, fair)

    def find_victim(self) -> Waiting:
        """Choose whom a full queue gives up: least urgent, most of a team's share, latest.

        A class that holds no more than its kept share of the places is spared: else more urgent
        work would push the lowest class out of every full queue, and it would never be served.
        """
        held: dict[tuple[Urgency, str], float] = defaultdict(float)
        places: dict[Urgency, int] = defaultdict(int)
        for entry in self.waiting.values():
            held[entry.urgency, entry.request.team] += entry.cost_s / entry.weight
            places[entry.urgency] += 1
        spared = {
            urgency
            for urgency, count in places.items()
            if count <= max(1.0, KEPT_SHARE.get(urgency, 0.0) * len(self.waiting))
        }
        return min(
            self.waiting.values(),
            key=lambda entry: (
                entry.urgency in spared,
                entry.urgency,
                not entry.request.passed_on,
                -held[entry.urgency, entry.request.team],
                -entry.request.deadline,
                -entry.place,
            ),
        )

    def find_hopeless(self, now: float) -> Iterator[Waiting]:
        """Yield the requests that can't be answered in time any more."""
        return (entry for entry in list(self.waiting.values()) if entry.give_up_at <= now)

    def name_shortage(self, entry: Waiting) -> Kind:
        """Say whether a team's own share is short, or the capacity for all."""
        return Kind.TEAM_LIMIT if self._is_over_share(entry) else Kind.OVERLOADED

    def _is_over_share(self, entry: Waiting) -> bool:
        """Tell whether a team holds more than its fair share of its class's queue."""
        level = [other for other in self.waiting.values() if other.urgency == entry.urgency]
        weights = {other.request.team: other.weight for other in level}
        if len(weights) < 2:
            return False
        held = sum(other.cost_s for other in level if other.request.team == entry.request.team)
        total = sum(other.cost_s for other in level)
        return held * sum(weights.values()) > total * entry.weight

    def find_overdue(self) -> Urgency | None:
        """Find the lowest class whose kept share has paid for one of its requests."""
        heads: dict[Urgency, float] = {}
        for entry in self.waiting.values():
            heads[entry.urgency] = min(heads.get(entry.urgency, entry.cost_s), entry.cost_s)
        for urgency in sorted(heads):
            credit = self._credit[urgency]
            self._credit[urgency] = min(credit, MOST_CREDIT * heads[urgency])
            if urgency in KEPT_SHARE and credit >= heads[urgency]:
                return urgency
        return None

    def _forget_idle_teams(self) -> None:
        """Drop teams that are level with the rest; 9,000 of them come and go."""
        present = {entry.request.team for entry in self.waiting.values()}
        self._used = defaultdict(
            float,
            {
                team: used
                for team, used in self._used.items()
                if team in present or used > self._floor
            },
        )


class DecayingRate:
    """A rate per second with exponential decay."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._sum = self._decayed(now) + amount
        self._at = now

    def rate(self, now: float) -> float:
        """Give the amount per second, lately."""
        return self._decayed(now) * log(2) / HALF_LIFE_S

    def _decayed(self, now: float) -> float:
        if self._at == float("-inf"):
            return 0.0
        return float(self._sum * 0.5 ** (max(0.0, now - self._at) / HALF_LIFE_S))


class Throughput:
    """Measure how fast work is done, and say when a refused caller should come back."""

    def __init__(self) -> None:
        self._done = DecayingRate()
        self._booked_until = float("-inf")

    def note_done(self, cost_s: float, now: float) -> None:
        """Count finished work, in slot seconds."""
        self._done.add(cost_s, now)

    def book_return(
        self, queued_s: float, cost_s: float, slots: float, now: float, random: Random
    ) -> float:
        """Give the seconds after which a refused caller should come back.

        Each refusal takes the next place after those refused before, at the measured rate: if all
        were told the same time, they would come back together and be refused together.
        """
        rate = max(self._done.rate(now), LEAST_RATE_PART * slots, LEAST_RATE_PART)
        start = max(now + queued_s / rate, self._booked_until)
        self._booked_until = min(start + cost_s / rate, now + LONGEST_RETRY_S)
        wait = (self._booked_until - now) * random.uniform(1 - JITTER, 1 + JITTER)
        return min(LONGEST_RETRY_S, max(LEAST_RETRY_S, wait))


def refuse(entry: Waiting, kind: Kind, retry_after: float | None, detail: str = "") -> Refused:
    """Refuse a request, without denying what an earlier attempt may have done."""
    if entry.ran is Ran.NO:
        return Refused(kind, detail, retry_after)
    unknown = Kind.TIMED_OUT if kind is Kind.DEADLINE else Kind.ENDPOINT_FAILED
    return Refused(unknown, detail, None, entry.ran)


def refuse_unready(view: View) -> Refused:
    """Refuse a request at a host that takes no work."""
    if view.leaving:
        return Refused(Kind.LEAVING, retry_after=LEAVING_RETRY_S)
    return Refused(Kind.STARTING, retry_after=STARTING_RETRY_S)


def jitter(seconds: float, random: Random) -> float:
    """Spread a time to come back, so that callers don't come back together."""
    return seconds * random.uniform(0.5, 1.5)
