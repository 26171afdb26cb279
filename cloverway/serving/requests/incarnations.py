"""Queries an endpoint that seemed to crash, and is still published, for its incarnation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple

from cloverway.core.bad_parts import PartSuspects
from cloverway.core.endpoint import Endpoint
from cloverway.core.quarantine import Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.http.client import (
    ConnectError,
    ConnectionPool,
    ResponseError,
    fetch,
    make_request,
)
from cloverway.serving.ports import Dialect, IncarnationFacts
from cloverway.serving.telemetry import Metrics, log_event

QUERY_TIMEOUT_S = 0.4
"""Timeout of the query. It isn't queued at the endpoint, and a running endpoint answers within
milliseconds."""
MAX_STATE_BYTES = 256 * 1024
"""Maximum length of the response: about 60 bytes for each request that the endpoint runs."""


class IncarnationStatus(Enum):
    """The result of a query."""

    SAME = "same"
    """The endpoint is running and did not crash."""
    RESTARTED = "reborn"
    """The endpoint crashed; a later incarnation of it is running."""
    GONE = "gone"
    """The endpoint crashed: its address refuses connections or belongs to another endpoint."""
    SILENT = "silent"
    """The endpoint did not answer."""
    UNKNOWN = "unknown"
    """The endpoint doesn't state its start time, or states an earlier one than its entry."""


RUNNING = frozenset((IncarnationStatus.SAME, IncarnationStatus.UNKNOWN))
"""Results that show a running endpoint, and nothing that speaks against its incarnation."""


class _Query(NamedTuple):
    """A query in progress, which all requests that need its result share."""

    began_at: float
    task: asyncio.Task[IncarnationStatus]


class IncarnationCheck:
    """Determines whether an endpoint crashed, before a request is sent there again.

    A lost connection looks the same whether its endpoint crashed or not, and directory entries are
    some seconds late. If an endpoint crashed twice under one request while its entry still named
    the first incarnation, only one crash would be counted. The request would be sent again for as
    long as entries are late: seven times where three are allowed. A query costs a
    millisecond and is made only when a request returns to an incarnation that seemed to crash
    under it.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        part_suspects: PartSuspects,
        pool: ConnectionPool,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._part_suspects = part_suspects
        self._pool = pool
        self._dialect = dialect
        self._metrics = metrics
        self._queries: dict[str, _Query] = {}
        """The queries in progress, by the incarnation of the endpoint."""
        self.on_restarted: Callable[[str, int], None] = lambda name, started_ms: None
        """Called with the id of a restarted endpoint and its start, which its entry lacks."""

    async def may_send(self, endpoint: Endpoint, digest: int, parts: Sequence[int] = ()) -> bool:
        """Return whether a request may be sent to an endpoint that may have crashed under it.

        `parts` are those of its prompt that other requests share.
        """
        entry = endpoint.entry
        if entry.started_ms is None or not (
            self._quarantine.has_crashed(digest, entry.incarnation)
            or self._part_suspects.has_crashed(parts, entry.incarnation)
        ):
            return True
        return await self._await_status(self._begin_query(endpoint)) in RUNNING

    async def is_running(self, endpoint: Endpoint, since: float) -> bool:
        """Return whether an endpoint answers that is asked at some time or later."""
        query = self._begin_query(endpoint)
        if query.began_at < since:
            await self._await_status(query)
            query = self._begin_query(endpoint)
        return await self._await_status(query) in RUNNING

    async def confirm(self, endpoint: Endpoint, opened_at: float) -> bool:
        """Return whether a connection opened at a time leads to this incarnation of an endpoint.

        A query in progress may have begun before the connection was opened; then a second one is
        needed.
        """
        for _ in range(2):
            if endpoint.is_certain(opened_at):
                break
            if await self._await_status(self._begin_query(endpoint)) is not IncarnationStatus.SAME:
                break
        return endpoint.is_certain(opened_at)

    def _begin_query(self, endpoint: Endpoint) -> _Query:
        incarnation = endpoint.entry.incarnation
        query = self._queries.get(incarnation)
        if query is None:
            began_at = read_clock()
            task = asyncio.create_task(self._run_query(incarnation, endpoint, began_at))
            query = self._queries[incarnation] = _Query(began_at, task)
        return query

    async def _run_query(
        self, incarnation: str, endpoint: Endpoint, began_at: float
    ) -> IncarnationStatus:
        try:
            return await self._query(endpoint, began_at)
        finally:
            # A callback of the task would run an iteration of the loop later. Until then a request
            # that needs a new query would take the result of this one, which may be too old.
            del self._queries[incarnation]

    async def _await_status(self, query: _Query) -> IncarnationStatus:
        """Wait for a query; a request that is cancelled doesn't cancel it for the others."""
        return await asyncio.shield(query.task)

    async def _query(self, endpoint: Endpoint, began_at: float) -> IncarnationStatus:
        started_ms, why = None, ""
        try:
            facts = await self._fetch_facts(endpoint)
            started_ms = facts.started_ms
            status = self._record_facts(endpoint, facts)
        except ConnectError as error:
            why = str(error)
            status = (
                IncarnationStatus.GONE if error.connection_refused else IncarnationStatus.SILENT
            )
        except ResponseError as error:
            why, status = str(error), IncarnationStatus.SILENT
        now = read_clock()
        if status is IncarnationStatus.SAME:
            endpoint.confirmed_at = began_at
        if status is IncarnationStatus.GONE:
            endpoint.refused_at = now
        elif status is IncarnationStatus.SILENT:
            endpoint.load.record_failure(now)
        self._metrics.record_event(f"life_{status.value}")
        log_event(
            "life_asked",
            life=endpoint.entry.incarnation,
            standing=status.value,
            born_ms=started_ms,
            why=why or None,
            lasted_s=round(now - began_at, 3),
        )
        return status

    async def _fetch_facts(self, endpoint: Endpoint) -> IncarnationFacts:
        """Query an endpoint, and once more if it doesn't answer: a single packet may be lost."""
        try:
            return await self._fetch_once(endpoint)
        except ResponseError:
            return await self._fetch_once(endpoint)

    async def _fetch_once(self, endpoint: Endpoint) -> IncarnationFacts:
        target, headers = self._dialect.encode_incarnation_query(endpoint.entry.id)
        address = endpoint.entry.address
        request = make_request("GET", target, [(b"Host", address.encode()), *headers], b"")
        head, body = await fetch(
            *(self._pool, address, request, b""),
            timeout_s=QUERY_TIMEOUT_S,
            limit=MAX_STATE_BYTES,
            is_own_connection=True,
        )
        return self._dialect.decode_incarnation(head, body)

    def _record_facts(self, endpoint: Endpoint, facts: IncarnationFacts) -> IncarnationStatus:
        """Apply what an endpoint states about itself."""
        entry, now = endpoint.entry, read_clock()
        if facts.is_misdirected:
            endpoint.misdirected_at = now
            return IncarnationStatus.GONE
        if facts.started_ms is None or entry.started_ms is None:
            return IncarnationStatus.UNKNOWN
        if facts.started_ms > entry.started_ms:
            self.on_restarted(entry.id, facts.started_ms)
            return IncarnationStatus.RESTARTED
        if facts.started_ms < entry.started_ms:
            # The previous incarnation answered, which doesn't show whether this one is running.
            return IncarnationStatus.UNKNOWN
        self._quarantine.record_confirmed_alive(entry.incarnation, now)
        self._part_suspects.record_confirmed_alive(entry.incarnation, now)
        return IncarnationStatus.SAME
