"""What the pauses between the events of answers say of an engine that reads prompts meanwhile."""

from __future__ import annotations

from typing import NamedTuple

STRAINED_PART = 0.75
"""Part of the longest wanted pause between two events from which an engine gets no more long
prompts for a moment: it reads prompts in every step, and the next pause may be too long."""
STRAINED_S = 0.4
"""How long that holds: about as long as an engine takes to read what waits there at most."""
START_PART = 0.5
"""Time to read the prompts that may wait at an engine, in longest wanted pauses, before any was
seen. While an engine reads, each of its steps makes one token of each answer and takes some 90 to
140 ms; an event holds several tokens, so a run of such steps may or may not exceed the pause."""
LEAST_PART = 0.3
"""The least that it is cut to: played against an engine in virtual time, it still reads three
quarters of the time with it."""
MOST_PART = 0.67
"""The most that it grows to. In the same play one event in a hundred then comes after 0.58 s of
0.6."""
CUT_FACTOR = 0.85
"""By which a pause that was too long changes it."""
CUT_EVERY_S = 0.5
"""Least time between two changes: all answers that run at an engine pause together."""
EASE = 1e-5
"""Added to it by each pause that was not too long: one cut from the start value is made good by
7,500 of them (worked out), which is minutes of an engine's events, so that it follows the engine
and not single pauses."""


class Gap(NamedTuple):
    """A pause between two events of an answer."""

    seconds: float
    objective_s: float
    """The longest pause that is wanted."""
    tokens: int = 0
    """Tokens that came after it; 0 where that isn't known."""


class Strain:
    """Whether an engine reads prompts in every step, by the pauses of answers that run there."""

    def __init__(self) -> None:
        self._seen_at = float("-inf")

    def note(self, gap: Gap, now: float) -> None:
        """Note a pause between two events."""
        if gap.seconds > STRAINED_PART * gap.objective_s:
            self._seen_at = now

    def is_on(self, now: float) -> bool:
        """Tell whether such a pause was seen lately."""
        return now - self._seen_at < STRAINED_S


class PromptBurst:
    """How many prompts may wait at an engine, by the pauses of the answers that run there.

    What is more waits at the hosts, in order, and may go elsewhere. With two thirds of the pause
    everywhere, 492 of 2,316 long answers of a heavy day had a pause over 0.6 s at engines of five
    tokens an event, half of them by less than an eighth. With 0.37 of it everywhere, another
    deployment fell from 0.726 to 0.716 of a day's worth.
    """

    def __init__(self) -> None:
        self.part = START_PART
        self._cut_at = float("-inf")

    def note(self, gap: Gap, now: float) -> None:
        """Note a pause between two events."""
        if gap.seconds <= gap.objective_s:
            self.part = min(MOST_PART, self.part + EASE)
        elif now - self._cut_at >= CUT_EVERY_S:
            self._cut_at = now
            self.part = max(LEAST_PART, self.part * CUT_FACTOR)
