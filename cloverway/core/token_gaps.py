"""Limits on the prefill work of an engine, derived from the inter-token gaps of its answers."""

from __future__ import annotations

from typing import NamedTuple

SATURATION_FRACTION = 0.75
"""Fraction of the gap objective from which an engine counts as saturated with prefill. It then gets
no long prompts for a moment: it has prefill work in every step, and the next gap may be a stall."""
SATURATION_S = 0.4
"""How long an engine counts as saturated: about the prefill time of a full burst."""
INITIAL_BURST_RATIO = 0.5
"""Initial burst ratio: prefill time that may be queued at an engine, as a multiple of the gap
objective. A step with prefill work takes about 90 to 140 ms and produces one token of each answer.
An event holds several tokens, so a run of such steps may or may not exceed the gap objective."""
MIN_BURST_RATIO = 0.3
"""Lower bound of the burst ratio. In a simulation, an engine still spends three quarters of its
time on prefill with it."""
MAX_BURST_RATIO = 0.67
"""Upper bound of the burst ratio. In the same simulation, the 99th percentile of the gaps is then
0.58 s, with a gap objective of 0.6 s."""
DECREASE_FACTOR = 0.85
"""Factor applied to the burst ratio after a stall."""
MIN_DECREASE_INTERVAL_S = 0.5
"""Minimum time between two decreases: all answers of an engine stall together."""
INCREASE_STEP = 1e-5
"""Added to the burst ratio for each gap within the objective. 7,500 of these make up for one
decrease from the initial value. That is minutes of an engine's events, so the ratio follows the
engine and not single gaps."""


class TokenGap(NamedTuple):
    """The gap between two events of an answer."""

    seconds: float
    objective_s: float
    """The longest acceptable gap."""
    tokens: int = 0
    """Tokens in the event after the gap; 0 if not known."""


class PrefillSaturation:
    """Detects an engine with prefill work in every step, from the gaps of its running answers."""

    def __init__(self) -> None:
        self._seen_at = float("-inf")

    def record(self, gap: TokenGap, now: float) -> None:
        """Record a gap between two events."""
        if gap.seconds > SATURATION_FRACTION * gap.objective_s:
            self._seen_at = now

    def is_active(self, now: float) -> bool:
        """Return whether a gap near or above the objective was seen recently."""
        return now - self._seen_at < SATURATION_S


class PrefillBurstLimit:
    """Limits the prefill work queued at an engine, by additive increase, multiplicative decrease.

    Requests beyond the limit are queued at the hosts, in order, and may go elsewhere. A constant
    ratio doesn't fit all engines. With two thirds everywhere, 492 of 2,316 long answers of a
    simulated day of heavy load had a gap over 0.6 s at engines with five tokens per event, half of
    them by less than an eighth. With 0.37 everywhere, another deployment fell from 0.726 to 0.716
    of the maximum score of a simulated day.
    """

    def __init__(self) -> None:
        self.ratio = INITIAL_BURST_RATIO
        self._decreased_at = float("-inf")

    def record(self, gap: TokenGap, now: float) -> None:
        """Record a gap between two events."""
        if gap.seconds <= gap.objective_s:
            self.ratio = min(MAX_BURST_RATIO, self.ratio + INCREASE_STEP)
        elif now - self._decreased_at >= MIN_DECREASE_INTERVAL_S:
            self._decreased_at = now
            self.ratio = max(MIN_BURST_RATIO, self.ratio * DECREASE_FACTOR)
