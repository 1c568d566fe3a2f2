"""Graceful shutdown: accepted requests are answered, then all connections are closed."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, request
from tests.support.ingress import connect_beyond_limit, running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond


def test_drain_accepts_and_finishes_requests_and_closes_idle_connections() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            idle, busy = await ingress.client(), await ingress.client()
            assert (await idle.send(HEALTH_REQUEST)).status == 200
            busy.write(request(Request_Timeout="8.000"))
            await until(lambda: len(ingress.backends[0].requests) == 1)
            ingress.stop.set()
            assert await idle.read_to_end() == b""
            late_client = await ingress.client()  # a client that has not noticed the shutdown yet
            assert (await late_client.send(HEALTH_REQUEST)).status == 503
            late_client = await ingress.client()
            late_client.write(request(number=2, Request_Timeout="8.000"))
            await until(lambda: len(ingress.backends[0].requests) == 2)
            await asyncio.sleep(0.8)  # the listener is closed by now
            with pytest.raises(ConnectionRefusedError):
                await ingress.client()
            for writer in ingress.backends[0].writers:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
            for client in (busy, late_client):
                status, head, body = await client.read_response()
                assert (status, body) == (200, b"done")
                assert b"Connection: close" in head
            await ingress.task

    run(test())


def test_drain_does_not_wait_for_an_incomplete_request() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request()[:50])
            await asyncio.sleep(0.05)
            ingress.stop.set()
            response = await client.read_response()
            assert response.status == 408
            assert b"Connection: close" in response.head
            assert await client.read_to_end() == b""
            client.writer.close()
            await ingress.task

    run(test())


def test_pipelined_responses_are_all_sent_though_the_drain_starts_between_them() -> None:
    async def test() -> None:
        async with running_ingress(never_respond, never_respond) as ingress:
            client = await ingress.client()
            for number in range(2):
                client.write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
                await ingress.wait_for_requests(number + 1)
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            for backend in ingress.backends:
                backend.writers[0].write(OK_RESPONSE)
            first, second = await client.read_response(), await client.read_response()
            assert (first.status, second.status) == (200, 200)
            assert b"Connection: close" not in first.head
            assert b"Connection: close" in second.head
            assert await client.read_to_end() == b""
            await ingress.task

    run(test())


def test_request_late_in_a_drain_is_answered_before_the_process_is_killed() -> None:
    """SIGKILL may follow SIGTERM after the longest deadline, counted as at most 3 s, plus 0.7 s.

    The deadline of a request that arrives during the drain is therefore limited.
    """

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            late_client = await ingress.client()
            late_client.write(request("ledger-read", Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            (pending,) = ingress.instance._pending.values()
            longest = max(c["hard_limit"] for c in SETTINGS["categories"])
            assert longest > 3000
            assert (
                pending.deadline
                <= ingress.instance._drain_deadline
                < ingress.instance._clock.now() + 3000 + 700
            )
            timeout_s = float(
                ingress.backends[0]
                .requests[0]
                .lower()
                .split(b"request-timeout: ")[1]
                .split(b"\r\n")[0]
            )
            assert timeout_s < (3000 + 700) / 1000
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await late_client.read_response()).status == 200
            await ingress.task

    run(test())


def test_connection_in_the_listen_queue_is_accepted_before_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The listener was once closed while eight connections, the limit, were open.

    That reset the ninth connection, which was in the listen queue.
    """
    for name in ("MIN_ACCEPT_MS", "QUIET_MS", "MAX_ACCEPT_MS"):
        monkeypatch.setattr(f"sumacpost.policy.shutdown.{name}", 50.0)

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8, sockets=64) as ingress:
            queued_client = await connect_beyond_limit(ingress)
            ingress.stop.set()
            await asyncio.sleep(0.3)  # well after the time at which the listener would have closed
            for backend in ingress.backends:
                backend.script = respond()
                backend.writers[0].write(OK_RESPONSE)
            assert (await queued_client.read_response()).status == 200
            await ingress.task

    run(test())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO, errno.EPERM])
def test_failing_accept_does_not_end_a_drain(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """An error of accept that ended the drain would end the process with requests unanswered."""

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            listener = ingress.server.listener._socket

            class FailingSocket:
                def accept(self) -> Any:
                    raise OSError(error, "no")

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            monkeypatch.setattr(ingress.server.listener, "_socket", FailingSocket())
            ingress.stop.set()
            await asyncio.sleep(0.5)  # without the error the listener would be closed by now
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            await ingress.task

    run(test())


@pytest.mark.parametrize("end_first", [True, False])
def test_request_sent_as_its_connection_is_closed_is_answered_or_never_read(
    end_first: bool,
) -> None:
    """A request sent as the drain closes its idle connection must not be lost.

    If the ingress has not read the request, the client can send it elsewhere; if it has, the client
    gets a response.
    """

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            assert (await client.send(HEALTH_REQUEST)).status == 200
            if end_first:
                ingress.stop.set()
                client.write(request())
            else:
                client.write(request())
                ingress.stop.set()
            try:
                received = await client.read_to_end()
            except ConnectionResetError:
                received = b""
            await ingress.task
            assert (
                ingress.requests_received
                == received.count(b"HTTP/1.1 200 ")
                == (b"Connection: close" in received)
            )

    run(test())


def test_drain_does_not_wait_for_outstanding_counter_calls() -> None:
    async def test() -> None:
        long_counter_timeout = {"extra": SETTINGS["extra"] | {"count_wait": 10_000.0}}
        async with running_ingress(
            respond(), counter=never_respond, settings=long_counter_timeout
        ) as ingress:
            counter = ingress.counter_client
            assert counter is not None
            counter.call(7, 1.0, 1000.0)
            await until(lambda: len(ingress.counter.requests) == 1)
            ingress.stop.set()
            await ingress.task
            assert len(ingress.counter.requests) == 1

    run(test())
