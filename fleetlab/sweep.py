"""One point of a sweep: synthetic ingresses with a discovery server and a counter server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random

import msgspec

from fleetlab.counter_server import CounterServer
from fleetlab.discovery_server import DiscoveryServer
from fleetlab.plan import INGRESSES
from fleetlab.process_stats import check_memory
from fleetlab.processes import ChildProcess, ChildProcesses
from fleetlab.results import Figures
from fleetlab.site import endpoint_entries
from fleetlab.sweep_figures import Measurement, compute_figures
from fleetlab.synthetic_messages import SyntheticReport, SyntheticSpec

# Time in which all ingresses have to receive a list and serve their preloaded customers.
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.1
MEASURE_POLL_S = 0.5
REPORT_MARGIN_S = 1.5  # longer than the interval between reports
PROCESS_MARGIN_S = 30.0  # time from the latest end of the run until an orphan exits
DEFAULT_BACKENDS = 200  # number of backends on all axes other than "backends"
INGRESSES_PER_PROCESS = 40

# Estimated memory, for the check before a run.
ESTIMATED_ENTRY_KB = 2.0
ESTIMATED_CUSTOMER_KB = 2.0
ESTIMATED_CLASS_KB = 60.0
ESTIMATED_INGRESS_MB = 2.0
ESTIMATED_PROCESS_MB = 60.0

# Synthetic ingresses do not connect to backends, so no server has to listen here.
UNUSED_ENDPOINTS = ("127.0.0.1:9",)


@dataclass(frozen=True, slots=True)
class Point:
    """The sizes and rates of one point of a sweep."""

    ingresses: int = 1
    backends: int = DEFAULT_BACKENDS
    preloaded_customers: int = 0
    classes: int = 3
    changes_per_s: float = 0.0
    rate: float = 20.0  # requests per second at each ingress
    burst: float = 1000.0  # burst of a customer's plan in units, and its quota in units per second

    @property
    def estimated_mb(self) -> float:
        """The estimated memory of the point, in MB."""
        ingress_kb = (
            self.backends * ESTIMATED_ENTRY_KB
            + self.preloaded_customers * ESTIMATED_CUSTOMER_KB
            + self.classes * ESTIMATED_CLASS_KB
        )
        processes = self.ingresses // INGRESSES_PER_PROCESS + 1
        return (
            self.ingresses * (ESTIMATED_INGRESS_MB + ingress_kb / 1024)
            + self.backends * ESTIMATED_ENTRY_KB / 1024
            + processes * ESTIMATED_PROCESS_MB
        )


def make_point(axis: str, size: int) -> Point:
    """Return the point of this size on an axis; ValueError for an unknown axis."""
    match axis:
        case "backends":
            return Point(backends=size)
        case "ingresses":
            return Point(ingresses=size, rate=5.0)
        case "tenants":
            return Point(preloaded_customers=size)
        case "routes":
            return Point(classes=size)
        case "changes":
            return Point(changes_per_s=size, ingresses=4)
        case "counter":
            # The burst is so small that each request causes one or two counter calls.
            return Point(rate=size, burst=8.0)
    raise ValueError(f"unknown axis {axis}")


@dataclass(frozen=True, slots=True)
class _Fleet:
    """The processes of synthetic ingresses and the discovery server that they use."""

    discovery: DiscoveryServer
    processes: ChildProcesses
    children: Sequence[ChildProcess]

    @property
    def ready(self) -> bool:
        return all(_is_ready(child) for child in self.children)

    @property
    def running(self) -> bool:
        return all(child.running for child in self.children)

    def reports(self) -> list[list[SyntheticReport]]:
        return [_read_reports(child) for child in self.children]


def _read_reports(child: ChildProcess) -> list[SyntheticReport]:
    """Return the reports of a process, without its other output."""
    return [
        msgspec.json.decode(line, type=SyntheticReport)
        for line in list(child.stdout_lines)
        if line.startswith(b"{")
    ]


def _is_ready(child: ChildProcess) -> bool:
    reports = _read_reports(child)
    return bool(reports) and reports[-1].ready_s is not None


async def measure(axis: str, size: int, seconds: float, seed: int) -> Figures:
    """Return the figures of one point, measured for `seconds` once all ingresses are ready.

    The measurement also starts if they are not ready in time. Per ingress: held_mb and peak_mb
    beyond a process without ingresses, control_cpu_percent of a core (without the batches of
    requests), control_bytes_per_s received from discovery and counter. A figure is None if it could
    not be measured, for example because no list was received. Raise MemoryLimitError if the
    machine's memory does not suffice.
    """
    point = make_point(axis, size)
    check_memory([], point.estimated_mb)
    async with _start_fleet(point, seconds, seed) as fleet:
        await _wait_until_ready(fleet)
        changing = None
        if point.changes_per_s:
            changing = asyncio.create_task(_restart_backends(fleet, point.changes_per_s, seed))
        try:
            return compute_figures(await _measure(fleet, point, seconds))
        finally:
            if changing is not None:
                changing.cancel()


@asynccontextmanager
async def _start_fleet(point: Point, seconds: float, seed: int) -> AsyncIterator[_Fleet]:
    """Start servers and ingresses; stop them at the end, also after an error."""
    discovery = DiscoveryServer(endpoint_entries(point.backends, UNUSED_ENDPOINTS, seed))
    counter = CounterServer()
    processes = ChildProcesses()
    await discovery.start()
    await counter.start()
    try:
        template = SyntheticSpec(
            ingresses=0,
            gateways=max(INGRESSES, point.ingresses),
            discovery=discovery.address,
            counter=counter.address,
            rate=point.rate,
            preloaded_customers=point.preloaded_customers,
            classes=point.classes,
            burst=point.burst,
            seed=seed,
            seconds=READY_TIMEOUT_S + seconds + PROCESS_MARGIN_S,
        )
        children = await _start_processes(processes, template, point.ingresses)
        yield _Fleet(discovery, processes, children)
    finally:
        await processes.terminate_all()
        await discovery.stop()
        await counter.stop()


async def _start_processes(
    processes: ChildProcesses, template: SyntheticSpec, ingresses: int
) -> list[ChildProcess]:
    """Start as many processes as this number of ingresses needs."""
    children = []
    for first_index in range(0, ingresses, INGRESSES_PER_PROCESS):
        spec = msgspec.structs.replace(
            template,
            ingresses=min(INGRESSES_PER_PROCESS, ingresses - first_index),
            first_index=first_index,
        )
        first_input = msgspec.json.encode(spec) + b"\n"
        children.append(
            await processes.start("fleetlab.synthetic_process", first_input=first_input)
        )
    return children


async def _wait_until_ready(fleet: _Fleet) -> None:
    """Wait until all ingresses are ready, a process has exited or the timeout has elapsed."""
    loop = asyncio.get_running_loop()
    end = loop.time() + READY_TIMEOUT_S
    while loop.time() < end and not fleet.ready and fleet.running:
        check_memory(fleet.processes.pids)
        await asyncio.sleep(READY_POLL_S)


async def _restart_backends(fleet: _Fleet, per_s: float, seed: int) -> None:
    """Report restarts of random backends in the endpoint list, one at a time.

    Each entry contains the time of the restart, from which the ingresses measure the delay of the
    notification.
    """
    loop = asyncio.get_running_loop()
    random = Random(seed)
    due_at = loop.time()
    while True:
        due_at += 1 / per_s
        await asyncio.sleep(due_at - loop.time())
        started_ms = round(time.time() * 1000, 1)
        fleet.discovery.change([random.randrange(DEFAULT_BACKENDS)], boot_ms=started_ms)


async def _measure(fleet: _Fleet, point: Point, seconds: float) -> Measurement:
    loop = asyncio.get_running_loop()
    counts_before = [len(reports) for reports in fleet.reports()]
    full_lists_before = fleet.discovery.full_lists
    end = loop.time() + seconds + REPORT_MARGIN_S
    while loop.time() < end:
        check_memory(fleet.processes.pids)
        await asyncio.sleep(min(MEASURE_POLL_S, seconds))
    return Measurement(
        ingresses=point.ingresses,
        backends=point.backends,
        changes_expected=point.changes_per_s > 0,
        reports=[
            reports[max(0, count - 1) :]
            for reports, count in zip(fleet.reports(), counts_before, strict=True)
        ],
        full_lists=fleet.discovery.full_lists - full_lists_before,
    )
