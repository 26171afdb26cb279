"""What hosts tell each other of endpoints that ended, and of the requests that ran there."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from cloverway.core.quarantine import Crash, CrashUpdate, Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import BROADCAST_DELAY_S, UpdateBatch
from cloverway.serving.hosts.messages import CODEC, CrashReport, EndpointCrash
from cloverway.serving.telemetry import Figures, tell

REBROADCAST_S = 6.0
"""How long an end is told again after it happened."""
MAX_REQUESTS_PER_MESSAGE = 64
"""Requests in one message, as many as an engine runs: within one packet of 1,500 bytes."""
INCARNATION_SIZE = 4
"""What the name of an endpoint's life takes of that, in requests: some 30 bytes."""
MAX_AGE_MS = (1 << 31) - 1
"""What the field holds: an end that long ago, 24 days, counts for nothing any more."""
MAX_SYNC_REQUESTS = 256
"""Requests that a host is told of when it is heard for the first time, or again after a cut."""
SYNC_AGE_S = 60.0
"""How old an end may be that it is told of, unless a request is refused for it: a request that ends
endpoints comes again sooner, and those that ran beside it by chance are most of them."""


class CrashExchange:
    """Notes ends of endpoints in the quarantine of this host, and tells and hears of them."""

    message = CrashReport
    is_regional = False

    def __init__(self, own_name: str, quarantine: Quarantine, figures: Figures) -> None:
        self._own_name = own_name
        self._quarantine = quarantine
        self._figures = figures
        self._pending_own: defaultdict[str, list[Crash]] = defaultdict(list)
        """Ends that this host saw and hasn't told yet, by the life of the endpoint."""
        self._pending_served: list[int] = []
        self._pending_from_remote: list[Crash] = []
        """Ends that it heard from other regions and hasn't told its own yet."""
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def report_crash(self, life: str, digest: int, at: float) -> None:
        """Note that an endpoint ended, by all signs, while it ran a request."""
        fresh = self._quarantine.note_crash(Crash(life, (digest,), at))
        if fresh is not None:
            self._pending_own[life].append(fresh)
            self._log_blocked_requests(fresh, at)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def report_served(self, digest: int) -> None:
        """Note that a request had a whole answer."""
        if self._quarantine.note_served(digest, read_clock()):
            self._pending_served.append(digest)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def receive(self, report: CrashReport, is_remote: bool, now: float) -> None:
        """Take over what another host tells; one of another region has told few hosts of this."""
        for digest in report.served:
            self._quarantine.note_served(digest, now)
        heard = [_read_crash(crash, now) for crash in report.crashes]
        fresh = [news for crash in heard if (news := self._quarantine.note_crash(crash))]
        for crash in fresh:
            requests = len(crash.digests)
            tell("end_heard", life=crash.incarnation, requests=requests, peer=report.host)
            self._log_blocked_requests(crash, now)
        if is_remote:
            self._pending_from_remote.extend(fresh)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def take_pending(self, now: float) -> UpdateBatch:
        """Give what wasn't told yet."""
        own = CrashUpdate(
            tuple(map(_merge, self._pending_own.values())), tuple(self._pending_served)
        )
        passed = CrashUpdate(tuple(self._pending_from_remote), ())
        self._pending_own, self._pending_served, self._pending_from_remote = (
            defaultdict(list),
            [],
            [],
        )
        for crash in own.crashes:
            tell("endpoint_ended", life=crash.incarnation, requests=len(crash.digests))
        messages = self._encode(own, now)
        return UpdateBatch([*messages, *self._encode(passed, now)], messages)

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Give messages of the ends of the last seconds."""
        return self._encode(
            self._quarantine.list_updates(now - REBROADCAST_S, MAX_REQUESTS_PER_MESSAGE), now
        )

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Give messages of the ends of the last minute, and of what is refused for older ones."""
        recent = self._quarantine.list_updates(now - SYNC_AGE_S, MAX_SYNC_REQUESTS)
        held = self._quarantine.list_blocked_crashes(now, MAX_SYNC_REQUESTS)
        return self._encode(recent._replace(crashes=recent.crashes + held), now)

    def _encode(self, news: CrashUpdate, now: float) -> list[bytes]:
        return [_encode(self._own_name, part, now) for part in _split(news)]

    def _log_blocked_requests(self, crash: Crash, now: float) -> None:
        """Log the requests that are refused from now on."""
        for digest in crash.digests:
            hold = self._quarantine.get_block(digest, now)
            if hold is not None:
                self._figures.note_event("request_held")
                tell(
                    "request_held",
                    request_digest=f"{digest:016x}",
                    ends=hold.crashes,
                    hold_s=round(hold.remaining_s, 1),
                    life=crash.incarnation,
                )


def _merge(crashes: list[Crash]) -> Crash:
    """Join what several requests told of the end of one endpoint."""
    digests = tuple(digest for crash in crashes for digest in crash.digests)
    return crashes[-1]._replace(digests=digests)


def _split(news: CrashUpdate) -> Iterator[CrashUpdate]:
    """Split news into parts that fit into one datagram each."""
    for first in range(0, len(news.served), MAX_REQUESTS_PER_MESSAGE):
        yield CrashUpdate((), news.served[first : first + MAX_REQUESTS_PER_MESSAGE])
    part: list[Crash] = []
    room = MAX_REQUESTS_PER_MESSAGE
    for crash in news.crashes:
        for first in range(0, len(crash.digests), MAX_REQUESTS_PER_MESSAGE):
            piece = crash._replace(digests=crash.digests[first : first + MAX_REQUESTS_PER_MESSAGE])
            size = len(piece.digests) + INCARNATION_SIZE
            if part and size > room:
                yield CrashUpdate(tuple(part), ())
                part, room = [], MAX_REQUESTS_PER_MESSAGE
            part.append(piece)
            room -= size
    if part:
        yield CrashUpdate(tuple(part), ())


def _encode(host: str, news: CrashUpdate, now: float) -> bytes:
    crashes = tuple(
        EndpointCrash(
            crash.incarnation, crash.digests, min(MAX_AGE_MS, int((now - crash.at) * 1000))
        )
        for crash in news.crashes
    )
    return CODEC.encode(CrashReport(host, crashes, news.served))


def _read_crash(crash: EndpointCrash, now: float) -> Crash:
    return Crash(crash.life, crash.digests, now - crash.age_ms / 1000)
