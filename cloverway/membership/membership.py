"""Failure detection for the hosts of one failure domain.

The code is pure: it uses no socket, clock or random source. A host is identified by its
incarnation, a random number that it draws when it starts. Within one incarnation the sequence
number only grows and `leaving` is never reset; a new incarnation retires the previous one.
The other hosts of a failure domain are called siblings.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from cloverway.membership.heartbeats import Heartbeat, format_incarnation, get_incarnation_tag
from cloverway.membership.view import HostState

MAX_RETIRED_INCARNATIONS = 16
"""Replaced incarnations that are retained per host name."""
INDIRECT_PROBE_FRACTION = 0.55
"""Fraction of `suspect_s`, the silence after which a host counts as dead, after which siblings are
asked about it."""
RETIREMENT_S = 30.0
"""How long a replaced incarnation stays rejected when its successor has fallen silent."""
NEVER = float("-inf")


class MergeResult(StrEnum):
    """The result of merging a heartbeat."""

    CHANGED = "news"
    """A host joined, was replaced, or started leaving: decisions need this at once."""
    UNCHANGED = "known"
    """No change that decisions need at once."""
    UNKNOWN_HOST = "stranger"
    """The sender is not in the configuration."""
    OTHER_RECIPIENT = "unproven"
    """It is addressed to another incarnation; it may be a replay from before this host started."""
    REPLAYED = "replayed"
    """Its sequence number is not higher than the last one."""
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
    """When it was last known to be alive, by a heartbeat to this host or to a sibling."""
    direct_heard_at: float
    """When this host last received a heartbeat from it."""
    relayed_sequence: int = 0
    """The highest sequence number that a sibling reported."""
    grace_until: float = NEVER
    """Until when it counts as alive regardless of its silence."""


class RetiredIncarnation(NamedTuple):
    """A replaced incarnation."""

    sequence: int
    at: float


class Membership:
    """The hosts of one failure domain, except the local host."""

    def __init__(self, host: str, incarnation: int, suspect_s: float) -> None:
        self.host = host
        self.incarnation = incarnation
        self.tag = get_incarnation_tag(incarnation)
        self.suspect_s = suspect_s
        self._members: dict[str, Member | None] = {}
        self._tags: dict[int, str] = {}
        self._retired: dict[str, dict[int, RetiredIncarnation]] = {}

    def adopt(self, names: Iterable[str]) -> None:
        """Apply the published hosts of the failure domain; drop hosts that were removed."""
        known = self._members
        self._members = {name: known.get(name) for name in names if name != self.host}
        self._retired = {name: self._retired.get(name, {}) for name in self._members}
        self._rebuild_tags()

    def merge(self, heartbeat: Heartbeat, recipient_tag: int, at: float) -> MergeResult:
        """Merge a heartbeat that was sent at or after `at`, to the incarnation with a tag."""
        if heartbeat.host == self.host:
            return (
                MergeResult.UNCHANGED
                if heartbeat.incarnation == self.incarnation
                else MergeResult.OWN_NAME
            )
        if heartbeat.host not in self._members:
            return MergeResult.UNKNOWN_HOST
        if recipient_tag != self.tag:
            # The MAC of a replayed datagram is valid. Only a host that has heard this incarnation
            # can address it, so this rejects everything from before this process started.
            return MergeResult.OTHER_RECIPIENT
        known = self._members[heartbeat.host]
        if (
            known
            and known.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= known.sequence
        ):
            return MergeResult.REPLAYED
        if self._is_retired(heartbeat, known, at):
            return MergeResult.RETIRED
        return self._store(heartbeat, known, at)

    def is_live(self, name: str, now: float) -> bool:
        """Return whether a host was heard recently enough to count as alive."""
        member = self._members.get(name)
        return member is not None and _is_live(member, now, self.suspect_s)

    def list_live(self, now: float) -> list[str]:
        """List the other hosts that are alive, including those that are leaving."""
        return [name for name in self._members if self.is_live(name, now)]

    def list_active(self, now: float) -> list[str]:
        """List the hosts that are alive and not leaving, and the local host in any case.

        Whether the local host is leaving is known to the caller only.
        """
        members = self._members
        active = [name for name in self.list_live(now) if not (m := members[name]) or not m.leaving]
        return [*active, self.host]

    def list_silent(self, now: float) -> list[str]:
        """List the published hosts that are not alive."""
        return [name for name in self._members if not self.is_live(name, now)]

    def get_tag(self, name: str) -> int:
        """Return the tag of a host's current incarnation, or 0."""
        member = self._members.get(name)
        return get_incarnation_tag(member.incarnation) if member else 0

    def get_states(self, domain: str, now: float) -> dict[str, HostState]:
        """Return the live hosts for the view, by name."""
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
                grace_until=member.grace_until,
            )
            for name, member in self._members.items()
            if member and _is_live(member, now, self.suspect_s)
        }

    def get_revisions(self) -> Mapping[str, int]:
        """Return the configuration revision of each host that was heard."""
        return {name: member.revision for name, member in self._members.items() if member}

    def list_doubted(self, now: float) -> tuple[int, ...]:
        """Return the tags of hosts to ask siblings about.

        They have been silent for most of `suspect_s`, but not for twice as long.
        """
        return tuple(
            get_incarnation_tag(member.incarnation)
            for member in self._members.values()
            if member and INDIRECT_PROBE_FRACTION < (now - member.heard_at) / self.suspect_s < 2
        )

    def confirm_alive(self, doubted: tuple[int, ...], now: float) -> tuple[tuple[int, int], ...]:
        """Return (tag, sequence) of those incarnations that this host recently heard itself."""
        names = (self._tags[tag] for tag in doubted if tag in self._tags)
        members = (self._members[name] for name in names)
        return tuple(
            (get_incarnation_tag(member.incarnation), member.sequence)
            for member in members
            if member and now - member.direct_heard_at < self.suspect_s * INDIRECT_PROBE_FRACTION
        )

    def apply_relayed(self, heard: tuple[tuple[int, int], ...], at: float) -> None:
        """Apply the (tag, sequence) pairs of hosts that a sibling reports as alive.

        Without them, loss on the link between two hosts makes each declare the other one dead.
        Only a sequence number that has grown proves that a host is alive.
        """
        for tag, sequence in heard:
            name = self._tags.get(tag)
            member = self._members.get(name) if name else None
            if name and member and sequence > max(member.sequence, member.relayed_sequence):
                self._members[name] = member._replace(
                    heard_at=max(member.heard_at, at), relayed_sequence=sequence
                )

    def resume(self, paused_at: float, now: float) -> None:
        """Record that this process was paused between two times.

        The other hosts were not silent, this process could not receive. Each host that was alive
        before the pause gets the full `suspect_s` again. The times at which hosts were heard stay
        unchanged, so no state looks newer than it is.
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
        # A host that starts while another one is being replaced can receive the two incarnations
        # in the wrong order, and would reject the live one forever. No datagram is delayed by as
        # much as RETIREMENT_S.
        return at - retired.at < RETIREMENT_S or heartbeat.sequence <= retired.sequence

    def _store(self, heartbeat: Heartbeat, known: Member | None, at: float) -> MergeResult:
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
            return MergeResult.CHANGED
        return MergeResult.CHANGED if member.leaving > current.leaving else MergeResult.UNCHANGED

    def _retire(self, name: str, member: Member, at: float) -> None:
        retired = self._retired[name]
        retired[member.incarnation] = RetiredIncarnation(member.sequence, at)
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
