"""What hosts tell each other of endpoints that ended, and of the requests that ran there."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from cloverway.core.quarantine import Crash, CrashNews, Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.news import TELL_AFTER_S, FreshNews
from cloverway.serving.hosts.peerwire import CODEC, CrashReport, EndpointCrash
from cloverway.serving.telemetry import Metrics, log_event

RETOLD_S = 6.0
"""How long an end is told again after it happened."""
MOST_TOLD = 64
"""Requests in one message, as many as an engine runs: within one packet of 1,500 bytes."""
LIFE_SIZE = 4
"""What the name of an endpoint's life takes of that, in requests: some 30 bytes."""
MOST_AGE_MS = (1 << 31) - 1
"""What the field holds: an end that long ago, 24 days, counts for nothing any more."""
MOST_WELCOME = 256
"""Requests that a host is told of when it is heard for the first time, or again after a cut."""
WELCOMED_S = 60.0
"""How old an end may be that it is told of, unless a request is refused for it: a request that ends
endpoints comes again sooner, and those that ran beside it by chance are most of them."""


class CrashExchange:
    """Notes ends of endpoints in the quarantine of this host, and tells and hears of them."""

    message = CrashReport
    is_regional = False

    def __init__(self, own_name: str, quarantine: Quarantine, metrics: Metrics) -> None:
        self._own_name = own_name
        self._quarantine = quarantine
        self._metrics = metrics
        self._own: defaultdict[str, list[Crash]] = defaultdict(list)
        """Ends that this host saw and hasn't told yet, by the life of the endpoint."""
        self._served: list[int] = []
        self._passed: list[Crash] = []
        """Ends that it heard from other regions and hasn't told its own yet."""
        self.tell_soon: Callable[[float], None] = lambda delay_s: None

    def note_end(self, life: str, digest: int, at: float) -> None:
        """Note that an endpoint ended, by all signs, while it ran a request."""
        fresh = self._quarantine.note_crash(Crash(life, (digest,), at))
        if fresh is not None:
            self._own[life].append(fresh)
            self._tell_held(fresh, at)
            self.tell_soon(TELL_AFTER_S)

    def note_served(self, digest: int) -> None:
        """Note that a request had a whole answer."""
        if self._quarantine.note_served(digest, read_clock()):
            self._served.append(digest)
            self.tell_soon(TELL_AFTER_S)

    def hear(self, report: CrashReport, is_far: bool, now: float) -> None:
        """Take over what another host tells; one of another region has told few hosts of this."""
        for digest in report.served:
            self._quarantine.note_served(digest, now)
        heard = [_read_crash(crash, now) for crash in report.crashes]
        fresh = [news for crash in heard if (news := self._quarantine.note_crash(crash))]
        for crash in fresh:
            requests = len(crash.digests)
            log_event("end_heard", life=crash.life, requests=requests, peer=report.host)
            self._tell_held(crash, now)
        if is_far:
            self._passed.extend(fresh)
            self.tell_soon(TELL_AFTER_S)

    def take_fresh(self, now: float) -> FreshNews:
        """Give what wasn't told yet."""
        own = CrashNews(tuple(map(_join, self._own.values())), tuple(self._served))
        passed = CrashNews(tuple(self._passed), ())
        self._own, self._served, self._passed = defaultdict(list), [], []
        for crash in own.crashes:
            log_event("endpoint_ended", life=crash.life, requests=len(crash.digests))
        messages = self._encode(own, now)
        return FreshNews([*messages, *self._encode(passed, now)], messages)

    def list_standing(self, now: float) -> list[bytes]:
        """Give messages of the ends of the last seconds."""
        return self._encode(self._quarantine.list_news(now - RETOLD_S, MOST_TOLD), now)

    def list_for_newcomer(self, now: float) -> list[bytes]:
        """Give messages of the ends of the last minute, and of what is refused for older ones."""
        recent = self._quarantine.list_news(now - WELCOMED_S, MOST_WELCOME)
        held = self._quarantine.list_held(now, MOST_WELCOME)
        return self._encode(recent._replace(crashes=recent.crashes + held), now)

    def _encode(self, news: CrashNews, now: float) -> list[bytes]:
        return [_encode(self._own_name, part, now) for part in _split(news)]

    def _tell_held(self, crash: Crash, now: float) -> None:
        """Log the requests that are refused from now on."""
        for digest in crash.digests:
            hold = self._quarantine.get_hold(digest, now)
            if hold is not None:
                self._metrics.note_event("request_held")
                log_event(
                    "request_held",
                    request_digest=f"{digest:016x}",
                    ends=hold.ends,
                    hold_s=round(hold.left_s, 1),
                    life=crash.life,
                )


def _join(crashes: list[Crash]) -> Crash:
    """Join what several requests told of the end of one endpoint."""
    digests = tuple(digest for crash in crashes for digest in crash.digests)
    return crashes[-1]._replace(digests=digests)


def _split(news: CrashNews) -> Iterator[CrashNews]:
    """Split news into parts that fit into one datagram each."""
    for first in range(0, len(news.served), MOST_TOLD):
        yield CrashNews((), news.served[first : first + MOST_TOLD])
    part: list[Crash] = []
    room = MOST_TOLD
    for crash in news.crashes:
        for first in range(0, len(crash.digests), MOST_TOLD):
            piece = crash._replace(digests=crash.digests[first : first + MOST_TOLD])
            size = len(piece.digests) + LIFE_SIZE
            if part and size > room:
                yield CrashNews(tuple(part), ())
                part, room = [], MOST_TOLD
            part.append(piece)
            room -= size
    if part:
        yield CrashNews(tuple(part), ())


def _encode(host: str, news: CrashNews, now: float) -> bytes:
    crashes = tuple(
        EndpointCrash(crash.life, crash.digests, min(MOST_AGE_MS, int((now - crash.at) * 1000)))
        for crash in news.crashes
    )
    return CODEC.encode(CrashReport(host, crashes, news.served))


def _read_crash(crash: EndpointCrash, now: float) -> Crash:
    return Crash(crash.life, crash.digests, now - crash.age_ms / 1000)
