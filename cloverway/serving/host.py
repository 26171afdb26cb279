"""One host of the fleet: its tasks on one event loop, started, drained and stopped together."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import secrets
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from cloverway import __version__
from cloverway.addresses import split_address
from cloverway.core.deployment import CallerLimits
from cloverway.core.endpoints import Change, Directory
from cloverway.core.lookup import choose_hosts_for_caller, choose_lookup_ttl
from cloverway.core.members import Member, Members
from cloverway.errors import ConfigurationError, Kind, RequestError
from cloverway.serving.clock import compute_tick_delay, read_clock, wait_for_tick
from cloverway.serving.context import PEER_SYNC_WAIT_S, Context
from cloverway.serving.documents.catalogue import Catalogue
from cloverway.serving.documents.configuration_sync import (
    ConfigurationSync,
    export_configuration,
)
from cloverway.serving.documents.sync import DocumentSync, export_snapshot
from cloverway.serving.early_sockets import EarlySockets
from cloverway.serving.hosts.cold_check import ColdCheck
from cloverway.serving.hosts.gossip import Gossip
from cloverway.serving.http.server import REASONS, Exchange, Server, ServerOptions
from cloverway.serving.ports import Dialect, Store
from cloverway.serving.requests.forwarding import Forwarder
from cloverway.serving.settings import FleetSettings
from cloverway.serving.telemetry import (
    Gauges,
    LogLineHandler,
    Metrics,
    configure_logging,
    log_event,
)

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.4
SETTINGS_POLL_INTERVAL_S = 1.0
"""Interval at which the settings file is read, since it may change without a signal."""
LEAVE_NOTICE_S = 2.8
"""How long a leaving host still accepts requests: callers cache lookups for two seconds, and other
hosts are notified at once."""
MIN_LEAVE_S = 2.8
"""Minimum time that a leaving host keeps running, for callers with a cached lookup. It doesn't keep
running longer than needed: in a rolling restart the next host would leave before this one is back,
and a small region would be without a host."""
KILL_MARGIN_S = 0.8
"""A leaving host stops this long before it would be killed."""
METRICS_PATH = "/metrics"
TEXT = (b"Content-Type", b"text/plain; version=0.0.4")
JSON = (b"Content-Type", b"application/json")

CLOCK_MARGIN_S = 0.01
"""Margin for timers, which may fire early by a millisecond."""

NO_EARLY_SOCKETS = EarlySockets()

StoreFactory = Callable[[FleetSettings], Store]


class Host:
    """The tasks and servers of one host."""

    def __init__(
        self, settings: FleetSettings, store: Store, dialect: Dialect, log_handler: LogLineHandler
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.log_handler = log_handler
        self.metrics = Metrics()
        self.directory = Directory(settings.topology)
        self.started_at = read_clock()
        self.members = Members(
            _describe_own(settings),
            started_at=self.started_at,
            seeds=settings.peers.seeds,
        )
        self.context = Context(settings, self.directory, self.members, dialect, self.metrics)
        self.forwarder = Forwarder(self.context)
        self.catalogue = Catalogue(
            self.directory,
            store,
            dialect,
            self.members,
            self.metrics,
            reads_per_s=settings.store.reads_per_s,
        )
        self.catalogue.on_change = self._record_changes
        self.sync = DocumentSync(self.members, self.catalogue, self.context.pool)
        self.configuration_sync = ConfigurationSync(self.members, self.catalogue, self.context.pool)
        self.gossip = Gossip(
            self.members,
            self.directory,
            self.catalogue,
            self.sync,
            self.metrics,
            broadcaster=self.context.broadcaster,
            stream_origins=self.context.stream_origins,
            seeds=settings.peers.seeds,
        )
        self.cold_check = ColdCheck(
            self.catalogue, self.context.pool, dialect, self.metrics, region=settings.region
        )
        self.catalogue.on_documents_changed = self.gossip.announce_documents
        self.gossip.get_queued_work_s = self.context.target_selector.sum_queued_work
        self.gossip.on_first_contact = self._record_synced
        self.context.incarnations.on_restarted = self.catalogue.record_restart
        self.context.target_selector.on_large_prompt = self.gossip.endpoint_loads.broadcast_at_once
        self.leaving_at: float | None = None
        options = ServerOptions(self._get_limits, self._is_leaving, self._format_refusal)
        self.caller_server = Server(self._handle_call, options)
        self.peer_server = Server(self._handle_forwarded, options)
        short_lived = options._replace(is_short_lived=True)
        self.lookup_server = Server(self._handle_lookup, short_lived)
        self.readiness_server = Server(self._handle_readiness, short_lived)
        self.metrics_server = Server(self._handle_metrics, short_lived)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, early: EarlySockets = NO_EARLY_SOCKETS) -> None:
        """Bind all addresses and start all tasks; raise OSError when one can't be bound.

        `early` holds sockets that were opened before the host was loaded.
        """
        listen = self.settings.listen
        await self.gossip.start(listen.control, early.control)
        await self.peer_server.start(self.members.own.forwarding_address)
        await self.readiness_server.start(listen.readiness)
        await self.lookup_server.start(listen.lookup)
        await self.caller_server.start(listen.callers, early.callers)
        ip, _ = split_address(listen.callers)
        await self.metrics_server.start(f"{ip}:{listen.metrics_port}")
        runs = (
            self.gossip.run,
            self.gossip.endpoint_loads.run,
            self.context.broadcaster.run,
            self.context.stream_origins.run,
            self.sync.run,
            self.configuration_sync.run,
            self.catalogue.run,
            self.catalogue.forget_missing,
            self.cold_check.run,
            self._close_expired_connections,
        )
        self._tasks = [asyncio.create_task(_run_with_restarts(run)) for run in runs]
        asyncio.get_running_loop().call_later(PEER_SYNC_WAIT_S + CLOCK_MARGIN_S, self._update_ready)

    async def leave(self) -> None:
        """Announce that this host leaves, and wait for the requests in progress."""
        now = read_clock()
        self.leaving_at = now
        self.members.begin_leaving(now)
        self.gossip.announce()
        log_event(
            "leaving", in_progress=self.caller_server.in_progress + self.peer_server.in_progress
        )
        end_at = now + self.settings.grace_s - KILL_MARGIN_S
        while (now := read_clock()) < end_at:
            if now >= self.leaving_at + LEAVE_NOTICE_S:
                self.caller_server.close_idle(now)
            busy = self.caller_server.in_progress + self.peer_server.in_progress
            if not busy and now >= self.leaving_at + MIN_LEAVE_S:
                break
            await asyncio.sleep(0.05)
        cut = self.caller_server.in_progress + self.peer_server.in_progress
        log_event("stopped", cut=cut, dropped_lines=self.log_handler.dropped)

    def _is_leaving(self) -> bool:
        return self.leaving_at is not None

    def _get_limits(self) -> CallerLimits:
        configuration = self.directory.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    def _record_changes(self, changes: list[Change]) -> None:
        if self.directory.configuration is not None:
            self.context.record_configured()
        self._update_ready()

    def _record_synced(self) -> None:
        self.context.record_synced()
        self._update_ready()

    def _update_ready(self) -> None:
        own = self.members.own
        has_synced = self.context.is_synced(read_clock())
        has_routes = self.directory.configuration is not None
        ready = has_routes and has_synced and not own.leaving
        if ready != own.ready:
            self.members.own = own._replace(ready=ready)
            log_event("ready" if ready else "not_ready")
            self.gossip.announce()

    async def _close_expired_connections(self) -> None:
        while True:
            await wait_for_tick(TICK_INTERVAL_S)
            self.context.pool.close_expired(read_clock())

    async def _handle_call(self, exchange: Exchange) -> None:
        leaving_at = self.leaving_at
        if leaving_at is not None and read_clock() >= leaving_at + LEAVE_NOTICE_S:
            error = RequestError(Kind.LEAVING, retry_after=0.05)
            status, headers, body = self.dialect.encode_refusal(error, "")
            log_event("refused", kind=str(error.kind), ran="no", status=status, why="leaving")
            await exchange.answer(status, headers, body)
            return
        self.members.record_arrival(read_clock())
        await self.forwarder.handle(exchange)

    async def _handle_forwarded(self, exchange: Exchange) -> None:
        table, target = self.catalogue.table, exchange.target
        documents = export_snapshot(table, target) or export_configuration(table, target)
        if documents is not None:
            await exchange.answer(200, [], documents)
            return
        await self.forwarder.handle_forwarded(exchange)

    async def _handle_lookup(self, exchange: Exchange) -> None:
        lookup = self.dialect.decode_lookup(exchange)
        if lookup is None:
            await exchange.answer(404, [], b"")
            return
        age_s = read_clock() - self.started_at
        ttl_s = choose_lookup_ttl(
            self.settings.lookup_ttl_s, age_s if self._has_seeds() else math.inf
        )
        if ttl_s is None:
            log_event("lookup_refused", domain=lookup.domain, age_s=round(age_s, 3))
            await exchange.answer(503, [], b"")
            return
        homes = self.directory.routes.count_home_regions(lookup.host)
        addresses = choose_hosts_for_caller(
            self.members, lookup.domain, lookup.region, homes, read_clock()
        )
        log_event(
            "hosts_named",
            service_host=lookup.host,
            domain=lookup.domain,
            homes=dict(homes),
            addresses=addresses,
        )
        body = self.dialect.encode_lookup(addresses, ttl_s)
        await exchange.answer(200, [JSON], body)

    def _has_seeds(self) -> bool:
        return any(seed != self.members.own.name for seed in self.settings.peers.seeds)

    async def _handle_readiness(self, exchange: Exchange) -> None:
        if not self.dialect.is_readiness(exchange):
            await exchange.answer(404, [], b"")
            return
        await exchange.answer(200 if self.members.own.ready else 503, [], b"")

    async def _handle_metrics(self, exchange: Exchange) -> None:
        if exchange.target != METRICS_PATH:
            await exchange.answer(404, [], b"")
            return
        now = read_clock()
        gauges = Gauges(
            self.log_handler.dropped,
            self.context.quarantine.count_blocked(now),
            self.context.bad_parts.suspects.count_blocked(now),
            self.directory.count_limited(),
        )
        await exchange.answer(200, [TEXT], self.metrics.render(gauges))

    def _format_refusal(self, exchange: Exchange | None, error: RequestError) -> bytes:
        """Return the complete response to a request that could not be parsed."""
        status, headers, body = self.dialect.encode_refusal(error, "")
        log_event(
            "refused", kind=str(error.kind), ran=str(error.ran), status=status, why=error.detail
        )
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b""))]
        lines += [name + b": " + value for name, value in headers]
        lines += [b"Content-Length: %d" % len(body), b"Connection: close", b"", body]
        return b"\r\n".join(lines)


async def _run_with_restarts(run: Callable[[], Awaitable[None]]) -> None:
    """Run a task forever, and restart it after an unexpected exception.

    If the task that sends heartbeats or reads the store stopped, the host would continue with an
    outdated state, without a visible sign for callers.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("a task failed and is restarted")
            await asyncio.sleep(TICK_INTERVAL_S)


