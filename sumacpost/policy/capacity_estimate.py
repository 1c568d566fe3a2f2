"""What a backend can serve when it is warm, in a fleet whose backends may differ.

The best knowledge counts: what the backend itself did when it was last warm; else what warm
backends of its machine type do; else, if listed sizes can be compared, what those of other types
do. Backends of one type may differ as well, so the lowest capacity that is known of the type bounds
the estimate. Without any of this a backend is taken to have one core, and that to be slow.
"""

from math import inf

from sumacpost.model import Endpoint, Settings, SizeMeaning
from sumacpost.policy.backend_history import (
    MAX_THROUGHPUT_PER_S,
    MIN_SERVICE_OBSERVATIONS,
    BackendHistory,
    HistoryTable,
    KindBounds,
    KindEstimate,
    WarmServiceTime,
)
from sumacpost.policy.service_time import ServiceTime

# Safety factor on the mean of warm backends of a type: the one warming up may be slower.
OVERLOAD_SAFETY_FRACTION = 0.8
OWN_SAFETY_FRACTION = 0.9  # the same on what the backend itself has shown
# Fraction of what other types do that is assumed of a type of which no backend has been warm.
UNSEEN_KIND_FRACTION = 0.7
# Assumed error of an approximate size, as the lowest ratio of the size to the listed one.
APPROXIMATE_SIZE_FRACTION = 0.7
SAME_REPORT_MS = 500.0  # an equal load report of a backend counts again after this time
SUMMARY_MS = 200.0  # a summary over all known backends is computed anew after this time


