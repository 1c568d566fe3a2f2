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
    """A running ingress and the peers that it is connected to, which can be stopped and changed."""

    backends: list[Peer]
    discovery: Peer
    counter: Peer  # started only where the test gives it a script
    config: dict[str, Any]
    stop: asyncio.Event
    task: asyncio.Task[None]
    service: Service
    _resources: AsyncExitStack

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return self.service.address

    @property
    def requests_received(self) -> int:
        """How many requests the backends have received altogether."""
        return sum(len(backend.requests) for backend in self.backends)

    @property
    def server(self) -> Server:
        """The side of the clients."""
        return self.service._server

    @property
    def bridge(self) -> Ingress:
        """What connects sockets and gateway."""
        return self.service._ingress

    @property
    def gateway(self) -> Gateway:
        """The decisions."""
        return self.bridge._gateway

    @property
    def pool_manager(self) -> PoolManager:
        """The side of the backends."""
        return self.bridge.backends

    @property
    def counter_client(self) -> CounterClient:
        """The client of the counter, where there is one."""
        assert self.bridge.counter is not None
        return self.bridge.counter

    async def wait_for_requests(self, count: int) -> None:
        """Wait until the backends have received so many requests."""
        await until(lambda: self.requests_received == count)

    async def client(self) -> Client:
        """Connect a client, to be closed at the end."""
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
) -> AsyncIterator[RunningIngress]:
    """Run an ingress with a backend for each script, known to it from the start.

    Settings replace whole sections of the usual ones.
    """
    async with AsyncExitStack() as resources:
        backends = [Peer(script) for script in scripts]
        discovery_agent = Peer(discovery)
        counter_peer = Peer(counter or never_respond, read_counter_call)
        for peer in [*backends, discovery_agent]:
            await peer.start()
            resources.callback(peer.stop)
        config = configuration(backends, discovery_agent, sockets, settings or {})
        if counter is not None:
            await counter_peer.start()
            resources.callback(counter_peer.stop)
            config["counter"] = counter_peer.address
            config["settings"]["extra"]["has_counter"] = True
        stop = asyncio.Event()
        serving: asyncio.Future[Service] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(serve(read_config(json.dumps(config)), stop, serving.set_result))
        first: set[asyncio.Future[Any]] = {task, serving}
        await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
        service = await serving
        resources.callback(task.cancel)
        yield RunningIngress(
            backends, discovery_agent, counter_peer, config, stop, task, service, resources
        )


def configuration(
    backends: list[Peer], discovery: Peer, sockets: int, settings: dict[str, Any]
) -> dict[str, Any]:
    """Return the configuration file of an ingress among these peers, as parsed JSON."""
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


async def connect_beyond_bound(ingress: RunningIngress) -> Client:
    """Take all eight places of an ingress with 64 sockets, a pending request each.

    Return a client that has sent a request and stands in the listen queue.
    """
    for number in range(8):
        (await ingress.client()).write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
        await ingress.wait_for_requests(number + 1)
    late = await ingress.client()
    late.write(request("vat-filing", 50, Request_Timeout=LONG_TIMEOUT))
    await until(lambda: not ingress.server.listener.accepting)
    return late
