"""What endpoints worked on and when, and whether two of them worked on one stream."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import combinations
from typing import NamedTuple

MAX_OVERLAP_S = 0.4
"""How long an endpoint may work on after another one has gone on with its stream."""


class Work(NamedTuple):
    """A run of a request at an endpoint, and until when the endpoint worked on it."""

    request_id: str
    began_at: float
    ended_at: float
    endpoint: str = ""

    def measure_overlap_s(self, later: Work) -> float:
        """Return for how long this work went on after a later one had begun."""
        return min(self.ended_at, later.ended_at) - later.began_at


def find_overlaps(works: Iterable[Work], streams: dict[str, str]) -> Iterator[str]:
    """Yield each pair of works on one stream that overlap for too long.

    `streams` has the first request of the stream that a request took up.
    """
    by_stream: dict[str, list[Work]] = defaultdict(list)
    for work in works:
        by_stream[streams.get(work.request_id, work.request_id)].append(work)
    for stream, of_stream in by_stream.items():
        of_stream.sort(key=lambda work: work.began_at)
        for work, later in combinations(of_stream, 2):
            overlap_s = work.measure_overlap_s(later)
            if overlap_s > MAX_OVERLAP_S:
                yield (
                    f"{stream}: {work.endpoint} worked on for {overlap_s:.2f} s after "
                    f"{later.endpoint} had begun: {work}, {later}"
                )
