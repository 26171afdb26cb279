"""What hosts know of crashes of endpoints under parts of prompts, as they tell each other."""

from __future__ import annotations

import itertools
from collections.abc import Collection, Iterator
from typing import NamedTuple

NEVER = float("-inf")


class PartRun(NamedTuple):
    """The requests with a part that ran at an endpoint which crashed."""

    sent_at: float
    """When the first of them was sent."""
    crashed_at: float


class PartCrash(NamedTuple):
    """The crash of an endpoint, and the parts of the prompts that were running there."""

    incarnation: str
    parts: tuple[int, ...]
    """Ids of prompt segments."""
    at: float
    sent_at: tuple[float, ...] = ()
    """When the first request with each of these parts was sent there, if that is known."""

    def list_runs(self) -> Iterator[tuple[int, PartRun]]:
        """Yield each part, and when it ran there."""
        sent_at = itertools.chain(self.sent_at, itertools.repeat(NEVER))
        for part, part_sent_at in zip(self.parts, sent_at, strict=False):
            yield part, PartRun(part_sent_at, self.at)

    def select(self, parts: Collection[int]) -> PartCrash:
        """Return the crash with only some of its parts."""
        runs = [(part, run.sent_at) for part, run in self.list_runs() if part in parts]
        return PartCrash(
            self.incarnation, tuple(p for p, _ in runs), self.at, tuple(at for _, at in runs)
        )


class ServedPart(NamedTuple):
    """A part that was suspected, and has had a whole answer."""

    part: int
    sent_at: float
    """When the request of that answer was sent to its endpoint."""


class PartUpdate(NamedTuple):
    """An update from one host to another."""

    crashes: tuple[PartCrash, ...] = ()
    served: tuple[ServedPart, ...] = ()
