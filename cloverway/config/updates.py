"""Keep a host's configuration up to date, from the platform and from peers.

The coroutines run in the control loop; blocking calls run on worker threads.
"""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable
from typing import NamedTuple

from cloverway.config.configuration import (
    Accepted,
    ConfigurationStore,
    ReadinessGate,
    Source,
    log_result,
)
from cloverway.config.published import Published
from cloverway.config.settings import Settings
from cloverway.errors import CloverwayError
from cloverway.membership.reports import WorkerThreads
from cloverway.sources.port import Changes, Platform

log = logging.getLogger(__name__)

FetchChanges = Callable[[str, str, int], Changes]
"""Fetches the changes after a revision from a peer (host, address); blocks until a timeout."""
OnAccepted = Callable[[Published], None]

NON_READER_INTERVAL_S = 30.0
"""How often a host that is not a reader reads the platform, in case the readers can't."""
RETRY_DELAY_S = 0.5


class PeerRevision(NamedTuple):
    """A peer with a revision that this host may lack."""

    host: str
    address: str
    revision: int


class ConfigurationUpdater:
    """Owns the configuration store and keeps it up to date."""

    def __init__(
        self,
        settings: Settings,
        store: ConfigurationStore,
        platform: Platform,
        fetch_changes: FetchChanges,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._lock = threading.Lock()
        self._platform = platform
        self._fetch_changes = fetch_changes
        self._clock = clock
        self._gate = ReadinessGate(clock())
        self._platform_workers = WorkerThreads("platform", 1)
        self._fetch_workers = WorkerThreads("fetch", 1)
        self._is_fetching = False
        self._next_fetch_at = 0.0
        self._last_error = ""
        self.is_serving = False
        """Whether this host serves, since the platform and the peers responded or timed out."""

    def start(self) -> None:
        """Start the worker threads."""
        self._platform_workers.start()
        self._fetch_workers.start()

    def stop(self) -> None:
        """Stop the worker threads after their current calls."""
        self._platform_workers.stop()
        self._fetch_workers.stop()

    @property
    def published(self) -> Published | None:
        """The latest accepted configuration; used once this host serves."""
        return self._store.published

    @property
    def served_revision(self) -> int:
        """The revision announced to peers."""
        return self._store.served_revision

    @property
    def platform_stale(self) -> bool:
        """Whether the platform is behind the configuration in force, or conflicts with it."""
        return self._store.platform_stale

    def get_changes_after(self, revision: int) -> Changes:
        """Return the documents after a revision for a peer; thread-safe."""
        with self._lock:
            return self._store.get_changes_after(revision)

    def record_peer(self, host: str, revision: int) -> None:
        """Record that a peer is alive, and the revision that it announced."""
        if not self.is_serving:
            self._gate.record_peer(host, revision)

    def try_start_serving(self, now: float) -> bool:
        """Start to serve once the host is ready; return whether it started in this call."""
        published = self._store.published
        if self.is_serving or published is None:
            return False
        siblings = published.hosts_of(self._settings.domain)
        expected = [name for name in siblings if name != self._settings.host]
        readiness = self._gate.check(published.revision, expected, now)
        if not readiness.ready:
            return False
        with self._lock:
            self._store.start_serving()
        self.is_serving = True
        log.info("ready", extra={"revision": published.revision, "why": readiness.reason})
        return True

    def should_fetch(self, peer: PeerRevision, now: float) -> bool:
        """Return whether to fetch a peer's changes now; there is one fetch at a time."""
        if self._is_fetching or now < self._next_fetch_at:
            return False
        return self._store.get_fetch_after(peer.revision) is not None

    async def fetch(self, peer: PeerRevision, on_accepted: OnAccepted) -> None:
        """Fetch the changes that this host lacks from a peer."""
        after = self._store.get_fetch_after(peer.revision)
        if after is None or self._is_fetching:
            return
        self._is_fetching = True
        call = self._fetch_workers.submit(self._fetch_changes, peer.host, peer.address, after)
        try:
            self._apply(await asyncio.wrap_future(call), Source.PEER, on_accepted)
        except CloverwayError as error:
            log.warning("a peer's configuration can't be read", extra={"why": str(error)})
        except Exception:
            log.exception("a peer's configuration can't be read")
        finally:
            self._is_fetching = False
            self._next_fetch_at = self._clock() + RETRY_DELAY_S

    async def watch_platform(
        self, is_reader: Callable[[float], bool], on_accepted: OnAccepted
    ) -> None:
        """Read the platform's changes until cancelled; hosts that aren't readers read rarely."""
        last_read_at = float("-inf")
        while True:
            now = self._clock()
            if (
                self.is_serving
                and not is_reader(now)
                and now - last_read_at < NON_READER_INTERVAL_S
            ):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            last_read_at = now
            if not await self._read_platform(on_accepted):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_platform(self, on_accepted: OnAccepted) -> bool:
        call = self._platform_workers.submit(
            self._platform.read, self._store.read_after, self._settings.platform.wait_s
        )
        try:
            changes = await asyncio.wrap_future(call)
            self._gate.record_platform(changes.revision)
            self._apply(changes, Source.PLATFORM, on_accepted)
        except CloverwayError as error:
            if str(error) != self._last_error:
                log.warning("the platform can't be read", extra={"why": str(error)})
            self._last_error = str(error)
            return False
        except Exception:
            log.exception("the platform can't be read")
            return False
        self._last_error = ""
        return True

    def _apply(self, changes: Changes, source: Source, on_accepted: OnAccepted) -> None:
        with self._lock:
            result = self._store.apply(changes, source, self._clock())
        log_result(result, source)
        if isinstance(result, Accepted):
            on_accepted(result.published)
