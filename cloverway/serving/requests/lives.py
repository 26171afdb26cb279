"""Asks an endpoint that seemed to end, and is still published, which life of it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from cloverway.core.endpoints import Endpoint
from cloverway.core.quarantine import Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    fetch,
    make_request,
)
from cloverway.serving.ports import Dialect, LifeFacts
from cloverway.serving.telemetry import Figures, tell

ASK_S = 0.4
"""How long the answer is waited for: it needs no place at the endpoint, and comes within
milliseconds from one that is there."""
STATE_BYTES = 256 * 1024
"""The longest answer: some 60 bytes for each request that runs there."""


class Standing(Enum):
    """What came of a question."""

    SAME = "same"
    """It is there, and never ended."""
    REBORN = "reborn"
    """It has ended; a later life of it is there."""
    GONE = "gone"
    """It has ended: nobody listens, or another endpoint does."""
    SILENT = "silent"
    UNKNOWN = "unknown"
    """It doesn't say when it started."""


class LifeCheck:
    """Settles whether an endpoint has ended before a request under which it seemed to returns.

    A connection that breaks looks the same whether its endpoint ended or not, and entries are some
    seconds late. An endpoint that ended twice under one request while its entry named the first
    life was counted once, and the request sent on for as long as entries were late: seven times in
    a test where three are allowed. Asking costs a millisecond, and only where a request comes back
    to a life of an endpoint that seemed to end under it.
    """

    def __init__(
        self, quarantine: Quarantine, pool: ConnectionPool, dialect: Dialect, figures: Figures
    ) -> None:
        self._quarantine = quarantine
        self._pool = pool
        self._dialect = dialect
        self._figures = figures
        self._asking: dict[str, asyncio.Task[Standing]] = {}
        """The questions under way, by the life that they are about."""
        self.on_born: Callable[[str, int], None] = lambda name, born_ms: None
        """Called with the id of an endpoint and the start of a life that its entry doesn't tell."""

    async def may_send(self, endpoint: Endpoint, digest: int) -> bool:
        """Tell whether an endpoint may be sent a request, as far as it hasn't ended under it."""
        life = endpoint.entry.incarnation
        if endpoint.entry.started_ms is None or not self._quarantine.has_crashed(digest, life):
            return True
        asking = self._asking.get(life)
        if asking is None:
            asking = self._asking[life] = asyncio.create_task(self._ask(endpoint))
            asking.add_done_callback(lambda _: self._asking.pop(life))
        # Shared by all that wait for the answer: one that gives up must not end it for the others.
        return await asyncio.shield(asking) in (Standing.SAME, Standing.UNKNOWN)

    async def _ask(self, endpoint: Endpoint) -> Standing:
        began_at = read_clock()
        born_ms, why = None, ""
        try:
            facts = await self._fetch_facts(endpoint)
            born_ms = facts.born_ms
            standing = self._note_facts(endpoint, facts)
        except ConnectError as error:
            why = str(error)
            standing = Standing.GONE if error.connection_refused else Standing.SILENT
        except ResponseError as error:
            why, standing = str(error), Standing.SILENT
        now = read_clock()
        if standing is Standing.GONE:
            endpoint.refused_at = now
        elif standing is Standing.SILENT:
            endpoint.load.note_failure(now)
        self._figures.note_event(f"life_{standing.value}")
        tell(
            "life_asked",
            life=endpoint.entry.incarnation,
            standing=standing.value,
            born_ms=born_ms,
            why=why or None,
            lasted_s=round(now - began_at, 3),
        )
        return standing

    async def _fetch_facts(self, endpoint: Endpoint) -> LifeFacts:
        target, headers = self._dialect.encode_life_question(endpoint.entry.id)
        address = endpoint.entry.address
        request = make_request("GET", target, [(b"Host", address.encode()), *headers], b"")
        head, body = await fetch(
            self._pool, address, request, b"", timeout_s=ASK_S, limit=STATE_BYTES
        )
        return self._dialect.decode_life(head, body)

    def _note_facts(self, endpoint: Endpoint, facts: LifeFacts) -> Standing:
        """Take over what an endpoint says of itself."""
        entry, now = endpoint.entry, read_clock()
        if facts.elsewhere:
            endpoint.misdirected_at = now
            return Standing.GONE
        if facts.born_ms is None or entry.started_ms is None:
            return Standing.UNKNOWN
        if facts.born_ms > entry.started_ms:
            self.on_born(entry.id, facts.born_ms)
            return Standing.REBORN
        if facts.born_ms < entry.started_ms:
            # An answer of the life before this one: it says nothing of whether this one is there.
            return Standing.UNKNOWN
        self._quarantine.note_confirmed_alive(entry.incarnation, now)
        return Standing.SAME
