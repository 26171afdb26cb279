"""Admission control: a bounded, work-conserving queue with priority classes and fair sharing.

A request that can't start in time is refused at once. Waiting requests are served by urgency, but
each lower class keeps a small reserved share. Within a class, teams share capacity by weight.
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

RESERVED_SHARE: dict[Urgency, float] = {Urgency.BATCH: 0.03, Urgency.NORMAL: 0.07}
"""Share of the capacity that a lower class gets while more urgent work waits, so that it does not
starve."""
START_MARGIN = 1.5
"""Time that must be left before the deadline at the start, as a multiple of the expected service
time; most answers take less than that."""
MAX_CREDIT = 2.0
"""Upper bound on the credit that a class accumulates, as a multiple of its cheapest request."""
MIN_SLOTS = 0.1
"""Lower bound on the slots in a predicted wait, which is then finite when none is free."""
RATE_HALF_LIFE_S = 2.5
"""Half-life of the measured rates of arriving and completed work."""
MIN_RATE_FRACTION = 0.1
"""Minimum assumed completion rate, as a fraction of the slots, until there are measurements."""
STARTING_RETRY_AFTER_S = 1.0
"""Retry-After of a host that has no configuration yet."""
LEAVING_RETRY_AFTER_S = 0.2
"""Retry-After of a leaving host; it is short because another host can be tried at once."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
RETRY_AFTER_JITTER = 0.3


class QueueEntry(NamedTuple):
    """A queued request that waits for a route."""

    entry_id: int
    request: Request
    target: str
    urgency: Urgency
    weight: float
    """The team's weight in fair sharing."""
    cost_s: float
    """Expected seconds for which the request occupies a slot."""
    prefix: Prefix
    entered_at: float
    ran: Ran = Ran.NO
    """Whether earlier attempts may have run the request; a later refusal must report the same."""
    tried: frozenset[str] = frozenset()
    """Destinations of earlier attempts: endpoints, hosts and failure domains."""

    @property
    def latest_start_at(self) -> float:
        """Latest start with a good chance to finish by the deadline (see START_MARGIN)."""
        return self.request.deadline - START_MARGIN * self.cost_s


