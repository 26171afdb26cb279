"""Server for the calls of other hosts over TCP."""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
import time
from collections.abc import Iterator, Sequence

from cloverway.addresses import format_address, split_address
from cloverway.errors import PeerError, RequestError, UserError
from cloverway.once.keys import ClaimCall, SettleCall
from cloverway.peers import wire
from cloverway.peers.channel import Channel, Identity
from cloverway.peers.passed_on import ForwardedRun, make_refusal
from cloverway.peers.peering import PeerHandler, PeerLimits

log = logging.getLogger(__name__)

BACKLOG = 128
MAX_PAGE_BYTES = 512 * 1024
ACCEPT_RETRY_DELAY_S = 0.2
IDLE_MARGIN_S = 5.0
"""The accepting end keeps an idle connection longer by this time. So the connecting end closes it,
and no call is sent on a connection that is being closed."""


class _Connection:
    """An accepted connection and the state of its thread."""

    def __init__(self, raw: socket.socket) -> None:
        self.raw = raw
        self.channel: Channel | None = None
        self.idle_since: float | None = time.monotonic()
        """Since when it has been idle; None while a call is served."""
        self.calls = 0
        self.running = False

    def shut_down(self) -> None:
        """Shut the connection down from another thread."""
        shut_down(self.raw)


