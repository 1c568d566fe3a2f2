"""Injects the faults of a plan into the processes, backends and agents of a run."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass, field
from random import Random

from fleetlab.path_proxy import PathFault, PathProxy
from fleetlab.soak.backend import SoakBackend
from fleetlab.soak.bad_client_waves import WaveSettings, run_waves
from fleetlab.soak.behaviour import (
    FAILING_WEIGHTS,
    LATE_RESET_WEIGHTS,
    NORMAL_WEIGHTS,
    UNBOUNDED_WEIGHTS,
    Behaviour,
    Chooser,
    always,
    weighted,
)
from fleetlab.soak.endpoint_list import AgentFault, SharedList, SoakAgent
from fleetlab.soak.ingress_process import IngressProcess
from fleetlab.soak.population import Population
from fleetlab.soak.records import BackendStart, BrokenConnectionPeriod, RunRecord
from fleetlab.soak.schedule import FaultKind, PlannedFault
from fleetlab.soak.site import SoakSite
from fleetlab.system_faults.control import SystemFault
from fleetlab.versioned_list import JsonObject

OLD_AGENT_CLOSE_DELAY_S = 1.5  # time from SIGHUP to the close of the previous agent
CROWD_SIZE = 60  # number of idle connections in a crowd
STALE_AFTER_S = 0.1  # idle time after which connections become stale during BACKEND_FORGETS

_COUNTER_FAULTS = {
    FaultKind.COUNTER_DELAYED: PathFault.DELAYED,
    FaultKind.COUNTER_SILENT: PathFault.SILENT,
    FaultKind.COUNTER_RESET: PathFault.RESET,
    FaultKind.COUNTER_HALF_CLOSED: PathFault.HALF_CLOSED,
}
# The system fault of each kind, and the fraction of calls that it affects while it lasts.
_SYSTEM_FAULTS = {
    FaultKind.SYSTEM_ACCEPT: (SystemFault.ACCEPT, 0.3),
    FaultKind.SYSTEM_SOCKET: (SystemFault.SOCKET, 0.2),
    FaultKind.SYSTEM_CONNECT: (SystemFault.CONNECT, 0.3),
    FaultKind.SYSTEM_INTERRUPTS: (SystemFault.WAIT_INTERRUPTED, 0.3),
    FaultKind.SYSTEM_SHORT_READS: (SystemFault.SHORT_READ, 0.3),
    FaultKind.SYSTEM_SHORT_WRITES: (SystemFault.SHORT_WRITE, 0.3),
    FaultKind.SYSTEM_BROKEN: (SystemFault.BROKEN_CONNECTION, 0.02),
    FaultKind.SYSTEM_LOG: (SystemFault.LOG_WRITE, 1.0),
}
_LIST_FAULTS = {
    FaultKind.LIST_SILENT: AgentFault.SILENT,
    FaultKind.LIST_RESET: AgentFault.RESET,
    FaultKind.LIST_TORN: AgentFault.TORN,
}


@dataclass
class Node:
    """An ingress with its agent and clients.

    Attributes:
        process: the process of the ingress.
        agent: the current discovery agent.
        population: the clients.
        agents: all agents so far, including the current one.
        lock: serializes restarts and reloads of the ingress.
    """

    process: IngressProcess
    agent: SoakAgent
    population: Population
    agents: list[SoakAgent] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass
class FaultInjector:
    """Carries out faults, each in a task of its own.

    Attributes:
        site: the settings of the run.
        nodes: the ingresses; the target of an ingress fault is an index into this list.
        backends: the backends; the target of a backend fault is an index into this list.
        shared: the endpoint list.
        record: where faults and backend starts are recorded.
        random: the generator of delays and backend behaviours.
        counter_path: the proxy in front of the counter, if there is a counter.
        disrupted_backends: the indexes of the backends at which a crash, a cut-off or a replacement
            is in progress.
    """

    site: SoakSite
    nodes: list[Node]
    backends: list[SoakBackend]
    shared: SharedList
    record: RunRecord
    random: Random
    counter_path: PathProxy | None = None
    disrupted_backends: set[int] = field(default_factory=set)

    async def run(self, faults: tuple[PlannedFault, ...], started_at: float) -> None:
        """Carry out all faults, each at its time; return when all have ended."""
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(self._run_fault(fault, started_at))

    async def _run_fault(self, fault: PlannedFault, started_at: float) -> None:
        await asyncio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
        name = fault.kind.value
        self.record.faults[name] = self.record.faults.get(name, 0) + 1
        if name.startswith("backend_"):
            await self._backend_fault(fault)
        elif name.startswith("list_"):
            await self._list_fault(self.nodes[fault.target].agent, fault)
        elif fault.kind in _COUNTER_FAULTS:
            assert self.counter_path is not None
            self.counter_path.set_fault(_COUNTER_FAULTS[fault.kind])
            await asyncio.sleep(fault.seconds)
            self.counter_path.set_fault(PathFault.NONE)
        elif fault.kind in _SYSTEM_FAULTS:
            await self._system_fault(self.nodes[fault.target].process, fault)
        elif fault.kind is FaultKind.CLOCK_STEP:
            self.nodes[fault.target].process.system_faults.step_clock(fault.seconds)
        else:
            await self._ingress_fault(self.nodes[fault.target], fault)

    # ---- ingresses

    async def _ingress_fault(self, node: Node, fault: PlannedFault) -> None:
        match fault.kind:
            case FaultKind.PAUSE:
                await node.process.pause(fault.seconds)
            case FaultKind.CROWD:
                await node.population.open_idle_connections(CROWD_SIZE, fault.seconds)
            case FaultKind.BAD_CLIENTS:
                await run_waves(WaveSettings(node.process.address, fault.seconds))
            case FaultKind.RESTART:
                async with node.lock:
                    await self._signal(node.process, fault)
                    await self._start(node.process)
            case FaultKind.KILL:
                async with node.lock:
                    await node.process.kill()
                    await self._start(node.process)
            case FaultKind.RELOAD:
                async with node.lock:
                    await self._reload(node, fault)

    async def _signal(self, process: IngressProcess, fault: PlannedFault) -> None:
        """Send a series of signals, and SIGKILL if the process has not exited.

        SIGKILL follows the first SIGTERM at the earliest time that the platform permits.
        """
        terminated_at = None
        for name in fault.signals:
            process.send_signal(signal.Signals[name])
            if name == "SIGTERM" and terminated_at is None:
                terminated_at = time.monotonic()
            await asyncio.sleep(fault.gap_s)
        if terminated_at is not None:
            left_s = terminated_at + self.site.kill_after_s - time.monotonic()
            if not await process.wait(max(0.0, left_s)):
                await process.kill()

    async def _start(self, process: IngressProcess) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 0.3))
        try:
            await process.start()
        except (TimeoutError, RuntimeError):
            await process.kill()  # its record has no ready_at, which the oracles report

    async def _reload(self, node: Node, fault: PlannedFault) -> None:
        """Move the agent to a new address before each of the signals."""
        for name in fault.signals:
            old = node.agent
            node.agent = SoakAgent(node.process.name, self.shared)
            node.agents.append(node.agent)
            await node.agent.start()
            node.process.config["discovery"] = node.agent.address
            node.process.write_config()
            node.process.send_signal(signal.Signals[name])
            asyncio.get_running_loop().call_later(OLD_AGENT_CLOSE_DELAY_S, old.schedule_stop)
            await asyncio.sleep(fault.gap_s)

    async def _system_fault(self, process: IngressProcess, fault: PlannedFault) -> None:
        system_fault, probability = _SYSTEM_FAULTS[fault.kind]
        began_at = time.monotonic()
        process.system_faults.set_probability(system_fault, probability)
        await asyncio.sleep(fault.seconds)
        process.system_faults.set_probability(system_fault, 0.0)
        if system_fault is SystemFault.BROKEN_CONNECTION:
            broken = BrokenConnectionPeriod(process.name, began_at, time.monotonic())
            self.record.broken_paths.append(broken)

    # ---- discovery

    async def _list_fault(self, agent: SoakAgent, fault: PlannedFault) -> None:
        if fault.kind is FaultKind.LIST_UNBOUNDED:
            agent.unbounded = True
            await asyncio.sleep(fault.seconds)
            agent.unbounded = False
            return
        if fault.kind is FaultKind.LIST_SLOW:
            agent.delay_s = fault.gap_s
            await asyncio.sleep(fault.seconds)
            if agent.delay_s == fault.gap_s:  # otherwise the next delay has begun
                agent.delay_s = 0.0
            return
        agent.set_fault(_LIST_FAULTS[fault.kind])
        await asyncio.sleep(fault.seconds)
        agent.set_fault(AgentFault.NONE)

    # ---- backends

    async def _backend_fault(self, fault: PlannedFault) -> None:
        backend = self.backends[fault.target]
        match fault.kind:
            case FaultKind.BACKEND_HANGS:
                await self._set_behaviour(backend, always(Behaviour.HANG), fault.seconds)
            case FaultKind.BACKEND_FAILS:
                chooser = weighted(self.random, FAILING_WEIGHTS)
                await self._set_behaviour(backend, chooser, fault.seconds)
            case FaultKind.BACKEND_RESETS_LATE:
                chooser = weighted(self.random, LATE_RESET_WEIGHTS)
                await self._set_behaviour(backend, chooser, fault.seconds)
            case FaultKind.BACKEND_UNBOUNDED:
                chooser = weighted(self.random, UNBOUNDED_WEIGHTS)
                await self._set_behaviour(backend, chooser, fault.seconds)
            case FaultKind.BACKEND_FORGETS:
                backend.state.idle_timeout_s, before = STALE_AFTER_S, backend.state.idle_timeout_s
                backend.state.idle_becomes_stale = True
                await asyncio.sleep(fault.seconds)
                backend.state.idle_timeout_s = before
                backend.state.idle_becomes_stale = False
            case _:
                await self._disrupt_backend(backend, fault)

    async def _set_behaviour(self, backend: SoakBackend, chooser: Chooser, seconds: float) -> None:
        backend.state.choose_behaviour = chooser
        await asyncio.sleep(seconds)
        backend.state.choose_behaviour = weighted(self.random, NORMAL_WEIGHTS)

    async def _disrupt_backend(self, backend: SoakBackend, fault: PlannedFault) -> None:
        """Crash, cut off or replace a backend, unless such a fault is in progress there."""
        if fault.target in self.disrupted_backends:
            return
        self.disrupted_backends.add(fault.target)
        match fault.kind:
            case FaultKind.BACKEND_CRASHES:
                await backend.crash()
                await asyncio.sleep(fault.seconds / 2)
                await backend.restart()
            case FaultKind.BACKEND_UNREACHABLE:
                await backend.become_unreachable()
                await asyncio.sleep(fault.seconds)
                await backend.become_reachable()
            case FaultKind.BACKEND_DRAINS:
                await self._replace(backend, fault)
        self.disrupted_backends.discard(fault.target)

    async def _replace(self, backend: SoakBackend, fault: PlannedFault) -> None:
        """Drain a backend, remove it from the list, and restart it as a new incarnation."""
        self.shared.set_state(fault.target, "leaving")
        await asyncio.sleep(self.site.drain_grace_s + fault.seconds / 2)
        self.shared.set_state(fault.target, "left")
        await backend.crash()
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        await backend.restart()
        started = BackendStart(backend.uid, backend.incarnation, time.monotonic())
        listed: JsonObject = {"boot_ms": round(time.time() * 1000)}
        if backend.machine is not None:
            started.requests_per_s = backend.machine.spec.requests_per_s
            listed["capacity_hint"] = backend.machine.spec.size
        self.record.backend_starts.append(started)
        self.shared.set_state(fault.target, "active", **listed)
