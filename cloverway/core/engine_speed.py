"""How fast an engine reads prompts and makes tokens, learnt from the events of its answers."""

from __future__ import annotations

from cloverway.core.decay import DecayingSum

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


TOKEN_HALF_S = 0.7
"""Age at which the events of answers count half: long against one pause, short against the time
that an answer takes, so that an engine which has just got many prompts is seen to be slow."""
LEAST_SEEN_S = 0.1
"""Seconds of pauses, older ones counting less, from which on they say something."""
START_STEP_S = 0.006
"""Time of one token at an engine that reads no prompts, before anything was seen."""


class TokenPace:
    """The pace at which one engine makes the tokens of its running answers.

    All answers that run at an engine get one token in each of its steps, so any of them tells.
    """

    def __init__(self) -> None:
        self._seconds = DecayingSum(TOKEN_HALF_S)
        self._tokens = DecayingSum(TOKEN_HALF_S)

    def note(self, gap_s: float, tokens: int, now: float) -> None:
        """Note that some tokens of an answer took so long."""
        self._seconds.add(gap_s, now)
        self._tokens.add(tokens, now)

    def get(self, now: float) -> float | None:
        """Give the seconds that a token takes just now; None where too little was seen."""
        if self._seconds.get(now) < LEAST_SEEN_S:
            return None
        return self._seconds.get(now) / max(self._tokens.get(now), 1e-9)
