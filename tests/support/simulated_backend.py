"""A simulated backend with a queue, which may start cold."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from math import sqrt

from tests.support.builders import START_MS

UNIT_MS = (60.0, 108.0)  # what a unit of each class takes on average, on a warm core of speed 1
LARGE_UNITS = 8.0  # of a large request; the others have one unit
LARGE_FRACTION = 0.12  # of the requests
MEAN_MS = sum(UNIT_MS) / 2 * (1 + LARGE_FRACTION * (LARGE_UNITS - 1))
SMALL_WINDOW_REQUESTS = 30.0  # below which the rule on slow start allows more
REPORT_INTERVAL_MS = 400.0  # over which a load report is measured, at least


@dataclass(frozen=True)
class Scenario:
    """A fleet of which some backends are cold from the end of the warm-up on."""

    gateways: int
    backends: int
    cold: int
    load: float  # arrivals, as a fraction of what the warm backends can do
    learning_ms: float = 5000.0  # in which gateways learn what backends can do
    initial_capacity: float = 0.1
    slow_start_ms: float = 12_000.0
    overload_factor: float = 2.0
    overload_window_ms: float = 3000.0
    cores: int = 3
    late_fraction: float = (
        0.3  # the part of the gateways that learn of the start a second or more after it
    )
    # whether those learn of nothing before it either: they take the backend for warm until then
    late_gateways_assume_warm: bool = False
    reports: bool = True  # whether responses have load reports
    queues: bool = True  # else a backend works on all requests side by side


@dataclass
class SimulatedRequest:
    """A client's request."""

    number: int
    gateway: int
    expected_work: (
        float  # expected of its class and units, in requests of mean work: what gateways know
    )
    actual_work: float  # what it turns out to be
    attempts: int = 0
    backend: int = 0  # of the attempt in flight
    sent_at: float = 0.0  # of the attempt in flight
    notified: bool = False  # whether its gateway knew then that the cold backends had started


@dataclass
class SimulatedBackend:
    """A backend with a queue; its capacity rises evenly from the cold fraction to 1."""

    name: int
    scenario: Scenario
    speed: float
    up_since: float = 0.0  # 0: long ago
    busy_cores: int = 0
    queue: deque[SimulatedRequest] = field(default_factory=deque)
    arrivals: list[tuple[float, SimulatedRequest]] = field(
        default_factory=list
    )  # since its last start
    requests_served: int = 0  # since the last load report
    busy_ms: float = 0.0  # of all cores since the last load report, up to `busy_until`
    busy_until: float = START_MS
    measured_at: float = START_MS
    report: tuple[float, ...] = (0.0, 0.0, 0.0)

    def capacity(self, now: float) -> float:
        """Return what it can do now, as a fraction of its warm capacity."""
        if not self.up_since:
            return 1.0
        initial = self.scenario.initial_capacity
        age = min(1.0, max(0.0, (now - self.up_since) / self.scenario.slow_start_ms))
        return initial + (1 - initial) * age

    def throughput(self, now: float) -> float:
        """Return how many requests of mean work it can do in a millisecond."""
        return self.scenario.cores * self.speed * self.capacity(now) / MEAN_MS

    def start(self, now: float) -> None:
        """Start the process again: it is cold, and knows nothing of what it did."""
        self.change_busy_cores(now, 0)
        self.up_since = now
        self.measured_at = now
        self.requests_served = 0
        self.busy_ms = 0.0
        self.report = (0.0, 0.0, 0.0)
        self.arrivals.clear()

    def change_busy_cores(self, now: float, more_cores: int) -> None:
        """Let so many cores more be at work from now on."""
        self.busy_ms += self.busy_cores * (now - self.busy_until)
        self.busy_until = now
        self.busy_cores += more_cores

    def load_report(self, now: float, error_factor: float) -> tuple[float, ...]:
        """Return backlog, throughput and utilization, some time old and not exact."""
        self.change_busy_cores(now, 0)
        elapsed = now - self.measured_at
        if elapsed >= REPORT_INTERVAL_MS:
            utilization = min(1.0, self.busy_ms / elapsed / self.scenario.cores)
            throughput = self.requests_served * 1000 / elapsed * error_factor
            self.report = (float(len(self.queue)), throughput, utilization)
            self.measured_at = now
            self.requests_served = 0
            self.busy_ms = 0.0
        return self.report

    def allowed_requests(self, now: float) -> float:
        """Return how many requests of mean work all gateways may send in a window from now on.

        That is the overload factor times what it can do, and what chance may add.
        """
        throughput = self.throughput(max(now, self.up_since))
        expected = self.scenario.overload_factor * throughput * self.scenario.overload_window_ms
        return expected + 2 * sqrt(expected) + 2

    def peak_window_load(self, weight: Callable[[SimulatedRequest], float]) -> float:
        """Return the most that arrived in any window begun while cold, relative to `allowed`.

        The worst window for what it holds ends with an arrival: begun earlier, it allows less.
        """
        times = [arrived_at for arrived_at, _ in self.arrivals]
        sums = [0.0, *accumulate(weight(request) for _, request in self.arrivals)]
        warm_at = self.up_since + self.scenario.slow_start_ms
        fullest = 0.0
        for last, arrived_at in enumerate(times):
            begin = arrived_at - self.scenario.overload_window_ms
            if begin < warm_at:
                in_window = sums[last + 1] - sums[bisect_left(times, begin)]
                fullest = max(fullest, in_window / self.allowed_requests(begin))
        return fullest

    def peak_notified_window_load(self) -> float:
        """Return the most that gateways sent that knew of the start, relative to what it bears.

        In any window begun while cold, in requests of mean work; by the rule on slow start.
        """
        notified = [
            (at, request.expected_work) for at, request in self.arrivals if request.notified
        ]
        sums = [0.0, *accumulate(expected_work for _, expected_work in notified)]
        times = [at for at, _ in notified]
        fullest = 0.0
        for last, arrived_at in enumerate(times):
            begin = max(self.up_since, arrived_at - self.scenario.overload_window_ms)
            if begin < self.up_since + self.scenario.slow_start_ms:
                in_window = sums[last + 1] - sums[bisect_left(times, begin)]
                fullest = max(fullest, in_window / self._overload_threshold(begin))
        return fullest

    def _overload_threshold(self, now: float) -> float:
        """Return the requests of mean work beyond which it falls in a window that begins now."""
        per_ms = self.throughput(now)
        expected = self.scenario.overload_factor * per_ms * self.scenario.overload_window_ms
        if expected < SMALL_WINDOW_REQUESTS:
            return expected + 3 * sqrt(expected) + 3
        return expected + 2 * sqrt(expected) + 2

    def utilization(self, end: float) -> float:
        """Return the work that arrived since its start, relative to what it could do by then."""
        mean_throughput = (self.throughput(self.up_since) + self.throughput(end)) / 2
        capacity = mean_throughput * (end - self.up_since)
        return sum(request.expected_work for _, request in self.arrivals) / capacity
