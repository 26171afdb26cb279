"""The send rate of all hosts together to a cold endpoint, in virtual time; no network."""

from __future__ import annotations

import itertools
import random

import pytest

from cloverway.core.cold_start import ColdStartSettings, compute_cold_send_interval
from cloverway.core.known_hosts import INTRODUCTION_S
from cloverway.tests.cut_fleet import CutFleet

SETTINGS = ColdStartSettings(overshoot=1.5, slack=3.0)
COLD_PER_S = 1.6
LIMIT = int(COLD_PER_S * SETTINGS.overshoot + SETTINGS.slack)


class HostView:
    """A host's knowledge of the other hosts of its region over time."""

    def __init__(self, name, started_at, known_since):
        self.name = name
        self.started_at = started_at
        self.known_since = known_since
        """When it received the first heartbeat of each other host."""
        self.last_send = float("-inf")

    def may_send(self, now):
        if now < self.started_at:
            return False
        known = [name for name, at in self.known_since.items() if at <= now]
        interval_s = compute_cold_send_interval(
            COLD_PER_S,
            SETTINGS,
            "e",
            self.name,
            known,
            count=len(known) + 1,
            may_share=now - self.started_at >= INTRODUCTION_S,
        )
        if interval_s is None or now - self.last_send < interval_s:
            return False
        self.last_send = now
        return True


def simulate(views, seconds):
    """Let every host send as often as it is allowed to; return the times of all sends."""
    steps = [step / 100 for step in range(int(seconds * 100))]
    return [now for now in steps for view in views if view.may_send(now)]


def count_max_per_second(sends):
    """Return the maximum number of sends in any second."""
    return max(
        (sum(start <= at < start + 1 for at in sends[index:]) for index, start in enumerate(sends)),
        default=0,
    )


@pytest.mark.parametrize("hosts", [1, 2, 3, 5, 24])
def test_all_hosts_together_never_overload_a_cold_endpoint(hosts):
    """Every host has unlimited requests; a cold endpoint sustains 1.6 per second plus slack."""
    names = [f"host-{n}" for n in range(hosts)]
    views = [HostView(name, -100.0, {n: -100.0 for n in names if n != name}) for name in names]
    sends = simulate(views, 10)
    assert count_max_per_second(sends) <= LIMIT
    assert sends


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_start_together_do_not_overload_a_cold_endpoint(seed):
    """All hosts of a region restart within half a second while an endpoint is cold.

    For most of a second no host knew of the others, so each used the whole limit: two hosts sent
    six requests in one second, and one more crashes such an endpoint. A recently started host sends
    nothing to it until it must have received heartbeats from the others.
    """
    draw = random.Random(seed)
    names = [f"host-{n}" for n in range(draw.randint(2, 24))]
    starts = {name: draw.uniform(0.0, 0.5) for name in names}
    views = [
        HostView(
            name,
            starts[name],
            {n: max(starts[n], starts[name]) + draw.uniform(0.0, 1.0) for n in names if n != name},
        )
        for name in names
    ]
    sends = simulate(views, 16)
    assert count_max_per_second(sends) <= LIMIT
    assert sends


@pytest.mark.parametrize("seed", range(20))
def test_a_joining_host_sends_only_when_the_other_host_knows_of_it(seed):
    """One host is alone; another joins, and its first heartbeat arrives 0.1 to 0.7 s later."""
    draw = random.Random(seed)
    joins_at = 3.0
    known_since = joins_at + draw.uniform(0.1, 0.7)
    first = HostView("host-0", -100.0, {"host-1": known_since})
    second = HostView("host-1", joins_at, {"host-0": joins_at + draw.uniform(0.0, 0.2)})
    sends = simulate([first, second], 16)
    assert count_max_per_second(sends) <= LIMIT


def test_a_host_sends_to_a_cold_endpoint_when_it_knows_how_many_hosts_there_are():
    intervals_s = [
        compute_cold_send_interval(
            COLD_PER_S, SETTINGS, "e", "host-0", (), count=1, may_share=may_share
        )
        for may_share in (False, True)
    ]
    assert intervals_s[0] is None
    assert intervals_s[1] == pytest.approx(1.1 / LIMIT)


def test_no_more_hosts_send_than_the_limit_has_sends():
    names = [f"host-{n}" for n in range(24)]
    intervals_s = [
        compute_cold_send_interval(COLD_PER_S, SETTINGS, "e", name, names, count=24, may_share=True)
        for name in names
    ]
    assert (
        len(list(itertools.filterfalse(lambda interval_s: interval_s is None, intervals_s)))
        == LIMIT
    )


class ColdFleet(CutFleet):
    """All hosts of a region always have requests for its cold endpoint."""

    def __init__(self, rng):
        super().__init__(rng)
        self.sends = {}
        """Times of all sends, by region."""

    def start(self, address, now):
        host = super().start(address, now)
        host.last_send = float("-inf")
        return host

    def step_host(self, host, now):
        interval_s = compute_cold_send_interval(
            COLD_PER_S,
            SETTINGS,
            "e",
            str(host.address),
            host.known.list_region(),
            count=host.known.count_region(),
            may_share=host.known.may_share_region(now),
        )
        if interval_s is not None and now - host.last_send >= interval_s:
            host.last_send = now
            self.sends.setdefault(host.region, []).append(now)


@pytest.mark.parametrize("seed", range(20))
def test_a_cold_endpoint_is_never_overloaded_whatever_hosts_know_and_however_often_they_start(seed):
    """Guards against limits that hosts in a cut divide by too few, whatever form the cut has."""
    fleet = ColdFleet(random.Random(seed))
    fleet.play()
    assert fleet.sends
    assert max(count_max_per_second(sends) for sends in fleet.sends.values()) <= LIMIT
