"""Exchange of endpoint crashes, and of the requests that ran there, between hosts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from cloverway.core.quarantine import Crash, CrashUpdate, Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, UpdateBatch
from cloverway.serving.hosts.messages import CODEC, CrashReport, EndpointCrash
from cloverway.serving.telemetry import Metrics, log_event

REBROADCAST_S = 6.0
"""How long a crash is rebroadcast after it happened."""
MAX_DIGESTS = 64
"""Maximum number of request digests in a message, as many requests as an engine runs. They fit into
one packet of 1,500 bytes."""
INCARNATION_SIZE = 4
"""Size of the name of an endpoint incarnation, about 30 bytes, counted in request digests."""
MAX_AGE_MS = (1 << 31) - 1
"""Upper limit of the age field; a crash 24 days ago no longer matters."""
MAX_SYNC_REQUESTS = 256
"""Maximum number of request digests sent to a host on first contact, or on contact after a
partition."""
SYNC_AGE_S = 60.0
"""Maximum age of a crash that is sent to a joining host, unless a request is blocked for it. A
request that crashes endpoints is sent again sooner, and most of the older digests are of requests
that only ran at the same endpoint."""


class CrashExchange:
    """Records endpoint crashes in the quarantine of this host and exchanges them with others."""

    message = CrashReport
    is_regional = False

    def __init__(self, own_name: str, quarantine: Quarantine, metrics: Metrics) -> None:
        self._own_name = own_name
        self._quarantine = quarantine
        self._metrics = metrics
        self._detected: defaultdict[str, list[Crash]] = defaultdict(list)
        """Crashes that this host detected and has not broadcast yet, by endpoint incarnation."""
        self._served: list[int] = []
        self._forwarded: list[Crash] = []
        """Crashes received from other regions that were not broadcast in this region yet."""
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def report_crash(self, incarnation: str, digest: int, at: float) -> None:
        """Record that an endpoint apparently crashed while it ran a request."""
        recorded = self._quarantine.record_crash(Crash(incarnation, (digest,), at))
        if recorded is not None:
            self._detected[incarnation].append(recorded)
            self._log_blocked_requests(recorded, at)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def report_served(self, digest: int) -> None:
        """Record that a request got a complete answer."""
        if self._quarantine.record_served(digest, read_clock()):
            self._served.append(digest)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def receive(self, report: CrashReport, is_remote: bool, now: float) -> None:
        """Apply the report of another host.

        A host of a remote region has sent it to a few hosts of this region only, so it is passed
        on.
        """
        for digest in report.served:
            self._quarantine.record_served(digest, now)
        received = [_decode_crash(crash, now) for crash in report.crashes]
        recorded = [new for crash in received if (new := self._quarantine.record_crash(crash))]
        for crash in recorded:
            requests = len(crash.digests)
            log_event("end_heard", life=crash.incarnation, requests=requests, peer=report.host)
            self._log_blocked_requests(crash, now)
        if is_remote:
            self._forwarded.extend(recorded)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def take_pending(self, now: float) -> UpdateBatch:
        """Return the pending updates and clear them."""
        detected = CrashUpdate(tuple(map(_merge, self._detected.values())), tuple(self._served))
        forwarded = CrashUpdate(tuple(self._forwarded), ())
        self._detected, self._served, self._forwarded = (
            defaultdict(list),
            [],
            [],
        )
        for crash in detected.crashes:
            log_event("endpoint_ended", life=crash.incarnation, requests=len(crash.digests))
        messages = self._encode(detected, now)
        return UpdateBatch([*messages, *self._encode(forwarded, now)], messages)

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return messages with the crashes of the last seconds."""
        return self._encode(self._quarantine.list_updates(now - REBROADCAST_S, MAX_DIGESTS), now)

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return messages with recent crashes, and older crashes that block requests."""
        recent = self._quarantine.list_updates(now - SYNC_AGE_S, MAX_SYNC_REQUESTS)
        blocked = self._quarantine.list_blocked_crashes(now, MAX_SYNC_REQUESTS)
        return self._encode(recent._replace(crashes=recent.crashes + blocked), now)

    def _encode(self, updates: CrashUpdate, now: float) -> list[bytes]:
        return [_encode(self._own_name, batch, now) for batch in _split(updates)]

    def _log_blocked_requests(self, crash: Crash, now: float) -> None:
        """Log the requests that are blocked from now on."""
        for digest in crash.digests:
            block = self._quarantine.get_block(digest, now)
            if block is not None:
                self._metrics.record_event("request_held")
                log_event(
                    "request_held",
                    request_digest=f"{digest:016x}",
                    ends=block.crashes,
                    hold_s=round(block.remaining_s, 1),
                    life=crash.incarnation,
                )


def _merge(crashes: list[Crash]) -> Crash:
    """Merge the reports of several requests about the crash of one endpoint."""
    digests = tuple(digest for crash in crashes for digest in crash.digests)
    return crashes[-1]._replace(digests=digests)


def _split(updates: CrashUpdate) -> Iterator[CrashUpdate]:
    """Split updates into parts that fit into one datagram each."""
    for first in range(0, len(updates.served), MAX_DIGESTS):
        yield CrashUpdate((), updates.served[first : first + MAX_DIGESTS])
    batch: list[Crash] = []
    space = MAX_DIGESTS
    for crash in updates.crashes:
        for first in range(0, len(crash.digests), MAX_DIGESTS):
            piece = crash._replace(digests=crash.digests[first : first + MAX_DIGESTS])
            size = len(piece.digests) + INCARNATION_SIZE
            if batch and size > space:
                yield CrashUpdate(tuple(batch), ())
                batch, space = [], MAX_DIGESTS
            batch.append(piece)
            space -= size
    if batch:
        yield CrashUpdate(tuple(batch), ())


def _encode(host: str, updates: CrashUpdate, now: float) -> bytes:
    crashes = tuple(
        EndpointCrash(
            crash.incarnation, crash.digests, min(MAX_AGE_MS, int((now - crash.at) * 1000))
        )
        for crash in updates.crashes
    )
    return CODEC.encode(CrashReport(host, crashes, updates.served))


def _decode_crash(crash: EndpointCrash, now: float) -> Crash:
    return Crash(crash.life, crash.digests, now - crash.age_ms / 1000)
