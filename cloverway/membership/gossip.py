"""The gossip protocol of one host: which datagrams it sends and how it applies those received.

Combines `membership`, `endpoint_table` and `summaries`. It has no socket and no clock; the control
loop sends and receives the datagrams. Other hosts of the same failure domain are called siblings.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

from cloverway.config.configuration import READERS_PER_DOMAIN, choose_readers
from cloverway.config.published import Published
from cloverway.config.settings import Timing
from cloverway.core.quarantine import Crash, CrashUpdate, ServedRequest
from cloverway.dispatch.ends import CrashTracker
from cloverway.membership.datagram_auth import (
    MAX_DATAGRAM_BYTES,
    OVERHEAD_BYTES,
    DatagramAuthenticator,
)
from cloverway.membership.endpoint_table import EndpointTable
from cloverway.membership.heartbeats import (
    CrashRow,
    DomainSummary,
    Heartbeat,
    ServedRow,
    decode,
    encode,
    format_incarnation,
    get_incarnation_tag,
)
from cloverway.membership.membership import Membership, MergeResult
from cloverway.membership.splitting import EMPTY_HEARTBEAT, split_heartbeat
from cloverway.membership.summaries import SUMMARY_SENDERS, Summaries, summarize_domain
from cloverway.membership.view import EndpointState, HostState, Summary

log = logging.getLogger(__name__)

MAX_FULL_FANOUT = 3
"""Up to this many siblings, each gets every heartbeat; with more, each gets every second one."""
MAX_READS_PER_S = 8.0
"""Maximum rate at which one host reads load reports."""
MISSED_READ_INTERVALS = 1.5
"""Read intervals that are added to `suspect_s` before an endpoint without a report is unknown."""
REBROADCAST_S = 1.5
"""How long a change is sent again, so that each sibling gets it two or three times."""
PROBE_INTERVAL_HEARTBEATS = 4
"""A silent host is probed once in this number of heartbeat periods."""
MIN_REPLY_INTERVAL_S = 0.25
"""Minimum time between two replies to one host."""
MAX_DETAIL_REQUESTS = 64
"""Endpoint details that one heartbeat requests."""
FULL_STATE_EVERY = 7
"""One in this number of rounds carries all crashes for which requests are refused, instead of the
recent ones only. So hosts that started or were cut off learn of them, and no host has to record
what the others know. The number is odd because each round reaches half of the siblings: with an
even one, the full state would always reach the same half."""
MAX_REMOTE_SENDERS = 4096
"""Host incarnations of other failure domains whose last sequence number is retained."""


class Outgoing(NamedTuple):
    """A datagram to send."""

    address: str
    datagram: bytes


class Received(NamedTuple):
    """What the control loop has to do after a datagram."""

    replies: tuple[Outgoing, ...] = ()
    state_changed: bool = False
    """Something changed that decisions need at once, so a new view is due. The change is not
    forwarded to siblings: the host that detected it sends it three times, and the tags in the load
    rows reveal it to a host that missed it. Forwarding would take a number of datagrams that grows
    with the square of the number of hosts."""
    host: str = ""
    revision: int = 0
    """Configuration revision of the sender."""
    is_fresh: bool = False
    """The datagram is addressed to this incarnation, so it was sent after this process started."""
    replaced: bool = False
    """Another process uses this host's name, so this one has to leave."""


class LocalState(NamedTuple):
    """What this host announces about itself."""

    leaving: bool = False
    overloaded: bool = False
    load: float = 0.0
    revision: int = 0


