"""The end of a drain: requests already read are answered, and connections closed before SIGKILL."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from sumacpost.server.connection import MAX_PIPELINED
from tests.support.configuration import SETTINGS
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, LONG_TIMEOUT, Client, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import never_respond, respond

KILL_AFTER_S = 1.0  # from SIGTERM to SIGKILL, with a longest deadline of 0.3 s
SHORT_DEADLINES: dict[str, Any] = {
    "categories": [c | {"aim": 200.0, "hard_limit": 300.0} for c in SETTINGS["categories"]]
}


async def stop(ingress: RunningIngress) -> float:
    """Start the drain; return the earliest time of SIGKILL, in monotonic seconds."""
    ingress.stop.set()
    kill_at = time.monotonic() + KILL_AFTER_S
    await until(lambda: ingress.server.handler.draining)
    return kill_at


async def read_statuses(client: Client) -> list[bytes]:
    """Return the statuses of all responses until the connection ends."""
    received = await client.read_to_end()
    client.writer.close()
    return [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]


def test_requests_pending_at_sigterm_are_answered_before_sigkill() -> None:
    """The timeout of these requests is longer than the process can run after SIGTERM."""

    async def test() -> None:
        async with running_ingress(never_respond, settings=SHORT_DEADLINES) as ingress:
            client = await ingress.client()
            client.write(request("ledger-read", Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            kill_at = await stop(ingress)
            assert (await client.read_response()).status in (429, 502)
            client.writer.close()
            await ingress.task
            assert time.monotonic() < kill_at

    run(test())


def test_client_that_never_stops_pipelining_does_not_keep_its_connection_until_sigkill() -> None:
    async def test() -> None:
        async with running_ingress(respond(), settings=SHORT_DEADLINES) as ingress:
            client = await ingress.client()
            sent = 0

            async def pipeline() -> None:
                nonlocal sent
                while not client.reader.at_eof():
                    client.write(request("ledger-read", sent, Request_Timeout="0.300"))
                    sent += 1
                    await asyncio.sleep(0.005)

            pipelining = asyncio.create_task(pipeline())
            reading = asyncio.create_task(read_statuses(client))
            await until(lambda: sent > 10)
            kill_at = await stop(ingress)
            statuses = await reading
            await ingress.task
            assert time.monotonic() < kill_at
            pipelining.cancel()
            assert ingress.requests_received == statuses.count(b"200")
            assert len(statuses) <= sent

    run(test())


def test_requests_read_and_not_yet_handled_are_answered_at_the_end_of_a_drain() -> None:
    """Requests that are buffered but not parsed must also be answered before the process exits.

    Eight responses are pending on the connection, so the three later requests stay buffered.
    """

    async def test() -> None:
        async with running_ingress(*[never_respond] * 4, settings=SHORT_DEADLINES) as ingress:
            client = await ingress.client()
            count = MAX_PIPELINED + 3
            for number in range(count):
                client.write(request("ledger-read", number, Request_Timeout=LONG_TIMEOUT))
            await until(lambda: bool(ingress.requests_received))
            await stop(ingress)
            statuses = await read_statuses(client)
            assert len(statuses) == count
            assert set(statuses) <= {b"429", b"502"}
            await ingress.task

    run(test())


@pytest.mark.parametrize("first_bytes", [b"", request()[:50]])
def test_connection_without_a_request_is_closed_before_sigkill(first_bytes: bytes) -> None:
    """A request that is sent on such a connection just before SIGKILL would be lost."""

    async def test() -> None:
        async with running_ingress(respond(), settings=SHORT_DEADLINES) as ingress:
            kill_at = await stop(ingress)
            client = await ingress.client()
            client.write(first_bytes)
            received = await read_statuses(client)
            assert received == ([b"408"] if first_bytes else [])
            assert time.monotonic() < kill_at
            await ingress.task

    run(test())


def test_idle_connection_whose_next_request_has_arrived_is_not_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event loop may not have read the request yet when the drain starts."""

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            assert (await client.send(HEALTH_REQUEST)).status == 200
            monkeypatch.setattr("sumacpost.server.connection.has_unread_input", lambda _: True)
            ingress.stop.set()
            await until(lambda: ingress.server.handler.draining)
            assert (await client.send(request())).status == 200
            client.writer.close()
            await ingress.task

    run(test())


def test_request_that_waits_for_a_silent_counter_is_rejected_at_the_end_of_a_drain() -> None:
    """The drain moves the request's deadline to a time before the counter timeout.

    Before the drain the counter timeout is the earlier of the two.
    """
    settings = SHORT_DEADLINES | {"extra": SETTINGS["extra"] | {"count_wait": 10_000.0}}
    units = "units=4,spread=2,first=0"

    async def test() -> None:
        async with running_ingress(respond(), counter=never_respond, settings=settings) as ingress:
            client = await ingress.client()
            count = 0
            while not ingress.counter.requests or not ingress.instance._pending:
                count += 1
                client.write(
                    request(
                        "ledger-read",
                        count,
                        Plan="basis",
                        Quota_Info=units,
                        Request_Timeout=LONG_TIMEOUT,
                    )
                )
                await asyncio.sleep(0.05)
            await stop(ingress)
            statuses = await read_statuses(client)
            assert statuses[-1] == b"429"
            await ingress.task
            assert ingress.instance.recorder.violation_count == 0

    run(test())
