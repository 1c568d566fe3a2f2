"""A simulated backend with a queue, which may start cold."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from math import sqrt

from sumacpost.model import SizeMeaning
from tests.support.builders import START_MS

UNIT_MS = (60.0, 108.0)  # mean time of a unit of each class on a warm core of speed 1
LARGE_UNITS = 8.0  # units of a large request; other requests have one unit
LARGE_FRACTION = 0.12  # fraction of large requests
MEAN_MS = sum(UNIT_MS) / 2 * (1 + LARGE_FRACTION * (LARGE_UNITS - 1))  # mean time of a request
# The slow-start rule allows a larger margin in windows with fewer expected requests than this.
SMALL_WINDOW_REQUESTS = 30.0
REPORT_INTERVAL_MS = 400.0  # shortest interval that a load report covers


@dataclass(frozen=True)
class Machine:
    """What backends that differ from each other have.

    Attributes:
        cores: the number of cores.
        speed: the speed of a core, relative to the mean.
        kind: the number of the machine type.
        size: the registered size.
    """

    cores: int
    speed: float = 1.0
    kind: int = 0
    size: float = 1.0


@dataclass(frozen=True)
class Scenario:
    """The parameters of a fleet, some of whose backends start cold at the end of `learning_ms`.

    Attributes:
        gateways: the number of gateways.
        backends: the number of backends.
        cold: how many of the backends start cold.
        load: the rate of requests, as a fraction of the capacity of the warm backends.
        learning_ms: time before the cold start, in which gateways learn the capacity of backends.
        initial_capacity: see Settings.
        slow_start_ms: see Settings.
        overload_factor: see Settings.
        overload_window_ms: see Settings.
        cores: the number of cores of a backend.
        late_fraction: the fraction of gateways that are notified of the start a second or more
            after it.
        late_gateways_assume_warm: whether the late gateways are not notified of the drain before it
            either, so that until then they assume that the backend is warm.
        reports: whether responses have load reports.
        queues: whether backends have queues; otherwise they process all requests in parallel.
        machines: the machine of each backend, the cold ones first; () if all have `cores` cores.
        size_meaning: what the endpoint list says of the machines' sizes.
    """

    gateways: int
    backends: int
    cold: int
    load: float
    learning_ms: float = 5000.0
    initial_capacity: float = 0.1
    slow_start_ms: float = 12_000.0
    overload_factor: float = 2.0
    overload_window_ms: float = 3000.0
    cores: int = 3
    late_fraction: float = 0.3
    late_gateways_assume_warm: bool = False
    reports: bool = True
    queues: bool = True
    machines: tuple[Machine, ...] = ()
    size_meaning: SizeMeaning = SizeMeaning.NONE

    def machine(self, position: int) -> Machine:
        """Return the machine of the backend at this position, the cold ones first."""
        return self.machines[position] if self.machines else Machine(self.cores)


@dataclass
class SimulatedRequest:
    """A client's request. Work is in requests of mean work.

    Attributes:
        number: the number of the request.
        gateway: the index of the gateway that gets it.
        expected_work: the expected work by its class and units, which gateways know.
        actual_work: the work that a backend actually has to do, drawn at random.
        attempts: the number of attempts sent.
        backend: the backend of the latest attempt.
        sent_at: the time at which the latest attempt was sent.
        notified: whether the gateway knew of the cold start at that time.
    """

    number: int
    gateway: int
    expected_work: float
    actual_work: float
    attempts: int = 0
    backend: int = 0
    sent_at: float = 0.0
    notified: bool = False


@dataclass
class SimulatedBackend:
    """A backend with a queue. After a cold start its capacity rises linearly to the full one.

    Attributes:
        name: the number of the backend.
        scenario: the parameters of the fleet.
        machine: its machine.
        speed: the speed of a core, relative to the mean.
        up_since: when the backend started; 0: long ago.
        busy_cores: the number of cores at work.
        queue: the requests that wait for a core.
        arrivals: the attempts received since the last start, with their times.
        requests_served: requests served since the last load report.
        busy_ms: busy time of all cores since the last load report, up to busy_ms_until.
        busy_ms_until: the time up to which busy_ms is counted.
        measured_at: the time of the last load report.
        report: the last load report.
    """

    name: int
    scenario: Scenario
    machine: Machine
    speed: float
    up_since: float = 0.0
    busy_cores: int = 0
    queue: deque[SimulatedRequest] = field(default_factory=deque)
    arrivals: list[tuple[float, SimulatedRequest]] = field(default_factory=list)
    requests_served: int = 0
    busy_ms: float = 0.0
    busy_ms_until: float = START_MS
    measured_at: float = START_MS
    report: tuple[float, ...] = (0.0, 0.0, 0.0)

    def capacity(self, now: float) -> float:
        """Return the current capacity, as a fraction of the warm capacity."""
        if not self.up_since:
            return 1.0
        initial = self.scenario.initial_capacity
        progress = min(1.0, max(0.0, (now - self.up_since) / self.scenario.slow_start_ms))
        return initial + (1 - initial) * progress

    def throughput(self, now: float) -> float:
        """Return the capacity in requests of mean work per ms."""
        return self.machine.cores * self.speed * self.capacity(now) / MEAN_MS

    def start(self, now: float) -> None:
        """Restart the backend: it is cold, and its measurements start from zero."""
        self.change_busy_cores(now, 0)
        self.up_since = now
        self.measured_at = now
        self.requests_served = 0
        self.busy_ms = 0.0
        self.report = (0.0, 0.0, 0.0)
        self.arrivals.clear()

    def change_busy_cores(self, now: float, added_cores: int) -> None:
        """Account for the busy time so far, and change the number of busy cores."""
        self.busy_ms += self.busy_cores * (now - self.busy_ms_until)
        self.busy_ms_until = now
        self.busy_cores += added_cores

    def load_report(self, now: float, error_factor: float) -> tuple[float, ...]:
        """Return backlog, throughput and utilization, updated at most once in REPORT_INTERVAL_MS.

        error_factor: the reported throughput as a multiple of the actual one.
        """
        self.change_busy_cores(now, 0)
        elapsed = now - self.measured_at
        if elapsed >= REPORT_INTERVAL_MS:
            utilization = min(1.0, self.busy_ms / elapsed / self.machine.cores)
            throughput = self.requests_served * 1000 / elapsed * error_factor
            self.report = (float(len(self.queue)), throughput, utilization)
            self.measured_at = now
            self.requests_served = 0
            self.busy_ms = 0.0
        return self.report

    def allowed_requests(self, now: float) -> float:
        """Return how many requests of mean work all gateways may send in a window from now on.

        It is the overload factor times the capacity, plus an allowance for random variation.
        """
        throughput = self.throughput(max(now, self.up_since))
        expected = self.scenario.overload_factor * throughput * self.scenario.overload_window_ms
        return expected + 2 * sqrt(expected) + 2

    def peak_window_load(self, weight: Callable[[SimulatedRequest], float]) -> float:
        """Return the highest load in any window that starts while the backend is cold.

        The load is relative to allowed_requests. Of the windows with the same arrivals, the one
        that ends with the last of them is the worst: it starts earliest, so it allows least.
        """
        times = [arrived_at for arrived_at, _ in self.arrivals]
        sums = [0.0, *accumulate(weight(request) for _, request in self.arrivals)]
        warm_at = self.up_since + self.scenario.slow_start_ms
        peak_load = 0.0
        for last, arrived_at in enumerate(times):
            window_start = arrived_at - self.scenario.overload_window_ms
            if window_start < warm_at:
                in_window = sums[last + 1] - sums[bisect_left(times, window_start)]
                peak_load = max(peak_load, in_window / self.allowed_requests(window_start))
        return peak_load

    def peak_notified_window_load(self) -> float:
        """Return the highest load from gateways that knew of the start, in any window.

        Windows start while the backend is cold. The load is relative to the overload threshold of
        the rule on slow start.
        """
        notified = [
            (received_at, request.expected_work)
            for received_at, request in self.arrivals
            if request.notified
        ]
        sums = [0.0, *accumulate(expected_work for _, expected_work in notified)]
        times = [received_at for received_at, _ in notified]
        peak_load = 0.0
        for last, arrived_at in enumerate(times):
            window_start = max(self.up_since, arrived_at - self.scenario.overload_window_ms)
            if window_start < self.up_since + self.scenario.slow_start_ms:
                in_window = sums[last + 1] - sums[bisect_left(times, window_start)]
                peak_load = max(peak_load, in_window / self._overload_threshold(window_start))
        return peak_load

    def _overload_threshold(self, now: float) -> float:
        """Return the requests of mean work in a window from now on that overload the backend."""
        per_ms = self.throughput(now)
        expected = self.scenario.overload_factor * per_ms * self.scenario.overload_window_ms
        if expected < SMALL_WINDOW_REQUESTS:
            return expected + 3 * sqrt(expected) + 3
        return expected + 2 * sqrt(expected) + 2

    def utilization(self, end: float) -> float:
        """Return the work received since the start, relative to the capacity until `end`."""
        mean_throughput = (self.throughput(self.up_since) + self.throughput(end)) / 2
        capacity = mean_throughput * (end - self.up_since)
        return sum(request.expected_work for _, request in self.arrivals) / capacity
