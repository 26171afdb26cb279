"""The control loop: one thread that reads platform, endpoints and other hosts, and keeps the view.

Everything it decides is in `gossip`, `membership`, `readings` and `summaries`. Here are the
socket, the timers and the blocking calls, each on a thread of its own so that none holds the loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import socket
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.config.published import Published
from cloverway.config.settings import Settings
from cloverway.configuration import (
    Accepted,
    ConfigurationStore,
    Source,
    StartGate,
    choose_readers,
    log_result,
)
from cloverway.errors import CloverwayError, PeerError
from cloverway.gossip import Gossip, Outgoing, Own, Received
from cloverway.heartbeats import parse_incarnation
from cloverway.platform.file import FilePlatform
from cloverway.platform.http import HttpPlatform
from cloverway.platform.port import Changes, HostList, Listed, Platform
from cloverway.reports import EndpointReader, Rounds, Workers
from cloverway.seal import MAX_DATAGRAM_BYTES, Seal
from cloverway.view import View, ViewHolder

log = logging.getLogger(__name__)

FetchChanges = Callable[[str, str, int], Changes]
"""Asks (host, address) for the changes after a revision; blocks, within a bound."""

TICK_S = 0.05
PAUSE_S = 0.75
"""A loop that did not run for so long was paused, or held by the machine: it treats both alike."""
VIEW_S = 0.25
"""How often the view is made anew when nothing urgent has happened."""
URGENT_S = 0.05
"""Least time between two rounds that tell all siblings at once."""
READ_LIMIT_S = 5.0
"""A report that has not come whole by then is given up."""
READER_THREADS = 8
DATAGRAMS_A_TURN = 256
OTHER_READ_S = 30.0
"""How often a host that is not a reader of the platform reads it, in case both readers can't."""
RETRY_S = 0.5
FETCH_RETRY_S = 0.5
RECEIVE_BUFFER_BYTES = 256 * 1024


class Offer(NamedTuple):
    """A peer that has a revision this host may lack."""

    host: str
    address: str
    revision: int


