"""Retries of all hosts together under restarts, cuts and bursts, in virtual time; no network."""

from __future__ import annotations

import itertools
import os
import random

import pytest

from cloverway.core.known_hosts import compute_part
from cloverway.core.retry_budget import BURST_FRACTION, RetryBudget, RetryBudgetSettings
from cloverway.tests.cut_fleet import STEP_S, CutFleet
from cloverway.tests.retry_windows import find_excess

SETTINGS = RetryBudgetSettings(ratio=0.2, slack=54.0, window_s=10.0)
HISTORIES = int(os.environ.get("BUDGET_HISTORIES", "40"))
"""Random histories that are played; more of them by hand."""
MAX_QUEUE_S = 2.0
MAX_LAG_S = 0.3
"""Time between the send of a retry and its arrival."""


class History(CutFleet):
    """A fleet whose hosts always want to retry while endpoints turn requests away."""

    def __init__(self, rng):
        super().__init__(rng)
        self.rate = rng.choice([3.0, 30.0, 200.0])
        starts = [rng.uniform(0, 80) for _ in range(3)]
        self.demand = [(start, start + rng.uniform(0.5, 30)) for start in starts]
        self.requests, self.arrivals = [], []

    def start(self, address, now):
        host = super().start(address, now)
        host.budget = RetryBudget(SETTINGS, now)
        host.queue = []
        return host

    def step_host(self, host, now):
        slack = 0.0
        if host.known.may_share_domain(now):
            slack = compute_part(SETTINGS.slack, self.domains, host.known.count_domain())
        if self.rng.random() < self.rate / len(self.hosts) * STEP_S:
            self.requests.append(now)
            host.budget.record_request(slack, now)
        for at in [at for at in host.queue if at <= now]:
            host.queue.remove(at)
            host.budget.spend()
            self.arrivals.append(now + self.rng.uniform(0, MAX_LAG_S))
        if any(start <= now < end for start, end in self.demand):
            while host.budget.reserve(slack, now).granted:
                waits = self.rng.random() < 0.5
                host.queue.append(now + waits * self.rng.uniform(0, MAX_QUEUE_S))


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_retries_stay_within_the_budget_whatever_hosts_know_and_however_often_they_start(seed):
    """Guards against budgets that restarts renew and that hosts in a cut divide by too few."""
    history = History(random.Random(seed))
    history.play()
    assert find_excess(SETTINGS, history.requests, history.arrivals) <= 0


class HalvedHistory(History):
    """Three domains, each cut into two halves, in which all hosts start again."""

    def __init__(self, rng):
        super().__init__(rng)
        self.domains = 3
        self.addresses = {n: n % 3 for n in range(8)}
        self.seeds = rng.sample(range(8), k=3)
        self.rate = 39.0
        self.cut = (5.0, 90.0, {address: address // 3 % 2 for address in self.addresses})
        self.kills = [(10.0, list(self.addresses))]
        self.demand = [(30.0, 60.0)]
        self.hosts.clear()
        for address in self.addresses:
            self.start(address, -100.0)


@pytest.mark.parametrize("seed", range(10))
def test_retries_stay_within_the_budget_when_hosts_start_while_their_domain_is_cut_in_two(seed):
    """Guards against hosts that count only their own half of a failure domain."""
    history = HalvedHistory(random.Random(seed))
    history.play()
    assert find_excess(SETTINGS, history.requests, history.arrivals) <= 0


@pytest.mark.parametrize("hosts", [1, 3, 10])
def test_retries_of_all_hosts_stay_within_the_budget_in_any_window(hosts):
    """All hosts are partitioned from each other, and each retries as often as it is allowed to."""
    budgets = [RetryBudget(SETTINGS, -100.0) for _ in range(hosts)]
    part = compute_part(SETTINGS.slack, 1, hosts)
    sends, requests = [], []
    for step in range(3_000):
        now = step * 0.01
        for budget in budgets:
            if step % 10 == 0:
                budget.record_request(part, now)
                requests.append(now)
            if budget.reserve(part, now).granted:
                budget.spend()
                sends.append(now)
    for start in range(20):
        in_window = sum(start <= at < start + 10 for at in sends)
        requested = sum(start <= at < start + 10 for at in requests)
        assert in_window <= 0.2 * requested + 54
    assert len(sends) >= 0.6 * (0.2 * len(requests) + 3 * 0.35 * 54)


def test_a_host_that_has_just_started_retries_as_its_own_requests_allow():
    """Guards against hosts that never retry after a start, or not until they know the others."""
    budget = RetryBudget(SETTINGS, 0.0)
    assert not budget.reserve(0.0, 0.0).granted
    for number in range(20):
        budget.record_request(0.0, number * 0.05)
    assert budget.reserve(0.0, 1.0).granted


def test_an_idle_host_that_has_run_for_long_retries_without_requests():
    """Guards against a request whose only endpoint fails at a host with few requests."""
    budget = RetryBudget(SETTINGS, -100.0)
    granted = itertools.takewhile(
        lambda decision: decision.granted, (budget.reserve(6.0, 0.0) for _ in itertools.count())
    )
    assert len(list(granted)) == int(BURST_FRACTION * 6.0)


def test_a_retry_that_waits_is_not_followed_by_others_when_it_is_sent():
    """Guards against retries that are granted over a long time and arrive at once."""
    budget = RetryBudget(SETTINGS, -100.0)
    waiting = 0
    for step in range(1_000):
        waiting += budget.reserve(6.0, step * 0.01).granted
    assert waiting == int(BURST_FRACTION * 6.0)
    for _ in range(waiting):
        budget.spend()
    assert not budget.reserve(6.0, 10.0).granted


def test_tokens_of_retries_that_were_not_sent_or_reached_no_endpoint_are_returned():
    """Guards against callers refused for retries that no endpoint has seen."""
    budget = RetryBudget(SETTINGS, -100.0)
    for _ in range(50):
        assert budget.reserve(2.0, 0.0).granted
        budget.release()
    for _ in range(50):
        assert budget.reserve(2.0, 0.0).granted
        budget.spend()
        budget.refund()
