"""What the responses of backends and of machine types have shown of their speed.

A backend keeps its number when its process restarts, so what it did when it was last warm is the
best knowledge of what it will do when it is warm again.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf, sqrt

from sumacpost.model import BackendId, Endpoint
from sumacpost.policy.service_time import BLOCK_SIZE, ServiceTime

MAX_HISTORIES = 1024  # as many as a partition of the endpoint list has backends
MAX_THROUGHPUT_PER_S = 1e9  # reports of more than this are ignored
REPORT_DECAY = 0.95  # weight of the earlier reports of a backend when one is added
KIND_REPORT_DECAY = 0.99  # the same of a machine type
# Reports are used once there are as many, and those of one backend bound the estimate for other
# backends of its type once there are more. Reports without throughput are not counted.
MIN_REPORTS = 3
MIN_TYPICAL_REPORTS = 10
# Relative error of the capacity that one report shows: it covers few requests.
REPORT_RELATIVE_ERROR = 0.7
REPORT_BIAS = 0.5  # relative excess of the mean of the capacities that single reports show
MIN_SERVICE_OBSERVATIONS = 3  # fewer observations of service times are not used
# Observations of one backend averaged in a block: there are fewer of them than of a type.
HISTORY_BLOCK_SIZE = 10
# Fewer observations of one backend do not bound the estimate for other backends of its type.
MIN_TYPICAL_OBSERVATIONS = 30


class ReportedCapacity:
    """The capacity of warm backends, from their load reports.

    It is the sum of the throughputs over the sum of the utilizations, in which a report counts for
    as much as its backend was busy. The mean of their ratios would be too high: a report that
    covers one short request may show ten times the capacity.

    decay: the weight of the earlier reports when one is added.
    """

    __slots__ = ("_decay", "_reports", "_throughput", "_utilization")

    def __init__(self, decay: float) -> None:
        self._decay = decay
        self._reports = 0.0  # number of reports with throughput, of which older ones count less
        self._throughput = 0.0
        self._utilization = 0.0

    def observe(self, throughput_per_s: float, utilization: float) -> None:
        """Add a report."""
        self._reports = self._reports * self._decay + (throughput_per_s > 0)
        self._throughput = self._throughput * self._decay + throughput_per_s
        self._utilization = self._utilization * self._decay + utilization

    @property
    def is_known(self) -> bool:
        """Whether there were enough reports for the capacity to be used."""
        return self._reports >= MIN_REPORTS * self._decay**MIN_REPORTS

    @property
    def is_typical(self) -> bool:
        """Whether there were enough to tell that backends of the type may be as slow."""
        return self._reports >= MIN_TYPICAL_REPORTS * self._decay**MIN_TYPICAL_REPORTS

    @property
    def per_s(self) -> float:
        """The capacity in requests of mean work per second; only if it is known."""
        return self._throughput / self._utilization

    def lower_bound_per_s(self, gateways: int) -> float:
        """Return the capacity with a margin for few reports; only if it is known.

        The quotient of few values is too high in the mean.

        gateways: the number of gateways that share a budget based on it; see
            ServiceTime.upper_bound_ms.
        """
        unbiased_per_s = self.per_s * (1 - REPORT_BIAS / max(self._reports, 1.0))
        return unbiased_per_s / (1 + REPORT_RELATIVE_ERROR / sqrt(self._reports * gateways))


class WarmServiceTime:
    """The service time of warm backends, or of backends that are warming up until one is warm."""

    __slots__ = ("_block_size", "from_warm", "observations", "time")

    def __init__(self, initial_ms: float, block_size: int = BLOCK_SIZE) -> None:
        self._block_size = block_size
        self.time = ServiceTime(initial_ms, block_size)
        self.from_warm = False
        self.observations = 0  # of warm backends, if there were any

    def observe(self, is_warm: bool, elapsed_ms: float, requests: float) -> None:
        """Record the time of a request, and its work in requests of mean work."""
        if self.from_warm and not is_warm:
            return  # a warming backend is slower: its times say nothing about warm ones
        if is_warm and not self.from_warm:
            self.from_warm = True
            self.observations = 0
            self.time = ServiceTime(self.time.upper_bound_ms(1), self._block_size)
        self.observations += 1
        self.time.observe(elapsed_ms, requests)

    @property
    def is_known(self) -> bool:
        """Whether there were enough observations of warm backends."""
        return self.from_warm and self.observations >= MIN_SERVICE_OBSERVATIONS

    @property
    def is_block_full(self) -> bool:
        """Whether a backend of its own can be told from others by it, whatever their work."""
        return self.from_warm and self.observations >= self._block_size

    @property
    def is_typical(self) -> bool:
        """Whether there were enough to tell that backends of the type may be as slow."""
        return self.from_warm and self.observations >= MIN_TYPICAL_OBSERVATIONS


class BackendHistory:
    """What one machine has shown.

    Attributes:
        kind: the number of its machine type.
        size: its listed size, the largest one if sizes depend on the load.
        reported: its capacity by load reports.
        service: its service time.
        latest_report: throughput per second and utilization of its latest load report.
        reported_at: when that was counted, in ms.
    """

    __slots__ = (
        "_started_at",
        "_warming_up",
        "kind",
        "latest_report",
        "reported",
        "reported_at",
        "service",
        "size",
    )

    def __init__(self, kind: int, size: float, initial_service_ms: float) -> None:
        self.kind = kind
        self.size = size
        self.reported = ReportedCapacity(REPORT_DECAY)
        self.latest_report = (0.0, 0.0)
        self.reported_at = -inf
        self.service = WarmServiceTime(initial_service_ms, HISTORY_BLOCK_SIZE)
        self._started_at = 0.0
        self._warming_up: ReportedCapacity | None = None

    def warming_up(self, started_at: float) -> ReportedCapacity:
        """Return the capacity by the load reports since the start at this time, while not warm."""
        if self._warming_up is None or started_at != self._started_at:
            self._started_at = started_at
            self._warming_up = ReportedCapacity(REPORT_DECAY)
        return self._warming_up


class KindEstimate:
    """What the backends of one machine type do.

    Attributes:
        reported: the capacity of a warm backend of size 1, by the load reports of all.
        service: the service time, by the responses of all.
    """

    __slots__ = ("reported", "service")

    def __init__(self, initial_service_ms: float) -> None:
        self.reported = ReportedCapacity(KIND_REPORT_DECAY)
        self.service = WarmServiceTime(initial_service_ms)


@dataclass(slots=True)
class KindBounds:
    """The extremes among the known backends of one machine type.

    Attributes:
        lowest_per_s: the lowest capacity of a backend of size 1, in requests per second.
        slowest_service_ms: the longest service time.
        smallest_size: the smallest listed size of a backend whose capacity is known.
    """

    lowest_per_s: float = inf
    slowest_service_ms: float = 0.0
    smallest_size: float = inf


class HistoryTable:
    """The histories of the backends that responded last; a bounded number of them.

    fixed_sizes: whether a backend that is listed with another size is another machine.
    """

    def __init__(self, fixed_sizes: bool) -> None:
        self._fixed_sizes = fixed_sizes
        self._by_backend: dict[BackendId, BackendHistory] = {}  # least recently used first

    def get(self, endpoint: Endpoint) -> BackendHistory | None:
        """Return the history of a backend, unless it is listed as another machine now."""
        history = self._by_backend.get(endpoint.backend)
        if history is None or history.kind != endpoint.kind:
            return None
        if self._fixed_sizes and history.size != endpoint.size:
            return None
        return history

    def put(self, endpoint: Endpoint, history: BackendHistory) -> None:
        """Store a history as the most recently used one; drop the oldest beyond the limit."""
        self._by_backend.pop(endpoint.backend, None)
        self._by_backend[endpoint.backend] = history
        history.size = max(history.size, endpoint.size)
        if len(self._by_backend) > MAX_HISTORIES:
            del self._by_backend[next(iter(self._by_backend))]

    def values(self) -> Iterable[BackendHistory]:
        """Return all histories."""
        return self._by_backend.values()
