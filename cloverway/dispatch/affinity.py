"""Prefix affinity: which endpoint probably has a prompt's prefix in its KV cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

from cloverway.dispatch.prompts import Prefix

MAX_ENTRIES = 20_000
"""Maximum number of blocks in the table, about 4 MB."""
LIKELY_CACHED_S = 3.0
"""How long a block counts as cached after it was sent; engines evict blocks that are not reused
soon."""
POSSIBLY_CACHED_S = 300.0
"""How long a block may still be cached; until then the time to first token of a prompt with this
block does not count as a sample of uncached prefill."""


def rank_destinations(key: bytes, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hash, so that hosts agree on them without communication."""
    return sorted(names, key=lambda name: blake2b(key + name.encode(), digest_size=8).digest())


class PrefixTable:
    """Track which prompt blocks this host sent to which destination.

    The cache events of engines are not used because they arrive late and with gaps. Entries
    include the incarnation of the endpoint, because a restarted endpoint has a cold cache.
    """

    def __init__(self) -> None:
        self._used_at: OrderedDict[tuple[str, str, bytes], float] = OrderedDict()

    def record(self, name: str, incarnation: str, prefix: Prefix, now: float) -> None:
        """Record that a prompt was sent to a destination."""
        for digest in prefix.hashes:
            entry = (name, incarnation, digest)
            self._used_at[entry] = now
            self._used_at.move_to_end(entry)
        while len(self._used_at) > MAX_ENTRIES:
            self._used_at.popitem(last=False)

    def count_matching_blocks(
        self, name: str, incarnation: str, prefix: Prefix, since: float
    ) -> int:
        """Return the number of leading blocks that were sent to a destination after `since`."""
        for count in range(len(prefix.hashes), 0, -1):
            if self._used_at.get((name, incarnation, prefix.hashes[count - 1]), since) > since:
                return count
        return 0
