"""No attempt begins once its client has gone, wherever its request waits and however busy the loop is.

Each test holds the loop while the client leaves and while what would start the attempt becomes ready, so that both
meet in one turn of it: an attempt that begins then begins longer than 0.1 s after the client left. The same step with
a client that stays shows each time that the attempt would have begun.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest

from sumacpost.server.connection import MAX_PIPELINED
from sumacpost.upstream.connection import BackendConnection
from sumacpost.upstream.pool import REUSE_DELAY_S, ConnectionPool
from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.event_loop import run, until
from tests.support.http_client import HeldClient, request
from tests.support.ingress import world
from tests.support.peers import Peer, answer, end_now, silence, write_now

HOLD_S = 0.15  # more than the 0.1 s after which an attempt of a client that has gone is a break
SILENT = "60.000"  # a client's time that no step of a test takes
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
TURNED_AWAY = b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
NUMBER = 500  # of the request whose client leaves

each_way_to_go = pytest.mark.parametrize("how", ["closed", "reset", "half closed", "stays"])
either_order = pytest.mark.parametrize("gone_first", [True, False])


def attempts(w: Any, number: int = NUMBER) -> list[Peer]:
    """The backends that got this request."""
    return [b for b in w.backends for data in b.requests if b"%016x" % number in data]


def ask(cls: str = "ledger-read", number: int = NUMBER, **changes: str | None) -> bytes:
    return request(cls, number, Request_Timeout=SILENT, **changes)


def pools(w: Any) -> list[ConnectionPool]:
    return list(w.service._ingress.backends._pools.values())


@asynccontextmanager
async def warm(backends: int = 2, each: int = 1, **changes: Any) -> AsyncIterator[Any]:
    """An ingress with so many rested connections to each of its backends, which say nothing from then on."""
    async with world(*[silence] * backends, **changes) as w:
        for number in range(backends * each):
            (await w.client()).writer.write(ask(number=number))
            await until(lambda n=number: len(attempts(w, n)) == 1)
        assert [b.connections for b in w.backends] == [each] * backends
        for backend in w.backends:
            for writer in backend.writers:
                writer.write(OK)
        await until(lambda: [len(p.idle) for p in pools(w)] == [each] * backends)
        await asyncio.sleep(2 * REUSE_DELAY_S)
        yield w


def meet(
    client: HeldClient,
    how: str,
    event: Callable[[], object],
    gone_first: bool,
    hold_s: float = HOLD_S,
) -> None:
    """Hold the loop while the client leaves and the event comes."""
    if gone_first:
        client.leave(how)
        event()
    else:
        event()
        client.leave(how)
    time.sleep(hold_s)


async def expect(w: Any, how: str, before: int) -> None:
    """One attempt more than before where the client stays; none where it has gone, though others are served."""
    ingress = w.service._ingress
    if how == "stays":
        await until(lambda: len(attempts(w)) == before + 1)
        return
    await until(
        lambda: not any(c.request.id == b"%016x" % NUMBER for c in ingress._pending.values())
    )
    for backend in w.backends:
        backend.script = answer()
    assert (await w.ask(ask(number=900)))[
        0
    ] == 200  # whatever was written before it has come by now
    assert len(attempts(w)) == before
    assert NUMBER not in [int(c.request.id, 16) for c in ingress._pending.values()]


# ---- waiting for the counter


@each_way_to_go
@either_order
@pytest.mark.parametrize("event", ["it grants", "it is lost"])
def test_counter_reply_starts_no_attempt_for_a_client_that_left_in_that_turn(
    how: str, gone_first: bool, event: str
) -> None:
    run(_counter(how, gone_first, event))


@each_way_to_go
def test_counter_timeout_starts_no_attempt_for_a_client_that_left(how: str) -> None:
    """Its time-out is a timer: in a late turn of the loop it comes before any socket is looked at."""
    run(_counter(how, True, "it is silent"))


async def _counter(how: str, gone_first: bool, event: str) -> None:
    async def count(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        total[0] += float(
            call.split()[2]
        )  # as a counter would: else the gateway puts it right again and again
        if not held:
            writer.write(reply())

    def reply() -> bytes:
        return b"$%d\r\n%b\r\n" % (len(text := b"%.6f" % total[0]), text)

    total, held = [0.0], [True]
    held.clear()
    wait_ms = 4000.0 if event != "it is silent" else 250.0  # a fourth of what it is waited for
    patient = {"extra": SETTINGS["extra"] | {"count_wait": wait_ms}}
    async with warm(1, counter=count, read_counter=read_counter_call, settings=patient) as w:
        held.append(True)
        client = HeldClient(w.address)
        gateway, calls = w.service._ingress._gateway, len(w.counter.requests)
        client.write(
            ask(
                "vat-filing",
                Plan="basis",
                Account="0000000000000077",
                Quota_Info="units=6,spread=3,first=0",
            )
        )
        await until(
            lambda: any(
                call.request for calls in gateway.quota_sync.unanswered.values() for call in calls
            )
        )
        await until(lambda: len(w.counter.requests) > calls)
        assert not attempts(w)
        writer = w.counter.writers[0]
        happen = {
            "it grants": lambda: write_now(writer, reply()),
            "it is lost": lambda: end_now(writer),
            "it is silent": lambda: None,
        }[event]
        held.clear()
        meet(client, how, happen, gone_first, 1.1 if event == "it is silent" else HOLD_S)
        await expect(w, how, 0)


# ---- waiting for a further attempt or a second copy


@each_way_to_go
@either_order
@pytest.mark.parametrize("event", ["turned away", "spoilt", "ended"])
def test_no_retry_follows_an_attempt_that_fails_as_its_client_leaves(
    how: str, gone_first: bool, event: str
) -> None:
    async def test() -> None:
        async with warm() as w:
            client = HeldClient(w.address)
            client.write(ask())
            await until(lambda: len(attempts(w)) == 1)
            (writer,) = attempts(w)[0].writers
            happen = {
                "turned away": lambda: write_now(writer, TURNED_AWAY),
                "spoilt": lambda: write_now(writer, b"noise that is no answer\r\n\r\n"),
                "ended": lambda: end_now(writer),
            }[event]
            meet(client, how, happen, gone_first)
            await expect(w, how, 1)

    run(test())


def soon_overdue() -> dict[str, Any]:
    """Settings by which a second copy follows within a second or so."""
    return {"categories": [c | {"aim": 500.0} for c in SETTINGS["categories"]]}


def until_overdue(w: Any) -> float:
    """How long until the attempt that is out is overdue, and a little."""
    ingress = w.service._ingress
    backends = ingress._gateway.endpoints.backends.values()
    (due,) = [sent.overdue_at for b in backends for sent in b.in_flight.values()]
    return (due - ingress._clock.now()) / 1000 + 0.05


@each_way_to_go
@pytest.mark.parametrize("late", [True, False])
def test_no_hedged_request_follows_for_a_client_that_left_before_its_timer(
    how: str, late: bool
) -> None:
    """In a late turn of the loop timers come before any socket is looked at."""

    async def test() -> None:
        async with warm(settings=soon_overdue()) as w:
            client = HeldClient(w.address)
            client.write(ask())
            await until(lambda: len(attempts(w)) == 1)
            wait_s = until_overdue(w)
            if late:  # it leaves when the timer is due already
                time.sleep(wait_s)
                wait_s = HOLD_S
            meet(client, how, lambda: None, True, wait_s)
            await expect(w, how, 1)

    run(test())


# ---- waiting for a connection


class Dial:
    """Does something, once, at one moment of a connection's coming up."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, moment: str) -> None:
        self.at: Callable[[], None] | None = None
        init, made = BackendConnection.__init__, BackendConnection.connection_made

        def connected(
            connection: BackendConnection, pool: ConnectionPool, sock: socket.socket
        ) -> None:
            init(connection, pool, sock)
            self._happen(moment == "connected")

        def connection_made(
            connection: BackendConnection, transport: asyncio.BaseTransport
        ) -> None:
            made(connection, transport)
            self._happen(moment == "ready")

        monkeypatch.setattr(BackendConnection, "__init__", connected)
        monkeypatch.setattr(BackendConnection, "connection_made", connection_made)

    def _happen(self, now: bool) -> None:
        if now and self.at is not None:
            at, self.at = self.at, None
            at()


