"""Responses that never begin, or stall halfway, on connections that stay open."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, never_respond, respond

HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
LONG = "20.000"  # s, a client timeout that no attempt may use up


async def send_half(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(HALF)


def first_only(script: Any) -> Any:
    """Return a script for several backends that applies the given one to the first request only."""
    received: list[bytes] = []

    async def script_by_order(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        received.append(data)
        await (script if len(received) == 1 else respond())(peer, data, writer)

    return script_by_order


def expect_short_responses(ingress: Any) -> None:
    """Make the gateway expect short response times, so that attempts are soon overdue."""
    ingress.gateway.estimate.unit_ms = [5.0] * 3
    ingress.gateway.estimate.mean_work_ms = 5.0


@pytest.mark.parametrize("cls", ["ledger-read", "payment-book"])
@pytest.mark.parametrize("script", [never_respond, send_half])
def test_stalled_idempotent_request_is_hedged_long_before_its_deadline(
    cls: str, script: Any
) -> None:
    """Without a hedged request, the ingress waited on one silent connection until the deadline."""

    async def test() -> None:
        loop, fleet = asyncio.get_running_loop(), first_only(script)
        async with running_ingress(fleet, fleet) as ingress:
            expect_short_responses(ingress)
            started_at = loop.time()
            status, _, body = await ingress.send(request(cls, Request_Timeout=LONG))
            assert (status, body) == (200, b"done")
            assert loop.time() - started_at < 10
            assert sorted(len(b.requests) for b in ingress.backends) == [1, 1]
            ids = {
                line
                for b in ingress.backends
                for line in b.requests[0].split(b"\r\n")
                if b"request-id" in line.lower()
            }
            assert len(ids) == 1
            # the connection of the stalled attempt is closed
            await until(lambda: sum(b.connections_closed for b in ingress.backends) == 1)

    run(test())


def test_non_idempotent_request_is_sent_once() -> None:
    async def test() -> None:
        async with running_ingress(never_respond, never_respond) as ingress:
            expect_short_responses(ingress)
            assert (await ingress.send(request(Request_Timeout="0.400"))).status == 502
            assert sum(len(b.requests) for b in ingress.backends) == 1

    run(test())


def test_no_hedged_request_if_the_settings_forbid_it() -> None:
    async def test() -> None:
        no_hedging = {"permissions": SETTINGS["permissions"] | {"parallel_tries": False}}
        async with running_ingress(never_respond, never_respond, settings=no_hedging) as ingress:
            expect_short_responses(ingress)
            assert (
                await ingress.send(request("ledger-read", Request_Timeout="0.400"))
            ).status == 429
            assert sum(len(b.requests) for b in ingress.backends) == 1

    run(test())


def test_silent_connection_does_not_block_requests_to_its_backend() -> None:
    """A response on another connection shows that the backend still works."""

    async def test() -> None:
        async with running_ingress(first_only(never_respond)) as ingress:
            expect_short_responses(ingress)
            silent = await ingress.client()
            silent.write(request("vat-filing", 1, Request_Timeout=LONG))
            await until(lambda: len(ingress.backends[0].requests) == 1)
            gateway, clock = ingress.gateway, ingress.instance._clock
            (backend,), (call,) = gateway.endpoints.backends.values(), gateway.pending.values()

            def expected_latency_ms(now: float) -> float:
                fleet_inflation = gateway.estimate.inflation.current(now)
                return gateway.load_balancer.expected_latency_ms(
                    now, backend, call, fleet_inflation
                )

            started_at = clock.now()
            await asyncio.sleep(0.5)
            assert expected_latency_ms(clock.now()) > 400
            assert (await ingress.send(request("vat-filing", 2))).status == 200
            assert started_at + 500 <= backend.responded_at + 1
            assert expected_latency_ms(backend.responded_at + 1) < 400

    run(test())
