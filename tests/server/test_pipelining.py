"""Several requests in a row on one connection."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.ingress import CLIENT_DEADLINE_MARGIN_MS
from sumacpost.server.connection import MAX_PIPELINED, ConnectionState
from tests.support.event_loop import run, until
from tests.support.http_client import OK, SILENT, leave, request, sent
from tests.support.ingress import world
from tests.support.peers import answer, silence


def test_more_pipelined_requests_than_the_limit_are_all_answered() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            client = await w.client()
            client.writer.write(b"".join(request(number=n) for n in range(40)))
            assert {(await client.answer())[0] for _ in range(40)} <= {
                200,
                429,
            }  # some met a pressed backend

    run(test())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_unread_requests_are_dropped_when_the_client_disconnects(how: str) -> None:
    """With eight answers owed no more is read from the client; its end has to be seen all the same."""

    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            (connection,) = w.service._server.connections.open
            for number in (50, 51):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
            await until(
                lambda: (
                    connection._unread_bytes
                    == len(request("vat-filing", 50, Request_Timeout=SILENT)) * 2
                )
            )
            leave(client, how)
            await until(
                lambda: not w.service._server.connections.open and not w.service._ingress._pending
            )
            await until(lambda: sum(b.closed for b in w.backends) == MAX_PIPELINED)
            assert sent(w) == MAX_PIPELINED and w.service._ingress.backends.open_connections == 0

    run(test())


def test_unread_request_is_handled_later_and_its_deadline_counts_from_its_arrival() -> None:
    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            (connection,) = w.service._server.connections.open
            client.writer.write(request("vat-filing", 50, Request_Timeout="5.000"))
            await until(lambda: connection._unread_bytes > 0)
            await asyncio.sleep(0.05)  # time that it loses
            for backend in w.backends:
                backend.script = answer()
                for writer in backend.writers:
                    writer.write(OK)
            assert [(await client.answer())[0] for _ in range(MAX_PIPELINED + 1)] == [200] * (
                MAX_PIPELINED + 1
            )
            (told,) = [r for b in w.backends for r in b.requests if b"%016x" % 50 in r]
            left = float(told.lower().split(b"request-timeout: ")[1].split(b"\r\n")[0])
            assert left <= 5 - 0.05 - CLIENT_DEADLINE_MARGIN_MS / 1000

    run(test())


def test_too_much_unread_input_ends_the_connection_after_the_pending_responses() -> None:
    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            client.writer.write(
                b"".join(request("vat-filing", 100 + n) for n in range(400))
            )  # some 90 KB
            (connection,) = w.service._server.connections.open
            await until(lambda: connection._state is ConnectionState.CLOSING)
            assert connection._unread_bytes == 0
            for backend in w.backends:
                for writer in backend.writers:
                    writer.write(OK)
            assert [(await client.answer())[0] for _ in range(MAX_PIPELINED)] == [
                200
            ] * MAX_PIPELINED
            assert (await client.answer())[0] == 429
            assert await client.reader.read() == b"" and sent(w) == MAX_PIPELINED

    run(test())


def test_no_request_is_handled_for_a_client_that_reads_no_responses() -> None:
    """Its answers would pile up here without end."""

    async def test() -> None:
        async with world(answer(b"x" * 60_000)) as w:
            client = await w.client()
            client.writer.transport.pause_reading()
            number = 0
            while not (
                w.service._server.connections.open
                and (connection := next(iter(w.service._server.connections.open)))._writing_paused
            ):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                number += 1
                await until(lambda: not connection._pending_responses or connection._writing_paused)
                await asyncio.sleep(0)
            before = sent(w)
            client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
            await until(lambda: connection._unread_bytes > 0)
            assert sent(w) == before
            client.writer.transport.resume_reading()
            told = [(await client.answer())[0] for _ in range(number + 1)]
            assert 200 in told and not connection._unread

    run(test())
