"""Blocks the event loop while a client disconnects and another event happens."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.event_loop import until
from tests.support.http_client import LONG_TIMEOUT, BlockingClient, request
from tests.support.ingress import RunningIngress, running_ingress
from tests.support.peers import OK_RESPONSE, Peer, never_respond, respond

# More than 0.1 s: an attempt that starts more than 0.1 s after its client disconnects is a fault.
BLOCKED_S = 0.15
# Long enough that slow responses are never treated as an overload, which would cause rejections.
LONG_OBJECTIVE_MS = 60_000.0
# The number of the request whose client disconnects.
REQUEST_NUMBER = 500


def slow_request(
    request_class: str = "ledger-read", number: int = REQUEST_NUMBER, **changes: str | None
) -> bytes:
    """Return a request that does not time out within a test."""
    return request(request_class, number, Request_Timeout=LONG_TIMEOUT, **changes)


def attempted_backends(ingress: RunningIngress, number: int = REQUEST_NUMBER) -> list[Peer]:
    """Return the backends that have received the request, once for each attempt."""
    return [b for b in ingress.backends for data in b.requests if b"%016x" % number in data]


def pools(ingress: RunningIngress) -> list[ConnectionPool]:
    """Return the connection pools of all backends."""
    return list(ingress.pool_manager._pools.values())


async def until_attempted(ingress: RunningIngress, number: int = REQUEST_NUMBER) -> None:
    """Wait for the first attempt of the request."""
    await until(lambda: len(attempted_backends(ingress, number)) == 1)


@asynccontextmanager
async def ingress_with_idle_connections(
    backends: int = 2, settings: dict[str, Any] | None = None, **changes: Any
) -> AsyncIterator[RunningIngress]:
    """Run an ingress with one reusable connection to each backend; backends do not respond again.

    The first responses are sent only after all connections have been established, so the number of
    connections does not depend on the speed of the machine.
    """
    long_objectives = [c | {"aim": LONG_OBJECTIVE_MS} for c in SETTINGS["categories"]]
    changes["settings"] = {"categories": long_objectives} | (settings or {})
    async with running_ingress(*[never_respond] * backends, **changes) as ingress:
        for number in range(backends):
            client = await ingress.client()
            client.write(slow_request(number=number))
            await until_attempted(ingress, number)
        assert [b.connections for b in ingress.backends] == [1] * backends
        for backend in ingress.backends:
            for writer in backend.writers:
                writer.write(OK_RESPONSE)
        await until(lambda: [len(pool.idle) for pool in pools(ingress)] == [1] * backends)
        await asyncio.sleep(2 * REUSE_DELAY_S)
        yield ingress


def disconnect_during(
    event: Callable[[], object],
    client: BlockingClient,
    how: str,
    client_first: bool,
    blocked_s: float = BLOCKED_S,
) -> None:
    """Block the event loop while the client disconnects and the event happens."""
    if client_first:
        client.disconnect(how)
        event()
    else:
        event()
        client.disconnect(how)
    time.sleep(blocked_s)


async def expect_attempt_only_if_client_stays(
    ingress: RunningIngress, how: str, attempts_before: int
) -> None:
    """Check for one more attempt if the client stays connected, otherwise for no further one.

    The ingress must still serve other clients.
    """
    pending = ingress.instance._pending
    if how == "stays":
        await until(lambda: len(attempted_backends(ingress)) == attempts_before + 1)
        return
    request_id = b"%016x" % REQUEST_NUMBER
    await until(lambda: not any(p.request.id == request_id for p in pending.values()))
    for backend in ingress.backends:
        backend.script = respond()
    # An attempt that was written before this one would have been received by now.
    assert (await ingress.send(slow_request(number=900))).status == 200
    assert len(attempted_backends(ingress)) == attempts_before
    assert REQUEST_NUMBER not in [int(p.request.id, 16) for p in pending.values()]