def _describe_own(settings: FleetSettings) -> Member:
    ip, _ = split_address(settings.listen.control)
    peer_address = f"{ip}:{settings.listen.inner_ports[0]}"
    # The wall clock only has to increase between two starts at the same address.
    incarnation = time.time_ns() // 1000
    return Member(
        name=settings.listen.control,
        incarnation=incarnation,
        domain=settings.domain,
        region=settings.region,
        caller_address=settings.listen.callers,
        forwarding_address=peer_address,
        capacity=settings.machine.estimate_capacity(),
    )


async def _run(path: Path, settings: FleetSettings, host: Host, early: EarlySockets) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await host.start(early)
    log_event("started", version=__version__, callers=settings.listen.callers)
    watcher = asyncio.create_task(_watch_settings(path, settings, host, reload))
    await stop.wait()
    await host.leave()
    watcher.cancel()


async def _watch_settings(
    path: Path, settings: FleetSettings, host: Host, reload: asyncio.Event
) -> None:
    """Apply changed settings, on SIGHUP or when the file has changed."""
    seen = path.read_bytes()
    while True:
        try:
            async with asyncio.timeout(compute_tick_delay(SETTINGS_POLL_INTERVAL_S)):
                await reload.wait()
        except TimeoutError:
            pass
        is_requested = reload.is_set()
        reload.clear()
        try:
            content = path.read_bytes()
            if content == seen and not is_requested:
                continue
            seen = content
            settings = FleetSettings.from_toml(path)
        except (OSError, ConfigurationError) as error:
            log_event("settings_refused", logging.ERROR, why=str(error))
            continue
        host.gossip.seeds = settings.peers.seeds
        host.members.known_hosts.set_seeds(settings.peers.seeds)
        log_event("settings_reloaded", seeds=settings.peers.seeds)


def run_host(
    path: Path, make_store: StoreFactory, dialect: Dialect, early: EarlySockets = NO_EARLY_SOCKETS
) -> None:
    """Run one host until SIGTERM or SIGINT; raise ConfigurationError.

    `early` holds sockets that were opened before the host was loaded.
    """
    settings = FleetSettings.from_toml(path)
    incarnation = secrets.token_hex(4)
    log_handler = configure_logging(settings.host, incarnation, settings.log_level)
    # Imported modules are never freed, so the garbage collector needn't scan them again.
    gc.collect()
    gc.freeze()

    async def run() -> None:
        host = Host(settings, make_store(settings), dialect, log_handler)
        await _run(path, settings, host, early)

    asyncio.run(run())
