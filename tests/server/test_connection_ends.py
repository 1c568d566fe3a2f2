"""Connections that are to be closed while a request on them has been read."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.policy.connection_rules import CloseCause
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection import ClientConnection
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, Client, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import respond
from tests.support.turns import limit_turns

UNKNOWN_CLASS = b"GET /nothing HTTP/1.1\r\nHost: service.internal\r\n\r\n"
AT_ONCE = 300
MANY_AT_ONCE = 3000
PLACES = 8  # client connections of an ingress with 64 descriptors


async def fill_places(ingress: RunningIngress) -> list[Client]:
    """Open as many client connections as the ingress permits."""
    clients = [await ingress.client() for _ in range(PLACES)]
    await until(lambda: len(ingress.server.connections.open) == PLACES)
    return clients


async def one_connection(ingress: RunningIngress) -> tuple[Client, ClientConnection]:
    """Return the client's and the ingress's end of a new connection, the only one."""
    client = await ingress.client()
    await until(lambda: len(ingress.server.connections.open) == 1)
    (connection,) = ingress.server.connections.open
    return client, connection


async def connect_with_small_buffer(ingress: RunningIngress) -> socket.socket:
    """Connect a client for which the kernel holds little, and which reads only when told to."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ingress.address)
    return sock


async def read_statuses(client: Client, count: int) -> list[int]:
    return [response.status for response in await client.read_responses(count)]


def test_a_request_that_was_read_is_answered_though_other_clients_need_the_place() -> None:
    # Guards against an eviction of connections whose requests wait to be parsed (review/6).
    async def test() -> None:
        async with running_ingress(respond(), sockets=64) as ingress:
            clients = await fill_places(ingress)
            limit_turns(ingress.instance.turns)
            for connection in list(ingress.server.connections.open):
                connection.data_received(UNKNOWN_CLASS * AT_ONCE)
            newcomer = await ingress.client()
            newcomer.write(request())
            ingress.server.listener.accept()
            for client in clients:
                assert await read_statuses(client, AT_ONCE) == [404] * AT_ONCE
            assert (await newcomer.read_response()).status == 200
            assert ingress.instance.recorder.violation_count == 0

    run(test())


