"""Running estimates of how long work takes, learnt from attempts that ended."""

from __future__ import annotations

from cloverway.config.published import Profile

SAMPLE_WEIGHT = 0.1
PRIOR_SERVICE_S = 1.0
PRIOR_FIRST_S = 0.1
PRIOR_COLD_BYTE_S = 25e-6
"""Seconds to read a byte of a prompt that isn't cached: 10,000 tokens a second, 4 bytes each."""
LEAST_S = 1e-3
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


class Estimates:
    """Service times by profile, and times to the first token by model or service."""

    def __init__(self) -> None:
        self._service: dict[str, Mean] = {}
        self._first: dict[str, Mean] = {}
        self._cold_byte: dict[str, Mean] = {}

    def service_s(self, name: str, profile: Profile) -> float:
        """Give the seconds for which a request of a profile holds a slot."""
        mean = self._service.get(name)
        if mean is None:
            return min(PRIOR_SERVICE_S, DEADLINE_PART * profile.deadline_ms / 1000)
        return max(LEAST_S, mean.value)

    def first_s(self, target: str, cold_bytes: float) -> float:
        """Give the seconds from a free slot to the first token, with some of the prompt cold."""
        warm = self._first[target].value if target in self._first else PRIOR_FIRST_S
        return warm + self.cold_s(target, cold_bytes)

    def cold_s(self, target: str, cold_bytes: float) -> float:
        """Give the seconds to read some bytes of a prompt that aren't cached."""
        mean = self._cold_byte.get(target)
        return cold_bytes * (mean.value if mean else PRIOR_COLD_BYTE_S)

    def note_first(self, target: str, seconds: float, cold_bytes: float) -> None:
        """Take in the time to a first token that met no queue.

        One sample can't tell the fixed part from the part that grows with cold bytes. Each of the
        two takes what the other leaves over, and a mix of warm and cold prompts tells them apart.
        """
        warm = self._first.setdefault(target, Mean(PRIOR_FIRST_S))
        cold = self._cold_byte.setdefault(target, Mean(PRIOR_COLD_BYTE_S))
        expected_cold_s = cold_bytes * cold.value
        if expected_cold_s < warm.value:
            warm.add(max(LEAST_S, seconds - expected_cold_s))
        else:
            cold.add(max(0.0, seconds - warm.value) / cold_bytes)

    def note_service(self, name: str, seconds: float) -> None:
        """Take in the time for which a whole answer held its slot."""
        self._service.setdefault(name, Mean(max(seconds, LEAST_S))).add(max(seconds, LEAST_S))
