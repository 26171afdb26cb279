"""Choose the endpoint that another one fetches KV cache from instead of prefilling again."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cloverway.core.calls import Prompt
from cloverway.core.deployment import EngineSpec
from cloverway.core.endpoint import Endpoint

FETCH_SETUP_S = 0.005
"""Fixed time of a fetch: two round trips within a region and the start of the copy."""
MIN_TOKENS = 512
"""Minimum size of a fetch: prefill of fewer tokens takes about as long as the setup of a fetch, and
each fetch loads the links of two engines."""
MAX_HEALTHY_FAILURES = 0.5
"""Recent failures, decayed, up to which an endpoint counts as healthy enough to serve a fetch. One
that has just failed may hang, and the request would wait for it."""


class FetchSource(NamedTuple):
    """An endpoint and the number of leading tokens of a prompt that can be fetched from it."""

    endpoint: Endpoint
    tokens: int


def find_fetch_source(
    prompt: Prompt, endpoints: Iterable[Endpoint], now: float
) -> FetchSource | None:
    """Return the endpoint that has most of a prompt cached; None if none has enough of it.

    Endpoints that are leaving, cold or have failed recently are not considered.
    """
    healthy = (
        endpoint
        for endpoint in endpoints
        if not endpoint.is_leaving(now)
        and not endpoint.is_cold(now)
        and endpoint.load.count_failures(now) <= MAX_HEALTHY_FAILURES
    )
    sources = (
        FetchSource(endpoint, endpoint.load.count_ready(prompt, now)) for endpoint in healthy
    )
    best = max(sources, key=lambda source: source.tokens, default=None)
    return best if best is not None and best.tokens >= MIN_TOKENS else None


def count_fetched_tokens(prompt: Prompt, endpoint: Endpoint, source: FetchSource | None) -> int:
    """Return the tokens to fetch from the source: 0, or at least `MIN_TOKENS`."""
    if source is None or source.endpoint is endpoint:
        return 0
    fetched = source.tokens - (prompt.input_tokens - endpoint.load.count_uncached(prompt))
    return fetched if fetched >= MIN_TOKENS else 0


def estimate_fetch_s(tokens: int, spec: EngineSpec) -> float:
    """Return the seconds that a fetch of some tokens takes."""
    if not tokens:
        return 0.0
    return FETCH_SETUP_S + tokens * spec.token_bytes * 8 / (spec.link_mbps * 1e6)
