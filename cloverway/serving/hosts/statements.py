"""What hosts of a region tell each other of what endpoints say of themselves."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from cloverway.core.endpoints import Directory
from cloverway.core.statements import News, Statement
from cloverway.serving.hosts.news import TELL_AFTER_S, FreshNews
from cloverway.serving.hosts.peerwire import CODEC, EndpointStatement, StatementReport
from cloverway.serving.ports import ReplyFacts
from cloverway.serving.telemetry import Metrics, log_event

TELL_EVERY_S = 0.2
"""Least time between two tellings: an endpoint may name another limit with each answer."""
ENDED_S = 10.0
"""How long the end of a limit is told again: a host that missed it learns of it with its own next
answer of the endpoint, and sends it less until then."""
MOST_TOLD = 20
"""Endpoints in one message: some 60 bytes each, within one packet of 1,500 bytes."""
MOST_AGE_MS = (1 << 31) - 1
"""What the field holds."""
UNLIMITED = -1


class StatementExchange:
    """Takes over what endpoints say of themselves, and tells and hears of it.

    Endpoints answer hosts of their own region only: nobody else needs to know.
    """

    message = StatementReport
    is_regional = True

    def __init__(self, own_name: str, directory: Directory, metrics: Metrics) -> None:
        self._own_name = own_name
        self._directory = directory
        self._metrics = metrics
        self._fresh: dict[str, None] = {}
        """Lives of endpoints of which news is to be told, in the order in which it came."""
        self._told_at = float("-inf")
        self.tell_soon: Callable[[float], None] = lambda delay_s: None

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
            self._metrics.note_event("pause_asked")
            log_event("pause_asked", life=life, pause_s=facts.pause_s, request_id=request_id)
        if facts.limit_per_s is not None:
            statement = Statement(facts.limit_per_s, now, facts.leaving)
        elif facts.is_signed:
            statement = Statement(None, sent_at, facts.leaving)
        else:
            statement = Statement(leaving=facts.leaving)
        news = self._directory.note_statement(life, statement)
        if news:
            self._tell_news(life, news, now, request_id=request_id)
            self._fresh[life] = None
            self.tell_soon(max(TELL_AFTER_S, self._told_at + TELL_EVERY_S - now))

    def hear(self, report: StatementReport, is_far: bool, now: float) -> None:
        """Take over what another host tells."""
        for told in report.statements:
            news = self._directory.note_statement(told.life, _read_statement(told, now))
            self._tell_news(told.life, news, now, peer=report.host)

    def _tell_news(
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
            self._metrics.note_event(what)
            is_leaving = what is News.LEAVING
            log_event(
                what,
                life=life,
                limit_per_s=statement.limit_per_s,
                age_s=None if is_leaving else round(now - statement.limit_at, 3),
                request_id=request_id,
                peer=peer,
            )

    def take_fresh(self, now: float) -> FreshNews:
        """Give what wasn't told yet."""
        fresh = [(life, self._directory.statements.get(life)) for life in self._fresh]
        self._fresh.clear()
        if fresh:
            self._told_at = now
        return FreshNews(self._encode(fresh, now))

    def list_standing(self, now: float) -> list[bytes]:
        """Give a message of what holds, of some endpoints by chance where there are many."""
        standing = self._directory.list_statements(now - ENDED_S)
        return self._encode(random.sample(standing, min(MOST_TOLD, len(standing))), now)

    def list_for_newcomer(self, now: float) -> list[bytes]:
        """Give messages of all that holds."""
        return self._encode(self._directory.list_statements(now - ENDED_S), now)

    def _encode(self, statements: list[tuple[str, Statement]], now: float) -> list[bytes]:
        parts = [
            statements[first : first + MOST_TOLD] for first in range(0, len(statements), MOST_TOLD)
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
    milli = UNLIMITED if limit is None else int(limit * 1000)
    age_ms = int(min(MOST_AGE_MS, (now - statement.limit_at) * 1000))
    return EndpointStatement(life, milli, age_ms, statement.leaving)


def _read_statement(told: EndpointStatement, now: float) -> Statement:
    limit = told.limit_milli / 1000 if told.limit_milli >= 0 else None
    return Statement(limit, now - told.limit_age_ms / 1000, told.leaving)
