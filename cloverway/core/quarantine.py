"""Requests that crash the endpoints which run them, and how long they are blocked.

An endpoint that crashes loses all requests in progress, and a request that caused the crash crashes
the next endpoint too: retried elsewhere, as interrupted requests are, a single request took down
all endpoints of whole regions. A single crash doesn't identify the request, because every request
that ran there is lost. A request that was running during the crashes of several endpoints, and was
never served in between, is treated as the cause, unless another request was running during all the
same crashes: then only the next crash shows which of them it was.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from typing import NamedTuple

from cloverway.core.crash_times import CrashTimes, keep_last

MAX_SUSPECTS = 4_096
"""Suspected requests retained: those of 60 engines that crash with all slots in use."""
MAX_SERVED = 4_096
"""Requests whose last answer is retained: two minutes of a host's peak traffic."""
SERVED_IMMUNITY_S = 60.0
"""How long a request isn't suspected after it was served. Endpoints that lose power together
interrupt several runs of a request that many callers send; without this time the request would be
blocked for all of these callers. A request that begins to crash endpoints, for instance with a new
version of these, is detected that much later."""
MAX_BLOCK_S = 86_400.0
"""Maximum time for which a request is blocked."""
AMBIGUOUS_CRASHES = 2
"""Additional crashes after which a request is blocked although another request was running during
the same crashes. It is 0 where suspects aren't isolated, because they would always run together."""
SUSPICION_S = 120.0
"""How long a request is isolated after its last crash; a request that crashes endpoints is sent
again sooner."""
MAX_CRASHES = 16
"""Crashes counted against a request at most: by then it is blocked for the maximum time."""


class SuspicionLevel(IntEnum):
    """How strongly a request is suspected of crashing endpoints."""

    NONE = 0
    SUSPECTED = 1
    """It was running when an endpoint crashed."""
    ISOLATED = 2
    """One more crash blocks it; no other suspect may be running at the same endpoint."""


class QuarantineSettings(NamedTuple):
    """When, and for how long, a request is blocked because endpoints crashed while running it."""

    ends: int = 3
    """Number of crashes from which a request is blocked; fewer are often coincidence, because the
    request only ran beside the one that caused them."""
    hold_s: float = 1800.0
    """How long it is then blocked, in seconds. Each further crash doubles the time."""

    def find_invalid_values(self) -> Iterator[tuple[str, str]]:
        """Yield the name of each invalid value, and the reason."""
        if self.ends < 1:
            yield "ends", f"{self.ends} must be at least 1: 0 would refuse every request"
        if not 0 <= self.hold_s <= MAX_BLOCK_S:
            yield "hold_s", f"{self.hold_s:g} must be from 0 to {MAX_BLOCK_S:g}"


class Crash(NamedTuple):
    """The crash of an endpoint, and the requests that were running there."""

    incarnation: str
    """The incarnation of the endpoint that crashed."""
    digests: tuple[int, ...]
    """Digests of the requests; a retried or repeated request has the same digest."""
    at: float


class Block(NamedTuple):
    """Why a request is blocked, and for how long."""

    crashes: int
    """Number of endpoints that crashed while running it."""
    remaining_s: float


class ServedRequest(NamedTuple):
    """A request that had a complete answer."""

    digest: int
    at: float


class CrashUpdate(NamedTuple):
    """An update on crashes, sent from one host to another."""

    crashes: tuple[Crash, ...]
    served: tuple[int, ...]
    """Digests of requests that were suspected and have been served since."""
    excused: tuple[ServedRequest, ...] = ()
    """Requests that others suspect, and that had answers before."""


Explains = Callable[[str], bool]
"""Returns whether something else than a request explains the crash of an incarnation."""


def explain_nothing(incarnation: str) -> bool:
    """Explain no crash, where nothing but requests is known to cause any."""
    return False


