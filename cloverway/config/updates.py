"""Where a host's configuration comes from: the platform, and peers that have a later revision.

Its coroutines run in the control loop; each blocking call runs on a thread of its own.
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
    Source,
    StartGate,
    log_result,
)
from cloverway.config.published import Published
from cloverway.config.settings import Settings
from cloverway.errors import CloverwayError
from cloverway.membership.reports import WorkerThreads
from cloverway.sources.port import Changes, Platform

log = logging.getLogger(__name__)

FetchChanges = Callable[[str, str, int], Changes]
"""Asks (host, address) for the changes after a revision; blocks, within a bound."""
Adopt = Callable[[Published], None]

OTHER_READ_S = 30.0
"""How often a host that is not a reader of the platform reads it, in case both readers can't."""
RETRY_S = 0.5


class Offer(NamedTuple):
    """A peer that has a revision this host may lack."""

    host: str
    address: str
    revision: int


class Updates:
    """Owns the store of configuration, and keeps it up to date."""

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
        self._gate = StartGate(clock())
        self._platform_workers = WorkerThreads("platform", 1)
        self._fetch_workers = WorkerThreads("fetch", 1)
        self._fetching = False
        self._fetch_after = 0.0
        self._fault = ""
        self.settled = False
        """Whether this host serves: it has asked the platform and its siblings."""

    def start(self) -> None:
        """Start the threads."""
        self._platform_workers.start()
        self._fetch_workers.start()

    def stop(self) -> None:
        """Let the threads end after their present calls."""
        self._platform_workers.stop()
        self._fetch_workers.stop()

    @property
    def published(self) -> Published | None:
        """The latest configuration that was accepted; in force once this host is settled."""
        return self._store.published

    @property
    def served_revision(self) -> int:
        """The revision to tell peers."""
        return self._store.served_revision

    @property
    def platform_stale(self) -> bool:
        """Whether the platform is behind what is in force."""
        return self._store.platform_stale

    def changes_after(self, revision: int) -> Changes:
        """Give a peer the documents after a revision; any thread may call it."""
        with self._lock:
            return self._store.changes_after(revision)

    def hear_peer(self, host: str, revision: int) -> None:
        """Note a peer that is alive, and the revision that it serves."""
        if not self.settled:
            self._gate.hear_peer(host, revision)

    def decide_start(self, now: float) -> bool:
        """Settle when enough was heard; tell whether that is now."""
        published = self._store.published
        if self.settled or published is None:
            return False
        siblings = published.hosts_of(self._settings.domain)
        expected = [name for name in siblings if name != self._settings.host]
        readiness = self._gate.decide(published.revision, expected, now)
        if not readiness.ready:
            return False
        with self._lock:
            self._store.settle()
        self.settled = True
        log.info("ready", extra={"revision": published.revision, "why": readiness.why})
        return True

    def wants(self, offer: Offer, now: float) -> bool:
        """Tell whether a peer is to be asked for its changes now: one at a time."""
        if self._fetching or now < self._fetch_after:
            return False
        return self._store.ask_peer_after(offer.revision) is not None

    async def fetch(self, offer: Offer, adopt: Adopt) -> None:
        """Ask a peer for what this host lacks."""
        after = self._store.ask_peer_after(offer.revision)
        if after is None or self._fetching:
            return
        self._fetching = True
        call = self._fetch_workers.submit(self._fetch_changes, offer.host, offer.address, after)
        try:
            self._offer(await asyncio.wrap_future(call), Source.PEER, adopt)
        except CloverwayError as error:
            log.warning("a peer's configuration can't be read", extra={"why": str(error)})
        except Exception:
            log.exception("a peer's configuration can't be read")
        finally:
            self._fetching = False
            self._fetch_after = self._clock() + RETRY_S

    async def watch_platform(self, is_reader: Callable[[float], bool], adopt: Adopt) -> None:
        """Read the platform's changes, on few hosts of a failure domain; never ends."""
        read_at = float("-inf")
        while True:
            now = self._clock()
            if self.settled and not is_reader(now) and now - read_at < OTHER_READ_S:
                await asyncio.sleep(RETRY_S)
                continue
            read_at = now
            if not await self._read_platform(adopt):
                await asyncio.sleep(RETRY_S)

    async def _read_platform(self, adopt: Adopt) -> bool:
        call = self._platform_workers.submit(
            self._platform.read, self._store.read_after, self._settings.platform.wait_s
        )
        try:
            changes = await asyncio.wrap_future(call)
            self._gate.hear_platform(changes.revision)
            self._offer(changes, Source.PLATFORM, adopt)
        except CloverwayError as error:
            if str(error) != self._fault:
                log.warning("the platform can't be read", extra={"why": str(error)})
            self._fault = str(error)
            return False
        except Exception:
            log.exception("the platform can't be read")
            return False
        self._fault = ""
        return True

    def _offer(self, changes: Changes, source: Source, adopt: Adopt) -> None:
        with self._lock:
            result = self._store.offer(changes, source, self._clock())
        log_result(result, source)
        if isinstance(result, Accepted):
            adopt(result.published)
