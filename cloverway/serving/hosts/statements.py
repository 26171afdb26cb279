"""What hosts of a region tell each other of what endpoints say of themselves."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cloverway.core.endpoints import Directory
from cloverway.core.statements import News, Statement
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, UpdateBatch
from cloverway.serving.hosts.messages import CODEC, EndpointStatement, StatementReport
from cloverway.serving.ports import ReplyFacts
from cloverway.serving.telemetry import Figures, tell

MIN_BROADCAST_INTERVAL_S = 0.2
"""Least time between two tellings: an endpoint may name another limit with each answer."""
ENDED_LIMIT_REBROADCAST_S = 10.0
"""How long the end of a limit is told again: a host that missed it learns of it with its own next
answer of the endpoint, and sends it less until then."""
MAX_STATEMENTS_PER_MESSAGE = 20
"""Endpoints in one message: some 60 bytes each, within one packet of 1,500 bytes."""
MAX_AGE_MS = (1 << 31) - 1
"""What the field holds."""
NO_LIMIT = -1


class StatementExchange:
    """Takes over what endpoints say of themselves, and tells and hears of it.

    Endpoints answer hosts of their own region only: nobody else needs to know.
    """

    message = StatementReport
    is_regional = True

    def __init__(self, own_name: str, directory: Directory, figures: Figures) -> None:
        self._own_name = own_name
        self._directory = directory
        self._figures = figures
        self._pending: dict[str, None] = {}
        """Lives of endpoints of which news is to be told, in the order in which it came."""
        self._broadcast_at = float("-inf")
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def note_answer(
        self, life: str, facts: ReplyFacts, *, request_id: str, sent_at: float, now: float
    ) -> None:
        """Note what an endpoint says of itself in an answer.

        One that names no limit ends a limit only if its request was sent after the limit was heard:
        answers on several connections overtake each other. Without a signature it may not be the
        endpoint's own word that there is none.
        """
        if facts.pause_s is not None:
            self._directory.note_pause(life, facts.pause_s, now)
            self._figures.note_event("pause_asked")
            tell("pause_asked", life=life, pause_s=facts.pause_s, request_id=request_id)
        if facts.limit_per_s is not None:
            statement = Statement(facts.limit_per_s, now, facts.leaving)
        elif facts.sealed:
            statement = Statement(None, sent_at, facts.leaving)
        else:
            statement = Statement(leaving=facts.leaving)
        news = self._directory.note_statement(life, statement)
        if news:
            self._log_changes(life, news, now, request_id=request_id)
            self._pending[life] = None
            self.schedule_broadcast(
                max(BROADCAST_DELAY_S, self._broadcast_at + MIN_BROADCAST_INTERVAL_S - now)
            )

    def receive(self, report: StatementReport, is_remote: bool, now: float) -> None:
        """Take over what another host tells."""
        for told in report.statements:
            news = self._directory.note_statement(told.life, _read_statement(told, now))
            self._log_changes(told.life, news, now, peer=report.host)

    def _log_changes(
        self,
        life: str,
        news: Iterable[News],
        now: float,
        *,
        request_id: str | None = None,
        peer: str | None = None,
    ) -> None:
        statement = self._directory.statements.get(life)
        for what in news:
            self._figures.note_event(what)
            is_leaving = what is News.LEAVING
            tell(
                what,
                life=life,
                limit_per_s=statement.limit_per_s,
                age_s=None if is_leaving else round(now - statement.limit_at, 3),
                request_id=request_id,
                peer=peer,
            )

    def take_pending(self, now: float) -> UpdateBatch:
        """Give what wasn't told yet."""
        fresh = [(life, self._directory.statements.get(life)) for life in self._pending]
        self._pending.clear()
        if fresh:
            self._broadcast_at = now
        return UpdateBatch(self._encode(fresh, now))

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Give a message of what holds, of some endpoints by chance where there are many."""
        standing = self._directory.list_statements(now - ENDED_LIMIT_REBROADCAST_S)
        return self._encode(
            random.sample(standing, min(MAX_STATEMENTS_PER_MESSAGE, len(standing))), now
        )

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Give messages of all that holds."""
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
                    tuple(_encode_statement(life, statement, now) for life, statement in part),
                )
            )
            for part in parts
        ]


def _encode_statement(life: str, statement: Statement, now: float) -> EndpointStatement:
    limit = statement.limit_per_s
    milli = NO_LIMIT if limit is None else int(limit * 1000)
    age_ms = int(min(MAX_AGE_MS, (now - statement.limit_at) * 1000))
    return EndpointStatement(life, milli, age_ms, statement.leaving)


def _read_statement(told: EndpointStatement, now: float) -> Statement:
    limit = told.limit_milli / 1000 if told.limit_milli >= 0 else None
    return Statement(limit, now - told.limit_age_ms / 1000, told.leaving)
