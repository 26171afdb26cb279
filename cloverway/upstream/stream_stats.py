"""Token counts and inter-token gaps of a stream, reported once when it has ended."""

from __future__ import annotations

from bisect import bisect_left
from typing import NamedTuple

GAP_BOUNDS_S = (0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Upper bounds of the buckets for inter-token gaps, in seconds."""


class StreamStats(NamedTuple):
    """Statistics of a stream that has ended. Times are monotonic seconds."""

    tokens: int
    first_token_at: float | None
    ended_at: float
    gap_counts: tuple[int, ...]
    """Number of gaps per bucket of GAP_BOUNDS_S; the last entry counts all longer gaps."""
    gap_sum_s: float


class StreamMeter:
    """Counts the tokens of one stream and measures the gaps between them."""

    def __init__(self) -> None:
        self._tokens = 0
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self._gap_counts = [0] * (len(GAP_BOUNDS_S) + 1)

    def record_tokens(self, tokens: int, now: float) -> None:
        """Record the token count so far; tokens that arrived together count as one gap."""
        if tokens == self._tokens:
            return
        self._tokens = tokens
        if self._first_token_at is None:
            self._first_token_at = now
        else:
            self._gap_counts[bisect_left(GAP_BOUNDS_S, now - self._last_token_at)] += 1
        self._last_token_at = now

    def get_stats(self, now: float) -> StreamStats:
        """Return the statistics of the stream, which ends at `now`."""
        first_token_at = self._first_token_at
        gap_sum_s = self._last_token_at - first_token_at if first_token_at is not None else 0.0
        return StreamStats(self._tokens, first_token_at, now, tuple(self._gap_counts), gap_sum_s)
