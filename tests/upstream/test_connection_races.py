"""Races between two events at a connection to a backend. docs/crossings.md lists the pairs."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any, cast

import pytest

from sumacpost.model import Endpoint, EndpointListUpdate, EndpointStatus, Outcome, UpdateKind
from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.connection import BackendConnection
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.attempts import AttemptRecorder
from tests.support.configuration import SETTINGS
from tests.support.connection_gate import ConnectionGate
from tests.support.discovery_agent import endpoint_entry
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_waiting_attempt_is_skipped_when_its_backend_drains_or_is_removed(
    state: EndpointStatus, connection_gate: ConnectionGate
) -> None:
    """A connect timeout may exceed the grace period of a drain, so the attempt must not wait."""

    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            attempt = attempts.start()
            await until(lambda: connection_gate.connect_calls == 1)
            attempts.pool_manager.apply_update(
                EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(1, state)])
            )
            assert not attempt.ended  # the whole list is applied first
            connection_gate.open()
            await until(lambda: attempt.ended and attempts.pool_manager.open_connections == 0)
            assert [(a, o) for a, o, _ in attempts.ended_attempts] == [(attempt, Outcome.SKIPPED)]
            assert peer.requests == []
            assert peer.connections == 0

    run(test())


def test_waiting_attempt_is_skipped_when_its_backend_moves(
    connection_gate: ConnectionGate,
) -> None:
    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            attempt = attempts.start()
            await until(lambda: connection_gate.connect_calls == 1)
            attempts.pool_manager.update_address(1, ("127.0.0.1", 1))
            connection_gate.open()
            await until(lambda: attempt.ended)
            assert attempts.ended_attempts[0][1] is Outcome.SKIPPED
            assert peer.requests == []

    run(test())


def test_connection_established_while_its_backend_is_removed_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connecting can no longer be cancelled then, so the pool has to close the connection."""

    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)

            class RemovingConnection(BackendConnection):
                def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                    super().__init__(pool, sock)
                    assert attempt.connect_task is None
                    assert not attempt.ended
                    attempts.pool_manager.apply_update(
                        EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(1, EndpointStatus.GONE)])
                    )

            monkeypatch.setattr("sumacpost.upstream.pool.BackendConnection", RemovingConnection)
            attempt = attempts.start()
            await until(lambda: attempt.ended and attempts.pool_manager.open_connections == 0)
            assert attempts.ended_attempts[0][1] is Outcome.SKIPPED
            assert peer.requests == []

    run(test())


def test_request_goes_to_another_backend_if_the_first_drains_during_the_connect(
    connection_gate: ConnectionGate,
) -> None:
    """A retry is allowed for every request class, since the request has not run."""

    async def test() -> None:
        changes: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def lists(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                body = await changes
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        async with running_ingress(
            respond(b"first"), respond(b"second"), discovery=lists
        ) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout="20.000"))
            await until(lambda: connection_gate.connect_calls == 1)
            ((pool, _),) = [(p, a) for p in ingress.pool_manager._pools.values() for a in p.waiting]
            drained = next(n for n, b in enumerate(ingress.backends) if b.port == pool.address[1])
            changes.set_result(
                json.dumps(
                    {
                        "rev": 6,
                        "all": False,
                        "targets": [
                            endpoint_entry(ingress.backends[drained], f"s-{drained}", "leaving")
                        ],
                    }
                ).encode()
            )
            await until(lambda: connection_gate.connect_calls == 2)
            connection_gate.open()
            status, _, body = await client.read_response()
            assert (status, body) == (200, (b"second", b"first")[drained])
            assert ingress.backends[drained].requests == []

    run(test())


def peek(writer: asyncio.StreamWriter) -> bytes | None:
    """Return the next byte to be read, b"" at the end of the stream, None until there is data."""
    descriptor = socket.dup(writer.transport.get_extra_info("socket").fileno())
    with socket.socket(fileno=descriptor) as sock:
        try:
            return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None


