"""Prefix affinity: which endpoint probably holds a prompt's prefix in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from cloverway.dispatch.prompts import Prefix

MAX_ENTRIES = 20_000
"""Bound on remembered blocks, about 4 MB."""
LIKELY_CACHED_S = 3.0
"""How long a block sent to a place counts as cached there; engines evict what isn't used soon."""
POSSIBLY_CACHED_S = 300.0
"""How long it may be cached still, so that a first token tells nothing about a cold read."""


def rank_destinations(key: bytes, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash, so that hosts agree on a place without talking."""
    return sorted(names, key=lambda name: blake2b(key + name.encode(), digest_size=8).digest())


class PrefixTable:
    """Remember which blocks this host sent where. Engine's own cache events come late, with gaps.

    An entry names the incarnation of the endpoint: a restarted one has a cold cache.
    """

    def __init__(self) -> None:
        self._used_at: OrderedDict[tuple[str, str, bytes], float] = OrderedDict()

    def record(self, name: str, incarnation: str, prefix: Prefix, now: float) -> None:
        """Remember that a prompt was sent to a place."""
        for digest in prefix.hashes:
            entry = (name, incarnation, digest)
            self._used_at[entry] = now
            self._used_at.move_to_end(entry)
        while len(self._used_at) > MAX_ENTRIES:
            self._used_at.popitem(last=False)

    def count_matching_blocks(
        self, name: str, incarnation: str, prefix: Prefix, since: float
    ) -> int:
        """Count the leading blocks of a prompt that were sent to a place after some time."""
        for count in range(len(prefix.hashes), 0, -1):
            if self._used_at.get((name, incarnation, prefix.hashes[count - 1]), since) > since:
                return count
        return 0
