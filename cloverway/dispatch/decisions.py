"""The functional core of the dispatcher: all decisions about requests, without I/O.

The current time and the random generator are arguments, so tests can run it in virtual time.
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
from cloverway.messages import Outcome, Refused, RemoteRoute, Request, Verdict

CAPACITY_RETRY_AFTER_S = 1.0
"""Retry-After where no endpoint is ready: about the delay of a load report."""
MIN_EXPECTED_SLOTS = 0.2
"""Expected urgent work, in slots, below which no slot is reserved."""
MAX_RESERVED_FRACTION = 0.4
"""Maximum fraction of the slots that is reserved for more urgent work."""
NO_RESERVATION = -1
"""No slot is reserved. It is below zero so that a request may be sent even if no slot is free, to
wait in the engine for a warm cache."""
LOOKAHEAD_ENTRIES = 8
"""Number of waiting requests to try for a route at a time; bounds the work for one message."""
ADMISSION_PERIOD_S = 0.05
"""Period in which waiting requests are tried for a slot even if the view has not changed."""
REVIEW_PERIOD_S = 0.25
"""Period in which waiting requests are reviewed: sent to another failure domain, or refused."""
AWAY_HYSTERESIS_S = 2.0
"""Time after a request was sent to another region in which the next ones need not exceed the
hysteresis threshold."""


class Decision(NamedTuple):
    """The verdict for one queue entry."""

    entry_id: int
    verdict: Verdict


class DispatchStats(NamedTuple):
    """A snapshot of counts for other threads to read."""

    in_flight: int = 0
    queued: int = 0
    load: float = 0.0
    targets: dict[str, int] = {}
    """Requests in progress by model or service."""


class DispatchCore:
    """Own the queues, tickets and retry budget of one host, and decide about each request."""

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
        self._open_request_ids: set[str] = set()
        self._last_away_at: dict[str, float] = {}
        self._reviewed_at = float("-inf")
        self._admission_view: View | None = None
        self._admission_at = float("-inf")

    @classmethod
    def from_config(
        cls, settings: Settings, crash_tracker: CrashTracker | None = None
    ) -> DispatchCore:
        """Create the core of one daemon; `crash_tracker` is shared with the control loop."""
        return cls(settings, crash_tracker or CrashTracker(settings.quarantine))

    def get_stats(self) -> DispatchStats:
        """Return counts of the requests in progress and in the queue."""
        return DispatchStats(
            in_flight=len(self._tickets),
            queued=self._count_queued(),
            load=min(1.0, len(self._tickets) / self._settings.limits.admitted),
            targets=dict(+self._tickets.targets),
        )

    def arrive(
        self, entry_id: int, request: Request, view: View, now: float, random: Random
    ) -> list[Decision]:
        """Decide about a new request: route, queue or refuse it."""
        if not view.ready:
            return [Decision(entry_id, refuse_not_ready(view))]
        if request.id in self._open_request_ids:
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
        self._open_request_ids.add(request.id)
        self._get_queue(entry.target).record_offered_load(entry.urgency, entry.cost_s, now)
        return self._check_all_accounted(self._enqueue(entry, context))

    def start(self, ticket: int, view: View, at: float) -> None:
        """Record the first byte of an answer."""
        self._tickets.start(ticket, view, at)

    def finish(
        self,
        ticket: int,
        outcome: Outcome,
        view: View,
        now: float,
        random: Random,
        *,
        retry_entry_id: int | None = None,
        requested_pause_s: float | None = None,
    ) -> list[Decision]:
        """Record the end of an attempt, and find another route if `retry_entry_id` is given.

        `retry_entry_id` is the ID of the queue entry for the retry. `requested_pause_s` is how long
        the endpoint asked this host to send no requests, if it did.
        """
        ended = self._tickets.close(ticket, outcome, now, requested_pause_s)
        self._crash_tracker.record_outcome(ended, outcome, view, now)
        context = self._make_context(view, now, random)
        queue = self._get_queue(ended.entry.target)
        if outcome is Outcome.DONE:
            self._budget.record_success(now)
            queue.throughput.record_completed(ended.entry.cost_s, now)
        decisions: list[Decision] = []
        if retry_entry_id is None:
            self._open_request_ids.remove(ended.entry.request.id)
        else:
            decisions += self._retry(retry_entry_id, ended, outcome, context)
        decisions += self._admit_waiting(queue, context)
        return self._check_all_accounted(decisions)

    def cancel(self, request_id: str) -> list[Decision]:
        """Remove a waiting request from the queue because its caller disconnected."""
        found = [
            (queue, entry)
            for queue in self._queues.values()
            for entry in queue.entries.values()
            if entry.request.id == request_id
        ]
        refused = [(queue, entry, refuse(entry, Kind.CALLER_LEFT, None)) for queue, entry in found]
        return self._check_all_accounted([self._remove_entry(*each) for each in refused])

    def advance(self, view: View, now: float, random: Random) -> list[Decision]:
        """Admit or refuse waiting requests after time has passed or the view has changed."""
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
        """Explain where a request would be routed, and why, without routing it."""
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
        """Route a request at once, leave it in the queue, or refuse it."""
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
        """Admit waiting requests in service order while there is capacity for them."""
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
        """Yield waiting requests that can run now with their candidates, in service order.

        Other failure domains are considered only for a new arrival and at reviews, because that
        costs more and their state changes slowly.
        """
        order = queue.list_in_service_order()
        states = context.router.list_local_states(order[0].target)
        admissible = self._find_admissible_classes(queue, order, states, context)
        is_free = context.router.count_free(states) > 0
        overdue = queue.find_overdue_class()
        tried = 0
        for position, entry in enumerate(order):
            reach = self._policy.reach if review or entry is arrival else Reach.HOME
            has_turn = entry.urgency in admissible or (position == 0 and entry.urgency is overdue)
            considers_local = is_free or entry is arrival or review
            local = (
                states
                if admissible and considers_local and tried < LOOKAHEAD_ENTRIES and has_turn
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
        """Return the classes that may take a slot of this failure domain now.

        The last free slots are reserved for expected urgent work: slots with long work become free
        slowly, and an urgent request would have to wait for one. A class leaves at least as many
        slots free as each more urgent class does.
        """
        if not context.router.has_capacity(states):
            return frozenset()
        free = context.router.count_free(states)
        slots = context.router.estimate_slots(states)
        classes = sorted(Urgency, reverse=True)
        reserved = itertools.accumulate(
            (
                self._count_reserved_slots(queue, order[0].target, each, slots, context.now)
                for each in classes
            ),
            max,
        )
        return frozenset(
            each for each, count in zip(classes, reserved, strict=True) if free >= 1 + count
        )

    def _count_reserved_slots(
        self, queue: RequestQueue, target: str, urgency: Urgency, slots: float, now: float
    ) -> int:
        """Return the number of slots to reserve for work more urgent than a class.

        It is the expected load plus two standard deviations of Poisson arrivals. A host with few
        slots reserves none, because otherwise it would serve nothing else.
        """
        above = queue.estimate_offered_load_above(urgency, now)
        if above < MIN_EXPECTED_SLOTS:
            return NO_RESERVATION
        target_count = min(ceil(above + 2 * sqrt(above)), floor(MAX_RESERVED_FRACTION * slots))
        return max(NO_RESERVATION, target_count - self._tickets.count_more_urgent(target, urgency))

    def _admit(
        self,
        queue: RequestQueue,
        entry: QueueEntry,
        candidate: Candidate,
        context: PlacementContext,
    ) -> Decision:
        request = entry.request
        away = isinstance(candidate.route, RemoteRoute)
        assert not (request.is_forwarded and away), "a passed-on request is never passed on again"
        assert candidate.region in context.list_allowed_regions(request), "run in an allowed region"
        assert candidate.name not in entry.tried, "a retry must use another destination"
        queue.admit(entry)
        if away and candidate.region != context.router.view.region:
            self._last_away_at[entry.target] = context.now
        admitted = self._tickets.open(entry, candidate, context.router.view, context.now)
        context.router.invalidate(candidate.name)
        return Decision(entry.entry_id, admitted)

    def _evict_entry(self, context: PlacementContext) -> Decision:
        """Evict one request: the least urgent of all queues, preferably of the longest queue."""
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
        """Send waiting requests to other failure domains, or refuse those without a prospect."""
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
        """Find another route for a request whose attempt failed, if safe and within the budget."""
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
        is_safe = may_retry(outcome, profile is not None and profile.idempotent)
        # An attempt that reached no endpoint adds no load that the budget would have to limit.
        is_free = outcome is Outcome.NOT_SENT or (
            outcome is Outcome.REFUSED and len(destinations) > 1
        )
        is_late = entry.latest_start_at <= context.now
        refusal = self._crash_tracker.find_refusal(entry.request, context.now)
        if refusal is not None:
            self._open_request_ids.remove(entry.request.id)
            return [
                Decision(entry_id, refuse(entry, refusal.kind, refusal.retry_after, refusal.detail))
            ]
        if not is_safe or is_late or not (is_free or self._budget.try_take(context.now)):
            self._open_request_ids.remove(entry.request.id)
            wait_s = jitter(CAPACITY_RETRY_AFTER_S, context.random)
            return [Decision(entry_id, refuse(entry, Kind.ENDPOINT_REFUSED, wait_s))]
        return self._enqueue(entry, context)

    def _refuse_entry(
        self, queue: RequestQueue, entry: QueueEntry, kind: Kind, context: PlacementContext
    ) -> Decision:
        """Refuse a waiting request, with a time to retry where that can help."""
        if kind is Kind.RESIDENCY:
            wait_s = None
        elif kind in (Kind.NO_CAPACITY, Kind.ENDPOINT_REFUSED):
            wait_s = jitter(CAPACITY_RETRY_AFTER_S, context.random)
        else:
            wait_s = self._schedule_retry(queue, entry, context)
        return self._remove_entry(queue, entry, refuse(entry, kind, wait_s))

    def _remove_entry(self, queue: RequestQueue, entry: QueueEntry, refused: Refused) -> Decision:
        queue.discard(entry)
        self._open_request_ids.remove(entry.request.id)
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
        """Assert that each open request is queued or in flight, and return the decisions."""
        assert len(self._open_request_ids) == self._count_queued() + len(
            self._tickets
        ), "an open request is neither queued nor in flight"
        return decisions
