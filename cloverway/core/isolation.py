"""Isolate large prompts on some engines of a region, so that answers at the others don't stall.

An engine prefills a chunk of a prompt in each step and produces one token of each running answer
per step. A prompt with a prefill time above the gap objective stalls all of them, whatever else is
queued. If such prompts are spread over all engines, nearly every answer is stalled by one while it
runs; if they are isolated on a few engines, only the answers there are.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from cloverway.core.decay import DecayingSum
from cloverway.core.endpoint import Endpoint
from cloverway.core.kv_fetch import MAX_HEALTHY_FAILURES
from cloverway.core.members import rank_host
from cloverway.core.prediction import DEFAULT_GAP_OBJECTIVE_S, STALL_FRACTION, Candidate, RoutedCall

OBSERVATION_HALF_LIFE_S = 6.0
"""Half-life of observed answers and prompts: about the duration of an answer, so that a change of
the traffic is followed within a few answers."""
MIN_STALLED_FRACTION = 0.03
"""Minimum fraction of answers with a stall for isolation. Engines that keep the gap objective under
any prefill load gain nothing from isolation, which leaves each prompt fewer engines."""
MIN_ANSWERS = 8.0
"""Minimum decayed number of answers for that fraction to be significant."""
SELECTION_TTL_S = 0.5
"""How long a selection of engines is reused. Ranking 18 engines by hash takes 20 us, and an engine
that joins or leaves changes the selection by one."""
AVOIDANCE_COST_S = 0.8
"""Cost of any other answer at an engine selected for large prompts, if a large prompt is certain to
arrive while it runs: either the answer stalls there, or it is queued behind others elsewhere."""
LARGE_PROMPT_INTERVAL_S = 2.0
"""Decode time after which an answer is certain to be running when a large prompt arrives at a
selected engine. Under a load of 1.2 to 2 times the capacity of the engines, each selected engine
gets one every two to three seconds."""


class LargePromptIsolation:
    """Observes prompts and stalls of a service and selects the engines for its large prompts.

    All hosts of a region rank its engines alike and see about the same traffic. Without
    communication they select the same ones, or differ by one.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._answers = DecayingSum(OBSERVATION_HALF_LIFE_S)
        self._stalled_answers = DecayingSum(OBSERVATION_HALF_LIFE_S)
        self._prefill = DecayingSum(OBSERVATION_HALF_LIFE_S)
        self._large_prefill = DecayingSum(OBSERVATION_HALF_LIFE_S)
        self._selected: frozenset[str] = frozenset()
        self._selected_at = float("-inf")

    def record_answer(self, longest_gap_s: float, objective_s: float, now: float) -> None:
        """Record a complete answer and its longest inter-token gap."""
        self._answers.add(1.0, now)
        self._stalled_answers.add(float(longest_gap_s > objective_s), now)

    def record_prompt(self, routed: RoutedCall, candidate: Candidate, now: float) -> None:
        """Record a prompt that is sent to an engine."""
        self._prefill.add(candidate.prefill_s, now)
        if is_large_prompt(routed, candidate):
            self._large_prefill.add(candidate.prefill_s, now)

    def select_engines(self, endpoints: Sequence[Endpoint], now: float) -> frozenset[str]:
        """Return the ids of the engines of a region that get its large prompts.

        The result is empty, and all engines get large prompts, if answers don't stall or there is
        only one engine. Failing engines are not selected.
        """
        if now - self._selected_at >= SELECTION_TTL_S:
            self._selected = self._select_engines(endpoints, now)
            self._selected_at = now
        return self._selected

    def _select_engines(self, endpoints: Iterable[Endpoint], now: float) -> frozenset[str]:
        answers = self._answers.get(now)
        if answers < MIN_ANSWERS or self._stalled_answers.get(now) < MIN_STALLED_FRACTION * answers:
            return frozenset()
        healthy = [
            e.entry.id for e in endpoints if e.load.count_failures(now) <= MAX_HEALTHY_FAILURES
        ]
        if len(healthy) < 2:
            return frozenset()
        healthy.sort(key=lambda name: rank_host(self._service, name))
        share = self._large_prefill.get(now) / max(self._prefill.get(now), 1e-9)
        count = min(len(healthy) - 1, max(1, round(len(healthy) * share)))
        return frozenset(healthy[:count])


def is_large_prompt(routed: RoutedCall, candidate: Candidate) -> bool:
    """Return whether the prompt alone stalls the running answers of an engine."""
    objective_s = routed.route.gap_objective_s or DEFAULT_GAP_OBJECTIVE_S
    return candidate.prefill_s > STALL_FRACTION * objective_s


def apply_isolation(
    routed: RoutedCall, candidates: Sequence[Candidate], selected: frozenset[str]
) -> Sequence[Candidate]:
    """Remove engines not selected for a large prompt; raise the cost of selected ones for others.

    If no selected engine is among the candidates of a large prompt, all candidates are kept.
    """
    if not selected:
        return candidates
    kept = [
        _add_avoidance_cost(routed, candidate, candidate.endpoint.entry.id in selected)
        for candidate in candidates
        if candidate.endpoint.entry.id in selected or not is_large_prompt(routed, candidate)
    ]
    return kept or candidates


def _add_avoidance_cost(routed: RoutedCall, candidate: Candidate, is_selected: bool) -> Candidate:
    if not is_selected or is_large_prompt(routed, candidate):
        return candidate
    overlap_probability = min(1.0, candidate.decode_s / LARGE_PROMPT_INTERVAL_S)
    return candidate._replace(cost_s=candidate.cost_s + AVOIDANCE_COST_S * overlap_probability)
