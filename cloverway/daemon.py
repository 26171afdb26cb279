"""The daemon `cloverwayd`: creates the tasks of one entry host, runs them and drains them."""

from __future__ import annotations

import logging
import secrets
import signal
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Annotated, Any

import typer

from cloverway import __version__
from cloverway.config.configuration import ConfigurationStore
from cloverway.config.secrets import read_secret
from cloverway.config.settings import Settings
from cloverway.dispatch import residency
from cloverway.dispatch.dispatcher import Dispatcher
from cloverway.dispatch.ends import CrashTracker
from cloverway.entry.callers import CallerServer
from cloverway.errors import RequestError, UserError
from cloverway.gateway import GatewayDependencies, RequestGateway
from cloverway.logs import configure_logging
from cloverway.membership.control import ControlLoop
from cloverway.membership.view import View, ViewHolder
from cloverway.once.claims import KeyClaimer, LedgerTask
from cloverway.operations.admin import AdminOperations, AdminServer
from cloverway.operations.metrics import Metrics
from cloverway.operations.reporting import Reporter
from cloverway.peers.channel import Identity
from cloverway.peers.handlers import PeerRequestHandler, make_fetch_changes
from cloverway.peers.peer_client import PeerClient
from cloverway.peers.peer_server import PeerServer
from cloverway.peers.peering import PeerLimits
from cloverway.upstream.endpoints import EndpointClient
from cloverway.upstream.stream_stats import GAP_BOUNDS_S

log = logging.getLogger(__name__)

INCARNATION_BYTES = 8
DRAIN_POLL_S = 0.05
LEAVING_NOTICE_HEARTBEATS = 4
"""Heartbeat periods in which other hosts and callers learn that this host is leaving."""
THREAD_STACK_BYTES = 256 * 1024
"""Stack size of each thread; hundreds of threads wait for callers."""


