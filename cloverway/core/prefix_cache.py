"""Which parts of prompts an endpoint holds in its memory, as far as this host can tell."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptSegment


class _CachedSegment(NamedTuple):
    tokens: int
    ready_at: float
    """When the part has been read, by prediction."""


class CachedSegments:
    """The parts that were sent to an endpoint; the least recently used ones yield."""

    def __init__(self) -> None:
        self._segments: OrderedDict[int, _CachedSegment] = OrderedDict()
        self._tokens = 0

    def note(self, segments: Iterable[PromptSegment], ready_at: float) -> None:
        """Note that the endpoint has been sent these parts, and will have read them some time."""
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
        """Forget the least recently used parts until the rest fits into some tokens."""
        while self._tokens > capacity and self._segments:
            _, cached = self._segments.popitem(last=False)
            self._tokens -= cached.tokens

    def count_expected(self, prompt: Prompt) -> int:
        """Give the leading tokens of a prompt that the endpoint holds or is about to read."""
        return self._count(prompt, float("inf"))

    def count_ready(self, prompt: Prompt, now: float) -> int:
        """Give the leading tokens of a prompt that the endpoint has read already.

        Another endpoint can fetch only these: asked too early, it would find nothing and read
        everything itself.
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
