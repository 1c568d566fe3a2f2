"""Validation of client requests."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.http_message import MAX_BODY_BYTES
from tests.support.configuration import SETTINGS
from tests.support.event_loop import run
from tests.support.http_client import HEALTH_REQUEST, request
from tests.support.ingress import running_ingress
from tests.support.peers import respond


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
        (b"GET /ledger-read HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", 404),
        (b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /ledger-read HTTP/1.1\r\nX: " + b"x" * 17_000, 431),
        (request(path="/unknown/7"), 404),
        (request(path="/vat-filings"), 404),
        (request(path="/healthz"), 404),
        (request(Plan="gold"), 400),
        (request(Plan=None), 400),
        (request(Request_Id=None), 400),
        (request(Request_Id="a b"), 400),
        (request(Account=None), 400),
        (request(Account="9"), 400),
        (request(Account="0x00000000000009"), 400),
        (request(Account="f" * 16), 400),
        (request(Request_Timeout=None), 400),
        (request(Request_Timeout="-1"), 400),
        (request(Request_Timeout="nan"), 400),
        (request(Request_Timeout="1_0"), 400),
        (request(Request_Timeout="0.000"), 400),
        (request(Quota_Info=None), 400),
        (request(Quota_Info="units=2"), 400),
        (request(Quota_Info="units=0,spread=2,first=0"), 400),
        (request(Quota_Info="units=2,spread=4,first=0"), 400),
        (request(Quota_Info="units=2,spread=2,first=3"), 400),
        (request(Quota_Info="units=inf,spread=2,first=0"), 400),
        (request(method="GET"), 400),
        (request("ledger-read", method="POST"), 400),
        (request("ledger-read", body="x", Content_Length="1"), 400),
        (request("payment-book", Idempotency_Key=None), 400),
        (request(Idempotency_Key="5c"), 400),
        (request().replace(b"Plan: plus", b"Plan: plus\r\nPlan: basis"), 400),
        (request(body="x" * (MAX_BODY_BYTES + 1)), 413),
        (
            request(body="", Content_Length=None, Transfer_Encoding="chunked")
            + b"1\r\nx\r\n" * 90_000,
            413,
        ),
    ],
)
def test_invalid_request_is_rejected_and_reaches_no_backend(data: bytes, status: int) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            assert (await ingress.send(data)).status == status
            assert (await ingress.send(request())).status == 200  # other clients are served
            assert len(ingress.backends[0].requests) == 1

    run(test())


def test_requests_may_arrive_in_pieces_pipelined_and_chunked() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            for byte in request():
                client.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.read_response()).status == 200
            client.write(
                request(number=2)
                + HEALTH_REQUEST
                + request(number=3, path="/nowhere")
                + request(number=4)
            )
            assert [(await client.read_response()).status for _ in range(4)] == [200, 200, 404, 200]
            head = request(number=5, body="", Content_Length=None, Transfer_Encoding="chunked")
            assert (await client.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")).status == 200
            last = ingress.backends[0].requests[-1]
            assert last.endswith(b"\r\n\r\nabcde")
            assert b"Content-Length: 5\r\n" in last
            assert b"chunked" not in last

    run(test())


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 0x5",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding:\x0bchunked",
        "Transfer-Encoding: chunked;q=1",
    ],
)
def test_ambiguous_framing_smuggles_no_request(head: str) -> None:
    """The connection ends with status 400, and nothing after the head is read as a request."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            hidden = request(number=2).decode()
            data = (
                request(body="", Content_Length=None).decode().removesuffix("\r\n")
                + head
                + "\r\n\r\n0\r\n\r\n"
                + hidden
            )
            client = await ingress.client()
            assert (await client.send(data.encode())).status == 400
            assert await client.read_to_end() == b""
            assert ingress.backends[0].requests == []

    run(test())


@pytest.mark.parametrize(
    ("length", "status"), [(MAX_BODY_BYTES + 1, 413), (60_000_000, 413), (10**30, 400)]
)
def test_body_that_is_too_long_is_rejected_at_its_head(length: int, status: int) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            head = request(body="", Content_Length=str(length))
            assert (await client.send(head)).status == status
            assert await client.read_to_end() == b""

    run(test())


def test_error_arrives_though_the_client_keeps_sending() -> None:
    """Closing the socket with unread input would reset the connection and lose the error.

    Input is therefore read and discarded, but not handled as a request.
    """

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(
                request(body="", Content_Length="3000000") + request(number=2) + b"x" * 3_000_000
            )
            assert (await client.read_response()).status == 413
            await client.writer.drain()
            assert ingress.backends[0].requests == []

    run(test())


def test_plan_names_are_matched_as_clients_send_them() -> None:
    """Requests of the plan "half crate, red" got status 400, as it was stored as half_crate_red."""

    async def test() -> None:
        plan = SETTINGS["plans"][1] | {"name": "half crate, red"}
        async with running_ingress(respond(), settings={"plans": [plan]}) as ingress:
            assert (await ingress.send(request(Plan="half crate, red"))).status == 200
            assert (await ingress.send(request(number=2, Plan="half_crate_red"))).status == 400

    run(test())
