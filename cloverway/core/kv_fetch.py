"""Which endpoint another one fetches the parts of a prompt from, instead of reading them again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt
from cloverway.core.deployment import EngineShape
from cloverway.core.endpoints import Endpoint

SETUP_S = 0.005
"""Time that a fetch takes whatever its size: two trips within a region and the start of a copy."""
LEAST_TOKENS = 512
"""Tokens from which a fetch is worth it: to read fewer takes about as long as its setup, and each
fetch loads the links of two engines."""
SOUND_FAILURES = 0.5
"""Recent failures up to which an endpoint is taken to answer a fetch. One that failed just now may
hang, and the request would wait there for it."""


class Source(NamedTuple):
    """An endpoint with the leading tokens of a prompt that can be fetched from it."""

    endpoint: Endpoint
    tokens: int


def find_source(prompt: Prompt, endpoints: Iterable[Endpoint], now: float) -> Source | None:
    """Find the endpoint that has read most of a prompt; None where none has enough of it.

    An endpoint that leaves, is cold or has failed lately is left alone.
    """
    sound = (
        endpoint
        for endpoint in endpoints
        if not endpoint.is_leaving(now)
        and not endpoint.is_cold(now)
        and endpoint.load.failures(now) <= SOUND_FAILURES
    )
    sources = (Source(endpoint, endpoint.load.count_ready(prompt, now)) for endpoint in sound)
    best = max(sources, key=lambda source: source.tokens, default=None)
    return best if best is not None and best.tokens >= LEAST_TOKENS else None


def count_fetched(prompt: Prompt, endpoint: Endpoint, source: Source | None) -> int:
    """Give the tokens of a prompt that an endpoint should fetch from the source: none, or many."""
    if source is None or source.endpoint is endpoint:
        return 0
    gain = source.tokens - (prompt.tokens_in - endpoint.load.count_unread(prompt))
    return gain if gain >= LEAST_TOKENS else 0


def estimate_fetch(tokens: int, shape: EngineShape) -> float:
    """Give the seconds that a fetch of some tokens takes."""
    if not tokens:
        return 0.0
    return SETUP_S + tokens * shape.token_bytes * 8 / (shape.link_mbps * 1e6)
