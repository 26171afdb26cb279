"""Why a request would go where: what `cloverway explain` shows of one decision."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypedDict

from cloverway.dispatch.admission import Line, Waiting
from cloverway.dispatch.catalogue import Offer
from cloverway.dispatch.outlook import NOWHERE, Outlook
from cloverway.dispatch.policies import Choice, Policy, Reach
from cloverway.dispatch.routing import Candidate, Router, name_domain
from cloverway.errors import Kind
from cloverway.messages import Away, Request

PROBE_S = 60.0
"""Time that an explained request is taken to have."""


class CandidateRow(TypedDict):
    """One place that could run a request, with its predicted cost."""

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
    """Why a request of a team and profile would go where."""

    team: str
    profile: str
    policy: str
    allowed_regions: list[str]
    verdict: str
    """Name of the chosen place, "queued", or the kind of the refusal."""
    home_wait_s: float | None
    """Predicted wait in this failure domain's queue; None where it can't serve the request."""
    candidates: list[CandidateRow]


def explain_unready(team: str, profile: str, policy: str, kind: Kind) -> Explanation:
    """Say that a host takes no work at all."""
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
    outlook: Outlook,
    lines: Mapping[str, Line],
    policy: Policy,
    policy_name: str,
    asked: tuple[str, str],
) -> Explanation:
    """Say where a request of a (team, profile) would go, and why; decides nothing."""
    request = _make_probe(*asked, outlook.now)
    refusal = outlook.find_refusal(request)
    if refusal is not None:
        return explain_unready(*asked, policy_name, refusal)
    entry = outlook.make_entry(0, request)
    line = lines.get(entry.target) or Line()
    states = outlook.router.list_local_states(entry.target)
    choice = outlook.weigh(line, entry, states, Reach.ALL, sending=False)
    chosen = policy.choose(choice, outlook.random)
    home = outlook.predict_home(line, entry)
    fault = outlook.find_fault(line, entry)
    allowed = outlook.allow(request)
    return Explanation(
        team=request.team,
        profile=request.profile,
        policy=policy_name,
        allowed_regions=sorted(allowed),
        verdict=chosen.name.rpartition("/")[2] if chosen else str(fault or "queued"),
        home_wait_s=None if home == NOWHERE else round(0.0 if chosen else home.wait_s, 4),
        candidates=[
            *_explain_choice(choice, chosen, lambda place: policy.weigh_away(place, choice)),
            *_explain_rest(outlook.router, entry, allowed, choice),
        ],
    )


def _explain_choice(
    choice: Choice, chosen: Candidate | None, weigh: Callable[[Candidate], float]
) -> list[CandidateRow]:
    """Describe each candidate and why it was taken or left out."""
    return [
        _make_row(
            candidate,
            chosen=candidate is chosen,
            why="chosen by the policy" if candidate is chosen else _say_why_not(candidate, weigh),
        )
        for candidate in (*choice.local, *choice.away)
    ]


def _explain_rest(
    router: Router, entry: Waiting, allowed: frozenset[str], choice: Choice
) -> list[CandidateRow]:
    """Describe the places that were no candidates, and why."""
    listed = {candidate.name for candidate in (*choice.local, *choice.away)}
    endpoints = [
        (name, router.view.region, _rule_out_endpoint(router, entry, name, allowed))
        for name in router.catalogue.published.endpoints_of(router.view.domain)
        if name not in listed
    ]
    domains = [
        (offer.domain, offer.region, _rule_out_domain(router, offer, entry.target, allowed))
        for offer in router.catalogue.offers(entry.target)
        if offer.domain != router.view.domain and name_domain(offer.domain) not in listed
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


def _make_probe(team: str, profile: str, now: float) -> Request:
    return Request(
        id="",
        team=team,
        profile=profile,
        path="",
        method="POST",
        body=b"",
        content_type="",
        arrived_at=now,
        deadline=now + PROBE_S,
    )


def _make_row(candidate: Candidate, chosen: bool, why: str) -> CandidateRow:
    return CandidateRow(
        place=candidate.name.rpartition("/")[2],
        away=isinstance(candidate.route, Away),
        region=candidate.region,
        free=candidate.free,
        wait_s=round(candidate.wait_s, 4),
        cost_s=round(candidate.cost_s, 4),
        chosen=chosen,
        why=why,
    )


def _say_why_not(candidate: Candidate, weigh: Callable[[Candidate], float]) -> str:
    if not candidate.free:
        return "no slot is free"
    if isinstance(candidate.route, Away):
        return f"costs {weigh(candidate):.3f} s with the weight of being sent away"
    return "a higher predicted cost"


def _rule_out_endpoint(router: Router, entry: Waiting, name: str, allowed: frozenset[str]) -> str:
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


def _rule_out_domain(router: Router, offer: Offer, target: str, allowed: frozenset[str]) -> str:
    if offer.region not in allowed:
        return "residency does not allow this region"
    if router.knowledge.outliers.is_paused(name_domain(offer.domain), router.now):
        return "left alone after it refused"
    summary = router.view.summaries.get((offer.domain, target))
    if summary is not None and not router.is_usable(summary):
        return "no endpoint is ready, or its summary is too old"
    return "no live host is known there"
