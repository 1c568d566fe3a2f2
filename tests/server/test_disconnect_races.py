"""Clients that disconnect during another step of their request; see docs/crossings.md."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.server.connection import ClientConnection
from sumacpost.upstream.connection import BackendConnection
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.connection_gate import ConnectionGate
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, respond


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_request_of_a_client_that_disconnected_in_the_listen_queue_is_not_forwarded(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client disconnects before its connection is accepted; a backend connection is idle.

    The request could be written to the backend as soon as it is read.
    """

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            server = ingress.server
            opened = []
            assert (await ingress.send(request("vat-filing"))).status == 200
            await asyncio.sleep(2 * REUSE_DELAY_S)
            server.listener.pause()
            queued_client = await ingress.client()
            queued_client.write(request("vat-filing", 50, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: not queued_client.writer.transport.get_write_buffer_size())
            queued_client.disconnect(how)
            connection_opened = server.connections.connection_opened

            def record_opened(connection: ClientConnection) -> None:
                opened.append(connection)
                connection_opened(connection)

            monkeypatch.setattr(server.connections, "connection_opened", record_opened)
            server.listener.resume()
            await until(lambda: len(opened) == 1 and opened[0] not in server.connections.open)
            # A request forwarded before this one would have been received by now.
            assert (await ingress.send(request("vat-filing", 51))).status == 200
            assert ingress.requests_received == 2

    run(test())


def test_request_waiting_for_a_connection_is_cancelled_with_its_client(
    connection_gate: ConnectionGate,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout=LONG_TIMEOUT))
            await until(lambda: connection_gate.connect_calls == 1)
            client.disconnect("closed")
            await until(lambda: not ingress.server.connections.open)
            connection_gate.open()
            await until(lambda: ingress.pool_manager.open_connections == 0)
            assert ingress.requests_received == 0
            assert not ingress.gateway.pending
            assert (await ingress.send(request("vat-filing", 2))).status == 200
            assert ingress.requests_received == 1

    run(test())


def test_request_waiting_for_the_counter_is_cancelled_with_its_client() -> None:
    async def test() -> None:
        async def delayed_reply(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            # With another total the gateway would send a correction.
            total[0] += float(call.split()[2])
            await reply_allowed.wait()
            writer.write(b"$%d\r\n%b\r\n" % (len(text := b"%.6f" % total[0]), text))

        reply_allowed, total = asyncio.Event(), [0.0]
        long_counter_timeout = {"extra": SETTINGS["extra"] | {"count_wait": 4000.0}}
        async with running_ingress(
            respond(), counter=delayed_reply, settings=long_counter_timeout
        ) as ingress:
            client = await ingress.client()
            client.write(
                request(
                    Plan="basis",
                    Request_Timeout=LONG_TIMEOUT,
                    Quota_Info="units=6,spread=3,first=0",
                )
            )
            gateway = ingress.gateway
            await until(
                lambda: any(
                    call.request
                    for calls in gateway.quota_sync.pending_calls.values()
                    for call in calls
                )
            )
            client.disconnect("closed")
            await until(lambda: not ingress.server.connections.open)
            reply_allowed.set()
            await until(
                lambda: (
                    not any(
                        call.request
                        for calls in gateway.quota_sync.pending_calls.values()
                        for call in calls
                    )
                )
            )
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
                    for pending in list(ingress.instance._pending.values()):
                        ingress.instance.cancel_request(pending)

            with monkeypatch.context() as patched:
                patched.setattr("sumacpost.upstream.pool.BackendConnection", CancellingConnection)
                client = await ingress.client()
                client.write(request(Request_Timeout=LONG_TIMEOUT))
                pools = ingress.pool_manager._pools.values()
                # The connection that was opened is kept for other requests.
                await until(lambda: any(pool.idle for pool in pools))
            await asyncio.sleep(2 * REUSE_DELAY_S)
            assert ingress.requests_received == 0
            assert (await ingress.send(request("vat-filing", 2))).status == 200
            assert ingress.requests_received == ingress.backends[0].connections == 1

    run(test())
