"""The pure core of the dispatcher: every decision about a request, without I/O, clock or chance.

Time and randomness are arguments, so that tests drive it in virtual time.
"""

from __future__ import annotations

import itertools
from collections import Counter
from random import Random
from typing import NamedTuple, TypedDict

from cloverway.config.settings import Settings
from cloverway.errors import Kind
from cloverway.messages import Admitted, Away, Local, Outcome, Refused, Request, Route, Verdict
from cloverway.residency import allowed_regions
from cloverway.view import View

STARTING_RETRY_S = 1.0
"""When to come back to a host that has no configuration yet."""
LEAVING_RETRY_S = 0.2
"""When to come back after asking a leaving host: another host can be asked at once."""


class Decided(NamedTuple):
    """A verdict for the request that waits at a place."""

    place: int
    verdict: Verdict


class Candidate(TypedDict):
    """One place that could run a request, with its predicted cost, for `cloverway explain`."""

    route: str
    """Name of an endpoint, or of another failure domain."""
    away: bool
    region: str
    wait_s: float
    """Predicted wait for a slot."""
    cost_s: float
    """Predicted wait to the first token, with the trip, a cold cache and the objective's weight."""
    chosen: bool
    why: str


class Explanation(TypedDict):
    """Why a request of a team and profile would go where."""

    team: str
    profile: str
    policy: str
    allowed_regions: list[str]
    verdict: str
    candidates: list[Candidate]


class Ticket(NamedTuple):
    """An attempt in progress."""

    request: Request
    route: Route
    target: str
    admitted_at: float


def refuse_unready(view: View) -> Refused:
    """Refuse a request at a host that takes no work."""
    if view.leaving:
        return Refused(Kind.LEAVING, retry_after=LEAVING_RETRY_S)
    return Refused(Kind.STARTING, retry_after=STARTING_RETRY_S)


class Core:
    """Own the tickets of one host and decide about each request."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._tickets: dict[int, Ticket] = {}
        self._numbers = itertools.count(1)
        self._at_endpoint: Counter[str] = Counter()
        self._at_target: Counter[str] = Counter()

    @classmethod
    def from_config(cls, settings: Settings) -> Core:
        """Make the core of one daemon."""
        return cls(settings)

    @property
    def in_flight(self) -> int:
        """Count attempts in progress."""
        return len(self._tickets)

    @property
    def load(self) -> float:
        """Give requests in progress over the limit, 0 to 1."""
        return min(1.0, len(self._tickets) / self._settings.limits.admitted)

    def arrive(
        self, place: int, request: Request, view: View, now: float, random: Random
    ) -> list[Decided]:
        """Decide about a new request."""
        return [Decided(place, self._decide(request, view, now, random))]

    def start(self, ticket: int, at: float) -> None:
        """Note the first byte of an answer."""

    def finish(
        self,
        ticket: int,
        outcome: Outcome,
        view: View,
        now: float,
        random: Random,
        *,
        retry: int | None = None,
    ) -> list[Decided]:
        """Note the end of an attempt; `retry` is the place that asks for another route."""
        ended = self._tickets.pop(ticket, None)
        assert ended is not None, "a ticket is finished once"
        self._count(ended, -1)
        if retry is None:
            return []
        return [Decided(retry, self._decide(ended.request, view, now, random))]

    def cancel(self, request_id: str, now: float) -> list[Decided]:
        """Give up a request that waits in the queue."""
        return []

    def advance(self, view: View, now: float, random: Random) -> list[Decided]:
        """Decide what time and a changed view have made possible or hopeless."""
        return []

    def explain(self, team: str, profile: str, view: View, now: float) -> Explanation:
        """Say where a request would go, and why."""
        allowed = allowed_regions(view.published, team, profile) if view.published else frozenset()
        return Explanation(
            team=team,
            profile=profile,
            policy=self._settings.policy,
            allowed_regions=sorted(allowed),
            verdict="",
            candidates=[],
        )

    def count_targets(self) -> dict[str, int]:
        """Count attempts in progress by model or service."""
        return dict(+self._at_target)

    def _decide(self, request: Request, view: View, now: float, random: Random) -> Verdict:
        published = view.published
        if published is None or view.leaving:
            return refuse_unready(view)
        if request.deadline <= now:
            return Refused(Kind.DEADLINE, retry_after=STARTING_RETRY_S)
        allowed = allowed_regions(published, request.team, request.profile)
        if not allowed:
            return Refused(Kind.RESIDENCY)
        if len(self._tickets) >= self._settings.limits.admitted:
            return Refused(Kind.OVERLOADED, retry_after=random.uniform(0.5, 1.5))
        route: Route | None = None
        if view.region in allowed:
            route = self._choose_local(request, view)
        if route is None and not request.passed_on:
            route = self._choose_away(request, view, allowed, random)
        if route is None:
            return Refused(Kind.NO_CAPACITY, retry_after=random.uniform(0.5, 1.5))
        return self._admit(request, route, view, now)

    def _admit(self, request: Request, route: Route, view: View, now: float) -> Admitted:
        assert not (request.passed_on and isinstance(route, Away)), "passed on once at most"
        ticket = next(self._numbers)
        assert view.published is not None
        target = view.published.profiles[request.profile].target
        self._tickets[ticket] = Ticket(request, route, target, now)
        self._count(self._tickets[ticket], 1)
        return Admitted(ticket, route)

    def _count(self, ticket: Ticket, change: int) -> None:
        self._at_target[ticket.target] += change
        if not isinstance(ticket.route, Local):
            return
        self._at_endpoint[ticket.route.endpoint] += change
        assert self._at_endpoint[ticket.route.endpoint] >= 0, "in flight is never negative"

    def _choose_local(self, request: Request, view: View) -> Local | None:
        assert view.published is not None
        target = view.published.profiles[request.profile].target
        fit = [
            state
            for name, state in view.endpoints.items()
            if name in view.published.endpoints
            and state.ready
            and not state.leaving
            and target in state.models
        ]
        if not fit:
            return None
        best = min(fit, key=lambda state: self._at_endpoint[state.name] + state.waiting)
        return Local(best.name, view.published.endpoints[best.name].url)

    def _choose_away(
        self, request: Request, view: View, allowed: frozenset[str], random: Random
    ) -> Away | None:
        published = view.published
        assert published is not None
        target = published.profiles[request.profile].target
        domains = [
            domain
            for (domain, offered), summary in view.summaries.items()
            if offered == target
            and domain != view.domain
            and summary.ready > 0
            and published.region_of(domain) in allowed
        ]
        for domain in sorted(domains, key=lambda name: published.region_of(name) != view.region):
            hosts = [
                name
                for name in published.hosts_of(domain)
                if name not in view.hosts or not view.hosts[name].leaving
            ]
            if hosts:
                host = random.choice(hosts)
                return Away(domain, host, published.hosts[host].peers)
        return None
