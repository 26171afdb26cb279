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


def make_entry(place, *, team="desk", urgency=Urgency.NORMAL, cost_s=1.0, weight=1.0, lasts=60.0):
    request = make_request(place, 0.0, lasts, team=team)
    return QueueEntry(
        place, request, "clover", urgency, weight, cost_s, Prefix.from_body(b""), entered_at=0.0
    )


def serve(queue, count):
    """Take requests in order, and count them by team and class."""
    served = []
    for _ in range(count):
        entry = queue.list_in_service_order()[0]
        queue.admit(entry)
        served.append(entry)
    return served


def test_the_lowest_class_is_not_starved_by_endless_urgent_work():
    """Reports asked for at night never come, because urgent calls never stop coming."""
    queue = RequestQueue()
    queue.add(make_entry(1, urgency=Urgency.BATCH))
    served = []
    for place in range(2, 100):
        queue.add(make_entry(place, urgency=Urgency.URGENT))
        served += serve(queue, 1)
    assert Urgency.BATCH in {entry.urgency for entry in served}
    assert [entry.urgency for entry in served[:20]] == [Urgency.URGENT] * 20


def test_a_full_queue_spares_the_last_request_of_the_lowest_class():
    queue = RequestQueue()
    queue.add(make_entry(1, urgency=Urgency.BATCH))
    for place in range(2, 12):
        queue.add(make_entry(place))
    assert queue.select_eviction().urgency is Urgency.NORMAL


def test_an_urgent_small_call_passes_long_dossiers():
    queue = RequestQueue()
    for place in range(1, 9):
        queue.add(make_entry(place, urgency=Urgency.BATCH, cost_s=20.0))
    queue.add(make_entry(9, urgency=Urgency.URGENT, cost_s=0.2))
    assert queue.list_in_service_order()[0].entry_id == 9


def test_teams_share_by_weight_and_not_by_the_count_of_their_requests():
    """One team's flood of requests holds up another team's few."""
    queue = RequestQueue()
    for place in range(100):
        queue.add(make_entry(place, team="flood"))
    for place in range(100, 140):
        queue.add(make_entry(place, team="few", weight=2.0))
    counts = Counter(entry.request.team for entry in serve(queue, 45))
    assert counts["few"] == pytest.approx(30, abs=1)


def test_a_team_that_was_idle_has_no_claim_on_the_past():
    queue = RequestQueue()
    for place in range(50):
        queue.add(make_entry(place, team="busy"))
    serve(queue, 40)
    for place in range(50, 70):
        queue.add(make_entry(place, team="new"))
    counts = Counter(entry.request.team for entry in serve(queue, 10))
    assert counts["new"] <= 6


def test_long_work_is_charged_for_its_length():
    queue = RequestQueue()
    for place in range(20):
        queue.add(make_entry(place, team="long", cost_s=4.0))
    for place in range(20, 60):
        queue.add(make_entry(place, team="short", cost_s=1.0))
    counts = Counter(entry.request.team for entry in serve(queue, 20))
    assert counts["short"] >= 15


def test_refused_callers_are_told_different_times():
    """All refused callers come back in the same second, and are refused again."""
    throughput, random = Throughput(), Random(1)
    for number in range(50):
        throughput.record_completed(1.0, number * 0.1)
    times = [throughput.schedule_retry(5.0, 1.0, 8.0, 5.0, random) for _ in range(50)]
    assert max(times) - min(times) > 3.0, "fifty seconds of work return over several seconds"
    assert all(0.1 <= time <= 30.0 for time in times)


def test_a_request_that_cannot_start_in_time_is_refused_at_once():
    """A pharmacist waits until the deadline to hear that there is no capacity."""
    host = Host()
    verdicts = [host.arrive(lasts=3.0) for _ in range(40)]
    refused = [verdict for verdict in verdicts if isinstance(verdict, Refused)]
    assert refused
    assert {verdict.kind for verdict in refused} <= {Kind.OVERLOADED, Kind.TEAM_LIMIT}
    assert all(verdict.ran is Ran.NO and verdict.retry_after >= 0.1 for verdict in refused)


