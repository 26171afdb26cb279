"""Prompt prefixes: hashes of a body's leading blocks, the same on every host."""

from __future__ import annotations

from hashlib import blake2b

BLOCK_BYTES = 1024
"""Engines cache blocks of tokens; about 256 tokens are enough to tell prompts apart."""
MAX_BLOCKS = 32
"""Bound on the work for one request; prompts that agree on all of these blocks share a cache."""
PROMPT_FIELDS = (b'"messages"', b'"prompt"')


class Prefix:
    """The leading blocks of one prompt."""

    __slots__ = ("hashes", "length")

    def __init__(self, hashes: tuple[bytes, ...], length: int) -> None:
        self.hashes = hashes
        self.length = length
        """Bytes of the entire prompt, not only of the hashed blocks."""

    @classmethod
    def from_body(cls, body: bytes) -> Prefix:
        """Hash the blocks of a JSON body from the start of its prompt; a short prompt has none."""
        begin = _find_prompt_start(body)
        length = len(body) - begin
        running = blake2b(digest_size=8)
        hashes = []
        for block in range(min(length // BLOCK_BYTES, MAX_BLOCKS)):
            at = begin + block * BLOCK_BYTES
            running.update(body[at : at + BLOCK_BYTES])
            hashes.append(running.digest())
        return cls(tuple(hashes), length)

    @property
    def key(self) -> bytes:
        """The rendezvous hashing key for this prefix; empty for a short prompt."""
        return self.hashes[min(1, len(self.hashes) - 1)] if self.hashes else b""

    def count_uncached_bytes(self, matched: int) -> int:
        """Return the bytes that an engine must prefill if it has cached `matched` blocks."""
        return self.length - matched * BLOCK_BYTES


def _find_prompt_start(body: bytes) -> int:
    """Return where the prompt begins: fields before it, such as a seed, differ for each call."""
    found = [at for at in (body.find(field) for field in PROMPT_FIELDS) if at >= 0]
    return min(found, default=0)
