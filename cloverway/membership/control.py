"""The control loop: one thread that gathers the state of the system and publishes the view.

It receives datagrams from other hosts, reads the load reports of endpoints and polls the platform.
The decisions are in `gossip`, `membership`, `endpoint_table` and `summaries`. This module owns the
socket and the timers, and makes blocking calls on separate threads so that none blocks the loop.
A sibling is another host of the same failure domain.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from cloverway.config.configuration import ConfigurationStore, choose_readers
from cloverway.config.published import Published
from cloverway.config.settings import Settings
from cloverway.config.updates import ConfigurationUpdater, FetchChanges, PeerRevision
from cloverway.dispatch.ends import CrashTracker
from cloverway.errors import CloverwayError, PeerError
from cloverway.membership.datagram_auth import DatagramAuthenticator
from cloverway.membership.datagrams import DatagramSocket
from cloverway.membership.gossip import Gossip, LocalState, Received
from cloverway.membership.heartbeats import parse_incarnation
from cloverway.membership.reports import EndpointReader, ReadSchedule, WorkerThreads
from cloverway.membership.view import EndpointState, View, ViewHolder
from cloverway.sources.file import FilePlatform
from cloverway.sources.http import HttpPlatform
from cloverway.sources.port import Changes, MemberState, MemberStates, Platform

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
PAUSE_THRESHOLD_S = 0.75
"""The process counts as paused when the loop has not run for this long, whether it was stopped or
got no processor time."""
VIEW_INTERVAL_S = 0.25
"""Interval between two views when there is no urgent change."""
MIN_BROADCAST_INTERVAL_S = 0.05
"""Minimum time between two broadcasts to all siblings."""
REPORT_TIMEOUT_S = 5.0
"""A read of a load report that takes longer is aborted."""
READER_THREADS = 8
STARTUP_REPORTS_TIMEOUT_S = 1.5
"""How long a starting host waits for the first load report of each of its endpoints."""
NEVER = float("-inf")


class ControlLoop:
    """Owns the UDP socket, the configuration updates and the state of hosts and endpoints."""

    def __init__(
        self,
        settings: Settings,
        holder: ViewHolder,
        platform: Platform,
        *,
        store: ConfigurationStore,
        authenticator: DatagramAuthenticator,
        fetch_changes: FetchChanges,
        load: Callable[[], float],
        crash_tracker: CrashTracker,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._platform = platform
        self._load = load
        self._clock = clock
        self._random = random.Random(secrets.randbits(64))
        self.gossip = Gossip(
            settings.host,
            settings.domain,
            incarnation=parse_incarnation(holder.current.incarnation),
            timing=settings.timing,
            authenticator=authenticator,
            random=self._random,
            crash_tracker=crash_tracker,
        )
        self._updates = ConfigurationUpdater(settings, store, platform, fetch_changes, clock)
        self._leaving = False
        self._serving = False
        self._serve_deadline: float | None = None
        self._last_run_at = clock()
        self._broadcast_due = False
        self._broadcast_at = float("-inf")
        self._view_due_at = 0.0
        self._remote_due_at = 0.0
        self._remote_state: tuple[dict[str, Any], dict[Any, Any]] = ({}, {})
        self._counts = {"refused": 0, "pauses": 0, "reports": 0, "report_failures": 0}
        self._readers: dict[str, EndpointReader] = {}
        self._read_schedule = ReadSchedule(self._random.random)
        self._report_workers = WorkerThreads("reports", READER_THREADS)
        self._list_workers = WorkerThreads("list", 1)
        self._datagram_socket = DatagramSocket(settings.listen.peers)
        self._stopping = asyncio.Event()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        holder: ViewHolder,
        *,
        store: ConfigurationStore,
        fetch_changes: FetchChanges,
        load: Callable[[], float] = lambda: 0.0,
        secret: bytes | None = None,
        platform: Platform | None = None,
        crash_tracker: CrashTracker | None = None,
    ) -> ControlLoop:
        """Create a loop for the platform in the settings.

        Raise OSError when the file of the shared secret can't be read.
        """
        adapter = FilePlatform if settings.platform.kind == "file" else HttpPlatform
        if secret is None:
            secret = Path(settings.security.peer_secret_file).read_bytes().strip()
        return cls(
            settings,
            holder,
            platform or adapter.from_settings(settings.platform),
            store=store,
            authenticator=DatagramAuthenticator.from_secret(secret),
            fetch_changes=fetch_changes,
            load=load,
            crash_tracker=crash_tracker or CrashTracker(settings.quarantine),
        )

    def start(self) -> None:
        """Bind the socket and start the threads; raise OSError when it can't be bound."""
        self._datagram_socket.bind()
        # Not before: nothing would close the loop of a daemon that can't bind its addresses.
        self._loop = asyncio.new_event_loop()
        self._report_workers.start()
        self._list_workers.start()
        self._updates.start()
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop the loop; broadcast once more before that when this host is leaving."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopping.set)
            self._thread.join(timeout_s)

    def begin_leaving(self) -> None:
        """Mark this host as leaving in the view, and broadcast it to the siblings at once."""
        self._leaving = True
        self._holder.current = self._holder.current._replace(leaving=True)
        if self._thread.is_alive():
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self._schedule_broadcast)

    def get_changes_after(self, revision: int) -> Changes:
        """Return the documents that changed after a revision; safe to call from any thread."""
        return self._updates.get_changes_after(revision)

    @property
    def address(self) -> str:
        """Address that the UDP socket is bound to."""
        return self._datagram_socket.address

    def status(self) -> dict[str, Any]:
        """Return counters and states for operators; safe to call from any thread."""
        view = self._holder.current
        return {
            "incarnation": view.incarnation,
            "revision": view.published.revision if view.published else 0,
            "settled": self._updates.is_serving,
            "leaving": self._leaving,
            "platform_stale": view.platform_stale,
            "resumed_at": self.gossip.resumed_at,
            **self._counts,
            **self._datagram_socket.counts,
        }

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve())
        except Exception:
            log.exception("the control loop failed")
        finally:
            self._release_resources()

    async def _serve(self) -> None:
        self._loop.add_reader(self._datagram_socket.fileno(), self._receive)
        periods = [
            (self._tick, TICK_INTERVAL_S),
            (self._send_heartbeats, self._settings.timing.heartbeat_s),
            (self._send_summaries, self._settings.timing.summary_s),
        ]
        coroutines = [self._run_periodically(*period) for period in periods]
        coroutines += [
            self._updates.watch_platform(self._is_reader, self._adopt),
            self._poll_member_list(),
        ]
        tasks = [self._loop.create_task(step) for step in coroutines]
        await self._stopping.wait()
        if self._leaving:
            self._datagram_socket.send(self.gossip.make_broadcast(self._clock()))
        tasks.extend(asyncio.all_tasks() - {asyncio.current_task(), *tasks})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _release_resources(self) -> None:
        self._report_workers.stop()
        self._list_workers.stop()
        self._updates.stop()
        for reader in self._readers.values():
            reader.abort()
        self._loop.remove_reader(self._datagram_socket.fileno())
        self._datagram_socket.close()
        self._loop.close()

    async def _run_periodically(self, step: Callable[[float], None], period_s: float) -> None:
        """Call a step once per period; a failure is logged, and the step runs again later."""
        while True:
            try:
                step(self._clock())
            except Exception:
                log.exception("a step of the control loop failed")
            await asyncio.sleep(period_s)

    def _tick(self, now: float) -> None:
        self._detect_pause(now)
        self._read_endpoints(now)
        if self._updates.try_start_serving(now):
            self._schedule_broadcast()
        if self.gossip.crash_tracker.take_urgent():
            self._broadcast_due = True
        if self._broadcast_due and now - self._broadcast_at >= MIN_BROADCAST_INTERVAL_S:
            self._broadcast_due = False
            self._broadcast_at = now
            self._datagram_socket.send(self.gossip.make_broadcast(now))
            self._view_due_at = now
        if now >= self._view_due_at:
            self._publish(now)

    def _send_heartbeats(self, now: float) -> None:
        load = min(1.0, max(0.0, self._load()))
        self.gossip.local_state = LocalState(
            self._leaving, load >= 1.0, load, self._updates.served_revision
        )
        self._datagram_socket.send(self.gossip.make_heartbeats(now))

    def _send_summaries(self, now: float) -> None:
        self._datagram_socket.send(self.gossip.make_summaries(now))

    def _schedule_broadcast(self) -> None:
        self.gossip.local_state = self.gossip.local_state._replace(
            leaving=self._leaving, revision=self._updates.served_revision
        )
        self._broadcast_due = True
        self._view_due_at = 0.0

    def _detect_pause(self, now: float) -> None:
        """Detect that this process did not run, before hosts are judged by their silence.

        After a pause no heartbeat has been processed for the length of the pause. Without this
        check the process would declare all other hosts dead and read all endpoints itself.
        """
        paused_at, self._last_run_at = self._last_run_at, now
        if now - paused_at < PAUSE_THRESHOLD_S:
            return
        self._counts["pauses"] += 1
        log.warning("the control loop did not run", extra={"seconds": round(now - paused_at, 3)})
        self.gossip.resume(paused_at, now)
        # Datagrams in the socket buffer arrived at an unknown time during the pause. They don't
        # prove that their senders are alive now, so they count as sent when the pause began.
        self._receive_pending(paused_at, now)

    def _receive(self) -> None:
        now = self._clock()
        self._detect_pause(now)
        self._receive_pending(now, now)

    def _receive_pending(self, at: float, now: float) -> None:
        for datagram, source in self._datagram_socket.receive():
            try:
                received = self.gossip.receive(datagram, at, now)
            except PeerError as error:
                self._counts["refused"] += 1
                log.debug("rejected a datagram", extra={"why": str(error)})
                continue
            self._handle_received(received, source, now)

    def _handle_received(self, received: Received, source: str, now: float) -> None:
        self._datagram_socket.send(received.replies)
        if received.state_changed:
            self._view_due_at = now
        if received.replaced and not self._leaving:
            log.error("another process has taken this host's name; this host is leaving")
            self.begin_leaving()
        if received.is_fresh:
            self._updates.record_peer(received.host, received.revision)
        published = self._updates.published
        known = published.hosts.get(received.host) if published else None
        peer_revision = PeerRevision(
            received.host, known.peers if known else source, received.revision
        )
        if self._updates.should_fetch(peer_revision, now):
            self._loop.create_task(self._updates.fetch(peer_revision, self._adopt))

    def _adopt(self, published: Published) -> None:
        self.gossip.adopt(published)
        own = published.endpoints_of(self._settings.domain)
        for name in [name for name in self._readers if name not in own]:
            self._readers.pop(name).abort()
        # Broadcast at once, so that the revision reaches all hosts of the domain after one network
        # latency instead of with their next heartbeats.
        self._schedule_broadcast()

    async def _poll_member_list(self) -> None:
        """Poll the platform's list of live and leaving members."""
        while True:
            await asyncio.sleep(self._settings.timing.list_s)
            if not self._is_reader(self._clock()):
                continue
            try:
                call = self._list_workers.submit(self._platform.get_member_states)
                self._apply_member_list(await asyncio.wrap_future(call))
            except CloverwayError as error:
                log.debug("can't read the platform's member list", extra={"why": str(error)})
            except Exception:
                log.exception("can't read the platform's member list")

    def _apply_member_list(self, states: MemberStates) -> None:
        leaving = {name: state is MemberState.LEAVING for name, state in states.endpoints.items()}
        if self.gossip.endpoint_table.apply_member_list(leaving, self._clock()):
            self._broadcast_due = True
        if states.hosts.get(self._settings.host) is MemberState.LEAVING and not self._leaving:
            log.debug("the platform lists this host as leaving")

    def _is_reader(self, now: float) -> bool:
        active = self.gossip.members.list_active(now)
        return self._settings.host in choose_readers(active, self._settings.domain)

    def _read_endpoints(self, now: float) -> None:
        published = self._updates.published
        if published is None:
            return
        names = self.gossip.list_endpoints_to_read(now)
        for name in self._read_schedule.take_due(names, self.gossip.update_read_interval(now), now):
            self._loop.create_task(self._read_endpoint(name, published))
        for name in self._read_schedule.list_overdue(REPORT_TIMEOUT_S, now):
            if name in self._readers:
                self._readers[name].abort()

    async def _read_endpoint(self, name: str, published: Published) -> None:
        endpoint = published.endpoints[name]
        reader = self._readers.get(name)
        if reader is None or reader.endpoint.url != endpoint.url:
            reader = self._readers[name] = EndpointReader(endpoint)
        self._counts["reports"] += 1
        try:
            report = await asyncio.wrap_future(self._report_workers.submit(reader.read))
            if self.gossip.endpoint_table.apply_report(name, report, self._clock()):
                self._broadcast_due = True
        except PeerError as error:
            self._counts["report_failures"] += 1
            log.debug("can't read a load report", extra={"endpoint": name, "why": str(error)})
        except Exception:
            log.exception("reading a load report failed")
        finally:
            self._read_schedule.finish(name)

    def _update_serving(self, endpoints: Iterable[EndpointState], now: float) -> None:
        """Start serving when the configuration is settled and each endpoint has reported.

        A host that started earlier would refuse its first callers for lack of a ready endpoint.
        An endpoint that does not report delays the start by at most STARTUP_REPORTS_TIMEOUT_S.
        """
        if self._serving or not self._updates.is_serving:
            return
        if self._serve_deadline is None:
            self._serve_deadline = now + STARTUP_REPORTS_TIMEOUT_S
        all_reported = all(state.reported_at > NEVER for state in endpoints)
        self._serving = all_reported or now >= self._serve_deadline

    def _update_remote_state(self, now: float) -> None:
        self._remote_due_at = now + self._settings.timing.summary_s
        known = {domain for domain, _ in self._remote_state[1]}
        self._remote_state = (
            self.gossip.get_remote_hosts(now),
            self.gossip.get_remote_capacity(now),
        )
        reachable = {domain for domain, _ in self._remote_state[1]}
        for domain in sorted(reachable - known):
            log.info("a failure domain is reachable", extra={"domain": domain})
        for domain in sorted(known - reachable):
            log.warning("a failure domain is unreachable", extra={"domain": domain})

    def _publish(self, now: float) -> None:
        """Publish a new view to all other tasks, by a single assignment."""
        self._view_due_at = now + VIEW_INTERVAL_S
        if now >= self._remote_due_at:
            self._update_remote_state(now)
        hosts, capacities = self._remote_state
        endpoints = self.gossip.get_endpoints(now)
        self._update_serving(endpoints.values(), now)
        before = self._holder.current
        self._holder.current = View(
            host=before.host,
            incarnation=before.incarnation,
            domain=before.domain,
            region=before.region,
            published=self._updates.published if self._serving else None,
            hosts={**hosts, **self.gossip.get_domain_hosts(now)},
            endpoints=endpoints,
            summaries=capacities,
            leaving=self._leaving,
            platform_stale=self._updates.platform_stale,
            made_at=now,
        )
