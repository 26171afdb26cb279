"""Which datagrams a host sends and what it makes of those it gets. Pure: it owns no socket.

Puts together membership, readings and summaries; the control loop carries the datagrams.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

from cloverway.config.configuration import READERS_PER_DOMAIN, choose_readers
from cloverway.config.published import Published
from cloverway.config.settings import Timing
from cloverway.core.quarantine import Crash, CrashUpdate
from cloverway.dispatch.ends import CrashTracker
from cloverway.membership.cutting import BLANK, halve
from cloverway.membership.heartbeats import (
    DomainSummary,
    EndRow,
    Heartbeat,
    decode,
    encode,
    format_incarnation,
    tag_of,
)
from cloverway.membership.membership import Membership, Merged
from cloverway.membership.readings import Readings
from cloverway.membership.seal import MAX_DATAGRAM_BYTES, OVERHEAD_BYTES, Seal
from cloverway.membership.summaries import SPEAKERS, Summaries, summarise
from cloverway.membership.view import EndpointState, HostState, Summary

log = logging.getLogger(__name__)

EVERY_BEAT = 3
"""Up to so many siblings get every heartbeat; of more, each gets every second one."""
READS_PER_S = 8.0
"""Load reports that one host reads in a second, at most."""
SILENT_INTERVALS = 1.5
NEWS_S = 1.5
"""How long a change is told again: each sibling gets it two or three times."""
INTRODUCE_BEATS = 4
"""A silent host is tried once in so many heartbeat periods."""
REPLY_S = 0.25
"""How soon one host is answered again."""
WANTED = 64
"""Details that are asked for at one time."""
FULL_EVERY = 7
"""Rounds in which a host tells once of all ends that requests are refused for, and not only of the
last ones. Hosts that start or were cut off learn of them then, without anybody keeping track of who
knows what. An odd number: half of the siblings are told in each round, and always the same half
would be told."""
FAR_HOSTS = 4096
"""Incarnations of other failure domains' hosts whose sequence is remembered."""


class Outgoing(NamedTuple):
    """A datagram to send."""

    address: str
    datagram: bytes


class Received(NamedTuple):
    """What the control loop is to do about a datagram."""

    replies: tuple[Outgoing, ...] = ()
    news: bool = False
    """Something that deciders are to know at once. Siblings are told by who saw it first, thrice,
    and by the tags of the readers' load rows: to tell it on would cost the square of the hosts."""
    host: str = ""
    revision: int = 0
    """The configuration revision of the sender."""
    proven: bool = False
    """The sender knows this incarnation, so it was alive after this process started."""
    replaced: bool = False
    """Another process has taken this host's name: this one is to leave."""


class Own(NamedTuple):
    """What this host says of itself."""

    leaving: bool = False
    overloaded: bool = False
    load: float = 0.0
    revision: int = 0


