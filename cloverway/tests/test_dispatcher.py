from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest

from cloverway.dispatch.dispatcher import Dispatcher
from cloverway.errors import Kind, Ran
from cloverway.membership.view import ViewHolder
from cloverway.messages import Admitted, LocalRoute, Outcome, Refused
from cloverway.tests.builders import make_published, make_request, make_settings, make_view

STAY = {"home": "curepipe", "bound": True, "profiles": ["stock"]}
PUBLISHED = make_published(endpoints=1, slots=2, stay=STAY)
E0 = "cu-1-e0"
TIMEOUT_S = 10.0


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def wait_for(condition):
    """Wait until a condition holds, at most TIMEOUT_S."""
    pause = threading.Event()
    until = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < until, "the condition did not hold in time"
        pause.wait(0.002)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(4) as made:
        yield made


@pytest.fixture
def holder():
    return ViewHolder(make_view(PUBLISHED, now=100.0))


@pytest.fixture
def dispatcher(holder, clock):
    made = Dispatcher.from_config(make_settings(), holder, clock, Random(1))
    made.start()
    yield made
    made.stop()


def submit(dispatcher, number, timeout_s=30.0, team="stay"):
    return dispatcher.submit(make_request(number, 100.0, timeout_s, team=team))


def fill_and_queue(dispatcher, pool, timeout_s=30.0):
    """Take both slots and submit a third request, which waits in another thread."""
    admitted = [submit(dispatcher, number) for number in (1, 2)]
    waiting = pool.submit(submit, dispatcher, 3, timeout_s)
    wait_for(lambda: dispatcher.count_queued() == 1)
    return admitted, waiting


def test_request_is_admitted_and_finished(dispatcher, clock):
    verdict = submit(dispatcher, 1)
    assert isinstance(verdict, Admitted)
    assert verdict.route == LocalRoute(E0, PUBLISHED.endpoints[E0].url)
    assert dispatcher.count_in_flight() == 1
    assert dispatcher.count_targets() == {"clover": 1}
    dispatcher.report_started(verdict.ticket, clock.now)
    dispatcher.report_finished(verdict.ticket, Outcome.DONE, clock.now)
    wait_for(lambda: dispatcher.count_in_flight() == 0)


def test_freed_slot_goes_to_a_waiting_request(dispatcher, pool, clock):
    admitted, waiting = fill_and_queue(dispatcher, pool)
    assert not waiting.done()
    dispatcher.report_finished(admitted[0].ticket, Outcome.DONE, clock.now)
    assert isinstance(waiting.result(TIMEOUT_S), Admitted)


def test_cancelled_request_is_not_run(dispatcher, pool):
    _, waiting = fill_and_queue(dispatcher, pool)
    dispatcher.cancel("r3")
    verdict = waiting.result(TIMEOUT_S)
    assert verdict == Refused(Kind.CALLER_LEFT)
    assert verdict.ran is Ran.NO


def test_deadline_ends_the_wait_with_a_retry_time(dispatcher, pool, clock):
    """Guard against a caller that waits past its deadline because no event triggers a check.

    Both slots are occupied by answers that never end; only time passes.
    """
    _, waiting = fill_and_queue(dispatcher, pool, timeout_s=4.0)
    clock.now += 4.0
    verdict = waiting.result(TIMEOUT_S)
    assert verdict.kind is Kind.DEADLINE
    assert verdict.ran is Ran.NO
    assert verdict.retry_after > 0


def test_changed_view_admits_waiting_requests(dispatcher, pool, holder):
    _, waiting = fill_and_queue(dispatcher, pool)
    wider = make_published(endpoints=2, slots=2, stay=STAY)
    holder.current = make_view(wider, now=100.0)
    assert isinstance(waiting.result(TIMEOUT_S), Admitted)


def test_stopped_dispatcher_answers_waiting_callers(dispatcher, pool):
    _, waiting = fill_and_queue(dispatcher, pool)
    dispatcher.stop()
    assert waiting.result(TIMEOUT_S).kind is Kind.LEAVING


def test_failed_attempt_gets_another_route_or_a_refusal(dispatcher, clock):
    verdict = submit(dispatcher, 1)
    again = dispatcher.report_finished(verdict.ticket, Outcome.NOT_SENT, clock.now, retry=True)
    assert isinstance(again, Refused)
    assert again.kind is Kind.ENDPOINT_REFUSED
    assert again.retry_after > 0
    assert dispatcher.count_in_flight() == 0


def test_duplicate_request_id_is_refused(dispatcher):
    """Two requests with the same ID: cancelling one of them would end the other."""
    assert isinstance(submit(dispatcher, 1), Admitted)
    assert submit(dispatcher, 1).kind is Kind.MALFORMED


@pytest.mark.parametrize(
    ("change", "kind"),
    [({"published": None}, Kind.STARTING), ({"leaving": True}, Kind.LEAVING)],
)
def test_host_that_is_not_ready_refuses_with_a_retry_time(dispatcher, holder, change, kind):
    holder.current = holder.current._replace(**change)
    verdict = submit(dispatcher, 1)
    assert isinstance(verdict, Refused)
    assert verdict.kind is kind
    assert verdict.retry_after is not None


def test_all_requests_that_a_killed_endpoint_did_not_accept_go_to_another(
    dispatcher, clock, holder
):
    """Guards against refusing all but one of the requests that were on their way to an endpoint.

    It was killed while they waited for a slot, so that connecting fails, and siblings are free.
    """
    holder.current = make_view(make_published(endpoints=2, slots=4, stay=STAY), now=100.0)
    verdicts = [submit(dispatcher, number) for number in range(4)]
    killed = [verdict for verdict in verdicts if verdict.route.endpoint == E0]
    assert len(killed) > 1
    for verdict in killed:
        again = dispatcher.report_finished(verdict.ticket, Outcome.NOT_SENT, clock.now, retry=True)
        assert isinstance(again, Admitted)
        assert again.route.endpoint != E0
