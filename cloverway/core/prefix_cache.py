"""Which parts of prompts an endpoint holds in its memory, as far as this host can tell."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt, PromptPart


class _Held(NamedTuple):
    tokens: int
    ready_at: float
    """When the part has been read, by prediction."""


class HeldParts:
    """The parts that were sent to an endpoint; the least recently used ones yield."""

    def __init__(self) -> None:
        self._parts: OrderedDict[int, _Held] = OrderedDict()
        self._tokens = 0

    def note(self, parts: Iterable[PromptPart], ready_at: float) -> None:
        """Note that the endpoint has been sent these parts, and will have read them some time."""
        for part in parts:
            held = self._parts.pop(part.id, None)
            if held is not None:
                self._tokens -= held.tokens
                ready_at_part = min(ready_at, held.ready_at)
            else:
                ready_at_part = ready_at
            self._parts[part.id] = _Held(part.tokens, ready_at_part)
            self._tokens += part.tokens

    def trim(self, capacity: int) -> None:
        """Forget the least recently used parts until the rest fits into some tokens."""
        while self._tokens > capacity and self._parts:
            _, held = self._parts.popitem(last=False)
            self._tokens -= held.tokens

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
        for part in prompt.parts:
            held = self._parts.get(part.id)
            if held is None or held.ready_at > ready_by:
                break
            tokens += held.tokens
        return min(tokens, prompt.tokens_in)
