"""Running estimates of service times, learned from finished attempts."""

from __future__ import annotations

from math import exp

from cloverway.config.schema import Profile

SAMPLE_WEIGHT = 0.03
PRIOR_SERVICE_S = 1.0
PRIOR_FIRST_TOKEN_S = 0.1
PRIOR_PREFILL_S_PER_BYTE = 25e-6
"""Prefill seconds for an uncached prompt byte: 10,000 tokens a second, 4 bytes each."""
MIN_SAMPLE_S = 1e-3
QUANTILE_STEP = 0.05
CACHED_QUANTILE = 0.2
UNCACHED_QUANTILE = 0.5
PRIOR_DEADLINE_FRACTION = 0.1
"""Service time of a profile without samples, as a fraction (a tenth) of its deadline; at most
PRIOR_SERVICE_S."""


class Mean:
    """An exponentially weighted mean that weights its first samples higher than its prior."""

    __slots__ = ("_samples", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self._samples = 0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self._samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / (self._samples + 1))
        self.value += weight * (sample - self.value)


class Quantile:
    """A running quantile; unlike a mean, it is robust against outliers."""

    __slots__ = ("_fraction", "samples", "value")

    def __init__(self, fraction: float) -> None:
        self._fraction = fraction
        self.samples = 0
        self.value = MIN_SAMPLE_S

    def add(self, sample: float) -> None:
        """Add a sample above zero."""
        self.samples += 1
        if self.samples == 1:
            self.value = sample
        step = max(QUANTILE_STEP, 1.0 / self.samples)
        self.value *= exp(step * (self._fraction - (sample < self.value)))


class Estimates:
    """Service times by profile, and times to first token by model or service."""

    def __init__(self) -> None:
        self._service: dict[str, Mean] = {}
        self._slot: dict[str, Mean] = {}
        self._first_token: dict[str, Quantile] = {}
        self._prefill_per_byte: dict[str, Quantile] = {}

    def estimate_service_s(self, name: str, profile: Profile) -> float:
        """Return the expected seconds for which a request of a profile occupies a slot."""
        mean = self._service.get(name)
        if mean is None:
            return min(PRIOR_SERVICE_S, PRIOR_DEADLINE_FRACTION * profile.deadline_ms / 1000)
        return max(MIN_SAMPLE_S, mean.value)

    def estimate_first_token_s(self, target: str, uncached_bytes: float) -> float:
        """Return the expected seconds from a free slot to the first token."""
        cached = (
            self._first_token[target].value
            if self._is_known(self._first_token, target)
            else PRIOR_FIRST_TOKEN_S
        )
        return cached + self.estimate_prefill_s(target, uncached_bytes)

    def estimate_prefill_s(self, target: str, uncached_bytes: float) -> float:
        """Return the expected seconds to prefill the uncached bytes of a prompt."""
        known = self._is_known(self._prefill_per_byte, target)
        return uncached_bytes * (
            self._prefill_per_byte[target].value if known else PRIOR_PREFILL_S_PER_BYTE
        )

    def record_first_token(self, target: str, seconds: float, uncached_bytes: float) -> None:
        """Record a time to first token that was predicted to include no queueing.

        A block that was sent to an endpoint may have been evicted there, and another host may have
        sent a block that this host has not. So the fixed part is a low quantile over prompts that
        may be cached, and the part per uncached byte is the median over the other prompts.
        """
        cached = self._first_token.setdefault(target, Quantile(CACHED_QUANTILE))
        uncached = self._prefill_per_byte.setdefault(target, Quantile(UNCACHED_QUANTILE))
        if (
            uncached_bytes * (uncached.value if uncached.samples else PRIOR_PREFILL_S_PER_BYTE)
            < seconds / 4
        ):
            cached.add(max(MIN_SAMPLE_S, seconds))
        elif cached.samples and seconds > cached.value:
            uncached.add((seconds - cached.value) / uncached_bytes)

    def record_service(self, name: str, seconds: float) -> None:
        """Record the time for which a complete answer occupied its slot, by profile."""
        self._service.setdefault(name, Mean(max(seconds, MIN_SAMPLE_S))).add(
            max(seconds, MIN_SAMPLE_S)
        )

    def get_mean_slot_s(self, target: str) -> float:
        """Return the mean seconds for which a slot is occupied, over all profiles of a target."""
        return self._slot[target].value if target in self._slot else PRIOR_SERVICE_S

    def record_slot_time(self, target: str, seconds: float) -> None:
        """Record the time for which a complete answer occupied its slot, by target."""
        self._slot.setdefault(target, Mean(max(seconds, MIN_SAMPLE_S))).add(seconds)

    def _is_known(self, quantiles: dict[str, Quantile], target: str) -> bool:
        return target in quantiles and quantiles[target].samples > 0
