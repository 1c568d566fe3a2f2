"""Data that arrives in time while the event loop is blocked must not be treated as late.

After a block the event loop runs the timers that are due before it reads its sockets. A request got
429 although its backend had responded 84 ms before the deadline: the process had been stopped from
22 ms before the response until 21 ms after the deadline, and the deadline timer ran before the
response was read. Every timer that implements a timeout has the same risk.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from sumacpost.model import Outcome
from sumacpost.upstream.connection import RESPONSE_STALL_TIMEOUT_S, BackendConnection
from tests.support.attempts import AttemptRecorder
from tests.support.counter_calls import scripted_counter
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import (
    OK_RESPONSE,
    Peer,
    never_respond,
    respond,
    shut_down_immediately,
    write_immediately,
)

TIMEOUT = "0.400"  # of requests, in seconds
BLOCK_S = 0.45
UNBOUNDED_RESPONSE = b"HTTP/1.1 200 OK\r\n\r\ndone"


async def block_event_loop(seconds: float, midway_action: Callable[[], None]) -> None:
    """Block the event loop for a time, and call `midway_action` halfway through.

    The loop is blocked while it reads its sockets, so that it runs its timers next. A process that
    is stopped while it waits for its sockets also continues with its timers.
    """
    loop = asyncio.get_running_loop()
    reading_end, writing_end = socket.socketpair()
    finished = asyncio.Event()

    def block() -> None:
        loop.remove_reader(reading_end)
        time.sleep(seconds / 2)
        midway_action()
        time.sleep(seconds / 2)
        finished.set()

    with reading_end, writing_end:
        loop.add_reader(reading_end, block)
        writing_end.send(b"x")
        await finished.wait()


def write(peer: Peer, data: bytes, close: bool = False) -> Callable[[], None]:
    """Return a function that writes to the peer's only connection, and closes it if asked to."""

    def write_now() -> None:
        write_immediately(peer.writers[0], data)
        if close:
            shut_down_immediately(peer.writers[0])

    return write_now


@pytest.mark.parametrize("request_class", ["ledger-read", "payment-book", "vat-filing"])
@pytest.mark.parametrize(("response", "close"), [(OK_RESPONSE, False), (UNBOUNDED_RESPONSE, True)])
def test_a_response_received_before_the_deadline_is_forwarded_after_it(
    request_class: str, response: bytes, close: bool
) -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request(request_class, Request_Timeout=TIMEOUT))
            await ingress.wait_for_requests(1)
            await block_event_loop(BLOCK_S, write(ingress.backends[0], response, close))
            assert (await client.read_response()).status == 200

    run(test())


def test_a_request_without_a_response_fails_after_the_block() -> None:
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request("vat-filing", Request_Timeout=TIMEOUT))
            await ingress.wait_for_requests(1)
            await block_event_loop(BLOCK_S, lambda: None)
            assert (await client.read_response()).status == 502

    run(test())


def test_no_hedged_request_follows_a_response_received_during_the_block() -> None:
    async def test() -> None:
        async with running_ingress(never_respond, never_respond) as ingress:
            ingress.gateway.estimate.unit_ms = [5.0] * 3
            ingress.gateway.estimate.mean_work_ms = 5.0
            client = await ingress.client()
            client.write(request("ledger-read", Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            (contacted,) = [peer for peer in ingress.backends if peer.requests]
            (pending,) = ingress.instance._pending.values()
            await block_event_loop(overdue_after_s(ingress) + 0.1, write(contacted, OK_RESPONSE))
            assert (await client.read_response()).status == 200
            assert len(pending.attempts) == 1

    run(test())


def overdue_after_s(ingress: RunningIngress) -> float:
    """Return the time in seconds after which the only pending request is overdue."""
    (pending,) = ingress.gateway.pending.values()
    (attempt,) = pending.in_flight.values()
    return (attempt.overdue_at - attempt.sent_at) / 1000


def test_a_response_completed_during_the_block_has_not_stalled() -> None:
    async def test() -> None:
        async with running_ingress(half_response) as ingress:
            client = await ingress.client()
            client.write(request("vat-filing", Request_Timeout=LONG_TIMEOUT))
            await ingress.wait_for_requests(1)
            await until(lambda: response_has_started(ingress))
            rest = write(ingress.backends[0], OK_RESPONSE[10:])
            await block_event_loop(RESPONSE_STALL_TIMEOUT_S + 0.1, rest)
            assert (await client.read_response()).status == 200

    run(test())


async def half_response(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
    """Write only the first bytes of a response."""
    writer.write(OK_RESPONSE[:10])


def response_has_started(ingress: RunningIngress) -> bool:
    """Return whether the ingress has read the first bytes of the response to its only request."""
    (pending,) = ingress.instance._pending.values()
    connection = pending.attempts[0].connection
    return isinstance(connection, BackendConnection) and connection._stall_timer is not None


def test_counter_replies_received_during_the_block_are_used() -> None:
    async def test() -> None:
        async with scripted_counter(never_respond, timeout_s=0.1) as (peer, recorded):
            recorded.client.call(7, 2.0, 1000.0)
            await until(lambda: len(peer.requests) == 1)
            await block_event_loop(0.2, write(peer, b"$1\r\n2\r\n"))
            assert await recorded.outcomes(1) == [(7, Outcome.OK, 2.0)]

    run(test())


class DelayedConnectLoop(asyncio.SelectorEventLoop):
    """An event loop that reports an established connection long after its timers have run."""

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        """Connect, and return late."""
        await super().sock_connect(sock, address)
        await asyncio.sleep(60)


def test_a_connection_established_during_the_block_is_used() -> None:
    async def test() -> None:
        async with Peer(respond()) as peer:
            outcomes = AttemptRecorder(peer.port)
            assert (await outcomes.outcome())[0] is Outcome.OK

    with asyncio.Runner(loop_factory=DelayedConnectLoop) as runner:
        runner.run(test())