class Quarantine:
    """The requests that crashed endpoints, from this host's own observations and other hosts.

    Updates may arrive late, twice and in any order; the result is the same on all hosts. A crash
    counts once for each incarnation, and not at all for a request that was served after it.
    """

    def __init__(
        self, settings: QuarantineSettings, ambiguous_crashes: int = AMBIGUOUS_CRASHES
    ) -> None:
        self._settings = settings
        self._ambiguous_crashes = ambiguous_crashes
        self._suspects: OrderedDict[int, dict[str, float]] = OrderedDict()
        """Crash time of each endpoint that crashed while running a request, by the digest of the
        request; the latest suspect is last."""
        self._digests_by_incarnation: dict[str, set[int]] = {}
        """The suspects that were running at each endpoint that crashed."""
        self._served: OrderedDict[int, float] = OrderedDict()
        """When each request was last served."""
        self._cleared: OrderedDict[int, float] = OrderedDict()
        """When each former suspect was served."""
        self._crashed = CrashTimes()

    def record_crash(self, crash: Crash) -> Crash | None:
        """Record a crash; return it with only the digests that are new, or None if none is."""
        if self._crashed.is_retracted(crash.incarnation, crash.at):
            return None
        new_digests = tuple(digest for digest in crash.digests if self._count_crash(digest, crash))
        if not new_digests:
            return None
        self._crashed.record(crash.incarnation, crash.at)
        while len(self._suspects) > MAX_SUSPECTS:
            self._remove_suspect(next(iter(self._suspects)))
        return crash._replace(digests=new_digests)

    def record_alive(
        self, incarnation: str, since: float, until: float, *, has_unique_id: bool = False
    ) -> None:
        """Record that an incarnation of an endpoint was alive from `since` to `until`.

        A crash of it that was recorded within this time, or just before, is retracted: a connection
        reset looks like a crash to the requests on that connection. `has_unique_id` tells that a
        restarted process would not have answered under this id, so that any later time will do.
        """
        if self._crashed.retract_if_alive(incarnation, since, until, has_unique_id):
            self._forget_crash(incarnation)

    def record_confirmed_alive(self, incarnation: str, now: float) -> None:
        """Record that an incarnation of an endpoint has confirmed that it never crashed."""
        if self._crashed.retract(incarnation, now):
            self._forget_crash(incarnation)

    def _forget_crash(self, incarnation: str) -> None:
        for digest in list(self._digests_by_incarnation.get(incarnation, ())):
            self._forget_suspicion(digest, incarnation)

    def record_served(self, digest: int, at: float) -> bool:
        """Record a complete answer to a request; return whether the request was suspected.

        A request that crashes endpoints never completes, so the crashes that the answer rules out
        are dropped.
        """
        at = max(at, self._served.get(digest, float("-inf")))
        keep_last(self._served, digest, at, MAX_SERVED)
        crash_times = self._suspects.get(digest, {})
        excused = [name for name, crash in crash_times.items() if self._is_excused(digest, crash)]
        for incarnation in excused:
            self._forget_suspicion(digest, incarnation)
        if excused:
            keep_last(self._cleared, digest, at, MAX_SERVED)
        return bool(excused)

    def list_excused(self, crash: Crash) -> list[ServedRequest]:
        """Return the requests of a crash that don't count, because they had answers, and when."""
        return [
            ServedRequest(digest, self._served[digest])
            for digest in crash.digests
            if self._is_excused(digest, crash.at)
        ]

    def count_crashes(self, digest: int) -> int:
        """Return the number of endpoints that crashed while running a request."""
        return len(self._suspects.get(digest, ()))

    def has_crashed(self, digest: int, incarnation: str) -> bool:
        """Return whether an incarnation of an endpoint seemed to crash while running a request."""
        return incarnation in self._suspects.get(digest, ())

    def get_block(
        self, digest: int, now: float, explains: Explains = explain_nothing
    ) -> Block | None:
        """Return the reason why a request must not be sent now, or None if it may be sent.

        Crashes that something else explains don't count.
        """
        crash_times = self._list_unexplained(digest, explains)
        if len(crash_times) < self._settings.ends:
            return None
        is_certain = len(crash_times) >= self._settings.ends + self._ambiguous_crashes
        if not is_certain and self._have_other_cause(
            digest, crash_times, lambda other: self._is_equally_suspect(other, crash_times)
        ):
            return None
        block_s = self._settings.hold_s * 2.0 ** (len(crash_times) - self._settings.ends)
        remaining_s = max(crash_times.values()) + min(block_s, MAX_BLOCK_S) - now
        return Block(len(crash_times), remaining_s) if remaining_s > 0 else None

    def get_level(
        self, digest: int, now: float, explains: Explains = explain_nothing
    ) -> SuspicionLevel:
        """Return how strongly a request is suspected; NONE if another explains its crashes.

        Crashes that something else explains don't count.
        """
        crash_times = self._list_unexplained(digest, explains)
        if not crash_times or now - max(crash_times.values()) > SUSPICION_S:
            return SuspicionLevel.NONE
        if self._have_other_cause(
            digest, crash_times, lambda other: self.get_block(other, now) is not None
        ):
            return SuspicionLevel.NONE
        return (
            SuspicionLevel.ISOLATED
            if len(crash_times) >= self._settings.ends - 1
            else SuspicionLevel.SUSPECTED
        )

    def _list_unexplained(self, digest: int, explains: Explains) -> dict[str, float]:
        """Return when endpoints crashed under a request, but for those that something explains."""
        crash_times = self._suspects.get(digest, {})
        return {name: at for name, at in crash_times.items() if not explains(name)}

    def _have_other_cause(
        self, digest: int, crashed: Iterable[str], is_cause: Callable[[int], bool]
    ) -> bool:
        """Return whether a possible other cause was running at each of some crashes."""
        return all(
            any(
                other != digest and is_cause(other)
                for other in self._digests_by_incarnation[incarnation]
            )
            for incarnation in crashed
        )

    def _is_equally_suspect(self, other: int, crash_times: dict[str, float]) -> bool:
        return len(self._suspects[other]) >= len(crash_times)

    def count_blocked(self, now: float) -> int:
        """Return the number of requests that are blocked now."""
        return sum(self.get_block(digest, now) is not None for digest in self._suspects)

    def list_updates(self, since: float, limit: int) -> CrashUpdate:
        """Return the update for other hosts since a time: the latest requests, at most `limit`."""
        digests = list(reversed(self._suspects))[:limit]
        crashes = self._list_crashes(digests, since)
        served = [digest for digest, at in self._cleared.items() if at >= since]
        return CrashUpdate(crashes, tuple(served[-limit:]))

    def list_blocked_crashes(self, now: float, limit: int) -> tuple[Crash, ...]:
        """Return the crashes for which requests are blocked now, at most `limit` requests."""
        blocked = (digest for digest in reversed(self._suspects) if self.get_block(digest, now))
        return self._list_crashes(itertools.islice(blocked, limit), float("-inf"))

    def _list_crashes(self, digests: Iterable[int], since: float) -> tuple[Crash, ...]:
        """Return the crashes since a time of the endpoints that ran some requests."""
        found: dict[str, Crash] = {}
        for digest in digests:
            for incarnation, at in self._suspects[digest].items():
                if at >= since:
                    known = found.get(incarnation, Crash(incarnation, (), at))
                    found[incarnation] = Crash(
                        incarnation, (*known.digests, digest), max(at, known.at)
                    )
        return tuple(found.values())

    def _count_crash(self, digest: int, crash: Crash) -> bool:
        """Count a crash against a request; return whether it is new."""
        if self._is_excused(digest, crash.at):
            return False
        crash_times = self._suspects.setdefault(digest, {})
        if crash.incarnation in crash_times or len(crash_times) >= MAX_CRASHES:
            return False
        crash_times[crash.incarnation] = crash.at
        self._digests_by_incarnation.setdefault(crash.incarnation, set()).add(digest)
        self._suspects.move_to_end(digest)
        return True

    def _is_excused(self, digest: int, crashed_at: float) -> bool:
        """Return whether an answer rules out that a request caused a crash."""
        return crashed_at < self._served.get(digest, float("-inf")) + SERVED_IMMUNITY_S

    def _remove_suspect(self, digest: int) -> None:
        for incarnation in list(self._suspects[digest]):
            self._forget_suspicion(digest, incarnation)

    def _forget_suspicion(self, digest: int, incarnation: str) -> None:
        """Forget that a request was running at a crash."""
        crash_times = self._suspects[digest]
        del crash_times[incarnation]
        if not crash_times:
            del self._suspects[digest]
        digests = self._digests_by_incarnation[incarnation]
        digests.discard(digest)
        if not digests:
            del self._digests_by_incarnation[incarnation]
