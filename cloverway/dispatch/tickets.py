"""Tickets: attempts in progress, and what the host learns when they start and end."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import NamedTuple

from cloverway.config.schema import Urgency
from cloverway.dispatch.admission import QueueEntry
from cloverway.dispatch.affinity import POSSIBLY_CACHED_S
from cloverway.dispatch.limits import HEADROOM
from cloverway.dispatch.routing import Candidate, LearnedState, make_domain_key, make_host_key
from cloverway.membership.view import View
from cloverway.messages import Admitted, LocalRoute, Outcome, RemoteRoute

TOLERATED_QUEUE_S = 0.2
"""Minimum delay of the first token that is treated as queueing at the endpoint; the mean slot time
applies if it is longer. Concurrent prefills delay each other too, and a lower limit on requests in
flight would not help there."""


class Ticket(NamedTuple):
    """An attempt in progress."""

    entry: QueueEntry
    candidate: Candidate
    admitted_at: float
    uncached_bytes: int
    incarnation: str
    pending_prefill_s: float = 0.0
    """Expected prefill seconds until the first token arrives, then zero."""


class Tickets:
    """Own the attempts in progress of one host."""

    def __init__(self, learned: LearnedState, limit: int) -> None:
        self._learned = learned
        self._limit = limit
        self._open: dict[int, Ticket] = {}
        self._numbers = itertools.count(1)
        self.targets: Counter[str] = Counter()
        self._classes: Counter[tuple[str, Urgency]] = Counter()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def is_full(self) -> bool:
        """Whether the host has as many attempts in progress as its settings allow."""
        return len(self._open) >= self._limit

    def count_more_urgent(self, target: str, urgency: Urgency) -> int:
        """Return the number of attempts in progress that are more urgent than a class."""
        return sum(self._classes[target, other] for other in Urgency if other > urgency)

    def open(self, entry: QueueEntry, candidate: Candidate, view: View, now: float) -> Admitted:
        """Start an attempt and return its admission."""
        assert not self.is_full, "in flight is never above the limit"
        state = view.endpoints.get(candidate.name)
        incarnation = state.incarnation if state else ""
        prefixes = self._learned.prefixes
        since = now - POSSIBLY_CACHED_S
        matched = prefixes.count_matching_blocks(candidate.name, incarnation, entry.prefix, since)
        uncached_bytes = entry.prefix.count_uncached_bytes(matched)
        number = next(self._numbers)
        pending_prefill_s = candidate.uncached_prefill_s if entry.request.stream else 0.0
        self._open[number] = Ticket(
            entry, candidate, now, uncached_bytes, incarnation, pending_prefill_s
        )
        attempts = self._learned.get_record(candidate.name).attempts
        attempts.begin(now, entry.cost_s)
        attempts.pending_prefill_s += pending_prefill_s
        self.targets[entry.target] += 1
        self._classes[entry.target, entry.urgency] += 1
        prefixes.record(candidate.name, incarnation, entry.prefix, now)
        if state is not None:
            self._assert_within_limit(state.slots, candidate)
        return Admitted(number, candidate.route)

    def start(self, number: int, view: View, at: float) -> None:
        """Learn from the first byte of a stream; in other answers it is not the first token."""
        ticket = self._open.get(number)
        if ticket is None or not ticket.entry.request.stream:
            return
        self._end_prefill(number, ticket)
        state = view.endpoints.get(ticket.candidate.name)
        if state is None or ticket.candidate.wait_s > 0:
            return
        target = ticket.entry.target
        first_token_s = max(0.0, at - ticket.admitted_at)
        queue_s = first_token_s - self._learned.estimates.estimate_first_token_s(
            target, ticket.uncached_bytes
        )
        tolerated_s = max(TOLERATED_QUEUE_S, self._learned.estimates.get_mean_slot_s(target))
        limit = self._learned.get_record(state.name).limit
        limit.record_queue_time(queue_s, tolerated_s, state.slots, at)
        if queue_s <= tolerated_s:
            self._learned.estimates.record_first_token(target, first_token_s, ticket.uncached_bytes)

    def close(
        self, number: int, outcome: Outcome, now: float, requested_pause_s: float | None = None
    ) -> Ticket:
        """End an attempt; learn from its outcome and from a pause that the endpoint requested."""
        assert number in self._open, "a ticket may be closed only once"
        self._end_prefill(number, self._open[number])
        ticket = self._open.pop(number)
        destination = self._learned.get_record(ticket.candidate.name)
        destination.attempts.end(now, ticket.admitted_at, ticket.entry.cost_s)
        self.targets[ticket.entry.target] -= 1
        self._classes[ticket.entry.target, ticket.entry.urgency] -= 1
        assert self.targets[ticket.entry.target] >= 0, "in flight is never negative"
        if outcome is Outcome.DONE:
            self._learn_success(ticket, now)
        elif outcome is not Outcome.CALLER_LEFT:
            self._learn_failure(ticket, outcome, now)
        if requested_pause_s is not None and isinstance(ticket.candidate.route, LocalRoute):
            self._learned.outliers.record_requested_pause(
                ticket.candidate.name, requested_pause_s, now
            )
        return ticket

    def _end_prefill(self, number: int, ticket: Ticket) -> None:
        self._learned.get_record(
            ticket.candidate.name
        ).attempts.pending_prefill_s -= ticket.pending_prefill_s
        self._open[number] = ticket._replace(pending_prefill_s=0.0)

    def _learn_success(self, ticket: Ticket, now: float) -> None:
        entry, candidate = ticket.entry, ticket.candidate
        took_s = now - ticket.admitted_at
        for name in list_destinations(candidate):
            self._learned.outliers.record_success(name)
        if isinstance(candidate.route, LocalRoute):
            served_s = max(0.0, took_s - candidate.wait_s)
            self._learned.estimates.record_service(entry.request.profile, served_s)
            self._learned.estimates.record_slot_time(entry.target, served_s)
            self._learned.get_record(candidate.name).record_slowdown(served_s / entry.cost_s, now)

    def _learn_failure(self, ticket: Ticket, outcome: Outcome, now: float) -> None:
        destinations = list_destinations(ticket.candidate)
        failed = destinations[0] if outcome is Outcome.REFUSED else destinations[-1]
        is_remote = len(destinations) > 1
        certain = is_remote and (outcome is Outcome.NOT_SENT or failed != destinations[-1])
        self._learned.outliers.record_failure(failed, now, certain)

    def _assert_within_limit(self, slots: int, candidate: Candidate) -> None:
        attempts = self._learned.get_record(candidate.name).attempts
        assert attempts.in_flight <= slots * HEADROOM + 1, "in flight is never above the limit"


def list_destinations(candidate: Candidate) -> tuple[str, ...]:
    """Return what an attempt used: an endpoint, or a failure domain and one of its hosts.

    A refusal applies to the entire failure domain, a failure only to the host that was used.
    """
    if isinstance(candidate.route, RemoteRoute):
        return make_domain_key(candidate.route.domain), make_host_key(candidate.route.host)
    return (candidate.name,)
