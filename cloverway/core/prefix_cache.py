"""Estimate which prompt segments are in the KV cache of an endpoint."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptSegment


class _CachedSegment(NamedTuple):
    tokens: int
    ready_at: float
    """Predicted time at which its prefill is finished."""


class CachedSegments:
    """Segments that were sent to an endpoint, evicted in least recently used order."""

    def __init__(self) -> None:
        self._segments: OrderedDict[int, _CachedSegment] = OrderedDict()
        self._tokens = 0

    def record(self, segments: Iterable[PromptSegment], ready_at: float) -> None:
        """Record segments that were sent to the endpoint and the time when they will be cached."""
        for segment in segments:
            cached = self._segments.pop(segment.id, None)
            if cached is not None:
                self._tokens -= cached.tokens
                segment_ready_at = min(ready_at, cached.ready_at)
            else:
                segment_ready_at = ready_at
            self._segments[segment.id] = _CachedSegment(segment.tokens, segment_ready_at)
            self._tokens += segment.tokens

    def trim(self, capacity: int) -> None:
        """Evict the least recently used segments until the rest fits into `capacity` tokens."""
        while self._tokens > capacity and self._segments:
            _, cached = self._segments.popitem(last=False)
            self._tokens -= cached.tokens

    def count_expected(self, prompt: Prompt) -> int:
        """Return the leading tokens of a prompt that are cached or about to be prefilled."""
        return self._count(prompt, float("inf"))

    def count_ready(self, prompt: Prompt, now: float) -> int:
        """Return the leading tokens of a prompt whose prefill is finished.

        Another endpoint can fetch only these: a fetch that comes too early finds nothing, and the
        other endpoint prefills the whole prompt itself.
        """
        return self._count(prompt, now)

    def _count(self, prompt: Prompt, ready_by: float) -> int:
        tokens = 0
        for segment in prompt.segments:
            cached = self._segments.get(segment.id)
            if cached is None or cached.ready_at > ready_by:
                break
            tokens += cached.tokens
        return min(tokens, prompt.input_tokens)