class RequestQueue:
    """The queue for one model or service."""

    def __init__(self) -> None:
        self.entries: dict[int, QueueEntry] = {}
        self._usage: dict[str, float] = defaultdict(float)
        self._virtual_time = 0.0
        self._credit: dict[Urgency, float] = defaultdict(float)
        self._offered_load: dict[Urgency, DecayingRate] = {
            urgency: DecayingRate() for urgency in Urgency
        }
        self.throughput = Throughput()

    def record_offered_load(self, urgency: Urgency, cost_s: float, now: float) -> None:
        """Record arriving work in slot seconds, whether it is admitted or not."""
        self._offered_load[urgency].add(cost_s, now)

    def estimate_offered_load_above(self, urgency: Urgency, now: float) -> float:
        """Return the slots that more urgent work is expected to use, from its recent arrivals."""
        return sum(self._offered_load[other].get_rate(now) for other in Urgency if other > urgency)

    def add(self, entry: QueueEntry) -> None:
        """Add a request to the queue.

        A team that was idle starts at the current virtual time: unused capacity of the past does
        not count in its favour.
        """
        assert entry.entry_id not in self.entries
        team = entry.request.team
        if not any(other.request.team == team for other in self.entries.values()):
            self._usage[team] = max(self._usage[team], self._virtual_time)
        self.entries[entry.entry_id] = entry

    def list_in_service_order(self) -> list[QueueEntry]:
        """Return the waiting requests in the order in which to serve them."""
        ordered = sorted(
            self.entries.values(),
            key=lambda entry: (
                -entry.urgency,
                entry.request.is_forwarded,
                self._usage[entry.request.team],
                entry.request.deadline,
                entry.entry_id,
            ),
        )
        overdue = self.find_overdue_class()
        first = next((entry for entry in ordered if entry.urgency is overdue), None)
        return [first, *(entry for entry in ordered if entry is not first)] if first else ordered

    def admit(self, entry: QueueEntry) -> None:
        """Remove an admitted request and charge its cost to its team and class."""
        self.discard(entry)
        team = entry.request.team
        self._virtual_time = max(self._virtual_time, self._usage[team])
        self._usage[team] += entry.cost_s / entry.weight
        self._credit[entry.urgency] = max(0.0, self._credit[entry.urgency] - entry.cost_s)
        for other in {waiting.urgency for waiting in self.entries.values()}:
            if other < entry.urgency:
                self._credit[other] += RESERVED_SHARE[other] * entry.cost_s
        self._drop_idle_teams()

    def discard(self, entry: QueueEntry) -> None:
        """Remove a request without admitting it."""
        del self.entries[entry.entry_id]

    def predict_wait(self, entry: QueueEntry, slots: float, now: float) -> float:
        """Predict the seconds until a request gets one of `slots` slots.

        More urgent work goes first, both what is queued and what is expected to arrive. The wait
        of a lower class is bounded by the time that its reserved share takes.
        """
        work_ahead_s = self._estimate_work_ahead(entry) + entry.cost_s
        more_urgent_s = sum(
            other.cost_s for other in self.entries.values() if other.urgency > entry.urgency
        )
        free = max(MIN_SLOTS, slots - self.estimate_offered_load_above(entry.urgency, now))
        reserved = max(MIN_SLOTS, RESERVED_SHARE.get(entry.urgency, 1.0) * slots)
        return min((more_urgent_s + work_ahead_s) / free, work_ahead_s / reserved)

    def _estimate_work_ahead(self, entry: QueueEntry) -> float:
        """Return the slot seconds of the same class that are served before a request."""
        same_class = [other for other in self.entries.values() if other.urgency == entry.urgency]
        own = sum(
            other.cost_s
            for other in same_class
            if other.request.team == entry.request.team
            and (other.request.deadline, other.entry_id) < (entry.request.deadline, entry.entry_id)
        )
        weights = {other.request.team: other.weight for other in same_class}
        weights[entry.request.team] = entry.weight
        fair = own * sum(weights.values()) / entry.weight
        others = sum(
            other.cost_s for other in same_class if other.request.team != entry.request.team
        )
        return min(own + others, fair)

    def select_eviction(self) -> QueueEntry:
        """Select the request to evict from a full queue.

        That is the least urgent one, then the one of the team with the most queued work for its
        weight, then the one with the latest deadline. A class with no more than its reserved share
        of the entries is protected. Otherwise more urgent work would push the lowest class out of
        every full queue, and it would never be served.
        """
        queued_cost: dict[tuple[Urgency, str], float] = defaultdict(float)
        counts: dict[Urgency, int] = defaultdict(int)
        for entry in self.entries.values():
            queued_cost[entry.urgency, entry.request.team] += entry.cost_s / entry.weight
            counts[entry.urgency] += 1
        protected = {
            urgency
            for urgency, count in counts.items()
            if count <= max(1.0, RESERVED_SHARE.get(urgency, 0.0) * len(self.entries))
        }
        return min(
            self.entries.values(),
            key=lambda entry: (
                entry.urgency in protected,
                entry.urgency,
                not entry.request.is_forwarded,
                -queued_cost[entry.urgency, entry.request.team],
                -entry.request.deadline,
                -entry.entry_id,
            ),
        )

    def find_unstartable(self, now: float) -> Iterator[QueueEntry]:
        """Return the requests whose latest start time has passed."""
        return (entry for entry in list(self.entries.values()) if entry.latest_start_at <= now)

    def classify_shortage(self, entry: QueueEntry) -> Kind:
        """Return TEAM_LIMIT when the team exceeds its fair share, else OVERLOADED."""
        return Kind.TEAM_LIMIT if self._is_over_share(entry) else Kind.OVERLOADED

    def _is_over_share(self, entry: QueueEntry) -> bool:
        """Return whether a team has more than its fair share of the work queued in its class."""
        same_class = [other for other in self.entries.values() if other.urgency == entry.urgency]
        weights = {other.request.team: other.weight for other in same_class}
        if len(weights) < 2:
            return False
        queued_cost = sum(
            other.cost_s for other in same_class if other.request.team == entry.request.team
        )
        total = sum(other.cost_s for other in same_class)
        return queued_cost * sum(weights.values()) > total * entry.weight

    def find_overdue_class(self) -> Urgency | None:
        """Return the lowest class whose credit covers one of its requests, or None."""
        cheapest: dict[Urgency, float] = {}
        for entry in self.entries.values():
            cheapest[entry.urgency] = min(cheapest.get(entry.urgency, entry.cost_s), entry.cost_s)
        for urgency in sorted(cheapest):
            credit = self._credit[urgency]
            self._credit[urgency] = min(credit, MAX_CREDIT * cheapest[urgency])
            if urgency in RESERVED_SHARE and credit >= cheapest[urgency]:
                return urgency
        return None

    def _drop_idle_teams(self) -> None:
        """Drop teams without waiting requests or excess usage; there may be 9,000 teams."""
        present = {entry.request.team for entry in self.entries.values()}
        self._usage = defaultdict(
            float,
            {
                team: usage
                for team, usage in self._usage.items()
                if team in present or usage > self._virtual_time
            },
        )


