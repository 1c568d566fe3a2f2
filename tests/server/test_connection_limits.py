"""Bounds on clients' connections: how many, and for how long."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond

SOCKETS_FOR_EIGHT_CLIENTS = 64
SOCKETS_FOR_SIXTEEN_CLIENTS = 80


@pytest.fixture
def short_request_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr("sumacpost.service.MAINTENANCE_INTERVAL_S", 0.05)


@pytest.mark.usefixtures("short_request_timeout")
@pytest.mark.parametrize("start", [b"", b"\r\n", b"POST /vat-fi", request()[:-3]])
def test_first_request_times_out_from_the_connections_start(start: bytes) -> None:
    """Bytes that trickle in win no time: the client gets an error or a close."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(start)

            async def trickle() -> None:
                while start.startswith(b"POST"):
                    await asyncio.sleep(0.05)
                    client.write(b"x" if start.endswith(b"fi") else b"")

            trickling = asyncio.create_task(trickle())
            received = await client.read_to_end()
            trickling.cancel()
            if start.strip():
                assert received.startswith(b"HTTP/1.1 408 ")
            else:
                assert received == b""
            assert (await ingress.send(request(number=2))).status == 200

    run(test())


@pytest.mark.usefixtures("short_request_timeout")
def test_later_request_times_out_from_its_first_byte() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            assert (await client.send(request())).status == 200
            await asyncio.sleep(0.4)  # between requests there is no such limit
            assert (await client.send(request(number=2))).status == 200
            client.write(request(number=3)[:-1])
            assert (await client.read_response()).status == 408
            assert await client.read_to_end() == b""

    run(test())


def test_connections_without_a_complete_request_do_not_keep_others_out() -> None:
    """None of the forty has sent a complete request."""

    async def test() -> None:
        async with running_ingress(respond(), sockets=SOCKETS_FOR_EIGHT_CLIENTS) as ingress:
            used = await ingress.client()
            assert (await used.send(request())).status == 200
            for number in range(40):
                client = await ingress.client()
                if number % 2:
                    client.write(request()[:30])
            other = await asyncio.wait_for(ingress.send(request(number=2)), 1.0)
            assert other.status == 200
            assert (await used.send(request(number=3))).status == 200  # they were evicted first

    run(test())


def test_idle_connections_take_only_part_of_the_capacity() -> None:
    """Found in incident r1a30be: clients that sent one request and stayed had filled all places.

    The client that sends again and again is never the longest idle.
    """

    async def test() -> None:
        async with running_ingress(respond(), sockets=SOCKETS_FOR_SIXTEEN_CLIENTS) as ingress:
            connections = ingress.server.connections
            used = await ingress.client()
            idle = []
            for number in range(0, 20, 2):
                assert (await used.send(request(number=number))).status == 200
                idle.append(await ingress.client())
                assert (await idle[-1].send(request(number=number + 1))).status == 200
            for client in idle[:6]:
                # Closed in good order, though there is capacity for all of them.
                assert await client.read_to_end() == b""
            await until(lambda: len(connections.idle) == len(connections.open) == 4)
            assert (await idle[-1].send(request(number=50))).status == 200
            assert (await used.send(request(number=51))).status == 200

    run(test())


def test_clients_beyond_the_limit_wait_for_capacity() -> None:
    """Idle connections are evicted, busy ones are not."""

    async def test() -> None:
        async with running_ingress(
            *[never_respond] * 8, sockets=SOCKETS_FOR_EIGHT_CLIENTS
        ) as ingress:
            idle = [await ingress.client() for _ in range(8)]
            for client in idle:
                assert (await client.send(HEALTH_REQUEST)).status == 200
            busy = []
            for number in range(8):
                client = await ingress.client()
                data = request("payment-book", number, Request_Timeout="5.000")
                await ingress.forward(client, data)
                busy.append(client)
            assert [await client.read_to_end() for client in idle] == [b""] * 8
            waiting = await ingress.client()
            waiting.write(HEALTH_REQUEST)
            reading = asyncio.create_task(waiting.read_response())
            await asyncio.sleep(0.1)
            assert not reading.done()
            busy[0].writer.close()
            assert (await reading).status == 200

    run(test())


@contextmanager
def no_descriptors_left() -> Iterator[None]:
    """Use up the descriptors that this process may open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    held: list[int] = []

    def use_up() -> None:
        while True:
            held.append(os.open("/dev/null", os.O_RDONLY))

    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, 256), hard))
        with pytest.raises(OSError, match=os.strerror(errno.EMFILE)):
            use_up()
        yield
    finally:
        for descriptor in held:
            os.close(descriptor)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_running_out_of_descriptors_ends_no_connection() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            first = await ingress.client()
            assert (await first.send(HEALTH_REQUEST)).status == 200
            second = await ingress.client()
            with no_descriptors_left():
                assert (await first.send(HEALTH_REQUEST)).status == 200
                # There is no socket for an attempt: nothing was sent.
                assert (await first.send(request())).status == 429
            assert (await second.send(request(number=2))).status == 200

    run(test())


def test_waiting_connection_is_accepted_as_soon_as_another_becomes_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by reading: it waited for a close, though an idle connection can be evicted."""
    monkeypatch.setattr("sumacpost.server.connection_registry.IDLE_TIMEOUT_S", 1000.0)

    async def test() -> None:
        async with running_ingress(
            *[never_respond] * 8, sockets=SOCKETS_FOR_EIGHT_CLIENTS
        ) as ingress:
            for number in range(8):
                data = request(number=number, Request_Timeout=LONG_TIMEOUT)
                await ingress.forward(await ingress.client(), data)
            late = await ingress.client()
            late.write(request(number=50, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: not ingress.server.listener.accepting)
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            await until(lambda: ingress.requests_received == 9)

    run(test())


class AbortedFirst:
    """A listening socket whose first connection has been aborted before it is accepted."""

    def __init__(self, listening: socket.socket) -> None:
        self.accepts = 0
        self._listening = listening

    def accept(self) -> tuple[socket.socket, object]:
        self.accepts += 1
        if self.accepts == 1:
            raise ConnectionAbortedError
        return self._listening.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._listening, name)


def test_connection_aborted_before_accept_does_not_stop_accepting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            listener = ingress.server.listener
            listener.pause()
            client = await ingress.client()
            aborted_first = AbortedFirst(listener._socket)
            monkeypatch.setattr(listener, "_socket", aborted_first)
            assert listener.accept()
            assert aborted_first.accepts == 3  # the one behind it, and then nobody
            assert (await client.send(request())).status == 200

    run(test())


@pytest.mark.usefixtures("short_request_timeout")
def test_request_with_connection_close_is_not_timed_out_as_incomplete() -> None:
    """It was taken for one that had not sent its request, and dropped after 2 s."""

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            await ingress.forward(client, request(Request_Timeout=LONG_TIMEOUT, Connection="close"))
            (connection,) = ingress.server.connections.open
            assert connection not in ingress.server.connections.waiting
            await asyncio.sleep(0.6)  # three times what a request may take to arrive
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            assert await client.read_to_end() == b""

    run(test())
