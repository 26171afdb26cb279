"""Which engines of a region large prompts are kept to, so that answers at the others don't pause.

An engine reads a part of a prompt in each of its steps, and each answer that runs there gets one
token a step. A prompt that takes longer to read than the wanted pause makes all of them late,
whatever else waits there. Spread over all engines, such prompts meet nearly every answer in the
seconds that it runs; kept to few engines, they meet those that run there.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cloverway.core.decay import DecayingSum
from cloverway.core.endpoints import Endpoint
from cloverway.core.kv_fetch import SOUND_FAILURES
from cloverway.core.members import rank_host
from cloverway.core.prediction import DEFAULT_GAP_S, STALL_PART, Candidate, Wanted

SEEN_HALF_S = 6.0
"""Age at which answers and prompts count half: about as long as the answers of one engine take, so
that a change of the traffic is followed within some of them."""
LATE_PART = 0.03
"""Part of the answers that paused too long from which on prompts are kept apart. Engines that keep
to the wanted pause however much they read would lose by it: each prompt has fewer of them."""
LEAST_ANSWERS = 8.0
"""Answers, older ones counting less, before that part says anything."""
CHOOSE_EVERY_S = 0.5
"""How long a choice of engines holds. The order of the engines is hashed, 20 us for 18 of them, and
an engine that joins or leaves moves one place."""
AVOID_S = 0.8
"""Time that an answer counts at an engine that large prompts are kept to, if one will meet it: some
late answer there, or one of its own behind others elsewhere. With 2.0 worth was the same."""
MET_AFTER_S = 2.0
"""Time after which an answer has met a large prompt at such an engine. At 1.2 to 2 times what its
engines bear, one was sent to each of them every two to three seconds."""


class Isolation:
    """What a host has seen of prompts and pauses at a service, and the engines it chose by that.

    All hosts of a region order its engines alike and see about the same traffic, so they choose
    the same ones, but for one more or less, without a word between them.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._answers = DecayingSum(SEEN_HALF_S)
        self._late = DecayingSum(SEEN_HALF_S)
        self._read = DecayingSum(SEEN_HALF_S)
        self._large = DecayingSum(SEEN_HALF_S)
        self._chosen: frozenset[str] = frozenset()
        self._chosen_at = float("-inf")

    def note_answer(self, longest_gap_s: float, objective_s: float, now: float) -> None:
        """Note an answer that is whole, and the longest pause in it."""
        self._answers.add(1.0, now)
        self._late.add(float(longest_gap_s > objective_s), now)

    def note_prompt(self, wanted: Wanted, candidate: Candidate, now: float) -> None:
        """Note a prompt that is sent to an engine."""
        self._read.add(candidate.read_s, now)
        if is_large(wanted, candidate):
            self._large.add(candidate.read_s, now)

    def choose(self, endpoints: Sequence[Endpoint], now: float) -> frozenset[str]:
        """Choose the engines of a region that get its large prompts, by their ids.

        None are chosen, and all get them, where answers don't pause too long or there is one engine
        only. An engine that fails is left out: it would get them all the same.
        """
        if now - self._chosen_at >= CHOOSE_EVERY_S:
            self._chosen = self._choose(endpoints, now)
            self._chosen_at = now
        return self._chosen

    def _choose(self, endpoints: Iterable[Endpoint], now: float) -> frozenset[str]:
        answers = self._answers.get(now)
        if answers < LEAST_ANSWERS or self._late.get(now) < LATE_PART * answers:
            return frozenset()
        sound = [e.entry.id for e in endpoints if e.load.failures(now) <= SOUND_FAILURES]
        if len(sound) < 2:
            return frozenset()
        sound.sort(key=lambda name: rank_host(self._service, name))
        share = self._large.get(now) / max(self._read.get(now), 1e-9)
        count = min(len(sound) - 1, max(1, round(len(sound) * share)))
        return frozenset(sound[:count])


def is_large(wanted: Wanted, candidate: Candidate) -> bool:
    """Tell whether the prompt alone makes answers at an engine pause too long."""
    pause_s = wanted.route.gap_objective_s or DEFAULT_GAP_S
    return candidate.read_s > STALL_PART * pause_s


def keep_apart(
    wanted: Wanted, candidates: Sequence[Candidate], chosen: frozenset[str]
) -> Sequence[Candidate]:
    """Leave out the engines that a large prompt is kept away from, and weigh answers against it.

    Where none of the chosen engines may get the prompt, all others stay.
    """
    if not chosen:
        return candidates
    kept = [
        _weigh(wanted, candidate, candidate.endpoint.entry.id in chosen)
        for candidate in candidates
        if candidate.endpoint.entry.id in chosen or not is_large(wanted, candidate)
    ]
    return kept or candidates


def _weigh(wanted: Wanted, candidate: Candidate, is_chosen: bool) -> Candidate:
    if not is_chosen or is_large(wanted, candidate):
        return candidate
    meets = min(1.0, candidate.answer_s / MET_AFTER_S)
    return candidate._replace(cost_s=candidate.cost_s + AVOID_S * meets)
