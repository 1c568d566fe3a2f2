"""Tests of the event loop that counts the bytes received on its connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine

from fleetlab.backend_servers import BackendServers
from fleetlab.counting_loop import CountingLoop
from fleetlab.http_connection import HttpConnection
from fleetlab.stand_in import split_address
from tests.fleetlab.support import run_server

REQUEST = b"GET /r0/1 HTTP/1.1\r\nHost: b\r\n\r\n"
RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


async def exchange_by_address(address: str) -> None:
    connection = await HttpConnection.open(address)
    await connection.request(REQUEST)
    connection.close()


async def exchange_by_socket(address: str) -> None:
    """Exchange on a connected socket, as the discovery watch does to limit its receive buffer."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, split_address(address))
    connection = HttpConnection(*await asyncio.open_connection(sock=sock))
    await connection.request(REQUEST)
    connection.close()


def test_received_bytes_are_counted_by_remote_port() -> None:
    async def scenario(loop: CountingLoop) -> None:
        async with run_server(BackendServers(ports=2)) as backends:
            first, second = backends.endpoints
            await exchange_by_address(first)
            await exchange_by_address(second)
            await exchange_by_address(second)
            assert loop.received_bytes[split_address(first)[1]] == len(RESPONSE)
            assert loop.received_bytes[split_address(second)[1]] == 2 * len(RESPONSE)

    run_on_counting_loop(scenario)


def test_bytes_from_a_connected_socket_are_counted_without_a_port() -> None:
    async def scenario(loop: CountingLoop) -> None:
        async with run_server(BackendServers(ports=1)) as backends:
            await exchange_by_socket(backends.endpoints[0])
            assert loop.received_bytes == {None: len(RESPONSE)}

    run_on_counting_loop(scenario)


def run_on_counting_loop(scenario: Callable[[CountingLoop], Coroutine[None, None, None]]) -> None:
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, CountingLoop)
        runner.run(asyncio.wait_for(scenario(loop), 30))
