"""The budget of attempts at a backend that is warming up."""

from math import inf

from sumacpost.model import Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate
from sumacpost.policy.slow_start_budget import gateway_share, window_units
from sumacpost.policy.subsetting import UINT64_MASK, splitmix64

OVERLOAD_SAFETY_FRACTION = 0.8  # of what overloads a warm backend or a core: it may be a slower one
ROUNDING_REQUESTS = 0.5  # of a request
ARRIVAL_SPREAD_MS = 50.0  # by which attempts may arrive closer together than they were sent


class SlowStart:
    """Keeps what all gateways send to a warming backend inside what overloads it."""

    def __init__(
        self, settings: Settings, endpoints: EndpointTable, estimate: FleetEstimate
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._estimate = estimate
        self._window_ms = settings.overload_window_ms + ARRIVAL_SPREAD_MS
        self._first_event_at = inf

    def record_event(self, now: float) -> None:
        """Take note of the first event of this gateway's life; later ones change nothing."""
        self._first_event_at = min(self._first_event_at, now)

    def admits(self, now: float, backend: Backend, work_ms: float) -> bool:
        """Return whether a backend is warm, or its budget here has room for work of so many ms.

        Half a request of mean work is rounded off, so that a share of one request is of use to the
        larger half of them too.
        """
        # at the begin of each window that the attempt will be in, the backend is at least as warm
        capacity_fraction = backend.capacity_fraction(now - self._window_ms, self._settings)
        if capacity_fraction >= 1:
            return True
        if self._budget_may_be_spent(now, backend):
            return False
        request_limit = self._window_share(now, backend, capacity_fraction)
        if not request_limit:
            return False
        used_ms = backend.recent_work.total(now - self._window_ms) + work_ms
        return (
            used_ms <= (request_limit + ROUNDING_REQUESTS) * self._estimate.long_term_mean_work_ms
        )

    def record_send(
        self, now: float, backend: Backend, request: int, number: int, work_ms: float
    ) -> None:
        """Count an attempt that is being sent, or written later than it was sent."""
        if backend.capacity_fraction(now - self._window_ms, self._settings) < 1:
            backend.recent_work.add((request, number), now, work_ms)

    def _budget_may_be_spent(self, now: float, backend: Backend) -> bool:
        """Return whether an earlier life of this gateway may have spent the budget of a backend.

        Not where the backend has started in this life. Where no backend is warm, all have started
        together, and there is nothing else to send to.
        """
        if now - self._first_event_at >= self._window_ms:
            return False
        if backend.endpoint.up_since_ms >= self._first_event_at:
            return False
        backends = self._endpoints.backends
        members = self._endpoints.subset.members()
        return any(
            backends[number].capacity_fraction(now, self._settings) >= 1 for number in members
        )

    def _window_share(self, now: float, backend: Backend, capacity_fraction: float) -> int:
        """Return the requests of mean work that this gateway may send in the present period."""
        subset = self._endpoints.subset
        number = backend.endpoint.backend
        rank = subset.rank_of(number)
        if rank is None:
            return 0  # the gateways that have it in their subsets share all of the budget
        gateways = subset.gateway_count(number)
        # counted from its start, which all gateways know, whatever their clocks say
        age_ms = now - backend.endpoint.up_since_ms
        period = int(age_ms // self._settings.overload_window_ms)
        key = (period, gateways, rank)
        if backend.slow_start_key != key:
            backend.slow_start_key = key
            draw = splitmix64((splitmix64(number) + period) & UINT64_MASK)
            rounding = (draw >> 32) / (1 << 32)
            expected = self._expected_requests(capacity_fraction, gateways)
            units = window_units(expected, gateways, rounding)
            backend.slow_start_share = gateway_share(units, gateways, (rank + draw) % gateways)
        return backend.slow_start_share

    def _expected_requests(self, capacity_fraction: float, gateways: int) -> float:
        """Return what a backend bears in a window without the allowance for chance, or less.

        By the load reports of warm ones, or as if it had one core where there are none. Its own
        reports are of a few requests each, and may say ten times what it can do.
        """
        settings = self._settings
        service_ms = self._estimate.service_time.upper_bound_ms(gateways)
        warm_requests_per_ms = max(1 / service_ms, self._estimate.warm_capacity_per_s / 1000)
        requests_per_ms = OVERLOAD_SAFETY_FRACTION * capacity_fraction * warm_requests_per_ms
        return requests_per_ms * settings.overload_factor * settings.overload_window_ms
