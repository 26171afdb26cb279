"""Exchange of endpoint loads: what each host of a region has running at endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cloverway.core.calls import PromptSegment
from cloverway.core.endpoint import Endpoint
from cloverway.core.endpoints import Directory
from cloverway.core.load import HostLoad
from cloverway.core.members import Members, Peer
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.hosts.messages import CODEC, EndpointUse, EndpointUses

BROADCAST_PERIOD_S = 0.2
"""Period in which changes are broadcast: loads of endpoints change as fast as a prompt is
prefilled."""
REFRESH_PERIOD_S = 1.0
"""Period in which all loads are broadcast, since datagrams are lost: half of the time for which a
received load is valid."""
MAX_IMMEDIATE_RECIPIENTS = 32
"""Maximum number of hosts that a long prompt is broadcast to at once. If more hosts serve callers,
they all receive it with the next period. This bounds what requests cost the hosts of a region."""
MAX_SEGMENTS = 32


class EndpointLoadExchange:
    """Broadcasts this host's load at endpoints and applies that of other hosts."""

    def __init__(
        self, members: Members, directory: Directory, send: Callable[[str, bytes], None]
    ) -> None:
        self._members = members
        self._directory = directory
        self._send = send
        self._is_broadcast_scheduled = False

    async def run(self) -> None:
        """Broadcast changes forever."""
        refresh_at = 0.0
        while True:
            now = read_clock()
            is_refresh = now >= refresh_at
            if is_refresh:
                refresh_at = now + REFRESH_PERIOD_S
            if self._list_changed(is_refresh):
                # Most hosts of a large region serve no callers and need not determine the
                # recipients.
                self._broadcast(self._list_recipients(), is_refresh)
            await wait_for_tick(BROADCAST_PERIOD_S)

    def broadcast_at_once(self) -> None:
        """Broadcast a long prompt without waiting for the next period.

        Otherwise other hosts would treat the engine that has just received it as idle. Requests
        that are sent in the same iteration of the event loop share a broadcast.
        """
        if not self._is_broadcast_scheduled:
            self._is_broadcast_scheduled = True
            asyncio.get_running_loop().call_soon(self._broadcast_now)

    def receive(self, message: EndpointUses, now: float) -> None:
        """Apply the load of another host at endpoints."""
        if message.host not in self._members.peers:
            return
        for use in message.uses:
            endpoint = self._directory.endpoints.get(use.endpoint)
            if endpoint is not None and (endpoint.entry.started_ms or 0) == use.born_ms:
                # Requests sent to another incarnation neither run nor have cached prompts here.
                parts = [PromptSegment(*pair) for pair in zip(use.parts, use.tokens, strict=False)]
                load = HostLoad(use.running, use.unread, use.held, now)
                endpoint.load.record_host_load(message.host, load, parts)
                endpoint.load.record_prefill(use.read, now)

    def _broadcast_now(self) -> None:
        self._is_broadcast_scheduled = False
        recipients = self._list_recipients()
        if len(recipients) <= MAX_IMMEDIATE_RECIPIENTS:
            self._broadcast(recipients, False)

    def _broadcast(self, recipients: list[Peer], is_refresh: bool) -> None:
        uses = tuple(_take_update(endpoint) for endpoint in self._list_changed(is_refresh))
        if not uses or not recipients:
            return
        data = CODEC.encode(EndpointUses(self._members.own.name, uses))
        for peer in recipients:
            self._send(peer.member.name, data)

    def _list_changed(self, is_refresh: bool) -> list[Endpoint]:
        endpoints = self._directory.endpoints.values()
        return [endpoint for endpoint in endpoints if endpoint.load.has_update(is_refresh)]

    def _list_recipients(self) -> list[Peer]:
        return self._members.list_serving(self._members.own.region)


def _take_update(endpoint: Endpoint) -> EndpointUse:
    update = endpoint.load.take_update(MAX_SEGMENTS)
    return EndpointUse(
        endpoint.entry.id,
        update.own.running,
        update.own.prefill_tokens,
        update.own.reserved_kv_tokens,
        tuple(segment.id for segment in update.segments),
        tuple(segment.tokens for segment in update.segments),
        update.sent_prefill_tokens,
        endpoint.entry.started_ms or 0,
    )
