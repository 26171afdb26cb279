"""How often hosts send to a cold endpoint, all together, in virtual time; no network."""

from __future__ import annotations

import itertools
import random

import pytest

from cloverway.core.cold_start import SETTLED_S, ColdTerms, compute_cold_spacing

TERMS = ColdTerms(overshoot=1.5, slack=3.0)
COLD_PER_S = 1.6
BOUND = int(COLD_PER_S * TERMS.overshoot + TERMS.slack)


class View:
    """What one host knows of the others of its region, as time passes."""

    def __init__(self, name, started_at, heard_at):
        self.name = name
        self.started_at = started_at
        self.heard_at = heard_at
        """When it heard of each other host for the first time."""
        self.last_send = float("-inf")

    def may_send(self, now):
        if now < self.started_at:
            return False
        known = [name for name, at in self.heard_at.items() if at <= now]
        age_s = now - self.started_at
        spacing = compute_cold_spacing(COLD_PER_S, TERMS, "e", self.name, known, age_s=age_s)
        if spacing is None or now - self.last_send < spacing:
            return False
        self.last_send = now
        return True


def play(views, seconds):
    """Let every host send as often as it may; give the times of all sends."""
    steps = [step / 100 for step in range(int(seconds * 100))]
    return [now for now in steps for view in views if view.may_send(now)]


def count_most(sends):
    """Give the most sends of any second."""
    return max(
        (sum(start <= at < start + 1 for at in sends[index:]) for index, start in enumerate(sends)),
        default=0,
    )


@pytest.mark.parametrize("hosts", [1, 2, 3, 5, 24])
def test_all_hosts_together_never_overload_a_cold_endpoint(hosts):
    """Every host has requests without end; a cold endpoint bears 1.6 a second and some slack."""
    names = [f"host-{n}" for n in range(hosts)]
    views = [View(name, -100.0, {n: -100.0 for n in names if n != name}) for name in names]
    sends = play(views, 10)
    assert count_most(sends) <= BOUND
    assert sends


@pytest.mark.parametrize("seed", range(20))
def test_hosts_that_start_together_do_not_take_a_cold_endpoint_for_their_own(seed):
    """All hosts of a region start again within half a second, beside an endpoint that is cold.

    None has heard of the others for most of a second, so each took the whole bound for itself: two
    hosts sent six requests in one second, and one more crashes such an endpoint. Whoever has just
    started leaves it alone until it must have heard of the others.
    """
    draw = random.Random(seed)
    names = [f"host-{n}" for n in range(draw.randint(2, 24))]
    starts = {name: draw.uniform(0.0, 0.5) for name in names}
    views = [
        View(
            name,
            starts[name],
            {n: max(starts[n], starts[name]) + draw.uniform(0.0, 1.0) for n in names if n != name},
        )
        for name in names
    ]
    sends = play(views, 6)
    assert count_most(sends) <= BOUND
    assert sends


@pytest.mark.parametrize("seed", range(20))
def test_a_host_that_joins_one_that_was_alone_takes_its_part_only_when_the_other_knows(seed):
    """One host has the endpoint to itself; another joins, and is heard 0.1 to 0.7 s later."""
    draw = random.Random(seed)
    joins_at = 3.0
    heard_at = joins_at + draw.uniform(0.1, 0.7)
    first = View("host-0", -100.0, {"host-1": heard_at})
    second = View("host-1", joins_at, {"host-0": joins_at + draw.uniform(0.0, 0.2)})
    sends = play([first, second], 8)
    assert count_most(sends) <= BOUND


def test_a_host_sends_to_a_cold_endpoint_once_it_has_settled():
    ages = [SETTLED_S - 0.1, SETTLED_S]
    spacings = [
        compute_cold_spacing(COLD_PER_S, TERMS, "e", "host-0", (), age_s=age) for age in ages
    ]
    assert spacings[0] is None
    assert spacings[1] == pytest.approx(1.1 / BOUND)


def test_no_more_hosts_send_than_the_bound_has_sends():
    names = [f"host-{n}" for n in range(24)]
    spacings = [
        compute_cold_spacing(COLD_PER_S, TERMS, "e", name, names, age_s=SETTLED_S) for name in names
    ]
    assert len(list(itertools.filterfalse(lambda spacing: spacing is None, spacings))) == BOUND