class PeerServer:
    """Serves other hosts with one thread per connection and a limit on connections."""

    def __init__(
        self,
        address: str,
        local: Identity,
        secret: bytes,
        handler: PeerHandler,
        limits: PeerLimits,
    ) -> None:
        self._local = local
        self._secret = secret
        self._handler = handler
        self._limits = limits
        self._lock = threading.Lock()
        self._connections: set[_Connection] = set()
        self._stopping = threading.Event()
        ip_address, port = split_address(address)
        family = socket.AF_INET6 if ":" in ip_address else socket.AF_INET
        try:
            self._listener = socket.create_server(
                (ip_address, port), family=family, backlog=BACKLOG
            )
        except OSError as error:
            raise UserError(f"{address}: can't listen for hosts: {error.strerror}") from error
        self.address = format_address(self._listener.getsockname())
        """Address that it listens at: IP address and port."""
        self._threads = [
            threading.Thread(target=self._accept_connections, name="peers", daemon=True),
            threading.Thread(target=self._ping_running, name="peer-pings", daemon=True),
        ]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Start accepting connections."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float = 0.0) -> None:
        """Stop accepting, close idle connections, and give busy ones some time to finish."""
        deadline = time.monotonic() + timeout_s
        self._stopping.set()
        shut_down(self._listener)
        with self._lock:
            idle = [each for each in self._connections if each.idle_since is not None]
        for connection in idle:
            connection.shut_down()
        while self._connections and time.monotonic() < deadline:
            time.sleep(0.01)
        with self._lock:
            remaining = list(self._connections)
        for connection in remaining:
            connection.shut_down()
        for thread in self._threads:
            if thread.is_alive():
                thread.join(1.0)
        self._listener.close()

    def _accept_connections(self) -> None:
        while not self._stopping.is_set():
            try:
                raw, _ = self._listener.accept()
            except OSError:
                if self._stopping.is_set():
                    return
                log.exception("can't accept a connection")
                self._stopping.wait(ACCEPT_RETRY_DELAY_S)
                continue
            self._admit(raw)

    def _admit(self, raw: socket.socket) -> None:
        connection = _Connection(raw)
        with self._lock:
            evicted = self._choose_evicted()
            if evicted is not None:
                self._connections.discard(evicted)
            full = len(self._connections) >= self._limits.max_connections
            if not full:
                self._connections.add(connection)
        if evicted is not None:
            evicted.shut_down()
        if full:
            log.warning("rejected a peer: all connections are busy")
            raw.close()
            return
        threading.Thread(target=self._serve, args=(connection,), name="peer", daemon=True).start()

    def _choose_evicted(self) -> _Connection | None:
        """Return the connection to evict for a new one: the one that has been idle the longest.

        If the new one were rejected instead, its host would treat this host as dead for a while
        and tell its caller that the outcome is unknown.
        """
        if len(self._connections) < self._limits.max_connections:
            return None
        idle = {each: each.idle_since for each in self._connections}
        since = {each: at for each, at in idle.items() if at is not None}
        return min(since, key=since.__getitem__, default=None)

    def _ping_running(self) -> None:
        while not self._stopping.wait(self._limits.ping_interval_s):
            with self._lock:
                running = [each.channel for each in self._connections if each.running]
            for channel in running:
                if channel is not None:
                    self._ping(channel)

    def _ping(self, channel: Channel) -> None:
        if time.monotonic() - channel.last_sent_at < self._limits.ping_interval_s / 2:
            return
        try:
            channel.ping()
        except PeerError:
            channel.shut_down()

    def _serve(self, connection: _Connection) -> None:
        try:
            channel = Channel.accept(
                connection.raw, self._local, self._secret, self._limits.connect_timeout_s
            )
            connection.channel = channel
            while not self._stopping.is_set():
                self._serve_call(connection, channel)
        except PeerError as error:
            log.debug("the connection of a peer ended", extra={"reason": str(error)})
        except Exception:
            log.exception("a call of a peer failed")
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.raw.close()

    def _serve_call(self, connection: _Connection, channel: Channel) -> None:
        connection.idle_since = time.monotonic()
        message = channel.receive_message(
            connection.idle_since + self._limits.idle_timeout_s + IDLE_MARGIN_S
        )
        connection.idle_since = None
        connection.calls += 1
        if isinstance(message, wire.RunCall):
            self._run(connection, channel, message)
        elif isinstance(message, wire.ChangesCall):
            self._send_changes(channel, message)
        else:
            if isinstance(message, ClaimCall) and channel.is_broken:
                # The claimant has given up, for example because this process was paused. A grant
                # would reach nobody, and the caller's retry would find the key in use.
                raise PeerError("the claimant closed the connection before its claim was decided")
            channel.send_message(self._handle_call(message), self._make_deadline())

    def _run(self, connection: _Connection, channel: Channel, call: wire.RunCall) -> None:
        connection.running = True
        try:
            reused = connection.calls > 1
            ForwardedRun(self._handler, self._limits, channel, reused).serve(call)
        finally:
            connection.running = False

    def _handle_call(self, message: wire.Message) -> wire.Message:
        try:
            if isinstance(message, ClaimCall):
                return self._handler.claim(message)
            if isinstance(message, SettleCall):
                self._handler.settle(message)
                return wire.Settled()
        except RequestError as error:
            return make_refusal(error)
        raise PeerError("received an unexpected message from the peer")

    def _send_changes(self, channel: Channel, call: wire.ChangesCall) -> None:
        changes = self._handler.get_changes(call.after)
        pages = list(split_pages(changes.changes))
        for number, page in enumerate(pages, start=1):
            more = number < len(pages)
            message = wire.ChangesPage(changes.top, page, more, changes.after, changes.digest)
            channel.send_message(message, self._make_deadline())

    def _make_deadline(self) -> float:
        return time.monotonic() + self._limits.send_timeout_s


def shut_down(raw: socket.socket) -> None:
    """Shut down a socket that another thread uses; do nothing when it is closed already."""
    with contextlib.suppress(OSError):
        raw.shutdown(socket.SHUT_RDWR)


def split_pages(changes: Sequence[wire.Change]) -> Iterator[tuple[wire.Change, ...]]:
    """Split changes into pages of bounded size; yield at least one page."""
    page: list[wire.Change] = []
    size = 0
    for change in changes:
        length = len(change.key) + len(change.value or "")
        if page and size + length > MAX_PAGE_BYTES:
            yield tuple(page)
            page, size = [], 0
        page.append(change)
        size += length
    yield tuple(page)