class ControlLoop:
    """Owns the UDP socket, the store of configuration and all knowledge of hosts and endpoints."""

    def __init__(
        self,
        settings: Settings,
        holder: ViewHolder,
        platform: Platform,
        *,
        store: ConfigurationStore,
        seal: Seal,
        fetch_changes: FetchChanges,
        load: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._platform = platform
        self._store = store
        self._store_lock = threading.Lock()
        self._fetch_changes = fetch_changes
        self._load = load
        self._clock = clock
        self._random = random.Random(secrets.randbits(64))
        self.gossip = Gossip(
            settings.host,
            settings.domain,
            incarnation=parse_incarnation(holder.current.incarnation),
            timing=settings.timing,
            seal=seal,
            random=self._random,
        )
        self._gate = StartGate(clock())
        self._settled = False
        self._leaving = False
        self._alive_at = clock()
        self._urgent = False
        self._told_at = float("-inf")
        self._view_due = 0.0
        self._far_due = 0.0
        self._far: tuple[dict[str, Any], dict[Any, Any]] = ({}, {})
        self._counts = {"sent": 0, "sent_bytes": 0, "received": 0, "received_bytes": 0}
        self._counts |= {"refused": 0, "pauses": 0, "reports": 0, "report_failures": 0}
        self._readers: dict[str, EndpointReader] = {}
        self._rounds = Rounds(self._random.random)
        self._report_workers = Workers("reports", READER_THREADS)
        self._platform_workers = Workers("platform", 2)
        self._fetch_workers = Workers("fetch", 1)
        self._fetching = False
        self._fetch_after = 0.0
        self._platform_fault = ""
        self._socket: socket.socket | None = None
        self._loop = asyncio.new_event_loop()
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
    ) -> ControlLoop:
        """Make a loop with the platform that the settings name; raise OSError without a secret."""
        adapter = FilePlatform if settings.platform.kind == "file" else HttpPlatform
        if secret is None:
            secret = Path(settings.security.peer_secret_file).read_bytes().strip()
        return cls(
            settings,
            holder,
            platform or adapter.from_settings(settings.platform),
            store=store,
            seal=Seal.from_secret(secret),
            fetch_changes=fetch_changes,
            load=load,
        )

    def start(self) -> None:
        """Bind the socket and start the thread; raise OSError when it can't be bound."""
        self._socket = _bind(self._settings.listen.peers)
        for workers in (self._report_workers, self._platform_workers, self._fetch_workers):
            workers.start()
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the thread; tells siblings first, when this host has begun to leave."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopping.set)
            self._thread.join(timeout_s)

    def begin_leaving(self) -> None:
        """Show in the view that this host leaves, and tell its siblings at once."""
        self._leaving = True
        self._holder.current = self._holder.current._replace(leaving=True)
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._note_urgent)

    def changes_after(self, revision: int) -> Changes:
        """Give a peer the documents after a revision; any thread may call it."""
        with self._store_lock:
            return self._store.changes_after(revision)

    @property
    def address(self) -> str:
        """The address that the UDP socket is bound to."""
        assert self._socket is not None
        return _format_address(self._socket.getsockname())

    def status(self) -> dict[str, Any]:
        """Give counts and states for operators; any thread may call it."""
        view = self._holder.current
        return {
            "incarnation": view.incarnation,
            "revision": self._store.revision,
            "settled": self._settled,
            "leaving": self._leaving,
            "platform_stale": self._store.platform_stale,
            "resumed_at": self.gossip.resumed_at,
            **self._counts,
        }

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_until_complete(self._serve())
        except Exception:
            log.exception("the control loop has failed")
        finally:
            self._end()

    async def _serve(self) -> None:
        assert self._socket is not None
        self._loop.add_reader(self._socket, self._receive)
        periods = [
            (self._tick, TICK_S),
            (self._beat, self._settings.timing.heartbeat_s),
            (self._speak, self._settings.timing.summary_s),
        ]
        steps = [self._repeat(*period) for period in periods]
        steps += [self._watch_platform(), self._watch_list()]
        tasks = [self._loop.create_task(step) for step in steps]
        await self._stopping.wait()
        if self._leaving:
            self._send(self.gossip.spread(self._clock()))
        tasks.extend(asyncio.all_tasks() - {asyncio.current_task(), *tasks})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _end(self) -> None:
        for workers in (self._report_workers, self._platform_workers, self._fetch_workers):
            workers.stop()
        for reader in self._readers.values():
            reader.abort()
        assert self._socket is not None
        self._loop.remove_reader(self._socket)
        self._socket.close()
        self._loop.close()

    async def _repeat(self, step: Callable[[float], None], period_s: float) -> None:
        """Do a step in each period; a step that fails is logged and done again later."""
        while True:
            try:
                step(self._clock())
            except Exception:
                log.exception("a step of the control loop failed")
            await asyncio.sleep(period_s)

    def _tick(self, now: float) -> None:
        self._notice_pause(now)
        self._read_endpoints(now)
        self._decide_start(now)
        if self._urgent and now - self._told_at >= URGENT_S:
            self._urgent = False
            self._told_at = now
            self._send(self.gossip.spread(now))
            self._view_due = now
        if now >= self._view_due:
            self._publish(now)

    def _beat(self, now: float) -> None:
        load = min(1.0, max(0.0, self._load()))
        with self._store_lock:
            revision = self._store.served_revision
        self.gossip.own = Own(self._leaving, load >= 1.0, load, revision)
        self._send(self.gossip.beat(now))

    def _speak(self, now: float) -> None:
        self._send(self.gossip.speak(now))

    def _note_urgent(self) -> None:
        self.gossip.own = self.gossip.own._replace(leaving=self._leaving)
        self._urgent = True

    def _notice_pause(self, now: float) -> None:
        """Notice that this process did not run, before anything is concluded from silence.

        A process that was stopped and woken finds every other host silent for as long. Without
        this it would call all of them dead, and read all endpoints itself.
        """
        paused_at, self._alive_at = self._alive_at, now
        if now - paused_at < PAUSE_S:
            return
        self._counts["pauses"] += 1
        log.warning("the control loop did not run", extra={"seconds": round(now - paused_at, 3)})
        self.gossip.resume(paused_at, now)
        # What waits in the socket came at an unknown time since; it is no sign of life now.
        self._drain(paused_at, now)

    def _receive(self) -> None:
        now = self._clock()
        self._notice_pause(now)
        self._drain(now, now)

    def _drain(self, at: float, now: float) -> None:
        assert self._socket is not None
        for _ in range(DATAGRAMS_A_TURN):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # Empty, or an error that an earlier datagram met on its way: nothing to read.
                return
            self._counts["received"] += 1
            self._counts["received_bytes"] += len(datagram)
            try:
                received = self.gossip.receive(datagram, at, now)
            except PeerError as error:
                self._counts["refused"] += 1
                log.debug("a datagram was refused", extra={"why": str(error)})
                continue
            self._react(received, _format_address(source), now)

    def _react(self, received: Received, source: str, now: float) -> None:
        self._send(received.replies)
        if received.news:
            self._view_due = now
        if received.replaced and not self._leaving:
            log.error("another process has taken this host's name; this one leaves")
            self.begin_leaving()
        if received.proven:
            self._gate.hear_peer(received.host, received.revision)
        published = self._store.published
        known = published.hosts.get(received.host) if published else None
        offer = Offer(received.host, known.peers if known else source, received.revision)
        self._consider(offer, now)

    def _consider(self, offer: Offer, now: float) -> None:
        """Fetch what a peer has and this host lacks; one fetch at a time, off the loop."""
        with self._store_lock:
            after = self._store.ask_peer_after(offer.revision)
        if after is None or self._fetching or now < self._fetch_after:
            return
        self._fetching = True
        answer = self._fetch_workers.submit(self._fetch_changes, offer.host, offer.address, after)
        self._loop.create_task(self._take_fetched(asyncio.wrap_future(answer)))

    async def _take_fetched(self, answer: asyncio.Future[Changes]) -> None:
        try:
            self._offer(await answer, Source.PEER)
        except CloverwayError as error:
            log.warning("a peer's configuration can't be read", extra={"why": str(error)})
        except Exception:
            log.exception("a peer's configuration can't be read")
        finally:
            self._fetching = False
            self._fetch_after = self._clock() + FETCH_RETRY_S

    def _offer(self, changes: Changes, source: Source) -> None:
        with self._store_lock:
            result = self._store.offer(changes, source, self._clock())
        log_result(result, source)
        if isinstance(result, Accepted):
            self._adopt(result.published)

    def _adopt(self, published: Published) -> None:
        self.gossip.adopt(published)
        own = published.endpoints_of(self._settings.domain)
        for name in [name for name in self._readers if name not in own]:
            self._readers.pop(name).abort()
        with self._store_lock:
            revision = self._store.served_revision
        self.gossip.own = self.gossip.own._replace(revision=revision)
        # Told at once, the revision is at all hosts of the domain one trip later.
        self._urgent = True
        self._view_due = 0.0

    def _decide_start(self, now: float) -> None:
        if self._settled:
            return
        with self._store_lock:
            published = self._store.published
            revision = self._store.revision
        siblings = published.hosts_of(self._settings.domain) if published else ()
        expected = [name for name in siblings if name != self._settings.host]
        readiness = self._gate.decide(revision, expected, now)
        if not readiness.ready:
            return
        with self._store_lock:
            self._store.settle()
        self._settled = True
        self._note_urgent()
        self.gossip.own = self.gossip.own._replace(revision=revision)
        log.info("ready", extra={"revision": revision, "why": readiness.why})

    async def _watch_platform(self) -> None:
        """Read the platform's changes, on few hosts of a failure domain."""
        read_at = float("-inf")
        while True:
            now = self._clock()
            if self._settled and not self._is_reader(now) and now - read_at < OTHER_READ_S:
                await asyncio.sleep(RETRY_S)
                continue
            read_at = now
            with self._store_lock:
                after = self._store.read_after
            call = self._platform_workers.submit(
                self._platform.read, after, self._settings.platform.poll_s
            )
            try:
                changes = await asyncio.wrap_future(call)
                self._platform_fault = ""
                self._gate.hear_platform(changes.revision)
                self._offer(changes, Source.PLATFORM)
            except CloverwayError as error:
                if str(error) != self._platform_fault:
                    log.warning("the platform can't be read", extra={"why": str(error)})
                self._platform_fault = str(error)
                await asyncio.sleep(RETRY_S)
            except Exception:
                log.exception("the platform can't be read")
                await asyncio.sleep(RETRY_S)

    async def _watch_list(self) -> None:
        """Read the platform's list of live and leaving members."""
        while True:
            await asyncio.sleep(self._settings.timing.list_s)
            if not self._is_reader(self._clock()):
                continue
            try:
                call = self._platform_workers.submit(self._platform.list_states)
                self._take_list(await asyncio.wrap_future(call))
            except CloverwayError as error:
                log.debug("the platform's list can't be read", extra={"why": str(error)})
            except Exception:
                log.exception("the platform's list can't be read")

    def _take_list(self, states: HostList) -> None:
        leaving = {name: state is Listed.LEAVING for name, state in states.endpoints.items()}
        if self.gossip.readings.take_list(leaving, self._clock()):
            self._urgent = True
        if states.hosts.get(self._settings.host) is Listed.LEAVING and not self._leaving:
            log.debug("the platform's list says that this host is leaving")

    def _is_reader(self, now: float) -> bool:
        staying = self.gossip.members.staying(now)
        return self._settings.host in choose_readers(staying, self._settings.domain)

    def _read_endpoints(self, now: float) -> None:
        published = self._store.published
        if published is None:
            return
        names = self.gossip.endpoints_to_read(now)
        for name in self._rounds.take_due(names, self.gossip.read_interval(now), now):
            self._loop.create_task(self._read_endpoint(name, published))
        for name in self._rounds.overdue(READ_LIMIT_S, now):
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
            if self.gossip.readings.take_report(name, report, self._clock()):
                self._urgent = True
        except PeerError as error:
            self._counts["report_failures"] += 1
            log.debug("no load report", extra={"endpoint": name, "why": str(error)})
        except Exception:
            log.exception("a load report can't be read")
        finally:
            self._rounds.finish(name)

    def _publish(self, now: float) -> None:
        """Give all other tasks a new picture, by one assignment."""
        self._view_due = now + VIEW_S
        if now >= self._far_due:
            self._far_due = now + self._settings.timing.summary_s
            self._far = (self.gossip.far_hosts(now), self.gossip.capacities(now))
        hosts, capacities = self._far
        before = self._holder.current
        self._holder.current = View(
            host=before.host,
            incarnation=before.incarnation,
            domain=before.domain,
            region=before.region,
            published=self._store.published if self._settled else None,
            hosts={**hosts, **self.gossip.near_hosts(now)},
            endpoints=self.gossip.endpoints(now),
            summaries=capacities,
            leaving=self._leaving,
            platform_stale=self._store.platform_stale,
        )

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        assert self._socket is not None
        for address, datagram in outgoing:
            try:
                self._socket.sendto(datagram, _parse_address(address))
            except OSError as error:
                # A full buffer or no route: the same as a datagram that is lost on its way.
                log.debug("a datagram was not sent", extra={"to": address, "why": str(error)})
                continue
            self._counts["sent"] += 1
            self._counts["sent_bytes"] += len(datagram)


def _bind(address: str) -> socket.socket:
    host, port = _parse_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _format_address(source: Any) -> str:
    host, port = source[0], source[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
