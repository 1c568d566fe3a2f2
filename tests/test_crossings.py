"""Two events that cross: each pair is forced by controlled peers or clocks. docs/crossings.md lists them."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest
from loopback import SETTINGS, Peer, answer, request, run, silence, target, until, world
from test_outcomes import Outcomes

from tamarindfold.interface import BackendEntry, BackendState, FleetUpdate, ListKind, Outcome
from troutdock.backends import REST_S, Attempt, Connection, Pool

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class Dials:
    """Connections to backends come up only when the test lets them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.let = asyncio.Event()
        self.begun = 0
        original = Pool._open

        async def late(pool: Pool, attempt: Attempt) -> None:
            self.begun += 1
            await self.let.wait()
            await original(pool, attempt)

        monkeypatch.setattr(Pool, "_open", late)


# ---- a hand-over while an attempt waits for its connection


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.GONE])
def test_what_waits_for_a_connection_is_not_written_once_its_backend_leaves(
        state: BackendState, monkeypatch: pytest.MonkeyPatch) -> None:
    """A dial time-out may be longer than the grace of a drain: the connection would come up after that."""
    async def test() -> None:
        peer, dials = Peer(answer()), Dials(monkeypatch)
        await peer.start()
        outcomes = Outcomes(peer.port)
        attempt = outcomes.start()
        await until(lambda: dials.begun == 1)
        outcomes.backends.follow(FleetUpdate(ListKind.CHANGES, [BackendEntry(1, state)]))
        assert not attempt.over  # the list is taken in first
        dials.let.set()
        await until(lambda: attempt.over and outcomes.backends.open == 0)
        assert [(a, o) for a, o, _ in outcomes.ended] == [(attempt, Outcome.MOOT)]
        assert peer.requests == [] and peer.connections == 0
        peer.stop()
    run(test())


def test_what_waits_for_a_connection_is_not_written_once_its_backend_is_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        peer, dials = Peer(answer()), Dials(monkeypatch)
        await peer.start()
        outcomes = Outcomes(peer.port)
        attempt = outcomes.start()
        await until(lambda: dials.begun == 1)
        outcomes.backends.place(1, ("127.0.0.1", 1))
        dials.let.set()
        await until(lambda: attempt.over)
        assert outcomes.ended[0][1] is Outcome.MOOT and peer.requests == []
        peer.stop()
    run(test())


def test_a_connection_that_came_up_as_its_backend_left_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dial can't be cancelled any more: what it brought serves nobody."""
    async def test() -> None:
        peer = Peer(answer())
        await peer.start()
        outcomes = Outcomes(peer.port)

        class Leaving(Connection):
            def __init__(self, pool: Pool, sock: socket.socket) -> None:
                super().__init__(pool, sock)
                assert attempt.opening is None and not attempt.over
                outcomes.backends.follow(FleetUpdate(ListKind.CHANGES, [BackendEntry(1, BackendState.GONE)]))

        monkeypatch.setattr("troutdock.backends.Connection", Leaving)
        attempt = outcomes.start()
        await until(lambda: attempt.over and outcomes.backends.open == 0)
        assert outcomes.ended[0][1] is Outcome.MOOT and peer.requests == []
        peer.stop()
    run(test())


def test_a_request_whose_backend_drains_while_its_connection_comes_up_goes_elsewhere(
        monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever its class: it surely never ran."""
    async def test() -> None:
        changes: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

        async def lists(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                body = await changes
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        dials = Dials(monkeypatch)
        async with world(answer(b"first"), answer(b"second"), discovery=lists) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout="20.000"))
            await until(lambda: dials.begun == 1)
            ((pool, _),) = [(p, a) for p in w.service._ingress.backends._pools.values() for a in p.waiting]
            drained = next(n for n, b in enumerate(w.backends) if b.port == pool.endpoint[1])
            changes.set_result(json.dumps({"rev": 6, "all": False, "targets": [
                target(w.backends[drained], f"s-{drained}", "leaving")]}).encode())
            await until(lambda: dials.begun == 2)
            dials.let.set()
            status, _, body = await client.answer()
            assert (status, body) == (200, (b"second", b"first")[drained])
            assert w.backends[drained].requests == []
    run(test())


# ---- an attempt's end and the next one


@pytest.mark.parametrize("cut", [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"noise that is no answer\r\n\r\n"])
def test_an_attempt_is_over_for_its_backend_before_the_next_is_written(cut: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where no second copies are allowed the first connection ends first, not in the next turn of the loop."""
    async def test() -> None:
        seen: list[bytes | None] = []
        cut_off: list[asyncio.StreamWriter] = []
        original = Connection.start

        def start(connection: Connection, attempt: Attempt) -> None:
            for writer in cut_off:  # what its backend sees at this moment
                with socket.socket(fileno=socket.dup(writer.transport.get_extra_info("socket").fileno())) as peek:
                    try:
                        seen.append(peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
                    except BlockingIOError:
                        seen.append(None)
            original(connection, attempt)

        async def spoil(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            cut_off.append(writer)
            for other in w.backends:
                other.script = answer()
            writer.write(cut)

        alone: dict[str, Any] = {"permissions": SETTINGS["permissions"] | {"parallel_tries": False}}
        async with world(silence, silence, settings=alone) as w:
            client = await w.client()
            for number in range(2):  # a standing connection to each
                (await w.client()).writer.write(request("ledger-read", number, Request_Timeout="20.000"))
                await until(lambda n=number: sum(len(b.requests) for b in w.backends) == n + 1)
            for backend in w.backends:
                backend.writers[0].write(OK)
            await until(lambda: sum(len(p.idle) for p in w.service._ingress.backends._pools.values()) == 2)
            await asyncio.sleep(2 * REST_S)
            for backend in w.backends:
                backend.script = spoil
            monkeypatch.setattr(Connection, "start", start)
            assert (await client.ask(request("ledger-read", 2, Request_Timeout="20.000")))[0] == 200
            assert [b.connections for b in w.backends] == [1, 1] and seen == [b""]
    run(test())
