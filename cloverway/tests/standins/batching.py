"""Continuous batching of the stand-in engine: slots, a priority queue and a prefix cache."""

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
    """Durations of the simulated work, in seconds."""

    prefill_s: float = 0.0
    """Prefill time of each prompt token that is not in the cache."""
    token_s: float = 0.0
    """Interval between output tokens."""
    load_s: float = 0.0
    """Time to load a model."""
    resume_s: float = 10.0
    """How long an interrupted run can be resumed."""


class CacheEvent(NamedTuple):
    sequence: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """An LRU cache of prompt prefix blocks; every `gap_every`-th of its events is left out."""

    def __init__(self, capacity: int = 1024, gap_every: int = 0) -> None:
        self.capacity = capacity
        self.gap_every = gap_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._sequence = itertools.count(1)
        self.hit_words = 0
        self.all_words = 0

    def record_prompt(self, words: list[str], now: float) -> int:
        """Store the blocks of a prompt and return how many of its words were cached before."""
        chain = list(hash_prefix_blocks(words))
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
        if len(self._blocks) > self.capacity:
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
        return len(self._blocks) / self.capacity if self.capacity else 1.0


def hash_prefix_blocks(words: list[str]) -> list[str]:
    """Return a name for each full block of a prompt, a hash of the prompt up to its end."""
    full_blocks = len(words) // BLOCK_WORDS
    chain = hashlib.sha256()
    names = []
    for number in range(full_blocks):
        chain.update(" ".join(words[number * BLOCK_WORDS : (number + 1) * BLOCK_WORDS]).encode())
        names.append(chain.hexdigest()[:16])
    return names


class Run:
    """A request in the engine, from the queue to its last token."""

    def __init__(self, identity: str, prompt: str, user: str, total: int, priority: int) -> None:
        self.id = identity
        self.continued_from = 0  # output tokens that are already part of the prompt
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
        return [f"{self.token_prefix}{self.continued_from + n} " for n in range(start, end)]

    def notify(self) -> None:
        """Wake the tasks that wait for this run."""
        self.progress.set()
        self.progress = asyncio.Event()

    @property
    def ended(self) -> bool:
        return self.state in ("done", "cancelled", "lost")


def make_token_prefix(prompt: str, user: str) -> str:
    """Return the prefix of each output token, by which a caller recognizes its own answer."""
    return f"{user}-{hashlib.sha256(prompt.encode()).hexdigest()[:8]}-"


def expected_text(prompt: str, user: str, total: int) -> str:
    """Return the complete text that the engine generates for a request."""
    return "".join(f"{make_token_prefix(prompt, user)}{number} " for number in range(total))


class Batch:
    """Runs as many requests concurrently as there are slots, those of high priority first."""

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
        """Queue an interrupted run again."""
        if run.state == "interrupted":
            self._enqueue(run)

    def interrupt(self, run: Run) -> None:
        """Stop a run whose client disconnected; it can be resumed for `resume_s`."""
        if run.state in ("waiting", "running"):
            self._end(run, "interrupted")

    def cancel(self, identity: str) -> bool:
        run = self.runs.get(identity)
        if run is None or run.ended:
            return False
        self._end(run, "cancelled")
        return True

    def discard_all(self) -> None:
        """Discard every run, as a restart does."""
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
            cached_words = self.cache.record_prompt(run.words, time.monotonic())
            await asyncio.sleep(self.timing.prefill_s * max(0, len(run.words) - cached_words))
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
