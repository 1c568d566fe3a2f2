"""Several pipelined requests on one connection."""

from __future__ import annotations

import asyncio
from itertools import accumulate

import pytest

from sumacpost.ingress import CLIENT_DEADLINE_MARGIN_MS
from sumacpost.server.client_input import ClientInput
from sumacpost.server.connection import MAX_PIPELINED, ClientConnection
from sumacpost.server.connection_state import ConnectionState
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, Client, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond


async def fill_pipeline(ingress: RunningIngress) -> tuple[Client, ClientConnection]:
    """Open a connection and send as many requests on it as may be pending together.

    Return the client's and the ingress's end of the connection.
    """
    client = await ingress.client()
    for number in range(MAX_PIPELINED):
        client.write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
        await ingress.wait_for_requests(number + 1)
    (connection,) = ingress.server.connections.open
    return client, connection


def respond_to_all(ingress: RunningIngress) -> None:
    for backend in ingress.backends:
        for writer in backend.writers:
            writer.write(OK_RESPONSE)


def test_more_pipelined_requests_than_the_limit_are_all_answered() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(b"".join(request(number=n) for n in range(40)))
            statuses = {(await client.read_response()).status for _ in range(40)}
            assert statuses <= {200, 429}  # 429 if the backend is overloaded

    run(test())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_buffered_requests_are_dropped_when_the_client_disconnects(how: str) -> None:
    """With eight responses pending no input is parsed, but a disconnect must still be detected."""

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client, connection = await fill_pipeline(ingress)
            buffered_requests = [
                request("vat-filing", n, Request_Timeout=LONG_TIMEOUT) for n in (50, 51)
            ]
            for data in buffered_requests:
                client.write(data)
            await until(lambda: connection._input.size == len(b"".join(buffered_requests)))
            client.disconnect(how)
            await until(
                lambda: not ingress.server.connections.open and not ingress.instance._pending
            )
            await until(
                lambda: sum(b.connections_closed for b in ingress.backends) == MAX_PIPELINED
            )
            assert ingress.requests_received == MAX_PIPELINED
            assert ingress.pool_manager.open_connections == 0

    run(test())


def test_buffered_request_is_handled_later_and_its_timeout_counts_from_its_arrival() -> None:
    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client, connection = await fill_pipeline(ingress)
            client.write(request("vat-filing", 50, Request_Timeout="5.000"))
            await until(lambda: connection._input.size > 0)
            await asyncio.sleep(0.05)  # counts towards the request's timeout
            for backend in ingress.backends:
                backend.script = respond()
            respond_to_all(ingress)
            statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED + 1)]
            assert statuses == [200] * (MAX_PIPELINED + 1)
            (forwarded,) = [r for b in ingress.backends for r in b.requests if b"%016x" % 50 in r]
            timeout = forwarded.lower().split(b"request-timeout: ")[1].split(b"\r\n")[0]
            assert float(timeout) <= 5 - 0.05 - CLIENT_DEADLINE_MARGIN_MS / 1000

    run(test())


def test_too_much_buffered_input_ends_the_connection_after_the_pending_responses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Every request that was read is refused, not only the first that could not be held."""
    requests = [request("vat-filing", 100 + n) for n in range(400)]  # some 90 kilobytes

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client, connection = await fill_pipeline(ingress)
            read = 0
            receive = connection._input.receive

            def count_and_receive(data: bytes) -> None:
                nonlocal read
                read += len(data)
                receive(data)

            monkeypatch.setattr(ClientInput, "receive", lambda _, data: count_and_receive(data))
            client.write(b"".join(requests))
            await until(lambda: connection._state is ConnectionState.CLOSING)
            assert connection._input.size == 0
            respond_to_all(ingress)
            statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED)]
            assert statuses == [200] * MAX_PIPELINED
            begun = sum(size < read for size in accumulate(map(len, requests), initial=0))
            refused = await client.read_responses(begun)
            assert {response.status for response in refused} == {429}
            assert [b"Connection: close" in r.head for r in refused] == [False] * (begun - 1) + [
                True
            ]
            assert await client.read_to_end() == b""
            assert ingress.requests_received == MAX_PIPELINED

    run(test())


def test_requests_that_wait_are_each_refused_when_their_memory_is_needed() -> None:
    # Guards against requests that were read and are dropped with others to free memory.
    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client, connection = await fill_pipeline(ingress)
            waiting = b"".join(request("vat-filing", 100 + n) for n in range(10))
            client.write(waiting + request("vat-filing", 120)[:-1])
            await until(lambda: connection._input.size > len(waiting))
            connection.release_memory()
            assert connection._input.size == 0
            respond_to_all(ingress)
            statuses = [r.status for r in await client.read_responses(MAX_PIPELINED + 11)]
            assert statuses == [200] * MAX_PIPELINED + [429] * 11
            assert await client.read_to_end() == b""
            assert ingress.requests_received == MAX_PIPELINED
            assert ingress.instance.recorder.violation_count == 0

    run(test())


def test_long_responses_that_wait_for_another_become_errors_when_their_memory_is_needed() -> None:
    # Guards against an abort of a client that reads its responses.
    long_response = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8) as ingress:
            client, connection = await fill_pipeline(ingress)
            writers = [writer for backend in ingress.backends for writer in backend.writers]
            first, *others = (
                next(
                    w
                    for b in ingress.backends
                    for w, r in zip(b.writers, b.requests, strict=True)
                    if b"%016x" % number in r
                )
                for number in range(MAX_PIPELINED)
            )
            assert len(writers) == MAX_PIPELINED
            for writer in others:
                writer.write(long_response)
            await until(lambda: connection._memory.waiting_bytes > 60_000 * len(others))
            connection.release_memory()
            assert connection._memory.waiting_bytes < 1000 * len(others)
            first.write(OK_RESPONSE)
            statuses = [r.status for r in await client.read_responses(MAX_PIPELINED)]
            assert statuses == [200] + [502] * len(others)
            client.write(HEALTH_REQUEST)
            assert (await client.read_response()).status == 200

    run(test())


def test_no_request_is_handled_for_a_client_that_reads_no_responses() -> None:
    """Responses that such a client does not read would accumulate in memory without limit."""

    async def test() -> None:
        async with running_ingress(respond(b"x" * 60_000)) as ingress:
            client = await ingress.client()
            client.pause_reading()
            number = 0
            while not (
                ingress.server.connections.open
                and (connection := next(iter(ingress.server.connections.open)))._output.paused
            ):
                client.write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
                number += 1
                await until(lambda: not connection._pending_responses or connection._output.paused)
                await asyncio.sleep(0)
            before = ingress.requests_received
            client.write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: connection._input.size > 0)
            assert ingress.requests_received == before
            client.resume_reading()
            statuses = [(await client.read_response()).status for _ in range(number + 1)]
            assert 200 in statuses
            assert not connection._input

    run(test())
