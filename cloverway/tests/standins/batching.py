"""The inside of the stand-in engine: slots, a priority queue, a prefix cache and its events."""

from __future__ import annotations

import asyncio
import hashlib
import heapq
import itertools
import time
from collections import Counter, OrderedDict
from typing import Any, NamedTuple

BLOCK_WORDS = 16


class Timing(NamedTuple):
    """How long the work takes, in seconds."""

    prefill_s: float = 0.0
    """For each prompt token that is not in the cache."""
    token_s: float = 0.0
    load_s: float = 0.0
    resume_s: float = 10.0
    """How long an interrupted run can be resumed."""


class CacheEvent(NamedTuple):
    sequence: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """Blocks of prompt prefixes, least recently used first; the events come with gaps."""

    def __init__(self, blocks: int = 1024, gap_every: int = 0) -> None:
        self.blocks = blocks
        self.gap_every = gap_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = itertools.count(1)
        self.hit_words = 0
        self.all_words = 0

    def record_prompt(self, words: list[str], now: float) -> int:
        """Note a prompt and give how many of its words were held."""
        chain = list(prefix_blocks(words))
        hits = sum(1 for _ in itertools.takewhile(lambda block: block in self._blocks, chain))
        for block in chain:
            self._store(block, now)
        self.hit_words += hits * BLOCK_WORDS
        self.all_words += len(words)
        return hits * BLOCK_WORDS

    def _store(self, block: str, now: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._record_event("stored", block, now)
        if len(self._blocks) > self.blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record_event("removed", oldest, now)

    def _record_event(self, kind: str, block: str, now: float) -> None:
        sequence = next(self._sequence)
        if self.gap_every and sequence % self.gap_every == 0:
            return
        self._events.append(CacheEvent(sequence, kind, block, now))
        del self._events[:-4096]

    def events(self, after: int, until: float) -> list[CacheEvent]:
        return [event for event in self._events if event.sequence > after and event.at <= until]

    @property
    def used(self) -> float:
        return len(self._blocks) / self.blocks if self.blocks else 1.0


def prefix_blocks(words: list[str]) -> list[str]:
    """Name each whole block of a prompt by all that stands before its end."""
    full_blocks = len(words) // BLOCK_WORDS
    chain = hashlib.sha256()
    names = []
    for number in range(full_blocks):
        chain.update(" ".join(words[number * BLOCK_WORDS : (number + 1) * BLOCK_WORDS]).encode())
        names.append(chain.hexdigest()[:16])
    return names


class Run:
    """One request in the engine, from its queue to its last token."""

    def __init__(self, identity: str, prompt: str, user: str, total: int, priority: int) -> None:
        self.id = identity
        self.before = 0  # tokens that the prompt already holds of the answer
        self.words = prompt.split()
        self.user = user
        self.token_prefix = make_token_prefix(prompt, user)
        self.total = total
        self.priority = priority
        self.generated = 0
        self.state = "waiting"
        self.ended_at = 0.0
        self.progress = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def tokens(self, start: int, end: int) -> list[str]:
        return [f"{self.token_prefix}{self.before + n} " for n in range(start, end)]

    def notify(self) -> None:
        """Wake who waits for this run."""
        self.progress.set()
        self.progress = asyncio.Event()

    @property
    def ended(self) -> bool:
        return self.state in ("done", "cancelled", "lost")


def make_token_prefix(prompt: str, user: str) -> str:
    """Give what stands in each token, so that a caller knows its own answer."""
    return f"{user}-{hashlib.sha256(prompt.encode()).hexdigest()[:8]}-"


def expected_text(prompt: str, user: str, total: int) -> str:
    """Give the whole answer to a request."""
    return "".join(f"{make_token_prefix(prompt, user)}{number} " for number in range(total))


class Batch:
    """Run as many requests at one time as there are slots, the most urgent first."""

    def __init__(self, slots: int, timing: Timing, cache: PrefixCache) -> None:
        self.slots = slots
        self.timing = timing
        self.cache = cache
        self.runs: dict[str, Run] = {}
        self.started: Counter[str] = Counter()
        self.cancelled: list[str] = []
        self.most_running = 0
        self._queue: list[tuple[int, int, Run]] = []
        self._order = itertools.count()
        self._running: set[Run] = set()
        self._interval: dict[Run, float] = {}

    @property
    def running(self) -> int:
        return len(self._running)

    @property
    def waiting(self) -> int:
        return sum(1 for *_, run in self._queue if run.state == "waiting")

    def add(self, run: Run, token_s: float | None = None) -> None:
        self._evict_expired(time.monotonic())
        self.runs[run.id] = run
        self._interval[run] = self.timing.token_s if token_s is None else token_s
        self._enqueue(run)

    def resume(self, run: Run) -> None:
        """Go on with an interrupted run; it needs a slot again."""
        if run.state == "interrupted":
            self._enqueue(run)

    def interrupt(self, run: Run) -> None:
        """Stop a run whose reader left; it can be resumed for a while."""
        if run.state in ("waiting", "running"):
            self._end(run, "interrupted")

    def cancel(self, identity: str) -> bool:
        run = self.runs.get(identity)
        if run is None or run.ended:
            return False
        self._end(run, "cancelled")
        return True

    def forget(self) -> None:
        """Lose every run, as a restart does."""
        for run in list(self.runs.values()):
            if not run.ended:
                self._end(run, "lost")
        self.runs.clear()

    def _enqueue(self, run: Run) -> None:
        run.state = "waiting"
        heapq.heappush(self._queue, (-run.priority, next(self._order), run))
        self._fill()

    def _fill(self) -> None:
        while self._queue and len(self._running) < self.slots:
            *_, run = heapq.heappop(self._queue)
            if run.state == "waiting":
                self._start(run)

    def _start(self, run: Run) -> None:
        run.state = "running"
        if not run.generated:
            self.started[run.id] += 1
        self._running.add(run)
        self.most_running = max(self.most_running, len(self._running))
        run.task = asyncio.get_running_loop().create_task(self._generate(run))

    async def _generate(self, run: Run) -> None:
        if not run.generated:
            held = self.cache.record_prompt(run.words, time.monotonic())
            await asyncio.sleep(self.timing.prefill_s * max(0, len(run.words) - held))
        while run.generated < run.total:
            await asyncio.sleep(self._interval.get(run, self.timing.token_s))
            run.generated += 1
            run.notify()
        self._end(run, "done")

    def _end(self, run: Run, state: str) -> None:
        if run.task is not None and state != "done":
            run.task.cancel()
        if state in ("cancelled", "interrupted"):
            self.cancelled.append(run.id)
        run.state = state
        run.ended_at = time.monotonic()
        self._running.discard(run)
        run.notify()
        self._fill()

    def _evict_expired(self, now: float) -> None:
        limit = now - self.timing.resume_s
        ended = ("done", "cancelled", "lost", "interrupted")
        old = [run for run in self.runs.values() if run.state in ended and run.ended_at < limit]
        for run in old:
            del self.runs[run.id]
            self._interval.pop(run, None)

    def as_dict(self) -> dict[str, Any]:
        return {
            "ids": dict(self.started),
            "cancelled": list(self.cancelled),
            "most_running": self.most_running,
            "hit_words": self.cache.hit_words,
            "all_words": self.cache.all_words,
        }
