"""What all requests of one host share: beliefs, places, connections, budgets and figures."""

from __future__ import annotations

import asyncio
import contextlib

from cloverway.core.budget import RetryBudget
from cloverway.core.deployment import Configuration
from cloverway.core.endpoints import Directory
from cloverway.core.failures import UsualFailures
from cloverway.core.members import Members
from cloverway.core.quarantine import Quarantine
from cloverway.serving.client import Pool
from cloverway.serving.clock import read_clock
from cloverway.serving.crashes import CrashExchange
from cloverway.serving.lives import LifeCheck
from cloverway.serving.news import NewsExchange
from cloverway.serving.ports import Dialect
from cloverway.serving.settings import FleetSettings
from cloverway.serving.statements import StatementExchange
from cloverway.serving.targeting import Targeting
from cloverway.serving.telemetry import Figures

START_WAIT_S = 0.6
"""Age of a host up to which it lets requests wait for its first configuration: the store answers a
host that is far within 0.35 s. A caller that is refused comes back later, and has one try less."""


class Context:
    """The parts of a host that the course of a request works with."""

    def __init__(
        self,
        settings: FleetSettings,
        directory: Directory,
        members: Members,
        dialect: Dialect,
        figures: Figures,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.members = members
        self.dialect = dialect
        self.figures = figures
        self.pool = Pool(figures.note_connect)
        self.targeting = Targeting(settings, directory, members)
        self.usual_failures = UsualFailures()
        self.quarantine = Quarantine(settings.quarantine)
        own_name = members.own.name
        self.crashes = CrashExchange(own_name, self.quarantine, figures)
        self.statements = StatementExchange(own_name, directory, figures)
        self.news = NewsExchange(members, (self.crashes, self.statements))
        self.lives = LifeCheck(self.quarantine, self.pool, dialect, figures)
        self._budgets: dict[str, RetryBudget] = {}
        self._started_at = read_clock()
        self._configured = asyncio.Event()

    def get_budget(self, service: str) -> RetryBudget:
        """Give this host's share of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.settings.retries)
        return budget

    def note_configured(self) -> None:
        """Note that a configuration is in force."""
        self._configured.set()

    async def wait_for_configuration(self) -> None:
        """Wait for the first configuration, for as long as one can be expected."""
        left_s = self._started_at + START_WAIT_S - read_clock()
        if left_s > 0 and not self._configured.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._configured.wait()

    def get_configuration(self) -> Configuration:
        """Give the configuration in force; a route was found in it."""
        configuration = self.directory.configuration
        assert configuration is not None
        return configuration
