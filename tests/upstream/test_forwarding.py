"""Forwarding by a running ingress: retries, deadlines and disconnects."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.timer import READ_DELAY_S, READ_ITERATIONS
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import Script, never_respond, respond, send_bytes

NOT_STARTED = b"Not-Started: 1\r\n"


def test_successful_response_is_forwarded_unchanged() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 200
        async with running_ingress(
            respond(body, head=b"Billed-Units: 3\r\nContent-Type: x/y\r\n")
        ) as ingress:
            status, head, actual = await ingress.send(
                request("payment-book", Idempotency_Key="5c" * 16)
            )
            assert (status, actual) == (200, body)
            assert b"content-type: x/y" in head.lower()
            (sent,) = ingress.backends[0].requests
            assert sent.startswith(b"POST /payment-book/7?year=3 HTTP/1.1\r\n")
            assert sent.endswith(b"\r\n\r\nreceipt")
            lines = sent.lower().split(b"\r\n")
            assert b"request-id: " + b"0" * 15 + b"1" in lines
            assert b"idempotency-key: " + b"5c" * 16 in lines
            (left,) = [float(line[17:]) for line in lines if line.startswith(b"request-timeout: ")]
            assert 1.0 < left < 1.5

    run(test())


@pytest.mark.parametrize(
    ("cls", "script", "status", "sent"),
    [
        ("vat-filing", respond(b"", 500), 502, 1),
        ("vat-filing", send_bytes(b""), 502, 1),
        ("vat-filing", respond(b"", 503), 502, 1),
        ("vat-filing", respond(b"", 503, NOT_STARTED), 429, 3),
        ("ledger-read", respond(b"", 500), 429, 3),
        ("payment-book", send_bytes(b""), 429, 3),
    ],
)
def test_request_class_limits_the_attempts(
    cls: str, script: Script, status: int, sent: int
) -> None:
    async def test() -> None:
        async with running_ingress(script, script, script, script) as ingress:
            assert (await ingress.send(request(cls))).status == status
            assert sum(len(b.requests) for b in ingress.backends) == sent

    run(test())


@pytest.mark.parametrize(
    ("cls", "status"), [("vat-filing", 502), ("ledger-read", 429), ("payment-book", 429)]
)
def test_client_gets_a_response_before_its_deadline_if_the_backend_is_silent(
    cls: str, status: int
) -> None:
    """The response is sent when the request's timer fires, which is checked here by its due time.

    How long the client waits depends on the machine, too: client and ingress share a process.
    """

    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            response = asyncio.create_task(ingress.send(request(cls, Request_Timeout="0.400")))
            await until(lambda: bool(ingress.instance._pending))
            (pending,) = ingress.instance._pending.values()
            assert pending.timer is not None
            fires_at = pending.timer.due + READ_ITERATIONS * READ_DELAY_S
            assert fires_at - pending.response.received_at < 0.4
            assert (await response).status == status
            await until(lambda: ingress.backends[0].connections_closed == 1)
            assert len(ingress.backends[0].requests) == 1  # no retry just before the deadline

    run(test())


def test_client_disconnect_cancels_the_attempt() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request())
            await until(lambda: bool(ingress.backends[0].requests))
            client.writer.close()
            await until(lambda: ingress.backends[0].connections_closed == 1)

    run(test())


def test_rejection_has_a_retry_after_header() -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            responses = [await client.send(request(number=n, Plan="basis")) for n in range(6)]
            rejected = [head for status, head, _ in responses if status == 429]
            assert rejected
            assert len(ingress.backends[0].requests) == len(responses) - len(rejected)
            waits_s = [head.split(b"Retry-After: ")[1].split(b"\r\n")[0] for head in rejected]
            assert all(float(wait_s) > 0 for wait_s in waits_s)

    run(test())