@pytest.mark.parametrize(
    "unusable_response",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"noise that is no response\r\n\r\n"],
)
def test_first_connection_is_shut_down_before_the_next_attempt_is_written(
    unusable_response: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without hedging, two attempts must not overlap.

    The transport closes its socket only in the next iteration of the event loop, so the connection
    has to shut the socket down itself.
    """

    async def test() -> None:
        seen: list[bytes | None] = []
        failed_writers: list[asyncio.StreamWriter] = []
        original = BackendConnection.start

        def start(connection: BackendConnection, attempt: Attempt) -> None:
            seen.extend(peek(writer) for writer in failed_writers)
            original(connection, attempt)

        async def fail_response(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            failed_writers.append(writer)
            for other in ingress.backends:
                other.script = respond()
            writer.write(unusable_response)

        no_hedging: dict[str, Any] = {
            "permissions": SETTINGS["permissions"] | {"parallel_tries": False}
        }
        async with running_ingress(never_respond, never_respond, settings=no_hedging) as ingress:
            client = await ingress.client()
            for number in range(2):  # opens a connection to each backend
                other = await ingress.client()
                other.write(request("ledger-read", number, Request_Timeout="20.000"))
                await ingress.wait_for_requests(number + 1)
            for backend in ingress.backends:
                backend.writers[0].write(OK_RESPONSE)
            await until(lambda: sum(len(p.idle) for p in ingress.pool_manager._pools.values()) == 2)
            await asyncio.sleep(2 * REUSE_DELAY_S)
            for backend in ingress.backends:
                backend.script = fail_response
            monkeypatch.setattr(BackendConnection, "start", start)
            response = await client.send(request("ledger-read", 2, Request_Timeout="20.000"))
            assert response.status == 200
            assert [b.connections for b in ingress.backends] == [1, 1]
            assert seen == [b""]

    run(test())


@pytest.mark.parametrize(
    ("early_response", "outcome"),
    [
        (OK_RESPONSE, Outcome.OK),
        (b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
    ],
)
def test_response_to_a_partly_written_request_closes_the_connection(
    early_response: bytes, outcome: Outcome
) -> None:
    """The connection must not be reused.

    The backend would read the rest of the request as the start of the next one.
    """

    async def test() -> None:
        async def first_bytes(reader: asyncio.StreamReader) -> bytes:
            return await reader.readexactly(10)

        async def early(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            peer.script = never_respond
            cast(asyncio.ReadTransport, writer.transport).pause_reading()
            writer.write(early_response)

        async with Peer(early, first_bytes) as peer:
            attempts = AttemptRecorder(peer.port)
            actual, _ = await attempts.outcome(b"x" * 50_000_000)
            assert actual is outcome
            assert attempts.pool_manager.open_connections == 0

    run(test())


def test_connection_is_not_reused_while_a_second_response_may_arrive() -> None:
    """A second response would be taken for the response to the next request.

    Such responses arrived up to 4 ms after the first, on a clock with a resolution of 1 ms; an idle
    time of 7 ms is too short.
    """

    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            await attempts.outcome()
            (connection,) = attempts.pool_manager._pools[1].idle
            connection.idle_since = asyncio.get_running_loop().time() - 0.007
            assert attempts.start().connection is None  # it gets a new connection
            connection.idle_since = asyncio.get_running_loop().time() - 0.02
            assert attempts.start().connection is connection
            await until(lambda: len(attempts.ended_attempts) == 3)

    run(test())


def test_attempt_cancelled_after_its_backend_moved_is_never_written() -> None:
    """A cancelled attempt was written if it was still queued in a pool that had been replaced."""

    async def test() -> None:
        async with Peer(never_respond) as peer:
            attempts = AttemptRecorder(peer.port)
            first = attempts.start()
            await until(lambda: len(peer.requests) == 1)
            second = attempts.start()
            (old,) = attempts.pool_manager._pools.values()
            assert second.pool is old
            attempts.pool_manager.update_address(1, ("127.0.0.1", 1))
            attempts.pool_manager.cancel(second)
            assert not old.waiting
            peer.writers[0].write(OK_RESPONSE)
            await until(lambda: first.ended and attempts.pool_manager.open_connections == 0)
            assert len(peer.requests) == 1

    run(test())


def test_restarted_backend_gets_new_connections() -> None:
    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            await attempts.outcome()
            attempts.pool_manager.update_address(1, ("127.0.0.1", peer.port), 7.0)
            assert attempts.pool_manager.open_connections == 0
            assert (await attempts.outcome())[0] is Outcome.OK
            assert peer.connections == 2

    run(test())
