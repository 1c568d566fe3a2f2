"""The outcome of an attempt over loopback, for each case that the protocol distinguishes."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.model import Outcome
from tests.support.attempts import AttemptRecorder
from tests.support.event_loop import run
from tests.support.peers import Peer, Script, never_respond, respond, send_bytes

NOT_STARTED = b"Not-Started: 1\r\n"


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (respond(b"done"), Outcome.OK),
        (respond(b"", 500), Outcome.ERROR),
        (respond(b"", 503, NOT_STARTED), Outcome.REJECTED),
        (respond(b"", 504, NOT_STARTED), Outcome.REJECTED),
        (respond(b"", 503), Outcome.ERROR),
        (respond(b"", 504, b"Not-Started: 0\r\n"), Outcome.ERROR),
        (respond(b"", 500, NOT_STARTED), Outcome.ERROR),
        (respond(b"", 404), Outcome.ERROR),
        (send_bytes(b""), Outcome.RESET),
        (send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), Outcome.RESET),
        (
            send_bytes(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
            Outcome.RESET,
        ),
        (
            send_bytes(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
            ),
            Outcome.OK,
        ),
        (
            send_bytes(
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
            ),
            Outcome.OK,
        ),
        # an orderly close ends the body; test_unbounded_responses.py covers resets
        (send_bytes(b"HTTP/1.1 200 OK\r\n\r\ndone"), Outcome.OK),
        (send_bytes(b"SSH-2.0-nonsense\r\n", close=False), Outcome.RESET),
        (send_bytes(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000, close=False), Outcome.RESET),
        (respond(b"x" * (MAX_BODY_BYTES + 1)), Outcome.RESET),
        (
            send_bytes(
                b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", close=False
            ),
            Outcome.RESET,
        ),
    ],
)
def test_outcome_follows_from_the_response(script: Script, outcome: Outcome) -> None:
    async def test() -> None:
        async with Peer(script) as peer:
            actual, response = await AttemptRecorder(peer.port).outcome()
            assert actual is outcome
            if outcome is Outcome.OK:
                assert response is not None
                assert response.body == b"done"

    run(test())


def test_refused_connection_gives_connect_failed() -> None:
    async def test() -> None:
        peer = Peer(never_respond)
        await peer.start()
        peer.server.close()
        await peer.server.wait_closed()
        assert (await AttemptRecorder(peer.port).outcome())[0] is Outcome.CONNECT_FAILED

    run(test())


def test_connect_times_out() -> None:
    """With a full backlog, a connection is neither established nor refused."""

    async def test() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            port = listener.getsockname()[1]
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
            attempts = AttemptRecorder(port)
            assert (await attempts.outcome())[0] is Outcome.CONNECT_FAILED
            assert attempts.pool_manager.open_connections == 0
            for filler in fillers:
                filler.close()

    run(test())


def test_reset_gives_connect_failed_before_the_last_byte_and_reset_after_it() -> None:
    """A backend can't have run a request that was not completely written when it was reset."""

    async def test() -> None:
        async def read_half(reader: asyncio.StreamReader) -> bytes:
            return await reader.readexactly(10)

        async def reset(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        async with Peer(reset, read_half) as peer:
            attempts = AttemptRecorder(peer.port)
            # exceeds the kernel buffers, so that the reset arrives while bytes are unwritten
            assert (await attempts.outcome(b"x" * 50_000_000))[0] is Outcome.CONNECT_FAILED
            assert (await attempts.outcome(b"x" * 10))[0] is Outcome.RESET

    run(test())