class DecayingRate:
    """A rate per second, averaged with exponential decay."""

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = float("-inf")

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a point in time."""
        self._sum = self._get_decayed_sum(now) + amount
        self._at = now

    def get_rate(self, now: float) -> float:
        """Return the recent amount per second."""
        return self._get_decayed_sum(now) * log(2) / RATE_HALF_LIFE_S

    def _get_decayed_sum(self, now: float) -> float:
        if self._at == float("-inf"):
            return 0.0
        return float(self._sum * 0.5 ** (max(0.0, now - self._at) / RATE_HALF_LIFE_S))


class Throughput:
    """Measure the completion rate and schedule the retries of refused callers."""

    def __init__(self) -> None:
        self._done = DecayingRate()
        self._scheduled_until = float("-inf")

    def record_completed(self, cost_s: float, now: float) -> None:
        """Record completed work in slot seconds."""
        self._done.add(cost_s, now)

    def schedule_retry(
        self, queued_s: float, cost_s: float, slots: float, now: float, random: Random
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        Each refusal is scheduled after the earlier ones, at the measured completion rate. If all
        callers got the same time, they would retry together and be refused together.
        """
        rate = max(self._done.get_rate(now), MIN_RATE_FRACTION * slots, MIN_RATE_FRACTION)
        start = max(now + queued_s / rate, self._scheduled_until)
        self._scheduled_until = min(start + cost_s / rate, now + MAX_RETRY_AFTER_S)
        wait = (self._scheduled_until - now) * random.uniform(
            1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER
        )
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))


def refuse(entry: QueueEntry, kind: Kind, retry_after: float | None, detail: str = "") -> Refused:
    """Return a refusal that states whether an earlier attempt may have run the request."""
    if entry.ran is Ran.NO:
        return Refused(kind, detail, retry_after)
    unknown = Kind.TIMED_OUT if kind is Kind.DEADLINE else Kind.ENDPOINT_FAILED
    return Refused(unknown, detail, None, entry.ran)


def refuse_not_ready(view: View) -> Refused:
    """Return the refusal of a host that accepts no work."""
    if view.leaving:
        return Refused(Kind.LEAVING, retry_after=LEAVING_RETRY_AFTER_S)
    return Refused(Kind.STARTING, retry_after=STARTING_RETRY_AFTER_S)


def jitter(seconds: float, random: Random) -> float:
    """Randomise a retry delay so that callers don't retry at the same time."""
    return seconds * random.uniform(0.5, 1.5)
