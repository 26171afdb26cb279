"""Exchange of the parts of prompts that ran at crashed endpoints, between hosts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from cloverway.core.bad_parts import PartSuspects
from cloverway.core.members import Members, rank_host
from cloverway.core.part_crashes import NEVER, PartCrash, PartUpdate, ServedPart
from cloverway.serving.clock import read_clock
from cloverway.serving.hosts.broadcast import (
    BROADCAST_DELAY_S,
    UpdateBatch,
    is_replying,
    split_into_batches,
)
from cloverway.serving.hosts.crashes import REBROADCAST_S, SYNC_AGE_S, encode_age
from cloverway.serving.hosts.messages import CODEC, EndpointPartCrash, PartReport, PartServed
from cloverway.serving.telemetry import Metrics, log_event

MAX_PARTS_PER_MESSAGE = 64
"""Parts in a message, with up to 12 bytes each and the names of the endpoints: within one packet of
1,500 bytes."""
INCARNATION_SIZE = 4
"""Size of the name of an endpoint incarnation, about 30 bytes, counted in parts."""
MAX_SYNC_PARTS = 256
"""Parts sent to a host on first contact, or on contact after a partition."""
UNKNOWN_MS = -1
REGION_TRIAL_S = 3.0
"""How much later each further region tries a part again that was blocked. A crash in the first one
is reported to the others within a second."""
HOST_TRIAL_S = 0.5
"""The same for each further host of a region."""


class PartExchange:
    """Records which parts of prompts ran at crashed endpoints, and exchanges that with others.

    With a crash hosts tell which of its parts they have seen served. The part that all prompts
    share is at the crashes of several bad ones, and a host that has started just now has no
    answer that speaks for it.
    """

    message = PartReport
    is_regional = False

    def __init__(self, members: Members, block_s: float, metrics: Metrics) -> None:
        self._members = members
        self._metrics = metrics
        self.suspects = PartSuspects(block_s, self._compute_trial_delay)
        self._detected: list[PartCrash] = []
        """Crashes that this host detected and has not broadcast yet."""
        self._served: list[ServedPart] = []
        self._forwarded: list[PartCrash] = []
        self._forwarded_served: list[ServedPart] = []
        """Received from other regions, and not broadcast in this region yet."""
        self.schedule_broadcast: Callable[[float], None] = lambda delay_s: None

    def report_crash(self, crash: PartCrash) -> None:
        """Record that an endpoint apparently crashed while it ran a request with some parts."""
        recorded = self.suspects.record_crash(crash)
        if recorded is not None:
            self._detected.append(recorded)
            self._log_blocked(recorded, crash.at)
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def report_served(self, parts: Iterable[int], sent_at: float) -> None:
        """Record that a request with some parts, sent at a time, got a whole answer."""
        answers = [ServedPart(part, sent_at) for part in parts]
        cleared = [answer for answer in answers if self.suspects.record_served(answer)]
        if cleared:
            self._served += cleared
            log_event("parts_cleared", parts=[f"{answer.part:x}" for answer in cleared])
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def receive(self, report: PartReport, is_remote: bool, now: float) -> None:
        """Apply the report of another host.

        A host of another region sends it to only a few hosts of this region, so it is broadcast
        here.
        """
        answers = [ServedPart(item.part, now - item.age_ms / 1000) for item in report.served]
        for answer in answers:
            self.suspects.record_served(answer, is_own=False)
        received = [_decode_crash(crash, now) for crash in report.crashes]
        recorded = [new for crash in received if (new := self.suspects.record_crash(crash))]
        for crash in recorded:
            self._log_blocked(crash, now)
        self._reply(recorded)
        if is_remote and (recorded or answers):
            self._forwarded += recorded
            self._forwarded_served += answers
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def _reply(self, recorded: Iterable[PartCrash]) -> None:
        """Schedule a reply with the parts of new crashes that this host has seen served."""
        parts = {part for crash in recorded for part in crash.parts}
        served = self.suspects.list_served(parts)
        if served and is_replying(self._members):
            self._served += served
            self.schedule_broadcast(BROADCAST_DELAY_S)

    def take_pending(self, now: float) -> UpdateBatch:
        """Return the pending updates and clear them."""
        detected = PartUpdate(tuple(_merge(self._detected)), tuple(self._served))
        forwarded = PartUpdate(tuple(_merge(self._forwarded)), tuple(self._forwarded_served))
        self._detected, self._served, self._forwarded, self._forwarded_served = [], [], [], []
        messages = self._encode(detected, now)
        return UpdateBatch([*messages, *self._encode(forwarded, now)], messages)

    def list_for_rebroadcast(self, now: float) -> list[bytes]:
        """Return messages with the crashes of the last seconds."""
        update = self.suspects.list_updates(now - REBROADCAST_S, MAX_PARTS_PER_MESSAGE)
        return self._encode(update, now)

    def list_for_joining_host(self, now: float) -> list[bytes]:
        """Return messages with recent crashes, and all of the parts that are bad."""
        recent = self.suspects.list_updates(now - SYNC_AGE_S, MAX_SYNC_PARTS)
        bad = self.suspects.list_bad(MAX_SYNC_PARTS)
        return self._encode(recent._replace(crashes=(*bad, *recent.crashes)), now)

    def _compute_trial_delay(self, part: int) -> float:
        """Return how much later than the first host this one tries a part again."""
        own, key = self._members.own, f"{part:x}"
        alive = [peer.member for peer in self._members.list_alive(read_clock())]
        regions = {own.region, *(member.region for member in alive)}
        hosts = {own.name, *(member.name for member in alive if member.region == own.region)}
        region_rank = sum(rank_host(key, r) < rank_host(key, own.region) for r in regions)
        host_rank = sum(rank_host(key, h) < rank_host(key, own.name) for h in hosts)
        return REGION_TRIAL_S * region_rank + HOST_TRIAL_S * host_rank

    def _encode(self, update: PartUpdate, now: float) -> list[bytes]:
        name = self._members.own.name
        parts = {part for crash in update.crashes for part in crash.parts}
        known = {*update.served, *self.suspects.list_served(parts)}
        served = [_encode_served(answer, now) for answer in known]
        messages = [
            PartReport(name, served=batch)
            for batch in split_into_batches(served, MAX_PARTS_PER_MESSAGE)
        ]
        messages += [PartReport(name, tuple(batch)) for batch in _split(update.crashes, now)]
        return [CODEC.encode(message) for message in messages]

    def _log_blocked(self, crash: PartCrash, now: float) -> None:
        """Log the parts that are blocked from now on."""
        for part in crash.parts:
            block = self.suspects.find_block((part,), now)
            if block is not None:
                self._metrics.record_event("part_held")
                log_event(
                    "part_held",
                    part=f"{part:x}",
                    ends=block.crashes,
                    hold_s=round(block.remaining_s, 1),
                    life=crash.incarnation,
                )


def _merge(crashes: Iterable[PartCrash]) -> Iterator[PartCrash]:
    """Merge the reports of several requests about the crash of one endpoint."""
    merged: dict[str, PartCrash] = {}
    for crash in crashes:
        known = merged.get(crash.incarnation, crash._replace(parts=(), sent_at=()))
        merged[crash.incarnation] = crash._replace(
            parts=(*known.parts, *crash.parts), sent_at=(*known.sent_at, *crash.sent_at)
        )
    return iter(merged.values())


def _split(crashes: Iterable[PartCrash], now: float) -> Iterator[list[EndpointPartCrash]]:
    """Split crashes into batches that fit into one datagram each."""
    batch: list[EndpointPartCrash] = []
    space = MAX_PARTS_PER_MESSAGE
    for crash in crashes:
        for parts in split_into_batches(crash.parts, MAX_PARTS_PER_MESSAGE):
            piece = crash.select(parts)
            size = len(piece.parts) + INCARNATION_SIZE
            if batch and size > space:
                yield batch
                batch, space = [], MAX_PARTS_PER_MESSAGE
            batch.append(_encode_crash(piece, now))
            space -= size
    if batch:
        yield batch


def _encode_served(answer: ServedPart, now: float) -> PartServed:
    return PartServed(answer.part, encode_age(now - answer.sent_at))


def _encode_crash(crash: PartCrash, now: float) -> EndpointPartCrash:
    lasted_ms = tuple(
        UNKNOWN_MS if run.sent_at == NEVER else encode_age(crash.at - run.sent_at)
        for _, run in crash.list_runs()
    )
    return EndpointPartCrash(crash.incarnation, crash.parts, encode_age(now - crash.at), lasted_ms)


def _decode_crash(crash: EndpointPartCrash, now: float) -> PartCrash:
    at = now - crash.age_ms / 1000
    sent_at = (NEVER if ms == UNKNOWN_MS else at - ms / 1000 for ms in crash.lasted_ms)
    return PartCrash(crash.life, crash.parts, at, tuple(sent_at))
