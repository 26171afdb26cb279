"""Who is alive in a failure domain, as one host knows it. Pure: no socket, clock or random source.

A host is known by its incarnation, which it draws when it starts. Within one incarnation the
sequence only grows and leaving is never taken back; another incarnation retires the one before.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from cloverway.membership.heartbeats import Heartbeat, format_incarnation, get_incarnation_tag
from cloverway.membership.view import HostState

MAX_RETIRED_INCARNATIONS = 16
"""Replaced incarnations that are remembered for one name."""
INDIRECT_PROBE_FRACTION = 0.55
"""Part of the time that counts as dead after which others are asked about a host."""
RETIREMENT_S = 30.0
"""How long a replaced incarnation stays refused when the one after it has fallen silent."""
NEVER = float("-inf")


class Merged(StrEnum):
    """What became of a heartbeat."""

    NEWS = "news"
    """A host has joined, was replaced, or is leaving: others are to know at once."""
    KNOWN = "known"
    STRANGER = "stranger"
    """The sender is not in the configuration."""
    UNPROVEN = "unproven"
    """It was not meant for this incarnation; it may be a replay from before this host started."""
    REPLAYED = "replayed"
    RETIRED = "retired"
    """The sender was replaced by a later incarnation."""
    OWN_NAME = "own_name"
    """Another process uses this host's name."""


class Member(NamedTuple):
    """What is known of one incarnation of a host."""

    incarnation: int
    sequence: int
    leaving: bool
    overloaded: bool
    load: float
    revision: int
    heard_at: float
    """When it was last heard, by this host or by one that told so."""
    direct_heard_at: float
    """When it was last heard by this host itself."""
    relayed_sequence: int = 0
    """The highest sequence that another host told of."""
    grace_until: float = NEVER
    """Until when its silence is not held against it."""


class Retired(NamedTuple):
    """A replaced incarnation."""

    sequence: int
    at: float


