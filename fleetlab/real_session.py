"""A run with one real ingress: its process, the load on it and the measurement."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from random import Random

from fleetlab.backend_servers import BackendServers
from fleetlab.discovery_server import DiscoveryServer
from fleetlab.ingress_address import wait_for_address
from fleetlab.latency import percentile_ms
from fleetlab.load_generator import NO_RESPONSE, LoadGenerator
from fleetlab.monitors import HealthMonitor, LoopLagMonitor
from fleetlab.plan import INGRESSES, MAX_ADDED_P99_MS
from fleetlab.process_stats import check_memory, cpu_s, peak_mb, rss_mb
from fleetlab.processes import ChildProcess, ChildProcesses
from fleetlab.real_environment import Environment, RealRun
from fleetlab.results import Figures
from fleetlab.site import config_text

DRAIN_WATCH_S = 6.0  # time for which the requests to a draining port are counted
# The requests count as stopped if none arrives in this time before the end of DRAIN_WATCH_S.
DRAIN_QUIET_S = 1.0
BUSIEST_PORT_WATCH_S = 1.0  # time for which requests are counted to find the busiest port
LOAD_WARM_UP_S = 0.3  # duration of the load before the drain is measured


@dataclass(frozen=True, slots=True)
class _Usage:
    """The resources that the ingress had used at one point in time."""

    at_s: float
    cpu_s: float
    discovery_bytes: int
    discovery_polls: int


class RealSession:
    """A run in progress: the process of the ingress, the load on it and the monitors."""

    def __init__(self, run: RealRun, environment: Environment) -> None:
        self._run = run
        self._environment = environment
        self._loop = asyncio.get_running_loop()
        self._processes = ChildProcesses()
        self._tasks: list[asyncio.Task[None]] = []
        self._figures: Figures = {}

    async def stop(self) -> None:
        """Cancel the tasks and terminate the process."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._processes.terminate_all()

    async def measure(self) -> Figures:
        """Start the ingress and return all figures."""
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as folder:
            path = Path(folder) / "config.json"
            path.write_text(self._config_text())
            started_at = self._loop.time()
            ingress = await self._processes.start("sumacpost", {"RELAY_CONFIG": str(path)})
            address = await wait_for_address(ingress)
            self._figures["listening_s"] = self._loop.time() - started_at
            health = HealthMonitor(address)
            self._start_task(health.run())
            before = self._usage(ingress)
            ready = await self._wait_until_ready(health)
            self._figures["ready_s"] = self._loop.time() - started_at if ready else None
            if ready:
                before = self._usage(ingress)  # excludes the cost of becoming ready
                await self._generate_load(address)
            check_memory(self._processes.pids)
            self._add_usage_figures(ingress, before, health)
        return self._figures

    def _config_text(self) -> str:
        return config_text(
            index=self._run.index,
            gateways=INGRESSES,
            discovery=self._environment.discovery.address,
            counter=self._environment.counter.address,
            seed=self._run.seed,
            known=self._environment.entries[: self._run.known],
        )

    async def _wait_until_ready(self, health: HealthMonitor) -> bool:
        try:
            async with asyncio.timeout(self._run.seconds):
                await health.ready.wait()
        except TimeoutError:
            return False
        return True

    async def _generate_load(self, address: str) -> None:
        """Generate load on the ingress, and directly on one backend, while the list changes.

        The direct load has the same rate at the same time. Its latency is the part that is due to
        client, backend and machine.
        """
        run = self._run
        readable = run.mode.readable
        if readable and run.changes_per_s:
            self._start_task(self._resize_backends())
        load = LoadGenerator(address, run.rate, run.seed + 1, first_gateway=run.index)
        direct_load = LoadGenerator(
            self._environment.direct_backend.endpoints[0],
            run.rate,
            run.seed + 2,
            first_gateway=run.index,
        )
        lag = LoopLagMonitor()
        duration_s = run.seconds + DRAIN_WATCH_S
        load_task = self._start_task(load.run(duration_s))
        direct_load_task = self._start_task(direct_load.run(duration_s))
        self._start_task(lag.run())
        await asyncio.sleep(LOAD_WARM_UP_S)
        if readable:
            self._figures |= await _measure_drain(
                self._environment.discovery, self._environment.backends
            )
        await load_task
        await direct_load_task
        self._add_load_figures(load, direct_load, lag)

    async def _resize_backends(self) -> None:
        """Change the capacity hints of random backends, one at a time; subsets stay the same."""
        random = Random(self._run.seed)
        due_at = self._loop.time()
        while True:
            due_at += 1 / self._run.changes_per_s
            await asyncio.sleep(due_at - self._loop.time())
            index = random.randrange(self._run.backends)
            size = round(random.uniform(0.9, 1.1), 3)
            self._environment.discovery.change([index], capacity_hint=size)

    def _start_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    def _usage(self, ingress: ChildProcess) -> _Usage:
        discovery = self._environment.discovery
        return _Usage(
            self._loop.time(), cpu_s(ingress.pid), discovery.bytes_written, discovery.polls
        )

    def _add_load_figures(
        self, load: LoadGenerator, direct_load: LoadGenerator, lag: LoopLagMonitor
    ) -> None:
        p99_ms = percentile_ms(load.latency, 99)
        direct_p99_ms = percentile_ms(direct_load.latency, 99)
        statuses = load.statuses
        self._figures |= {
            "p50_ms": percentile_ms(load.latency, 50),
            "p99_ms": p99_ms,
            "direct_p99_ms": direct_p99_ms,
            "added_p99_ms": _added_ms(p99_ms, direct_p99_ms),
            "requests": float(statuses.total()),
            "served": float(statuses[200]),
            "refused": float(statuses[429] + statuses[503]),
            "unanswered": float(statuses[NO_RESPONSE]),
            "lab_stall_ms": lag.max_lag_ms,
        }

    def _add_usage_figures(
        self, ingress: ChildProcess, before: _Usage, health: HealthMonitor
    ) -> None:
        after = self._usage(ingress)
        wall_s = after.at_s - before.at_s
        written = after.discovery_bytes - before.discovery_bytes
        polls = after.discovery_polls - before.discovery_polls
        self._figures |= {
            "healthz_worst_ms": health.max_latency_ms,
            "rss_mb": rss_mb(ingress.pid),
            "peak_rss_mb": peak_mb(ingress.pid),
            "cpu_percent": (after.cpu_s - before.cpu_s) / wall_s * 100,
            "agent_bytes_per_min": written / wall_s * 60,
            "agent_calls_per_min": polls / wall_s * 60,
        }


