"""Endpoints that state a rate limit, and callers that send to them."""

from __future__ import annotations

import asyncio

from cloverway.serving.clock import read_clock

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Maximum requests in any four seconds, from all hosts together."""
LIMIT_DELAY_S = 0.5
"""Time after the first response with the limit until it must be kept."""


class LimitedEndpoint:
    """An endpoint that states a limit in each response, and records when requests arrive."""

    def __init__(self, endpoint, limit=b"%g" % LIMIT_PER_S) -> None:
        self.endpoint = endpoint
        self.limit = limit
        self.arrivals = []
        self.stated_at = None
        """When a response of it stated the limit for the first time."""
        endpoint.answer = self.answer

    async def answer(self, exchange):
        self.arrivals.append(read_clock())
        headers = self.endpoint.make_head(exchange)
        if self.limit is not None:
            headers.append((b"Server-Limit", self.limit))
            self.stated_at = self.stated_at or read_clock()
        await exchange.answer(200, headers, b"ran at " + self.endpoint.name.encode())

    def count_max_in_window(self):
        """Return the maximum of requests in any four seconds while the limit applies."""
        bound = [at for at in self.arrivals if at >= self.stated_at + LIMIT_DELAY_S]
        return max(
            (sum(start <= at < start + WINDOW_S for at in bound) for start in bound), default=0
        )


async def send_load(fleet, hosts, seconds, per_s=15):
    """Send requests to hosts in turn for some seconds; return the replies."""
    calls = []
    for number in range(int(seconds * per_s)):
        host = hosts[number % len(hosts)]
        calls.append(asyncio.create_task(fleet.call("/safe/a", host, deadline_ms=1000)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)
