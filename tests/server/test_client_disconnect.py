"""No attempt starts after its client has disconnected, wherever the request is waiting.

Each test blocks the event loop while the client disconnects and while the event that would start
the attempt becomes ready, so that the loop handles both in one iteration. An attempt that starts in
that iteration starts more than 0.1 s after the disconnect. The same step with a client that stays
connected shows that the attempt would otherwise have started.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest

from sumacpost.server.connection import MAX_PIPELINED
from sumacpost.upstream.connection import BackendConnection, CloseReason
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.disconnects import (
    BLOCKED_S,
    attempted_backends,
    disconnect_during,
    expect_attempt_only_if_client_stays,
    ingress_with_idle_connections,
    pools,
    slow_request,
    until_attempted,
)
from tests.support.event_loop import run, until
from tests.support.http_client import BlockingClient
from tests.support.ingress import RunningIngress
from tests.support.peers import OK_RESPONSE, Peer, shut_down_immediately, write_immediately

NOT_STARTED = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

each_way_to_disconnect = pytest.mark.parametrize("how", ["closed", "reset", "half closed", "stays"])
either_order = pytest.mark.parametrize("client_first", [True, False])


# ---- requests waiting for the counter


@each_way_to_disconnect
@either_order
@pytest.mark.parametrize("event", ["granted", "connection lost"])
def test_counter_reply_starts_no_attempt_for_a_client_that_disconnects_in_the_same_iteration(
    how: str, client_first: bool, event: str
) -> None:
    run(check_counter_event(how, client_first, event))


@each_way_to_disconnect
def test_counter_timeout_starts_no_attempt_for_a_disconnected_client(how: str) -> None:
    """Timers of a delayed loop iteration run before sockets are polled.

    The counter timeout is such a timer, so it could start an attempt before the loop detects that
    the client has disconnected.
    """
    run(check_counter_event(how, True, "silent"))


async def check_counter_event(how: str, client_first: bool, event: str) -> None:
    total = 0.0
    withholding = False

    async def count(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        nonlocal total
        total += float(call.split()[2])  # with another total the gateway would send a correction
        if not withholding:
            writer.write(reply())

    def reply() -> bytes:
        text = b"%.6f" % total
        return b"$%d\r\n%b\r\n" % (len(text), text)

    # The ingress waits four times as long as configured.
    timeout_ms = 250.0 if event == "silent" else 4000.0
    settings = {"extra": SETTINGS["extra"] | {"count_wait": timeout_ms}}
    async with ingress_with_idle_connections(1, counter=count, settings=settings) as ingress:
        withholding = True
        client = BlockingClient(ingress.address)
        quota_sync = ingress.gateway.quota_sync
        calls_before = len(ingress.counter.requests)
        client.write(
            slow_request(
                "vat-filing",
                Plan="basis",
                Account="0000000000000077",
                Quota_Info="units=6,spread=3,first=0",
            )
        )
        await until(
            lambda: any(
                call.request for calls in quota_sync.pending_calls.values() for call in calls
            )
        )
        await until(lambda: len(ingress.counter.requests) > calls_before)
        assert not attempted_backends(ingress)
        writer = ingress.counter.writers[0]
        trigger_event = {
            "granted": lambda: write_immediately(writer, reply()),
            "connection lost": lambda: shut_down_immediately(writer),
            "silent": lambda: None,
        }[event]
        withholding = False
        blocked_s = 1.1 if event == "silent" else BLOCKED_S
        disconnect_during(trigger_event, client, how, client_first, blocked_s)
        await expect_attempt_only_if_client_stays(ingress, how, 0)


# ---- requests waiting for a retry or a hedged request


@each_way_to_disconnect
@either_order
@pytest.mark.parametrize("event", ["rejected", "malformed", "closed"])
def test_no_retry_follows_an_attempt_that_fails_as_its_client_disconnects(
    how: str, client_first: bool, event: str
) -> None:
    async def test() -> None:
        async with ingress_with_idle_connections() as ingress:
            client = BlockingClient(ingress.address)
            client.write(slow_request())
            await until_attempted(ingress)
            (writer,) = attempted_backends(ingress)[0].writers
            trigger_event = {
                "rejected": lambda: write_immediately(writer, NOT_STARTED),
                "malformed": lambda: write_immediately(
                    writer, b"noise that is no response\r\n\r\n"
                ),
                "closed": lambda: shut_down_immediately(writer),
            }[event]
            disconnect_during(trigger_event, client, how, client_first)
            await expect_attempt_only_if_client_stays(ingress, how, 1)

    run(test())


def early_hedging() -> dict[str, Any]:
    """Return settings with which a hedged request follows after about a second at most."""
    return {"categories": [c | {"aim": 500.0} for c in SETTINGS["categories"]]}


def seconds_until_hedging(ingress: RunningIngress) -> float:
    """Return the seconds from now until the only attempt in flight is certainly overdue."""
    instance = ingress.instance
    backends = instance._gateway.endpoints.backends.values()
    (overdue_at,) = [sent.overdue_at for b in backends for sent in b.in_flight.values()]
    return (overdue_at - instance._clock.now()) / 1000 + 0.05


@each_way_to_disconnect
@pytest.mark.parametrize("timer_due", [True, False])
def test_no_hedged_request_follows_for_a_client_that_disconnected_before_its_timer(
    how: str, timer_due: bool
) -> None:
    """Timers of a delayed loop iteration run before sockets are polled.

    The hedging timer could therefore start an attempt before the loop detects that the client has
    disconnected.
    """

    async def test() -> None:
        async with ingress_with_idle_connections(settings=early_hedging()) as ingress:
            client = BlockingClient(ingress.address)
            client.write(slow_request())
            await until_attempted(ingress)
            wait_s = seconds_until_hedging(ingress)
            if timer_due:  # the client disconnects after the timer has become due
                time.sleep(wait_s)
                wait_s = BLOCKED_S
            disconnect_during(lambda: None, client, how, True, wait_s)
            await expect_attempt_only_if_client_stays(ingress, how, 1)

    run(test())


# ---- requests waiting for a backend connection


class ConnectionHook:
    """Runs a callback once, at one step of opening a connection to a backend.

    step: "connected" when the socket is connected, "ready" when the transport has been created.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, step: str) -> None:
        self.callback: Callable[[], None] | None = None
        original_init = BackendConnection.__init__
        original_connection_made = BackendConnection.connection_made

        def init(connection: BackendConnection, pool: ConnectionPool, sock: socket.socket) -> None:
            original_init(connection, pool, sock)
            if step == "connected":
                self._run()

        def connection_made(
            connection: BackendConnection, transport: asyncio.BaseTransport
        ) -> None:
            original_connection_made(connection, transport)
            if step == "ready":
                self._run()

        monkeypatch.setattr(BackendConnection, "__init__", init)
        monkeypatch.setattr(BackendConnection, "connection_made", connection_made)

    def _run(self) -> None:
        callback = self.callback
        self.callback = None
        if callback is not None:
            callback()


