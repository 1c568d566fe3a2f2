"""Limits on the number of client connections, and timeouts of requests."""

from __future__ import annotations

import asyncio
import os
import resource
from typing import Any

import pytest

from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, Client, request
from tests.support.ingress import connect_beyond_limit, running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond


@pytest.mark.parametrize("first_bytes", [b"", b"\r\n", b"POST /vat-fi", request()[:-3]])
def test_first_request_times_out_from_the_connections_start(
    first_bytes: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that keeps sending single bytes must not extend its time limit.

    It gets an error response or a close.
    """
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr("sumacpost.service.MAINTENANCE_INTERVAL_S", 0.05)

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(first_bytes)

            async def trickle() -> None:
                while first_bytes.startswith(b"POST"):
                    await asyncio.sleep(0.05)
                    client.write(b"x" if first_bytes.endswith(b"fi") else b"")

            trickling = asyncio.create_task(trickle())
            received = await client.read_to_end()
            trickling.cancel()
            assert received.startswith(b"HTTP/1.1 408 ") if first_bytes.strip() else received == b""
            assert (await ingress.send(request(number=2))).status == 200

    run(test())


def test_later_request_times_out_from_its_first_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr("sumacpost.service.MAINTENANCE_INTERVAL_S", 0.05)

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            assert (await client.send(request())).status == 200
            await asyncio.sleep(0.4)  # the request timeout does not apply between requests
            assert (await client.send(request(number=2))).status == 200
            client.write(request(number=3)[:-1])
            assert (await client.read_response()).status == 408
            assert await client.read_to_end() == b""

    run(test())


def test_connections_without_a_complete_request_do_not_keep_others_out() -> None:
    """Connections without a complete request must not use up the connection limit.

    With 64 descriptors the limit is eight client connections; 40 clients send nothing or only part
    of a request.
    """

    async def test() -> None:
        async with running_ingress(respond(), sockets=64) as ingress:
            active_client = await ingress.client()
            assert (await active_client.send(request())).status == 200
            for number in range(40):
                client = await ingress.client()
                if number % 2:
                    client.write(request()[:30])
            assert (await asyncio.wait_for(ingress.send(request(number=2)), 1.0)).status == 200
            # The connections without a complete request were evicted first.
            assert (await active_client.send(request(number=3))).status == 200

    run(test())


def test_idle_connections_use_only_part_of_the_capacity() -> None:
    """Idle connections must not use up the whole capacity.

    Without the limit on them, clients that had sent a single request used it up. With 80
    descriptors the limit is 16 client connections, of which four may be idle. A client that keeps
    sending requests stays connected, as its connection is never the longest idle.
    """

    async def test() -> None:
        async with running_ingress(respond(), sockets=80) as ingress:
            connections = ingress.server.connections
            active_client = await ingress.client()
            one_time_clients = []
            for number in range(0, 20, 2):
                assert (await active_client.send(request(number=number))).status == 200
                one_time_clients.append(await ingress.client())
                assert (await one_time_clients[-1].send(request(number=number + 1))).status == 200
            for client in one_time_clients[:6]:
                assert await client.read_to_end() == b""  # closed, not reset
            await until(lambda: len(connections.idle) == len(connections.open) == 4)
            assert (await one_time_clients[-1].send(request(number=50))).status == 200
            assert (await active_client.send(request(number=51))).status == 200

    run(test())


def test_clients_beyond_the_limit_wait_for_capacity() -> None:
    """Idle connections are evicted for new ones, and connections with pending requests are not.

    With 64 descriptors the limit is eight client connections.
    """

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8, sockets=64) as ingress:
            idle = [await ingress.client() for _ in range(8)]
            for client in idle:
                assert (await client.send(HEALTH_REQUEST)).status == 200
            busy = []
            for number in range(8):
                busy.append(await ingress.client())
                busy[-1].write(request("payment-book", number=number, Request_Timeout="5.000"))
                await until(lambda: sum(len(b.requests) for b in ingress.backends) == len(busy))
            await until(lambda: sum(len(b.requests) for b in ingress.backends) == 8)
            assert [await client.read_to_end() for client in idle] == [b""] * 8
            waiting = await ingress.client()
            waiting.write(HEALTH_REQUEST)
            reading = asyncio.create_task(waiting.read_response())
            await asyncio.sleep(0.1)
            assert not reading.done()
            busy[0].writer.close()
            assert (await reading).status == 200

    run(test())


def exhaust_descriptors(descriptors: list[int]) -> None:
    """Open files until the system refuses, and append their descriptors to the list."""
    while True:
        descriptors.append(os.open("/dev/null", os.O_RDONLY))


def test_running_out_of_descriptors_ends_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            first = await ingress.client()
            assert (await first.send(HEALTH_REQUEST)).status == 200
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            descriptors: list[int] = []
            try:
                reader, writer = await asyncio.open_connection(*ingress.address)
                resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, 256), hard))
                with pytest.raises(OSError, match="Too many open files"):
                    exhaust_descriptors(descriptors)
                assert (await first.send(HEALTH_REQUEST)).status == 200
                # No descriptor is left for a backend connection, so no attempt was written.
                assert (await first.send(request())).status == 429
            finally:
                for descriptor in descriptors:
                    os.close(descriptor)
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            assert (await Client(reader, writer).send(request(number=2))).status == 200
            writer.close()

    run(test())


def test_waiting_connection_is_accepted_as_soon_as_another_becomes_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection beyond the limit once waited until another one ended.

    An idle connection can be evicted, so the waiting one can be accepted as soon as there is one.
    """
    monkeypatch.setattr("sumacpost.server.connection_registry.IDLE_TIMEOUT_S", 1000.0)

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8, sockets=64) as ingress:
            await connect_beyond_limit(ingress)
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            await ingress.wait_for_requests(9)

    run(test())


def test_connection_aborted_before_accept_does_not_stop_accepting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            listener = ingress.server.listener
            accepts = []
            listener.pause()
            client = await ingress.client()
            listening_socket = listener._socket

            class AbortingSocket:
                def accept(self) -> Any:
                    accepts.append(1)
                    if len(accepts) == 1:
                        raise ConnectionAbortedError
                    return listening_socket.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(listening_socket, name)

            monkeypatch.setattr(listener, "_socket", AbortingSocket())
            assert listener.accept()
            assert len(accepts) == 3
            assert (await client.send(request())).status == 200

    run(test())


def test_request_with_connection_close_is_not_timed_out_as_incomplete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request with Connection: close stops the connection from reading further requests.

    Such a connection was once treated as one without a request, and closed after 2 s although its
    response was pending.
    """
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr("sumacpost.service.MAINTENANCE_INTERVAL_S", 0.02)

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout=LONG_TIMEOUT, Connection="close"))
            await ingress.wait_for_requests(1)
            connections = ingress.server.connections
            (connection,) = connections.open
            assert connection not in connections.waiting
            await asyncio.sleep(0.3)  # three times the request timeout
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            assert await client.read_to_end() == b""

    run(test())
