"""Two events that cross at a backend's connection. docs/crossings.md lists these pairs."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

import pytest

from sumacpost.model import Endpoint, EndpointListUpdate, EndpointStatus, Outcome, UpdateKind
from sumacpost.upstream.pool import REST_S, Attempt, BackendConnection, ConnectionPool
from tests.support.attempts import Outcomes
from tests.support.configuration import SETTINGS
from tests.support.dials import Dials
from tests.support.discovery_agent import target
from tests.support.event_loop import run, until
from tests.support.http_client import OK, request
from tests.support.ingress import world
from tests.support.peers import Peer, answer, silence


@pytest.mark.parametrize("state", [EndpointStatus.DRAINING, EndpointStatus.GONE])
def test_what_waits_for_a_connection_is_not_written_once_its_backend_leaves(
    state: EndpointStatus, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A dial time-out may be longer than the grace of a drain: the connection would come up after that."""

    async def test() -> None:
        peer, dials = Peer(answer()), Dials(monkeypatch)
        await peer.start()
        outcomes = Outcomes(peer.port)
        attempt = outcomes.start()
        await until(lambda: dials.begun == 1)
        outcomes.backends.follow(EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(1, state)]))
        assert not attempt.over  # the list is taken in first
        dials.let.set()
        await until(lambda: attempt.over and outcomes.backends.open == 0)
        assert [(a, o) for a, o, _ in outcomes.ended] == [(attempt, Outcome.SKIPPED)]
        assert peer.requests == [] and peer.connections == 0
        peer.stop()

    run(test())


def test_what_waits_for_a_connection_is_not_written_once_its_backend_is_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        peer, dials = Peer(answer()), Dials(monkeypatch)
        await peer.start()
        outcomes = Outcomes(peer.port)
        attempt = outcomes.start()
        await until(lambda: dials.begun == 1)
        outcomes.backends.place(1, ("127.0.0.1", 1))
        dials.let.set()
        await until(lambda: attempt.over)
        assert outcomes.ended[0][1] is Outcome.SKIPPED and peer.requests == []
        peer.stop()

    run(test())


def test_a_connection_that_came_up_as_its_backend_left_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The dial can't be cancelled any more: what it brought serves nobody."""

    async def test() -> None:
        peer = Peer(answer())
        await peer.start()
        outcomes = Outcomes(peer.port)

        class Leaving(BackendConnection):
            def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                super().__init__(pool, sock)
                assert attempt.opening is None and not attempt.over
                outcomes.backends.follow(
                    EndpointListUpdate(UpdateKind.CHANGES, [Endpoint(1, EndpointStatus.GONE)])
                )

        monkeypatch.setattr("sumacpost.upstream.pool.BackendConnection", Leaving)
        attempt = outcomes.start()
        await until(lambda: attempt.over and outcomes.backends.open == 0)
        assert outcomes.ended[0][1] is Outcome.SKIPPED and peer.requests == []
        peer.stop()

    run(test())


def test_a_request_whose_backend_drains_while_its_connection_comes_up_goes_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
            ((pool, _),) = [
                (p, a) for p in w.service._ingress.backends._pools.values() for a in p.waiting
            ]
            drained = next(n for n, b in enumerate(w.backends) if b.port == pool.endpoint[1])
            changes.set_result(
                json.dumps(
                    {
                        "rev": 6,
                        "all": False,
                        "targets": [target(w.backends[drained], f"s-{drained}", "leaving")],
                    }
                ).encode()
            )
            await until(lambda: dials.begun == 2)
            dials.let.set()
            status, _, body = await client.answer()
            assert (status, body) == (200, (b"second", b"first")[drained])
            assert w.backends[drained].requests == []

    run(test())