@each_way_to_disconnect
@pytest.mark.parametrize("step", ["connected", "ready"])
@pytest.mark.parametrize("attempt_kind", ["first", "retry", "hedged"])
def test_connection_opened_as_its_client_disconnects_carries_no_attempt(
    how: str, step: str, attempt_kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt's bytes are written one or two loop iterations after the socket is connected.

    The client may disconnect in between.
    """
    hook = ConnectionHook(monkeypatch, step)

    async def test() -> None:
        async with ingress_with_idle_connections(settings=early_hedging()) as ingress:
            client = BlockingClient(ingress.address)
            if attempt_kind == "first":
                for pool in pools(ingress):
                    pool.idle[0].close(CloseReason.STALE)
            else:
                client.write(slow_request())
                await until_attempted(ingress)
                for pool in pools(ingress):
                    if pool.idle:
                        pool.idle[0].close(CloseReason.STALE)
            hook.callback = lambda: disconnect_during(lambda: None, client, how, True)
            before = len(attempted_backends(ingress))
            if attempt_kind == "first":
                client.write(slow_request())
            elif attempt_kind == "retry":
                write_immediately(attempted_backends(ingress)[0].writers[0], NOT_STARTED)
            await until(lambda: hook.callback is None)
            await expect_attempt_only_if_client_stays(ingress, how, before)

    run(test())


# ---- requests that are buffered, unread in the socket, or in the listen queue


@each_way_to_disconnect
@either_order
@pytest.mark.parametrize(
    "following_input", [b"", slow_request(number=501), slow_request(number=501)[:40]]
)
def test_buffered_request_is_not_forwarded_if_its_client_disconnects_during_a_response(
    how: str, client_first: bool, following_input: bytes
) -> None:
    """Further unread input of the client may hide the end of its connection."""

    async def test() -> None:
        async with ingress_with_idle_connections(MAX_PIPELINED) as ingress:
            client = BlockingClient(ingress.address)
            for number in range(100, 100 + MAX_PIPELINED):
                client.write(slow_request("vat-filing", number))
                await until_attempted(ingress, number)
            server = ingress.server
            client.write(slow_request("vat-filing"))
            await until(lambda: any(c._input for c in server.connections.open))
            (first,) = attempted_backends(ingress, 100)
            client.write(following_input)
            disconnect_during(
                lambda: write_immediately(first.writers[-1], OK_RESPONSE), client, how, client_first
            )
            await asyncio.sleep(2 * REUSE_DELAY_S)  # until a connection can be reused
            await expect_attempt_only_if_client_stays(ingress, how, 0)

    run(test())


@each_way_to_disconnect
@pytest.mark.parametrize("request_location", ["unread", "in the listen queue"])
@pytest.mark.parametrize(
    "following_input", [b"", slow_request(number=501), slow_request(number=501)[:40]]
)
def test_request_unread_when_its_client_disconnected_is_not_forwarded(
    how: str, request_location: str, following_input: bytes
) -> None:
    async def test() -> None:
        async with ingress_with_idle_connections() as ingress:
            client = BlockingClient(ingress.address) if request_location == "unread" else None
            if client is not None:
                await until(lambda: len(ingress.server.connections.open) == 3)
            client = client or BlockingClient(ingress.address)
            client.write(slow_request() + following_input)
            disconnect_during(lambda: None, client, how, True)
            await until(
                lambda: (
                    how == "stays"
                    or not any(
                        c._sock.fileno() >= 0 and c.has_disconnected()
                        for c in ingress.server.connections.open
                    )
                )
            )
            await expect_attempt_only_if_client_stays(ingress, how, 0)

    run(test())


@each_way_to_disconnect
def test_unread_bytes_do_not_hide_that_a_client_has_disconnected(how: str) -> None:
    """A peek at the socket returns only the unread bytes, not the end of the input after them."""

    async def test() -> None:
        async with ingress_with_idle_connections() as ingress:
            client = BlockingClient(ingress.address)
            client.write(slow_request())
            await until_attempted(ingress)
            (writer,) = attempted_backends(ingress)[0].writers
            client.write(slow_request(number=501)[:40])
            disconnect_during(lambda: write_immediately(writer, NOT_STARTED), client, how, False)
            await expect_attempt_only_if_client_stays(ingress, how, 1)

    run(test())
