"""Estimates of the prefill and decode speed of an engine, from the events of its answers."""

from __future__ import annotations

from cloverway.core.decay import DecayingSum

INITIAL_PREFILL_S_PER_TOKEN = 1 / 30_000
"""Prefill time of a token before the first measurement: between those of the known engines."""
MIN_TOKENS = 2_000
"""Minimum size of a prompt that is used as a sample. The time to first token has a constant part of
about 20 ms; the prefill of this many tokens takes about 60 ms."""
MAX_AHEAD_RATIO = 0.5
"""Maximum ratio of the tokens queued ahead of a prompt to its own for it to be used as a sample:
how far the prefill of those ahead had got isn't known."""
WARMUP_SAMPLES = 8
WARMUP_STEP = 0.12
"""Relative step of the estimate for each of the first samples. These few samples reach the speed of
an engine that is half or twice as fast as the initial value, within seconds of load."""
STEP = 0.03
"""Relative step for later samples. Samples can be far off: the prompt was already cached, or was
queued behind more urgent prompts. Steps of constant size follow the median, which a few outliers
don't move."""


class PrefillSpeed:
    """Estimates the prefill time per token of one engine."""

    def __init__(self, s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN) -> None:
        self.s_per_token = s_per_token
        self._samples = 0

    def update(self, tokens: int, ahead: int, took_s: float) -> None:
        """Update the estimate from a prompt; `ahead` is the number of tokens queued before it."""
        if tokens < MIN_TOKENS or ahead > MAX_AHEAD_RATIO * tokens:
            return
        step = WARMUP_STEP if self._samples < WARMUP_SAMPLES else STEP
        self._samples += 1
        is_slower = took_s / (tokens + ahead) > self.s_per_token
        self.s_per_token *= 1 + step if is_slower else 1 / (1 + step)


DECODE_HALF_LIFE_S = 0.7
"""Half-life of the events of answers: long compared with one inter-token gap, short compared with
the time of an answer, so that an engine that has just received many prompts is seen to be slow."""
MIN_OBSERVED_S = 0.1
"""Minimum decayed sum of inter-token gaps for an estimate."""
INITIAL_DECODE_S_PER_TOKEN = 0.006
"""Decode time of a token, before the first measurement, at an engine without prefill work."""


class DecodeSpeed:
    """Estimates the decode time per token of one engine.

    Each engine step produces one token of every running answer, so any answer can be measured.
    """

    def __init__(self) -> None:
        self._seconds = DecayingSum(DECODE_HALF_LIFE_S)
        self._tokens = DecayingSum(DECODE_HALF_LIFE_S)

    def record(self, gap_s: float, tokens: int, now: float) -> None:
        """Record the time that some tokens of an answer took."""
        self._seconds.add(gap_s, now)
        self._tokens.add(tokens, now)

    def get(self, now: float) -> float | None:
        """Return the current seconds per token, or None if there are too few observations."""
        if self._seconds.get(now) < MIN_OBSERVED_S:
            return None
        return self._seconds.get(now) / max(self._tokens.get(now), 1e-9)