class CapacityEstimate:
    """The capacities and service times of backends, from responses and load reports.

    initial_service_ms: the service time that is assumed before any response.
    """

    def __init__(self, settings: Settings, initial_service_ms: float) -> None:
        self._meaning = settings.size_meaning
        self._sizes_compare = self._meaning in (SizeMeaning.REGISTERED, SizeMeaning.APPROXIMATE)
        self._histories = HistoryTable(self._meaning is SizeMeaning.REGISTERED)
        self._kinds: dict[int, KindEstimate] = {}
        self._unobserved = ServiceTime(initial_service_ms)  # before any response
        self._bounds: dict[int, KindBounds] = {}  # by machine type
        self._smallest: BackendHistory | None = None  # of a type of known service time
        self._summarized_at = -inf

    # ---- observations

    def observe_report(
        self,
        now: float,
        endpoint: Endpoint,
        is_warm: bool,
        throughput_per_s: float,
        utilization: float,
    ) -> None:
        """Record a load report, whose throughput is in requests per second."""
        report = (throughput_per_s, min(utilization, 1.0))
        if not (0 <= throughput_per_s < MAX_THROUGHPUT_PER_S and utilization > 0):
            return
        history = self._history_to_update(endpoint)
        if report == history.latest_report and now - history.reported_at < SAME_REPORT_MS:
            return  # one report comes with many responses
        history.latest_report = report
        history.reported_at = now
        if not is_warm:
            history.warming_up(endpoint.up_since_ms).observe(*report)
            return
        history.reported.observe(*report)
        kind = self._kind_to_update(endpoint)
        kind.reported.observe(report[0] / self._size(endpoint), report[1])

    def observe_service_time(
        self, endpoint: Endpoint, is_warm: bool, elapsed_ms: float, requests: float
    ) -> None:
        """Record the time of a request that was this gateway's only one at its backend.

        requests: its work, in requests of mean work.
        """
        kind = self._kind_to_update(endpoint)
        kind.service.observe(is_warm, elapsed_ms, requests)
        history = self._history_to_update(endpoint)
        history.service.observe(is_warm, elapsed_ms, requests)

    def _kind_to_update(self, endpoint: Endpoint) -> KindEstimate:
        kind = self._kinds.get(endpoint.kind)
        if kind is None:
            fleet_ms = self._fleet_service_ms() or self._unobserved.mean_ms
            kind = KindEstimate(fleet_ms)
            self._kinds[endpoint.kind] = kind
        return kind

    def _history_to_update(self, endpoint: Endpoint) -> BackendHistory:
        history = self._histories.get(endpoint)
        if history is None:
            kind = self._kind_to_update(endpoint)
            history = BackendHistory(endpoint.kind, endpoint.size, kind.service.time.mean_ms)
        self._histories.put(endpoint, history)
        return history

    def history(self, endpoint: Endpoint) -> BackendHistory | None:
        """Return what a backend has shown so far, or None if nothing or too long ago."""
        return self._histories.get(endpoint)

    # ---- estimates

    def requests_per_ms(self, now: float, endpoint: Endpoint, gateways: int) -> float:
        """Return the requests of mean work per ms that the backend serves when warm, or less.

        gateways: the number of gateways that share a budget based on it; see
            ServiceTime.upper_bound_ms.
        """
        self._summarize(now)
        reported_per_s = self._reported_per_s(endpoint, gateways)
        return max(reported_per_s / 1000, self._cores_per_ms(endpoint, gateways))

    def slowness(self, endpoint: Endpoint) -> float:
        """Return the service time of a warm backend relative to that of the fleet, 1 at least.

        It is 1 up to the usual difference of equal backends, and as long as too few responses of
        warm backends have come.
        """
        service = self._service_of(endpoint)
        fleet_ms = self._fleet_service_ms()
        if service is None or not fleet_ms:
            return 1.0
        return max(1.0, OVERLOAD_SAFETY_FRACTION * service.time.mean_ms / fleet_ms)

    def _fleet_service_ms(self) -> float:
        """Return the mean service time of responses of warm backends; 0 if there are too few."""
        total_ms = 0.0
        observations = 0
        for kind in self._kinds.values():
            if kind.service.is_typical:
                total_ms += kind.service.time.mean_ms * kind.service.observations
                observations += kind.service.observations
        return total_ms / observations if observations else 0.0

    def _service_of(self, endpoint: Endpoint) -> WarmServiceTime | None:
        """Return the service time of the backend or else of its type; None if it is not known."""
        history = self._histories.get(endpoint)
        if history is not None and history.service.is_block_full:
            return history.service
        kind = self._kinds.get(endpoint.kind)
        return kind.service if kind is not None and kind.service.is_typical else None

    def _size(self, endpoint: Endpoint) -> float:
        """Return the size of a backend relative to others, or 1 if listed sizes don't say it."""
        return (endpoint.size or 1.0) if self._sizes_compare else 1.0

    def _reported_per_s(self, endpoint: Endpoint, gateways: int) -> float:
        """Return the capacity by load reports, or 0 if nothing is known of it."""
        history = self._histories.get(endpoint)
        if history is not None and history.reported.is_known:
            return OWN_SAFETY_FRACTION * history.reported.lower_bound_per_s(gateways)
        per_s = self._of_kind_per_s(endpoint.kind, gateways)
        shown_per_s = 0.0
        if per_s is None:
            shown_per_s = self._shown_while_warming_up_per_s(endpoint, gateways)
            per_s = UNSEEN_KIND_FRACTION * self._of_other_kinds_per_s(gateways)
        per_s *= self._remaining_fraction(endpoint)
        return max(shown_per_s, per_s * self._size(endpoint) * self._listing_fraction())

    def _shown_while_warming_up_per_s(self, endpoint: Endpoint, gateways: int) -> float:
        """Return what a backend of an unseen type reports since its start, or 0 if not enough.

        It is what it can do already, so the capacity of the warm backend is at least as high.
        """
        history = self._histories.get(endpoint)
        if history is None:
            return 0.0
        reported = history.warming_up(endpoint.up_since_ms)
        if not reported.is_known:
            return 0.0
        return OWN_SAFETY_FRACTION * reported.lower_bound_per_s(gateways)

    def _of_kind_per_s(self, number: int, gateways: int) -> float | None:
        """Return the capacity of a backend of a type and of size 1, or None if it is not known."""
        kind = self._kinds.get(number)
        if kind is None or not kind.reported.is_known:
            return None
        per_s = OVERLOAD_SAFETY_FRACTION * kind.reported.lower_bound_per_s(gateways)
        bounds = self._bounds.get(number)
        return per_s if bounds is None else min(per_s, bounds.lowest_per_s)

    def _of_other_kinds_per_s(self, gateways: int) -> float:
        """Return the lowest capacity of a backend of size 1, of all types known.

        Return 0 if there is none, or if it says nothing of other types, as sizes are not listed.
        """
        if not self._sizes_compare:
            return 0.0
        estimates = [self._of_kind_per_s(number, gateways) for number in self._kinds]
        return min((per_s for per_s in estimates if per_s is not None), default=0.0)

    def _remaining_fraction(self, endpoint: Endpoint) -> float:
        """Return how much smaller a backend is than the smallest known one of its type.

        A listed size that falls with the load is never more than the registered size. So it can
        show that a backend is small, as one that has just started holds hardly any requests, but
        not that it is large.
        """
        bounds = self._bounds.get(endpoint.kind, KindBounds())
        history = self._histories.get(endpoint)
        size = endpoint.size if history is None else max(endpoint.size, history.size)
        is_comparable = size > 0 and 0 < bounds.smallest_size < inf
        if self._meaning is not SizeMeaning.AVAILABLE or not is_comparable:
            return 1.0
        return min(1.0, size / bounds.smallest_size)

    def _listing_fraction(self) -> float:
        return APPROXIMATE_SIZE_FRACTION if self._meaning is SizeMeaning.APPROXIMATE else 1.0

    def _cores_per_ms(self, endpoint: Endpoint, gateways: int) -> float:
        """Return the capacity by service times: that of one core, or of more by the listed size.

        The smallest backend has one core at least, and one that is listed as larger has more cores
        or faster ones. The longer one of both service times is right in either case. A smaller one
        may have a slower core, unless service times of its type are known.
        """
        service_ms = self._service_ms(endpoint, gateways)
        cores = 1.0
        smallest = self._smallest
        if smallest is not None:
            ratio = self._size(endpoint) / (smallest.size or 1.0) * self._listing_fraction() ** 2
            if ratio > 1:
                service_ms = max(service_ms, self._of_kind_service_ms(smallest.kind, gateways))
            if ratio > 1 or not self._is_service_known(endpoint.kind):
                cores = ratio
        return OVERLOAD_SAFETY_FRACTION * cores / service_ms

    def _service_ms(self, endpoint: Endpoint, gateways: int) -> float:
        """Return the time of a request of mean work on a core of the backend, or more.

        What the backend itself has shown counts where it is longer than its type explains. Its own
        times alone would have the work of few requests in them, and their waits.
        """
        if not self._is_service_known(endpoint.kind):
            return self._unseen_service_ms(gateways)
        service_ms = self._of_kind_service_ms(endpoint.kind, gateways)
        kind_ms = self._kinds[endpoint.kind].service.time.mean_ms
        history = self._histories.get(endpoint)
        if history is not None and history.service.is_block_full:
            is_slower = history.service.time.mean_ms * OVERLOAD_SAFETY_FRACTION > kind_ms
            return history.service.time.upper_bound_ms(gateways) if is_slower else service_ms
        bounds = self._bounds.get(endpoint.kind, KindBounds())
        return max(service_ms, OVERLOAD_SAFETY_FRACTION * bounds.slowest_service_ms)

    def _is_service_known(self, number: int) -> bool:
        kind = self._kinds.get(number)
        return kind is not None and kind.service.observations >= MIN_SERVICE_OBSERVATIONS

    def _of_kind_service_ms(self, number: int, gateways: int) -> float:
        """Return the service time of a type for which it is known.

        While no backend of the type is warm, its times are those of slower ones that are warming
        up. They count unless it would have to be slower by them than an unseen type.
        """
        service = self._kinds[number].service
        service_ms = service.time.upper_bound_ms(gateways)
        if service.from_warm or not any(k.service.from_warm for k in self._kinds.values()):
            return service_ms
        return min(service_ms, self._unseen_service_ms(gateways))

    def _unseen_service_ms(self, gateways: int) -> float:
        """Return the service time to assume for a type that has not shown it.

        Before any response of a warm backend it is that of the slowest type that is warming up.
        """
        known = [
            kind.service.time.upper_bound_ms(gateways)
            for kind in self._kinds.values()
            if kind.service.is_known
        ]
        if known:
            return max(known) / UNSEEN_KIND_FRACTION
        observed = [kind.service.time.upper_bound_ms(gateways) for kind in self._kinds.values()]
        return max(observed, default=self._unobserved.upper_bound_ms(gateways))

    def _summarize(self, now: float) -> None:
        """Compute the extremes of each type, and the smallest backend, if they are out of date."""
        if now - self._summarized_at < SUMMARY_MS:
            return
        self._summarized_at = now
        self._bounds = {}
        self._smallest = None
        for history in self._histories.values():
            bounds = self._bounds.setdefault(history.kind, KindBounds())
            if history.reported.is_typical:
                size = history.size if self._sizes_compare else 1.0
                per_s = history.reported.per_s / (size or 1.0)
                bounds.lowest_per_s = min(bounds.lowest_per_s, per_s)
                bounds.smallest_size = min(bounds.smallest_size, history.size)
            if history.service.is_typical:
                service_ms = history.service.time.mean_ms
                bounds.slowest_service_ms = max(bounds.slowest_service_ms, service_ms)
            is_smaller = self._smallest is None or history.size < self._smallest.size
            if is_smaller and self._sizes_compare and self._is_service_known(history.kind):
                self._smallest = history