class Gossip:
    """One host's part of the exchange."""

    def __init__(
        self,
        host: str,
        domain: str,
        *,
        incarnation: int,
        timing: Timing,
        seal: Seal,
        random: Random,
        ends: CrashTracker,
    ) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self.ends = ends
        self.own = Own()
        self.members = Membership(host, incarnation, timing.suspect_s)
        self.readings = Readings(
            timing.suspect_s + SILENT_INTERVALS * READERS_PER_DOMAIN * timing.report_s
        )
        self.summaries = Summaries(domain, timing.summary_s)
        self._timing = timing
        self._seal = seal
        self._random = random
        self._published: Published | None = None
        self._endpoints: tuple[str, ...] = ()
        self._ranked_for: tuple[str, ...] = ()
        self._to_read: list[str] = []
        self._sequence = 0
        self._turn = 0
        self._speaker_turn = 0
        self._told_at: dict[str, float] = {}
        self._introduced_at: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        self._asked: dict[str, set[str]] = {}
        self._relays: list[tuple[float, DomainSummary]] = []
        self._far: dict[tuple[str, int], int] = {}
        self.resumed_at = float("-inf")

    def adopt(self, published: Published) -> None:
        """Take a new configuration."""
        self._published = published
        self.members.adopt(published.hosts_of(self.domain))
        self._endpoints = tuple(published.endpoints_of(self.domain))
        self._ranked_for = ()
        self.readings.adopt(self._endpoints)
        self.summaries.adopt(published)
        gone = set(self._told_at).difference(published.hosts)
        for table in (self._told_at, self._introduced_at, self._replied_at, self._asked):
            for name in gone:
                table.pop(name, None)  # type: ignore[attr-defined]

    def resume(self, paused_at: float, now: float) -> None:
        """Note that this process did not run between two times."""
        self.members.resume(paused_at, now)
        self.readings.resume(now)
        self.resumed_at = now

    def beat(self, now: float) -> Iterator[Outgoing]:
        """Give the datagrams of one regular round: half of the siblings, in turn."""
        self._turn += 1
        live = sorted(self.members.live(now))
        # A question goes to all: half of them might leave too little time for a second try.
        step = 1 if len(live) <= EVERY_BEAT or self.members.doubts(now) else 2
        self._collect_relays(now)
        yield from self._tell(live[self._turn % step :: step], now)
        yield from self._introduce(now)

    def spread(self, now: float) -> Iterator[Outgoing]:
        """Give the datagrams that tell all siblings at once."""
        self._collect_relays(now)
        return self._tell(sorted(self.members.live(now)), now)

    def speak(self, now: float) -> Iterator[Outgoing]:
        """Give the datagrams to other failure domains, if this host is one that speaks."""
        if self._published is None or not self._speaks(now):
            return
        self._speaker_turn += 1
        for domain in self.summaries.plan(self._speaker_turn):
            yield from self._tell_domain(domain, now)

    def receive(self, datagram: bytes, at: float, now: float) -> Received:
        """Take a datagram that was sent at or after `at`; raise PeerError when it is not ours."""
        opened = self._seal.open(datagram)
        beat = decode(opened.body)
        if self._published is None:
            return Received(host=beat.host, revision=beat.revision)
        if beat.host not in self._published.hosts:
            return Received(host=beat.host, revision=beat.revision)
        if self._published.hosts[beat.host].domain != self.domain:
            return self._receive_far(beat, opened.to, at, now)
        return self._receive_near(beat, opened.to, at, now)

    def near_hosts(self, now: float) -> dict[str, HostState]:
        """Give the live hosts of the own failure domain."""
        return self.members.states(self.domain, now)

    def far_hosts(self, now: float) -> dict[str, HostState]:
        """Give the live hosts of other failure domains."""
        return {state.name: state for state in self.summaries.host_states(now)}

    def endpoints(self, now: float) -> dict[str, EndpointState]:
        """Give the endpoints of the own failure domain."""
        return self.readings.states(now)

    def capacities(self, now: float) -> dict[tuple[str, str], Summary]:
        """Give what other failure domains offer."""
        return self.summaries.states(now)

    def endpoints_to_read(self, now: float) -> list[str]:
        """List the endpoints that this host is to read: two live hosts for each."""
        staying = tuple(self.members.staying(now))
        if staying != self._ranked_for:
            # Hashing every endpoint in each round took most of the time of the whole loop.
            self._ranked_for = staying
            self._to_read = [name for name in self._endpoints if self._reads(name, staying)]
        return self._to_read

    def _reads(self, name: str, staying: tuple[str, ...]) -> bool:
        alone = name in self.readings.alone
        return alone or self.host in choose_readers(staying, self.domain, f"endpoint {name}")

    def read_interval(self, now: float) -> float:
        """Give how often each reader reads an endpoint, in seconds.

        The two readers of an endpoint take turns; with many endpoints for each host the interval
        grows, so that a host's work does not.
        """
        hosts = len(self.members.staying(now))
        endpoints = len(self._endpoints)
        readers = min(READERS_PER_DOMAIN, hosts)
        interval = max(readers * self._timing.report_s, readers * endpoints / hosts / READS_PER_S)
        self.readings.silent_s = self._timing.suspect_s + SILENT_INTERVALS * interval
        return interval

    def _receive_near(self, beat: Heartbeat, to: int, at: float, now: float) -> Received:
        merged = self.members.merge(beat, to, at)
        if merged is Merged.UNPROVEN:
            return Received(self._reply(beat, now), host=beat.host, revision=beat.revision)
        if merged is Merged.RETIRED:
            return Received(self._reply(beat, now, retired=beat.incarnation), host=beat.host)
        if merged is Merged.OWN_NAME:
            return Received(host=beat.host)
        if merged is Merged.REPLAYED:
            return Received(host=beat.host)
        news = merged is Merged.NEWS
        self.members.hear_relayed(beat.heard, at)
        news = self.readings.take_details(beat.details, at) or news
        self.readings.take_loads(beat.loads, at)
        self._note_asked(beat)
        self.ends.apply_update(_read_ends(beat, at), now)
        for summary in beat.summaries:
            self.summaries.take(summary, at, direct=False)
        return Received(
            replies=self._vouch(beat, now),
            news=news,
            host=beat.host,
            revision=beat.revision,
            proven=True,
            replaced=beat.retired == self.incarnation,
        )

    def _receive_far(self, beat: Heartbeat, to: int, at: float, now: float) -> Received:
        if to != tag_of(self.incarnation):
            return Received(self._reply_far(beat, now), host=beat.host, revision=beat.revision)
        sender = (beat.host, beat.incarnation)
        if beat.sequence <= self._far.get(sender, 0):
            return Received(host=beat.host)
        self._far.pop(sender, None)
        self._far[sender] = beat.sequence
        if len(self._far) > FAR_HOSTS:
            del self._far[next(iter(self._far))]
        self.ends.apply_update(_read_ends(beat, at), now)
        for summary in beat.summaries:
            self.summaries.take(summary, at, direct=True)
        return Received(host=beat.host, revision=beat.revision, proven=True)

    def _note_asked(self, beat: Heartbeat) -> None:
        names = filter(None, map(self.readings.name_of, beat.wanted))
        asked = set(names)
        if asked:
            self._asked.setdefault(beat.host, set()).update(asked)

    def _vouch(self, beat: Heartbeat, now: float) -> tuple[Outgoing, ...]:
        """Answer at once what a sibling asks: is some host alive, or this one itself."""
        heard = self.members.vouch(beat.doubted, now)
        if not heard and self.members.tag not in beat.doubted:
            return ()
        message = self._head(BLANK._replace(heard=heard))
        return (self._address(beat.host, message, tag_of(beat.incarnation)),)

    def _reply(self, beat: Heartbeat, now: float, retired: int = 0) -> tuple[Outgoing, ...]:
        """Answer a host that does not know this incarnation, or that was replaced.

        It goes to the published address only, and seldom: a forged source draws no traffic.
        """
        if now - self._replied_at.get(beat.host, float("-inf")) < REPLY_S:
            return ()
        self._replied_at[beat.host] = now
        message = self._head()._replace(retired=retired)
        return (self._address(beat.host, message, tag_of(beat.incarnation)),)

    def _reply_far(self, beat: Heartbeat, now: float) -> tuple[Outgoing, ...]:
        if now - self._replied_at.get(beat.host, float("-inf")) < REPLY_S:
            return ()
        self._replied_at[beat.host] = now
        message = self._head()._replace(summaries=(self._summarise(now),))
        return (self._address(beat.host, message, tag_of(beat.incarnation)),)

    def _tell(self, names: Iterable[str], now: float) -> Iterator[Outgoing]:
        wanted = self.readings.lacking(WANTED)
        news = self._list_ends(self._turn, now)
        questions = news._replace(doubted=self.members.doubts(now), wanted=wanted)
        for name in names:
            message = self._collect(questions, name, now)
            yield from self._address_parts(name, message, self.members.tag_for(name))
            self._told_at[name] = now

    def _collect(self, questions: Heartbeat, name: str, now: float) -> Heartbeat:
        since = self._told_at.get(name, float("-inf"))
        names = {*self.readings.news(now - NEWS_S), *self._asked.pop(name, ())}
        return questions._replace(
            loads=self.readings.rows(since, now),
            details=tuple(self.readings.details(sorted(names), now)),
            summaries=tuple(
                summary._replace(age_s=summary.age_s + now - at)
                for at, summary in self._relays
                if at > since
            ),
        )

    def _collect_relays(self, now: float) -> None:
        fresh = [(at, summary) for at, summary in self._relays if now - at < NEWS_S]
        self._relays = fresh + [(now, summary) for summary in self.summaries.to_relay(now)]

    def _introduce(self, now: float) -> Iterator[Outgoing]:
        pause_s = INTRODUCE_BEATS * self._timing.heartbeat_s
        for name in self.members.silent(now):
            if now - self._introduced_at.get(name, float("-inf")) >= pause_s:
                self._introduced_at[name] = now
                yield self._address(name, self._head(), self.members.tag_for(name))

    def _speaks(self, now: float) -> bool:
        staying = self.members.staying(now)
        return self.host in choose_readers(staying, self.domain, "speaker", SPEAKERS)

    def _tell_domain(self, domain: str, now: float) -> Iterator[Outgoing]:
        hosts = self.summaries.hosts_to_tell(domain)
        if hosts:
            name, tag = self._random.choice(hosts)
            message = self._list_ends(self._speaker_turn, now)
            message = message._replace(summaries=(self._summarise(now),))
            yield from self._address_parts(name, message, tag)

    def _list_ends(self, turn: int, now: float) -> Heartbeat:
        """Give a message with the endpoints that ended lately; by turns with more of them."""
        news = self.ends.list_updates(now, full=turn % FULL_EVERY == 0)
        rows = tuple(EndRow(end.incarnation, end.digests, now - end.at) for end in news.crashes)
        return BLANK._replace(ends=rows, served=news.served)

    def _summarise(self, now: float) -> DomainSummary:
        own = HostState(
            name=self.host,
            domain=self.domain,
            incarnation=format_incarnation(self.incarnation),
            leaving=self.own.leaving,
            overloaded=self.own.overloaded,
            load=self.own.load,
        )
        hosts = [own, *self.members.states(self.domain, now).values()]
        return summarise(self.domain, self.own.revision, hosts, self.readings.states(now))

    def _head(self, message: Heartbeat = BLANK) -> Heartbeat:
        self._sequence += 1
        return message._replace(
            host=self.host,
            incarnation=self.incarnation,
            sequence=self._sequence,
            leaving=self.own.leaving,
            overloaded=self.own.overloaded,
            load=self.own.load,
            revision=self.own.revision,
        )

    def _address(self, name: str, message: Heartbeat, tag: int) -> Outgoing:
        assert self._published is not None
        return Outgoing(self._published.hosts[name].peers, self._seal.close(encode(message), tag))

    def _address_parts(self, name: str, message: Heartbeat, tag: int) -> Iterator[Outgoing]:
        """Give as many datagrams as the message needs; what fits none by itself is left out."""
        assert self._published is not None
        body = encode(self._head(message))
        if len(body) + OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES:
            yield Outgoing(self._published.hosts[name].peers, self._seal.close(body, tag))
            return
        halves = halve(message)
        if not halves:
            log.warning("a heartbeat is too long for a datagram", extra={"bytes": len(body)})
        for half in halves:
            yield from self._address_parts(name, half, tag)


def _read_ends(beat: Heartbeat, at: float) -> CrashUpdate:
    """Give what a heartbeat that was sent at or after `at` tells of ends."""
    crashes = (Crash(row.life, row.digests, at - row.age_s) for row in beat.ends)
    return CrashUpdate(tuple(crashes), beat.served)
