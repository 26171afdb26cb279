"""Request rate of all hosts together to an endpoint with a limit, in virtual time; no network."""

from __future__ import annotations

import random

import pytest

from cloverway.core.limits import MIN_HOST_AGE_S, TokenBucket, compute_share

STEP_S = 0.01
WINDOW_S = 4.0


def compute_max_requests(limit_per_s):
    """Return the number of requests in any four seconds that an endpoint accepts."""
    return 1.5 * limit_per_s * WINDOW_S + 5


class SimulatedHost:
    """A host, and what it knows of the other sending hosts at each time."""

    def __init__(self, name, known_since, started_at=-100.0, *, has_seeds=False):
        self.name = name
        self.known_since = known_since
        """When it first learned of each other host."""
        self.started_at = started_at
        self.has_seeds = has_seeds
        self.bucket = TokenBucket(max(0.0, started_at))

    def may_send(self, limit_per_s, now):
        if now < self.started_at:
            return False
        known = [name for name, at in self.known_since.items() if at <= now]
        share = compute_share(
            limit_per_s,
            "e",
            self.name,
            known,
            age_s=now - self.started_at,
            may_share=bool(known) or not self.has_seeds,
        )
        if share is None or self.bucket.estimate_wait(share, now) > 0:
            return False
        self.bucket.take(share, now)
        return True


def simulate(hosts, limit_per_s, seconds, has_request=lambda host, now: True):
    """Let every host send as often as it may and has requests; return the times of all sends."""
    times = []
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for host in hosts:
            while has_request(host, now) and host.may_send(limit_per_s, now):
                times.append(now)
    return times


def count_max_in_window(times):
    """Return the maximum number of sends in any four seconds."""
    max_count = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        max_count = max(max_count, last - first + 1)
    return max_count


def make_hosts(count):
    names = [f"host-{n}" for n in range(count)]
    return [SimulatedHost(name, {n: -100.0 for n in names if n != name}) for name in names]


@pytest.mark.parametrize("limit_per_s", [0.0, 0.25, 1.0, 7.5, 60.0])
@pytest.mark.parametrize("hosts", [1, 2, 4, 9, 65])
def test_all_hosts_together_stay_within_the_limit(hosts, limit_per_s):
    """Guards against hosts that each apply the full limit; all hosts always have requests."""
    times = simulate(make_hosts(hosts), limit_per_s, 12)
    assert count_max_in_window(times) <= compute_max_requests(limit_per_s)
    assert len(times) <= 1.1 * max(limit_per_s, 0.2) * 12 + 4


@pytest.mark.parametrize("seed", range(10))
def test_bursts_of_requests_stay_within_the_limit(seed):
    """Guards against unused shares that many hosts accumulate and spend at the same time."""
    rng = random.Random(seed)
    limit_per_s = rng.choice([0.5, 1.0, 4.0, 30.0])
    bursts = [rng.uniform(0, 15) for _ in range(4)]

    def has_request(host, now):
        return any(0 <= now - at < 0.3 for at in bursts)

    times = simulate(make_hosts(rng.randint(1, 40)), limit_per_s, 16, has_request)
    assert count_max_in_window(times) <= compute_max_requests(limit_per_s)


@pytest.mark.parametrize("hosts", [1, 2, 4])
@pytest.mark.parametrize("limit_per_s", [1.0, 7.5, 60.0])
def test_hosts_under_load_use_the_limit(hosts, limit_per_s):
    """Guards against shares so small that callers are refused what the endpoint would accept."""
    times = simulate(make_hosts(hosts), limit_per_s, 30)
    assert sum(at >= 10 for at in times) >= 0.9 * limit_per_s * 20


@pytest.mark.parametrize("seed", range(20))
def test_joining_host_uses_a_share_only_when_the_others_know_it(seed):
    """Guards against one share used twice: other hosts learn of a joining host with a delay."""
    rng = random.Random(seed)
    limit_per_s = rng.choice([1.0, 5.0, 40.0])
    joins_at = rng.uniform(3, 7)
    old_names = [f"host-{n}" for n in range(rng.randint(1, 6))]
    hosts = [
        SimulatedHost(
            name,
            {n: -100.0 for n in old_names if n != name}
            | {"new": joins_at + rng.uniform(0, MIN_HOST_AGE_S)},
        )
        for name in old_names
    ]
    hosts.append(
        SimulatedHost("new", {n: joins_at + rng.uniform(0, 0.5) for n in old_names}, joins_at)
    )
    assert count_max_in_window(simulate(hosts, limit_per_s, 14)) <= compute_max_requests(
        limit_per_s
    )


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_start_together_do_not_each_use_the_full_limit(seed):
    """Guards against hosts that don't know each other yet and each use the full limit."""
    rng = random.Random(seed)
    names = [f"host-{n}" for n in range(rng.randint(2, 12))]
    starts = {name: rng.uniform(0.0, 0.5) for name in names}
    hosts = [
        SimulatedHost(
            name,
            {n: max(starts[n], starts[name]) + rng.uniform(0, 1) for n in names if n != name},
            starts[name],
        )
        for name in names
    ]
    times = simulate(hosts, 2.0, 8)
    assert count_max_in_window(times) <= compute_max_requests(2.0)
    assert times


def test_endpoint_with_limit_zero_is_still_probed():
    """Guards against an endpoint that is never probed for a higher limit."""
    assert 2 <= len(simulate(make_hosts(3), 0.0, 20)) <= 8


def test_token_bucket_starts_empty():
    """Guards against a burst just when an endpoint reports that it is overloaded."""
    share = compute_share(2.0, "e", "host-0", (), age_s=MIN_HOST_AGE_S, may_share=True)
    assert TokenBucket(5.0).estimate_wait(share, 5.0) == pytest.approx(0.5)


@pytest.mark.parametrize("limit_per_s", [0.25, 2.0, 30.0])
def test_hosts_that_know_no_other_stay_within_the_limit_together(limit_per_s):
    """Guards against hosts in cuts of their own that each use the whole limit."""
    hosts = [SimulatedHost(f"host-{n}", {}, has_seeds=True) for n in range(4)]
    times = simulate(hosts, limit_per_s, 20)
    assert count_max_in_window(times) <= compute_max_requests(limit_per_s)
    assert times
