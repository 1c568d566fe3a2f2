"""The choice of a backend by expected latency, and admission control by the expected wait."""

from math import inf
from random import Random

from sumacpost.model import Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate
from sumacpost.policy.pending_request import PendingRequest
from sumacpost.policy.slow_start import SlowStart
from sumacpost.policy.subsetting import MAX_CANDIDATES

# The choice among backends within this factor of the lowest expected latency is random, so that
# gateways don't all send to the same one.
TIE_FACTOR = 1.15
# Admission threshold of the highest priority, as a fraction of the latency objective.
ADMISSION_FRACTION = 0.33
MIN_ADMISSION_FRACTION = 0.25  # the same for a priority of zero
# The admission probability falls with this power of the wait relative to the threshold.
SHEDDING_EXPONENT = 16.0
# After a longer time without a response from the fleet, an idle backend gets a request even if the
# fleet counts as overloaded.
PROBE_AFTER_SILENCE_MS = 100.0


class LoadBalancer:
    """Chooses the backend of an attempt, or none if the fleet is overloaded."""

    def __init__(
        self, settings: Settings, random: Random, endpoints: EndpointTable, estimate: FleetEstimate
    ) -> None:
        self.slow_start = SlowStart(settings, endpoints, estimate)
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._estimate = estimate

    def admission_threshold(self, class_number: int) -> float:
        """Return the expected wait, in ms, up to which requests of this class are admitted.

        The latency objective that counts is the shortest of all classes with the same or a higher
        priority: work of low priority with a long objective must not fill an overloaded fleet.
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
        """Return 1 plus this gateway's outstanding work at a backend, in requests of mean work.

        The work is relative to the backend's size and present capacity fraction.
        """
        size = backend.endpoint.size or 1
        capacity = (
            self._estimate.mean_work_ms * size * backend.capacity_fraction(now, self._settings)
        )
        return 1 + backend.outstanding_work_ms / capacity

    def candidates(self, request: PendingRequest) -> list[Backend]:
        """Return the backends to compare: all eligible ones, or a random sample of those."""
        eligible = self._endpoints.eligible(request.pinned_group)
        if len(eligible) > MAX_CANDIDATES:
            eligible = self._random.sample(eligible, MAX_CANDIDATES)
        return [self._endpoints.backends[number] for number in eligible]

    def expected_latency_ms(
        self, now: float, backend: Backend, request: PendingRequest, fleet_inflation: float
    ) -> float:
        """Return the expected latency of an attempt at this backend, in ms.

        It is at least the time for which the backend has been silent: since its last response, or
        since its oldest attempt in flight should have ended if that is later. Responses to other
        attempts end the silence, as one overdue attempt may be due to a single dead connection.
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
        """Return the backend of the lowest expected latency, at random among near ties.

        Return None if no backend is allowed or admission control rejects the request.
        """
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
        """Draw whether a request is sent, by the ratio of its expected wait to the threshold.

        For a first attempt that has a threshold, the ratio of its expected latency to the time left
        until the objective deadline counts instead if that is higher.
        """
        class_inflation = best.inflation_by_class[request.event.request_class].current(
            now, fleet_inflation
        )
        mean_work_ms = self._estimate.mean_work_ms
        # The lower inflation counts: one bad backend doesn't mean that the fleet is overloaded.
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
        can_probe = not best.in_flight and request.work_ms < left_ms
        if excess > 1 and can_probe and silence_ms > PROBE_AFTER_SILENCE_MS:
            # With all requests rejected, no response would show the end of the overload.
            return True
        admission_probability: float = excess**-SHEDDING_EXPONENT
        return self._random.random() <= admission_probability
