"""Tells other hosts where streams began, and asks them when a caller takes a stream up here."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cloverway.core.endpoints import Directory
from cloverway.core.members import Members, Peer
from cloverway.core.stream_origins import (
    Remembered,
    StreamOrigin,
    StreamOrigins,
    rank_holder,
)
from cloverway.errors import PeerError
from cloverway.serving.clock import read_clock, wait_for_tick
from cloverway.serving.hosts.messages import CODEC, StreamQuery, StreamReply, StreamsBegun
from cloverway.serving.telemetry import Metrics, log_event

TOLD_REGION_HOSTS = 2
"""Hosts of a large region that are told where a stream began. The host that began it may be killed
before its caller comes back, and one of these with it."""
ASKED_REGION_HOSTS = 8
"""Hosts of the region that are asked, first those that are told. In a region of so few, all are
told too: several may be killed in a row, and count as alive for a while."""
ASKED_REMOTE_HOSTS = 2
"""Hosts of each other region that are asked, first the one that may have been told."""
QUERY_TIMEOUT_S = 0.3
"""Time for the answers: the round trip to the farthest region, and a margin."""
SINGLE_VERSION_TIMEOUT_S = 0.1
"""The same where this host can show one version: then it asks only whether a host of its region has
just heard of another one."""
MAX_QUERIES = 256
"""Queries in progress at a time: callers may name any id, and each query is sent to many hosts."""
MAX_STREAMS_PER_MESSAGE = 60
"""Streams in one message: 17 bytes each, within one packet of 1,500 bytes."""
UPDATE_PERIOD_S = 0.4
DEFAULT_LIFE_S = 30.0
"""How long a stream may last at least, over all tries of its caller."""


class Answer(NamedTuple):
    """What this host and the others know of where a stream began."""

    origin: StreamOrigin | None
    """What began it; None if no host remembers it."""
    only_version: str | None = None
    """The only version that served while it may have begun, as another host can show."""
    asked: int = 0
    """Hosts that were asked."""
    answered: int = 0


class _Query:
    """A query in progress."""

    def __init__(self, asked: Iterable[str]) -> None:
        self.waiting_for = set(asked)
        self.asked = len(self.waiting_for)
        self.only_versions: set[str] = set()
        self.result: asyncio.Future[StreamOrigin | None] = (
            asyncio.get_running_loop().create_future()
        )

    def record(self, reply: StreamReply) -> None:
        """Record a reply; the first host that knows the origin ends the query."""
        if reply.host not in self.waiting_for or self.result.done():
            return
        self.waiting_for.discard(reply.host)
        if reply.is_known:
            self.result.set_result(StreamOrigin(reply.service_name, reply.version))
            return
        if reply.only_version:
            self.only_versions.add(reply.only_version)
        if not self.waiting_for:
            self.result.set_result(None)

    def summarize(self, origin: StreamOrigin | None) -> Answer:
        """Return what the replies say."""
        only = next(iter(self.only_versions)) if len(self.only_versions) == 1 else None
        return Answer(origin, only, self.asked, self.asked - len(self.waiting_for))


class StreamOriginExchange:
    """Remembers where streams began, and exchanges that with other hosts.

    While a host can show that a service has one version, it tells nobody: whoever needs to know can
    show it too. From the moment that it can't, it tells a few hosts with each first event, and of
    the streams begun before.
    """

    def __init__(self, members: Members, directory: Directory, metrics: Metrics) -> None:
        self._members = members
        self._directory = directory
        self._metrics = metrics
        self._streams = StreamOrigins()
        self._begun = StreamOrigins()
        """The streams that this host itself relayed; of these it tells others."""
        self._single_version: set[str] = set()
        """The services that had one version only at the last update."""
        self._numbers = itertools.count(1)
        self._queries: dict[int, _Query] = {}
        self.send: Callable[[str, bytes], None] = lambda address, data: None
        """Sends a datagram to a host."""

    async def run(self) -> None:
        """Tell of the streams begun before, whenever a service no longer has one version only."""
        while True:
            await wait_for_tick(UPDATE_PERIOD_S)
            self.update(read_clock())

    def update(self, now: float) -> None:
        """Tell of the streams of each service that had one version only until now."""
        services = self._begun.list_services()
        single = {name for name in services if self._has_single_version(name, now)}
        for service in (self._single_version & services) - single:
            streams = list(self._begun.iterate(service, now))
            log_event("stream_origins_told", service=service, streams=len(streams))
            self._tell(streams, now)
        self._single_version = single

    def record_begun(
        self, keys: Iterable[int], origin: StreamOrigin, until: float, now: float
    ) -> None:
        """Record where a stream began that this host relays, before its caller has an event."""
        streams = [Remembered(key, origin, until) for key in keys]
        for stream in streams:
            self._streams.record(stream.key, origin, until, now)
            self._begun.record(stream.key, origin, until, now)
        if not self._has_single_version(origin.service, now):
            self._tell(streams, now)

    async def find(self, key: int, service: str | None, life_s: float) -> Answer:
        """Find out where a stream began.

        `service` is the only service it can have begun at, if there is only one.
        """
        now = read_clock()
        origin = self._streams.find(key, now)
        if origin is not None or len(self._queries) >= MAX_QUERIES:
            return Answer(origin)
        asked = [peer.member.name for peer in self._list_asked(key, now)]
        if not asked:
            return Answer(None)
        only = service and self._directory.find_only_version(service, life_s, now)
        timeout_s = SINGLE_VERSION_TIMEOUT_S if only else QUERY_TIMEOUT_S
        return await self._ask(asked, key, service, life_s, timeout_s)

    def receive(
        self, message: StreamsBegun | StreamQuery | StreamReply, address: str, now: float
    ) -> None:
        """Apply a message of another host, or answer it at the address that it came from."""
        match message:
            case StreamsBegun(_, service, version, keys, left_ms):
                for key, left in zip(keys, left_ms, strict=False):
                    origin = StreamOrigin(service, version)
                    self._streams.record(key, origin, now + left / 1000, now)
            case StreamQuery():
                self._answer(message, address, now)
            case StreamReply():
                query = self._queries.get(message.number)
                if query is not None:
                    query.record(message)

    async def _ask(
        self, asked: list[str], key: int, service: str | None, life_s: float, timeout_s: float
    ) -> Answer:
        number = next(self._numbers)
        query = self._queries[number] = _Query(asked)
        own = self._members.own.name
        data = CODEC.encode(StreamQuery(own, number, key, service or "", int(life_s * 1000)))
        try:
            for name in asked:
                self.send(name, data)
            async with asyncio.timeout(timeout_s):
                return query.summarize(await query.result)
        except TimeoutError:
            return query.summarize(None)
        finally:
            del self._queries[number]

    def _answer(self, query: StreamQuery, address: str, now: float) -> None:
        origin = self._streams.find(query.key, now)
        only = None
        if origin is None and query.service_name:
            only = self._directory.find_only_version(query.service_name, query.life_ms / 1000, now)
        service, version = origin if origin is not None else ("", "")
        reply = StreamReply(
            self._members.own.name,
            query.number,
            origin is not None,
            service,
            version,
            only or "",
        )
        self.send(address, CODEC.encode(reply))

    def _has_single_version(self, service: str, now: float) -> bool:
        return self._directory.find_only_version(service, DEFAULT_LIFE_S, now) is not None

    def _tell(self, streams: Iterable[Remembered], now: float) -> None:
        told: dict[tuple[str, StreamOrigin], list[Remembered]] = defaultdict(list)
        for stream in streams:
            for peer in self._list_told(stream.key, now):
                told[peer.member.name, stream.origin].append(stream)
        for (name, origin), items in told.items():
            for start in range(0, len(items), MAX_STREAMS_PER_MESSAGE):
                self._send_begun(name, origin, items[start : start + MAX_STREAMS_PER_MESSAGE], now)

    def _send_begun(
        self, name: str, origin: StreamOrigin, streams: list[Remembered], now: float
    ) -> None:
        keys = tuple(stream.key for stream in streams)
        left_ms = tuple(int((stream.until - now) * 1000) for stream in streams)
        own = self._members.own.name
        try:
            data = CODEC.encode(StreamsBegun(own, origin.service, origin.version, keys, left_ms))
        except PeerError as error:
            log_event("stream_origins_not_told", version=origin.version[:40], why=str(error))
            return
        self._metrics.record_event("stream_origin_told")
        self.send(name, data)

    def _list_told(self, key: int, now: float) -> Iterator[Peer]:
        """List the hosts to tell: some of this region, and one of another, if this one is lost."""
        regions = self._group_alive(now)
        own = regions.pop(self._members.own.region, [])
        count = TOLD_REGION_HOSTS if len(own) > ASKED_REGION_HOSTS else len(own)
        yield from _rank(key, own)[:count]
        if regions:
            region = min(regions, key=lambda name: rank_holder(key, name))
            yield from _rank(key, regions[region])[:1]

    def _list_asked(self, key: int, now: float) -> Iterator[Peer]:
        for region, peers in self._group_alive(now).items():
            is_own = region == self._members.own.region
            yield from _rank(key, peers)[: ASKED_REGION_HOSTS if is_own else ASKED_REMOTE_HOSTS]

    def _group_alive(self, now: float) -> dict[str, list[Peer]]:
        regions: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._members.list_alive(now):
            regions[peer.member.region].append(peer)
        return regions


def _rank(key: int, peers: list[Peer]) -> list[Peer]:
    return sorted(peers, key=lambda peer: rank_holder(key, peer.member.name))
