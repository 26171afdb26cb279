"""Placement of one request at one moment: where it may run and how long it would wait here."""

from __future__ import annotations

from random import Random

from cloverway.config.published import Published
from cloverway.dispatch.admission import QueueEntry, RequestQueue
from cloverway.dispatch.policies import HomeEstimate, PlacementOptions, Reach
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.residency import get_allowed_regions
from cloverway.dispatch.routing import Candidate, Router
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState
from cloverway.messages import Request

MAX_FORWARDED_WAIT_S = 0.25
"""Maximum predicted wait of a forwarded request. With a longer wait it is refused, because the host
that forwarded it may have a better destination."""
MAX_FAILURES_BEFORE_FORWARDING = 2
"""A request that has failed at more destinations than this is not forwarded any more."""

GOOD_COST_FRACTION = 0.5
"""Fraction of the service time by which a good local candidate may exceed the time to first token
of an uncached prompt."""

HOME_IS_FREE = HomeEstimate(0.0, True, 0.0)
HOME_CANNOT_SERVE = HomeEstimate(float("inf"), False, float("inf"))


def has_good_local_candidate(
    entry: QueueEntry, local: list[Candidate], first_token_s: float
) -> bool:
    """Return whether a local candidate is so good that other regions need not be considered.

    Most requests have one, and evaluating a hundred failure domains costs more than the rest of the
    decision.
    """
    return any(
        candidate.free
        and candidate.wait_s == 0
        and candidate.cost_s <= first_token_s + GOOD_COST_FRACTION * entry.cost_s
        for candidate in local
    )


def may_be_forwarded(entry: QueueEntry) -> bool:
    """Return whether a request may be forwarded to another failure domain at all."""
    return not entry.request.is_forwarded and len(entry.tried) <= MAX_FAILURES_BEFORE_FORWARDING


class PlacementContext:
    """Read-only predictions for requests, from one view at one moment."""

    def __init__(self, router: Router, random: Random) -> None:
        self.router = router
        self.random = random
        self.now = router.now

    @property
    def published(self) -> Published:
        """The configuration in force at this moment."""
        return self.router.catalogue.published

    def list_allowed_regions(self, request: Request) -> frozenset[str]:
        """Return the allowed regions by the current configuration, not the one at arrival."""
        return get_allowed_regions(self.published, request.team, request.profile)

    def find_refusal(self, request: Request) -> Kind | None:
        """Return why a request must be refused at arrival, or None."""
        allowed = self.list_allowed_regions(request)
        if not allowed or (request.is_forwarded and self.router.view.region not in allowed):
            return Kind.RESIDENCY
        return Kind.DEADLINE if request.deadline <= self.now else None

    def make_entry(self, entry_id: int, request: Request) -> QueueEntry:
        """Create the queue entry of an acceptable request."""
        profile = self.published.profiles[request.profile]
        return QueueEntry(
            entry_id=entry_id,
            request=request,
            target=profile.target,
            urgency=profile.priority,
            weight=self.published.teams[request.team].weight,
            cost_s=self.router.learned.estimates.estimate_service_s(request.profile, profile),
            prefix=Prefix.from_body(request.body if profile.model else b""),
            entered_at=self.now,
        )

    def gather_options(
        self,
        queue: RequestQueue,
        entry: QueueEntry,
        states: list[EndpointState],
        reach: Reach,
        recently_sent_away: bool,
    ) -> PlacementOptions:
        """Collect the inputs of a policy's choice for a request."""
        allowed = self.list_allowed_regions(entry.request)
        local = []
        if self.router.view.region in allowed:
            local = self.router.list_local(entry, states)
        away = []
        if self._needs_away_candidates(entry, local, reach):
            away = self.router.list_away(entry, allowed, self.random)
        home = self.predict_home(queue, entry) if away or not local else HOME_IS_FREE
        waited_s = self.now - entry.entered_at
        return PlacementOptions(entry, local, away, home, recently_sent_away, waited_s)

    def _needs_away_candidates(
        self, entry: QueueEntry, local: list[Candidate], reach: Reach
    ) -> bool:
        if reach is Reach.HOME or not may_be_forwarded(entry):
            return False
        uncached_first_token_s = self.router.learned.estimates.estimate_first_token_s(
            entry.target, entry.prefix.length
        )
        return reach is Reach.ALL or not has_good_local_candidate(
            entry, local, uncached_first_token_s
        )

    def predict_home(self, queue: RequestQueue, entry: QueueEntry) -> HomeEstimate:
        """Predict the cost of waiting for a slot in this failure domain."""
        states = [
            state
            for state in self.router.list_local_states(entry.target)
            if state.name not in entry.tried
        ]
        if not states or self.router.view.region not in self.list_allowed_regions(entry.request):
            return HOME_CANNOT_SERVE
        wait_s = queue.predict_wait(entry, self.router.estimate_slots(states), self.now)
        estimates = self.router.learned.estimates
        first_token_s = estimates.estimate_first_token_s(entry.target, entry.prefix.length / 2)
        return HomeEstimate(
            wait_s + first_token_s, self.now + wait_s <= entry.latest_start_at, wait_s
        )

    def find_queue_refusal(self, queue: RequestQueue, entry: QueueEntry) -> Kind | None:
        """Return why a request without a route must not stay in the queue, or None if it may."""
        home = self.predict_home(queue, entry)
        if home == HOME_CANNOT_SERVE:
            return self._classify_no_endpoint(entry)
        if entry.latest_start_at <= self.now:
            return Kind.DEADLINE
        too_long = entry.request.is_forwarded and home.wait_s > MAX_FORWARDED_WAIT_S
        return queue.classify_shortage(entry) if too_long or not home.meets_deadline else None

    def _classify_no_endpoint(self, entry: QueueEntry) -> Kind:
        if entry.tried:
            return Kind.ENDPOINT_REFUSED
        allowed = self.list_allowed_regions(entry.request)
        capacities = self.router.catalogue.list_capacities(entry.target)
        if capacities and not any(capacity.region in allowed for capacity in capacities):
            return Kind.RESIDENCY
        return Kind.NO_CAPACITY
