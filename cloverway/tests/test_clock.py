"""Ticks that make the periodic tasks of a host wake up together."""

from __future__ import annotations

import pytest

from cloverway.serving import clock


@pytest.mark.parametrize("period_s", [0.2, 0.4, 1.0])
@pytest.mark.parametrize("passed_s", [0.0, 0.03, 0.19, 0.7, 123.456])
def test_a_tick_is_due_within_a_period_and_a_quarter(period_s, passed_s, monkeypatch):
    monkeypatch.setattr(clock.time, "monotonic", lambda: clock.TICK_ORIGIN + passed_s)
    left_s = clock.compute_tick_delay(period_s)
    assert clock.MIN_TICK_FRACTION * period_s <= left_s <= (1 + clock.MIN_TICK_FRACTION) * period_s
    ticks = (passed_s + left_s) / period_s
    assert ticks == pytest.approx(round(ticks))


def test_tasks_whose_periods_are_multiples_wake_up_together(monkeypatch):
    """Guards against an idle host that wakes up separately for each of its tasks."""
    now_s = 7.93
    monkeypatch.setattr(clock.time, "monotonic", lambda: clock.TICK_ORIGIN + now_s)
    for period_s in (0.2, 0.4, 1.0):
        ticks = (now_s + clock.compute_tick_delay(period_s)) / 0.2
        assert ticks == pytest.approx(round(ticks))