def _added_ms(p99_ms: float | None, direct_p99_ms: float | None) -> float | None:
    """Return the latency that the ingress adds, in ms.

    Return None if the direct latency alone exceeds the plan's limit on the added latency: the added
    part cannot be distinguished then.
    """
    if p99_ms is None or direct_p99_ms is None or direct_p99_ms > MAX_ADDED_P99_MS:
        return None
    return p99_ms - direct_p99_ms


async def _measure_drain(discovery: DiscoveryServer, backends: BackendServers) -> Figures:
    """Set all backends of the busiest port to draining for DRAIN_WATCH_S; count its requests.

    in_force_s is the time from the change to the last request. It is None if the requests did not
    stop, or if no port received any. leaving_entries is the number of changed entries, of which
    there can be many, since entries share ports. sent_to_leaving is the number of requests after
    the change.
    """
    loop = asyncio.get_running_loop()
    counts = backends.request_counts
    counts_before = dict(counts)
    await asyncio.sleep(BUSIEST_PORT_WATCH_S)
    busiest = max(counts, key=lambda endpoint: counts[endpoint] - counts_before[endpoint])
    if counts[busiest] == counts_before[busiest]:
        return {"in_force_s": None, "leaving_entries": 0.0, "sent_to_leaving": None}
    indexes = discovery.indexes_at(busiest)
    count_at_change = counts[busiest]
    changed_at = loop.time()
    discovery.change(indexes, state="leaving")
    await asyncio.sleep(DRAIN_WATCH_S)
    last_request_at = max(backends.last_request_at[busiest], changed_at)
    late_requests = counts[busiest] - count_at_change
    discovery.change(indexes, state="active")
    stopped = last_request_at < changed_at + DRAIN_WATCH_S - DRAIN_QUIET_S
    return {
        "in_force_s": last_request_at - changed_at if stopped else None,
        "leaving_entries": float(len(indexes)),
        "sent_to_leaving": float(late_requests),
    }
