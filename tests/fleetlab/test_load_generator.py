"""Tests of the load generator with stand-in backends."""

from __future__ import annotations

import asyncio

from fleetlab.backend_servers import BackendServers
from fleetlab.http_connection import HttpConnection
from fleetlab.load_generator import LoadGenerator
from tests.fleetlab.support import run_server
from tests.support.event_loop import run


def test_each_scheduled_request_is_sent_once_and_recorded_once() -> None:
    async def scenario() -> None:
        async with run_server(BackendServers(ports=2, service_time_s=0.01)) as backends:
            loads = [LoadGenerator(endpoint, 200.0, seed=3) for endpoint in backends.endpoints]
            await asyncio.gather(*(load.run(0.25) for load in loads))
            first, second = backends.request_counts.values()
            assert first == second
            assert first == loads[0].statuses[200]
            assert first == loads[0].latency.get_total_count()
            assert first > 20
            assert all(set(load.statuses) == {200} for load in loads)

    run(scenario())


def test_a_backend_responds_404_to_a_request_without_request_id() -> None:
    async def scenario() -> None:
        async with run_server(BackendServers(ports=1)) as backends:
            connection = await HttpConnection.open(backends.endpoints[0])
            status = await connection.request(b"GET /r0/1 HTTP/1.1\r\nHost: b\r\n\r\n")
            assert status == 404
            connection.close()

    run(scenario())
