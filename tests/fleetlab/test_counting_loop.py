"""The event loop that counts what its connections receive."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

from fleetlab.backend_servers import BackendServers
from fleetlab.counting_loop import CountingLoop
from fleetlab.http_connection import HttpConnection
from fleetlab.stand_in import split_address
from tests.fleetlab.support import started

REQUEST = b"GET /r0/1 HTTP/1.1\r\nHost: b\r\n\r\n"
RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


async def exchange_by_address(address: str) -> None:
    connection = await HttpConnection.open(address)
    await connection.request(REQUEST)
    connection.close()


async def exchange_by_socket(address: str) -> None:
    """As the watch of discovery connects when it limits what it receives."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, split_address(address))
    connection = HttpConnection(*await asyncio.open_connection(sock=sock))
    await connection.request(REQUEST)
    connection.close()


def test_bytes_are_counted_by_the_port_connected_to() -> None:
    async def scenario(loop: CountingLoop) -> None:
        async with started(BackendServers(ports=2)) as backends:
            first, second = backends.endpoints
            await exchange_by_address(first)
            await exchange_by_address(second)
            await exchange_by_address(second)
            assert loop.received_bytes[split_address(first)[1]] == len(RESPONSE)
            assert loop.received_bytes[split_address(second)[1]] == 2 * len(RESPONSE)

    run_on_counting_loop(scenario)


def test_a_connected_socket_can_be_used() -> None:
    async def scenario(loop: CountingLoop) -> None:
        async with started(BackendServers(ports=1)) as backends:
            await exchange_by_socket(backends.endpoints[0])
            assert loop.received_bytes == {None: len(RESPONSE)}

    run_on_counting_loop(scenario)


def run_on_counting_loop(scenario: Callable[[CountingLoop], Coroutine[None, None, None]]) -> None:
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, CountingLoop)
        runner.run(asyncio.wait_for(scenario(loop), 30))
