"""The checks right before an attempt is written to a connection, on a running ingress."""

from __future__ import annotations

import asyncio
import re

import pytest

from sumacpost.diagnostics.event_recorder import EventKind
from sumacpost.model import Endpoint, EndpointListUpdate, EndpointStatus, Send, UpdateKind
from tests.support.connection_gate import ConnectionGate
from tests.support.event_loop import run, until
from tests.support.http_client import LONG_TIMEOUT, request
from tests.support.ingress import RunningIngress, connect_beyond_limit, running_ingress
from tests.support.peers import OK_RESPONSE, never_respond, respond

DELAY_S = 0.2


def forwarded_timeout_s(data: bytes) -> float:
    match = re.search(rb"Request-Timeout: ([\d.]+)", data)
    assert match is not None
    return float(match[1])


def test_the_forwarded_timeout_is_computed_when_the_attempt_is_written(
    connection_gate: ConnectionGate,
) -> None:
    """The time left must exclude the wait for a connection.

    If it is computed when the attempt is started, the timeout that is forwarded to the backend is
    too long by up to the connect timeout; the soak allows 0.15 s.
    """

    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request(Request_Timeout="1.000"))
            await until(lambda: connection_gate.connect_calls == 1)
            await asyncio.sleep(DELAY_S)
            connection_gate.open()
            assert (await client.read_response()).status == 200
            assert forwarded_timeout_s(ingress.backends[0].requests[0]) <= 1.0 - DELAY_S

    run(test())


def set_backend_state(ingress: RunningIngress, state: EndpointStatus) -> None:
    """Change the state of the only backend in the policy alone; its pool is not updated."""
    (backend,) = ingress.gateway.endpoints.backends
    entry = Endpoint(backend, state)
    ingress.gateway.endpoints.update(EndpointListUpdate(UpdateKind.CHANGES, [entry]))


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_an_attempt_is_not_written_to_a_backend_that_is_no_longer_ready(
    connection_gate: ConnectionGate, state: EndpointStatus
) -> None:
    async def test() -> None:
        async with running_ingress(respond()) as ingress:
            client = await ingress.client()
            client.write(request())
            await until(lambda: connection_gate.connect_calls == 1)
            set_backend_state(ingress, state)
            connection_gate.open()
            assert (await client.read_response()).status == 429
            assert not ingress.backends[0].requests
            counts = ingress.instance.recorder.counts
            assert counts[EventKind.ATTEMPT_SKIPPED, "backend_not_ready"] == 1

    run(test())


def test_a_second_execution_that_the_policy_would_permit_is_prevented_and_counted(
    connection_gate: ConnectionGate,
) -> None:
    """The network code tracks which attempts were written, independently of the policy."""

    async def test() -> None:
        async with running_ingress(respond(), respond()) as ingress:
            client = await ingress.client()
            client.write(request())
            await until(lambda: connection_gate.connect_calls == 1)
            (pending,) = ingress.instance._pending.values()
            (attempt,) = pending.attempts
            attempt.written = True  # as if the first attempt may have run, unknown to the policy
            (policy_request,) = ingress.gateway.pending.values()
            policy_request.in_flight.clear()
            policy_request.attempted_backends.append(policy_request.attempted_backends[0])
            ingress.instance._execute_action(Send(pending.number, attempt.backend))
            assert ingress.instance.recorder.violation_count == 1
            assert ingress.instance.recorder.counts[EventKind.VIOLATION, "second_execution"] == 1
            connection_gate.open()

    run(test())


def test_time_in_the_listen_queue_is_subtracted_from_the_forwarded_timeout() -> None:
    """All client connections are in use, so the request is read long after its arrival."""

    async def test() -> None:
        async with running_ingress(*[never_respond] * 8, sockets=64) as ingress:
            late = await connect_beyond_limit(ingress)
            await asyncio.sleep(DELAY_S)
            for backend in ingress.backends:
                backend.script = respond()
            ingress.backends[0].writers[0].write(OK_RESPONSE)
            assert (await late.read_response()).status == 200
            (data,) = [
                request
                for backend in ingress.backends
                for request in backend.requests
                if b"%016x" % 50 in request
            ]
            assert forwarded_timeout_s(data) <= 60.0 - DELAY_S

    run(test())


def test_time_behind_others_in_the_listen_queue_is_subtracted_from_the_forwarded_timeout() -> None:
    # Guards against late responses where so many connect that each iteration accepts only some.
    async def test() -> None:
        async with running_ingress(respond(), respond()) as ingress:
            listener = ingress.server.listener
            listener.pause()
            ingress.server.connections.on_capacity_available = lambda: None
            clients = [await ingress.client() for _ in range(2)]
            for number, client in enumerate(clients):
                client.write(request("vat-filing", number, Request_Timeout=LONG_TIMEOUT))
            await asyncio.sleep(0.05)
            listener._backlog_since = None  # as if the listener had not been paused
            assert not listener.accept(limit=1)
            await asyncio.sleep(DELAY_S)
            assert not listener.accept(limit=1)
            for client in clients:
                assert (await client.read_response()).status == 200
            (late,) = [r for b in ingress.backends for r in b.requests if b"%016x" % 1 in r]
            assert forwarded_timeout_s(late) <= 60.0 - DELAY_S

    run(test())


def test_an_attempt_that_has_ended_may_not_be_written() -> None:
    # Guards against an error where a pool asks for an attempt that has ended with its request.
    async def test() -> None:
        async with running_ingress(never_respond) as ingress:
            client = await ingress.client()
            client.write(request())
            await ingress.wait_for_requests(1)
            (pending,) = ingress.instance._pending.values()
            (attempt,) = pending.attempts
            client.disconnect("closed")
            await until(lambda: attempt.ended)
            assert not ingress.instance._may_write(attempt)

    run(test())