class Gossip:
    """The gossip protocol state of one host."""

    def __init__(
        self,
        host: str,
        domain: str,
        *,
        incarnation: int,
        timing: Timing,
        authenticator: DatagramAuthenticator,
        random: Random,
        crash_tracker: CrashTracker,
    ) -> None:
        self.host = host
        self.domain = domain
        self.incarnation = incarnation
        self.crash_tracker = crash_tracker
        self.local_state = LocalState()
        self.members = Membership(host, incarnation, timing.suspect_s)
        self.endpoint_table = EndpointTable(
            timing.suspect_s + MISSED_READ_INTERVALS * READERS_PER_DOMAIN * timing.report_s
        )
        self.summaries = Summaries(domain, timing.summary_s)
        self._timing = timing
        self._authenticator = authenticator
        self._random = random
        self._published: Published | None = None
        self._endpoints: tuple[str, ...] = ()
        self._assigned_among: tuple[str, ...] = ()
        self._assigned_endpoints: list[str] = []
        self._sequence = 0
        self._turn = 0
        self._summary_turn = 0
        self._sent_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._replied_at: dict[str, float] = {}
        self._requested_details: dict[str, set[str]] = {}
        self._relays: list[tuple[float, DomainSummary]] = []
        self._remote_sequences: dict[tuple[str, int], int] = {}
        self.resumed_at = float("-inf")

    def adopt(self, published: Published) -> None:
        """Apply a new configuration."""
        self._published = published
        self.members.adopt(published.hosts_of(self.domain))
        self._endpoints = tuple(published.endpoints_of(self.domain))
        self._assigned_among = ()
        self.endpoint_table.adopt(self._endpoints)
        self.summaries.adopt(published)
        gone = set(self._sent_at).difference(published.hosts)
        for table in (self._sent_at, self._probed_at, self._replied_at, self._requested_details):
            for name in gone:
                table.pop(name, None)  # type: ignore[attr-defined]

    def resume(self, paused_at: float, now: float) -> None:
        """Record that this process was paused between two times."""
        self.members.resume(paused_at, now)
        self.endpoint_table.resume(now)
        self.summaries.resume(paused_at, now)
        self.resumed_at = now

    def make_heartbeats(self, now: float) -> Iterator[Outgoing]:
        """Yield the datagrams of one regular round: to half of the siblings, alternately."""
        self._turn += 1
        live = sorted(self.members.list_live(now))
        # A question about a silent host goes to all siblings: with half of them per round there
        # might be too little time left for a second attempt.
        step = 1 if len(live) <= MAX_FULL_FANOUT or self.members.list_doubted(now) else 2
        self._collect_relays(now)
        yield from self._make_sibling_heartbeats(live[self._turn % step :: step], now)
        yield from self._make_probes(now)

    def make_broadcast(self, now: float) -> Iterator[Outgoing]:
        """Yield the datagrams of a broadcast to all siblings."""
        self._collect_relays(now)
        return self._make_sibling_heartbeats(sorted(self.members.list_live(now)), now)

    def make_summaries(self, now: float) -> Iterator[Outgoing]:
        """Yield the summaries for other failure domains, if this host is one of their senders."""
        if self._published is None or not self._is_summary_sender(now):
            return
        self._summary_turn += 1
        for domain in self.summaries.choose_domains(self._summary_turn):
            yield from self._make_domain_summary(domain, now)

    def receive(self, datagram: bytes, at: float, now: float) -> Received:
        """Apply a datagram that was sent at or after `at`.

        Raise PeerError when the datagram is malformed or was not made with the shared secret.
        """
        verified = self._authenticator.verify(datagram)
        heartbeat = decode(verified.body)
        if self._published is None:
            return Received(host=heartbeat.host, revision=heartbeat.revision)
        if heartbeat.host not in self._published.hosts:
            return Received(host=heartbeat.host, revision=heartbeat.revision)
        if self._published.hosts[heartbeat.host].domain != self.domain:
            return self._receive_remote(heartbeat, verified.recipient_tag, at, now)
        return self._receive_from_sibling(heartbeat, verified.recipient_tag, at, now)

    def get_domain_hosts(self, now: float) -> dict[str, HostState]:
        """Return the live hosts of the own failure domain, by name."""
        return self.members.get_states(self.domain, now)

    def get_remote_hosts(self, now: float) -> dict[str, HostState]:
        """Return the live hosts of other failure domains, by name."""
        return {state.name: state for state in self.summaries.make_host_states(now)}

    def get_endpoints(self, now: float) -> dict[str, EndpointState]:
        """Return the endpoints of the own failure domain, by name."""
        return self.endpoint_table.get_states(now)

    def get_remote_capacity(self, now: float) -> dict[tuple[str, str], Summary]:
        """Return the capacity of other failure domains, by (failure domain, target)."""
        return self.summaries.get_states(now)

    def list_endpoints_to_read(self, now: float) -> list[str]:
        """List the endpoints whose load this host reads; each is read by two live hosts."""
        active = tuple(self.members.list_active(now))
        if active != self._assigned_among:
            # Cached, because hashing all endpoints in each round takes most of the loop's time.
            self._assigned_among = active
            self._assigned_endpoints = [
                name for name in self._endpoints if self._is_reader_of(name, active)
            ]
        return self._assigned_endpoints

    def _is_reader_of(self, name: str, active: tuple[str, ...]) -> bool:
        colliding = name in self.endpoint_table.colliding
        return colliding or self.host in choose_readers(active, self.domain, f"endpoint {name}")

    def update_read_interval(self, now: float) -> float:
        """Return the seconds between two reads of an endpoint by one host.

        The two readers of an endpoint alternate. With many endpoints per host the interval grows,
        so that the read rate of a host stays bounded. The time after which an endpoint without a
        report is unknown is updated with it.
        """
        hosts = len(self.members.list_active(now))
        endpoints = len(self._endpoints)
        readers = min(READERS_PER_DOMAIN, hosts)
        interval = max(
            readers * self._timing.report_s, readers * endpoints / hosts / MAX_READS_PER_S
        )
        self.endpoint_table.silence_timeout_s = (
            self._timing.suspect_s + MISSED_READ_INTERVALS * interval
        )
        return interval

    def _receive_from_sibling(
        self, heartbeat: Heartbeat, recipient_tag: int, at: float, now: float
    ) -> Received:
        result = self.members.merge(heartbeat, recipient_tag, at)
        if result is MergeResult.OTHER_RECIPIENT:
            return Received(
                self._reply(heartbeat, now), host=heartbeat.host, revision=heartbeat.revision
            )
        if result is MergeResult.RETIRED:
            return Received(
                self._reply(heartbeat, now, retired=heartbeat.incarnation), host=heartbeat.host
            )
        if result is MergeResult.OWN_NAME:
            return Received(host=heartbeat.host)
        if result is MergeResult.REPLAYED:
            return Received(host=heartbeat.host)
        state_changed = result is MergeResult.CHANGED
        self.members.apply_relayed(heartbeat.heard, at)
        state_changed = self.endpoint_table.apply_details(heartbeat.details, at) or state_changed
        self.endpoint_table.apply_loads(heartbeat.loads, at)
        self._note_detail_requests(heartbeat)
        self.crash_tracker.apply_update(_parse_crashes(heartbeat, at), now)
        for summary in heartbeat.summaries:
            self.summaries.apply(summary, at, direct=False)
        return Received(
            replies=self._answer_doubts(heartbeat, now),
            state_changed=state_changed,
            host=heartbeat.host,
            revision=heartbeat.revision,
            is_fresh=True,
            replaced=heartbeat.retired == self.incarnation,
        )

    def _receive_remote(
        self, heartbeat: Heartbeat, recipient_tag: int, at: float, now: float
    ) -> Received:
        if recipient_tag != get_incarnation_tag(self.incarnation):
            return Received(
                self._reply_remote(heartbeat, now), host=heartbeat.host, revision=heartbeat.revision
            )
        sender = (heartbeat.host, heartbeat.incarnation)
        if heartbeat.sequence <= self._remote_sequences.get(sender, 0):
            return Received(host=heartbeat.host)
        self._remote_sequences.pop(sender, None)
        self._remote_sequences[sender] = heartbeat.sequence
        if len(self._remote_sequences) > MAX_REMOTE_SENDERS:
            del self._remote_sequences[next(iter(self._remote_sequences))]
        self.crash_tracker.apply_update(_parse_crashes(heartbeat, at), now)
        for summary in heartbeat.summaries:
            self.summaries.apply(summary, at, direct=True)
        return Received(host=heartbeat.host, revision=heartbeat.revision, is_fresh=True)

    def _note_detail_requests(self, heartbeat: Heartbeat) -> None:
        names = filter(None, map(self.endpoint_table.get_name, heartbeat.requested_details))
        requested = set(names)
        if requested:
            self._requested_details.setdefault(heartbeat.host, set()).update(requested)

    def _answer_doubts(self, heartbeat: Heartbeat, now: float) -> tuple[Outgoing, ...]:
        """Answer at once when a sibling asks whether some hosts, or this one, are alive."""
        heard = self.members.confirm_alive(heartbeat.doubted, now)
        if not heard and self.members.tag not in heartbeat.doubted:
            return ()
        message = self._add_header(EMPTY_HEARTBEAT._replace(heard=heard))
        return (
            self._make_datagram(
                heartbeat.host, message, get_incarnation_tag(heartbeat.incarnation)
            ),
        )

    def _reply(self, heartbeat: Heartbeat, now: float, retired: int = 0) -> tuple[Outgoing, ...]:
        """Reply to a host that does not know this incarnation, or that was replaced.

        The reply goes to the published address only, and at a limited rate, so a forged source
        address can't cause traffic to a third party.
        """
        if now - self._replied_at.get(heartbeat.host, float("-inf")) < MIN_REPLY_INTERVAL_S:
            return ()
        self._replied_at[heartbeat.host] = now
        message = self._add_header()._replace(retired=retired)
        return (
            self._make_datagram(
                heartbeat.host, message, get_incarnation_tag(heartbeat.incarnation)
            ),
        )

    def _reply_remote(self, heartbeat: Heartbeat, now: float) -> tuple[Outgoing, ...]:
        if now - self._replied_at.get(heartbeat.host, float("-inf")) < MIN_REPLY_INTERVAL_S:
            return ()
        self._replied_at[heartbeat.host] = now
        message = self._add_header()._replace(summaries=(self._summarize_own_domain(now),))
        return (
            self._make_datagram(
                heartbeat.host, message, get_incarnation_tag(heartbeat.incarnation)
            ),
        )

    def _make_sibling_heartbeats(self, names: Iterable[str], now: float) -> Iterator[Outgoing]:
        missing = self.endpoint_table.list_missing_details(MAX_DETAIL_REQUESTS)
        crashes = self._make_crash_message(self._turn, now)
        message = crashes._replace(
            doubted=self.members.list_doubted(now), requested_details=missing
        )
        for name in names:
            heartbeat = self._add_updates(message, name, now)
            yield from self._make_datagrams(name, heartbeat, self.members.get_tag(name))
            self._sent_at[name] = now

    def _add_updates(self, message: Heartbeat, name: str, now: float) -> Heartbeat:
        since = self._sent_at.get(name, float("-inf"))
        names = {
            *self.endpoint_table.list_changed(now - REBROADCAST_S),
            *self._requested_details.pop(name, ()),
        }
        return message._replace(
            loads=self.endpoint_table.list_load_rows(since, now),
            details=tuple(self.endpoint_table.list_details(sorted(names), now)),
            summaries=tuple(
                summary._replace(age_s=summary.age_s + now - at)
                for at, summary in self._relays
                if at > since
            ),
        )

    def _collect_relays(self, now: float) -> None:
        fresh = [(at, summary) for at, summary in self._relays if now - at < REBROADCAST_S]
        self._relays = fresh + [(now, summary) for summary in self.summaries.take_due_relays(now)]

    def _make_probes(self, now: float) -> Iterator[Outgoing]:
        interval_s = PROBE_INTERVAL_HEARTBEATS * self._timing.heartbeat_s
        for name in self.members.list_silent(now):
            if now - self._probed_at.get(name, float("-inf")) >= interval_s:
                self._probed_at[name] = now
                yield self._make_datagram(name, self._add_header(), self.members.get_tag(name))

    def _is_summary_sender(self, now: float) -> bool:
        active = self.members.list_active(now)
        return self.host in choose_readers(active, self.domain, "speaker", SUMMARY_SENDERS)

    def _make_domain_summary(self, domain: str, now: float) -> Iterator[Outgoing]:
        hosts = self.summaries.list_recipients(domain)
        if hosts:
            name, tag = self._random.choice(hosts)
            message = self._make_crash_message(self._summary_turn, now)
            message = message._replace(summaries=(self._summarize_own_domain(now),))
            yield from self._make_datagrams(name, message, tag)

    def _make_crash_message(self, turn: int, now: float) -> Heartbeat:
        """Return a heartbeat with the recent crashes; see FULL_STATE_EVERY for the older ones."""
        update = self.crash_tracker.list_updates(now, full=turn % FULL_STATE_EVERY == 0)
        rows = tuple(
            CrashRow(crash.incarnation, crash.digests, now - crash.at) for crash in update.crashes
        )
        excused = tuple(ServedRow(item.digest, now - item.at) for item in update.excused)
        return EMPTY_HEARTBEAT._replace(crashes=rows, served=update.served, excused=excused)

    def _summarize_own_domain(self, now: float) -> DomainSummary:
        own = HostState(
            name=self.host,
            domain=self.domain,
            incarnation=format_incarnation(self.incarnation),
            leaving=self.local_state.leaving,
            overloaded=self.local_state.overloaded,
            load=self.local_state.load,
        )
        hosts = [own, *self.members.get_states(self.domain, now).values()]
        return summarize_domain(
            self.domain, self.local_state.revision, hosts, self.endpoint_table.get_states(now)
        )

    def _add_header(self, message: Heartbeat = EMPTY_HEARTBEAT) -> Heartbeat:
        self._sequence += 1
        return message._replace(
            host=self.host,
            incarnation=self.incarnation,
            sequence=self._sequence,
            leaving=self.local_state.leaving,
            overloaded=self.local_state.overloaded,
            load=self.local_state.load,
            revision=self.local_state.revision,
        )

    def _make_datagram(self, name: str, message: Heartbeat, tag: int) -> Outgoing:
        assert self._published is not None
        return Outgoing(
            self._published.hosts[name].peers, self._authenticator.sign(encode(message), tag)
        )

    def _make_datagrams(self, name: str, message: Heartbeat, tag: int) -> Iterator[Outgoing]:
        """Yield a message in as many datagrams as it needs.

        An item that does not fit into one datagram by itself is left out.
        """
        assert self._published is not None
        body = encode(self._add_header(message))
        if len(body) + OVERHEAD_BYTES <= MAX_DATAGRAM_BYTES:
            yield Outgoing(self._published.hosts[name].peers, self._authenticator.sign(body, tag))
            return
        parts = split_heartbeat(message)
        if not parts:
            log.warning("a heartbeat does not fit into a datagram", extra={"bytes": len(body)})
        for part in parts:
            yield from self._make_datagrams(name, part, tag)


def _parse_crashes(heartbeat: Heartbeat, at: float) -> CrashUpdate:
    """Return the crashes in a heartbeat that was sent at or after `at`."""
    parsed = (Crash(row.incarnation, row.digests, at - row.age_s) for row in heartbeat.crashes)
    excused = (ServedRequest(row.digest, at - row.age_s) for row in heartbeat.excused)
    return CrashUpdate(tuple(parsed), heartbeat.served, tuple(excused))
