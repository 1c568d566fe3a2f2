"""One run of the soak: carries out a plan and reports the rule violations."""

from __future__ import annotations

import asyncio
import os
import time
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from random import Random

import msgspec

from fleetlab.counter_server import CounterServer
from fleetlab.monitors import cpu_pressure_s
from fleetlab.path_proxy import PathProxy
from fleetlab.site import endpoint_entries
from fleetlab.soak.addresses import ingress_address
from fleetlab.soak.backend import BackendState, SoakBackend
from fleetlab.soak.behaviour import NORMAL_WEIGHTS, weighted
from fleetlab.soak.endpoint_list import SharedList, SoakAgent
from fleetlab.soak.evidence import Evidence, Violation
from fleetlab.soak.faults import FaultInjector, Node
from fleetlab.soak.ingress_process import IngressProcess
from fleetlab.soak.machine import Machine
from fleetlab.soak.oracles import find_violations
from fleetlab.soak.population import ClientMix, Population
from fleetlab.soak.records import RunRecord
from fleetlab.soak.schedule import SYSTEM_FAULT_KINDS, SoakPlan
from fleetlab.soak.wait_monitor import WaitMonitor
from fleetlab.system_faults.control import SystemFault, SystemFaults
from fleetlab.system_faults.library import build_library

MAX_CONCURRENT_STARTS = 8  # most processes that start at the same time
REQUESTS_AFTER_SIGTERM_S = 1.0  # not used: clients stop when the last process has exited
COUNTER_DELAY_S = 0.15  # delay of each chunk on a delayed path to the counter
DESCRIPTOR_COUNT_DELAY_S = 1.0  # delay from the end of the last client to the descriptor count
CROWDED_SOCKETS = 96  # socket limit of the ingresses in a run with a crowd of idle clients


class SoakResult(msgspec.Struct, frozen=True):
    """The result of one run.

    Attributes:
        seed: the seed of the run.
        ingresses: the number of ingress processes at a time.
        lives: the number of ingress processes in total, including restarts.
        seconds: the duration of the load, in seconds.
        requests: the number of requests sent.
        statuses: the number of requests, by the status of the response; 0: without a response.
        attempts: the number of attempts that the backends received.
        faults: the number of faults that began, and of system calls that failed, by kind.
        closest: the largest ratio of observed value to bound, by rule.
        excused: the number of events, by rule, that exceeded a bound by no more than their
            processes waited for a processor or a disk.
        longest_wait_ms: the longest wait of a process, or of the soak itself, within one sampling
            interval (a twentieth of a second), in milliseconds.
        cpu_pressure: the fraction of the time in which some process waited for a processor.
        violations: the rule violations.
    """

    seed: int
    ingresses: int
    lives: int
    seconds: float
    requests: int
    statuses: dict[str, int]
    attempts: int
    faults: dict[str, int]
    closest: dict[str, float]
    excused: dict[str, int]
    longest_wait_ms: float
    cpu_pressure: float
    violations: list[Violation]


