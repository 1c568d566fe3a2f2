"""Responses without a stated length, which an orderly close completes and a reset does not."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sumacpost.model import Outcome
from tests.support.attempts import AttemptRecorder
from tests.support.discovery_agent import endpoint_entry, endpoint_list
from tests.support.event_loop import run, until
from tests.support.http_client import LINGER_ZERO, request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, Script, json_response, respond, send_bytes

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"


def send_and_reset(data: bytes) -> Script:
    """Return a script that writes the data, and resets the connection once it is read."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await asyncio.sleep(0.05)
        sock = writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        writer.transport.abort()

    return script


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (send_bytes(HEAD + b"done"), Outcome.OK),
        (send_bytes(HEAD), Outcome.OK),  # an empty body
        (send_bytes(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\n\r\n"), Outcome.REJECTED),
        (send_bytes(b"HTTP/1.1 500 X\r\n\r\noops"), Outcome.ERROR),
        (send_and_reset(HEAD + b"done"), Outcome.RESET),
        (send_bytes(HEAD[:-2]), Outcome.RESET),
        (send_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone"), Outcome.RESET),
    ],
)
def test_outcome_of_a_response_that_ends_when_its_connection_closes(
    script: Script, outcome: Outcome
) -> None:
    async def test() -> None:
        async with Peer(script) as peer:
            attempts = AttemptRecorder(peer.port)
            actual, response = await attempts.outcome()
            assert actual is outcome
            if outcome is Outcome.OK:
                assert response is not None
                assert not response.keep_alive
            await until(lambda: attempts.pool_manager.open_connections == 0)

    run(test())


def test_response_without_a_length_that_stalls_is_a_reset() -> None:
    """A long pause is the only sign of a backend that hangs in the middle of the response."""

    async def test() -> None:
        async with Peer(send_bytes(HEAD + b"half", close=False)) as peer:
            actual, _ = await AttemptRecorder(peer.port).outcome()
            assert actual is Outcome.RESET

    run(test())


def test_endpoint_list_without_a_length_is_read() -> None:
    async def test() -> None:
        async with Peer(respond(b"new")) as new_backend:
            targets = endpoint_list(9, endpoint_entry(new_backend, "s-new"))
            bounded = json_response(targets)
            body = bounded.partition(b"\r\n\r\n")[2]

            async def agent(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
                if b"from=9" not in data:
                    writer.write(HEAD + body)
                    writer.close()

            async with running_ingress(respond(b"old"), discovery=agent) as ingress:
                await until(lambda: any(b"from=9" in poll for poll in ingress.discovery.requests))
                assert (await ingress.send(request())).body == b"new"

    run(test())
