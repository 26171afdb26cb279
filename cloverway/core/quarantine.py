"""Requests that end the endpoints which run them, and for how long they are kept from the others.

An endpoint that ends takes along all that it was answering, and a request that ended it does so
at the next one: run again elsewhere, as any broken request is, one request emptied whole regions.
A single end tells nothing, for every request that ran there is lost with it. A request that was
running at the end of several endpoints, and was never served meanwhile, is taken for the cause,
unless another one was running at all the same ends: then the next end has to tell which it was.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple, TypeVar

Key = TypeVar("Key")

MAX_SUSPECTS = 4_096
"""Requests that are remembered: those of 60 engines that end with all their places taken."""
MAX_SERVED = 4_096
"""Requests whose last answer is remembered: two minutes of a host's busiest traffic."""
MAX_CRASHED = 4_096
"""Endpoints that have ended, or were taken for ended and answered since, that are remembered."""
SERVED_IMMUNITY_S = 60.0
"""How long a request that was served isn't suspected. Endpoints that lose power together take along
several runs of a request that many callers send; without this it would be refused to all of them.
One that turns deadly, as with a new version of the endpoints, is found out that much later."""
MAX_READ_DELAY_S = 0.25
"""How long after the end of an endpoint the last it said may still be read: that lies in buffers,
also of a host that has little of a core."""
MIN_RESTART_S = 0.2
"""How soon after its end no endpoint is back: a process alone takes longer to start. Who opens a
connection there before that meets the one that was there."""
MAX_HOLD_S = 86_400.0
"""The longest time that a request is refused."""
AMBIGUOUS_CRASHES = 2
"""Further ends after which a request is refused that can't be told from another one. Where requests
aren't kept apart, none: they would never be told from each other."""
SUSPICION_S = 120.0
"""How long after its last end a request is kept apart from others: it comes again sooner."""
MAX_CRASHES = 16
"""Ends that are counted against a request at most: by then it is refused for the longest time."""


class Level(IntEnum):
    """How far a request is suspected of ending endpoints."""

    NONE = 0
    SEEN = 1
    """It was running when an endpoint ended."""
    ALONE = 2
    """One more end, and it is refused; it must not share that end with another such request."""


class QuarantineTerms(NamedTuple):
    """When a request is refused because endpoints ended while they ran it."""

    ends: int = 3
    """Endpoints that must have ended: fewer happen to requests that only ran beside such a one."""
    hold_s: float = 1800.0
    """How long it is refused then. Each further end, after that time, doubles it."""

    def find_faults(self) -> Iterator[tuple[str, str]]:
        """Give the names of the values that can't be used, and why."""
        if self.ends < 1:
            yield "ends", f"{self.ends} must be at least 1: 0 would refuse every request"
        if not 0 <= self.hold_s <= MAX_HOLD_S:
            yield "hold_s", f"{self.hold_s:g} must be from 0 to {MAX_HOLD_S:g}"


class Crash(NamedTuple):
    """The end of an endpoint, and the requests that were running there."""

    incarnation: str
    """The life of the endpoint that ended."""
    digests: tuple[int, ...]
    """What repeats of each request have in common."""
    at: float


class Block(NamedTuple):
    """Why a request is refused, and for how much longer."""

    crashes: int
    remaining_s: float


class CrashUpdate(NamedTuple):
    """What one host tells another of ends."""

    crashes: tuple[Crash, ...]
    served: tuple[int, ...]
    """Requests that were suspected, and were served since."""