def test_a_waiting_request_gets_its_answer_by_its_deadline():
    """The endpoint that a queued request waits for stops answering; nobody tells the caller."""
    host = Host()
    for _ in range(8):
        host.arrive(lasts=60.0)
    assert host.arrive(lasts=6.0) is None
    host.now = 6.0
    ((_, verdict),) = host.core.advance(host.view, host.now, host.random)
    assert verdict.kind is Kind.DEADLINE
    assert verdict.ran is Ran.NO and verdict.retry_after > 0


def test_a_queued_request_is_never_run_where_a_new_revision_forbids_it():
    """A team is bound to its region while its request waits elsewhere; then a slot frees."""
    host = Host()
    running = [host.arrive(lasts=60.0) for _ in range(8)]
    assert host.arrive(lasts=60.0) is None
    teams = host.published.teams
    bound = {**teams, "desk": teams["desk"]._replace(home="rodrigues", bound=True)}
    host.view = host.view._replace(published=host.published._replace(teams=bound))
    host.now = 1.0
    host.finish(running[0])
    ((_, verdict),) = host.core.advance(host.view, host.now, host.random)
    assert isinstance(verdict, Refused) or verdict.route.domain == "ro-1"


def test_what_may_have_run_is_never_retried_nor_denied():
    """An allocation is sent twice, and dispatch picks double cartons.

    The connection broke after the first byte had left; the endpoint had run it.
    """
    host = Host()
    verdict = host.arrive(profile="allocate")
    again = host.finish(verdict, Outcome.FAILED, retry=True)
    assert isinstance(again, Refused)
    assert again.ran is Ran.UNKNOWN
    assert not may_retry(Outcome.FAILED, idempotent=False)
    assert not may_retry(Outcome.DONE, idempotent=True)


def test_an_allocation_that_left_no_byte_is_tried_elsewhere():
    host = Host()
    verdict = host.arrive(profile="allocate")
    again = host.finish(verdict, Outcome.NOT_SENT, retry=True)
    assert isinstance(again, Admitted)
    assert again.route.endpoint != verdict.route.endpoint


def test_a_retry_that_finds_no_place_does_not_deny_the_first_attempt():
    """A caller is told that its request did not run, though its first attempt may have."""
    stay = {"home": "curepipe", "bound": True, "profiles": ["stock"]}
    host = Host(make_published(endpoints=1, stay=stay))
    again = host.finish(host.arrive(team="stay"), Outcome.FAILED, retry=True)
    assert isinstance(again, Refused)
    assert again.ran is Ran.UNKNOWN
    assert again.kind is Kind.ENDPOINT_FAILED


def test_an_outage_multiplies_nothing():
    """Every endpoint fails, and the retries of all requests double the load that broke them."""
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


def test_a_budget_is_a_share_of_recent_successes():
    budget = RetryBudget()
    for _ in range(100):
        budget.record_success(0.0)
    assert sum(budget.try_take(1.0) for _ in range(100)) == MIN_RETRIES + RETRIES_PER_SUCCESS * 100
    assert sum(budget.try_take(2 * BUDGET_WINDOW_S) for _ in range(100)) == MIN_RETRIES


def test_a_slow_endpoint_is_left_to_those_that_have_no_better():
    """Callers of one in four requests wait ten times as long: one endpoint is slow, not dead.

    It reports few requests in progress, since it is given no more than the others.
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
    assert sent <= 10, "a fair part of 480 requests would be 120"


def test_a_host_with_few_slots_keeps_none_of_them_free():
    """Normal calls are refused beside idle slots, as all of them are kept for urgent ones."""
    host = Host(make_published(endpoints=1, slots=2))
    urgent = [host.arrive(profile="urgent") for _ in range(2)]
    for verdict in urgent:
        host.now += 0.5
        host.finish(verdict)
    assert isinstance(host.arrive(), Admitted)


def test_an_urgent_call_finds_a_slot_among_long_work():
    """An urgent check waits behind dossiers that fill every slot for many seconds."""
    host = Host(make_published(endpoints=2, slots=8))
    for _ in range(20):
        verdict = host.arrive(profile="urgent")
        host.now += 0.3
        host.finish(verdict)
    for _ in range(30):
        host.arrive(profile="report", lasts=600.0)
    verdict = host.arrive(profile="urgent")
    assert isinstance(verdict, Admitted)
    assert verdict.route.endpoint in (E0, E1)
