"""A client's end that crosses another step of its request. docs/crossings.md lists these pairs."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.server.connection import ClientConnection
from sumacpost.upstream.connection import BackendConnection
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.dials import Dials
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, respond


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on(how: str) -> None:
    """It waited at the door, in the kernel's hands; a connection to its backend stands ready to be written to."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            server = ingress.service._server
            seen = []
            assert (await ingress.send(request("vat-filing"))).status == 200
            await asyncio.sleep(2 * REUSE_DELAY_S)
            server.listener.pause()
            late = await ingress.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: not late.writer.transport.get_write_buffer_size())
            late.disconnect(how)
            connection_opened = server.connections.connection_opened

            def record_opened(connection: ClientConnection) -> None:
                seen.append(connection)
                connection_opened(connection)

            server.connections.connection_opened = record_opened
            server.listener.resume()
            await until(lambda: len(seen) == 1 and seen[0] not in server.connections.open)
            assert (
                await ingress.send(request("vat-filing", 51))
            ).status == 200  # whatever was written before it has come by now
            assert ingress.requests_received == 2

    run(test())


def test_what_waits_for_a_connection_is_dropped_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        dials = Dials(monkeypatch)
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.writer.write(request("vat-filing", Request_Timeout=LONG_TIMEOUT))
            await until(lambda: dials.begun == 1)
            client.disconnect("closed")
            await until(lambda: not ingress.service._server.connections.open)
            dials.let.set()
            await until(lambda: ingress.service._ingress.backends.open_connections == 0)
            assert ingress.requests_received == 0
            assert not ingress.service._ingress._gateway.calls
            assert (await ingress.send(request("vat-filing", 2))).status == 200
            assert ingress.requests_received == 1

    run(test())


def test_what_waits_for_the_counter_is_dropped_with_its_client() -> None:
    async def test() -> None:
        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            total[0] += float(
                call.split()[2]
            )  # as a counter would: else the gateway puts it right again and again
            await let.wait()
            writer.write(b"$%d\r\n%b\r\n" % (len(text := b"%.6f" % total[0]), text))

        let, total = asyncio.Event(), [0.0]
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 4000.0}}
        async with running_ingress(
            respond(), counter=late, read_counter=read_counter_call, settings=patient
        ) as ingress:
            client = await ingress.client()
            client.writer.write(
                request(
                    Plan="basis",
                    Request_Timeout=LONG_TIMEOUT,
                    Quota_Info="units=6,spread=3,first=0",
                )
            )
            gateway = ingress.service._ingress._gateway
            await until(
                lambda: any(call for asked in gateway.counts.values() for *_, call in asked)
            )
            client.disconnect("closed")
            await until(lambda: not ingress.service._server.connections.open)
            let.set()
            await until(
                lambda: not any(call for asked in gateway.counts.values() for *_, call in asked)
            )
            assert ingress.requests_received == 0
            assert not gateway.calls

    run(test())


def test_a_client_that_leaves_as_the_connection_for_its_request_comes_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:

            class Leaving(BackendConnection):
                def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                    super().__init__(pool, sock)
                    for call in list(ingress.service._ingress._pending.values()):
                        ingress.service._ingress.cancel_request(call)

            with monkeypatch.context() as patched:
                patched.setattr("sumacpost.upstream.pool.BackendConnection", Leaving)
                client = await ingress.client()
                client.writer.write(request("vat-filing", Request_Timeout=LONG_TIMEOUT))
                pools = ingress.service._ingress.backends._pools.values()
                await until(
                    lambda: any(pool.idle for pool in pools)
                )  # what came up is kept for others
            await asyncio.sleep(2 * REUSE_DELAY_S)
            assert ingress.requests_received == 0
            assert (await ingress.send(request("vat-filing", 2))).status == 200
            assert ingress.requests_received == ingress.backends[0].connections == 1

    run(test())
