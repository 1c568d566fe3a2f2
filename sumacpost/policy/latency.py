"""The estimator of latency inflation: time taken over time expected."""

from math import inf

FAILURE_WEIGHT = 0.3  # weight of a failure, and the most that a rare observation may have
MIN_DECAY_MS = 3000.0  # an observation fades to a third in this time
DECAY_TIME_GAPS = 2.0  # or in so many times the gap between observations, where that is longer
MAX_GAP_MS = 60_000.0  # after a longer gap the decay time starts anew


class LatencyInflation:
    """Time taken over time expected: the one measure of health, of a backend or of the fleet."""

    __slots__ = ("decay_ms", "observed_at", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.observed_at = -inf
        self.decay_ms = MIN_DECAY_MS

    def current(self, now: float, baseline: float = 1.0) -> float:
        """Return the estimate: it decays toward the usual one, slowly if observations are rare."""
        return baseline + (self.value - baseline) * 3 ** ((self.observed_at - now) / self.decay_ms)

    def observe(self, now: float, value: float, weight: float, baseline: float = 1.0) -> None:
        """Move the estimate toward a value; a rare one weighs as much as the many it stands for."""
        decayed_fraction = 1 - 3 ** ((self.observed_at - now) / self.decay_ms)
        weight = max(weight, min(FAILURE_WEIGHT, decayed_fraction))
        estimate = self.current(now, baseline)
        self.value = estimate + (value - estimate) * weight
        gap_ms = now - max(self.observed_at, now - MAX_GAP_MS)
        self.observed_at = now
        decay_ms = DECAY_TIME_GAPS * gap_ms if gap_ms < MAX_GAP_MS else MIN_DECAY_MS
        self.decay_ms = max(MIN_DECAY_MS, decay_ms)
