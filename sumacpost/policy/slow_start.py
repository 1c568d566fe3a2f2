"""The limit on attempts at a backend that is warming up."""

from math import inf

from sumacpost.model import Settings
from sumacpost.policy.backend import Backend
from sumacpost.policy.endpoint_table import EndpointTable
from sumacpost.policy.fleet_estimate import FleetEstimate
from sumacpost.policy.slow_start_budget import gateway_share, period_budget
from sumacpost.policy.subsetting import UINT64_MASK, splitmix64

ROUNDING_REQUESTS = 0.5  # requests of mean work by which a share may be exceeded
ARRIVAL_SPREAD_MS = 50.0  # attempts may arrive closer together by this than they were sent


class SlowStart:
    """Keeps the load that all gateways send to a warming backend below what overloads it."""

    def __init__(
        self, settings: Settings, endpoints: EndpointTable, estimate: FleetEstimate
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._estimate = estimate
        self._window_ms = settings.overload_window_ms + ARRIVAL_SPREAD_MS
        self._first_event_at = inf

    def record_event(self, now: float) -> None:
        """Record the time of this gateway's first event; later events change nothing."""
        self._first_event_at = min(self._first_event_at, now)

    def admits(self, now: float, backend: Backend, work_ms: float) -> bool:
        """Return whether the backend is warm, or its budget has room for the work at this gateway.

        The share may be exceeded by half a request of mean work, so that a share of one request can
        also be used for requests larger than the mean.
        """
        # At the start of each window that will contain the attempt, the backend has this capacity
        # fraction or more.
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
        """Record an attempt that is being sent, or that is written later than it was sent."""
        if backend.capacity_fraction(now - self._window_ms, self._settings) < 1:
            backend.recent_work.add((request, number), now, work_ms)

    def _budget_may_be_spent(self, now: float, backend: Backend) -> bool:
        """Return whether this gateway may have spent the budget before it was restarted.

        This is impossible if the backend has started after this gateway. If no backend of the
        subset is warm, all have started together and there is no other one to send to, so the
        budget counts as unspent.
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
        """Return the requests of mean work that this gateway may send in the current period."""
        subset = self._endpoints.subset
        number = backend.endpoint.backend
        rank = subset.rank_of(number)
        if rank is None:
            return 0  # the gateways with the backend in their subsets share the whole budget
        gateways = subset.gateway_count(number)
        # Periods are counted from the backend's start, so that they agree at all gateways even if
        # their clocks differ.
        age_ms = now - backend.endpoint.up_since_ms
        period = int(age_ms // self._settings.overload_window_ms)
        key = (period, gateways, rank)
        if backend.slow_start_key != key:
            backend.slow_start_key = key
            draw = splitmix64((splitmix64(number) + period) & UINT64_MASK)
            rounding = (draw >> 32) / (1 << 32)
            expected = self._expected_requests(now, backend, capacity_fraction, gateways)
            budget = period_budget(expected, gateways, rounding)
            backend.slow_start_share = gateway_share(budget, gateways, (rank + draw) % gateways)
        return backend.slow_start_share

    def _expected_requests(
        self, now: float, backend: Backend, capacity_fraction: float, gateways: int
    ) -> float:
        """Return N as defined in slow_start_budget for a backend, or less.

        N is without the allowance for random variation. The load reports that the backend sends
        while it is warming up are not used: each covers only a few requests and may show ten times
        its capacity.
        """
        settings = self._settings
        warm_requests_per_ms = self._estimate.capacity.requests_per_ms(
            now, backend.endpoint, gateways
        )
        requests_per_ms = capacity_fraction * warm_requests_per_ms
        return requests_per_ms * settings.overload_factor * settings.overload_window_ms
