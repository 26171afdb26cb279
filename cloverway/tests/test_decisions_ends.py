"""Quarantine of requests that crash each endpoint that runs them, at one host."""

from __future__ import annotations

from random import Random

from cloverway.dispatch.decisions import DispatchCore
from cloverway.errors import Kind, Ran
from cloverway.messages import Admitted, LocalRoute, Outcome, Refused
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
    """Requests at one core in virtual time; crashed endpoints restart as new incarnations."""

    def __init__(self) -> None:
        self.core = DispatchCore.from_config(make_settings())
        self.view = VIEW
        self.random = Random(1)
        self.now = 0.0
        self.request_count = 0
        self.crashed = []

    def arrive(self, body, profile="stock"):
        """Send a request under a new ID and return the verdict."""
        self.now += 1.0
        self.request_count += 1
        request = make_request(self.request_count, self.now, 20.0, profile=profile, body=body)
        return self._take(
            self.core.arrive(self.request_count, request, self.view, self.now, self.random)
        )

    def finish(self, verdict, outcome, retry=False):
        """End an attempt; with `retry`, return the verdict on the next one."""
        self.request_count += 1
        decisions = self.core.finish(
            *(verdict.ticket, outcome, self.view, self.now + 0.1, self.random),
            retry_entry_id=self.request_count if retry else None,
        )
        return self._take(decisions) if retry else None

    def crash(self, verdict):
        """Crash the endpoint that runs an attempt and return the verdict on the next one."""
        assert isinstance(verdict.route, LocalRoute)
        self.crashed.append(verdict.route.endpoint)
        verdict = self.finish(verdict, Outcome.LOST, retry=True)
        name = self.crashed[-1]
        next_incarnation = f"life-{len(self.crashed)}"
        self.view = change_endpoint(self.view, name, incarnation=next_incarnation)
        return verdict

    def report(self, name, incarnation):
        """Apply a load report of an endpoint."""
        changes = {"incarnation": incarnation, "reported_at": self.now + 0.2}
        self.view = change_endpoint(self.view, name, **changes)

    def _take(self, decisions):
        return next(verdict for entry_id, verdict in decisions if entry_id == self.request_count)


def send_repeatedly(scenario, attempts, body=CRASHING, profile="stock"):
    """Send a request repeatedly and crash each endpoint that runs it."""
    verdict = None
    for _ in range(attempts):
        verdict = scenario.arrive(body, profile)
        while isinstance(verdict, Admitted):
            verdict = scenario.crash(verdict)
    return verdict


def test_request_that_keeps_crashing_endpoints_is_quarantined():
    """A caller repeats a request that crashes each endpoint that starts to run it.

    Guards against treating the failures as the endpoints' own: each retry went to another endpoint,
    and each repeat had a new request ID, so that nothing identified it as the same request.
    """
    scenario = CrashScenario()
    verdict = send_repeatedly(scenario, 12)
    assert len(scenario.crashed) == MAX_CRASHES
    assert isinstance(verdict, Refused)
    assert (verdict.kind, verdict.ran) == (Kind.QUARANTINED, Ran.NO)
    assert verdict.retry_after > 1_000
    assert isinstance(scenario.arrive(b"fine"), Admitted)


def test_refusal_after_a_crash_reports_that_the_request_may_have_run():
    scenario = CrashScenario()
    send_repeatedly(scenario, 1)
    while len(scenario.crashed) < MAX_CRASHES:
        verdict = scenario.crash(scenario.arrive(CRASHING))
    assert verdict.ran is Ran.UNKNOWN


def test_failures_without_a_crash_do_not_quarantine():
    """The application answers each attempt of a request with an error and keeps running."""
    scenario = CrashScenario()
    for _ in range(8):
        verdict = scenario.arrive(CRASHING)
        assert isinstance(verdict, Admitted)
        scenario.finish(verdict, Outcome.FAILED)


def test_served_request_is_not_quarantined():
    scenario = CrashScenario()
    for _ in range(3):
        scenario.finish(scenario.arrive(CRASHING), Outcome.LOST)
        scenario.now += 30.0
        scenario.finish(scenario.arrive(CRASHING), Outcome.DONE)
        scenario.now += 30.0
    assert isinstance(scenario.arrive(CRASHING), Admitted)


def test_other_requests_are_not_quarantined():
    scenario = CrashScenario()
    send_repeatedly(scenario, 4)
    assert isinstance(scenario.arrive(CRASHING + b" not"), Admitted)
    assert isinstance(scenario.arrive(CRASHING, profile="urgent"), Admitted)


def test_crash_counts_if_the_endpoint_restarts_before_its_next_report():
    """Supervised endpoints restart within 0.1 s, before the next load report.

    Until that report the host treats the new incarnation as the old one. Answers of the new one
    voided the crash, and the request crashed one endpoint after the other.
    """
    scenario = CrashScenario()
    for _ in range(8):
        verdict = scenario.arrive(CRASHING)
        if not isinstance(verdict, Admitted):
            break
        incarnation = f"life-{len(scenario.crashed)}"
        scenario.finish(verdict, Outcome.LOST)
        scenario.crashed.append(verdict.route.endpoint)
        scenario.finish(scenario.arrive(b"fine"), Outcome.DONE)
        scenario.report(scenario.crashed[-1], f"{incarnation}-next")
    assert len(scenario.crashed) == MAX_CRASHES


def test_connection_reset_of_a_live_endpoint_is_not_a_crash():
    """A network link resets connections; the next report shows that the endpoint is still alive.

    The endpoint is restarted as planned from time to time. Guards against quarantine of the request
    after three such incarnations.
    """
    scenario = CrashScenario()
    for number in range(5):
        verdict = scenario.arrive(CRASHING)
        assert isinstance(verdict, Admitted)
        name = verdict.route.endpoint
        scenario.finish(verdict, Outcome.LOST)
        scenario.now += 1.0
        scenario.report(name, scenario.view.endpoints[name].incarnation)
        answered = {""}
        while name not in answered:
            concurrent = scenario.arrive(b"fine")
            answered.add(concurrent.route.endpoint)
            scenario.finish(concurrent, Outcome.DONE)
        scenario.report(name, f"life-{number}")


def test_report_of_the_next_incarnation_does_not_void_the_crash():
    """An answer of the old incarnation completes when the new one is already known."""
    scenario = CrashScenario()
    for number in range(8):
        verdict = scenario.arrive(CRASHING)
        if not isinstance(verdict, Admitted):
            break
        concurrent = scenario.arrive(b"fine")
        scenario.finish(verdict, Outcome.LOST)
        scenario.crashed.append(verdict.route.endpoint)
        scenario.now += 1.0
        scenario.report(scenario.crashed[-1], f"life-{number}")
        scenario.finish(concurrent, Outcome.DONE)
    assert len(scenario.crashed) == MAX_CRASHES
