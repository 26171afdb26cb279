"""State shared by all requests of a host: directory, members, connections, budgets and metrics."""

from __future__ import annotations

import asyncio
import contextlib

from cloverway.core.deployment import Configuration
from cloverway.core.endpoints import Directory
from cloverway.core.failures import FailureBaseline
from cloverway.core.known_hosts import compute_part
from cloverway.core.members import Members
from cloverway.core.quarantine import Quarantine
from cloverway.core.retry_budget import RetryBudget
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.bad_parts import PartExchange
from cloverway.serving.hosts.broadcast import UpdateBroadcaster
from cloverway.serving.hosts.crashes import CrashExchange
from cloverway.serving.hosts.statements import StatementExchange
from cloverway.serving.hosts.stream_origins import StreamOriginExchange
from cloverway.serving.hosts.suspects import SuspectTracker
from cloverway.serving.http.client import ConnectionPool
from cloverway.serving.ports import Dialect
from cloverway.serving.requests.incarnations import IncarnationCheck
from cloverway.serving.requests.target_selector import TargetSelector
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import Metrics

CONFIGURATION_WAIT_S = 0.6
"""Age of a host up to which requests wait for its first configuration: the store answers a host in
a remote region within 0.35 s. A refused caller would come back later and have one attempt less."""
PEER_SYNC_WAIT_S = 0.1
"""Age of a host up to which requests wait until another host has sent its state. The state was
requested before this host was loaded, so that even a remote host has answered by now. Without it a
host that has just started would run a request that all others refuse. If no other host answers, it
serves anyway: when all hosts start at once, none has a state to send."""


RETRY_SLACK_TTL_S = 0.2
"""How long this host's part of the slack is cached: it is needed for each request."""


class Context:
    """The parts of a host that are used to handle a request."""

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
        self.pool = ConnectionPool(metrics.record_connect)
        self.failure_baseline = FailureBaseline()
        self.quarantine = Quarantine(settings.quarantine)
        own_name = members.own.name
        self.crashes = CrashExchange(members, self.quarantine, metrics)
        self.statements = StatementExchange(own_name, directory, metrics)
        self.bad_parts = PartExchange(members, settings.quarantine.hold_s, metrics)
        suspects = SuspectTracker(own_name, self.quarantine, self.bad_parts.suspects)
        self.target_selector = TargetSelector(settings, directory, members, suspects)
        sources = (self.crashes, self.bad_parts, self.statements, suspects)
        self.broadcaster = UpdateBroadcaster(members, sources)
        self.incarnations = IncarnationCheck(
            self.quarantine, self.bad_parts.suspects, self.pool, dialect, metrics
        )
        self.stream_origins = StreamOriginExchange(members, directory, metrics)
        self._budgets: dict[str, RetryBudget] = {}
        self._slack = 0.0
        self._slack_at = float("-inf")
        self._started_at = read_clock()
        self._configured = asyncio.Event()
        self._synced = asyncio.Event()
        self._has_seeds = any(seed != own_name for seed in settings.peers.seeds)

    def get_budget(self, service: str) -> RetryBudget:
        """Return this host's part of the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.settings.retries, self.members.started_at)
            self._budgets[service] = budget
        return budget

    def get_retry_slack(self, now: float) -> float:
        """Return this host's part of the slack of a retry budget, in retries in a window."""
        if now - self._slack_at >= RETRY_SLACK_TTL_S:
            self._slack_at = now
            self._slack = self._compute_retry_slack(now)
        return self._slack

    def _compute_retry_slack(self, now: float) -> float:
        known_hosts, retries = self.members.known_hosts, self.settings.retries
        if not known_hosts.may_share_domain(now):
            return 0.0
        return compute_part(retries.slack, len(self.settings.regions), known_hosts.count_domain())

    def record_configured(self) -> None:
        """Record that a configuration is in force."""
        self._configured.set()

    def record_synced(self) -> None:
        """Record that another host has sent its state."""
        self._synced.set()

    def is_synced(self, now: float) -> bool:
        """Return whether the host has the state of another one or no longer waits for it."""
        is_old = now >= self._started_at + PEER_SYNC_WAIT_S
        return self._synced.is_set() or is_old or not self._has_seeds

    async def wait_for_start(self) -> None:
        """Wait for the first configuration and the state of another host, up to their timeouts."""
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
        """Return the configuration in force; call this only after a route was found in it."""
        configuration = self.directory.configuration
        assert configuration is not None
        return configuration
