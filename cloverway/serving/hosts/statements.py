"""Exchange of the statements that endpoints make about themselves, within a region."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cloverway.core.endpoints import Directory
from cloverway.core.statements import Statement, StatementChange
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, UpdateBatch
from cloverway.serving.hosts.messages import CODEC, EndpointStatement, StatementReport
from cloverway.serving.ports import ReplyFacts
from cloverway.serving.telemetry import Metrics, log_event

MIN_BROADCAST_INTERVAL_S = 0.2
"""Minimum interval between two broadcasts: an endpoint may name another limit with each answer."""
ENDED_LIMIT_REBROADCAST_S = 10.0
"""How long the end of a limit is rebroadcast. A host that missed it learns of it from its own next
answer of the endpoint and sends it fewer requests until then."""
MAX_STATEMENTS_PER_MESSAGE = 20
"""Maximum number of endpoints in a message: about 60 bytes each, within one packet of 1,500
bytes."""
MAX_AGE_MS = (1 << 31) - 1
"""Upper limit of the age field."""
NO_LIMIT = -1


class StatementExchange:
    """Records the statements of endpoints in the directory and exchanges them with other hosts.

    Endpoints answer hosts of their own region only, so no other host needs their statements.
    """

    message = StatementReport
    is_regional = True

    def __init__(self, own_name: str, directory: Directory, metrics: Metrics) -> None:
        self._own_name = own_name
        self._directory = directory
        self._metrics = metrics
        self._pending: dict[str, None] = {}
        """Incarnations of endpoints with pending updates, in the order of their arrival."""
        self._broadcast_at = float("-inf")
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def record_answer(
        self, incarnation: str, facts: ReplyFacts, *, request_id: str, sent_at: float, now: float
    ) -> None:
        """Record what an endpoint states about itself in an answer.

        An answer without a limit ends a limit only if its request was sent after the limit was
        received, since answers on several connections overtake each other. An unsigned answer may
        not come from the endpoint, so it does not show that there is no limit.
        """
        if facts.pause_s is not None:
            self._directory.record_pause(incarnation, facts.pause_s, now)
            self._metrics.record_event("pause_asked")
            log_event("pause_asked", life=incarnation, pause_s=facts.pause_s, request_id=request_id)
        if facts.limit_per_s is not None:
            statement = Statement(facts.limit_per_s, now, facts.leaving)
        elif facts.is_signed:
            statement = Statement(None, sent_at, facts.leaving)
        else:
            statement = Statement(leaving=facts.leaving)
        changes = self._directory.record_statement(incarnation, statement)
        if changes:
            self._log_changes(incarnation, changes, now, request_id=request_id)
            self._pending[incarnation] = None
            self.schedule_broadcast(
                max(BROADCAST_DELAY_S, self._broadcast_at + MIN_BROADCAST_INTERVAL_S - now)
            )

    def receive(self, report: StatementReport, is_remote: bool, now: float) -> None:
        """Apply the report of another host."""
        for item in report.statements:
            changes = self._directory.record_statement(item.life, _decode_statement(item, now))
            self._log_changes(item.life, changes, now, peer=report.host)

    def _log_changes(
        self,
        incarnation: str,
        changes: Iterable[StatementChange],
        now: float,
        *,
        request_id: str | None = None,
        peer: str | None = None,
    ) -> None:
        statement = self._directory.statements.get(incarnation)
        for change in changes:
            self._metrics.record_event(change)
            is_leaving = change is StatementChange.LEAVING
            log_event(
                change,
                life=incarnation,
                limit_per_s=statement.limit_per_s,
                age_s=None if is_leaving else round(now - statement.limit_at, 3),
                request_id=request_id,
                peer=peer,
            )

    def take_pending(self, now: float) -> UpdateBatch:
        """Return the pending updates and clear them."""
        pending = [
            (incarnation, self._directory.statements.get(incarnation))
            for incarnation in self._pending
        ]
        self._pending.clear()
        if pending:
            self._broadcast_at = now
        return UpdateBatch(self._encode(pending, now))

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return a message with valid statements, of a random sample if there are many."""
        current = self._directory.list_statements(now - ENDED_LIMIT_REBROADCAST_S)
        return self._encode(
            random.sample(current, min(MAX_STATEMENTS_PER_MESSAGE, len(current))), now
        )

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return messages with all valid statements."""
        return self._encode(self._directory.list_statements(now - ENDED_LIMIT_REBROADCAST_S), now)

    def _encode(self, statements: list[tuple[str, Statement]], now: float) -> list[bytes]:
        parts = [
            statements[first : first + MAX_STATEMENTS_PER_MESSAGE]
            for first in range(0, len(statements), MAX_STATEMENTS_PER_MESSAGE)
        ]
        return [
            CODEC.encode(
                StatementReport(
                    self._own_name,
                    tuple(
                        _encode_statement(incarnation, statement, now)
                        for incarnation, statement in part
                    ),
                )
            )
            for part in parts
        ]


def _encode_statement(incarnation: str, statement: Statement, now: float) -> EndpointStatement:
    limit = statement.limit_per_s
    milli = NO_LIMIT if limit is None else int(limit * 1000)
    age_ms = int(min(MAX_AGE_MS, (now - statement.limit_at) * 1000))
    return EndpointStatement(incarnation, milli, age_ms, statement.leaving)


def _decode_statement(item: EndpointStatement, now: float) -> Statement:
    limit = item.limit_milli / 1000 if item.limit_milli >= 0 else None
    return Statement(limit, now - item.limit_age_ms / 1000, item.leaving)
