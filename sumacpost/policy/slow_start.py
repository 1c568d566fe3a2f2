"""The work budget of a backend that is warming up."""

from random import Random

from sumacpost.model import Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate

OVERLOAD_FRACTION = 0.8  # of the work that overloads a backend of one core, all gateways together
FLEET_CAPACITY_FRACTION = 0.5  # of what reports say that warm backends can do
OWN_CAPACITY_FRACTION = 0.6  # of what they say that it can: it may be half as fast


class SlowStart:
    """Keeps the work that all gateways send to a warming backend inside what overloads it."""

    def __init__(
        self, settings: Settings, random: Random, endpoints: EndpointTable, estimate: FleetEstimate
    ) -> None:
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._estimate = estimate

    def admits(self, now: float, backend: Backend, work: float) -> bool:
        """Return whether a backend is warm, or its budget for this window has so much work left."""
        settings = self._settings
        # gateways begin their windows at different moments: each allows what was right at its start
        warmth = backend.warmth(now - settings.overload_window_ms, settings)
        if warmth >= 1:
            return True
        offset = settings.index / settings.gateways
        window = (now / settings.overload_window_ms + offset) // 1
        if backend.slow_start_window != window:
            backend.slow_start_window = window
            backend.slow_start_work = self._budget(backend, warmth)
        return backend.slow_start_work >= work / 2

    def _budget(self, backend: Backend, warmth: float) -> float:
        """Return the work for one window; part of a request is rounded by chance."""
        settings = self._settings
        mean_work = self._estimate.mean_work
        users = self._endpoints.subset.gateways_of(backend.endpoint.backend)
        fleet_rate = FLEET_CAPACITY_FRACTION * warmth * self._estimate.warm_capacity
        rate = max(fleet_rate, OWN_CAPACITY_FRACTION * backend.measured_capacity)
        capacity = max(OVERLOAD_FRACTION * warmth, rate / 1000 * mean_work)
        window_work = capacity * settings.overload_factor * settings.overload_window_ms
        requests = window_work / users / mean_work
        return (requests + self._random.random()) // 1 * mean_work
