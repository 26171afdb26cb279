from __future__ import annotations

import itertools
from collections import Counter
from random import Random

import pytest

from cloverway.dispatch.affinity import rank_destinations
from cloverway.dispatch.decisions import DispatchCore
from cloverway.dispatch.outliers import (
    MAX_EJECTION_S,
    MAX_REQUESTED_PAUSE_S,
    MIN_CONSECUTIVE_FAILURES,
    OutlierDetector,
)
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.routing import SLOW_START_S
from cloverway.errors import Kind, Ran
from cloverway.membership.view import HostState
from cloverway.messages import Admitted, LocalRoute, Outcome, Refused, RemoteRoute
from cloverway.tests.builders import (
    change_endpoint,
    make_published,
    make_request,
    make_settings,
    make_view,
)

E0, E1 = "cu-1-e0", "cu-1-e1"


class Host:
    """One core with its view, and shortcuts to use it."""

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
        decisions = self.core.arrive(self.count, request, self.view, self.now, self.random)
        return dict(decisions).get(self.count)

    def finish(self, verdict, outcome=Outcome.DONE, retry=False, requested_pause_s=None):
        self.count += 1
        entry_id = self.count if retry else None
        decisions = self.core.finish(
            verdict.ticket,
            outcome,
            self.view,
            self.now,
            self.random,
            retry_entry_id=entry_id,
            requested_pause_s=requested_pause_s,
        )
        return dict(decisions).get(entry_id)

    def get_route(self, **more):
        verdict = self.arrive(**more)
        return getattr(verdict, "route", verdict)


def test_leaving_endpoint_gets_no_new_work():
    """Guard against requests that are cut off because their endpoint is shutting down.

    The list says live, the load report says leaving, and the endpoint is the least loaded one.
    """
    host = Host()
    host.view = change_endpoint(host.view, E0, leaving=True)
    host.view = change_endpoint(host.view, E1, running=3, reported_at=0.0)
    assert [host.get_route().endpoint for _ in range(4)] == [E1] * 4


@pytest.mark.parametrize("change", [{"ready": False}, {"models": ()}])
def test_endpoint_without_the_model_or_not_ready_is_not_chosen(change):
    host = Host()
    host.view = change_endpoint(host.view, E0, **change)
    assert host.get_route().endpoint == E1


