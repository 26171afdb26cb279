"""What hosts of a region tell each other of the requests that they have at endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cloverway.core.calls import PromptSegment
from cloverway.core.endpoints import Directory, Endpoint
from cloverway.core.load import HostLoad
from cloverway.core.members import Members, Peer
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.hosts.peerwire import CODEC, EndpointUse, EndpointUses

TELL_S = 0.2
"""Period in which changes are told: loads of endpoints change as fast as a prompt is read."""
REFRESH_S = 1.0
"""Period in which everything is told again: half of the time for which it counts, since datagrams
are lost."""
MOST_TOLD_AT_ONCE = 32
"""Hosts that are told of one long prompt at once. Where more serve callers, all hear of it with the
next period: what the requests cost the hosts of a region stays bounded so."""
MOST_PARTS = 32


class UseExchange:
    """Tells and hears what hosts have at endpoints."""

    def __init__(
        self, members: Members, directory: Directory, send: Callable[[str, bytes], None]
    ) -> None:
        self._members = members
        self._directory = directory
        self._send = send
        self._is_telling = False

    async def run(self) -> None:
        """Tell what has changed, for ever."""
        refresh_at = 0.0
        while True:
            now = read_clock()
            is_refresh = now >= refresh_at
            if is_refresh:
                refresh_at = now + REFRESH_S
            if self._list_news(is_refresh):
                # Most hosts of a large region serve nobody: they need not know who listens.
                self._tell(self._list_listeners(), is_refresh)
            await wait_for_tick(TELL_S)

    def tell_at_once(self) -> None:
        """Tell the other hosts of a long prompt without waiting for the next period.

        Until then they would take an engine for idle that has just got it. What is sent within one
        turn of the event loop is told together.
        """
        if not self._is_telling:
            self._is_telling = True
            asyncio.get_running_loop().call_soon(self._tell_now)

    def hear(self, message: EndpointUses, now: float) -> None:
        """Take over what another host has at endpoints."""
        if message.host not in self._members.peers:
            return
        for use in message.uses:
            endpoint = self._directory.endpoints.get(use.endpoint)
            if endpoint is not None and (endpoint.entry.born_ms or 0) == use.born_ms:
                # What was sent to another life of it is neither at work nor in memory there.
                parts = [PromptSegment(*pair) for pair in zip(use.parts, use.tokens, strict=False)]
                load = HostLoad(use.running, use.unread, use.held, now)
                endpoint.load.note_sibling(message.host, load, parts)
                endpoint.load.note_prefill(use.read, now)

    def _tell_now(self) -> None:
        self._is_telling = False
        listeners = self._list_listeners()
        if len(listeners) <= MOST_TOLD_AT_ONCE:
            self._tell(listeners, False)

    def _tell(self, listeners: list[Peer], is_refresh: bool) -> None:
        uses = tuple(_take_use(endpoint) for endpoint in self._list_news(is_refresh))
        if not uses or not listeners:
            return
        data = CODEC.encode(EndpointUses(self._members.own.name, uses))
        for peer in listeners:
            self._send(peer.member.name, data)

    def _list_news(self, is_refresh: bool) -> list[Endpoint]:
        endpoints = self._directory.endpoints.values()
        return [endpoint for endpoint in endpoints if endpoint.load.has_update(is_refresh)]

    def _list_listeners(self) -> list[Peer]:
        return self._members.list_serving(self._members.own.region)


def _take_use(endpoint: Endpoint) -> EndpointUse:
    news = endpoint.load.take_update(MOST_PARTS)
    return EndpointUse(
        endpoint.entry.id,
        news.own.running,
        news.own.prefill_tokens,
        news.own.reserved_kv_tokens,
        tuple(part.id for part in news.segments),
        tuple(part.tokens for part in news.segments),
        news.sent_prefill_tokens,
        endpoint.entry.born_ms or 0,
    )
