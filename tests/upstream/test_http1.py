"""Valid and invalid responses of backends."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, Peer, respond, send_bytes


@pytest.mark.parametrize(
    "trailing",
    [OK_RESPONSE, b"noise", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", b"\x00\xff"],
)
@pytest.mark.parametrize("together", [True, False])
def test_bytes_after_a_complete_response_are_no_response_to_the_next_request(
    trailing: bytes, together: bool
) -> None:
    async def test() -> None:
        async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(OK_RESPONSE + trailing if together else OK_RESPONSE)
            if not together:
                await asyncio.sleep(0.001)
                writer.write(trailing)

        async with running_ingress(script) as ingress:
            client = await ingress.client()
            for number in range(3):
                status, _, body = await client.send(request(number=number))
                assert (status, body) == (200, b"done")
            assert ingress.backends[0].connections == 3  # each was closed after its response

    run(test())


@pytest.mark.parametrize(
    "invalid",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore",
        b"HTTP/1.1 200 OK\r\n\r\nmore",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ndone",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 700,
    ],
)
def test_invalid_response_on_an_open_connection_is_a_reset_immediately(invalid: bytes) -> None:
    """The request, which is not idempotent, fails early and the connection is not reused."""

    async def test() -> None:
        async with running_ingress(send_bytes(invalid, close=False)) as ingress:
            client = await ingress.client()
            started_at = asyncio.get_running_loop().time()
            assert (await client.send(request(Request_Timeout="20.000"))).status == 502
            assert asyncio.get_running_loop().time() - started_at < 5
            ingress.backends[0].script = respond()
            assert (await client.send(request(number=2))).status == 200
            assert ingress.backends[0].connections == 2

    run(test())


@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: 400000\r\n\r\n%b",
        b"Transfer-Encoding: chunked\r\n\r\n61a80\r\n%b\r\n0\r\n\r\n",
    ],
)
def test_response_may_exceed_the_size_limit_of_requests(framed: bytes) -> None:
    """With the limit of requests, thousands of valid responses of 128 to 400 KB were rejected."""
    body = bytes(range(250)) * 1600

    async def test() -> None:
        async with running_ingress(
            send_bytes(b"HTTP/1.1 200 OK\r\n" + framed % body, close=False)
        ) as ingress:
            assert (await ingress.send(request())).body == body

    run(test())


def test_non_idempotent_request_avoids_connections_idle_as_long_as_a_reset_one() -> None:
    """A third of the connections idle for over 0.1 s were reset at their next request."""

    async def test() -> None:
        used: set[asyncio.StreamWriter] = set()

        async def respond_once(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if writer in used:
                writer.transport.abort()
            else:
                used.add(writer)
                writer.write(OK_RESPONSE)

        async with running_ingress(respond_once) as ingress:
            client = await ingress.client()
            for number, cls in enumerate(
                ("ledger-read", "ledger-read", "vat-filing", "vat-filing")
            ):
                assert (await client.send(request(cls, number))).status == 200
                await asyncio.sleep(0.05)
            assert ingress.backends[0].connections == 4
            assert len(ingress.backends[0].requests) == 5

    run(test())
