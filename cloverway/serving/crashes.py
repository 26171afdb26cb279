"""What hosts tell each other of endpoints that ended, and of the requests that ran there."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

from cloverway.core.members import Members, rank_for
from cloverway.core.quarantine import Crash, CrashNews, Quarantine
from cloverway.serving.clock import read_clock
from cloverway.serving.peerwire import CODEC, CrashReport, EndpointCrash
from cloverway.serving.telemetry import Figures, tell

TELL_AFTER_S = 0.02
"""How long news waits to be told: all requests that an endpoint took along break within it, and one
message tells of all of them. A caller that repeats its request at once meets hosts that know."""
RETELL_S = 1.0
"""Period in which what was learnt lately is told again to a few hosts, since datagrams are lost and
some hosts can't reach each other. Each of them does the same, so all know within some periods."""
RETOLD_S = 6.0
"""How long an end is told again after it happened."""
NEAR_RETOLD = 3
FAR_RETOLD = 2
"""Hosts of the region, and of others, that are told again each time."""
RETELLERS = 8
"""Hosts of a region, about, that tell again in each period, whatever its size. Together they tell a
host of a region of 24 once a period: one that missed the first word by a lost datagram, as one in
40 does, hears it again for six periods. With each host telling, news went to each of 90 hosts five
times a second."""
FAR_REGIONS = 8
"""Regions that are told at once; more of them hear it from these and by what is told again."""
FAR_HOSTS = 2
"""Hosts of each of these."""
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
WELCOMERS = 2
"""Hosts of a region that tell it: one more than is needed while all datagrams arrive."""
WELCOME_REGIONS = 2
"""Regions that tell it beside its own, which may have been cut off with it. When each host told
each other one that it heard again, half of all bytes between the regions of 89 hosts were these."""


class CrashExchange:
    """Notes ends of endpoints in the quarantine of this host, and tells and hears of them."""

    def __init__(self, members: Members, quarantine: Quarantine, figures: Figures) -> None:
        self._members = members
        self._quarantine = quarantine
        self._figures = figures
        self._own: defaultdict[str, list[Crash]] = defaultdict(list)
        """Ends that this host saw and hasn't told yet, by the life of the endpoint."""
        self._served: list[int] = []
        self._passed: list[Crash] = []
        """Ends that it heard from other regions and hasn't told its own yet."""
        self._is_telling = False
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        """Sends a datagram to a host."""

    async def run(self) -> None:
        """Tell what was learnt lately again, for ever."""
        while True:
            await asyncio.sleep(RETELL_S)
            self._retell(read_clock())

    def note_end(self, life: str, digest: int, at: float) -> None:
        """Note that an endpoint ended, by all signs, while it ran a request."""
        fresh = self._quarantine.note_crash(Crash(life, (digest,), at))
        if fresh is not None:
            self._own[life].append(fresh)
            self._tell_held(fresh, at)
            self._tell_soon()

    def note_served(self, digest: int) -> None:
        """Note that a request had a whole answer."""
        if self._quarantine.note_served(digest, read_clock()):
            self._served.append(digest)
            self._tell_soon()

    def hear(self, report: CrashReport, now: float) -> None:
        """Take over what another host tells."""
        for digest in report.served:
            self._quarantine.note_served(digest, now)
        heard = [_read_crash(crash, now) for crash in report.crashes]
        fresh = [news for crash in heard if (news := self._quarantine.note_crash(crash))]
        for crash in fresh:
            requests = len(crash.digests)
            tell("end_heard", life=crash.life, requests=requests, peer=report.host)
            self._tell_held(crash, now)
        sender = self._members.peers.get(report.host)
        if sender is None or sender.member.region != self._members.own.region:
            self._passed.extend(fresh)
            self._tell_soon()

    def welcome(self, name: str) -> None:
        """Tell a host that was not there until now what it may have missed, if that falls to us."""
        now = read_clock()
        recent = self._quarantine.list_news(now - WELCOMED_S, MOST_WELCOME)
        held = self._quarantine.list_held(now, MOST_WELCOME)
        news = recent._replace(crashes=recent.crashes + held)
        if (news.crashes or news.served) and self._must_welcome(name, now):
            self._send([name], news, now)

    def _must_welcome(self, name: str, now: float) -> bool:
        """Tell whether this host is one of the few that tell another one what it has missed.

        Hosts that see others of them alive may disagree: then one more tells it, or one less.
        """
        own = self._members.own
        peer = self._members.peers.get(name)
        members = [other.member for other in self._members.list_alive(now)]
        regions = {own.region, *(member.region for member in members)}
        telling = sorted(regions, key=lambda region: rank_for(name, region))[:WELCOME_REGIONS]
        if own.region not in telling and (peer is None or peer.member.region != own.region):
            return False
        near = {member.name for member in members if member.region == own.region}
        ranked = sorted({own.name, *near} - {name}, key=lambda host: rank_for(name, host))
        return own.name in ranked[:WELCOMERS]

    def _tell_soon(self) -> None:
        if not self._is_telling:
            self._is_telling = True
            asyncio.get_running_loop().call_later(TELL_AFTER_S, self._tell_fresh)

    def _tell_fresh(self) -> None:
        self._is_telling = False
        now = read_clock()
        own = CrashNews(tuple(map(_join, self._own.values())), tuple(self._served))
        passed = CrashNews(tuple(self._passed), ())
        self._own, self._served, self._passed = defaultdict(list), [], []
        for crash in own.crashes:
            tell("endpoint_ended", life=crash.life, requests=len(crash.digests))
        near = self._members.list_region()
        self._send(near, passed, now)
        self._send([*near, *self._choose_far()], own, now)

    def _retell(self, now: float) -> None:
        near = self._members.list_region()
        if random.random() >= RETELLERS / (len(near) + 1):
            return
        news = self._quarantine.list_news(now - RETOLD_S, MOST_TOLD)
        far = [name for name in self._members.peers if name not in set(near)]
        chosen = [*_sample(near, NEAR_RETOLD), *_sample(far, FAR_RETOLD)]
        self._send(chosen, news, now)

    def _choose_far(self) -> Iterable[str]:
        """Choose some hosts in each of some other regions."""
        regions: dict[str, list[str]] = {}
        for name, peer in self._members.peers.items():
            if peer.member.region != self._members.own.region:
                regions.setdefault(peer.member.region, []).append(name)
        for region in _sample(list(regions), FAR_REGIONS):
            yield from _sample(regions[region], FAR_HOSTS)

    def _send(self, names: Iterable[str], news: CrashNews, now: float) -> None:
        if not news.crashes and not news.served:
            return
        own = self._members.own.name
        messages = [_encode(own, part, now) for part in _split(news)]
        for name in names:
            for message in messages:
                self.send(name, message)

    def _tell_held(self, crash: Crash, now: float) -> None:
        """Log the requests that are refused from now on."""
        for digest in crash.digests:
            hold = self._quarantine.get_hold(digest, now)
            if hold is not None:
                self._figures.note_event("request_held")
                tell(
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


def _sample(names: list[str], most: int) -> list[str]:
    return random.sample(names, min(most, len(names)))
