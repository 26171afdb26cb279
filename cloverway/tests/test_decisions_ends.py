"""Requests that end each endpoint which runs them, at one host of the own interface."""

from __future__ import annotations

from random import Random

from cloverway.dispatch.decisions import DispatchCore
from cloverway.errors import Kind, Ran
from cloverway.messages import Admitted, Local, Outcome, Refused
from cloverway.tests.builders import (
    change_endpoint,
    make_published,
    make_request,
    make_settings,
    make_view,
)

VIEW = make_view(make_published(slots=8), free=8)
MAX_CRASHES = 3
CRASHING = b"crash"


class CrashScenario:
    """Requests at one core, in virtual time; endpoints that end come back born again."""

    def __init__(self) -> None:
        self.core = DispatchCore.from_config(make_settings())
        self.view = VIEW
        self.random = Random(1)
        self.now = 0.0
        self.request_count = 0
        self.crashed = []

    def arrive(self, body, profile="stock"):
        """Send a request as another try; give the verdict."""
        self.now += 1.0
        self.request_count += 1
        request = make_request(self.request_count, self.now, 20.0, profile=profile, body=body)
        return self._take(
            self.core.arrive(self.request_count, request, self.view, self.now, self.random)
        )

    def finish(self, verdict, outcome, retry=False):
        """End an attempt; give the verdict on the next one, where it is asked for."""
        self.request_count += 1
        decided = self.core.finish(
            *(verdict.ticket, outcome, self.view, self.now + 0.1, self.random),
            retry=self.request_count if retry else None,
        )
        return self._take(decided) if retry else None

    def crash(self, verdict):
        """End the endpoint that runs an attempt; give the verdict on the next one."""
        assert isinstance(verdict.route, Local)
        self.crashed.append(verdict.route.endpoint)
        verdict = self.finish(verdict, Outcome.LOST, retry=True)
        name = self.crashed[-1]
        born = f"life-{len(self.crashed)}"
        self.view = change_endpoint(self.view, name, incarnation=born)
        return verdict

    def report(self, name, incarnation):
        """Let a load report come of an endpoint."""
        changes = {"incarnation": incarnation, "reported_at": self.now + 0.2}
        self.view = change_endpoint(self.view, name, **changes)

    def _take(self, decided):
        return next(verdict for place, verdict in decided if place == self.request_count)


def send_repeatedly(scenario, attempts, body=CRASHING, profile="stock"):
    """Send a request again and again, and let each endpoint that runs it end."""
    verdict = None
    for _ in range(attempts):
        verdict = scenario.arrive(body, profile)
        while isinstance(verdict, Admitted):
            verdict = scenario.crash(verdict)
    return verdict


def test_a_request_that_ends_each_endpoint_that_runs_it_is_not_sent_for_ever():
    """A caller sends one request again and again; each endpoint that begins to run it ends.

    The failure was the endpoint's, so the next run went to a sound one, and the next try had
    another id: nothing told that it was the same request.
    """
    scenario = CrashScenario()
    verdict = send_repeatedly(scenario, 12)
    assert len(scenario.crashed) == MAX_CRASHES
    assert isinstance(verdict, Refused)
    assert (verdict.kind, verdict.ran) == (Kind.QUARANTINED, Ran.NO)
    assert verdict.retry_after > 1_000
    assert isinstance(scenario.arrive(b"fine"), Admitted)


def test_what_is_told_never_denies_the_run_that_has_just_ended_an_endpoint():
    scenario = CrashScenario()
    send_repeatedly(scenario, 1)
    while len(scenario.crashed) < MAX_CRASHES:
        verdict = scenario.crash(scenario.arrive(CRASHING))
    assert verdict.ran is Ran.UNKNOWN


def test_failures_of_endpoints_that_live_on_shut_nothing_out():
    """An application answers each try of one request with a failure of its own."""
    scenario = CrashScenario()
    for _ in range(8):
        verdict = scenario.arrive(CRASHING)
        assert isinstance(verdict, Admitted)
        scenario.finish(verdict, Outcome.FAILED)


def test_a_request_that_is_served_ends_nothing():
    scenario = CrashScenario()
    for _ in range(3):
        scenario.finish(scenario.arrive(CRASHING), Outcome.LOST)
        scenario.now += 30.0
        scenario.finish(scenario.arrive(CRASHING), Outcome.DONE)
        scenario.now += 30.0
    assert isinstance(scenario.arrive(CRASHING), Admitted)


def test_other_requests_of_the_team_and_other_teams_are_not_meant():
    scenario = CrashScenario()
    send_repeatedly(scenario, 4)
    assert isinstance(scenario.arrive(CRASHING + b" not"), Admitted)
    assert isinstance(scenario.arrive(CRASHING, profile="urgent"), Admitted)


def test_an_endpoint_that_is_back_before_its_report_has_still_ended():
    """Supervised endpoints are back within 0.1 s, sooner than the next load report tells of it.

    Until then the host takes the new life for the old one. It answers other requests, and so the
    old one seemed never to have ended; its request ended one endpoint after the other.
    """
    scenario = CrashScenario()
    for _ in range(8):
        verdict = scenario.arrive(CRASHING)
        if not isinstance(verdict, Admitted):
            break
        life = f"life-{len(scenario.crashed)}"
        scenario.finish(verdict, Outcome.LOST)
        scenario.crashed.append(verdict.route.endpoint)
        scenario.finish(scenario.arrive(b"fine"), Outcome.DONE)
        scenario.report(scenario.crashed[-1], f"{life}-next")
    assert len(scenario.crashed) == MAX_CRASHES


def test_an_endpoint_that_is_reported_after_its_connection_broke_has_not_ended():
    """A link resets connections; the endpoint lives on, and its next report says so.

    It is replaced now and then as planned. After three of its lives the request would be refused.
    """
    scenario = CrashScenario()
    for life in range(5):
        verdict = scenario.arrive(CRASHING)
        assert isinstance(verdict, Admitted)
        name = verdict.route.endpoint
        scenario.finish(verdict, Outcome.LOST)
        scenario.now += 1.0
        scenario.report(name, scenario.view.endpoints[name].incarnation)
        answered = {""}
        while name not in answered:
            beside = scenario.arrive(b"fine")
            answered.add(beside.route.endpoint)
            scenario.finish(beside, Outcome.DONE)
        scenario.report(name, f"life-{life}")


def test_the_report_of_the_next_life_says_nothing_of_the_one_before():
    """An answer of the old life is finished when the new one is known already."""
    scenario = CrashScenario()
    for number in range(8):
        verdict = scenario.arrive(CRASHING)
        if not isinstance(verdict, Admitted):
            break
        beside = scenario.arrive(b"fine")
        scenario.finish(verdict, Outcome.LOST)
        scenario.crashed.append(verdict.route.endpoint)
        scenario.now += 1.0
        scenario.report(scenario.crashed[-1], f"life-{number}")
        scenario.finish(beside, Outcome.DONE)
    assert len(scenario.crashed) == MAX_CRASHES
