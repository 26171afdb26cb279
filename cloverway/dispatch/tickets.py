"""Tickets: attempts in progress, and what is learnt when they start and end."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import NamedTuple

from cloverway.config.schema import Urgency
from cloverway.dispatch.admission import Waiting
from cloverway.dispatch.affinity import MAYBE_S
from cloverway.dispatch.limits import HEADROOM
from cloverway.dispatch.routing import Candidate, Knowledge, name_domain, name_host
from cloverway.membership.view import View
from cloverway.messages import Admitted, Away, Local, Outcome

BEARABLE_S = 0.2
"""Start late by this, or by the mean time that a slot is held, before a queue is suspected: prompts
that are read at the same time delay each other too, and fewer in flight would not mend that."""


class Ticket(NamedTuple):
    """An attempt in progress."""

    entry: Waiting
    candidate: Candidate
    admitted_at: float
    cold_bytes: int
    incarnation: str
    reading_s: float = 0.0
    """Expected seconds of reading, while the first token is outstanding."""


class Tickets:
    """Own the attempts in progress of one host."""

    def __init__(self, knowledge: Knowledge, limit: int) -> None:
        self._knowledge = knowledge
        self._limit = limit
        self._open: dict[int, Ticket] = {}
        self._numbers = itertools.count(1)
        self.targets: Counter[str] = Counter()
        self._classes: Counter[tuple[str, Urgency]] = Counter()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def is_full(self) -> bool:
        """Whether the host runs as many requests as its settings allow."""
        return len(self._open) >= self._limit

    def count_above(self, target: str, urgency: Urgency) -> int:
        """Count attempts in progress that are more urgent than a class."""
        return sum(self._classes[target, other] for other in Urgency if other > urgency)

    def open(self, entry: Waiting, candidate: Candidate, view: View, now: float) -> Admitted:
        """Begin an attempt."""
        assert not self.is_full, "in flight is never above the limit"
        state = view.endpoints.get(candidate.name)
        incarnation = state.incarnation if state else ""
        prefixes = self._knowledge.prefixes
        since = now - MAYBE_S
        matched = prefixes.count_matched(candidate.name, incarnation, entry.prefix, since)
        cold_bytes = entry.prefix.cold_bytes(matched)
        number = next(self._numbers)
        reading_s = candidate.read_s if entry.request.stream else 0.0
        self._open[number] = Ticket(entry, candidate, now, cold_bytes, incarnation, reading_s)
        flight = self._knowledge.track(candidate.name).flight
        flight.begin(now, entry.cost_s)
        flight.reading_s += reading_s
        self.targets[entry.target] += 1
        self._classes[entry.target, entry.urgency] += 1
        prefixes.note(candidate.name, incarnation, entry.prefix, now)
        if state is not None:
            self._assert_within(state.slots, candidate)
        return Admitted(number, candidate.route)

    def start(self, number: int, view: View, at: float) -> None:
        """Learn from the first byte of an answer; only a stream's tells of the first token."""
        ticket = self._open.get(number)
        if ticket is None or not ticket.entry.request.stream:
            return
        self._stop_reading(number, ticket)
        state = view.endpoints.get(ticket.candidate.name)
        if state is None or ticket.candidate.wait_s > 0:
            return
        target = ticket.entry.target
        first_s = max(0.0, at - ticket.admitted_at)
        queue_s = first_s - self._knowledge.estimates.first_s(target, ticket.cold_bytes)
        bearable_s = max(BEARABLE_S, self._knowledge.estimates.hold_s(target))
        limit = self._knowledge.track(state.name).limit
        limit.note(queue_s, bearable_s, state.slots, at)
        if queue_s <= bearable_s:
            self._knowledge.estimates.note_first(target, first_s, ticket.cold_bytes)

    def close(
        self, number: int, outcome: Outcome, now: float, pause_s: float | None = None
    ) -> Ticket:
        """End an attempt and learn from its outcome; `pause_s` is what its endpoint asked for."""
        assert number in self._open, "a ticket is finished once"
        self._stop_reading(number, self._open[number])
        ticket = self._open.pop(number)
        tracked = self._knowledge.track(ticket.candidate.name)
        tracked.flight.end(now, ticket.admitted_at, ticket.entry.cost_s)
        self.targets[ticket.entry.target] -= 1
        self._classes[ticket.entry.target, ticket.entry.urgency] -= 1
        assert self.targets[ticket.entry.target] >= 0, "in flight is never negative"
        if outcome is Outcome.DONE:
            self._learn_success(ticket, now)
        elif outcome is not Outcome.CALLER_LEFT:
            self._learn_failure(ticket, outcome, now)
        if pause_s is not None and isinstance(ticket.candidate.route, Local):
            self._knowledge.outliers.note_pause(ticket.candidate.name, pause_s, now)
        return ticket

    def _stop_reading(self, number: int, ticket: Ticket) -> None:
        self._knowledge.track(ticket.candidate.name).flight.reading_s -= ticket.reading_s
        self._open[number] = ticket._replace(reading_s=0.0)

    def _learn_success(self, ticket: Ticket, now: float) -> None:
        entry, candidate = ticket.entry, ticket.candidate
        took_s = now - ticket.admitted_at
        for name in name_places(candidate):
            self._knowledge.outliers.note_success(name)
        if isinstance(candidate.route, Local):
            served_s = max(0.0, took_s - candidate.wait_s)
            self._knowledge.estimates.note_service(entry.request.profile, served_s)
            self._knowledge.estimates.note_hold(entry.target, served_s)
            self._knowledge.track(candidate.name).note_pace(served_s / entry.cost_s, now)

    def _learn_failure(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        places = name_places(ticket.candidate)
        blamed = places[0] if outcome is Outcome.REFUSED else places[-1]
        certain = outcome is Outcome.NOT_SENT or blamed != places[-1]
        self._knowledge.outliers.note_failure(blamed, now, certain)

    def _assert_within(self, slots: int, candidate: Candidate) -> None:
        flight = self._knowledge.track(candidate.name).flight
        assert flight.in_flight <= slots * HEADROOM + 1, "in flight is never above the limit"


def name_places(candidate: Candidate) -> tuple[str, ...]:
    """Name what an attempt used: an endpoint, or a failure domain and its host.

    A refusal speaks for the whole failure domain, a failure only for the host that was asked.
    """
    if isinstance(candidate.route, Away):
        return name_domain(candidate.route.domain), name_host(candidate.route.host)
    return (candidate.name,)
