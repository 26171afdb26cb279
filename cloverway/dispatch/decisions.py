"""The pure core of the dispatcher: every decision about a request, without I/O, clock or chance.

Time and randomness are arguments, so that tests drive it in virtual time.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from math import ceil, floor, sqrt
from random import Random
from typing import NamedTuple

from cloverway.config.schema import Objective, Urgency
from cloverway.config.settings import Settings
from cloverway.dispatch.admission import QueueEntry, RequestQueue, jitter, refuse, refuse_not_ready
from cloverway.dispatch.catalogue import Catalogue
from cloverway.dispatch.ends import CrashTracker
from cloverway.dispatch.explanation import Explanation, explain, explain_not_ready
from cloverway.dispatch.placement import PlacementContext
from cloverway.dispatch.policies import Policy, Reach, make_policy
from cloverway.dispatch.retries import RAN_AFTER_OUTCOME, RetryBudget, may_retry
from cloverway.dispatch.routing import Candidate, LearnedState, Router
from cloverway.dispatch.tickets import Ticket, Tickets, list_destinations
from cloverway.errors import Kind, Ran
from cloverway.membership.view import EndpointState, View
from cloverway.messages import Away, Outcome, Refused, Request, Verdict

CAPACITY_RETRY_AFTER_S = 1.0
"""When to come back where no endpoint is ready: about the lag of a report."""
MIN_EXPECTED_SLOTS = 0.2
"""Slots of expected urgent work below which none is kept free."""
MAX_RESERVED_FRACTION = 0.4
"""Part of the slots that is kept free for more urgent work at most."""
NO_RESERVATION = -1
"""Less than no free slot: a warm cache may be waited for where all slots are taken."""
LOOKAHEAD_ENTRIES = 8
"""Waiting requests that are tried for a route at a time: bounds the work for one message."""
ADMISSION_PERIOD_S = 0.05
"""Period in which waiting requests are tried for a slot though nothing has changed."""
REVIEW_PERIOD_S = 0.25
"""Period in which waiting requests are weighed again: sent away, or given up."""
AWAY_HYSTERESIS_S = 2.0
"""How long after a request was sent away the next one needs no further gain."""


class Decision(NamedTuple):
    """A verdict for the request that waits at a place."""

    entry_id: int
    verdict: Verdict


class DispatchStats(NamedTuple):
    """Counts of one moment, for other threads to read."""

    in_flight: int = 0
    queued: int = 0
    load: float = 0.0
    targets: dict[str, int] = {}
    """Requests in progress by model or service."""


class DispatchCore:
    """Own the queues, tickets and budgets of one host, and decide about each request."""

    def __init__(self, settings: Settings, crash_tracker: CrashTracker) -> None:
        self._settings = settings
        self._learned = LearnedState()
        self._tickets = Tickets(self._learned, settings.limits.admitted)
        self._budget = RetryBudget()
        self._crash_tracker = crash_tracker
        self._queues: dict[str, RequestQueue] = {}
        self._catalogue: Catalogue | None = None
        self._policy: Policy = make_policy(
            settings.policy, lambda: self._objective, settings.region
        )
        self._objective = Objective()
        self._open: set[str] = set()
        self._last_away_at: dict[str, float] = {}
        self._reviewed_at = float("-inf")
        self._admission_view: View | None = None
        self._admission_at = float("-inf")

    @classmethod
    def from_config(
        cls, settings: Settings, crash_tracker: CrashTracker | None = None
    ) -> DispatchCore:
        """Make the core of one daemon; `ends` is shared with whoever hears other hosts."""
        return cls(settings, crash_tracker or CrashTracker(settings.quarantine))

    def get_stats(self) -> DispatchStats:
        """Count what is in progress and what waits."""
        return DispatchStats(
            in_flight=len(self._tickets),
            queued=self._count_queued(),
            load=min(1.0, len(self._tickets) / self._settings.limits.admitted),
            targets=dict(+self._tickets.targets),
        )

    def arrive(
        self, entry_id: int, request: Request, view: View, now: float, random: Random
    ) -> list[Decision]:
        """Decide about a new request."""
        if not view.ready:
            return [Decision(entry_id, refuse_not_ready(view))]
        if request.id in self._open:
            return [Decision(entry_id, Refused(Kind.MALFORMED, "a request with this id is open"))]
        context = self._make_context(view, now, random)
        refusal_kind = context.find_refusal(request)
        refused = (
            Refused(refusal_kind)
            if refusal_kind is not None
            else self._crash_tracker.find_refusal(request, now)
        )
        if refused is not None:
            return [Decision(entry_id, refused)]
        entry = context.make_entry(entry_id, request)
        self._open.add(request.id)
        self._get_queue(entry.target).record_offered_load(entry.urgency, entry.cost_s, now)
        return self._check_all_accounted(self._enqueue(entry, context))

    def start(self, ticket: int, view: View, at: float) -> None:
        """Note the first byte of an answer."""
        self._tickets.start(ticket, view, at)

    def finish(
        self,
        ticket: int,
        outcome: Outcome,
        view: View,
        now: float,
        random: Random,
        *,
        retry: int | None = None,
        pause_s: float | None = None,
    ) -> list[Decision]:
        """Note the end of an attempt; `retry` is the place that asks for another route.

        `pause_s` is how long the endpoint wants nothing from this host, where it said so.
        """
        ended = self._tickets.close(ticket, outcome, now, pause_s)
        self._crash_tracker.record_outcome(ended, outcome, view, now)
        context = self._make_context(view, now, random)
        queue = self._get_queue(ended.entry.target)
        if outcome is Outcome.DONE:
            self._budget.record_success(now)
            queue.throughput.record_completed(ended.entry.cost_s, now)
        decisions: list[Decision] = []
        if retry is None:
            self._open.remove(ended.entry.request.id)
        else:
            decisions += self._retry(retry, ended, outcome, context)
        decisions += self._admit_waiting(queue, context)
        return self._check_all_accounted(decisions)

    def cancel(self, request_id: str) -> list[Decision]:
        """Give up a request that waits in the queue."""
        found = [
            (queue, entry)
            for queue in self._queues.values()
            for entry in queue.entries.values()
            if entry.request.id == request_id
        ]
        refused = [(queue, entry, refuse(entry, Kind.CALLER_LEFT, None)) for queue, entry in found]
        return self._check_all_accounted([self._remove_entry(*each) for each in refused])

    def advance(self, view: View, now: float, random: Random) -> list[Decision]:
        """Decide what time and a changed view have made possible or hopeless."""
        review = now >= self._reviewed_at + REVIEW_PERIOD_S
        if view.published is None or not (review or self._count_queued()):
            return []
        check_admission = (
            view is not self._admission_view or now >= self._admission_at + ADMISSION_PERIOD_S
        )
        if check_admission:
            self._admission_view, self._admission_at = view, now
        context = self._make_context(view, now, random)
        decisions: list[Decision] = []
        for queue in self._nonempty_queues():
            for entry in queue.find_unstartable(now):
                decisions.append(self._refuse_entry(queue, entry, Kind.DEADLINE, context))
            if check_admission:
                decisions += self._admit_waiting(queue, context)
        if review:
            self._reviewed_at = now
            decisions += self._review(context)
        return self._check_all_accounted(decisions)

    def explain(self, team: str, profile: str, view: View, now: float) -> Explanation:
        """Say where a request would go, and why; decides nothing."""
        if not view.ready:
            return explain_not_ready(
                team, profile, self._settings.policy, refuse_not_ready(view).kind
            )
        context = self._make_context(view, now, Random(0))
        return explain(context, self._queues, self._policy, self._settings.policy, (team, profile))

    def _make_context(self, view: View, now: float, random: Random) -> PlacementContext:
        published = view.published
        assert published is not None
        if self._catalogue is None or self._catalogue.published is not published:
            self._catalogue = Catalogue(published)
            self._objective = published.objective
        if self._learned.ready_at is None:
            self._learned.ready_at = now
        router = Router(view, self._catalogue, self._learned, self._settings.timing, now)
        return PlacementContext(router, random)

    def _enqueue(self, entry: QueueEntry, context: PlacementContext) -> list[Decision]:
        """Route a request, let it wait, or refuse it; all at once."""
        queue = self._get_queue(entry.target)
        queue.add(entry)
        decisions = self._admit_waiting(queue, context, arrival=entry)
        if entry.entry_id not in queue.entries:
            return decisions
        refusal_kind = context.find_queue_refusal(queue, entry)
        if refusal_kind is not None:
            return [*decisions, self._refuse_entry(queue, entry, refusal_kind, context)]
        if self._count_queued() > self._settings.limits.queued:
            decisions.append(self._evict_entry(context))
        return decisions

    def _admit_waiting(
        self,
        queue: RequestQueue,
        context: PlacementContext,
        arrival: QueueEntry | None = None,
        review: bool = False,
    ) -> list[Decision]:
        """Admit waiting requests in their order, as long as there is room for them."""
        decisions: list[Decision] = []
        while queue.entries and not self._tickets.is_full:
            entry, candidate = next(
                self._find_routes(queue, context, arrival, review), (None, None)
            )
            if entry is None or candidate is None:
                break
            decisions.append(self._admit(queue, entry, candidate, context))
        return decisions

    def _find_routes(
        self,
        queue: RequestQueue,
        context: PlacementContext,
        arrival: QueueEntry | None,
        review: bool,
    ) -> Iterator[tuple[QueueEntry, Candidate]]:
        """Yield waiting requests that can be run now, the first in order first.

        Other failure domains are weighed for a newcomer and at reviews only: that costs more, and
        what is known of them changes slowly.
        """
        order = queue.list_in_service_order()
        states = context.router.list_local_states(order[0].target)
        admissible = self._find_admissible_classes(queue, order, states, context)
        is_free = context.router.count_free(states) > 0
        overdue = queue.find_overdue_class()
        tried = 0
        for turn, entry in enumerate(order):
            reach = self._policy.reach if review or entry is arrival else Reach.HOME
            has_turn = entry.urgency in admissible or (turn == 0 and entry.urgency is overdue)
            tries_local = is_free or entry is arrival or review
            local = (
                states
                if admissible and tries_local and tried < LOOKAHEAD_ENTRIES and has_turn
                else []
            )
            tried += bool(local)
            if not local and reach is Reach.HOME:
                continue
            last_away_at = self._last_away_at.get(entry.target, float("-inf"))
            recently_sent_away = context.now - last_away_at < AWAY_HYSTERESIS_S
            options = context.gather_options(queue, entry, local, reach, recently_sent_away)
            candidate = self._policy.choose(options, context.random)
            if candidate is not None:
                yield entry, candidate

    def _find_admissible_classes(
        self,
        queue: RequestQueue,
        order: list[QueueEntry],
        states: list[EndpointState],
        context: PlacementContext,
    ) -> frozenset[Urgency]:
        """Find the classes that may take a slot of this failure domain now.

        The last free slots are kept for more urgent work that is expected: slots full of long work
        free up slowly, and an urgent request would wait for one. No class gets what is kept from a
        more urgent one.
        """
        if not context.router.has_room(states):
            return frozenset()
        free = context.router.count_free(states)
        slots = context.router.estimate_slots(states)
        downward = sorted(Urgency, reverse=True)
        reserved = itertools.accumulate(
            (
                self._count_reserved_slots(queue, order[0].target, each, slots, context.now)
                for each in downward
            ),
            max,
        )
        return frozenset(
            each for each, count in zip(downward, reserved, strict=True) if free >= 1 + count
        )

    def _count_reserved_slots(
        self, queue: RequestQueue, target: str, urgency: Urgency, slots: float, now: float
    ) -> int:
        """Count the slots to keep free: twice the spread above the mean, as arrivals are random.

        A host whose part is few slots keeps none: it would serve nothing else.
        """
        above = queue.estimate_offered_load_above(urgency, now)
        if above < MIN_EXPECTED_SLOTS:
            return NO_RESERVATION
        wanted = min(ceil(above + 2 * sqrt(above)), floor(MAX_RESERVED_FRACTION * slots))
        return max(NO_RESERVATION, wanted - self._tickets.count_more_urgent(target, urgency))

    def _admit(
        self,
        queue: RequestQueue,
        entry: QueueEntry,
        candidate: Candidate,
        context: PlacementContext,
    ) -> Decision:
        request = entry.request
        away = isinstance(candidate.route, Away)
        assert not (request.passed_on and away), "a passed-on request is never passed on again"
        assert candidate.region in context.list_allowed_regions(request), "run in an allowed region"
        assert candidate.name not in entry.tried, "a retry goes elsewhere"
        queue.admit(entry)
        if away and candidate.region != context.router.view.region:
            self._last_away_at[entry.target] = context.now
        admitted = self._tickets.open(entry, candidate, context.router.view, context.now)
        context.router.invalidate(candidate.name)
        return Decision(entry.entry_id, admitted)

    def _evict_entry(self, context: PlacementContext) -> Decision:
        """Give up one request of a queue that is too long: the least urgent of the longest."""
        victims = [queue.select_eviction() for queue in self._nonempty_queues()]
        longest = max(len(queue.entries) for queue in self._queues.values())
        victim = min(
            victims,
            key=lambda entry: (
                entry.urgency,
                len(self._get_queue(entry.target).entries) < longest,
                -entry.entry_id,
            ),
        )
        queue = self._get_queue(victim.target)
        return self._refuse_entry(queue, victim, queue.classify_shortage(victim), context)

    def _review(self, context: PlacementContext) -> list[Decision]:
        """Send waiting requests away, or give up those that would now wait in vain."""
        decisions: list[Decision] = []
        for queue in self._nonempty_queues():
            decisions += self._admit_waiting(queue, context, review=True)
            for entry in list(queue.entries.values()):
                refusal_kind = context.find_queue_refusal(queue, entry)
                if refusal_kind is not None:
                    decisions.append(self._refuse_entry(queue, entry, refusal_kind, context))
        self._learned.prune(context.router.view, context.now)
        return decisions

    def _retry(
        self, entry_id: int, ended: Ticket, outcome: Outcome, context: PlacementContext
    ) -> list[Decision]:
        """Find another route for a request whose attempt failed, if that is safe and affordable."""
        entry = ended.entry
        ran = (
            Ran.UNKNOWN
            if Ran.UNKNOWN in (entry.ran, RAN_AFTER_OUTCOME[outcome])
            else RAN_AFTER_OUTCOME[outcome]
        )
        destinations = list_destinations(ended.candidate)
        failed = destinations[0] if outcome is Outcome.REFUSED else destinations[-1]
        entry = entry._replace(entry_id=entry_id, ran=ran, tried=entry.tried | {failed})
        profile = context.published.profiles.get(entry.request.profile)
        safe = may_retry(outcome, profile is not None and profile.idempotent)
        passed_back = outcome is Outcome.REFUSED and len(destinations) > 1
        late = entry.latest_start <= context.now
        hold = self._crash_tracker.find_refusal(entry.request, context.now)
        if hold is not None:
            self._open.remove(entry.request.id)
            return [Decision(entry_id, refuse(entry, hold.kind, hold.retry_after, hold.detail))]
        if not safe or late or not (passed_back or self._budget.try_take(context.now)):
            self._open.remove(entry.request.id)
            wait_s = jitter(CAPACITY_RETRY_AFTER_S, context.random)
            return [Decision(entry_id, refuse(entry, Kind.ENDPOINT_REFUSED, wait_s))]
        return self._enqueue(entry, context)

    def _refuse_entry(
        self, queue: RequestQueue, entry: QueueEntry, kind: Kind, context: PlacementContext
    ) -> Decision:
        """Give a waiting request its final answer, with when to come back."""
        if kind is Kind.RESIDENCY:
            wait_s = None
        elif kind in (Kind.NO_CAPACITY, Kind.ENDPOINT_REFUSED):
            wait_s = jitter(CAPACITY_RETRY_AFTER_S, context.random)
        else:
            wait_s = self._schedule_retry(queue, entry, context)
        return self._remove_entry(queue, entry, refuse(entry, kind, wait_s))

    def _remove_entry(self, queue: RequestQueue, entry: QueueEntry, refused: Refused) -> Decision:
        queue.discard(entry)
        self._open.remove(entry.request.id)
        return Decision(entry.entry_id, refused)

    def _schedule_retry(
        self, queue: RequestQueue, entry: QueueEntry, context: PlacementContext
    ) -> float:
        slots = context.router.estimate_slots(context.router.list_local_states(entry.target))
        queued_s = sum(other.cost_s for other in queue.entries.values())
        return queue.throughput.schedule_retry(
            queued_s, entry.cost_s, slots, context.now, context.random
        )

    def _get_queue(self, target: str) -> RequestQueue:
        return self._queues.setdefault(target, RequestQueue())

    def _nonempty_queues(self) -> list[RequestQueue]:
        return [queue for queue in self._queues.values() if queue.entries]

    def _count_queued(self) -> int:
        return sum(len(queue.entries) for queue in self._queues.values())

    def _check_all_accounted(self, decisions: list[Decision]) -> list[Decision]:
        """Check that each open request is queued or in flight, so that none is lost."""
        assert len(self._open) == self._count_queued() + len(self._tickets), "a request is lost"
        return decisions
