"""Several requests in a row on one connection."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.ingress import CLIENT_DEADLINE_MARGIN_MS
from sumacpost.server.connection import MAX_PIPELINED, ClientConnection, ConnectionState
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import never_respond, respond


def only_connection(ingress: RunningIngress) -> ClientConnection:
    (connection,) = ingress.server.connections.open
    return connection


def test_more_pipelined_requests_than_the_limit_are_all_answered() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(b"".join(request(number=number) for number in range(40)))
            statuses = {response.status for response in await client.read_responses(40)}
            assert statuses <= {200, 429}  # some were shed

    run(test())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_unread_requests_are_dropped_when_the_client_disconnects(how: str) -> None:
    """With eight responses owed no request is parsed, yet the disconnect has to be seen."""

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client = await ingress.client()
            await ingress.occupy_backends(client, MAX_PIPELINED)
            connection = only_connection(ingress)
            buffered = [request(number=n, Request_Timeout=LONG_TIMEOUT) for n in (50, 51)]
            for data in buffered:
                client.write(data)
            await until(lambda: connection._unread_bytes == len(b"".join(buffered)))
            client.disconnect(how)
            await until(lambda: not ingress.server.connections.open)
            await until(lambda: not ingress.bridge._pending)
            await until(lambda: sum(peer.closed for peer in ingress.backends) == MAX_PIPELINED)
            assert ingress.requests_received == MAX_PIPELINED
            assert ingress.pool_manager.open_connections == 0

    run(test())


def test_unread_request_is_handled_later_and_its_deadline_counts_from_its_arrival() -> None:
    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client = await ingress.client()
            await ingress.occupy_backends(client, MAX_PIPELINED)
            connection = only_connection(ingress)
            client.write(request(number=50, Request_Timeout="5.000"))
            await until(lambda: connection._unread_bytes > 0)
            await asyncio.sleep(0.05)  # time that it loses
            for backend in ingress.backends:
                backend.script = respond()
            ingress.respond_to_all()
            responses = await client.read_responses(MAX_PIPELINED + 1)
            assert [response.status for response in responses] == [200] * (MAX_PIPELINED + 1)
            received = [data for peer in ingress.backends for data in peer.requests]
            (forwarded,) = [data for data in received if b"%016x" % 50 in data]
            timeout_s = float(forwarded.lower().split(b"request-timeout: ")[1].split(b"\r\n")[0])
            assert timeout_s <= 5 - 0.05 - CLIENT_DEADLINE_MARGIN_MS / 1000

    run(test())


def test_too_much_unread_input_ends_the_connection_after_the_pending_responses() -> None:
    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client = await ingress.client()
            await ingress.occupy_backends(client, MAX_PIPELINED)
            client.write(b"".join(request(number=100 + n) for n in range(400)))  # some 90 KB
            connection = only_connection(ingress)
            await until(lambda: connection._state is ConnectionState.CLOSING)
            assert connection._unread_bytes == 0
            ingress.respond_to_all()
            responses = await client.read_responses(MAX_PIPELINED)
            assert [response.status for response in responses] == [200] * MAX_PIPELINED
            assert (await client.read_response()).status == 429
            assert await client.read_to_end() == b""
            assert ingress.requests_received == MAX_PIPELINED

    run(test())


def test_no_request_is_handled_for_a_client_that_reads_no_responses() -> None:
    """Its responses would be buffered without bound."""

    async def test() -> None:
        async with running_ingress(respond(b"x" * 60_000)) as ingress:
            client = await ingress.client()
            client.pause_reading()
            await until(lambda: len(ingress.server.connections.open) == 1)
            connection = only_connection(ingress)
            number = 0
            while not connection._writing_paused:
                client.write(request(number=number, Request_Timeout=LONG_TIMEOUT))
                number += 1
                await until(lambda: not connection._pending_responses or connection._writing_paused)
                await asyncio.sleep(0)
            before = ingress.requests_received
            client.write(request(number=number, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: connection._unread_bytes > 0)
            assert ingress.requests_received == before
            client.resume_reading()
            statuses = [response.status for response in await client.read_responses(number + 1)]
            assert 200 in statuses
            assert not connection._unread

    run(test())
