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
from cloverway.dispatch.admission import Line, Waiting, jitter, refuse, refuse_unready
from cloverway.dispatch.catalogue import Catalogue
from cloverway.dispatch.ends import Ends
from cloverway.dispatch.explanation import Explanation, explain, explain_unready
from cloverway.dispatch.outlook import Outlook
from cloverway.dispatch.policies import Policy, Reach, make_policy
from cloverway.dispatch.retries import AFTER, Budget, may_repeat
from cloverway.dispatch.routing import Candidate, Knowledge, Router
from cloverway.dispatch.tickets import Ticket, Tickets, name_places
from cloverway.errors import Kind, Ran
from cloverway.membership.view import EndpointState, View
from cloverway.messages import Away, Outcome, Refused, Request, Verdict

CAPACITY_RETRY_S = 1.0
"""When to come back where no endpoint is ready: about the lag of a report."""
LEAST_EXPECTED = 0.2
"""Slots of expected urgent work below which none is kept free."""
KEPT_PART = 0.4
"""Part of the slots that is kept free for more urgent work at most."""
NONE_KEPT = -1
"""Less than no free slot: a warm cache may be waited for where all slots are taken."""
LOOK_AHEAD = 8
"""Waiting requests that are tried for a route at a time: bounds the work for one message."""
PUMP_S = 0.05
"""Period in which waiting requests are tried for a slot though nothing has changed."""
REVIEW_S = 0.25
"""Period in which waiting requests are weighed again: sent away, or given up."""
SENDING_S = 2.0
"""How long after a request was sent away the next one needs no further gain."""


class Decided(NamedTuple):
    """A verdict for the request that waits at a place."""

    place: int
    verdict: Verdict


class Figures(NamedTuple):
    """Counts of one moment, for other threads to read."""

    in_flight: int = 0
    queued: int = 0
    load: float = 0.0
    targets: dict[str, int] = {}
    """Requests in progress by model or service."""


