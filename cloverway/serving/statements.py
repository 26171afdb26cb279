"""What hosts of a region tell each other of what endpoints say of themselves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from cloverway.core.endpoints import Directory
from cloverway.core.members import Members
from cloverway.core.statements import News, Statement
from cloverway.serving.clock import read_clock
from cloverway.serving.peerwire import CODEC, EndpointStatement, StatementReport
from cloverway.serving.ports import ReplyFacts
from cloverway.serving.telemetry import Figures, tell

TELL_AFTER_S = 0.02
"""How long news waits to be told, so that one message tells of several endpoints."""
TELL_EVERY_S = 0.2
"""Least time between two tellings: an endpoint may name another limit with each answer."""
RETELL_S = 1.0
"""Period in which what holds is told again to a few hosts: datagrams are lost, and some hosts have
just started."""
RETOLD = 3
"""Hosts of the region that are told again each time."""
RETELLERS = 8
"""Hosts of a region, about, that tell again in each period, whatever its size."""
ENDED_S = 10.0
"""How long the end of a limit is told again: a host that missed it learns of it with its own next
answer of the endpoint, and sends it less until then."""
MOST_TOLD = 20
"""Endpoints in one message: some 60 bytes each, within one packet of 1,500 bytes."""
MOST_AGE_MS = (1 << 31) - 1
"""What the field holds."""
UNLIMITED = -1


class StatementExchange:
    """Takes over what endpoints say of themselves, and tells and hears of it."""

    def __init__(self, members: Members, directory: Directory, figures: Figures) -> None:
        self._members = members
        self._directory = directory
        self._figures = figures
        self._fresh: dict[str, None] = {}
        """Lives of endpoints of which news is to be told, in the order in which it came."""
        self._told_at = float("-inf")
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        """Sends a datagram to a host."""

    async def run(self) -> None:
        """Tell what holds again, for ever."""
        while True:
            await asyncio.sleep(RETELL_S)
            self._retell(read_clock())

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
            self._tell_news(life, news, now, request_id=request_id)
            self._tell_soon(life, now)

    def hear(self, report: StatementReport, now: float) -> None:
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

    def _tell_soon(self, life: str, now: float) -> None:
        if not self._fresh:
            delay_s = max(TELL_AFTER_S, self._told_at + TELL_EVERY_S - now)
            asyncio.get_running_loop().call_later(delay_s, self._tell_fresh)
        self._fresh[life] = None

    def _tell_fresh(self) -> None:
        self._told_at = now = read_clock()
        fresh = [(life, self._directory.statements.get(life)) for life in self._fresh]
        self._fresh.clear()
        self._send(self._members.list_region(), fresh, now)

    def _retell(self, now: float) -> None:
        near = self._members.list_region()
        if random.random() >= RETELLERS / (len(near) + 1):
            return
        standing = self._directory.list_statements(now - ENDED_S)
        told = random.sample(standing, min(MOST_TOLD, len(standing)))
        self._send(random.sample(near, min(RETOLD, len(near))), told, now)

    def _send(
        self, names: Iterable[str], statements: list[tuple[str, Statement]], now: float
    ) -> None:
        own = self._members.own.name
        for first in range(0, len(statements), MOST_TOLD):
            part = statements[first : first + MOST_TOLD]
            told = tuple(_encode_statement(life, statement, now) for life, statement in part)
            data = CODEC.encode(StatementReport(own, told))
            for name in names:
                self.send(name, data)


def _encode_statement(life: str, statement: Statement, now: float) -> EndpointStatement:
    limit = statement.limit_per_s
    milli = UNLIMITED if limit is None else int(limit * 1000)
    age_ms = int(min(MOST_AGE_MS, (now - statement.limit_at) * 1000))
    return EndpointStatement(life, milli, age_ms, statement.leaving)


def _read_statement(told: EndpointStatement, now: float) -> Statement:
    limit = told.limit_milli / 1000 if told.limit_milli >= 0 else None
    return Statement(limit, now - told.limit_age_ms / 1000, told.leaving)
