"""The choice of a backend: forecast, near ties, and admission by the forecast."""

from math import inf
from random import Random

from sumacpost.model import Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate
from sumacpost.policy.pending_request import PendingRequest
from sumacpost.policy.slow_start import SlowStart
from sumacpost.policy.subsetting import MAX_CANDIDATES

TIE_FACTOR = 1.15  # backends within it of the best are as good: chosen at random, against herds
ADMISSION_FRACTION = 0.33  # of the objective: the wait that work of the highest priority may meet
MIN_ADMISSION_FRACTION = 0.25  # and work of no priority
SHEDDING_EXPONENT = 16.0  # how sharply sends thin out past the threshold
PROBE_AFTER_SILENCE_MS = (
    100.0  # with no response from the fleet for so long, an unused backend gets a request
)


class LoadBalancer:
    """Chooses the backend of an attempt, or none where the fleet is overloaded."""

    def __init__(
        self, settings: Settings, random: Random, endpoints: EndpointTable, estimate: FleetEstimate
    ) -> None:
        self.slow_start = SlowStart(settings, endpoints, estimate)
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._estimate = estimate

    def admission_threshold(self, class_number: int) -> float:
        """Return the wait in milliseconds that requests of this class may meet.

        Work of low priority with a long objective must not fill an overloaded fleet.
        """
        classes = self._settings.classes
        unit_ms = self._estimate.unit_ms
        priorities = [c.priority_weight / ms for c, ms in zip(classes, unit_ms, strict=True)]
        priority = priorities[class_number]
        same_or_higher_priority = [
            c for c, p in zip(classes, priorities, strict=True) if p >= priority
        ]
        objective_ms = min(c.latency_objective_ms for c in same_or_higher_priority)
        span = ADMISSION_FRACTION - MIN_ADMISSION_FRACTION
        return objective_ms * (MIN_ADMISSION_FRACTION + span * priority / max(priorities))

    def outstanding_requests(self, now: float, backend: Backend) -> float:
        """Return the requests that stand at a backend from here and one, by its size and warmth."""
        size = backend.endpoint.size or 1
        capacity = (
            self._estimate.mean_work_ms * size * backend.capacity_fraction(now, self._settings)
        )
        return 1 + backend.outstanding_work_ms / capacity

    def candidates(self, request: PendingRequest) -> list[Backend]:
        """Return the backends to compare, a sample where there are many."""
        eligible = self._endpoints.eligible(request.pinned_group)
        if len(eligible) > MAX_CANDIDATES:
            eligible = self._random.sample(eligible, MAX_CANDIDATES)
        return [self._endpoints.backends[number] for number in eligible]

    def expected_latency_ms(
        self, now: float, backend: Backend, request: PendingRequest, fleet_inflation: float
    ) -> float:
        """Return the expected time of an attempt at this backend; silence bounds it from below.

        While others are answered there is no silence: one connection may be dead.
        """
        class_inflation = backend.inflation_by_class[request.event.request_class]
        inflation = class_inflation.current(now, fleet_inflation)
        expected_ms = request.work_ms * inflation * self.outstanding_requests(now, backend)
        oldest = next(iter(backend.in_flight.values()), None)
        if oldest is None:
            return expected_ms
        silent_since = max(oldest.sent_at + oldest.work_ms, backend.responded_at)
        return max(expected_ms, now - silent_since)

    def choose(self, now: float, request: PendingRequest, threshold: float = inf) -> Backend | None:
        """Return the backend of the shortest forecast, at random among near ties; None: reject."""
        admits = self.slow_start.admits
        allowed = [b for b in self.candidates(request) if admits(now, b, request.work_ms)]
        if len(allowed) > 1:
            allowed = [b for b in allowed if b not in request.attempted_backends]
        if not allowed:
            return None
        fleet_inflation = self._estimate.inflation.current(now)
        latencies_ms = [self.expected_latency_ms(now, b, request, fleet_inflation) for b in allowed]
        tie_limit = min(latencies_ms) * TIE_FACTOR
        ties = [
            b
            for b, latency_ms in zip(allowed, latencies_ms, strict=True)
            if latency_ms <= tie_limit
        ]
        best = self._random.choice(ties)
        return best if self._admits(now, request, best, threshold, fleet_inflation) else None

    def _admits(
        self,
        now: float,
        request: PendingRequest,
        best: Backend,
        threshold: float,
        fleet_inflation: float,
    ) -> bool:
        """Draw whether a request is sent, by how far the wait is past what it may meet."""
        class_inflation = best.inflation_by_class[request.event.request_class].current(
            now, fleet_inflation
        )
        # the lower one: one bad backend is no sign of an overloaded fleet
        mean_work_ms = self._estimate.mean_work_ms
        wait_ms = (
            min(fleet_inflation, class_inflation)
            * mean_work_ms
            * self.outstanding_requests(now, best)
        )
        left_ms = request.objective_deadline - now
        excess = max(1.0, wait_ms / threshold)
        if threshold < inf and not request.attempted_backends:
            excess = max(excess, (wait_ms + request.work_ms - mean_work_ms) / max(1.0, left_ms))
        silence_ms = now - self._estimate.inflation.observed_at
        unused = not best.in_flight and request.work_ms < left_ms
        if excess > 1 and unused and silence_ms > PROBE_AFTER_SILENCE_MS:
            return True  # with all rejected, nobody would learn that the overload is over
        admission_probability: float = excess**-SHEDDING_EXPONENT
        return self._random.random() <= admission_probability
