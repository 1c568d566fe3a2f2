"""A real ingress process between soak backends and clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

from fleetlab.discovery_server import DiscoveryServer
from fleetlab.site import endpoint_entries
from fleetlab.soak.addresses import ingress_address
from fleetlab.soak.backend import BackendState, SoakBackend
from fleetlab.soak.behaviour import Behaviour, always
from fleetlab.soak.client import ClientConnection, RequestSpec
from fleetlab.soak.ingress_process import IngressProcess
from fleetlab.soak.records import Attempt, ClientRequest
from fleetlab.soak.site import SoakSite


@dataclass
class RunningIngress:
    """A running ingress with its settings, backends, and recorded attempts and requests."""

    site: SoakSite
    process: IngressProcess
    backends: list[SoakBackend]
    attempts: list[Attempt]
    requests: list[ClientRequest]
    seconds: float = 0.0

    def request_spec(self, number: int = 0, class_index: int = 0) -> RequestSpec:
        """Return a request of a class, with the deadline of the class as its timeout."""
        request_class = self.site.classes[class_index]
        return RequestSpec(
            f"{number:016x}", request_class.name, request_class.effect, request_class.deadline_s
        )

    async def connect(self) -> ClientConnection:
        """Return a new client connection."""
        return await ClientConnection.connect(
            self.process.name, self.process.address, self.requests
        )

    async def send_request(self, number: int = 0, class_index: int = 0) -> ClientRequest:
        """Send a request on a new connection and read its response."""
        connection = await self.connect()
        record = await connection.send(self.request_spec(number, class_index))
        await connection.receive(record)
        connection.close()
        return record


@asynccontextmanager
async def running_ingress(
    folder: Path, site: SoakSite, behaviour: Behaviour, backends: int = 4, number: int = 0
) -> AsyncIterator[RunningIngress]:
    """Run an ingress in front of a number of backends that all behave the same."""
    attempts: list[Attempt] = []
    async with AsyncExitStack() as resources:
        servers = []
        for index in range(backends):
            server = SoakBackend(
                f"s-{index}", BackendState(always(behaviour)), Random(index), attempts
            )
            await server.start()
            resources.push_async_callback(server.crash)
            servers.append(server)
        entries = endpoint_entries(backends, [server.endpoint for server in servers])
        discovery = DiscoveryServer(entries)
        await discovery.start()
        resources.push_async_callback(discovery.stop)
        config = site.config(0, 7, discovery.address, entries)
        process = IngressProcess("n0", ingress_address(number), config, folder)
        resources.push_async_callback(process.kill)
        await process.start()
        yield RunningIngress(site, process, servers, attempts, [])


async def send_late_in_drain(
    ingress: RunningIngress, connect_after_s: float, send_after_s: float
) -> ClientRequest:
    """Send SIGTERM, then connect and send a request after the given times.

    SIGKILL follows at the earliest permitted time if the process has not exited. Return the request
    with its response, if any.
    """
    ending = asyncio.create_task(ingress.process.terminate(ingress.site.kill_after_s))
    await asyncio.sleep(connect_after_s)
    connection = await ingress.connect()
    await asyncio.sleep(send_after_s - connect_after_s)
    record = await connection.send(ingress.request_spec())
    await connection.receive(record)
    connection.close()
    await ending
    return record
