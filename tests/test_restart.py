"""Required restart time: nine of ten restarted processes must be ready within ten seconds."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fleetlab.stand_in import reserve_port
from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.discovery_agent import DiscoveryAgent, endpoint_entry, endpoint_list
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, send_once
from tests.support.peers import Peer, Script, never_respond, respond
from tests.support.program import end_program, start_program

READY_S = 10.0
OUTAGE_S = 2.0

# Faults of the discovery agent that affect the first poll after the restart.
FAULTS: dict[str, Callable[[DiscoveryAgent], Script]] = {
    "silent": lambda agent: never_respond,
    "truncated and closed": lambda agent: agent.truncate_and_close,
    "truncated and stalled": lambda agent: agent.truncate_and_stall,
}


@dataclass(frozen=True)
class RestartCase:
    """How one process is restarted, and the state of its peers at that time."""

    number: int
    fault: str  # key of FAULTS, "refused" (no connection), or empty: no fault
    stale_list: bool  # whether the cached endpoint list is stale instead of empty

    @property
    def kill(self) -> bool:
        """Whether the process is ended by SIGKILL instead of SIGTERM."""
        return self.number % 2 == 1

    @property
    def counter_listens(self) -> bool:
        """Whether the counter accepts connections without replying, instead of refusing them."""
        return self.number % 4 < 2


CASES = [
    RestartCase(number, fault, stale_list)
    for number, (stale_list, fault) in enumerate(
        (stale_list, fault) for stale_list in (True, False) for fault in ["", *FAULTS, "refused"]
    )
]


async def wait_until_ready(port: int) -> None:
    while (await send_once(port, HEALTH_REQUEST, READY_S)).status != 200:
        await asyncio.sleep(0.05)


def first_poll_only(agent: DiscoveryAgent, fault: Script) -> Script:
    """Return a script that applies the fault to the first poll only."""

    async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        agent.fault = None
        await fault(peer, data, writer)

    return script


async def listen_again_later(peer: Peer) -> None:
    await asyncio.sleep(OUTAGE_S)
    await peer.listen_again()


class RestartScenario:
    """A process with its peers; the process is ended and started again."""

    def __init__(self, case: RestartCase, backend: Peer, log: Path) -> None:
        self.case = case
        self.backend = backend
        self.log = log
        self.resources = AsyncExitStack()
        self.agent_before = DiscoveryAgent()
        self.agent_after = DiscoveryAgent()
        for agent in (self.agent_before, self.agent_after):
            agent.publish(endpoint_entry(backend, "s-1"))
        self.discovery = Peer(self.agent_before)
        self.counter = Peer(never_respond, read_counter_call)
        self.port = self._reserve_port()
        self.refusing_port = self._reserve_port()

    def _reserve_port(self) -> int:
        reserved = reserve_port()
        self.resources.callback(reserved.close)
        port: int = reserved.getsockname()[1]
        return port

    def _config(self) -> dict[str, Any]:
        nowhere = f"127.0.0.1:{self.refusing_port}"
        stale = [endpoint_entry(self.backend, f"s-{n}", endpoint=nowhere) for n in (8, 9)]
        return {
            "name": f"n{self.case.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "07",
            "counter": self.counter.address if self.case.counter_listens else nowhere,
            "settings": SETTINGS | {"extra": SETTINGS["extra"] | {"has_counter": True}},
            "known": endpoint_list(1, *(stale if self.case.stale_list else [])),
        }

    async def _start_process(self) -> asyncio.subprocess.Process:
        process = await start_program(self._config(), self.log)
        self.resources.push_async_callback(end_program, process)
        return process

    async def _end_process(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGKILL if self.case.kill else signal.SIGTERM)
        assert await process.wait() == (-signal.SIGKILL if self.case.kill else 0)

    async def _begin_fault(self) -> None:
        self.discovery.script = self.agent_after  # receives only the polls of the new process
        if self.case.fault == "refused":
            await self.discovery.refuse_connections()
            returning = asyncio.create_task(listen_again_later(self.discovery))
            self.resources.callback(returning.cancel)
        elif self.case.fault:
            fault = FAULTS[self.case.fault](self.agent_after)
            self.agent_after.inject_fault(first_poll_only(self.agent_after, fault))

    async def is_ready_in_time(self) -> bool:
        """Restart the process, and return whether the new one is ready in time."""
        async with self.resources:
            for peer in (self.discovery, self.counter):
                await peer.start()
                self.resources.callback(peer.stop)
            process = await self._start_process()
            await wait_until_ready(self.port)
            await until(lambda: bool(self.agent_before.held_polls))
            await self._end_process(process)
            await self._begin_fault()
            await self._start_process()
            try:
                async with asyncio.timeout(READY_S):
                    await wait_until_ready(self.port)
            except TimeoutError:
                return False
            return True


def test_nine_in_ten_restarted_processes_are_ready_in_time(tmp_path: Path) -> None:
    """A process is ready once it responds to GET /healthz with 200.

    At most two processes are restarted at the same time, so that each has as much processor time as
    it would have alone. The ten seconds of each process run from its own start.
    """
    logs = {case: tmp_path / f"{case.number}.log" for case in CASES}

    async def test() -> None:
        backend = Peer(respond())
        await backend.start()
        concurrency_limit = asyncio.Semaphore(2)

        async def is_ready_in_time(case: RestartCase) -> bool:
            async with concurrency_limit:
                return await RestartScenario(case, backend, logs[case]).is_ready_in_time()

        ready = await asyncio.gather(*(is_ready_in_time(case) for case in CASES))
        late = [case for case, in_time in zip(CASES, ready, strict=True) if not in_time]
        assert len(CASES) == 10
        assert len(late) <= 1, [(case, logs[case].read_text()[-500:]) for case in late]
        backend.stop()

    run(test())
