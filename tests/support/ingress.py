"""A running ingress on loopback, between scripted peers."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

from sumacpost.config import read_config
from sumacpost.counter.client import CounterClient
from sumacpost.ingress import Ingress
from sumacpost.policy.gateway import Gateway
from sumacpost.server.server import Server
from sumacpost.service import Service, serve
from sumacpost.upstream.pool_manager import PoolManager
from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.discovery_agent import endpoint_entry
from tests.support.event_loop import until
from tests.support.http_client import LONG_TIMEOUT, Client, Response, request
from tests.support.peers import Peer, Script, never_respond


@dataclass
class RunningIngress:
    """A running ingress and its scripted peers, which a test can stop and change.

    Attributes:
        backends: the backends in its endpoint list.
        discovery: the discovery agent.
        counter: the counter; started only if the test gives a script for it.
        config: the configuration file as parsed JSON.
        stop: starts the drain when set.
        task: runs the service.
        service: the service of the ingress.
    """

    backends: list[Peer]
    discovery: Peer
    counter: Peer
    config: dict[str, Any]
    stop: asyncio.Event
    task: asyncio.Task[None]
    service: Service
    _resources: AsyncExitStack

    @property
    def address(self) -> tuple[str, int]:
        """The address for clients."""
        return self.service.address

    @property
    def requests_received(self) -> int:
        """How many requests all backends together have received."""
        return sum(len(backend.requests) for backend in self.backends)

    @property
    def server(self) -> Server:
        """The server for clients."""
        return self.service._server

    @property
    def instance(self) -> Ingress:
        """The Ingress object of the program, which connects sockets and gateway."""
        return self.service._ingress

    @property
    def gateway(self) -> Gateway:
        """The gateway, which makes the decisions of the policy."""
        return self.instance._gateway

    @property
    def pool_manager(self) -> PoolManager:
        """The connection pools of the backends."""
        return self.instance.pool_manager

    @property
    def counter_client(self) -> CounterClient:
        """The counter client; assert that there is one."""
        assert self.instance.counter is not None
        return self.instance.counter

    async def wait_for_requests(self, count: int) -> None:
        """Wait until the backends have received exactly `count` requests in total."""
        await until(lambda: self.requests_received == count)

    async def client(self) -> Client:
        """Connect a client, which is closed at the end of the test."""
        reader, writer = await asyncio.open_connection(*self.address)
        self._resources.callback(writer.close)
        return Client(reader, writer)

    async def send(self, data: bytes) -> Response:
        """Send a request on a new connection and return its response."""
        client = await self.client()
        return await client.send(data)


@asynccontextmanager
async def running_ingress(
    *scripts: Script,
    counter: Script | None = None,
    sockets: int = 1024,
    discovery: Script = never_respond,
    settings: dict[str, Any] | None = None,
    memory_mb: int = 64,
) -> AsyncIterator[RunningIngress]:
    """Run an ingress whose initial endpoint list contains a backend for each script.

    settings: whole sections that replace those of the default settings.
    """
    async with AsyncExitStack() as resources:
        backends = [Peer(script) for script in scripts]
        discovery_agent = Peer(discovery)
        counter_peer = Peer(counter or never_respond, read_counter_call)
        for peer in [*backends, discovery_agent]:
            await peer.start()
            resources.callback(peer.stop)
        config = configuration(backends, discovery_agent, sockets, settings or {})
        config["limits"]["memory_mb"] = memory_mb
        if counter is not None:
            await counter_peer.start()
            resources.callback(counter_peer.stop)
            config["counter"] = counter_peer.address
            config["settings"]["extra"]["has_counter"] = True
        stop = asyncio.Event()
        service_started: asyncio.Future[Service] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(
            serve(read_config(json.dumps(config)), stop, service_started.set_result)
        )
        startup: set[asyncio.Future[Any]] = {task, service_started}
        await asyncio.wait(startup, return_when=asyncio.FIRST_COMPLETED)
        service = await service_started
        resources.callback(task.cancel)
        yield RunningIngress(
            backends, discovery_agent, counter_peer, config, stop, task, service, resources
        )


def configuration(
    backends: list[Peer], discovery: Peer, sockets: int, settings: dict[str, Any]
) -> dict[str, Any]:
    """Return the configuration file of an ingress with these peers, as parsed JSON."""
    entries = [endpoint_entry(peer, f"s-{number}") for number, peer in enumerate(backends)]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery.address,
        "seed": "07",
        "limits": {"sockets": sockets},
        "settings": copy.deepcopy(SETTINGS) | copy.deepcopy(settings),
        "known": {"rev": 5, "all": True, "targets": entries},
    }


async def connect_beyond_limit(ingress: RunningIngress) -> Client:
    """Open the eight connections that an ingress with 64 sockets permits, each with a request.

    Return a further client that has sent a request and is waiting in the listen queue.
    """
    for number in range(8):
        (await ingress.client()).write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
        await ingress.wait_for_requests(number + 1)
    queued_client = await ingress.client()
    queued_client.write(request("vat-filing", 50, Request_Timeout=LONG_TIMEOUT))
    await until(lambda: not ingress.server.listener.accepting)
    return queued_client
