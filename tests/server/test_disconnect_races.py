"""A client's disconnect that crosses another step of its request, as docs/crossings.md lists."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.server.connection import ClientConnection
from sumacpost.upstream.connection import BackendConnection
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.dials import Dials
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, respond


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_request_of_a_client_that_left_the_listen_queue_is_not_forwarded(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It waits in the kernel's accept queue; a connection to its backend is ready to be used."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            server = ingress.server
            opened: list[ClientConnection] = []
            connection_opened = server.connections.connection_opened

            def record_opened(connection: ClientConnection) -> None:
                opened.append(connection)
                connection_opened(connection)

            assert (await ingress.send(request())).status == 200
            await asyncio.sleep(2 * REUSE_DELAY_S)
            server.listener.pause()
            late = await ingress.client()
            late.write(request(number=50, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: not late.writer.transport.get_write_buffer_size())
            late.disconnect(how)
            monkeypatch.setattr(server.connections, "connection_opened", record_opened)
            server.listener.resume()
            await until(lambda: len(opened) == 1 and opened[0] not in server.connections.open)
            # Whatever was written before this request has arrived with it.
            assert (await ingress.send(request(number=51))).status == 200
            assert ingress.requests_received == 2

    run(test())


def test_request_waiting_for_a_connection_is_cancelled_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        dials = Dials(monkeypatch)
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout=LONG_TIMEOUT))
            await until(lambda: dials.begun == 1)
            client.disconnect("closed")
            await until(lambda: not ingress.server.connections.open)
            dials.let.set()
            await until(lambda: ingress.pool_manager.open_connections == 0)
            assert ingress.requests_received == 0
            assert not ingress.gateway.pending
            assert (await ingress.send(request(number=2))).status == 200
            assert ingress.requests_received == 1

    run(test())


class BlockedCounter:
    """A counter's script that replies only when it is let."""

    def __init__(self) -> None:
        self.let = asyncio.Event()
        self._total = 0.0

    async def __call__(self, peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        # Kept as a counter does: else the gateway would correct the total again and again.
        self._total += float(call.split()[2])
        await self.let.wait()
        text = b"%.6f" % self._total
        writer.write(b"$%d\r\n%b\r\n" % (len(text), text))


def test_request_waiting_for_the_counter_is_cancelled_with_its_client() -> None:
    async def test() -> None:
        counter = BlockedCounter()
        settings = {"extra": SETTINGS["extra"] | {"count_wait": 4000.0}}
        async with running_ingress(respond(), counter=counter, settings=settings) as ingress:
            gateway = ingress.gateway

            def request_waits() -> bool:
                unanswered = gateway.quota_sync.unanswered.values()
                return any(call.request for calls in unanswered for call in calls)

            client = await ingress.client()
            client.write(
                request(
                    Plan="basis",
                    Request_Timeout=LONG_TIMEOUT,
                    Quota_Info="units=6,spread=3,first=0",
                )
            )
            await until(request_waits)
            client.disconnect("closed")
            await until(lambda: not ingress.server.connections.open)
            counter.let.set()
            await until(lambda: not request_waits())
            assert ingress.requests_received == 0
            assert not gateway.pending

    run(test())


def test_request_cancelled_as_its_connection_opens_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:

            class CancellingConnection(BackendConnection):
                def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                    super().__init__(pool, sock)
                    for pending in list(ingress.bridge._pending.values()):
                        ingress.bridge.cancel_request(pending)

            with monkeypatch.context() as patched:
                patched.setattr("sumacpost.upstream.pool.BackendConnection", CancellingConnection)
                client = await ingress.client()
                client.write(request(Request_Timeout=LONG_TIMEOUT))
                pools = ingress.pool_manager._pools.values()
                # The new connection is kept for other requests.
                await until(lambda: any(pool.idle for pool in pools))
            await asyncio.sleep(2 * REUSE_DELAY_S)
            assert ingress.requests_received == 0
            assert (await ingress.send(request(number=2))).status == 200
            assert ingress.requests_received == 1
            assert ingress.backends[0].connections == 1

    run(test())