@each_way_to_go
@pytest.mark.parametrize("moment", ["connected", "ready"])
@pytest.mark.parametrize("which", ["first", "further", "second copy"])
def test_connection_opened_as_its_client_leaves_carries_no_attempt(
    how: str, moment: str, which: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection dialled is no attempt: that begins with its bytes, a turn of the loop or two later."""
    dial = Dial(monkeypatch, moment)

    async def test() -> None:
        async with warm(settings=soon_overdue()) as w:
            client = HeldClient(w.address)
            if which == "first":
                for pool in pools(w):
                    pool.idle[0].close()
            else:
                client.write(ask())
                await until(lambda: len(attempts(w)) == 1)
                for pool in pools(w):
                    if pool.idle:
                        pool.idle[0].close()
            dial.at = lambda: meet(client, how, lambda: None, True)
            before = len(attempts(w))
            if which == "first":
                client.write(ask())
            elif which == "further":
                write_now(attempts(w)[0].writers[0], TURNED_AWAY)
            await until(lambda: dial.at is None)
            await expect(w, how, before)

    run(test())


# ---- waiting behind others, unread, or at the door


@each_way_to_go
@either_order
@pytest.mark.parametrize("behind", [b"", ask(number=501), ask(number=501)[:40]])
def test_unread_request_is_not_forwarded_if_its_client_leaves_as_a_response_goes_out(
    how: str, gone_first: bool, behind: bytes
) -> None:
    """More that the client sent may stand unread before its end."""

    async def test() -> None:
        async with warm(MAX_PIPELINED) as w:
            client = HeldClient(w.address)
            for number in range(100, 100 + MAX_PIPELINED):
                client.write(ask("vat-filing", number))
                await until(lambda n=number: len(attempts(w, n)) == 1)
            server = w.service._server
            client.write(ask("vat-filing"))
            await until(lambda: any(c._unread for c in server.connections.open))
            (first,) = attempts(w, 100)
            client.write(behind)
            meet(client, how, lambda: write_now(first.writers[-1], OK), gone_first)
            await asyncio.sleep(2 * REUSE_DELAY_S)  # a connection that it could have
            await expect(w, how, 0)

    run(test())


@each_way_to_go
@pytest.mark.parametrize("where", ["unread", "at the door"])
@pytest.mark.parametrize("behind", [b"", ask(number=501), ask(number=501)[:40]])
def test_request_unread_when_its_client_left_is_not_forwarded(
    how: str, where: str, behind: bytes
) -> None:
    async def test() -> None:
        async with warm() as w:
            client = HeldClient(w.address) if where == "unread" else None
            if client is not None:
                await until(lambda: len(w.service._server.connections.open) == 3)
            client = client or HeldClient(w.address)
            client.write(ask() + behind)
            meet(client, how, lambda: None, True)
            await until(
                lambda: (
                    how == "stays"
                    or not any(
                        c._sock.fileno() >= 0 and c.has_disconnected()
                        for c in w.service._server.connections.open
                    )
                )
            )
            await expect(w, how, 0)

    run(test())


@each_way_to_go
def test_unread_bytes_do_not_hide_that_a_client_left(how: str) -> None:
    """A further request of the client stands unread before its end, so that a peek would show no end."""

    async def test() -> None:
        async with warm() as w:
            client = HeldClient(w.address)
            client.write(ask())
            await until(lambda: len(attempts(w)) == 1)
            (writer,) = attempts(w)[0].writers
            client.write(ask(number=501)[:40])
            meet(client, how, lambda: write_now(writer, TURNED_AWAY), False)
            await expect(w, how, 1)

    run(test())
