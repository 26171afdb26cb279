"""Asks an endpoint that seemed to end, and is still published, which life of it is there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from cloverway.core.endpoints import Endpoint
from cloverway.core.quarantine import Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.http.client import AnswerError, ConnectError, Pool, fetch, make_request
from cloverway.serving.ports import Dialect, IncarnationFacts
from cloverway.serving.telemetry import Metrics, log_event

QUERY_TIMEOUT_S = 0.4
"""How long the answer is waited for: it needs no place at the endpoint, and comes within
milliseconds from one that is there."""
MAX_STATE_BYTES = 256 * 1024
"""The longest answer: some 60 bytes for each request that runs there."""


class IncarnationStatus(Enum):
    """What came of a question."""

    SAME = "same"
    """It is there, and never ended."""
    RESTARTED = "reborn"
    """It has ended; a later life of it is there."""
    GONE = "gone"
    """It has ended: nobody listens, or another endpoint does."""
    SILENT = "silent"
    UNKNOWN = "unknown"
    """It doesn't say when it started."""


class IncarnationCheck:
    """Settles whether an endpoint has ended before a request under which it seemed to returns.

    A connection that breaks looks the same whether its endpoint ended or not, and entries are some
    seconds late. An endpoint that ended twice under one request while its entry named the first
    life was counted once, and the request sent on for as long as entries were late: seven times in
    a test where three are allowed. Asking costs a millisecond, and only where a request comes back
    to a life of an endpoint that seemed to end under it.
    """

    def __init__(
        self, quarantine: Quarantine, pool: Pool, dialect: Dialect, metrics: Metrics
    ) -> None:
        self._quarantine = quarantine
        self._pool = pool
        self._dialect = dialect
        self._metrics = metrics
        self._queries: dict[str, asyncio.Task[IncarnationStatus]] = {}
        """The questions under way, by the life that they are about."""
        self.on_restarted: Callable[[str, int], None] = lambda name, born_ms: None
        """Called with the id of an endpoint and the start of a life that its entry doesn't tell."""

    async def may_send(self, endpoint: Endpoint, digest: int) -> bool:
        """Tell whether an endpoint may be sent a request, as far as it hasn't ended under it."""
        life = endpoint.entry.life
        if endpoint.entry.born_ms is None or not self._quarantine.has_ended(digest, life):
            return True
        query = self._queries.get(life)
        if query is None:
            query = self._queries[life] = asyncio.create_task(self._query(endpoint))
            query.add_done_callback(lambda _: self._queries.pop(life))
        # Shared by all that wait for the answer: one that gives up must not end it for the others.
        return await asyncio.shield(query) in (IncarnationStatus.SAME, IncarnationStatus.UNKNOWN)

    async def _query(self, endpoint: Endpoint) -> IncarnationStatus:
        began_at = read_clock()
        born_ms, why = None, ""
        try:
            facts = await self._fetch_facts(endpoint)
            born_ms = facts.born_ms
            status = self._note_facts(endpoint, facts)
        except ConnectError as error:
            why = str(error)
            status = IncarnationStatus.GONE if error.nobody_listens else IncarnationStatus.SILENT
        except AnswerError as error:
            why, status = str(error), IncarnationStatus.SILENT
        now = read_clock()
        if status is IncarnationStatus.GONE:
            endpoint.refused_at = now
        elif status is IncarnationStatus.SILENT:
            endpoint.load.note_failure(now)
        self._metrics.note_event(f"life_{status.value}")
        log_event(
            "life_asked",
            life=endpoint.entry.life,
            standing=status.value,
            born_ms=born_ms,
            why=why or None,
            lasted_s=round(now - began_at, 3),
        )
        return status

    async def _fetch_facts(self, endpoint: Endpoint) -> IncarnationFacts:
        target, headers = self._dialect.encode_incarnation_query(endpoint.entry.id)
        address = endpoint.entry.address
        request = make_request("GET", target, [(b"Host", address.encode()), *headers], b"")
        head, body = await fetch(
            self._pool, address, request, b"", timeout_s=QUERY_TIMEOUT_S, limit=MAX_STATE_BYTES
        )
        return self._dialect.decode_incarnation(head, body)

    def _note_facts(self, endpoint: Endpoint, facts: IncarnationFacts) -> IncarnationStatus:
        """Take over what an endpoint says of itself."""
        entry, now = endpoint.entry, read_clock()
        if facts.is_misdirected:
            endpoint.misdirected_at = now
            return IncarnationStatus.GONE
        if facts.born_ms is None or entry.born_ms is None:
            return IncarnationStatus.UNKNOWN
        if facts.born_ms > entry.born_ms:
            self.on_restarted(entry.id, facts.born_ms)
            return IncarnationStatus.RESTARTED
        if facts.born_ms < entry.born_ms:
            # An answer of the life before this one: it says nothing of whether this one is there.
            return IncarnationStatus.UNKNOWN
        self._quarantine.note_found(entry.life, now)
        return IncarnationStatus.SAME
