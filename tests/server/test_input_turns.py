"""Clients that send much at once, whose input is parsed in turns."""

from __future__ import annotations

import asyncio

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.server.client_input import PAUSE_READING_BYTES
from sumacpost.server.connection import ClientConnection
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, Client, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import respond
from tests.support.turns import limit_turns

UNKNOWN_CLASS = b"GET /nothing HTTP/1.1\r\nHost: service.internal\r\n\r\n"
AT_ONCE = 300


def refused_requests(ingress: RunningIngress) -> int:
    counts = ingress.instance.recorder.counts
    return sum(count for (kind, _), count in counts.items() if kind is EventKind.REQUEST_REFUSED)


async def open_connection(ingress: RunningIngress) -> tuple[Client, ClientConnection]:
    """Return the client's and the ingress's end of a new connection, the only one."""
    client = await ingress.client()
    await until(lambda: len(ingress.server.connections.open) == 1)
    (connection,) = ingress.server.connections.open
    return client, connection


async def read_statuses(client: Client, count: int) -> list[int]:
    return [(await client.read_response()).status for _ in range(count)]


def test_one_read_of_many_requests_is_not_handled_whole() -> None:
    # Guards against an event loop that is held up by all requests that a client sends at once.
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await open_connection(ingress)
            limit_turns(ingress.instance.turns)
            connection.data_received(UNKNOWN_CLASS * AT_ONCE)
            assert 0 < refused_requests(ingress) < AT_ONCE / 2
            statuses = await read_statuses(client, AT_ONCE)
            assert statuses == [404] * AT_ONCE

    run(test())


def test_a_usual_request_is_answered_before_the_rest_of_many_bad_ones() -> None:
    # Guards against usual requests that wait for all bad requests read before them.
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            bad_client, usual_client = await ingress.client(), await ingress.client()
            await until(lambda: len(ingress.server.connections.open) == 2)
            bad, usual = ingress.server.connections.open
            limit_turns(ingress.instance.turns)
            bad.data_received(UNKNOWN_CLASS * AT_ONCE)
            usual.data_received(request("vat-filing", 1))
            while not ingress.instance._pending:
                await asyncio.sleep(0)
            assert refused_requests(ingress) < AT_ONCE
            assert (await usual_client.read_response()).status == 200
            assert await read_statuses(bad_client, AT_ONCE) == [404] * AT_ONCE

    run(test())


def test_input_that_exceeds_the_buffer_while_it_waits_its_turn_is_all_answered() -> None:
    # Guards against a refusal of input that could have been parsed, and against reading that stays
    # paused.
    count = 4 * PAUSE_READING_BYTES // len(UNKNOWN_CLASS)

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(UNKNOWN_CLASS * count + request("vat-filing", 1))
            assert await read_statuses(client, count) == [404] * count
            assert (await client.read_response()).status == 200
            assert (await client.send(HEALTH_REQUEST)).status == 200

    run(test())


def test_a_disconnect_is_noticed_while_reading_is_paused() -> None:
    # Guards against requests that are forwarded for a client that has gone.
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await open_connection(ingress)
            requests = UNKNOWN_CLASS * (2 * PAUSE_READING_BYTES // len(UNKNOWN_CLASS))
            client.writer.transport.abort()
            connection.data_received(requests + request("vat-filing", 1))
            await until(lambda: not ingress.server.connections.open)
            assert ingress.requests_received == 0

    run(test())


def test_a_drain_answers_the_input_that_waits_its_turn() -> None:
    # Guards against a drain that closes a connection whose requests have been read.
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await open_connection(ingress)
            connection.data_received(UNKNOWN_CLASS * AT_ONCE)
            ingress.stop.set()
            assert await read_statuses(client, AT_ONCE) == [404] * AT_ONCE

    run(test())