def test_new_clients_are_served_beside_clients_that_send_without_a_break(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against places that are taken for ever, and against dropped requests of those clients.
    monkeypatch.setattr("sumacpost.server.connection_registry.MAX_BUSY_S", 0.05)
    stopped = asyncio.Event()

    async def send_on_and_on(client: Client) -> tuple[int, int]:
        """Return how many requests were sent and how many answered until the connection ended."""
        sent = answered = 0
        while True:
            try:
                while sent < answered + 2 * AT_ONCE and not stopped.is_set():
                    client.write(UNKNOWN_CLASS * AT_ONCE)
                    sent += AT_ONCE
                last = b"Connection: close" in (await client.read_response()).head
            except (asyncio.IncompleteReadError, ConnectionError):
                return sent, answered
            answered += 1
            if last or (stopped.is_set() and sent == answered):
                return sent, answered

    async def test() -> None:
        async with running_ingress(respond(), sockets=64) as ingress:
            clients = await fill_places(ingress)
            limit_turns(ingress.instance.turns)
            sending = [asyncio.create_task(send_on_and_on(client)) for client in clients]
            await asyncio.sleep(0.1)
            for _ in range(3):
                response = await asyncio.wait_for(ingress.send(HEALTH_REQUEST), 10.0)
                assert response.status == 200
            stopped.set()
            for sent, answered in await asyncio.gather(*sending):
                assert 0 < answered <= sent
            assert ingress.instance.recorder.violation_count == 0

    run(test())


def test_new_clients_are_served_though_all_places_have_many_requests_waiting() -> None:
    # Guards against new clients that wait until all requests of hundreds have been handled.
    async def test() -> None:
        async with running_ingress(respond(), sockets=64) as ingress:
            clients = await fill_places(ingress)
            limit_turns(ingress.instance.turns, per_callback=1)
            for connection in list(ingress.server.connections.open):
                connection.data_received(UNKNOWN_CLASS * MANY_AT_ONCE)
            assert (await ingress.send(HEALTH_REQUEST)).status == 200
            waiting = [connection._input.size for connection in ingress.server.connections.open]
            assert sum(size > 0 for size in waiting) >= PLACES - 2
            statuses = [await read_statuses(client, MANY_AT_ONCE) for client in clients]
            assert {status for found in statuses for status in found} == {404, 429}
            assert ingress.instance.recorder.violation_count == 0

    run(test())


def test_an_incomplete_request_gets_an_error_when_its_place_is_needed() -> None:
    # Guards against a request that was read in part, and whose connection is closed without a word.
    async def test() -> None:
        async with running_ingress(respond(), sockets=64) as ingress:
            clients = await fill_places(ingress)
            connections = list(ingress.server.connections.open)
            for client in clients:
                client.write(request()[:40])
            await until(lambda: all(c._input.reader.has_partial_message for c in connections))
            assert (await ingress.send(request(number=2))).status == 200
            response = await clients[0].read_response()
            assert response.status == 408
            assert b"Connection: close" in response.head
            assert await clients[0].read_to_end() == b""

    run(test())


@pytest.mark.parametrize("cause", [cause for cause in CloseCause if "MEMORY" not in cause.name])
def test_a_request_that_waits_for_its_turn_is_answered_whatever_the_close_is_for(
    cause: CloseCause, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against time-outs and limits that drop requests which were read and not parsed.
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await one_connection(ingress)
            turns = ingress.instance.turns
            with monkeypatch.context() as patch:
                patch.setattr(turns, "request_turns", lambda _connection: None)
                connection.data_received(request())
                assert not connection.request_close(cause, CloseReason.EVICTED)
            turns.request_turns(connection)
            assert (await client.read_response()).status == 200

    run(test())


def test_a_request_that_waits_for_its_turn_beyond_the_time_limit_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a time limit for requests that counts the ingress's own delay.
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("sumacpost.service.MAINTENANCE_INTERVAL_S", 0.02)

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await one_connection(ingress)
            turns = ingress.instance.turns
            with monkeypatch.context() as patch:
                patch.setattr(turns, "request_turns", lambda _connection: None)
                connection.data_received(request())
                await asyncio.sleep(0.2)
            turns.request_turns(connection)
            assert (await client.read_response()).status == 200

    run(test())


@pytest.mark.parametrize("cause", [CloseCause.EVICTION, CloseCause.IDLE_LIMIT])
def test_a_response_that_is_on_its_way_is_not_cut_off_when_its_place_is_needed(
    cause: CloseCause,
) -> None:
    # Guards against an eviction of connections whose response the kernel has not taken yet.
    body = b"x" * 20_000_000

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client, connection = await one_connection(ingress)
            client.pause_reading()
            connection._transport.write(body)
            assert not connection.request_close(cause, CloseReason.EVICTED)
            client.resume_reading()
            assert await client.reader.readexactly(len(body)) == body
            assert connection.request_close(cause, CloseReason.EVICTED)
            assert await client.read_to_end() == b""

    run(test())


@pytest.mark.parametrize("reads", [True, False])
def test_a_client_that_reads_its_last_response_slowly_has_time_for_it(reads: bool) -> None:
    # Guards against a limit on the time after the last response that cuts this response off.
    cause, reason = CloseCause.LINGER_TIMEOUT, CloseReason.LINGER_TIMEOUT

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            sock = await connect_with_small_buffer(ingress)
            await until(lambda: len(ingress.server.connections.open) == 1)
            (connection,) = ingress.server.connections.open
            connection._transport.write(b"x" * 20_000_000)
            assert not connection.request_close(cause, reason)
            unsent = connection._output.unsent_bytes
            while reads and connection._output.unsent_bytes == unsent:
                await asyncio.get_running_loop().sock_recv(sock, 65536)
            assert connection.request_close(cause, reason) is not reads
            counts = ingress.instance.recorder.counts
            if not reads:
                await until(lambda: ingress.server.connections.is_empty)
                assert counts[EventKind.CLIENT_CONNECTION_CLOSED, "output_unread"] == 1
            sock.close()

    run(test())


def test_the_program_records_a_close_of_a_connection_whose_request_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            _, connection = await one_connection(ingress)
            with monkeypatch.context() as patch:
                patch.setattr(ingress.instance.turns, "request_turns", lambda _connection: None)
                connection.data_received(request())
                connection.abort(CloseReason.EVICTED)
                await until(lambda: ingress.server.connections.is_empty)
            assert ingress.instance.recorder.violation_count == 1

    run(test())
