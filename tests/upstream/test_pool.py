"""Connection pools: reuse, waiting attempts, cancellation, and the connection limit."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.model import Outcome
from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.attempts import PAYLOAD, AttemptRecorder
from tests.support.event_loop import run, until
from tests.support.peers import Peer, never_respond, respond


def test_the_most_recently_used_connection_is_reused() -> None:
    async def test() -> None:
        async with Peer(never_respond) as peer:
            attempts = AttemptRecorder(peer.port)
            first, second = attempts.start(), attempts.start()
            await until(lambda: len(peer.requests) == 2)
            for writer in peer.writers:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await until(lambda: len(attempts.ended_attempts) in (1, 2))
            await until(lambda: len(attempts.ended_attempts) == 2)
            last = attempts.pool_manager._pools[1].idle[-1]
            await asyncio.sleep(2 * REUSE_DELAY_S)
            third = attempts.start()
            assert third.connection is last
            assert peer.connections == 2
            assert first.ended
            assert second.ended
            assert not third.ended

    run(test())


def test_connection_closed_by_the_peer_is_never_reused() -> None:
    """A request written before the event loop has read the end of the stream would be reset."""

    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            await attempts.outcome()
            connection = attempts.pool_manager._pools[1].idle[-1]
            assert connection.is_usable()
            # the peer closes while the event loop does not run
            other = peer.writers[0].transport.get_extra_info("socket")
            socket.socket(fileno=socket.dup(other.fileno())).shutdown(socket.SHUT_RDWR)
            assert not connection.is_usable()
            assert (await attempts.outcome())[0] is Outcome.OK
            assert peer.connections == 2

    run(test())


def test_connection_that_becomes_idle_serves_a_waiting_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Peer(never_respond) as peer:
            attempts = AttemptRecorder(peer.port)
            first = attempts.start()
            await until(lambda: len(peer.requests) == 1)

            async def never_connect(pool: ConnectionPool, attempt: Attempt) -> None:
                pass

            monkeypatch.setattr(ConnectionPool, "_connect", never_connect)
            second = attempts.start()
            peer.writers[0].write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await until(lambda: first.ended and second.connection is not None)
            # the failure of the new connection must not end the attempt
            attempts.pool_manager._pools[1]._on_connect_failed(second)
            await until(lambda: len(peer.requests) == 2)
            assert peer.connections == 1
            assert not second.ended

    run(test())


def test_new_connection_serves_the_attempt_that_it_was_opened_for() -> None:
    """A connection must not serve an older attempt instead.

    If the connection of the older attempt failed, the newer attempt was left without a connection.
    """

    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            pool = attempts.pool_manager._pools[1]
            first = Attempt(None, 0, 1, lambda: PAYLOAD, 0.0)
            pool.waiting.append(first)  # its connection is still being established
            assert (await attempts.outcome())[0] is Outcome.OK
            await until(lambda: first.ended)  # after the reuse delay
            pool._on_connect_failed(first)
            assert [o for a, o, _ in attempts.ended_attempts if a is first] == [Outcome.OK]
            assert peer.connections == 1

    run(test())


def test_immediate_reset_leaves_no_attempt_waiting() -> None:
    async def test() -> None:
        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        attempts = AttemptRecorder(server.sockets[0].getsockname()[1])
        for _ in range(20):
            assert (await attempts.outcome())[0] in (Outcome.CONNECT_FAILED, Outcome.RESET)
        assert attempts.pool_manager.open_connections == 0
        server.close()

    run(test())


def test_cancelling_an_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with Peer(never_respond) as peer:
            attempts = AttemptRecorder(peer.port)
            attempt = attempts.start()
            await until(lambda: bool(peer.requests))
            attempts.pool_manager.cancel(attempt)
            await until(lambda: peer.connections_closed == 1)
            assert attempts.pool_manager.open_connections == 0
            assert not attempts.ended_attempts

    run(test())


def test_attempt_cancelled_during_the_connect_is_never_written() -> None:
    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port)
            attempts.pool_manager.cancel(attempts.start())
            # connecting is cancelled as well
            await until(lambda: attempts.pool_manager.open_connections == 0)
            assert (await attempts.outcome())[0] is Outcome.OK
            assert len(peer.requests) == 1
            assert len(attempts.ended_attempts) == 1

    run(test())


def test_idle_connections_are_closed_before_the_backend_closes_them() -> None:
    async def test() -> None:
        async with Peer(respond()) as peer:
            attempts = AttemptRecorder(peer.port, idle_timeout_s=0.0)
            await attempts.outcome()
            assert attempts.pool_manager.open_connections == 1
            await asyncio.sleep(0.01)
            attempts.pool_manager.close_stale_connections()
            assert attempts.pool_manager.open_connections == 0
            await until(lambda: peer.connections_closed == 1)

    run(test())


def test_connections_to_backends_are_limited() -> None:
    """At the limit, an idle connection is evicted; without an idle one, no connection is opened."""

    async def test() -> None:
        peers = [Peer(never_respond), Peer(respond())]
        for peer in peers:
            await peer.start()
        attempts = AttemptRecorder(peers[0].port, max_connections=2)
        attempts.pool_manager.update_address(2, ("127.0.0.1", peers[1].port))
        attempts.start()
        idle = Attempt(None, 0, 2, lambda: PAYLOAD, 0.0)
        attempts.pool_manager.start(idle)
        await until(lambda: idle.ended)
        attempts.start()
        await until(lambda: len(peers[0].requests) == 2)
        await until(lambda: peers[1].connections_closed == 1)
        assert (await attempts.outcome())[0] is Outcome.CONNECT_FAILED
        assert attempts.pool_manager.open_connections == 2
        for peer in peers:
            peer.stop()

    run(test())


def test_backend_that_moves_gets_requests_at_its_new_address() -> None:
    """Connections to the old address must not be reused."""

    async def test() -> None:
        old, new = Peer(respond(b"old")), Peer(respond(b"new"))
        for peer in (old, new):
            await peer.start()
        attempts = AttemptRecorder(old.port)
        _, response = await attempts.outcome()
        assert response is not None
        assert response.body == b"old"
        attempts.pool_manager.update_address(1, ("127.0.0.1", new.port))
        _, response = await attempts.outcome()
        assert response is not None
        assert response.body == b"new"
        await until(lambda: old.connections_closed == 1)
        for peer in (old, new):
            peer.stop()

    run(test())
