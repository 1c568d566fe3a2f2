"""Long responses of backends, which are parsed in turns."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.model import Outcome
from sumacpost.upstream.connection import BackendConnection
from tests.support.attempts import AttemptRecorder
from tests.support.event_loop import run, until
from tests.support.peers import Peer, never_respond
from tests.support.turns import limit_turns

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BYTE_CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"
BODY_BYTES = MAX_BODY_BYTES - 1


def test_a_response_in_chunks_of_one_byte_is_not_handled_whole() -> None:
    # Guards against an event loop that is held up by all chunks that a backend sends at once.
    async def test() -> None:
        backend = Peer(never_respond)
        await backend.start()
        attempts = AttemptRecorder(backend.port)
        limit_turns(attempts.pool_manager.turns)
        attempt = attempts.start()
        await until(lambda: len(backend.requests) == 1)
        connection = attempt.connection
        assert isinstance(connection, BackendConnection)
        connection.data_received(CHUNKED_HEAD + BYTE_CHUNK * BODY_BYTES + LAST_CHUNK)
        assert not attempts.ended_attempts
        await until(lambda: len(attempts.ended_attempts) == 1)
        _, outcome, response = attempts.ended_attempts[0]
        assert outcome is Outcome.OK
        assert response is not None
        assert response.body == b"x" * BODY_BYTES
        backend.stop()

    run(test())


@pytest.mark.parametrize("head", [CHUNKED_HEAD, b"HTTP/1.1 200 OK\r\n\r\n"])
def test_the_end_of_the_stream_is_read_after_a_long_response(head: bytes) -> None:
    # Guards against a response that counts as truncated because its end is read before its turns.
    async def respond_and_close(_peer: Peer, _data: bytes, writer: asyncio.StreamWriter) -> None:
        chunked = head is CHUNKED_HEAD
        writer.write(head + (BYTE_CHUNK * BODY_BYTES + LAST_CHUNK if chunked else body))
        writer.close()

    body = b"x" * BODY_BYTES

    async def test() -> None:
        backend = Peer(respond_and_close)
        await backend.start()
        outcome, response = await AttemptRecorder(backend.port).outcome()
        assert outcome is Outcome.OK
        assert response is not None
        assert response.body == body
        backend.stop()

    run(test())


def test_bytes_after_a_long_response_close_the_connection() -> None:
    async def test() -> None:
        backend = Peer(never_respond)
        await backend.start()
        attempts = AttemptRecorder(backend.port)
        attempt = attempts.start()
        await until(lambda: len(backend.requests) == 1)
        connection = attempt.connection
        assert isinstance(connection, BackendConnection)
        response = CHUNKED_HEAD + BYTE_CHUNK * 1000 + LAST_CHUNK
        connection.data_received(response + b"x" * 100_000)
        await until(lambda: len(attempts.ended_attempts) == 1)
        assert attempts.ended_attempts[0][1] is Outcome.OK
        await until(lambda: backend.connections_closed == 1)
        backend.stop()

    run(test())
