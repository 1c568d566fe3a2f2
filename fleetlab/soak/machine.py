"""The machine of a backend with limited capacity: cores that serve requests in order."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from random import Random

REPORT_INTERVAL_S = 0.3  # a load report is refreshed after this time
REPORT_PERIOD_S = 1.0  # time that a load report covers
MAX_WAIT_S = 2.0  # a request that would wait longer for a core is turned away
WORK_SPREAD = 0.5  # largest relative deviation of the work of a request from the mean


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """What the endpoint list says of a machine, and what it can do.

    Attributes:
        model: the name of its machine type.
        cores: the number of cores.
        service_time_s: the time of a request of mean work on a warm core, in seconds.
        listed_size: the size in the endpoint list while it is loaded.
        size: the size in the endpoint list when it has just started.
    """

    model: str
    cores: int
    service_time_s: float
    listed_size: float
    size: float

    @property
    def requests_per_s(self) -> float:
        """The capacity of the warm machine, in requests of mean work per second."""
        return self.cores / self.service_time_s


class Machine:
    """The cores of one backend, which are slower for some time after a start.

    initial_capacity: the capacity at the start, as a fraction of the full one.
    slow_start_s: the time after the start at which it has its full capacity, in seconds.
    """

    def __init__(
        self, spec: MachineSpec, random: Random, initial_capacity: float, slow_start_s: float
    ) -> None:
        self.spec = spec
        self._random = random
        self._initial_capacity = initial_capacity
        self._slow_start_s = slow_start_s
        self._started_at: float | None = None  # None: long ago
        self._free_at = [0.0] * spec.cores
        self._served: deque[tuple[float, float]] = deque()  # end and busy time of each request
        self._reported_at = 0.0
        self._report = b""

    def start_cold(self) -> None:
        """Forget all work, and have the initial capacity."""
        self._started_at = time.monotonic()
        self._free_at = [0.0] * self.spec.cores
        self._served.clear()
        self._reported_at = 0.0

    def reserve(self) -> float | None:
        """Take a request; return the time in seconds until it is served, or None if rejected."""
        now = time.monotonic()
        core = min(range(self.spec.cores), key=self._free_at.__getitem__)
        begins_at = max(now, self._free_at[core])
        if begins_at - now > MAX_WAIT_S:
            return None
        work = self._random.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        busy_s = self.spec.service_time_s * work / self._capacity(begins_at)
        self._free_at[core] = begins_at + busy_s
        self._served.append((begins_at + busy_s, busy_s))
        return begins_at + busy_s - now

    def load_report(self) -> bytes:
        """Return the header with the load report, which may be some time old."""
        now = time.monotonic()
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            self._report = self._measure(now)
        return self._report

    def _capacity(self, at: float) -> float:
        if self._started_at is None:
            return 1.0
        progress = (at - self._started_at) / self._slow_start_s
        return min(1.0, self._initial_capacity + (1 - self._initial_capacity) * progress)

    def _measure(self, now: float) -> bytes:
        since = now - REPORT_PERIOD_S
        ended = [busy_s for ended_at, busy_s in self._served if since <= ended_at <= now]
        self._served = deque(entry for entry in self._served if entry[0] >= since)
        throughput = len(ended) / REPORT_PERIOD_S
        utilization = min(1.0, sum(ended) / REPORT_PERIOD_S / self.spec.cores)
        return (
            f"Server-Load: throughput={throughput:.2f},utilization={utilization:.3f}\r\n".encode()
        )
