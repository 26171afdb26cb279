"""Exchange of endpoint crashes, and of the requests that ran there, between hosts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from cloverway.core.members import Members
from cloverway.core.quarantine import Crash, CrashUpdate, Quarantine, ServedRequest
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import (
    BROADCAST_DELAY_S,
    UpdateBatch,
    is_replying,
    split_into_batches,
)
from cloverway.serving.hosts.messages import CODEC, CrashReport, EndpointCrash, ServedDigest
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
    """Records endpoint crashes in the quarantine of this host and exchanges them with others.

    A host that has seen a request served doesn't suspect it. It tells those that do: a request
    that many callers send is running wherever an endpoint crashes, and a host that has started
    just now has no answer to it yet.
    """

    message = CrashReport
    is_regional = False

    def __init__(self, members: Members, quarantine: Quarantine, metrics: Metrics) -> None:
        self._members = members
        self._quarantine = quarantine
        self._metrics = metrics
        self._detected: defaultdict[str, list[Crash]] = defaultdict(list)
        """Crashes that this host detected and has not broadcast yet, by endpoint incarnation."""
        self._served: list[int] = []
        self._forwarded: list[Crash] = []
        """Crashes received from other regions that were not broadcast in this region yet."""
        self._excused: dict[int, float] = {}
        """When requests were served that others suspect, by digest; to be broadcast."""
        self._forwarded_excused: dict[int, float] = {}
        """The same as received from other regions."""
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

        A host of another region sends it to only a few hosts of this region, so it is broadcast
        here.
        """
        for digest in report.served:
            self._quarantine.record_served(digest, now)
        excused = [_decode_served(item, now) for item in report.excused]
        for answer in excused:
            self._record_excused(answer, report.host)
        received = [_decode_crash(crash, now) for crash in report.crashes]
        recorded = [new for crash in received if (new := self._quarantine.record_crash(crash))]
        for crash in recorded:
            requests = len(crash.digests)
            log_event("end_heard", life=crash.incarnation, requests=requests, peer=report.host)
            self._log_blocked_requests(crash, now)
        self._excuse(received)
        if is_remote:
            self._forwarded.extend(recorded)
            self._forwarded_excused.update(excused)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def _record_excused(self, answer: ServedRequest, peer: str) -> None:
        if self._quarantine.record_served(answer.digest, answer.at):
            log_event("suspicion_dropped", request_digest=f"{answer.digest:016x}", peer=peer)

    def _excuse(self, received: Iterable[Crash]) -> None:
        """Schedule a reply with the requests of crashes that this host knows to be served."""
        excused = [answer for crash in received for answer in self._quarantine.list_excused(crash)]
        if excused and is_replying(self._members):
            self._excused.update(excused)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def take_pending(self, now: float) -> UpdateBatch:
        """Return the pending updates and clear them."""
        detected = CrashUpdate(tuple(map(_merge, self._detected.values())), tuple(self._served))
        forwarded = CrashUpdate(tuple(self._forwarded), ())
        for crash in detected.crashes:
            log_event("endpoint_ended", life=crash.incarnation, requests=len(crash.digests))
        messages = [*self._encode(detected, now), *self._encode_excused(self._excused, now)]
        from_other_regions = [
            *self._encode(forwarded, now),
            *self._encode_excused(self._forwarded_excused, now),
        ]
        self._detected, self._served, self._forwarded = defaultdict(list), [], []
        self._excused, self._forwarded_excused = {}, {}
        return UpdateBatch([*messages, *from_other_regions], messages)

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return messages with the crashes of the last seconds."""
        return self._encode(self._quarantine.list_updates(now - REBROADCAST_S, MAX_DIGESTS), now)

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return messages with recent crashes, and older crashes that block requests."""
        recent = self._quarantine.list_updates(now - SYNC_AGE_S, MAX_SYNC_REQUESTS)
        blocked = self._quarantine.list_blocked_crashes(now, MAX_SYNC_REQUESTS)
        return self._encode(recent._replace(crashes=recent.crashes + blocked), now)

    def _encode(self, updates: CrashUpdate, now: float) -> list[bytes]:
        return [_encode(self._members.own.name, batch, now) for batch in _split(updates)]

    def _encode_excused(self, excused: dict[int, float], now: float) -> list[bytes]:
        name = self._members.own.name
        items = [ServedDigest(digest, encode_age(now - at)) for digest, at in excused.items()]
        return [
            CODEC.encode(CrashReport(name, excused=batch))
            for batch in split_into_batches(items, MAX_DIGESTS)
        ]

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
    for served in split_into_batches(updates.served, MAX_DIGESTS):
        yield CrashUpdate((), served)
    batch: list[Crash] = []
    space = MAX_DIGESTS
    for crash in updates.crashes:
        for digests in split_into_batches(crash.digests, MAX_DIGESTS):
            piece = crash._replace(digests=digests)
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
        EndpointCrash(crash.incarnation, crash.digests, encode_age(now - crash.at))
        for crash in updates.crashes
    )
    return CODEC.encode(CrashReport(host, crashes, updates.served))


def _decode_crash(crash: EndpointCrash, now: float) -> Crash:
    return Crash(crash.life, crash.digests, now - crash.age_ms / 1000)


def _decode_served(served: ServedDigest, now: float) -> ServedRequest:
    return ServedRequest(served.digest, now - served.age_ms / 1000)


def encode_age(seconds: float) -> int:
    """Return a time in the past as messages state it, in milliseconds."""
    return max(0, min(MAX_AGE_MS, int(seconds * 1000)))
