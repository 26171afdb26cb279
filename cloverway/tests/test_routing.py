from __future__ import annotations

import itertools
from collections import Counter
from random import Random

import pytest

from cloverway.dispatch.affinity import rank_destinations
from cloverway.dispatch.decisions import DispatchCore
from cloverway.dispatch.outliers import MAX_EJECTION_S, MAX_REQUESTED_PAUSE_S, OutlierDetector
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.routing import SLOW_START_S
from cloverway.errors import Kind
from cloverway.membership.view import HostState
from cloverway.messages import Admitted, Away, Local, Outcome, Refused
from cloverway.tests.builders import (
    change_endpoint,
    make_published,
    make_request,
    make_settings,
    make_view,
)

E0, E1 = "cu-1-e0", "cu-1-e1"


class Host:
    """One core with its view, and short ways to drive it."""

    def __init__(self, published=None, seed=1, policy="cloverway", **more):
        self.published = published or make_published()
        self.core = DispatchCore.from_config(make_settings(policy=policy))
        self.view = make_view(self.published, **more)
        self.random = Random(seed)
        self.now = 0.0
        self.count = 0

    def arrive(self, **more):
        self.count += 1
        request = make_request(self.count, self.now, **more)
        decided = self.core.arrive(self.count, request, self.view, self.now, self.random)
        return dict(decided).get(self.count)

    def finish(self, verdict, outcome=Outcome.DONE, retry=False, pause_s=None):
        self.count += 1
        place = self.count if retry else None
        decided = self.core.finish(
            verdict.ticket, outcome, self.view, self.now, self.random, retry=place, pause_s=pause_s
        )
        return dict(decided).get(place)

    def place(self, **more):
        verdict = self.arrive(**more)
        return getattr(verdict, "route", verdict)


def test_a_leaving_endpoint_gets_no_new_work():
    """A caller's request is cut off when the endpoint that was given it stops.

    The list says live, the report says leaving, and the endpoint is the idlest of all.
    """
    host = Host()
    host.view = change_endpoint(host.view, E0, leaving=True)
    host.view = change_endpoint(host.view, E1, running=3, reported_at=0.0)
    assert [host.place().endpoint for _ in range(4)] == [E1] * 4


@pytest.mark.parametrize("change", [{"ready": False}, {"models": ()}])
def test_an_endpoint_without_the_model_or_not_ready_is_not_chosen(change):
    host = Host()
    host.view = change_endpoint(host.view, E0, **change)
    assert host.place().endpoint == E1


def test_sibling_hosts_do_not_herd_onto_an_idle_endpoint():
    """Callers of four hosts all wait at one endpoint while the others have free slots.

    Every host reads the same report: one endpoint idle, the others half full. Each sends its
    next requests there before a new report comes, unless it expects the others to do so too.
    """
    published = make_published(endpoints=4, hosts=4, slots=8)
    names = [f"cu-1-h{number}" for number in range(4)]
    sent = Counter()
    for seed, name in enumerate(names):
        others = [other for other in names if other != name]
        host = Host(published, seed, host=name, siblings=others)
        for number in range(1, 4):
            host.view = change_endpoint(host.view, f"cu-1-e{number}", running=4)
        host.now = 0.1
        sent.update(host.place().endpoint for _ in range(4))
    assert sum(sent.values()) == 16
    assert sent["cu-1-e0"] <= 8, "the idle endpoint has eight slots"


def test_a_returning_endpoint_is_given_little_at_first():
    """Answers become slow after an endpoint restarts: its cache is cold, and all work goes to it.

    It is the idlest of all, so that it would be filled at once.
    """
    host = Host(make_published(endpoints=2, slots=8))
    host.finish(host.arrive())
    host.now = 100.0
    host.view = change_endpoint(host.view, E0, started_at=100.0, incarnation="e2")
    sent = Counter(host.place().endpoint for _ in range(10))
    assert sent[E0] <= 3
    host.now += SLOW_START_S
    sent.update(host.place().endpoint for _ in range(6))
    assert sent[E0] >= 7


