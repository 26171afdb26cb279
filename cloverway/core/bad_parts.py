"""Parts of prompts that crash the endpoints which begin to answer them.

Requests that are never alike may share one part of their prompts that crashes each endpoint. A
single crash identifies no part: all parts of all requests that ran there are suspected, and most
requests share their first one. Two things tell a part that is sound. A whole answer to a request
that has it, and was sent after a crash, clears it of that crash. And the part that explains most
crashes is held responsible for them, so that others are left with those that it doesn't explain.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import NamedTuple

from cloverway.core.crash_times import CrashTimes, keep_last
from cloverway.core.part_crashes import NEVER, PartCrash, PartRun, PartUpdate, ServedPart

MAX_SUSPECTS = 8_192
"""Suspected parts retained: two of each request of 60 engines that crash with all slots in use."""
MAX_SERVED = 8_192
"""Parts whose last whole answer is retained."""
MAX_CRASHES = 16
"""Latest crashes retained of a part."""
INCIDENT_S = 0.15
"""Crashes within this time count as one, because endpoints that lose power together crash under
everything that they run."""
SUSPICION_S = 120.0
"""How long requests with a part are isolated after its last crash, unless it was blocked."""
FIRST_BLOCK_S = 4.0
"""How long a part is blocked at first. Then one request tries whether it was sound."""
MAX_BLOCK_S = 86_400.0
MAX_TRIAL_DELAY_S = 120.0
"""Upper bound of how much later than others a host tries a part again."""


class Thresholds(NamedTuple):
    """Incidents from which a part is treated as bad; fewer are often coincidence."""

    isolate: int
    """Requests with the part run alone, one at a time in their region."""
    block: int
    counts_retries: bool
    """Whether each endpoint that a retry crashes is an incident of its own. Few incidents of one
    moment must not do where fewer are enough."""


UNPROVEN = Thresholds(2, 4, False)
PROVEN = Thresholds(3, 5, True)
"""For a part that a whole answer is known of."""


class _Proof(NamedTuple):
    """The whole answers of a part that this host has seen."""

    answers: int
    sent_at: float
    """When the latest of their requests was sent to its endpoint."""


_NO_PROOF = _Proof(0, NEVER)


class Culprit(NamedTuple):
    """Parts that were running at the same crashes, which no other part explains as well."""

    parts: frozenset[int]
    """Several if nothing tells them apart."""
    crashes: int
    incidents: tuple[float, ...]
    """When each incident began, in order of time."""
    last_at: float


class PartBlock(NamedTuple):
    """Why requests with a part are refused, and for how long."""

    part: int
    crashes: int
    """Number of endpoints that crashed while a request with it ran there."""
    remaining_s: float


class PartSuspects:
    """The parts that may have crashed endpoints, from this host's observations and other hosts.

    Updates may arrive late, twice and in any order; hosts with the same updates know the same
    crashes. Of two parts that explain them as well, each host takes the one with fewer whole
    answers, by those that it has seen itself.
    """

    def __init__(
        self, block_s: float, get_trial_delay: Callable[[int], float] = lambda part: 0.0
    ) -> None:
        self._block_s = block_s
        """How long a part is blocked that has crashed an endpoint after its first block."""
        self._get_trial_delay = get_trial_delay
        """Returns how much later than others this host tries a part again, in seconds."""
        self._crashes: OrderedDict[int, dict[str, PartRun]] = OrderedDict()
        """The runs at each endpoint that crashed, by part; the latest suspect is last."""
        self._parts_at: dict[str, set[int]] = {}
        """The suspects that were running at each endpoint that crashed."""
        self._crashed = CrashTimes()
        self._served: OrderedDict[int, float] = OrderedDict()
        """When the latest request that got a whole answer was sent, by part."""
        self._cleared: OrderedDict[int, float] = OrderedDict()
        """The same of parts that were suspected."""
        self._proven: OrderedDict[int, _Proof] = OrderedDict()
        """The whole answers that this host has seen, by part."""
        self._culprits: dict[int, Culprit] | None = None
        """Cache of the parts that explain the crashes; None after a change."""

    def __len__(self) -> int:
        return len(self._crashes)

    # Observations

    def record_crash(self, crash: PartCrash) -> PartCrash | None:
        """Record a crash; return it with only the parts that are new, or None if none is."""
        if self._crashed.is_retracted(crash.incarnation, crash.at):
            return None
        new_parts = {
            part
            for part, run in crash.list_runs()
            if self._count_crash(part, crash.incarnation, run)
        }
        if not new_parts:
            return None
        self._crashed.record(crash.incarnation, crash.at)
        while len(self._crashes) > MAX_SUSPECTS:
            self._forget_part(next(iter(self._crashes)))
        return crash.select(new_parts)

    def record_served(self, served: ServedPart, *, is_own: bool = True) -> bool:
        """Record a whole answer; return whether its part was suspected.

        `is_own` tells whether this host has seen the answer.
        """
        part = served.part
        if is_own:
            proof = self._proven.get(part, _NO_PROOF)
            latest = max(proof.sent_at, served.sent_at)
            keep_last(self._proven, part, _Proof(proof.answers + 1, latest), MAX_SERVED)
        if part in self._crashes:
            self._culprits = None
        sent_at = max(served.sent_at, self._served.get(part, NEVER))
        keep_last(self._served, part, sent_at, MAX_SERVED)
        runs = self._crashes.get(part, {})
        cleared = [name for name, run in runs.items() if run.crashed_at < sent_at]
        for incarnation in cleared:
            self._forget_crash(part, incarnation)
        if cleared:
            keep_last(self._cleared, part, sent_at, MAX_SERVED)
        return bool(cleared)

    def list_served(self, parts: Iterable[int]) -> list[ServedPart]:
        """Return the last whole answers of some parts, as far as this host has seen any.

        What it knows from others is left out: a time that hosts tell each other again and again
        grows with each message by the time of its transport, and would clear later crashes.
        """
        return [
            ServedPart(part, self._proven[part].sent_at) for part in parts if part in self._proven
        ]

    def record_alive(
        self, incarnation: str, since: float, until: float, *, has_unique_id: bool = False
    ) -> None:
        """Record that an incarnation of an endpoint was alive from `since` to `until`."""
        if self._crashed.retract_if_alive(incarnation, since, until, has_unique_id):
            self._forget_incarnation(incarnation)

    def record_confirmed_alive(self, incarnation: str, now: float) -> None:
        """Record that an incarnation of an endpoint has confirmed that it never crashed."""
        if self._crashed.retract(incarnation, now):
            self._forget_incarnation(incarnation)

    # Decisions

    def find_block(self, parts: Sequence[int], now: float) -> PartBlock | None:
        """Return why a request with some parts must not be sent now, or None if it may be sent."""
        blocks = (
            self._get_block(part, culprit, now)
            for part, culprit in self._list_own(parts)
            if culprit.parts.issubset(parts)
        )
        return next((block for block in blocks if block is not None), None)

    def find_isolated(self, parts: Sequence[int], now: float) -> int | None:
        """Return the part for which a request must run alone, one at a time in its region."""
        return next(
            (
                part
                for part, culprit in self._list_own(parts)
                if self._is_bad(part) or now - culprit.last_at <= SUSPICION_S
            ),
            None,
        )

    def has_crashed(self, parts: Iterable[int], incarnation: str) -> bool:
        """Return whether an incarnation of an endpoint seemed to crash under one of some parts."""
        return not self._parts_at.get(incarnation, set()).isdisjoint(parts)

    def explains(self, incarnation: str, parts: Collection[int]) -> bool:
        """Return whether a part other than some explains the crash of an endpoint."""
        culprits = self._find_culprits()
        return any(
            part in culprits and part not in parts for part in self._parts_at.get(incarnation, ())
        )

    def count_blocked(self, now: float) -> int:
        """Return the number of parts that are blocked now."""
        return sum(
            self._get_block(part, culprit, now) is not None
            for part, culprit in self._find_culprits().items()
        )

    # Updates for other hosts

    def list_updates(self, since: float, limit: int) -> PartUpdate:
        """Return the update for other hosts since a time: the latest parts, at most `limit`."""
        latest = itertools.islice(reversed(self._crashes), limit)
        served = [
            ServedPart(part, sent_at) for part, sent_at in self._cleared.items() if sent_at >= since
        ]
        return PartUpdate(self._list_crashes(latest, since), tuple(served[-limit:]))

    def list_bad(self, limit: int) -> tuple[PartCrash, ...]:
        """Return the crashes of the parts that are or were blocked, at most `limit` parts."""
        bad = (part for part in reversed(self._crashes) if self._is_bad(part))
        return self._list_crashes(itertools.islice(bad, limit), NEVER)

    def _list_crashes(self, parts: Iterable[int], since: float) -> tuple[PartCrash, ...]:
        found: dict[str, PartCrash] = {}
        for part in parts:
            for incarnation, run in self._crashes[part].items():
                if run.crashed_at >= since:
                    known = found.get(incarnation, PartCrash(incarnation, (), run.crashed_at))
                    found[incarnation] = known._replace(
                        parts=(*known.parts, part), sent_at=(*known.sent_at, run.sent_at)
                    )
        return tuple(found.values())

    # State

    def _count_crash(self, part: int, incarnation: str, run: PartRun) -> bool:
        """Count a crash against a part; return whether it is new."""
        if run.crashed_at < self._served.get(part, NEVER):
            return False
        runs = self._crashes.setdefault(part, {})
        self._culprits = None
        known = runs.get(incarnation)
        if known is not None:
            runs[incarnation] = known._replace(sent_at=min(known.sent_at, run.sent_at))
            return False
        runs[incarnation] = run
        self._parts_at.setdefault(incarnation, set()).add(part)
        self._crashes.move_to_end(part)
        if len(runs) > MAX_CRASHES:
            self._forget_crash(part, min(runs, key=lambda name: runs[name].crashed_at))
        return True

    def _forget_crash(self, part: int, incarnation: str) -> None:
        self._culprits = None
        runs = self._crashes[part]
        del runs[incarnation]
        if not runs:
            del self._crashes[part]
        parts = self._parts_at[incarnation]
        parts.discard(part)
        if not parts:
            del self._parts_at[incarnation]

    def _forget_part(self, part: int) -> None:
        for incarnation in list(self._crashes[part]):
            self._forget_crash(part, incarnation)

    def _forget_incarnation(self, incarnation: str) -> None:
        for part in list(self._parts_at.get(incarnation, ())):
            self._forget_crash(part, incarnation)

    # Assessment

    def _list_own(self, parts: Sequence[int]) -> Iterator[tuple[int, Culprit]]:
        """Yield the parts of a request that explain crashes.

        If nothing tells several parts apart, one of them alone is a reason to isolate a request,
        which then tells; all of them are a reason to refuse it.
        """
        if not self._crashes:
            return
        culprits = self._find_culprits()
        for part in parts:
            if part in culprits:
                yield part, culprits[part]

    def _find_culprits(self) -> dict[int, Culprit]:
        """Return the parts that explain the crashes; each crash is explained once."""
        if self._culprits is None:
            self._culprits = {}
            left = {part: dict(runs) for part, runs in self._crashes.items() if len(runs) > 1}
            while culprit := self._choose_culprit(left):
                self._culprits.update(dict.fromkeys(culprit.parts, culprit))
        return self._culprits

    def _choose_culprit(self, left: dict[int, dict[str, PartRun]]) -> Culprit | None:
        """Choose what explains most of the crashes that are left, and remove these."""
        counts = {part: len(self._list_incidents(part, runs)) for part, runs in left.items()}
        suspects = [part for part in left if counts[part] >= self._get_thresholds(part).isolate]
        if not suspects:
            return None
        # A part without a whole answer comes first: what most requests share is at all crashes of
        # several bad parts together, and so at more than each of them.
        scores = {
            part: (
                part not in self._served,
                counts[part],
                -self._proven.get(part, _NO_PROOF).answers,
                len(left[part]),
            )
            for part in suspects
        }
        best = max(suspects, key=lambda part: (*scores[part], part))
        explained = left[best]
        tied = [
            p for p in suspects if scores[p] == scores[best] and left[p].keys() == explained.keys()
        ]
        for part in list(left):
            left[part] = {name: run for name, run in left[part].items() if name not in explained}
            if len(left[part]) < 2:
                del left[part]
        runs = explained.values()
        last_at = max(run.crashed_at for run in runs)
        return Culprit(
            frozenset(tied), len(runs), tuple(self._list_incidents(best, explained)), last_at
        )

    def _list_incidents(self, part: int, runs: dict[str, PartRun]) -> list[float]:
        """Return when each incident began, by the crashes of a part.

        A retry that is sent after a crash, and crashes the next endpoint, may be one of its own:
        no loss of power explains both. It has all parts of its request, so it is none while
        another part is left that may have done it.
        """
        counts_retries = self._get_thresholds(part).counts_retries
        incidents: list[float] = []
        for name, run in sorted(
            runs.items(), key=lambda item: (item[1].crashed_at, item[1].sent_at)
        ):
            is_only_suspect = counts_retries and len(self._parts_at[name]) == 1
            if (
                not incidents
                or run.crashed_at - incidents[-1] >= INCIDENT_S
                or (is_only_suspect and run.sent_at > incidents[-1])
            ):
                incidents.append(run.crashed_at)
        return incidents

    def _get_thresholds(self, part: int) -> Thresholds:
        return PROVEN if part in self._served else UNPROVEN

    def _is_bad(self, part: int) -> bool:
        """Return whether a part explains enough incidents to be blocked."""
        culprit = self._find_culprits().get(part)
        return culprit is not None and len(culprit.incidents) >= self._get_thresholds(part).block

    def _get_block(self, part: int, culprit: Culprit, now: float) -> PartBlock | None:
        if not self._is_bad(part):
            return None
        known_at = culprit.incidents[self._get_thresholds(part).block - 1]
        later = sum(at >= known_at + FIRST_BLOCK_S for at in culprit.incidents)
        block_s = min(self._block_s * 2.0 ** (later - 1), MAX_BLOCK_S) if later else FIRST_BLOCK_S
        remaining_s = culprit.last_at + block_s - now
        if remaining_s <= -MAX_TRIAL_DELAY_S:
            return None
        remaining_s += self._get_trial_delay(part)
        return PartBlock(part, culprit.crashes, remaining_s) if remaining_s > 0 else None
