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
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.crashes import CrashExchange
from cloverway.serving.hosts.news import NewsExchange
from cloverway.serving.hosts.statements import StatementExchange
from cloverway.serving.hosts.suspects import SuspectWatch
from cloverway.serving.http.client import Pool
from cloverway.serving.ports import Dialect
from cloverway.serving.requests.incarnations import IncarnationCheck
from cloverway.serving.requests.target_selector import TargetSelector
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import Metrics

CONFIGURATION_WAIT_S = 0.6
"""Age of a host up to which it lets requests wait for its first configuration: the store answers a
host that is far within 0.35 s. A caller that is refused comes back later, and has one try less."""
PEER_SYNC_WAIT_S = 0.1
"""Age of a host up to which it lets requests wait until another host has told it what it knows. It
has knocked at the others before it was loaded, so that even a far one has answered by now. What
has just started would otherwise send a request on that all others refuse. With nobody there it
serves all the same: when all hosts start at once, nobody knows anything."""


class Context:
    """The parts of a host that the course of a request works with."""

    def __init__(
        self,
        settings: FleetSettings,
        directory: Directory,
        members: Members,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.members = members
        self.dialect = dialect
        self.metrics = metrics
        self.pool = Pool(metrics.note_connect)
        self.usual_failures = UsualFailures()
        self.quarantine = Quarantine(settings.quarantine)
        own_name = members.own.name
        self.crashes = CrashExchange(own_name, self.quarantine, metrics)
        self.statements = StatementExchange(own_name, directory, metrics)
        suspects = SuspectWatch(own_name, self.quarantine)
        self.target_selector = TargetSelector(settings, directory, members, suspects)
        self.news = NewsExchange(members, (self.crashes, self.statements, suspects))
        self.incarnations = IncarnationCheck(self.quarantine, self.pool, dialect, metrics)
        self._budgets: dict[str, RetryBudget] = {}
        self._started_at = read_clock()
        self._configured = asyncio.Event()
        self._synced = asyncio.Event()
        self._has_seeds = any(seed != own_name for seed in settings.peers.seeds)

    def get_budget(self, service: str) -> RetryBudget:
        """Give this host's share of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self.settings.retries)
        return budget

    def note_configured(self) -> None:
        """Note that a configuration is in force."""
        self._configured.set()

    def note_synced(self) -> None:
        """Note that another host has told this one what it knows."""
        self._synced.set()

    def is_synced(self, now: float) -> bool:
        """Tell whether the host knows what the others know, as far as there are any."""
        is_old = now >= self._started_at + PEER_SYNC_WAIT_S
        return self._synced.is_set() or is_old or not self._has_seeds

    async def wait_for_start(self) -> None:
        """Wait for the first configuration and for the word of another host, each for its time."""
        await self._wait(self._configured, CONFIGURATION_WAIT_S)
        if self._has_seeds:
            await self._wait(self._synced, PEER_SYNC_WAIT_S)

    async def _wait(self, event: asyncio.Event, until_age_s: float) -> None:
        left_s = self._started_at + until_age_s - read_clock()
        if left_s > 0 and not event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await event.wait()

    def get_configuration(self) -> Configuration:
        """Give the configuration in force; a route was found in it."""
        configuration = self.directory.configuration
        assert configuration is not None
        return configuration