def test_the_last_endpoint_is_never_ejected():
    """Every request is refused for ten seconds though the only endpoint works again.

    It failed a few times in a row; leaving it alone helps no one, as there is no other.
    """
    host = Host(make_published(endpoints=1))
    for _ in range(5):
        host.finish(host.arrive(), Outcome.NOT_SENT)
        host.now += 0.01
    assert host.place() == Local(E0, host.published.endpoints[E0].url)


@pytest.mark.parametrize("endpoints", [1, 2])
def test_an_endpoint_that_asked_for_a_pause_gets_nothing_until_it_is_over(endpoints):
    """Guards against requests to a full endpoint that has said when it takes the next one."""
    host = Host(make_published(endpoints=endpoints))
    verdict = host.arrive()
    full = verdict.route.endpoint
    host.finish(verdict, Outcome.REFUSED, pause_s=20.0)
    for host.now in (0.1, 15.0, 19.9):
        places = [host.place() for _ in range(3)]
        assert full not in [getattr(place, "endpoint", None) for place in places]
    host.now = 20.1
    assert full in [getattr(host.place(), "endpoint", None) for _ in range(4)]


def test_a_pause_that_an_endpoint_asked_for_has_a_bound():
    """Guards against a number that is wrong by a factor and takes an endpoint out for good."""
    outliers = OutlierDetector()
    outliers.record_requested_pause("e", 1e9, 0.0)
    assert outliers.is_paused("e", MAX_REQUESTED_PAUSE_S - 1)
    assert not outliers.is_paused("e", MAX_REQUESTED_PAUSE_S + 1)


def test_pauses_of_a_flapping_endpoint_double_up_to_a_bound():
    outliers = OutlierDetector()
    now, pauses = 0.0, []
    for _ in range(8):
        outliers.record_failure("e", now)
        begin = now
        while outliers.is_paused("e", now):
            now += 0.05
        pauses.append(round(now - begin, 2))
    assert pauses == sorted(pauses)
    assert pauses[0] < 1.0
    assert MAX_EJECTION_S <= pauses[-1] < MAX_EJECTION_S + 0.1


def test_a_poisonous_request_does_not_eject_an_endpoint_alone():
    """One request makes every engine that runs it fail; others are refused for lack of engines."""
    host = Host()
    verdict = host.arrive()
    host.finish(verdict, Outcome.FAILED)
    host.view = change_endpoint(host.view, E0, running=0)
    assert {host.place().endpoint for _ in range(4)} == {E0, E1}


def test_a_restarted_endpoint_counts_as_cold():
    """A conversation is sent to the endpoint that held its prefix before it restarted."""
    host = Host()
    body = b'{"messages": "' + b"x" * 20_000
    first = host.arrive(body=body, stream=True)
    held = first.route.endpoint
    host.finish(first)
    again = host.arrive(body=body, stream=True)
    assert again.route.endpoint == held
    host.finish(again)
    prefixes = host.core._learned.prefixes
    assert prefixes.count_matching_blocks(held, "e1", Prefix.from_body(body), -1.0) > 0
    assert prefixes.count_matching_blocks(held, "e2", Prefix.from_body(body), -1.0) == 0


def test_hosts_agree_on_the_place_of_a_prefix():
    names = [f"e{number}" for number in range(10)]
    assert rank_destinations(b"key", names) == rank_destinations(b"key", reversed(names))
    moved = rank_destinations(b"key", names[:-1])
    assert [name for name in rank_destinations(b"key", names) if name != "e9"] == moved


def is_away(verdict):
    return isinstance(verdict, Admitted) and isinstance(verdict.route, Away)


def fill(host, **more):
    """Fill the slots of home and let a queue build up."""
    return [host.arrive(**more) for _ in range(16)]


WEIGHTS = {
    "riviere": {"tail_latency": 3, "sent_away": 1},
    "caroni": {"tail_latency": 1, "sent_away": 3},
}


def test_weights_decide_how_long_a_request_waits_at_home():
    """Both organisations send away, Caroni only after a longer queue than Rivière."""
    queued = {}
    for who, objective in WEIGHTS.items():
        verdicts = fill(Host(make_published(objective=objective), free=8), lasts=60.0)
        queued[who] = list(itertools.takewhile(lambda v: not is_away(v), verdicts)).count(None)
    assert queued["riviere"] < queued["caroni"]


