"""The estimator of latency inflation: the ratio of actual to expected latency."""

from math import inf

# Weight of a failure, and upper bound on the weight that an observation gets by being rare.
FAILURE_WEIGHT = 0.3
MIN_DECAY_MS = 3000.0  # shortest time in which an observation decays to a third
# The decay time is this multiple of the gap between observations if that is longer than
# MIN_DECAY_MS.
DECAY_TIME_GAPS = 2.0
MAX_GAP_MS = 60_000.0  # a gap this long or longer resets the decay time to MIN_DECAY_MS


class LatencyInflation:
    """A decaying estimate of actual over expected latency, of a backend or of the fleet.

    It is the only measure of health.
    """

    __slots__ = ("decay_ms", "observed_at", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.observed_at = -inf
        self.decay_ms = MIN_DECAY_MS

    def current(self, now: float, baseline: float = 1.0) -> float:
        """Return the estimate, which decays to the baseline, slowly if observations are rare."""
        return baseline + (self.value - baseline) * 3 ** ((self.observed_at - now) / self.decay_ms)

    def observe(self, now: float, value: float, weight: float, baseline: float = 1.0) -> None:
        """Move the estimate toward a value.

        A rare observation gets more weight, as it represents the many that are missing, but no
        more than FAILURE_WEIGHT unless `weight` is larger.
        """
        decayed_fraction = 1 - 3 ** ((self.observed_at - now) / self.decay_ms)
        weight = max(weight, min(FAILURE_WEIGHT, decayed_fraction))
        estimate = self.current(now, baseline)
        self.value = estimate + (value - estimate) * weight
        gap_ms = now - max(self.observed_at, now - MAX_GAP_MS)
        self.observed_at = now
        decay_ms = DECAY_TIME_GAPS * gap_ms if gap_ms < MAX_GAP_MS else MIN_DECAY_MS
        self.decay_ms = max(MIN_DECAY_MS, decay_ms)
