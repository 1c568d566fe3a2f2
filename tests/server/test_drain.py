"""The graceful shutdown: what has arrived is answered, then all is closed."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond


def forwarded_timeout_s(data: bytes) -> float:
    """Return the Request-Timeout that a backend received."""
    return float(data.lower().split(b"request-timeout: ")[1].split(b"\r\n")[0])


def test_drain_accepts_and_finishes_requests_and_closes_idle_connections() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            idle = await ingress.client()
            busy = await ingress.client()
            assert (await idle.send(HEALTH_REQUEST)).status == 200
            await ingress.forward(busy, request(Request_Timeout="8.000"))
            ingress.stop.set()
            assert await idle.read_to_end() == b""
            # The load balancer in front has not noticed yet.
            assert (await ingress.send(HEALTH_REQUEST)).status == 503
            late = await ingress.client()
            await ingress.forward(late, request(number=2, Request_Timeout="8.000"))
            await asyncio.sleep(0.8)  # the listener is closed by now
            with pytest.raises(ConnectionRefusedError):
                await ingress.client()
            ingress.respond_to_all()
            for client in (busy, late):
                response = await client.read_response()
                assert response.status == 200
                assert response.body == b"done"
                assert b"Connection: close" in response.head
            await ingress.task

    run(test())


def test_drain_does_not_wait_for_an_incomplete_request() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request()[:50])
            await asyncio.sleep(0.05)
            ingress.stop.set()
            await ingress.task
            assert await client.read_to_end() == b""

    run(test())


def test_pipelined_responses_are_all_sent_though_the_drain_starts_between_them() -> None:
    async def test() -> None:
        async with running_ingress(never_respond, never_respond) as ingress:
            client = await ingress.client()
            await ingress.occupy_backends(client, 2)
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            for backend in ingress.backends:
                backend.writers[0].write(OK_RESPONSE)
            first = await client.read_response()
            second = await client.read_response()
            assert (first.status, second.status) == (200, 200)
            assert b"Connection: close" not in first.head
            assert b"Connection: close" in second.head
            assert await client.read_to_end() == b""
            await ingress.task

    run(test())


def test_request_late_in_a_drain_is_answered_before_the_process_is_killed() -> None:
    """SIGKILL comes the longest deadline and 0.7 s after SIGTERM, a request up to 1 s after it."""

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            late = await ingress.client()
            await ingress.forward(late, request("ledger-read", Request_Timeout=LONG_TIMEOUT))
            (pending,) = ingress.bridge._pending.values()
            longest_ms = max(category["hard_limit"] for category in SETTINGS["categories"])
            kill_at = ingress.bridge._clock.now() + longest_ms + 700
            assert pending.deadline <= ingress.bridge._drain_deadline < kill_at
            timeout_s = forwarded_timeout_s(ingress.backends[0].requests[0])
            assert timeout_s < (longest_ms + 700) / 1000
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await late.read_response()).status == 200
            await ingress.task

    run(test())


def test_connection_in_the_listen_queue_is_accepted_before_the_listener_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With all eight places taken the listener was closed, and the ninth client was reset."""
    for name in ("DRAIN_MIN_ACCEPT_S", "DRAIN_QUIET_S", "DRAIN_MAX_ACCEPT_S"):
        monkeypatch.setattr(f"sumacpost.server.drain.{name}", 0.05)
    monkeypatch.setattr("sumacpost.server.drain.DRAIN_MAX_BACKLOG_S", 1000.0)

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8, sockets=64) as ingress:
            for number in range(8):
                data = request(number=number, Request_Timeout=LONG_TIMEOUT)
                await ingress.forward(await ingress.client(), data)
            late = await ingress.client()
            late.write(request(number=50, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: not ingress.server.listener.accepting)
            ingress.stop.set()
            await asyncio.sleep(0.3)  # long past the time at which it would have closed
            for backend in ingress.backends:
                backend.script = respond()
                backend.writers[0].write(OK_RESPONSE)
            assert (await late.read_response()).status == 200
            await ingress.task

    run(test())


class FailingSocket:
    """A listening socket whose accept fails."""

    def __init__(self, listening: socket.socket, error: int) -> None:
        self._listening = listening
        self._error = error

    def accept(self) -> tuple[socket.socket, object]:
        raise OSError(self._error, "no")

    def __getattr__(self, name: str) -> object:
        return getattr(self._listening, name)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO, errno.EPERM])
def test_failing_accept_does_not_end_a_drain(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """It would have ended the process, with all the requests that it had read."""

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            await ingress.forward(client, request(Request_Timeout=LONG_TIMEOUT))
            listener = ingress.server.listener
            monkeypatch.setattr(listener, "_socket", FailingSocket(listener._socket, error))
            ingress.stop.set()
            await asyncio.sleep(0.5)  # the listener would be closed by now
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            await ingress.task

    run(test())


@pytest.mark.parametrize("drain_first", [True, False])
def test_request_crossing_the_close_of_its_connection_is_answered_or_never_read(
    drain_first: bool,
) -> None:
    """The client retries elsewhere what was not read; what was read gets its response."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            assert (await client.send(HEALTH_REQUEST)).status == 200
            if drain_first:
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
            assert ingress.requests_received == received.count(b"HTTP/1.1 200 ")
            assert ingress.requests_received == (b"Connection: close" in received)

    run(test())


def test_drain_does_not_wait_for_outstanding_counter_calls() -> None:
    async def test() -> None:
        settings = {"extra": SETTINGS["extra"] | {"count_wait": 10_000.0}}
        async with running_ingress(respond(), counter=never_respond, settings=settings) as ingress:
            ingress.counter_client.call(7, 1.0, 1000.0)
            await until(lambda: len(ingress.counter.requests) == 1)
            ingress.stop.set()
            await ingress.task
            assert len(ingress.counter.requests) == 1

    run(test())