class Quarantine:
    """What a host knows of requests that ended endpoints, by itself and from the other hosts.

    Hosts may hear of an end in any order, late or twice, and come to the same: it counts once for
    each endpoint, and not at all for a request that was served after it.
    """

    def __init__(self, terms: QuarantineTerms, ambiguous_crashes: int = AMBIGUOUS_CRASHES) -> None:
        self._terms = terms
        self._ambiguous_crashes = ambiguous_crashes
        self._suspects: OrderedDict[int, dict[str, float]] = OrderedDict()
        """When each endpoint ended that was running a request; the last suspect last."""
        self._digests_by_incarnation: dict[str, set[int]] = {}
        """The suspects that were running at each endpoint that ended."""
        self._served: OrderedDict[int, float] = OrderedDict()
        self._cleared: OrderedDict[int, float] = OrderedDict()
        """Suspects that were served, and when."""
        self._crashed: OrderedDict[str, float] = OrderedDict()
        self._retracted: OrderedDict[str, float] = OrderedDict()
        """Endpoints that were taken for ended, and were there until some time after that."""

    def note_crash(self, crash: Crash) -> Crash | None:
        """Note what ran at an endpoint that ended; give what of it wasn't known, or None."""
        if crash.at <= self._retracted.get(crash.incarnation, float("-inf")):
            return None
        new_digests = tuple(digest for digest in crash.digests if self._suspect(digest, crash))
        if not new_digests:
            return None
        _keep_last(self._crashed, crash.incarnation, crash.at, MAX_CRASHED)
        while len(self._suspects) > MAX_SUSPECTS:
            self._forget(next(iter(self._suspects)))
        return crash._replace(digests=new_digests)

    def note_alive(self, incarnation: str, since: float, until: float) -> None:
        """Note that a life of an endpoint was there from one time to another.

        If it seemed to end between them, or just before, it hadn't: a connection that was reset
        looks like an end to the requests that it carried.
        """
        crashed_at = self._crashed.get(incarnation)
        if crashed_at is None or not _is_still_alive(crashed_at, since, until):
            return
        self._retract_crash(incarnation, until)

    def note_confirmed_alive(self, incarnation: str, now: float) -> None:
        """Note that a life of an endpoint has said that it is there: it never ended."""
        if incarnation in self._crashed:
            self._retract_crash(incarnation, now)

    def _retract_crash(self, incarnation: str, until: float) -> None:
        """Void the end that a life seemed to have before some time."""
        del self._crashed[incarnation]
        _keep_last(self._retracted, incarnation, until, MAX_CRASHED)
        for digest in self._digests_by_incarnation.pop(incarnation, ()):
            self._suspects[digest].pop(incarnation, None)

    def note_served(self, digest: int, now: float) -> bool:
        """Note that a request had a whole answer; tell whether it was suspected.

        A request that ends endpoints never has one: all that was counted against it is void.
        """
        _keep_last(self._served, digest, now, MAX_SERVED)
        if not self._forget(digest):
            return False
        _keep_last(self._cleared, digest, now, MAX_SERVED)
        return True

    def count_crashes(self, digest: int) -> int:
        """Count the endpoints that ended while they ran a request."""
        return len(self._suspects.get(digest, ()))

    def has_crashed(self, digest: int, incarnation: str) -> bool:
        """Tell whether a life of an endpoint ended, by all signs, while it ran a request."""
        return incarnation in self._suspects.get(digest, ())

    def get_block(self, digest: int, now: float) -> Block | None:
        """Tell why a request must not be sent now, or None when it may."""
        crash_times = self._suspects.get(digest)
        if crash_times is None or len(crash_times) < self._terms.ends:
            return None
        is_certain = len(crash_times) >= self._terms.ends + self._ambiguous_crashes
        if not is_certain and self._is_explained(
            digest, lambda other: self._is_equally_suspect(other, crash_times)
        ):
            return None
        hold_s = self._terms.hold_s * 2.0 ** (len(crash_times) - self._terms.ends)
        left_s = max(crash_times.values()) + min(hold_s, MAX_HOLD_S) - now
        return Block(len(crash_times), left_s) if left_s > 0 else None

    def get_level(self, digest: int, now: float) -> Level:
        """Tell how far a request is suspected; not at all where another one explains its ends."""
        crash_times = self._suspects.get(digest)
        if not crash_times or now - max(crash_times.values()) > SUSPICION_S:
            return Level.NONE
        if self._is_explained(digest, lambda other: self.get_block(other, now) is not None):
            return Level.NONE
        return Level.ALONE if len(crash_times) >= self._terms.ends - 1 else Level.SEEN

    def _is_explained(self, digest: int, is_cause: Callable[[int], bool]) -> bool:
        """Tell whether at each end of a request another one was running that may be the cause."""
        return all(
            any(
                other != digest and is_cause(other)
                for other in self._digests_by_incarnation[incarnation]
            )
            for incarnation in self._suspects[digest]
        )

    def _is_equally_suspect(self, other: int, crash_times: dict[str, float]) -> bool:
        return len(self._suspects[other]) >= len(crash_times)

    def count_blocked(self, now: float) -> int:
        """Count the requests that are refused now."""
        return sum(self.get_block(digest, now) is not None for digest in self._suspects)

    def list_updates(self, since: float, limit: int) -> CrashUpdate:
        """List what was learnt since some time, the last first, up to a number of requests."""
        digests = list(reversed(self._suspects))[:limit]
        crashes = self._list_crashes(digests, since)
        served = [digest for digest, at in self._cleared.items() if at >= since]
        return CrashUpdate(crashes, tuple(served[-limit:]))

    def list_blocked_crashes(self, now: float, limit: int) -> tuple[Crash, ...]:
        """List the ends for which requests are refused now, up to a number of requests."""
        held = (digest for digest in reversed(self._suspects) if self.get_block(digest, now))
        return self._list_crashes(itertools.islice(held, limit), float("-inf"))

    def _list_crashes(self, digests: Iterable[int], since: float) -> tuple[Crash, ...]:
        """List the endpoints that ended under some requests since some time."""
        found: dict[str, Crash] = {}
        for digest in digests:
            for incarnation, at in self._suspects[digest].items():
                if at >= since:
                    known = found.get(incarnation, Crash(incarnation, (), at))
                    found[incarnation] = Crash(
                        incarnation, (*known.digests, digest), max(at, known.at)
                    )
        return tuple(found.values())

    def _suspect(self, digest: int, crash: Crash) -> bool:
        """Count an end against a request; tell whether that was news."""
        if crash.at < self._served.get(digest, float("-inf")) + SERVED_IMMUNITY_S:
            return False
        crash_times = self._suspects.setdefault(digest, {})
        if crash.incarnation in crash_times or len(crash_times) >= MAX_CRASHES:
            return False
        crash_times[crash.incarnation] = crash.at
        self._digests_by_incarnation.setdefault(crash.incarnation, set()).add(digest)
        self._suspects.move_to_end(digest)
        return True

    def _forget(self, digest: int) -> bool:
        """Forget a suspect; tell whether it was one."""
        crash_times = self._suspects.pop(digest, None)
        for incarnation in crash_times or ():
            digests = self._digests_by_incarnation[incarnation]
            digests.discard(digest)
            if not digests:
                del self._digests_by_incarnation[incarnation]
        return crash_times is not None


def _is_still_alive(crashed_at: float, since: float, until: float) -> bool:
    """Tell whether what was there from one time to another can't be what seemed to end."""
    if since <= crashed_at:
        return crashed_at < until - MAX_READ_DELAY_S
    return since < crashed_at + MIN_RESTART_S


def _keep_last(times: OrderedDict[Key, float], key: Key, at: float, limit: int) -> None:
    times[key] = at
    times.move_to_end(key)
    if len(times) > limit:
        times.popitem(last=False)