class Core:
    """Own the queues, tickets and budgets of one host, and decide about each request."""

    def __init__(self, settings: Settings, ends: Ends) -> None:
        self._settings = settings
        self._knowledge = Knowledge()
        self._tickets = Tickets(self._knowledge, settings.limits.admitted)
        self._budget = Budget()
        self._ends = ends
        self._lines: dict[str, Line] = {}
        self._catalogue: Catalogue | None = None
        self._policy: Policy = make_policy(
            settings.policy, lambda: self._objective, settings.region
        )
        self._objective = Objective()
        self._open: set[str] = set()
        self._sent_away_at: dict[str, float] = {}
        self._reviewed_at = float("-inf")
        self._pumped_view: View | None = None
        self._pumped_at = float("-inf")

    @classmethod
    def from_config(cls, settings: Settings, ends: Ends | None = None) -> Core:
        """Make the core of one daemon; `ends` is shared with whoever hears other hosts."""
        return cls(settings, ends or Ends(settings.quarantine))

    def figures(self) -> Figures:
        """Count what is in progress and what waits."""
        return Figures(
            in_flight=len(self._tickets),
            queued=self._count_queued(),
            load=min(1.0, len(self._tickets) / self._settings.limits.admitted),
            targets=dict(+self._tickets.targets),
        )

    def arrive(
        self, place: int, request: Request, view: View, now: float, random: Random
    ) -> list[Decided]:
        """Decide about a new request."""
        if not view.ready:
            return [Decided(place, refuse_unready(view))]
        if request.id in self._open:
            return [Decided(place, Refused(Kind.MALFORMED, "a request with this id is open"))]
        outlook = self._look(view, now, random)
        fault = outlook.find_refusal(request)
        refused = Refused(fault) if fault is not None else self._ends.find_refusal(request, now)
        if refused is not None:
            return [Decided(place, refused)]
        entry = outlook.make_entry(place, request)
        self._open.add(request.id)
        self._line(entry.target).note_offered(entry.urgency, entry.cost_s, now)
        return self._settle(self._enqueue(entry, outlook))

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
    ) -> list[Decided]:
        """Note the end of an attempt; `retry` is the place that asks for another route.

        `pause_s` is how long the endpoint wants nothing from this host, where it said so.
        """
        ended = self._tickets.close(ticket, outcome, now, pause_s)
        self._ends.note(ended, outcome, view, now)
        outlook = self._look(view, now, random)
        line = self._line(ended.entry.target)
        if outcome is Outcome.DONE:
            self._budget.note_success(now)
            line.throughput.note_done(ended.entry.cost_s, now)
        decided: list[Decided] = []
        if retry is None:
            self._open.remove(ended.entry.request.id)
        else:
            decided += self._repeat(retry, ended, outcome, outlook)
        decided += self._pump(line, outlook)
        return self._settle(decided)

    def cancel(self, request_id: str) -> list[Decided]:
        """Give up a request that waits in the queue."""
        found = [
            (line, entry)
            for line in self._lines.values()
            for entry in line.waiting.values()
            if entry.request.id == request_id
        ]
        refused = [(line, entry, refuse(entry, Kind.CALLER_LEFT, None)) for line, entry in found]
        return self._settle([self._drop(*each) for each in refused])

    def advance(self, view: View, now: float, random: Random) -> list[Decided]:
        """Decide what time and a changed view have made possible or hopeless."""
        review = now >= self._reviewed_at + REVIEW_S
        if view.published is None or not (review or self._count_queued()):
            return []
        pump = view is not self._pumped_view or now >= self._pumped_at + PUMP_S
        if pump:
            self._pumped_view, self._pumped_at = view, now
        outlook = self._look(view, now, random)
        decided: list[Decided] = []
        for line in self._busy_lines():
            for entry in line.find_hopeless(now):
                decided.append(self._give_up(line, entry, Kind.DEADLINE, outlook))
            if pump:
                decided += self._pump(line, outlook)
        if review:
            self._reviewed_at = now
            decided += self._review(outlook)
        return self._settle(decided)

    def explain(self, team: str, profile: str, view: View, now: float) -> Explanation:
        """Say where a request would go, and why; decides nothing."""
        if not view.ready:
            return explain_unready(team, profile, self._settings.policy, refuse_unready(view).kind)
        outlook = self._look(view, now, Random(0))
        return explain(outlook, self._lines, self._policy, self._settings.policy, (team, profile))

    def _look(self, view: View, now: float, random: Random) -> Outlook:
        published = view.published
        assert published is not None
        if self._catalogue is None or self._catalogue.published is not published:
            self._catalogue = Catalogue(published)
            self._objective = published.objective
        if self._knowledge.ready_at is None:
            self._knowledge.ready_at = now
        router = Router(view, self._catalogue, self._knowledge, self._settings.timing, now)
        return Outlook(router, random)

    def _enqueue(self, entry: Waiting, outlook: Outlook) -> list[Decided]:
        """Route a request, let it wait, or refuse it; all at once."""
        line = self._line(entry.target)
        line.add(entry)
        decided = self._pump(line, outlook, newcomer=entry)
        if entry.place not in line.waiting:
            return decided
        fault = outlook.find_fault(line, entry)
        if fault is not None:
            return [*decided, self._give_up(line, entry, fault, outlook)]
        if self._count_queued() > self._settings.limits.queued:
            decided.append(self._displace(outlook))
        return decided

    def _pump(
        self, line: Line, outlook: Outlook, newcomer: Waiting | None = None, review: bool = False
    ) -> list[Decided]:
        """Admit waiting requests in their order, as long as there is room for them."""
        decided: list[Decided] = []
        while line.waiting and not self._tickets.is_full:
            entry, candidate = next(
                self._find_routes(line, outlook, newcomer, review), (None, None)
            )
            if entry is None or candidate is None:
                break
            decided.append(self._admit(line, entry, candidate, outlook))
        return decided

    def _find_routes(
        self, line: Line, outlook: Outlook, newcomer: Waiting | None, review: bool
    ) -> Iterator[tuple[Waiting, Candidate]]:
        """Yield waiting requests that can be run now, the first in order first.

        Other failure domains are weighed for a newcomer and at reviews only: that costs more, and
        what is known of them changes slowly.
        """
        order = line.order()
        states = outlook.router.list_local_states(order[0].target)
        room = self._find_room(line, order, states, outlook)
        is_free = outlook.router.count_free(states) > 0
        overdue = line.find_overdue()
        tried = 0
        for turn, entry in enumerate(order):
            reach = self._policy.reach if review or entry is newcomer else Reach.HOME
            has_turn = entry.urgency in room or (turn == 0 and entry.urgency is overdue)
            looks = is_free or entry is newcomer or review
            local = states if room and looks and tried < LOOK_AHEAD and has_turn else []
            tried += bool(local)
            if not local and reach is Reach.HOME:
                continue
            sent_at = self._sent_away_at.get(entry.target, float("-inf"))
            sending = outlook.now - sent_at < SENDING_S
            choice = outlook.weigh(line, entry, local, reach, sending)
            candidate = self._policy.choose(choice, outlook.random)
            if candidate is not None:
                yield entry, candidate

    def _find_room(
        self, line: Line, order: list[Waiting], states: list[EndpointState], outlook: Outlook
    ) -> frozenset[Urgency]:
        """Find the classes that may take a slot of this failure domain now.

        The last free slots are kept for more urgent work that is expected: slots full of long work
        free up slowly, and an urgent request would wait for one. No class gets what is kept from a
        more urgent one.
        """
        if not outlook.router.has_room(states):
            return frozenset()
        free = outlook.router.count_free(states)
        slots = outlook.router.measure_slots(states)
        downward = sorted(Urgency, reverse=True)
        kept = itertools.accumulate(
            (
                self._count_kept(line, order[0].target, each, slots, outlook.now)
                for each in downward
            ),
            max,
        )
        return frozenset(
            each for each, count in zip(downward, kept, strict=True) if free >= 1 + count
        )

    def _count_kept(
        self, line: Line, target: str, urgency: Urgency, slots: float, now: float
    ) -> int:
        """Count the slots to keep free: twice the spread above the mean, as arrivals are random.

        A host whose part is few slots keeps none: it would serve nothing else.
        """
        above = line.expect_above(urgency, now)
        if above < LEAST_EXPECTED:
            return NONE_KEPT
        wanted = min(ceil(above + 2 * sqrt(above)), floor(KEPT_PART * slots))
        return max(NONE_KEPT, wanted - self._tickets.count_above(target, urgency))

    def _admit(self, line: Line, entry: Waiting, candidate: Candidate, outlook: Outlook) -> Decided:
        request = entry.request
        away = isinstance(candidate.route, Away)
        assert not (request.passed_on and away), "a passed-on request is never passed on again"
        assert candidate.region in outlook.allow(request), "run in an allowed region"
        assert candidate.name not in entry.tried, "a retry goes elsewhere"
        line.take(entry)
        if away and candidate.region != outlook.router.view.region:
            self._sent_away_at[entry.target] = outlook.now
        admitted = self._tickets.open(entry, candidate, outlook.router.view, outlook.now)
        outlook.router.forget(candidate.name)
        return Decided(entry.place, admitted)

    def _displace(self, outlook: Outlook) -> Decided:
        """Give up one request of a queue that is too long: the least urgent of the longest."""
        victims = [line.find_victim() for line in self._busy_lines()]
        longest = max(len(line.waiting) for line in self._lines.values())
        victim = min(
            victims,
            key=lambda entry: (
                entry.urgency,
                len(self._line(entry.target).waiting) < longest,
                -entry.place,
            ),
        )
        line = self._line(victim.target)
        return self._give_up(line, victim, line.name_shortage(victim), outlook)

    def _review(self, outlook: Outlook) -> list[Decided]:
        """Send waiting requests away, or give up those that would now wait in vain."""
        decided: list[Decided] = []
        for line in self._busy_lines():
            decided += self._pump(line, outlook, review=True)
            for entry in list(line.waiting.values()):
                fault = outlook.find_fault(line, entry)
                if fault is not None:
                    decided.append(self._give_up(line, entry, fault, outlook))
        self._knowledge.prune(outlook.router.view, outlook.now)
        return decided

    def _repeat(
        self, place: int, ended: Ticket, outcome: Outcome, outlook: Outlook
    ) -> list[Decided]:
        """Find another route for a request whose attempt failed, if that is safe and affordable."""
        entry = ended.entry
        ran = Ran.UNKNOWN if Ran.UNKNOWN in (entry.ran, AFTER[outcome]) else AFTER[outcome]
        places = name_places(ended.candidate)
        used = places[0] if outcome is Outcome.REFUSED else places[-1]
        entry = entry._replace(place=place, ran=ran, tried=entry.tried | {used})
        profile = outlook.published.profiles.get(entry.request.profile)
        safe = may_repeat(outcome, profile is not None and profile.idempotent)
        passed_back = outcome is Outcome.REFUSED and len(places) > 1
        late = entry.give_up_at <= outlook.now
        held = self._ends.find_refusal(entry.request, outlook.now)
        if held is not None:
            self._open.remove(entry.request.id)
            return [Decided(place, refuse(entry, held.kind, held.retry_after, held.detail))]
        if not safe or late or not (passed_back or self._budget.take(outlook.now)):
            self._open.remove(entry.request.id)
            back = jitter(CAPACITY_RETRY_S, outlook.random)
            return [Decided(place, refuse(entry, Kind.ENDPOINT_REFUSED, back))]
        return self._enqueue(entry, outlook)

    def _give_up(self, line: Line, entry: Waiting, kind: Kind, outlook: Outlook) -> Decided:
        """Give a waiting request its final answer, with when to come back."""
        if kind is Kind.RESIDENCY:
            back = None
        elif kind in (Kind.NO_CAPACITY, Kind.ENDPOINT_REFUSED):
            back = jitter(CAPACITY_RETRY_S, outlook.random)
        else:
            back = self._book_return(line, entry, outlook)
        return self._drop(line, entry, refuse(entry, kind, back))

    def _drop(self, line: Line, entry: Waiting, refused: Refused) -> Decided:
        line.drop(entry)
        self._open.remove(entry.request.id)
        return Decided(entry.place, refused)

    def _book_return(self, line: Line, entry: Waiting, outlook: Outlook) -> float:
        slots = outlook.router.measure_slots(outlook.router.list_local_states(entry.target))
        queued_s = sum(other.cost_s for other in line.waiting.values())
        return line.throughput.book_return(
            queued_s, entry.cost_s, slots, outlook.now, outlook.random
        )

    def _line(self, target: str) -> Line:
        return self._lines.setdefault(target, Line())

    def _busy_lines(self) -> list[Line]:
        return [line for line in self._lines.values() if line.waiting]

    def _count_queued(self) -> int:
        return sum(len(line.waiting) for line in self._lines.values())

    def _settle(self, decided: list[Decided]) -> list[Decided]:
        """Check that each open request is queued or in flight, so that none is lost."""
        assert len(self._open) == self._count_queued() + len(self._tickets), "a request is lost"
        return decided