class Membership:
    """The hosts of one failure domain, without the host itself."""

    def __init__(self, host: str, incarnation: int, suspect_s: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.tag = get_incarnation_tag(incarnation)
        self.suspect_s = suspect_s
        self._members: dict[str, Member | None] = {}
        self._tags: dict[int, str] = {}
        self._retired: dict[str, dict[int, Retired]] = {}

    def adopt(self, names: Iterable[str]) -> None:
        """Take the published hosts of the failure domain; forget hosts that are gone."""
        known = self._members
        self._members = {name: known.get(name) for name in names if name != self.host}
        self._retired = {name: self._retired.get(name, {}) for name in self._members}
        self._rebuild_tags()

    def merge(self, heartbeat: Heartbeat, recipient_tag: int, at: float) -> Merged:
        """Take in a heartbeat that was sent at or after a time, for the incarnation tagged `to`."""
        if heartbeat.host == self.host:
            return Merged.KNOWN if heartbeat.incarnation == self.incarnation else Merged.OWN_NAME
        if heartbeat.host not in self._members:
            return Merged.STRANGER
        if recipient_tag != self.tag:
            # A recorded datagram is as well sealed as a new one. Only a host that has heard this
            # incarnation can name it, so nothing from before this process started is believed.
            return Merged.UNPROVEN
        known = self._members[heartbeat.host]
        if (
            known
            and known.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= known.sequence
        ):
            return Merged.REPLAYED
        if self._is_retired(heartbeat, known, at):
            return Merged.RETIRED
        return self._store(heartbeat, known, at)

    def is_live(self, name: str, now: float) -> bool:
        """Tell whether a host was heard lately enough to be used."""
        member = self._members.get(name)
        return member is not None and _is_live(member, now, self.suspect_s)

    def list_live(self, now: float) -> list[str]:
        """List the hosts that are alive, with those that are leaving, but for this one."""
        return [name for name in self._members if self.is_live(name, now)]

    def list_staying(self, now: float) -> list[str]:
        """List the hosts that are alive and not leaving, with this one; its caller knows of it."""
        members = self._members
        stay = [name for name in self.list_live(now) if not (m := members[name]) or not m.leaving]
        return [*stay, self.host]

    def list_silent(self, now: float) -> list[str]:
        """List the published hosts that are not heard."""
        return [name for name in self._members if not self.is_live(name, now)]

    def get_tag(self, name: str) -> int:
        """Give the tag of a host's present incarnation, or 0."""
        member = self._members.get(name)
        return get_incarnation_tag(member.incarnation) if member else 0

    def get_states(self, domain: str, now: float) -> dict[str, HostState]:
        """Give the live hosts for the view."""
        return {
            name: HostState(
                name=name,
                domain=domain,
                incarnation=format_incarnation(member.incarnation),
                leaving=member.leaving,
                overloaded=member.overloaded,
                load=member.load,
                revision=member.revision,
                heard_at=member.heard_at,
            )
            for name, member in self._members.items()
            if member and _is_live(member, now, self.suspect_s)
        }

    def revisions(self) -> Mapping[str, int]:
        """Give the configuration revision of each host that was heard."""
        return {name: member.revision for name, member in self._members.items() if member}

    def list_doubted(self, now: float) -> tuple[int, ...]:
        """Give the tags of hosts that have been silent for most of the time that counts as dead."""
        return tuple(
            get_incarnation_tag(member.incarnation)
            for member in self._members.values()
            if member and INDIRECT_PROBE_FRACTION < (now - member.heard_at) / self.suspect_s < 2
        )

    def confirm_alive(self, doubted: tuple[int, ...], now: float) -> tuple[tuple[int, int], ...]:
        """Give the sequences of those incarnations that this host itself heard lately."""
        names = (self._tags[tag] for tag in doubted if tag in self._tags)
        members = (self._members[name] for name in names)
        return tuple(
            (get_incarnation_tag(member.incarnation), member.sequence)
            for member in members
            if member and now - member.direct_heard_at < self.suspect_s * INDIRECT_PROBE_FRACTION
        )

    def apply_relayed(self, heard: tuple[tuple[int, int], ...], at: float) -> None:
        """Take another host's word for it that some hosts are alive.

        Without it, a link that loses datagrams between two hosts makes each of them call the
        other one dead. A sequence that has not grown proves nothing and changes nothing.
        """
        for tag, sequence in heard:
            name = self._tags.get(tag)
            member = self._members.get(name) if name else None
            if name and member and sequence > max(member.sequence, member.relayed_sequence):
                self._members[name] = member._replace(
                    heard_at=max(member.heard_at, at), relayed_sequence=sequence
                )

    def resume(self, paused_at: float, now: float) -> None:
        """Note that this process did not run between two times.

        Others were not silent, this process was deaf: who was alive before gets the whole time
        once more. When each was heard stays as it was, so nothing looks newer than it is.
        """
        for name, member in self._members.items():
            if member and _is_live(member, paused_at, self.suspect_s):
                self._members[name] = member._replace(grace_until=now + self.suspect_s)

    def _is_retired(self, heartbeat: Heartbeat, known: Member | None, at: float) -> bool:
        retired = self._retired[heartbeat.host].get(heartbeat.incarnation)
        if retired is None:
            return False
        if known and _is_live(known, at, self.suspect_s):
            return True
        # A host that started between two incarnations can take them in the wrong order, and
        # would refuse the true one for ever. Datagrams are not late by as much as RETIRED_S.
        return at - retired.at < RETIREMENT_S or heartbeat.sequence <= retired.sequence

    def _store(self, heartbeat: Heartbeat, known: Member | None, at: float) -> Merged:
        current = known if known and known.incarnation == heartbeat.incarnation else None
        if known and not current:
            self._retire(heartbeat.host, known, at)
        member = Member(
            incarnation=heartbeat.incarnation,
            sequence=heartbeat.sequence,
            leaving=heartbeat.leaving or bool(current and current.leaving),
            overloaded=heartbeat.overloaded,
            load=heartbeat.load,
            revision=heartbeat.revision,
            heard_at=max(at, current.heard_at) if current else at,
            direct_heard_at=max(at, current.direct_heard_at) if current else at,
            relayed_sequence=current.relayed_sequence if current else 0,
            grace_until=current.grace_until if current else NEVER,
        )
        assert not current or (
            member.sequence > current.sequence and member.leaving >= current.leaving
        )
        self._members[heartbeat.host] = member
        if current is None:
            self._retired[heartbeat.host].pop(heartbeat.incarnation, None)
            self._rebuild_tags()
            return Merged.NEWS
        return Merged.NEWS if member.leaving > current.leaving else Merged.KNOWN

    def _retire(self, name: str, member: Member, at: float) -> None:
        retired = self._retired[name]
        retired[member.incarnation] = Retired(member.sequence, at)
        while len(retired) > MAX_RETIRED_INCARNATIONS:
            del retired[next(iter(retired))]

    def _rebuild_tags(self) -> None:
        self._tags = {
            get_incarnation_tag(member.incarnation): name
            for name, member in self._members.items()
            if member
        }


def _is_live(member: Member, now: float, suspect_s: float) -> bool:
    return now - member.heard_at < suspect_s or now < member.grace_until
