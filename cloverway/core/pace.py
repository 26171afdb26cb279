"""How long an engine takes to read prompts, learnt from the first events of its answers."""

from __future__ import annotations

START_S_PER_TOKEN = 1 / 30_000
"""Time to read a prompt token before anything was measured: between the engines known."""
LEAST_TOKENS = 2_000
"""Tokens from which a prompt says something of the pace: the time before the first event has parts
that don't grow with the prompt, some 20 ms, and these read in about 60."""
MOST_AHEAD = 0.5
"""Tokens of other prompts, against its own, that a prompt may have before it to be measured by: how
far these were read already isn't known."""
FIRST_SAMPLES = 8
FIRST_STEP = 0.12
"""Part by which each of the first samples moves the estimate: with these few an engine that is half
or twice as fast as the start value is known, within seconds of load."""
STEP = 0.03
"""The same of later ones. One side of the samples can be wrong by far: a prompt that the engine had
already, or one behind more urgent prompts. Steps of one size follow the median, which a few wrong
ones don't move."""


class ReadPace:
    """The pace of one engine."""

    def __init__(self, s_per_token: float = START_S_PER_TOKEN) -> None:
        self.s_per_token = s_per_token
        self._samples = 0

    def learn(self, tokens: int, ahead: int, took_s: float) -> None:
        """Learn from a prompt that was read within some seconds, with others ahead of it."""
        if tokens < LEAST_TOKENS or ahead > MOST_AHEAD * tokens:
            return
        step = FIRST_STEP if self._samples < FIRST_SAMPLES else STEP
        self._samples += 1
        is_slower = took_s / (tokens + ahead) > self.s_per_token
        self.s_per_token *= 1 + step if is_slower else 1 / (1 + step)
