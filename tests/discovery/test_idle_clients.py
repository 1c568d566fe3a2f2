"""Idle clients that use up the file descriptors block neither discovery nor other clients."""

from __future__ import annotations

import asyncio
import socket
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import pytest

from fleetlab.stand_in import reserve_port
from tests.discovery.faults import DRAIN_LIMIT_S, FAULTS, FaultInjector, collect_failures, end_fault
from tests.support.configuration import SETTINGS
from tests.support.discovery_agent import DiscoveryAgent, endpoint_entry, endpoint_list
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, request, send_once
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, respond
from tests.support.program import end_program, start_program


class IdleClients:
    """Clients that keep connections open, and reconnect when the ingress closes them.

    Each client sends nothing, half a request, or a complete request.
    """

    def __init__(self, port: int, count: int) -> None:
        self.connections = 0
        self._port = port
        sent = (b"", request()[:30], HEALTH_REQUEST)
        self._tasks = [
            asyncio.create_task(self._stay_connected(sent[n % len(sent)])) for n in range(count)
        ]

    async def _stay_connected(self, data: bytes) -> None:
        for _ in range(30):
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                self.connections += 1
                try:
                    writer.write(data)
                    await reader.read()
                finally:
                    writer.close()
            await asyncio.sleep(1.0)

    async def disconnect(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class ProgramWithIdleClients:
    """The ingress as a process with few descriptors, its peers, and twice as many idle clients.

    The clients connect during a fault of discovery, which ends the connection to discovery. The
    ingress has to reconnect while the clients use up the descriptors that it has for them.
    """

    def __init__(self, inject_fault: FaultInjector, descriptors: int, log: Path) -> None:
        self.old = Peer(respond(b"old"))
        self.new = Peer(respond(b"new"))
        self.agent = DiscoveryAgent()
        self.discovery = Peer(self.agent)
        self._inject_fault = inject_fault
        self._descriptors = descriptors
        self._log = log

    async def __aenter__(self) -> ProgramWithIdleClients:
        async with AsyncExitStack() as resources:
            reserved = resources.enter_context(reserve_port())
            self.port = reserved.getsockname()[1]
            for peer in (self.old, self.new, self.discovery):
                await peer.start()
                resources.callback(peer.stop)
            self.agent.publish(endpoint_entry(self.old, "s-0"))
            self.process = await start_program(self._configuration(), self._log, self._descriptors)
            resources.push_async_callback(end_program, self.process)
            while (await send_once(self.port, HEALTH_REQUEST)).status != 200:
                await asyncio.sleep(0.05)
            await until(lambda: bool(self.agent.held_polls))
            await self._inject_fault(self.agent, self.discovery)
            self.clients = IdleClients(self.port, 2 * self._descriptors)
            resources.push_async_callback(self.clients.disconnect)
            await until(lambda: self.clients.connections >= 2 * self._descriptors)
            await asyncio.sleep(2.0)
            self._resources = resources.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._resources.aclose()

    def _configuration(self) -> dict[str, object]:
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.discovery.address,
            "seed": "07",
            "limits": {"sockets": self._descriptors},
            "settings": SETTINGS,
            "known": endpoint_list(5, endpoint_entry(self.old, "s-0")),
        }

    async def drain_after_fault(self) -> None:
        """End the fault, drain the old backend, add the new one, and wait until both are known."""
        await end_fault(
            self.agent,
            self.discovery,
            endpoint_entry(self.old, "s-0", "leaving"),
            endpoint_entry(self.new, "s-1"),
        )
        async with asyncio.timeout(DRAIN_LIMIT_S):
            await until(lambda: self.agent.current_version_polled(self.discovery))

    async def bodies_served(self, numbers: range) -> list[bytes]:
        """Send one request after another as an ordinary client; return the response bodies."""
        return [await body_served(self.port, number) for number in numbers]


async def body_served(port: int, number: int) -> bytes:
    """Send a request, again while its connection closes without a response; return the body."""
    data = request("ledger-read", number, Request_Timeout="4.000")
    async with asyncio.timeout(4.0):
        response = await send_once(port, data, 4.0)
        while response.status == 0:
            await asyncio.sleep(0.05)
            response = await send_once(port, data, 4.0)
    assert response.status == 200, response
    return response.body


async def check_drain(inject_fault: FaultInjector, descriptors: int, log: Path) -> None:
    async with ProgramWithIdleClients(inject_fault, descriptors, log) as program:
        await program.drain_after_fault()
        requests_before = len(program.old.requests)
        await program.clients.disconnect()
        assert await program.bodies_served(range(20)) == [b"new"] * 20
        assert len(program.old.requests) == requests_before
        assert program.process.returncode is None


async def check_service(inject_fault: FaultInjector, descriptors: int, log: Path) -> None:
    async with ProgramWithIdleClients(inject_fault, descriptors, log) as program:
        assert await program.bodies_served(range(5)) == [b"old"] * 5
        await program.drain_after_fault()
        assert await program.bodies_served(range(5, 10)) == [b"new"] * 5
        assert program.process.returncode is None


# The fault of discovery, and the file descriptors that the ingress may use.
CASES = (
    ("refused", 64),
    ("silent", 64),
    ("truncated and closed", 64),
    ("truncated and left open", 96),
    ("refused", 128),
)


def test_drain_is_known_in_time_while_idle_clients_use_up_the_descriptors(tmp_path: Path) -> None:
    """The ingress must be able to reconnect to discovery while idle clients are connected."""
    cases = {
        f"{name}, {descriptors} descriptors": check_drain(
            FAULTS[name], descriptors, tmp_path / f"{name}-{descriptors}.log"
        )
        for name, descriptors in CASES
    }

    async def test() -> None:
        assert await collect_failures(cases) == {}

    run(test())


def test_ordinary_client_is_served_while_idle_clients_use_up_the_descriptors(
    tmp_path: Path,
) -> None:
    """The ingress must not leave the client's connection waiting, during the fault or after it.

    It may close the connection without reading the request, which the client then repeats.
    """
    cases = {
        f"{name}, {descriptors} descriptors": check_service(
            FAULTS[name], descriptors, tmp_path / f"{name}-{descriptors}.log"
        )
        for name, descriptors in CASES
    }

    async def test() -> None:
        assert await collect_failures(cases) == {}

    run(test())


def test_ordinary_client_is_served_after_many_simultaneous_idle_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """64 descriptors allow eight client connections; forty connect before the first accept."""
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 1000.0)

    async def test() -> None:
        async with running_ingress(respond(b"old"), sockets=64) as ingress:
            # The event loop doesn't run in between.
            idle_clients = [socket.create_connection(ingress.address) for _ in range(40)]
            assert await body_served(ingress.address[1], 1) == b"old"
            for idle_client in idle_clients:
                idle_client.close()

    run(test())