@pytest.mark.parametrize(
    "cut", [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", b"noise that is no answer\r\n\r\n"]
)
def test_an_attempt_is_over_for_its_backend_before_the_next_is_written(
    cut: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where no second copies are allowed the first connection ends first, not in the next turn of the loop."""

    async def test() -> None:
        seen: list[bytes | None] = []
        cut_off: list[asyncio.StreamWriter] = []
        original = BackendConnection.start

        def start(connection: BackendConnection, attempt: Attempt) -> None:
            for writer in cut_off:  # what its backend sees at this moment
                with socket.socket(
                    fileno=socket.dup(writer.transport.get_extra_info("socket").fileno())
                ) as peek:
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
                (await w.client()).writer.write(
                    request("ledger-read", number, Request_Timeout="20.000")
                )
                await until(lambda n=number: sum(len(b.requests) for b in w.backends) == n + 1)
            for backend in w.backends:
                backend.writers[0].write(OK)
            await until(
                lambda: sum(len(p.idle) for p in w.service._ingress.backends._pools.values()) == 2
            )
            await asyncio.sleep(2 * REST_S)
            for backend in w.backends:
                backend.script = spoil
            monkeypatch.setattr(BackendConnection, "start", start)
            assert (await client.ask(request("ledger-read", 2, Request_Timeout="20.000")))[0] == 200
            assert [b.connections for b in w.backends] == [1, 1] and seen == [b""]

    run(test())


@pytest.mark.parametrize(
    ("said", "outcome"),
    [
        (OK, Outcome.OK),
        (b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
    ],
)
def test_an_answer_to_a_request_that_is_only_partly_written_ends_its_connection(
    said: bytes, outcome: Outcome
) -> None:
    """The rest of the request would stand before the next one."""

    async def test() -> None:
        async def first_bytes(reader: asyncio.StreamReader) -> bytes:
            return await reader.readexactly(10)

        async def early(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            peer.script = silence
            writer.transport.pause_reading()
            writer.write(said)

        peer = Peer(early, first_bytes)
        await peer.start()
        outcomes = Outcomes(peer.port)
        got, _ = await outcomes.outcome(b"x" * 50_000_000)
        assert got is outcome and outcomes.backends.open == 0
        peer.stop()

    run(test())


def test_a_connection_rests_for_longer_than_a_second_answer_takes() -> None:
    """Such answers came up to 4 ms late, by a clock of whole milliseconds: one that has rested for 7 may still meet one."""

    async def test() -> None:
        peer = Peer(answer())
        await peer.start()
        outcomes = Outcomes(peer.port)
        await outcomes.outcome()
        (connection,) = outcomes.backends._pools[1].idle
        connection.idle_since = asyncio.get_running_loop().time() - 0.007
        assert outcomes.start().connection is None  # it gets a connection of its own
        connection.idle_since = asyncio.get_running_loop().time() - 0.02
        assert outcomes.start().connection is connection
        await until(lambda: len(outcomes.ended) == 3)
        peer.stop()

    run(test())


def test_an_attempt_given_up_after_its_backend_moved_is_never_written() -> None:
    """Found by reading: it waited on in the pool that had been replaced, and was sent after its end."""

    async def test() -> None:
        from tests.support.attempts import Outcomes

        peer = Peer(silence)
        await peer.start()
        outcomes = Outcomes(peer.port)
        first = outcomes.start()
        await until(lambda: len(peer.requests) == 1)
        second = outcomes.start()
        old = second.pool
        outcomes.backends.place(1, ("127.0.0.1", 1))
        outcomes.backends.cancel(second)
        assert old is not None and not old.waiting
        peer.writers[0].write(OK)
        await until(lambda: first.over and outcomes.backends.open == 0)
        assert len(peer.requests) == 1
        peer.stop()

    run(test())


def test_a_backend_that_has_started_anew_gets_new_connections() -> None:
    async def test() -> None:
        from tests.support.attempts import Outcomes

        peer = Peer(answer())
        await peer.start()
        outcomes = Outcomes(peer.port)
        await outcomes.outcome()
        outcomes.backends.place(1, ("127.0.0.1", peer.port), 7.0)
        assert outcomes.backends.open == 0
        assert (await outcomes.outcome())[0] is Outcome.OK and peer.connections == 2
        peer.stop()

    run(test())