def test_home_is_kept_while_it_has_free_slots():
    host = Host(free=8)
    assert all(isinstance(host.place(), Local) for _ in range(8))


def test_a_cut_off_domain_is_no_candidate():
    """Callers wait for a connection into a region that is cut off, until their deadline.

    Its last summary said that it had free slots; since then nothing was heard from there.
    """
    host = Host(free=8)
    host.now = 60.0
    for number in range(2):
        host.view = change_endpoint(host.view, f"cu-1-e{number}", reported_at=60.0)
    verdicts = fill(host, lasts=60.0)
    assert not any(is_away(verdict) for verdict in verdicts)


@pytest.mark.parametrize("change", [{"leaving": True}, {"overloaded": True}, {"heard_at": -9.0}])
def test_a_leaving_overloaded_or_silent_host_is_not_asked(change):
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    heard = [
        HostState(f"{domain}-h{number}", domain, heard_at=0.0)
        for domain in ("pl-1", "ro-1")
        for number in range(2)
    ]
    shunned = {state.name for state in heard if state.name.endswith("h0")}
    states = [state._replace(**change) if state.name in shunned else state for state in heard]
    host.view = host.view._replace(hosts={state.name: state for state in states})
    asked = {verdict.route.host for verdict in fill(host, lasts=60.0) if is_away(verdict)}
    assert asked
    assert not asked & shunned


def test_a_bound_team_is_served_in_its_region_or_refused():
    host = Host(free=8)
    route = host.place(team="bound")
    assert isinstance(route, Away) and route.domain == "ro-1"
    refused = host.arrive(team="bound", passed_on=True)
    assert refused == Refused(Kind.RESIDENCY)


def test_a_passed_on_request_is_run_or_refused_but_never_passed_on():
    """Two regions that are both full send one request to and fro until its deadline."""
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    verdicts = [host.arrive(passed_on=True, lasts=60.0) for _ in range(12)]
    assert all(isinstance(v.route, Local) for v in verdicts[:8])
    assert all(v is None or v.kind is Kind.OVERLOADED for v in verdicts[8:])
    assert isinstance(verdicts[-1], Refused)


def test_a_refusal_of_another_domain_comes_back_and_is_not_repeated():
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    sent = next(v for v in fill(host, lasts=60.0) if is_away(v))
    verdict = host.finish(sent, Outcome.REFUSED, retry=True)
    assert verdict is None or isinstance(verdict, Refused) or verdict.route != sent.route


@pytest.mark.parametrize(
    "policy", ["random", "round_robin", "least_outstanding", "home_only", "global_least_loaded"]
)
def test_baselines_choose_only_what_may_be_chosen(policy):
    host = Host(policy=policy, free=8)
    host.view = change_endpoint(host.view, E0, leaving=True)
    routes = [host.place() for _ in range(4)]
    assert {route.endpoint for route in routes if isinstance(route, Local)} <= {E1}
    bound = host.place(team="bound")
    assert isinstance(bound, Away) and bound.domain == "ro-1"


def test_the_baseline_of_all_regions_leaves_home_for_an_idler_place():
    host = Host(policy="global_least_loaded", free=8)
    assert any(is_away(host.arrive()) for _ in range(4))


def test_an_explanation_names_every_place_and_why():
    host = Host(free=8)
    host.view = change_endpoint(host.view, E0, leaving=True)
    explanation = host.core.explain("desk", "stock", host.view, host.now)
    rows = {row["place"]: row for row in explanation["candidates"]}
    assert explanation["verdict"] == E1
    assert rows[E1]["chosen"]
    assert rows[E0]["why"] == "leaving"
    assert rows["pl-1"]["away"]
    bound = host.core.explain("bound", "stock", host.view, host.now)
    reasons = {row["place"]: row["why"] for row in bound["candidates"]}
    assert bound["allowed_regions"] == ["rodrigues"]
    assert "residency" in reasons["pl-1"]
    assert host.core.get_stats().in_flight == 0
