"""Explanations of routing decisions, as `cloverway explain` shows them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypedDict

from cloverway.dispatch.admission import QueueEntry, RequestQueue
from cloverway.dispatch.catalogue import DomainCapacity
from cloverway.dispatch.placement import HOME_CANNOT_SERVE, PlacementContext
from cloverway.dispatch.policies import PlacementOptions, Policy, Reach
from cloverway.dispatch.routing import Candidate, Router, make_domain_key
from cloverway.errors import Kind
from cloverway.messages import RemoteRoute, Request

EXAMPLE_DEADLINE_S = 60.0
"""Assumed time until the deadline of an explained request."""


class CandidateRow(TypedDict):
    """One destination that could run a request, with its predicted cost."""

    place: str
    """Name of an endpoint, or of another failure domain."""
    away: bool
    region: str
    free: bool
    wait_s: float | None
    """Predicted wait for a slot."""
    cost_s: float | None
    """Predicted time to the first token."""
    chosen: bool
    why: str


class Explanation(TypedDict):
    """Where a request of a team and profile would be routed, and why."""

    team: str
    profile: str
    policy: str
    allowed_regions: list[str]
    verdict: str
    """Name of the chosen destination, "queued", or the kind of the refusal."""
    home_wait_s: float | None
    """Predicted wait in this failure domain's queue; None if it can't serve the request."""
    candidates: list[CandidateRow]


def explain_not_ready(team: str, profile: str, policy: str, kind: Kind) -> Explanation:
    """Return the explanation of a host that accepts no work."""
    return Explanation(
        team=team,
        profile=profile,
        policy=policy,
        allowed_regions=[],
        verdict=str(kind),
        home_wait_s=None,
        candidates=[],
    )


def explain(
    context: PlacementContext,
    queues: Mapping[str, RequestQueue],
    policy: Policy,
    policy_name: str,
    team_and_profile: tuple[str, str],
) -> Explanation:
    """Explain where a request of a (team, profile) would be routed, without routing it."""
    request = _make_example_request(*team_and_profile, context.now)
    refusal = context.find_refusal(request)
    if refusal is not None:
        return explain_not_ready(*team_and_profile, policy_name, refusal)
    entry = context.make_entry(0, request)
    queue = queues.get(entry.target) or RequestQueue()
    states = context.router.list_local_states(entry.target)
    options = context.gather_options(queue, entry, states, Reach.ALL, recently_sent_away=False)
    chosen = policy.choose(options, context.random)
    home = context.predict_home(queue, entry)
    refusal_kind = context.find_queue_refusal(queue, entry)
    allowed = context.list_allowed_regions(request)
    return Explanation(
        team=request.team,
        profile=request.profile,
        policy=policy_name,
        allowed_regions=sorted(allowed),
        verdict=chosen.name.rpartition("/")[2] if chosen else str(refusal_kind or "queued"),
        home_wait_s=None if home == HOME_CANNOT_SERVE else round(0.0 if chosen else home.wait_s, 4),
        candidates=[
            *_explain_candidates(
                options, chosen, lambda away: policy.adjust_away_cost(away, options)
            ),
            *_explain_excluded(context.router, entry, allowed, options),
        ],
    )


def _explain_candidates(
    options: PlacementOptions, chosen: Candidate | None, adjust: Callable[[Candidate], float]
) -> list[CandidateRow]:
    """Describe each candidate and why it was chosen or rejected."""
    return [
        _make_row(
            candidate,
            chosen=candidate is chosen,
            why=(
                "chosen by the policy"
                if candidate is chosen
                else _explain_rejection(candidate, adjust)
            ),
        )
        for candidate in (*options.local, *options.away)
    ]


def _explain_excluded(
    router: Router, entry: QueueEntry, allowed: frozenset[str], options: PlacementOptions
) -> list[CandidateRow]:
    """Describe the destinations that are not candidates, and why."""
    listed = {candidate.name for candidate in (*options.local, *options.away)}
    endpoints = [
        (name, router.view.region, _explain_endpoint_exclusion(router, entry, name, allowed))
        for name in router.catalogue.published.endpoints_of(router.view.domain)
        if name not in listed
    ]
    domains = [
        (
            capacity.domain,
            capacity.region,
            _explain_domain_exclusion(router, capacity, entry.target, allowed),
        )
        for capacity in router.catalogue.list_capacities(entry.target)
        if capacity.domain != router.view.domain and make_domain_key(capacity.domain) not in listed
    ]
    rows = [(*row, False) for row in endpoints] + [(*row, True) for row in domains]
    return [
        CandidateRow(
            place=place,
            away=away,
            region=region,
            free=False,
            wait_s=None,
            cost_s=None,
            chosen=False,
            why=why,
        )
        for place, region, why, away in rows
    ]


def _make_example_request(team: str, profile: str, now: float) -> Request:
    return Request(
        id="",
        team=team,
        profile=profile,
        path="",
        method="POST",
        body=b"",
        content_type="",
        arrived_at=now,
        deadline=now + EXAMPLE_DEADLINE_S,
    )


def _make_row(candidate: Candidate, chosen: bool, why: str) -> CandidateRow:
    return CandidateRow(
        place=candidate.name.rpartition("/")[2],
        away=isinstance(candidate.route, RemoteRoute),
        region=candidate.region,
        free=candidate.free,
        wait_s=round(candidate.wait_s, 4),
        cost_s=round(candidate.cost_s, 4),
        chosen=chosen,
        why=why,
    )


def _explain_rejection(candidate: Candidate, adjust: Callable[[Candidate], float]) -> str:
    if not candidate.free:
        return "no slot is free"
    if isinstance(candidate.route, RemoteRoute):
        return f"costs {adjust(candidate):.3f} s with the weight of being sent away"
    return "a higher predicted cost"


def _explain_endpoint_exclusion(
    router: Router, entry: QueueEntry, name: str, allowed: frozenset[str]
) -> str:
    state = router.view.endpoints.get(name)
    if router.view.region not in allowed:
        return "residency does not allow this region"
    if state is None or not state.ready:
        return "not ready"
    if state.leaving:
        return "leaving"
    if entry.target not in state.models:
        return f"{entry.target} is not loaded"
    return "left alone after failures"


def _explain_domain_exclusion(
    router: Router, capacity: DomainCapacity, target: str, allowed: frozenset[str]
) -> str:
    if capacity.region not in allowed:
        return "residency does not allow this region"
    if router.learned.outliers.is_paused(make_domain_key(capacity.domain), router.now):
        return "paused after a refusal"
    summary = router.view.summaries.get((capacity.domain, target))
    if summary is not None and not router.is_usable(summary):
        return "no endpoint is ready, or its summary is too old"
    return "no live host is known in this failure domain"
