"""What hosts send to an endpoint that names a limit, all together, in virtual time; no network."""

from __future__ import annotations

import random

import pytest

from cloverway.core.cold_start import MIN_HOST_AGE_S
from cloverway.core.limits import Allowance, compute_share

STEP_S = 0.01
WINDOW_S = 4.0


def compute_allowed(limit_per_s):
    """Give the requests in any four seconds beyond which an endpoint has no room."""
    return 1.5 * limit_per_s * WINDOW_S + 5


class View:
    """What one host knows of the others that send, as time passes."""

    def __init__(self, name, heard_at, started_at=-100.0):
        self.name = name
        self.heard_at = heard_at
        """When it heard of each other host for the first time."""
        self.started_at = started_at
        self.allowance = Allowance(max(0.0, started_at))

    def may_send(self, limit_per_s, now):
        if now < self.started_at:
            return False
        known = [name for name, at in self.heard_at.items() if at <= now]
        age_s = now - self.started_at
        share = compute_share(limit_per_s, "e", self.name, known, age_s=age_s)
        if share is None or self.allowance.estimate_wait(share, now) > 0:
            return False
        self.allowance.take(share, now)
        return True


def play(views, limit_per_s, seconds, wants=lambda view, now: True):
    """Let every host send as often as it may and wants to; give the times of all sends."""
    times = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for view in views:
            while wants(view, now) and view.may_send(limit_per_s, now):
                times.append(now)
    return times


def count_most(times):
    """Give the most sends of any four seconds."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def make_views(count):
    names = [f"host-{n}" for n in range(count)]
    return [View(name, {n: -100.0 for n in names if n != name}) for name in names]


@pytest.mark.parametrize("limit_per_s", [0.0, 0.25, 1.0, 7.5, 60.0])
@pytest.mark.parametrize("hosts", [1, 2, 4, 9, 65])
def test_all_hosts_together_keep_to_the_limit(hosts, limit_per_s):
    """Guards against hosts that each keep to the limit by themselves; all have requests always."""
    times = play(make_views(hosts), limit_per_s, 12)
    assert count_most(times) <= compute_allowed(limit_per_s)
    assert len(times) <= 1.1 * max(limit_per_s, 0.2) * 12 + 4


@pytest.mark.parametrize("seed", range(10))
def test_requests_that_come_in_bursts_keep_to_the_limit(seed):
    """Guards against shares that are saved up by many hosts and used at one moment."""
    draw = random.Random(seed)
    limit_per_s = draw.choice([0.5, 1.0, 4.0, 30.0])
    bursts = [draw.uniform(0, 15) for _ in range(4)]

    def wants(view, now):
        return any(0 <= now - at < 0.3 for at in bursts)

    times = play(make_views(draw.randint(1, 40)), limit_per_s, 16, wants)
    assert count_most(times) <= compute_allowed(limit_per_s)


@pytest.mark.parametrize("hosts", [1, 2, 4])
@pytest.mark.parametrize("limit_per_s", [1.0, 7.5, 60.0])
def test_hosts_that_all_have_requests_use_the_limit(hosts, limit_per_s):
    """Guards against shares so careful that callers are refused what the endpoint would take."""
    times = play(make_views(hosts), limit_per_s, 30)
    assert sum(at >= 10 for at in times) >= 0.9 * limit_per_s * 20


@pytest.mark.parametrize("seed", range(20))
def test_a_host_that_joins_takes_its_share_only_when_the_others_know(seed):
    """Guards against two shares of one part: others hear of it late, up to its settling."""
    draw = random.Random(seed)
    limit_per_s = draw.choice([1.0, 5.0, 40.0])
    joins_at = draw.uniform(3, 7)
    old = [f"host-{n}" for n in range(draw.randint(1, 6))]
    views = [
        View(
            name,
            {n: -100.0 for n in old if n != name}
            | {"new": joins_at + draw.uniform(0, MIN_HOST_AGE_S)},
        )
        for name in old
    ]
    views.append(View("new", {n: joins_at + draw.uniform(0, 0.5) for n in old}, joins_at))
    assert count_most(play(views, limit_per_s, 14)) <= compute_allowed(limit_per_s)


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_start_together_do_not_take_the_limit_each_for_itself(seed):
    """Guards against hosts that know nobody yet, each of which counts as the only one."""
    draw = random.Random(seed)
    names = [f"host-{n}" for n in range(draw.randint(2, 12))]
    starts = {name: draw.uniform(0.0, 0.5) for name in names}
    views = [
        View(
            name,
            {n: max(starts[n], starts[name]) + draw.uniform(0, 1) for n in names if n != name},
            starts[name],
        )
        for name in names
    ]
    times = play(views, 2.0, 8)
    assert count_most(times) <= compute_allowed(2.0)
    assert times


def test_an_endpoint_that_takes_nothing_is_tried_now_and_then():
    """Guards against an endpoint that is never asked again whether it takes more."""
    assert 2 <= len(play(make_views(3), 0.0, 20)) <= 8


def test_an_allowance_begins_empty():
    """Guards against a burst at the moment at which an endpoint says that it has too much."""
    share = compute_share(2.0, "e", "host-0", (), age_s=MIN_HOST_AGE_S)
    assert Allowance(5.0).estimate_wait(share, 5.0) == pytest.approx(0.5)