class SoakRun:
    """The processes, backends, agents and clients of one plan."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._random = Random(plan.seed)
        self._record = RunRecord()
        self._waits = WaitMonitor(self._pids, self._record.waits)
        self._site = replace(plan.site, sockets=CROWDED_SOCKETS) if plan.crowd else plan.site
        self.cpu_pressure = 0.0  # fraction of the time in which some process waited for a processor
        self._backends: list[SoakBackend] = []
        self._nodes: list[Node] = []
        self._counter_path: PathProxy | None = None
        self._shared: SharedList

    async def run(self) -> Evidence:
        """Carry out the plan, end all processes and servers, and return the evidence."""
        async with AsyncExitStack() as resources:
            await self._start_backends(resources)
            counter = await self._start_counter(resources)
            await self._start_ingresses(resources, counter)
            await self._run_load()
        self._record.list_changes += self._shared.changes
        for node in self._nodes:
            self._record.lives += node.process.process_records
            self._count_failed_calls(node.process.system_faults)
            self._record.list_changes += [
                change for agent in node.agents for change in agent.notifications
            ]
        logs = {node.process.name: node.process.log_text() for node in self._nodes}
        crowd = self._plan.crowd or self._plan.bad_clients
        return Evidence(self._record, self._site, logs, crowd, os.getpid())

    def _count_failed_calls(self, faults: SystemFaults) -> None:
        for kind in SystemFault:
            if count := faults.count_failed_calls(kind):
                name = f"calls_failed_{kind.name.lower()}"
                self._record.faults[name] = self._record.faults.get(name, 0) + count

    def _pids(self) -> list[int]:
        return [node.process.process_record.pid for node in self._nodes if node.process.running]

    async def _start_backends(self, resources: AsyncExitStack) -> None:
        for _ in range(self._plan.backends):
            state = BackendState(weighted(self._random, NORMAL_WEIGHTS))
            backend = SoakBackend("", state, self._random, self._record.attempts)
            await backend.start()
            resources.push_async_callback(backend.stop)
            self._backends.append(backend)
        entries = endpoint_entries(
            len(self._backends), [b.endpoint for b in self._backends], self._plan.seed
        )
        for backend, entry in zip(self._backends, entries, strict=True):
            backend.uid = str(entry["uid"])
        for backend, entry, spec in zip(self._backends, entries, self._plan.machines, strict=False):
            entry |= {"model": spec.model, "capacity_hint": spec.listed_size}
            backend.machine = Machine(
                spec, self._random, self._site.initial_capacity, self._site.slow_start_s
            )
        self._shared = SharedList(entries)

    async def _start_counter(self, resources: AsyncExitStack) -> str:
        if not self._plan.counter:
            return ""
        counter = CounterServer()
        await counter.start()
        resources.push_async_callback(counter.stop)
        self._counter_path = PathProxy(counter.address, COUNTER_DELAY_S)
        await self._counter_path.start()
        resources.push_async_callback(self._counter_path.stop)
        return self._counter_path.address

    async def _start_ingresses(self, resources: AsyncExitStack, counter: str) -> None:
        start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        faults = {fault.kind for fault in self._plan.faults}
        library = build_library(self._folder) if faults & SYSTEM_FAULT_KINDS else None

        async def start(process: IngressProcess) -> None:
            async with start_slots:
                await process.start()

        for number in range(self._plan.ingresses):
            name = f"n{number}"
            agent = SoakAgent(name, self._shared)
            await agent.start()
            config = self._site.config(
                number, self._plan.seed, agent.address, self._shared.entries, counter
            )
            process = IngressProcess(name, ingress_address(number), config, self._folder, library)
            for fault in self._plan.faults:
                if fault.before_start and fault.target == number:
                    process.system_faults.step_clock(fault.seconds)
            mix = ClientMix(new_connection=self._plan.new_connections)
            population = Population(self._site, process, self._random, self._record, mix)
            node = Node(process, agent, population, [agent])
            resources.push_async_callback(self._stop_node, node)
            self._nodes.append(node)
        await asyncio.gather(*(start(node.process) for node in self._nodes))

    async def _stop_node(self, node: Node) -> None:
        await node.process.kill()
        for agent in node.agents:
            await agent.stop()

    async def _run_load(self) -> None:
        """Run clients and faults, then terminate all processes.

        The clients keep sending until all processes have ended, unless the plan lets the clients
        disconnect first.
        """
        stop = asyncio.Event()
        monitor = asyncio.create_task(self._waits.run())
        clients = [
            asyncio.create_task(work)
            for node in self._nodes
            for work in (
                *(node.population.run_client(stop) for _ in range(self._plan.clients)),
                node.population.run_bad_clients(stop),
                node.population.run_pipelining_client(stop),
            )
        ]
        injector = FaultInjector(
            self._site,
            self._nodes,
            self._backends,
            self._shared,
            self._record,
            self._random,
            self._counter_path,
        )
        started_at = time.monotonic()
        waited_s = cpu_pressure_s()
        try:
            faults_after_start = tuple(
                fault for fault in self._plan.faults if not fault.before_start
            )
            await injector.run(faults_after_start, started_at)
            await asyncio.sleep(max(0.0, started_at + self._plan.seconds - time.monotonic()))
            if self._plan.clients_disconnect_first:
                await self._count_descriptors_at_rest(stop, clients)
            await asyncio.gather(
                *(node.process.terminate(self._site.kill_after_s) for node in self._nodes)
            )
        finally:
            stop.set()
            await asyncio.gather(*clients, return_exceptions=False)
            monitor.cancel()
            elapsed_s = time.monotonic() - started_at
            self.cpu_pressure = (cpu_pressure_s() - waited_s) / elapsed_s

    async def _count_descriptors_at_rest(
        self, stop: asyncio.Event, clients: list[asyncio.Task[None]]
    ) -> None:
        """Stop the clients, then count the open descriptors and backend connections."""
        stop.set()
        await asyncio.gather(*clients)
        await asyncio.sleep(DESCRIPTOR_COUNT_DELAY_S)
        open_at_backends = sum(len(backend.connections) for backend in self._backends)
        self._record.backend_connections_at_rest = open_at_backends
        for node in self._nodes:
            if node.process.running:
                node.process.process_record.descriptors_at_rest = node.process.open_descriptors()


async def run_plan(plan: SoakPlan, folder: Path) -> tuple[SoakResult, Evidence]:
    """Carry out a plan and check it; logs and configurations remain in the folder."""
    run = SoakRun(plan, folder)
    evidence = await run.run()
    record = evidence.record
    violations = find_violations(evidence)
    statuses: dict[str, int] = {}
    for request in record.requests:
        statuses[str(request.status)] = statuses.get(str(request.status), 0) + 1
    result = SoakResult(
        plan.seed,
        plan.ingresses,
        len(record.lives),
        plan.seconds,
        len(record.requests),
        statuses,
        len(record.attempts),
        record.faults,
        {rule: round(ratio, 3) for rule, ratio in sorted(evidence.bound_ratios.items())},
        dict(evidence.excused),
        round(1000 * max((wait.waited_s for wait in record.waits), default=0.0), 1),
        round(run.cpu_pressure, 2),
        violations,
    )
    return result, evidence