class Daemon:
    """One entry host: all its tasks, started and stopped together."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.holder = ViewHolder(
            View(settings.host, self.incarnation, settings.domain, settings.region)
        )
        self._leaving = threading.Event()
        self._poll_pause = threading.Event()
        self._make_tasks(read_secret(Path(settings.security.peer_secret_file)))

    @classmethod
    def from_config(cls, path: Path) -> Daemon:
        """Create a daemon from its settings file; raise ConfigurationError."""
        return cls(Settings.from_toml(path))

    def start(self) -> None:
        """Start all tasks or none; raise OSError if an address can't be bound."""
        components = (
            self.metrics,
            self.dispatcher,
            self.keys,
            self.claims,
            self.peer_server,
            self.control,
            self.admin,
            self.callers,
        )
        # Threads of components that had already started would keep a failed process alive. A
        # supervisor would then treat it as running and would not restart it.
        with ExitStack() as undo:
            for component in components:
                component.start()
                undo.callback(component.stop)
            undo.pop_all()
        log.info("started", extra={"version": __version__, "callers": self.callers.address})

    def begin_leaving(self) -> None:
        """Accept no new work from now on, and make `wait_for_leave` return."""
        self.control.begin_leaving()
        self.keys.stop_issuing()
        self.callers.stop_accepting()
        self._leaving.set()

    def wait_for_leave(self) -> None:
        """Wait until a signal or an operator makes the daemon leave."""
        self._leaving.wait()

    def drain(
        self, is_interrupted: Callable[[], bool], now: Callable[[], float] = time.monotonic
    ) -> int:
        """Wait for all requests in progress; return how many are left if interrupted.

        Each request ends by its own deadline, so the wait is bounded. Until other hosts and
        callers have noticed, new requests are still answered, with a refusal and Retry-After.
        """
        notice_ends_at = now() + LEAVING_NOTICE_HEARTBEATS * self.settings.timing.heartbeat_s
        warn_at = now() + self.settings.limits.drain_s
        while (now() < notice_ends_at or self._has_pending_work()) and not is_interrupted():
            if now() >= warn_at:
                warn_at = now() + self.settings.limits.drain_s
                count = self.count_in_progress()
                log.warning("still waiting for requests in progress", extra={"count": count})
            self._poll_pause.wait(DRAIN_POLL_S)
        return self.count_in_progress()

    def _has_pending_work(self) -> bool:
        """Return whether requests are in progress, or keys issued here may still be used.

        A key can't be used once its issuer is gone: the caller would get `ran: unknown` for work
        that was never started.
        """
        key_hold_s = self.settings.limits.key_hold_s
        return self.count_in_progress() > 0 or self.keys.is_needed(key_hold_s)

    def count_in_progress(self) -> int:
        """Return the number of requests in progress, from callers and forwarded by other hosts.

        The caller server also counts queued requests, the dispatcher also those of other hosts.
        Most requests are in both counts, so this is the larger of the two.
        """
        return max(self.callers.count_in_progress(), self.dispatcher.count_in_flight())

    def stop(self) -> None:
        """Stop all tasks, the listeners first."""
        self.callers.stop()
        self.admin.stop()
        self.peer_server.stop()
        self.claims.stop()
        self.control.stop()
        self.dispatcher.stop()
        self.keys.stop()
        self.peer_client.close()
        self.endpoints.close()
        self.metrics.stop()

    def _make_tasks(self, secret: bytes) -> None:
        settings, holder = self.settings, self.holder
        peer_limits = PeerLimits.from_limits(settings.limits)
        self.metrics = Metrics(time.monotonic, GAP_BOUNDS_S)
        reporter = Reporter(self.metrics, holder)
        self.peer_client = PeerClient(
            Identity(settings.host, self.incarnation), secret, peer_limits
        )
        # The dispatcher records crashes of endpoints; the control loop reports them to other hosts.
        tracker = CrashTracker(settings.quarantine)
        self.dispatcher = Dispatcher.from_config(settings, holder, crash_tracker=tracker)
        self.keys = LedgerTask.from_settings(settings, self.incarnation, self._may_store)
        self.claims = KeyClaimer(self.keys, self.peer_client, self._find_address, self._may_store)
        self.endpoints = EndpointClient.from_settings(settings.limits, reporter.report_stream)
        self.gateway = RequestGateway(
            GatewayDependencies(
                holder, self.dispatcher, self.endpoints, self.peer_client, self.claims
            ),
            time.monotonic,
            reporter.report_request,
            settings.limits.recorded_answer_bytes,
        )
        self.control = ControlLoop.from_settings(
            settings,
            holder,
            store=ConfigurationStore(),
            secret=secret,
            fetch_changes=make_fetch_changes(self.peer_client.fetch_changes),
            load=self.dispatcher.get_load,
            crash_tracker=tracker,
        )
        handler = PeerRequestHandler(self.keys, self.gateway, self.control.get_changes_after)
        self.peer_server = PeerServer(
            settings.listen.peers,
            Identity(settings.host, self.incarnation),
            secret,
            handler,
            peer_limits,
        )
        self._make_listeners(reporter)

    def _make_listeners(self, reporter: Reporter) -> None:
        self.callers = CallerServer(
            self.settings,
            self.holder,
            self.gateway,
            self.keys.issue,
            on_rejection=reporter.report_rejection,
            on_disconnect=self._cancel_request,
        )
        operations = AdminOperations(
            list_hosts=self.callers.list_hosts,
            count_in_progress=self.count_in_progress,
            count_queued=self.dispatcher.count_queued,
            render_metrics=self.metrics.render,
            explain=self._explain,
            begin_leaving=self.begin_leaving,
        )
        self.admin = AdminServer(self.settings, self.holder, operations)

    def _cancel_request(self, request_id: str) -> None:
        """Cancel the request of a caller that disconnected before its answer began."""
        self.dispatcher.cancel(request_id)
        self.endpoints.abort(request_id)

    def _explain(self, team: str, profile: str) -> Any:
        return self.dispatcher.explain(team, profile, time.monotonic())

    def _find_address(self, host: str) -> str | None:
        published = self.holder.current.published
        found = published.hosts.get(host) if published else None
        return found.peers if found else None

    def _may_store(self, team: str, profile: str, host: str) -> bool:
        """Return whether data of a team may be stored at a host; False if that is unknown."""
        published = self.holder.current.published
        if published is None or host not in published.hosts:
            return False
        region = published.region_of(published.hosts[host].domain)
        try:
            return region in residency.get_allowed_regions(published, team, profile)
        except RequestError:
            return False


def run(path: Path) -> int:
    """Run a daemon until it has left; return its exit status."""
    daemon = Daemon.from_config(path)
    configure_logging(daemon.settings.log_level, daemon.settings.host, daemon.incarnation)
    signals = _count_signals(daemon)
    daemon.start()
    daemon.wait_for_leave()
    interrupted_count = daemon.drain(lambda: len(signals) > 1)
    if interrupted_count:
        log.error(
            "a second signal interrupts requests in progress", extra={"count": interrupted_count}
        )
    daemon.stop()
    log.info("stopped")
    return 1 if interrupted_count else 0


def _count_signals(daemon: Daemon) -> list[int]:
    """Leave at the first SIGTERM or SIGINT; return a list that grows with each signal."""
    signals: list[int] = []

    def handle_signal(number: int, frame: object) -> None:
        signals.append(number)
        if len(signals) == 1:
            # The handler interrupts the main thread, which may hold a lock that leaving needs.
            threading.Thread(target=daemon.begin_leaving, name="leave").start()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    return signals


app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help="TOML file with the settings of this host.")],
) -> None:
    """Run one entry host of cloverway.

    SIGTERM drains the host: requests in progress are completed. A second SIGTERM interrupts them.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    try:
        status = run(settings)
    except UserError as error:
        typer.echo(f"cloverwayd: {error}", err=True)
        raise typer.Exit(1) from None
    except OSError as error:
        typer.echo(f"cloverwayd: can't start: {error}", err=True)
        raise typer.Exit(1) from None
    raise typer.Exit(status)


def main() -> None:
    """Run the command line of the daemon."""
    app()


if __name__ == "__main__":
    main()
