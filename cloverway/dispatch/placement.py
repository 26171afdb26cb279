"""What lies ahead of one request at one moment: where it may go, how long it would wait here."""

from __future__ import annotations

from random import Random

from cloverway.config.published import Published
from cloverway.dispatch.admission import QueueEntry, RequestQueue
from cloverway.dispatch.policies import HomeEstimate, PlacementOptions, Reach
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.residency import allowed_regions
from cloverway.dispatch.routing import Candidate, Router
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState
from cloverway.messages import Request

MAX_PASSED_ON_WAIT_S = 0.25
"""The longest predicted wait of a passed-on request; its first host may know a better place."""
MAX_PASSES = 2
"""Times that one request is passed on to other failure domains, one after the other."""

GOOD_COST_FRACTION = 0.5
"""Part of the service time that a free place may cost over a first token without any cache."""

HOME_IS_FREE = HomeEstimate(0.0, True, 0.0)
HOME_CANNOT_SERVE = HomeEstimate(float("inf"), False, float("inf"))


def has_good_local_candidate(
    entry: QueueEntry, local: list[Candidate], first_token_s: float
) -> bool:
    """Tell whether home has so good a place that no other region needs to be weighed.

    Most requests find one, and a hundred failure domains cost more to weigh than all the rest.
    """
    return any(
        candidate.free
        and candidate.wait_s == 0
        and candidate.cost_s <= first_token_s + GOOD_COST_FRACTION * entry.cost_s
        for candidate in local
    )


def may_be_passed_on(entry: QueueEntry) -> bool:
    """Tell whether a request may go to another failure domain at all."""
    return not entry.request.passed_on and len(entry.tried) <= MAX_PASSES


class PlacementContext:
    """Predict for requests by one view at one moment; changes nothing."""

    def __init__(self, router: Router, random: Random) -> None:
        self.router = router
        self.random = random
        self.now = router.now

    @property
    def published(self) -> Published:
        """The configuration of this moment."""
        return self.router.catalogue.published

    def list_allowed_regions(self, request: Request) -> frozenset[str]:
        """List the allowed regions by the configuration of now, not of the arrival."""
        return allowed_regions(self.published, request.team, request.profile)

    def find_refusal(self, request: Request) -> Kind | None:
        """Find why a request may not be taken at all."""
        allowed = self.list_allowed_regions(request)
        if not allowed or (request.passed_on and self.router.view.region not in allowed):
            return Kind.RESIDENCY
        return Kind.DEADLINE if request.deadline <= self.now else None

    def make_entry(self, entry_id: int, request: Request) -> QueueEntry:
        """Note what the queue needs to know of a request that may be taken."""
        profile = self.published.profiles[request.profile]
        return QueueEntry(
            entry_id=entry_id,
            request=request,
            target=profile.target,
            urgency=profile.priority,
            weight=self.published.teams[request.team].weight,
            cost_s=self.router.learned.estimates.service_s(request.profile, profile),
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
        """Gather all that a choice for a request is made from."""
        allowed = self.list_allowed_regions(entry.request)
        local = []
        if self.router.view.region in allowed:
            local = self.router.list_local(entry, states)
        elsewhere = []
        if self._needs_away_candidates(entry, local, reach):
            elsewhere = self.router.list_away(entry, allowed, self.random)
        home = self.predict_home(queue, entry) if elsewhere or not local else HOME_IS_FREE
        waited_s = self.now - entry.entered_at
        return PlacementOptions(entry, local, elsewhere, home, recently_sent_away, waited_s)

    def _needs_away_candidates(
        self, entry: QueueEntry, local: list[Candidate], reach: Reach
    ) -> bool:
        if reach is Reach.HOME or not may_be_passed_on(entry):
            return False
        uncached_first_token_s = self.router.learned.estimates.first_token_s(
            entry.target, entry.prefix.length
        )
        return reach is Reach.ALL or not has_good_local_candidate(
            entry, local, uncached_first_token_s
        )

    def predict_home(self, queue: RequestQueue, entry: QueueEntry) -> HomeEstimate:
        """Predict what waiting for a slot in this failure domain comes to."""
        states = [
            state
            for state in self.router.list_local_states(entry.target)
            if state.name not in entry.tried
        ]
        if not states or self.router.view.region not in self.list_allowed_regions(entry.request):
            return HOME_CANNOT_SERVE
        wait_s = queue.predict_wait(entry, self.router.estimate_slots(states), self.now)
        estimates = self.router.learned.estimates
        first_token_s = estimates.first_token_s(entry.target, entry.prefix.length / 2)
        return HomeEstimate(wait_s + first_token_s, self.now + wait_s <= entry.latest_start, wait_s)

    def find_queue_refusal(self, queue: RequestQueue, entry: QueueEntry) -> Kind | None:
        """Find why a request without a route would wait in vain; None when it may wait."""
        home = self.predict_home(queue, entry)
        if home == HOME_CANNOT_SERVE:
            return self._classify_no_endpoint(entry)
        if entry.latest_start <= self.now:
            return Kind.DEADLINE
        too_long = entry.request.passed_on and home.wait_s > MAX_PASSED_ON_WAIT_S
        return queue.classify_shortage(entry) if too_long or not home.in_time else None

    def _classify_no_endpoint(self, entry: QueueEntry) -> Kind:
        if entry.tried:
            return Kind.ENDPOINT_REFUSED
        allowed = self.list_allowed_regions(entry.request)
        capacities = self.router.catalogue.list_capacities(entry.target)
        if capacities and not any(capacity.region in allowed for capacity in capacities):
            return Kind.RESIDENCY
        return Kind.NO_CAPACITY
