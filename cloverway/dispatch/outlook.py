"""What lies ahead of one request at one moment: where it may go, how long it would wait here."""

from __future__ import annotations

from random import Random

from cloverway.config.published import Published
from cloverway.dispatch.admission import Line, Waiting
from cloverway.dispatch.policies import Choice, Home, Reach
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.residency import allowed_regions
from cloverway.dispatch.routing import Candidate, Router
from cloverway.errors import Kind
from cloverway.membership.view import EndpointState
from cloverway.messages import Request

PASSED_ON_WAIT_S = 0.25
"""The longest predicted wait of a passed-on request; its first host may know a better place."""
MOST_PASSES = 2
"""Times that one request is passed on to other failure domains, one after the other."""

EASE_PART = 0.5
"""Part of the service time that a free place may cost over a first token without any cache."""

HERE = Home(0.0, True, 0.0)
NOWHERE = Home(float("inf"), False, float("inf"))


def is_at_ease(entry: Waiting, local: list[Candidate], first_s: float) -> bool:
    """Tell whether home has so good a place that no other region needs to be weighed.

    Most requests find one, and a hundred failure domains cost more to weigh than all the rest.
    """
    return any(
        place.free and place.wait_s == 0 and place.cost_s <= first_s + EASE_PART * entry.cost_s
        for place in local
    )


def may_be_passed_on(entry: Waiting) -> bool:
    """Tell whether a request may go to another failure domain at all."""
    return not entry.request.passed_on and len(entry.tried) <= MOST_PASSES


class Outlook:
    """Predict for requests by one view at one moment; changes nothing."""

    def __init__(self, router: Router, random: Random) -> None:
        self.router = router
        self.random = random
        self.now = router.now

    @property
    def published(self) -> Published:
        """The configuration of this moment."""
        return self.router.catalogue.published

    def allow(self, request: Request) -> frozenset[str]:
        """List the allowed regions by the configuration of now, not of the arrival."""
        return allowed_regions(self.published, request.team, request.profile)

    def find_refusal(self, request: Request) -> Kind | None:
        """Find why a request may not be taken at all."""
        allowed = self.allow(request)
        if not allowed or (request.passed_on and self.router.view.region not in allowed):
            return Kind.RESIDENCY
        return Kind.DEADLINE if request.deadline <= self.now else None

    def make_entry(self, place: int, request: Request) -> Waiting:
        """Note what the queue needs to know of a request that may be taken."""
        profile = self.published.profiles[request.profile]
        return Waiting(
            place=place,
            request=request,
            target=profile.target,
            urgency=profile.priority,
            weight=self.published.teams[request.team].weight,
            cost_s=self.router.knowledge.estimates.service_s(request.profile, profile),
            prefix=Prefix.from_body(request.body if profile.model else b""),
            entered_at=self.now,
        )

    def weigh(
        self, line: Line, entry: Waiting, states: list[EndpointState], reach: Reach, sending: bool
    ) -> Choice:
        """Gather all that a choice for a request is made from."""
        allowed = self.allow(entry.request)
        local = []
        if self.router.view.region in allowed:
            local = self.router.list_local(entry, states)
        elsewhere = []
        if self._looks_far(entry, local, reach):
            elsewhere = self.router.list_away(entry, allowed, self.random)
        home = self.predict_home(line, entry) if elsewhere or not local else HERE
        waited_s = self.now - entry.entered_at
        return Choice(entry, local, elsewhere, home, sending, waited_s)

    def _looks_far(self, entry: Waiting, local: list[Candidate], reach: Reach) -> bool:
        if reach is Reach.HOME or not may_be_passed_on(entry):
            return False
        cold_first_s = self.router.knowledge.estimates.first_s(entry.target, entry.prefix.length)
        return reach is Reach.ALL or not is_at_ease(entry, local, cold_first_s)

    def predict_home(self, line: Line, entry: Waiting) -> Home:
        """Predict what waiting for a slot in this failure domain comes to."""
        states = [
            state
            for state in self.router.list_local_states(entry.target)
            if state.name not in entry.tried
        ]
        if not states or self.router.view.region not in self.allow(entry.request):
            return NOWHERE
        wait_s = line.predict_wait(entry, self.router.measure_slots(states), self.now)
        estimates = self.router.knowledge.estimates
        first_s = estimates.first_s(entry.target, entry.prefix.length / 2)
        return Home(wait_s + first_s, self.now + wait_s <= entry.give_up_at, wait_s)

    def find_fault(self, line: Line, entry: Waiting) -> Kind | None:
        """Find why a request without a route would wait in vain; None when it may wait."""
        home = self.predict_home(line, entry)
        if home == NOWHERE:
            return self._find_gap(entry)
        if entry.give_up_at <= self.now:
            return Kind.DEADLINE
        too_long = entry.request.passed_on and home.wait_s > PASSED_ON_WAIT_S
        return line.name_shortage(entry) if too_long or not home.in_time else None

    def _find_gap(self, entry: Waiting) -> Kind:
        if entry.tried:
            return Kind.ENDPOINT_REFUSED
        allowed = self.allow(entry.request)
        offers = self.router.catalogue.offers(entry.target)
        if offers and not any(offer.region in allowed for offer in offers):
            return Kind.RESIDENCY
        return Kind.NO_CAPACITY
