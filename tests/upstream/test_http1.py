"""Responses of backends, valid and invalid."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import OK_RESPONSE, Peer, respond, send_bytes


@pytest.mark.parametrize(
    "behind",
    [OK_RESPONSE, b"noise", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", b"\x00\xff"],
)
@pytest.mark.parametrize("together", [True, False])
def test_bytes_behind_a_complete_response_answer_no_request(behind: bytes, together: bool) -> None:
    async def test() -> None:
        async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(OK_RESPONSE + behind if together else OK_RESPONSE)
            if not together:
                await asyncio.sleep(0.001)
                writer.write(behind)

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
def test_an_invalid_response_is_a_reset_at_once_on_an_open_connection(invalid: bytes) -> None:
    """A request that is not idempotent fails early, and its connection is not reused."""

    async def test() -> None:
        async with running_ingress(send_bytes(invalid, close=False)) as ingress:
            client = await ingress.client()
            began = asyncio.get_running_loop().time()
            assert (await client.send(request(Request_Timeout="20.000"))).status == 502
            assert asyncio.get_running_loop().time() - began < 5
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
def test_a_response_may_be_larger_than_the_bound_on_requests(framed: bytes) -> None:
    """Thousands of good responses of 128 to 400 KB were once rejected."""
    body = bytes(range(250)) * 1600

    async def test() -> None:
        async with running_ingress(
            send_bytes(b"HTTP/1.1 200 OK\r\n" + framed % body, close=False)
        ) as ingress:
            assert (await ingress.send(request())).body == body

    run(test())


def test_a_request_that_is_not_idempotent_avoids_an_idle_age_that_was_reset() -> None:
    """Of connections idle for over 0.1 s a third were reset at the next request."""

    async def test() -> None:
        used: set[asyncio.StreamWriter] = set()

        async def once(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if writer in used:
                writer.transport.abort()
            else:
                used.add(writer)
                writer.write(OK_RESPONSE)

        async with running_ingress(once) as ingress:
            client = await ingress.client()
            for number, cls in enumerate(
                ("ledger-read", "ledger-read", "vat-filing", "vat-filing")
            ):
                assert (await client.send(request(cls, number))).status == 200
                await asyncio.sleep(0.05)
            assert ingress.backends[0].connections == 4
            assert len(ingress.backends[0].requests) == 5

    run(test())
