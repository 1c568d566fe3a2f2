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
from tests.support.http_client import SILENT, leave, request, sent
from tests.support.ingress import world
from tests.support.peers import Peer, answer


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_request_of_a_client_that_left_the_listen_queue_is_not_forwarded(how: str) -> None:
    """It waited at the door, in the kernel's hands; a connection to its backend stands ready to be written to."""

    async def test() -> None:
        async with world(answer()) as w:
            server = w.service._server
            seen = []
            assert (await w.ask(request("vat-filing")))[0] == 200
            await asyncio.sleep(2 * REUSE_DELAY_S)
            server.listener.pause()
            late = await w.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=SILENT))
            await until(lambda: not late.writer.transport.get_write_buffer_size())
            leave(late, how)
            connection_opened = server.connections.connection_opened

            def record_opened(connection: ClientConnection) -> None:
                seen.append(connection)
                connection_opened(connection)

            server.connections.connection_opened = record_opened
            server.listener.resume()
            await until(lambda: len(seen) == 1 and seen[0] not in server.connections.open)
            assert (await w.ask(request("vat-filing", 51)))[
                0
            ] == 200  # whatever was written before it has come by now
            assert sent(w) == 2

    run(test())


def test_request_waiting_for_a_connection_is_cancelled_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        dials = Dials(monkeypatch)
        async with world(answer()) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout=SILENT))
            await until(lambda: dials.begun == 1)
            leave(client, "closed")
            await until(lambda: not w.service._server.connections.open)
            dials.let.set()
            await until(lambda: w.service._ingress.backends.open_connections == 0)
            assert sent(w) == 0 and not w.service._ingress._gateway.pending
            assert (await w.ask(request("vat-filing", 2)))[0] == 200 and sent(w) == 1

    run(test())


def test_request_waiting_for_the_counter_is_cancelled_with_its_client() -> None:
    async def test() -> None:
        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            total[0] += float(
                call.split()[2]
            )  # as a counter would: else the gateway puts it right again and again
            await let.wait()
            writer.write(b"$%d\r\n%b\r\n" % (len(text := b"%.6f" % total[0]), text))

        let, total = asyncio.Event(), [0.0]
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 4000.0}}
        async with world(
            answer(), counter=late, read_counter=read_counter_call, settings=patient
        ) as w:
            client = await w.client()
            client.writer.write(
                request(Plan="basis", Request_Timeout=SILENT, Quota_Info="units=6,spread=3,first=0")
            )
            gateway = w.service._ingress._gateway
            await until(
                lambda: any(
                    call.request
                    for calls in gateway.quota_sync.unanswered.values()
                    for call in calls
                )
            )
            leave(client, "closed")
            await until(lambda: not w.service._server.connections.open)
            let.set()
            await until(
                lambda: (
                    not any(
                        call.request
                        for calls in gateway.quota_sync.unanswered.values()
                        for call in calls
                    )
                )
            )
            assert sent(w) == 0 and not gateway.pending

    run(test())


def test_request_cancelled_as_its_connection_opens_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with world(answer()) as w:

            class Leaving(BackendConnection):
                def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                    super().__init__(pool, sock)
                    for call in list(w.service._ingress._pending.values()):
                        w.service._ingress.cancel_request(call)

            with monkeypatch.context() as patched:
                patched.setattr("sumacpost.upstream.pool.BackendConnection", Leaving)
                client = await w.client()
                client.writer.write(request("vat-filing", Request_Timeout=SILENT))
                pools = w.service._ingress.backends._pools.values()
                await until(
                    lambda: any(pool.idle for pool in pools)
                )  # what came up is kept for others
            await asyncio.sleep(2 * REUSE_DELAY_S)
            assert sent(w) == 0
            assert (await w.ask(request("vat-filing", 2)))[0] == 200
            assert sent(w) == w.backends[0].connections == 1

    run(test())
