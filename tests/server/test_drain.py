"""The end of service: what has come is answered, then all is closed."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH, OK, SILENT, request, sent
from tests.support.ingress import world
from tests.support.peers import answer, silence


def test_drain_accepts_and_finishes_requests_and_closes_idle_connections() -> None:
    async def test() -> None:
        async with world(silence) as w:
            idle, busy = await w.client(), await w.client()
            assert (await idle.ask(HEALTH))[0] == 200
            busy.writer.write(request(Request_Timeout="8.000"))
            await until(lambda: len(w.backends[0].requests) == 1)
            w.stop.set()
            assert await idle.reader.read() == b""
            late = await w.client()  # the front has not noticed yet
            assert (await late.ask(HEALTH))[0] == 503
            late = await w.client()
            late.writer.write(request(number=2, Request_Timeout="8.000"))
            await until(lambda: len(w.backends[0].requests) == 2)
            await asyncio.sleep(0.8)  # the door is closed by now
            with pytest.raises(ConnectionRefusedError):
                await w.client()
            for writer in w.backends[0].writers:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            for client in (busy, late):
                status, head, body = await client.answer()
                assert (status, body) == (200, b"done") and b"Connection: close" in head
            await w.task

    run(test())


def test_drain_does_not_wait_for_an_incomplete_request() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            client = await w.client()
            client.writer.write(request()[:50])
            await asyncio.sleep(0.05)
            w.stop.set()
            await w.task
            assert await client.reader.read() == b""

    run(test())


def test_pipelined_responses_are_all_sent_though_the_drain_starts_between_them() -> None:
    async def test() -> None:
        async with world(silence, silence) as w:
            client = await w.client()
            for number in range(2):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            w.stop.set()
            await until(lambda: w.service._server.handler.draining)
            for backend in w.backends:
                backend.writers[0].write(OK)
            first, second = await client.answer(), await client.answer()
            assert (first[0], second[0]) == (200, 200)
            assert b"Connection: close" not in first[1] and b"Connection: close" in second[1]
            assert await client.reader.read() == b""
            await w.task

    run(test())


def test_request_late_in_a_drain_is_answered_before_the_process_is_killed() -> None:
    """SIGKILL comes the longest deadline and 0.7 s after SIGTERM, a request up to a second after it."""

    async def test() -> None:
        async with world(silence) as w:
            w.stop.set()
            await until(lambda: w.service._server.handler.draining)
            late = await w.client()
            late.writer.write(request("ledger-read", Request_Timeout=SILENT))
            await until(lambda: sent(w) == 1)
            (call,) = w.service._ingress._pending.values()
            longest = max(c["hard_limit"] for c in SETTINGS["categories"])
            assert (
                call.deadline
                <= w.service._ingress._drain_deadline
                < w.service._ingress._clock.now() + longest + 700
            )
            told = float(
                w.backends[0].requests[0].lower().split(b"request-timeout: ")[1].split(b"\r\n")[0]
            )
            assert told < (longest + 700) / 1000
            w.backends[0].writers[0].write(OK)
            assert (await late.answer())[0] == 200
            await w.task

    run(test())


def test_connection_in_the_listen_queue_is_accepted_before_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All eight places are taken: the listener was closed, and the ninth was reset with its request."""
    for name in ("DRAIN_MIN_ACCEPT_S", "DRAIN_QUIET_S", "DRAIN_MAX_ACCEPT_S"):
        monkeypatch.setattr(f"sumacpost.server.drain.{name}", 0.05)
    monkeypatch.setattr("sumacpost.server.drain.DRAIN_MAX_BACKLOG_S", 1000.0)

    async def test() -> None:
        async with world(*[silence] * 8, sockets=64) as w:
            for number in range(8):
                (await w.client()).writer.write(
                    request("vat-filing", number, Request_Timeout=SILENT)
                )
                await until(lambda n=number: sent(w) == n + 1)
            late = await w.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=SILENT))
            await until(lambda: not w.service._server.listener.accepting)
            w.stop.set()
            await asyncio.sleep(0.3)  # long past the time at which it would have closed
            for backend in w.backends:
                backend.script = answer()
                backend.writers[0].write(OK)
            assert (await late.answer())[0] == 200
            await w.task

    run(test())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO, errno.EPERM])
def test_failing_accept_does_not_end_a_drain(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """One in the drain would have ended the process, with all that it had taken."""

    async def test() -> None:
        async with world(silence) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout=SILENT))
            await until(lambda: sent(w) == 1)
            listener = w.service._server.listener._socket

            class Failing:
                def accept(self) -> Any:
                    raise OSError(error, "no")

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            w.service._server.listener._socket = Failing()
            w.stop.set()
            await asyncio.sleep(0.5)  # the door would be closed by now
            w.backends[0].writers[0].write(OK)
            assert (await client.answer())[0] == 200
            await w.task

    run(test())


@pytest.mark.parametrize("end_first", [True, False])
def test_request_crossing_the_close_of_its_connection_is_answered_or_never_read(
    end_first: bool,
) -> None:
    """The client sends what was not read once more, elsewhere; what was read has its answer."""

    async def test() -> None:
        async with world(answer()) as w:
            client = await w.client()
            assert (await client.ask(HEALTH))[0] == 200
            if end_first:
                w.stop.set()
                client.writer.write(request())
            else:
                client.writer.write(request())
                w.stop.set()
            try:
                got = await client.reader.read()
            except ConnectionResetError:
                got = b""
            await w.task
            assert sent(w) == got.count(b"HTTP/1.1 200 ") == (b"Connection: close" in got)

    run(test())


def test_drain_does_not_wait_for_outstanding_counter_calls() -> None:
    async def test() -> None:
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 10_000.0}}
        async with world(
            answer(), counter=silence, read_counter=read_counter_call, settings=patient
        ) as w:
            w.service._ingress.counter.call(7, 1.0, 1000.0)
            await until(lambda: len(w.counter.requests) == 1)
            w.stop.set()
            await w.task
            assert len(w.counter.requests) == 1

    run(test())
