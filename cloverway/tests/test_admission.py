from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from cloverway.config.schema import Urgency
from cloverway.dispatch.admission import QueueEntry, RequestQueue, Throughput
from cloverway.dispatch.prompts import Prefix
from cloverway.dispatch.retries import (
    BUDGET_WINDOW_S,
    MIN_RETRIES,
    RETRIES_PER_SUCCESS,
    RetryBudget,
    may_retry,
)
from cloverway.errors import Kind, Ran
from cloverway.messages import Admitted, Outcome, Refused
from cloverway.tests.builders import make_published, make_request
from cloverway.tests.test_routing import E0, E1, Host


def make_entry(
    entry_id, *, team="desk", urgency=Urgency.NORMAL, cost_s=1.0, weight=1.0, timeout_s=60.0
):
    request = make_request(entry_id, 0.0, timeout_s, team=team)
    return QueueEntry(
        entry_id, request, "clover", urgency, weight, cost_s, Prefix.from_body(b""), entered_at=0.0
    )


def serve(queue, count):
    """Admit requests in service order and return their entries."""
    served = []
    for _ in range(count):
        entry = queue.list_in_service_order()[0]
        queue.admit(entry)
        served.append(entry)
    return served


def test_urgent_work_does_not_starve_the_lowest_class():
    """Guard against batch requests that never run because urgent requests keep arriving."""
    queue = RequestQueue()
    queue.add(make_entry(1, urgency=Urgency.BATCH))
    served = []
    for entry_id in range(2, 100):
        queue.add(make_entry(entry_id, urgency=Urgency.URGENT))
        served += serve(queue, 1)
    assert Urgency.BATCH in {entry.urgency for entry in served}
    assert [entry.urgency for entry in served[:20]] == [Urgency.URGENT] * 20


def test_full_queue_does_not_evict_the_last_request_of_the_lowest_class():
    queue = RequestQueue()
    queue.add(make_entry(1, urgency=Urgency.BATCH))
    for entry_id in range(2, 12):
        queue.add(make_entry(entry_id))
    assert queue.select_eviction().urgency is Urgency.NORMAL


def test_urgent_short_request_overtakes_long_batch_work():
    queue = RequestQueue()
    for entry_id in range(1, 9):
        queue.add(make_entry(entry_id, urgency=Urgency.BATCH, cost_s=20.0))
    queue.add(make_entry(9, urgency=Urgency.URGENT, cost_s=0.2))
    assert queue.list_in_service_order()[0].entry_id == 9


def test_teams_share_by_weight_not_by_request_count():
    """Guard against one team with many requests that delays another team with few."""
    queue = RequestQueue()
    for entry_id in range(100):
        queue.add(make_entry(entry_id, team="flood"))
    for entry_id in range(100, 140):
        queue.add(make_entry(entry_id, team="few", weight=2.0))
    counts = Counter(entry.request.team for entry in serve(queue, 45))
    assert counts["few"] == pytest.approx(30, abs=1)


def test_idle_team_gains_no_credit():
    queue = RequestQueue()
    for entry_id in range(50):
        queue.add(make_entry(entry_id, team="busy"))
    serve(queue, 40)
    for entry_id in range(50, 70):
        queue.add(make_entry(entry_id, team="new"))
    counts = Counter(entry.request.team for entry in serve(queue, 10))
    assert counts["new"] <= 6


def test_teams_are_charged_by_cost():
    queue = RequestQueue()
    for entry_id in range(20):
        queue.add(make_entry(entry_id, team="long", cost_s=4.0))
    for entry_id in range(20, 60):
        queue.add(make_entry(entry_id, team="short", cost_s=1.0))
    counts = Counter(entry.request.team for entry in serve(queue, 20))
    assert counts["short"] >= 15


def test_refused_callers_get_different_retry_times():
    """Guard against refused callers that all retry in the same second and are refused again."""
    throughput, random = Throughput(), Random(1)
    for number in range(50):
        throughput.record_completed(1.0, number * 0.1)
    times = [throughput.schedule_retry(5.0, 1.0, 8.0, 5.0, random) for _ in range(50)]
    assert max(times) - min(times) > 3.0, "fifty seconds of work return over several seconds"
    assert all(0.1 <= time <= 30.0 for time in times)


def test_request_that_cannot_start_in_time_is_refused_at_once():
    """Guard against callers that wait until their deadline before they are refused."""
    host = Host()
    verdicts = [host.arrive(timeout_s=3.0) for _ in range(40)]
    refused = [verdict for verdict in verdicts if isinstance(verdict, Refused)]
    assert refused
    assert {verdict.kind for verdict in refused} <= {Kind.OVERLOADED, Kind.TEAM_LIMIT}
    assert all(verdict.ran is Ran.NO and verdict.retry_after >= 0.1 for verdict in refused)


def test_waiting_request_is_answered_by_its_deadline():
    """Guard against a queued caller without an answer when the endpoint stops answering."""
    host = Host()
    for _ in range(8):
        host.arrive(timeout_s=60.0)
    assert host.arrive(timeout_s=6.0) is None
    host.now = 6.0
    ((_, verdict),) = host.core.advance(host.view, host.now, host.random)
    assert verdict.kind is Kind.DEADLINE
    assert verdict.ran is Ran.NO and verdict.retry_after > 0