def test_hosts_do_not_herd_onto_an_idle_endpoint():
    """Guard against requests of four hosts queueing at one endpoint while others have free slots.

    All hosts read the same reports: one endpoint is idle, the others are half full. Each would send
    its next requests there before a new report arrives, unless it assumes that the others do too.
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
        sent.update(host.get_route().endpoint for _ in range(4))
    assert sum(sent.values()) == 16
    assert sent["cu-1-e0"] <= 8, "the idle endpoint has eight slots"


def test_restarted_endpoint_gets_a_slow_start():
    """Guard against slow answers after an endpoint restarts with a cold cache.

    It is the least loaded endpoint, so without a slow start it would be filled at once.
    """
    host = Host(make_published(endpoints=2, slots=8))
    host.finish(host.arrive())
    host.now = 100.0
    host.view = change_endpoint(host.view, E0, started_at=100.0, incarnation="e2")
    sent = Counter(host.get_route().endpoint for _ in range(10))
    assert sent[E0] <= 3
    host.now += SLOW_START_S
    sent.update(host.get_route().endpoint for _ in range(6))
    assert sent[E0] >= 7


def test_last_endpoint_is_never_ejected():
    """Guard against refusing every request for ten seconds after the only endpoint recovered.

    It failed a few times in a row, but ejecting it does not help because there is no other.
    """
    host = Host(make_published(endpoints=1))
    for _ in range(5):
        host.finish(host.arrive(), Outcome.NOT_SENT)
        host.now += 0.01
    assert host.get_route() == LocalRoute(E0, host.published.endpoints[E0].url)


@pytest.mark.parametrize("endpoints", [1, 2])
def test_requested_pause_is_respected(endpoints):
    """Guard against requests to a full endpoint that has announced when it accepts the next one."""
    host = Host(make_published(endpoints=endpoints))
    verdict = host.arrive()
    full = verdict.route.endpoint
    host.finish(verdict, Outcome.REFUSED, requested_pause_s=20.0)
    for host.now in (0.1, 15.0, 19.9):
        routes = [host.get_route() for _ in range(3)]
        assert full not in [getattr(route, "endpoint", None) for route in routes]
    host.now = 20.1
    assert full in [getattr(host.get_route(), "endpoint", None) for _ in range(4)]


def test_requested_pause_is_bounded():
    """Guard against a pause in the wrong unit that would disable an endpoint permanently."""
    outliers = OutlierDetector()
    outliers.record_requested_pause("e", 1e9, 0.0)
    assert outliers.is_paused("e", MAX_REQUESTED_PAUSE_S - 1)
    assert not outliers.is_paused("e", MAX_REQUESTED_PAUSE_S + 1)


def test_ejection_time_doubles_up_to_a_bound():
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


def test_single_failure_does_not_eject_an_endpoint():
    """Guard against one request that fails at every engine and gets all engines ejected."""
    host = Host()
    verdict = host.arrive()
    host.finish(verdict, Outcome.FAILED)
    host.view = change_endpoint(host.view, E0, running=0)
    assert {host.get_route().endpoint for _ in range(4)} == {E0, E1}


def test_restarted_endpoint_has_a_cold_cache():
    """Guard against prefix affinity to an endpoint that lost its cache in a restart."""
    host = Host()
    body = b'{"messages": "' + b"x" * 20_000
    first = host.arrive(body=body, stream=True)
    cached_at = first.route.endpoint
    host.finish(first)
    retried = host.arrive(body=body, stream=True)
    assert retried.route.endpoint == cached_at
    host.finish(retried)
    prefixes = host.core._learned.prefixes
    assert prefixes.count_matching_blocks(cached_at, "e1", Prefix.from_body(body), -1.0) > 0
    assert prefixes.count_matching_blocks(cached_at, "e2", Prefix.from_body(body), -1.0) == 0


def test_hosts_agree_on_the_endpoint_of_a_prefix():
    names = [f"e{number}" for number in range(10)]
    assert rank_destinations(b"key", names) == rank_destinations(b"key", reversed(names))
    moved = rank_destinations(b"key", names[:-1])
    assert [name for name in rank_destinations(b"key", names) if name != "e9"] == moved


def is_away(verdict):
    return isinstance(verdict, Admitted) and isinstance(verdict.route, RemoteRoute)


def fill(host, **more):
    """Fill the slots at home and build up a queue."""
    return [host.arrive(**more) for _ in range(16)]


WEIGHTS = {
    "riviere": {"tail_latency": 3, "sent_away": 1},
    "caroni": {"tail_latency": 1, "sent_away": 3},
}


def test_objective_weights_decide_how_long_a_request_waits_at_home():
    """Both organisations send requests away, Caroni only at a longer queue than Rivière."""
    queued = {}
    for who, objective in WEIGHTS.items():
        verdicts = fill(Host(make_published(objective=objective), free=8), timeout_s=60.0)
        queued[who] = list(itertools.takewhile(lambda v: not is_away(v), verdicts)).count(None)
    assert queued["riviere"] < queued["caroni"]


def test_requests_stay_at_home_while_it_has_free_slots():
    host = Host(free=8)
    assert all(isinstance(host.get_route(), LocalRoute) for _ in range(8))


def test_unreachable_domain_is_not_a_candidate():
    """Guard against requests that wait until their deadline for a connection to a cut-off region.

    Its last summary reported free slots; nothing has been received from there since.
    """
    host = Host(free=8)
    host.now = 60.0
    for number in range(2):
        host.view = change_endpoint(host.view, f"cu-1-e{number}", reported_at=60.0)
    verdicts = fill(host, timeout_s=60.0)
    assert not any(is_away(verdict) for verdict in verdicts)


def test_a_view_from_before_a_pause_does_not_make_domains_unreachable():
    """Guard against refusing the first calls after a pause of the host itself.

    The host decides before it has processed what arrived during the pause.
    """
    host = Host(free=8)
    host.view = host.view._replace(made_at=0.0)
    host.now = 60.0
    assert host.get_route(team="bound").domain == "ro-1"


@pytest.mark.parametrize("change", [{"leaving": True}, {"overloaded": True}, {"heard_at": -9.0}])
def test_leaving_overloaded_or_silent_host_is_not_used(change):
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    host_states = [
        HostState(f"{domain}-h{number}", domain, heard_at=0.0)
        for domain in ("pl-1", "ro-1")
        for number in range(2)
    ]
    excluded = {state.name for state in host_states if state.name.endswith("h0")}
    states = [
        state._replace(**change) if state.name in excluded else state for state in host_states
    ]
    host.view = host.view._replace(hosts={state.name: state for state in states})
    used_hosts = {verdict.route.host for verdict in fill(host, timeout_s=60.0) if is_away(verdict)}
    assert used_hosts
    assert not used_hosts & excluded


def test_another_host_is_tried_after_one_that_cannot_be_reached():
    """Guard against refusing the requests of a region because one of its hosts is silent.

    The host is paused, so connecting to it takes until the timeout. Nothing was sent, and the other
    host of its failure domain works. No endpoint had any work, so the retry takes no budget.
    """
    host = Host(free=8)
    verdicts = [host.arrive(team="bound") for _ in range(6)]
    silent = verdicts[0].route.host
    for verdict in verdicts:
        assert verdict.route.domain == "ro-1"
        if verdict.route.host == silent:
            again = host.finish(verdict, Outcome.NOT_SENT, retry=True)
            assert again.route.domain == "ro-1"
            assert again.route.host != silent
    assert {host.get_route(team="bound").host for _ in range(6)} == {"ro-1-h0", "ro-1-h1"} - {
        silent
    }


def test_an_ejected_host_is_tried_after_the_other_one_could_not_be_reached():
    """Guard against refusing a request of a region whose one host is silent and the other works.

    Two requests have just failed at the working host, so that it is ejected for a moment. It is the
    last chance of a request that has reached nobody.
    """
    host = Host(free=8)
    ejected = host.get_route(team="bound").host
    failures = 0
    while failures < MIN_CONSECUTIVE_FAILURES:
        verdict = host.arrive(team="bound")
        failed = verdict.route.host == ejected
        host.finish(verdict, Outcome.FAILED if failed else Outcome.DONE)
        failures += failed
    verdict = host.arrive(team="bound")
    assert verdict.route.host != ejected
    again = host.finish(verdict, Outcome.NOT_SENT, retry=True)
    assert isinstance(again, Admitted)
    assert again.route.host == ejected
    assert isinstance(host.arrive(team="bound"), Refused), "both are ejected, so refuse at once"


def test_a_request_ends_when_no_host_of_its_region_can_be_reached():
    """Guard against a request that tries silent hosts until its caller has gone."""
    host = Host(free=8)
    verdict = host.arrive(team="bound")
    for _ in range(2):
        assert isinstance(verdict, Admitted)
        verdict = host.finish(verdict, Outcome.NOT_SENT, retry=True)
    assert isinstance(verdict, Refused)
    assert (verdict.kind, verdict.ran) == (Kind.ENDPOINT_REFUSED, Ran.NO)


def test_bound_team_is_served_in_its_region_or_refused():
    host = Host(free=8)
    route = host.get_route(team="bound")
    assert isinstance(route, RemoteRoute) and route.domain == "ro-1"
    refused = host.arrive(team="bound", is_forwarded=True)
    assert refused == Refused(Kind.RESIDENCY)


def test_forwarded_request_is_never_forwarded_again():
    """Guard against two full regions that forward a request back and forth until its deadline."""
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    verdicts = [host.arrive(is_forwarded=True, timeout_s=60.0) for _ in range(12)]
    assert all(isinstance(v.route, LocalRoute) for v in verdicts[:8])
    assert all(v is None or v.kind is Kind.OVERLOADED for v in verdicts[8:])
    assert isinstance(verdicts[-1], Refused)


def test_domain_that_refused_is_not_tried_again():
    host = Host(make_published(objective=WEIGHTS["riviere"]), free=8)
    sent = next(v for v in fill(host, timeout_s=60.0) if is_away(v))
    verdict = host.finish(sent, Outcome.REFUSED, retry=True)
    assert verdict is None or isinstance(verdict, Refused) or verdict.route != sent.route


@pytest.mark.parametrize(
    "policy", ["random", "round_robin", "least_outstanding", "home_only", "global_least_loaded"]
)
def test_baseline_policies_obey_the_rules(policy):
    host = Host(policy=policy, free=8)
    host.view = change_endpoint(host.view, E0, leaving=True)
    routes = [host.get_route() for _ in range(4)]
    assert {route.endpoint for route in routes if isinstance(route, LocalRoute)} <= {E1}
    bound = host.get_route(team="bound")
    assert isinstance(bound, RemoteRoute) and bound.domain == "ro-1"


def test_global_least_loaded_leaves_home_for_a_less_loaded_region():
    host = Host(policy="global_least_loaded", free=8)
    assert any(is_away(host.arrive()) for _ in range(4))


def test_explanation_names_every_destination_and_why():
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
