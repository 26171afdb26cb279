"""Running estimates of how long work takes, learnt from attempts that ended."""

from __future__ import annotations

from math import exp

from cloverway.config.schema import Profile

SAMPLE_WEIGHT = 0.03
PRIOR_SERVICE_S = 1.0
PRIOR_FIRST_S = 0.1
PRIOR_COLD_BYTE_S = 25e-6
"""Seconds to read a byte of a prompt that isn't cached: 10,000 tokens a second, 4 bytes each."""
LEAST_S = 1e-3
QUANTILE_STEP = 0.05
WARM_PART = 0.2
COLD_PART = 0.5
DEADLINE_PART = 0.1
"""A profile that never ran is taken to need a tenth of its deadline, if that is little."""


class Mean:
    """An exponentially weighted mean that trusts its first samples more than its prior."""

    __slots__ = ("_samples", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self._samples = 0

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / (self._samples + 1))
        self.value += weight * (sample - self.value)


class Quantile:
    """A running quantile; unlike a mean, it isn't moved far by samples of another kind."""

    __slots__ = ("_part", "samples", "value")

    def __init__(self, part: float) -> None:
        self._part = part
        self.samples = 0
        self.value = LEAST_S

    def add(self, sample: float) -> None:
        """Take in a sample above zero."""
        self.samples += 1
        if self.samples == 1:
            self.value = sample
        step = max(QUANTILE_STEP, 1.0 / self.samples)
        self.value *= exp(step * (self._part - (sample < self.value)))


class Estimates:
    """Service times by profile, and times to the first token by model or service."""

    def __init__(self) -> None:
        self._service: dict[str, Mean] = {}
        self._hold: dict[str, Mean] = {}
        self._first: dict[str, Quantile] = {}
        self._cold_byte: dict[str, Quantile] = {}

    def service_s(self, name: str, profile: Profile) -> float:
        """Give the seconds for which a request of a profile holds a slot."""
        mean = self._service.get(name)
        if mean is None:
            return min(PRIOR_SERVICE_S, DEADLINE_PART * profile.deadline_ms / 1000)
        return max(LEAST_S, mean.value)

    def first_s(self, target: str, cold_bytes: float) -> float:
        """Give the seconds from a free slot to the first token, with some of the prompt cold."""
        warm = self._first[target].value if self._is_known(self._first, target) else PRIOR_FIRST_S
        return warm + self.cold_s(target, cold_bytes)

    def cold_s(self, target: str, cold_bytes: float) -> float:
        """Give the seconds to read some bytes of a prompt that aren't cached."""
        known = self._is_known(self._cold_byte, target)
        return cold_bytes * (self._cold_byte[target].value if known else PRIOR_COLD_BYTE_S)

    def note_first(self, target: str, seconds: float, cold_bytes: float) -> None:
        """Take in the time to a first token that was predicted to meet no queue.

        What was sent to a place once may have been evicted there, and what this host never sent
        there a sibling may have. So the fixed part is a low quantile of the prompts that may be
        cached, and the part that grows with cold bytes a middle one of the others.
        """
        warm = self._first.setdefault(target, Quantile(WARM_PART))
        cold = self._cold_byte.setdefault(target, Quantile(COLD_PART))
        if cold_bytes * (cold.value if cold.samples else PRIOR_COLD_BYTE_S) < seconds / 4:
            warm.add(max(LEAST_S, seconds))
        elif warm.samples and seconds > warm.value:
            cold.add((seconds - warm.value) / cold_bytes)

    def note_service(self, name: str, seconds: float) -> None:
        """Take in the time for which a whole answer held its slot."""
        self._service.setdefault(name, Mean(max(seconds, LEAST_S))).add(max(seconds, LEAST_S))

    def hold_s(self, target: str) -> float:
        """Give the mean seconds for which a slot is held, over all profiles of a target."""
        return self._hold[target].value if target in self._hold else PRIOR_SERVICE_S

    def note_hold(self, target: str, seconds: float) -> None:
        """Take in the time for which a whole answer held its slot, by target."""
        self._hold.setdefault(target, Mean(max(seconds, LEAST_S))).add(seconds)

    def _is_known(self, learnt: dict[str, Quantile], target: str) -> bool:
        return target in learnt and learnt[target].samples > 0