def test_queued_request_obeys_a_new_revision():
    """A new revision binds a team to its region while its request waits in another region.

    Then a slot becomes free there; the request must not run in it.
    """
    host = Host()
    running = [host.arrive(timeout_s=60.0) for _ in range(8)]
    assert host.arrive(timeout_s=60.0) is None
    teams = host.published.teams
    bound = {**teams, "desk": teams["desk"]._replace(home="rodrigues", bound=True)}
    host.view = host.view._replace(published=host.published._replace(teams=bound))
    host.now = 1.0
    host.finish(running[0])
    ((_, verdict),) = host.core.advance(host.view, host.now, host.random)
    assert isinstance(verdict, Refused) or verdict.route.domain == "ro-1"


def test_request_that_may_have_run_is_not_retried_and_reported_so():
    """Guard against running a non-idempotent request twice.

    The connection broke after the first byte was sent, and the endpoint may have run the request.
    """
    host = Host()
    verdict = host.arrive(profile="allocate")
    again = host.finish(verdict, Outcome.FAILED, retry=True)
    assert isinstance(again, Refused)
    assert again.ran is Ran.UNKNOWN
    assert not may_retry(Outcome.FAILED, idempotent=False)
    assert not may_retry(Outcome.DONE, idempotent=True)


def test_non_idempotent_request_that_was_not_sent_is_retried_elsewhere():
    host = Host()
    verdict = host.arrive(profile="allocate")
    again = host.finish(verdict, Outcome.NOT_SENT, retry=True)
    assert isinstance(again, Admitted)
    assert again.route.endpoint != verdict.route.endpoint


def test_refused_retry_reports_that_the_first_attempt_may_have_run():
    """Guard against telling a caller that its request did not run when a first attempt may have."""
    stay = {"home": "curepipe", "bound": True, "profiles": ["stock"]}
    host = Host(make_published(endpoints=1, stay=stay))
    again = host.finish(host.arrive(team="stay"), Outcome.FAILED, retry=True)
    assert isinstance(again, Refused)
    assert again.ran is Ran.UNKNOWN
    assert again.kind is Kind.ENDPOINT_FAILED


def test_outage_does_not_amplify_load():
    """Guard against retries that double the load when every endpoint fails."""
    host = Host(make_published(endpoints=8, slots=8))
    attempts = requests = 0
    for _ in range(600):
        host.now += 0.05
        verdict = host.arrive()
        requests += 1
        while isinstance(verdict, Admitted):
            attempts += 1
            verdict = host.finish(verdict, Outcome.FAILED, retry=True)
    assert attempts <= 1.1 * requests


def test_retry_budget_is_a_share_of_recent_successes():
    budget = RetryBudget()
    for _ in range(100):
        budget.record_success(0.0)
    assert sum(budget.try_take(1.0) for _ in range(100)) == MIN_RETRIES + RETRIES_PER_SUCCESS * 100
    assert sum(budget.try_take(2 * BUDGET_WINDOW_S) for _ in range(100)) == MIN_RETRIES


def test_slow_endpoint_gets_few_requests():
    """Guard against a quarter of the requests taking ten times as long because of a slow endpoint.

    The endpoint is slow but alive. It reports few requests in progress, because it gets no more of
    them than the others.
    """
    host = Host(make_published(endpoints=4, slots=8))
    late, sent = [], 0
    for turn in range(30):
        verdicts = [host.arrive() for _ in range(16)]
        host.now += 0.2
        slow = [verdict for verdict in verdicts if verdict.route.endpoint == "cu-1-e0"]
        for verdict in verdicts:
            if verdict not in slow:
                host.finish(verdict)
        late += [(turn + 10, verdict) for verdict in slow]
        for due, verdict in [entry for entry in late if entry[0] <= turn]:
            host.finish(verdict)
            late.remove((due, verdict))
        sent += len(slow)
    assert sent <= 10, "an even share of 480 requests would be 120"


def test_host_with_few_slots_reserves_none():
    """Guard against refusing normal requests while all idle slots are reserved for urgent ones."""
    host = Host(make_published(endpoints=1, slots=2))
    urgent = [host.arrive(profile="urgent") for _ in range(2)]
    for verdict in urgent:
        host.now += 0.5
        host.finish(verdict)
    assert isinstance(host.arrive(), Admitted)


def test_urgent_request_finds_a_slot_among_long_work():
    """Guard against urgent requests that wait while long batch work fills every slot."""
    host = Host(make_published(endpoints=2, slots=8))
    for _ in range(20):
        verdict = host.arrive(profile="urgent")
        host.now += 0.3
        host.finish(verdict)
    for _ in range(30):
        host.arrive(profile="report", timeout_s=600.0)
    verdict = host.arrive(profile="urgent")
    assert isinstance(verdict, Admitted)
    assert verdict.route.endpoint in (E0, E1)
