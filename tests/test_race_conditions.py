"""Two events that cross: each pair is forced by controlled peers or clocks. docs/crossings.md lists them."""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import struct
from dataclasses import replace
from typing import Any

import pytest

from sumacpost.config import read_config
from sumacpost.counter.client import CounterClient
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.errors import ConfigError
from sumacpost.ingress import MARGIN_MS
from sumacpost.model import (
    AddToCounter,
    CounterReplied,
    Endpoint,
    EndpointListUpdate,
    EndpointStatus,
    Fail,
    Outcome,
    Plan,
    Reject,
    RequestCancelled,
    Send,
    SetTimer,
    TimerFired,
    UpdateKind,
)
from sumacpost.server.listener import MAX_PIPELINED
from sumacpost.service import serve
from sumacpost.upstream.pool import REST_S, Attempt, BackendConnection, ConnectionPool
from tests.support.attempts import Outcomes
from tests.support.builders import START, gateway
from tests.support.builders import ended as attempt_ended
from tests.support.builders import request as arrival
from tests.support.counter_calls import read_counter_call
from tests.support.loopback import (
    HEALTH,
    SETTINGS,
    Client,
    Peer,
    answer,
    request,
    run,
    silence,
    target,
    until,
    world,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class Dials:
    """Connections to backends come up only when the test lets them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.let = asyncio.Event()
        self.begun = 0
        original = ConnectionPool._open

        async def late(pool: ConnectionPool, attempt: Attempt) -> None:
            self.begun += 1
            await self.let.wait()
            await original(pool, attempt)

        monkeypatch.setattr(ConnectionPool, "_open", late)


# ---- a hand-over while an attempt waits for its connection


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


# ---- an attempt's end and the next one


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


# ---- a client that leaves


SILENT = "60.000"  # a client's time that no step of a test takes


def sent(w: Any) -> int:
    return sum(len(b.requests) for b in w.backends)


def leave(client: Client, how: str) -> None:
    if how == "reset":
        sock = client.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_what_stands_behind_others_is_dropped_with_its_client(how: str) -> None:
    """With eight answers owed no more is read from the client; its end has to be seen all the same."""

    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            (connection,) = w.service._server._clients
            for number in (50, 51):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
            await until(
                lambda: (
                    connection._held_size
                    == len(request("vat-filing", 50, Request_Timeout=SILENT)) * 2
                )
            )
            leave(client, how)
            await until(lambda: not w.service._server._clients and not w.service._ingress._calls)
            await until(lambda: sum(b.closed for b in w.backends) == MAX_PIPELINED)
            assert sent(w) == MAX_PIPELINED and w.service._ingress.backends.open == 0

    run(test())


def test_what_stands_behind_others_is_read_once_they_are_answered_and_its_time_counts_from_its_coming() -> (
    None
):
    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            (connection,) = w.service._server._clients
            client.writer.write(request("vat-filing", 50, Request_Timeout="5.000"))
            await until(lambda: connection._held_size > 0)
            await asyncio.sleep(0.05)  # time that it loses
            for backend in w.backends:
                backend.script = answer()
                for writer in backend.writers:
                    writer.write(OK)
            assert [(await client.answer())[0] for _ in range(MAX_PIPELINED + 1)] == [200] * (
                MAX_PIPELINED + 1
            )
            (told,) = [r for b in w.backends for r in b.requests if b"%016x" % 50 in r]
            left = float(told.lower().split(b"request-timeout: ")[1].split(b"\r\n")[0])
            assert left <= 5 - 0.05 - MARGIN_MS / 1000

    run(test())


def test_more_than_may_be_held_ends_the_connection_after_the_answers_owed() -> None:
    async def test() -> None:
        async with world(*[silence] * 8) as w:
            client = await w.client()
            for number in range(MAX_PIPELINED):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            client.writer.write(
                b"".join(request("vat-filing", 100 + n) for n in range(400))
            )  # some 90 KB
            (connection,) = w.service._server._clients
            await until(lambda: connection._deaf)
            assert connection._held_size == 0
            for backend in w.backends:
                for writer in backend.writers:
                    writer.write(OK)
            assert [(await client.answer())[0] for _ in range(MAX_PIPELINED)] == [
                200
            ] * MAX_PIPELINED
            assert (await client.answer())[0] == 429
            assert await client.reader.read() == b"" and sent(w) == MAX_PIPELINED

    run(test())


def test_a_client_that_takes_no_answers_is_read_no_further() -> None:
    """Its answers would pile up here without end."""

    async def test() -> None:
        async with world(answer(b"x" * 60_000)) as w:
            client = await w.client()
            client.writer.transport.pause_reading()
            number = 0
            while not (
                w.service._server._clients
                and (connection := next(iter(w.service._server._clients)))._choked
            ):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                number += 1
                await until(lambda: not connection._exchanges or connection._choked)
                await asyncio.sleep(0)
            before = sent(w)
            client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
            await until(lambda: connection._held_size > 0)
            assert sent(w) == before
            client.writer.transport.resume_reading()
            told = [(await client.answer())[0] for _ in range(number + 1)]
            assert 200 in told and not connection._held

    run(test())


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_a_request_whose_client_left_before_it_was_read_is_not_sent_on(how: str) -> None:
    """It waited at the door, in the kernel's hands; a connection to its backend stands ready to be written to."""

    async def test() -> None:
        async with world(answer()) as w:
            server, seen = w.service._server, []
            assert (await w.ask(request("vat-filing")))[0] == 200
            await asyncio.sleep(2 * REST_S)
            server._pause()
            late = await w.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=SILENT))
            await until(lambda: not late.writer.transport.get_write_buffer_size())
            leave(late, how)
            admitted = server.admit
            server.admit = lambda connection: (seen.append(connection), admitted(connection))
            server._resume()
            await until(lambda: len(seen) == 1 and seen[0] not in server._clients)
            assert (await w.ask(request("vat-filing", 51)))[
                0
            ] == 200  # whatever was written before it has come by now
            assert sent(w) == 2

    run(test())


def test_one_at_the_door_comes_in_as_soon_as_a_client_has_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by reading: it waited until a connection ended, though one between requests makes room."""
    monkeypatch.setattr("sumacpost.server.listener.IDLE_S", 1000.0)

    async def test() -> None:
        async with world(*[silence] * 8, sockets=64) as w:
            for number in range(8):
                (await w.client()).writer.write(
                    request("vat-filing", number, Request_Timeout=SILENT)
                )
                await until(lambda n=number: sent(w) == n + 1)
            late = await w.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=SILENT))
            await until(lambda: not w.service._server._accepting)
            w.backends[0].writers[0].write(OK)
            await until(lambda: sent(w) == 9)

    run(test())


def test_what_waits_for_a_connection_is_dropped_with_its_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        dials = Dials(monkeypatch)
        async with world(answer()) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout=SILENT))
            await until(lambda: dials.begun == 1)
            leave(client, "closed")
            await until(lambda: not w.service._server._clients)
            dials.let.set()
            await until(lambda: w.service._ingress.backends.open == 0)
            assert sent(w) == 0 and not w.service._ingress._gateway.calls
            assert (await w.ask(request("vat-filing", 2)))[0] == 200 and sent(w) == 1

    run(test())


def test_what_waits_for_the_counter_is_dropped_with_its_client() -> None:
    async def test() -> None:
        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            total[0] += float(
                call.split()[2]
            )  # as a counter would: else the gateway puts it right again and again
            await let.wait()
            writer.write(b"$%d\r\n%b\r\n" % (len(text := b"%.6f" % total[0]), text))

        let, total = asyncio.Event(), [0.0]
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 4000.0}}
        async with world(
            answer(), counter=late, read_counter=read_counter_call, settings=patient
        ) as w:
            client = await w.client()
            client.writer.write(
                request(Plan="basis", Request_Timeout=SILENT, Quota_Info="units=6,spread=3,first=0")
            )
            gateway = w.service._ingress._gateway
            await until(
                lambda: any(call for asked in gateway.counts.values() for *_, call in asked)
            )
            leave(client, "closed")
            await until(lambda: not w.service._server._clients)
            let.set()
            await until(
                lambda: not any(call for asked in gateway.counts.values() for *_, call in asked)
            )
            assert sent(w) == 0 and not gateway.calls

    run(test())


@pytest.mark.parametrize(
    "outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT]
)
@pytest.mark.parametrize("left_first", [True, False])
def test_a_client_that_leaves_as_an_attempt_ends_gets_no_further_one(
    outcome: Outcome, left_first: bool
) -> None:
    """Either order within one turn of the loop; the timer for a second copy comes after both."""
    g = gateway(1, 2, 3, hedging=True)
    send, timer = g.handle(START, arrival(1))
    assert isinstance(send, Send) and isinstance(timer, SetTimer)
    over = replace(attempt_ended(1, send.backend, outcome, took=5.0), concluded=left_first)
    events = [RequestCancelled(1), over] if left_first else [over, RequestCancelled(1)]
    first, second = (g.handle(START + 5, event) for event in events)
    assert not any(isinstance(a, Send) for a in (first if left_first else second))
    assert not any(isinstance(a, Send) for a in (second if left_first else []))
    assert g.handle(START + timer.after_ms, TimerFired(timer.label)) == [] and not g.calls


# ---- the end of service


def test_answers_owed_on_one_connection_all_come_though_service_ends_between_them() -> None:
    async def test() -> None:
        async with world(silence, silence) as w:
            client = await w.client()
            for number in range(2):
                client.writer.write(request("vat-filing", number, Request_Timeout=SILENT))
                await until(lambda n=number: sent(w) == n + 1)
            w.stop.set()
            await until(lambda: w.service._server.draining)
            for backend in w.backends:
                backend.writers[0].write(OK)
            first, second = await client.answer(), await client.answer()
            assert (first[0], second[0]) == (200, 200)
            assert b"Connection: close" not in first[1] and b"Connection: close" in second[1]
            assert await client.reader.read() == b""
            await w.task

    run(test())


def test_a_client_that_asks_once_and_says_so_is_waited_for_like_any_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With Connection: close it was taken for one that had not brought its request, and dropped after 2 s."""
    monkeypatch.setattr("sumacpost.server.listener.MESSAGE_S", 0.1)
    monkeypatch.setattr("sumacpost.service.SWEEP_S", 0.02)

    async def test() -> None:
        async with world(silence) as w:
            client = await w.client()
            client.writer.write(
                request("vat-filing", Request_Timeout=SILENT, BackendConnection="close")
            )
            await until(lambda: sent(w) == 1)
            server = w.service._server
            (connection,) = server._clients
            assert connection not in server.waiting._since
            await asyncio.sleep(0.3)  # three times what a message may take
            w.backends[0].writers[0].write(OK)
            assert (await client.answer())[0] == 200
            assert await client.reader.read() == b""

    run(test())


def test_what_comes_late_in_a_drain_is_answered_before_the_process_is_killed() -> None:
    """SIGKILL comes the longest deadline and 0.7 s after SIGTERM, a request up to a second after it."""

    async def test() -> None:
        async with world(silence) as w:
            w.stop.set()
            await until(lambda: w.service._server.draining)
            late = await w.client()
            late.writer.write(request("ledger-read", Request_Timeout=SILENT))
            await until(lambda: sent(w) == 1)
            (call,) = w.service._ingress._calls.values()
            longest = max(c["hard_limit"] for c in SETTINGS["categories"])
            assert (
                call.deadline
                <= w.service._ingress._answer_by
                < w.service._ingress._clock.now() + longest + 700
            )
            told = float(
                w.backends[0].requests[0].lower().split(b"request-timeout: ")[1].split(b"\r\n")[0]
            )
            assert told < (longest + 700) / 1000
            w.backends[0].writers[0].write(OK)
            assert (await late.answer())[0] == 200
            await w.task

    run(test())


def test_who_stands_at_the_door_as_it_closes_gets_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All eight places are taken: the listener was closed, and the ninth was reset with its request."""
    for name in ("DRAIN_ACCEPT_S", "DRAIN_QUIET_S", "DRAIN_MOST_S"):
        monkeypatch.setattr(f"sumacpost.server.listener.{name}", 0.05)
    monkeypatch.setattr("sumacpost.server.listener.DRAIN_DOOR_S", 1000.0)

    async def test() -> None:
        async with world(*[silence] * 8, sockets=64) as w:
            for number in range(8):
                (await w.client()).writer.write(
                    request("vat-filing", number, Request_Timeout=SILENT)
                )
                await until(lambda n=number: sent(w) == n + 1)
            late = await w.client()
            late.writer.write(request("vat-filing", 50, Request_Timeout=SILENT))
            await until(lambda: not w.service._server._accepting)
            w.stop.set()
            await asyncio.sleep(0.3)  # long past the time at which it would have closed
            for backend in w.backends:
                backend.script = answer()
                backend.writers[0].write(OK)
            assert (await late.answer())[0] == 200
            await w.task

    run(test())


def test_the_door_stays_shut_where_the_end_comes_before_it_opens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM while the counter is first tried: nobody has come in yet."""

    async def test() -> None:
        tried: list[asyncio.Event] = []

        async def hang(counter: CounterClient, first_try: asyncio.Event) -> None:
            tried.append(first_try)
            await asyncio.Event().wait()

        monkeypatch.setattr(CounterClient, "run", hang)
        extra = SETTINGS["extra"] | {"has_counter": True}
        config = read_config(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "counter": "127.0.0.1:1",
                    "settings": SETTINGS | {"extra": extra},
                }
            )
        )
        stop, opened = asyncio.Event(), []
        task = asyncio.create_task(serve(config, stop, opened.append))
        await until(lambda: bool(tried))
        stop.set()
        tried[0].set()
        await task
        assert not opened

    run(test())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EPROTO, errno.EPERM])
def test_an_accept_that_fails_ends_nothing(error: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """One in the drain would have ended the process, with all that it had taken."""

    async def test() -> None:
        async with world(silence) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout=SILENT))
            await until(lambda: sent(w) == 1)
            listener = w.service._server._listener

            class Failing:
                def accept(self) -> Any:
                    raise OSError(error, "no")

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            w.service._server._listener = Failing()
            w.stop.set()
            await asyncio.sleep(0.5)  # the door would be closed by now
            w.backends[0].writers[0].write(OK)
            assert (await client.answer())[0] == 200
            await w.task

    run(test())


# ---- the watch of discovery


def test_the_return_of_a_silent_agent_is_seen_within_the_grace_of_a_drain() -> None:
    """What the agent has at its return counts as told at once; a call that may wait for a second would come too late."""

    async def test() -> None:
        async with world(silence) as w:
            await until(lambda: len(w.discovery.requests) == 2)  # the first watch fell silent
            watch, after = (r.split()[1] for r in w.discovery.requests)
            assert (watch, after) == (
                b"/v1/servers?from=5&hold_ms=1000",
                b"/v1/servers?from=5&hold_ms=1",
            )
            body = json.dumps(
                {"rev": 6, "all": False, "targets": [target(w.backends[0], "s-0", "leaving")]}
            ).encode()
            w.discovery.writers[-1].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await until(lambda: len(w.discovery.requests) == 3)
            assert (
                w.discovery.requests[2].split()[1] == b"/v1/servers?from=6&hold_ms=1000"
            )  # a watch again
            assert (await w.ask(request()))[0] == 429  # the only backend drains

    run(test())


@pytest.mark.parametrize(("grace_s", "late_s"), [(1.0, 0.5), (0.4, 0.2), (60.0, 0.5), (0.0, 0.1)])
def test_an_agent_is_taken_for_silent_well_within_the_grace_of_a_drain(
    grace_s: float, late_s: float
) -> None:
    watch = DiscoveryWatch(
        ("127.0.0.1", 1), EndpointListReader((), ()), 0, lambda *_: None, grace_s
    )
    assert watch._late_s == late_s


def test_a_list_indented_and_in_pieces_is_read_whole() -> None:
    async def test() -> None:
        extra = Peer(answer(b"new"))
        await extra.start()

        async def pieces(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                body = json.dumps(
                    {"rev": 6, "all": True, "targets": [target(extra, "s-9")]}, indent=4
                ).encode()
                for byte in b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body):
                    writer.write(bytes([byte]))
                    await writer.drain()

        async with world(answer(b"old"), discovery=pieces) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert (await w.ask(request()))[2] == b"new"
        extra.stop()

    run(test())


def test_a_move_while_a_list_is_coming_believes_the_new_agent_alone() -> None:
    """The first half of the old agent's list is in when SIGHUP comes; the rest follows in the same turn of the loop."""

    async def test() -> None:
        old, new = Peer(answer(b"old")), Peer(answer(b"new"))
        for peer in (old, new):
            await peer.start()

        def listed(peer: Peer, uid: str, rev: int) -> bytes:
            body = json.dumps({"rev": rev, "all": True, "targets": [target(peer, uid)]}).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

        async def tell(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.write(listed(new, "s-new", 2))

        agent = Peer(tell)
        await agent.start()
        async with world(answer(b"first")) as w:
            await until(lambda: len(w.discovery.requests) == 1)
            stale = listed(old, "s-old", 9)
            w.discovery.writers[0].write(stale[:60])
            await asyncio.sleep(0.02)
            config = read_config(json.dumps(w.config | {"discovery": agent.address}))
            w.discovery.writers[0].write(stale[60:])
            w.service.reload(config)
            w.service.reload(config)  # twice in a row
            await until(lambda: len(agent.requests) >= 2)
            assert agent.requests[-1].split()[1].startswith(b"/v1/servers?from=2&")
            assert (await w.ask(request()))[2] == b"new"
        for peer in (agent, old, new):
            peer.stop()

    run(test())


def test_a_new_configuration_in_the_midst_of_a_drain_changes_nothing_that_is_owed() -> None:
    async def test() -> None:
        async with world(silence) as w:
            client = await w.client()
            client.writer.write(request("vat-filing", Request_Timeout=SILENT))
            await until(lambda: sent(w) == 1)
            w.stop.set()
            await until(lambda: w.service._server.draining)
            for _ in range(2):
                w.service.reload(read_config(json.dumps(w.config)))
            w.backends[0].writers[0].write(OK)
            assert (await client.answer())[0] == 200
            await w.task
            w.service.reload(read_config(json.dumps(w.config)))  # after the end no task begins anew
            watch = w.service._watch._task
            await until(watch.done)

    run(test())


# ---- what the settings say


def test_no_return_time_where_the_settings_give_none() -> None:
    for allowed in (True, False):
        g = gateway(plans=(Plan(rate=1, burst=1),), retry_after=allowed)
        refusals = [
            a
            for n in range(5)
            for a in g.handle(START, arrival(n, units=1.0))
            if isinstance(a, Reject)
        ]
        assert refusals and all((r.retry_after_ms > 0) is allowed for r in refusals)


@pytest.mark.parametrize(("dial_ms", "again"), [(250.0, True), (1400.0, False)])
def test_a_keyed_request_is_not_repeated_where_its_connection_may_come_up_past_the_window(
    dial_ms: float, again: bool
) -> None:
    """The window is 3 s from the first send, and 1.6 s are gone: a repeat may take the dial time-out to arrive."""
    g = gateway(1, 2, 3, connect_timeout_ms=dial_ms)
    (send,) = (a for a in g.handle(START, arrival(1, cls=2)) if isinstance(a, Send))
    actions = g.handle(START + 1600, attempt_ended(1, send.backend, Outcome.RESET, took=1600.0))
    assert any(isinstance(a, Send) for a in actions) is again
    assert any(isinstance(a, Reject) for a in actions) is not again


def test_names_are_taken_as_clients_send_them() -> None:
    """Found by playing a variant: every request of the plan "half crate, red" got 400, as it was known as half_crate_red."""

    async def test() -> None:
        plan = SETTINGS["plans"][1] | {"name": "half crate, red"}
        async with world(answer(), settings={"plans": [plan]}) as w:
            assert (await w.ask(request(Plan="half crate, red")))[0] == 200
            assert (await w.ask(request(number=2, Plan="half_crate_red")))[0] == 400

    run(test())


@pytest.mark.parametrize(
    "permissions",
    [
        {"dial_timeout": -1},
        {"dial_timeout": float("nan")},
        {"conn_idle": 0},
        {"conn_idle": float("inf")},
        {"dial_timeout": "soon"},
    ],
)
def test_times_that_are_none_are_a_bad_configuration(permissions: dict[str, Any]) -> None:
    changed = SETTINGS | {"permissions": SETTINGS["permissions"] | permissions}
    with pytest.raises(ConfigError):
        read_config(
            json.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": changed})
        )


def test_a_watch_that_is_reset_is_opened_anew_where_it_stood() -> None:
    async def test() -> None:
        async def then_reset(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 1:
                writer.transport.abort()

        async with world(answer(), discovery=then_reset) as w:
            await until(lambda: len(w.discovery.requests) == 2)
            assert w.discovery.connections == 2 and b"from=5&" in w.discovery.requests[1]
            body = json.dumps(
                {"rev": 6, "all": False, "targets": [target(w.backends[0], "s-0", "leaving")]}
            ).encode()
            w.discovery.writers[1].write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            )
            await until(lambda: len(w.discovery.requests) == 3)
            assert (await w.ask(request()))[0] == 429  # the only backend drains

    run(test())


@pytest.mark.parametrize("rev", [3, 9])
@pytest.mark.parametrize("whole", [True, False])
def test_what_the_agent_has_goes_before_a_cached_list_newer_or_older(rev: int, whole: bool) -> None:
    """The cached one is of version 5; changes up to an older one fit no list, so the whole one is asked for."""

    async def test() -> None:
        extra = Peer(answer(b"agent"))
        await extra.start()

        async def tell(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
            asked_whole = b"from=" not in data
            if len(peer.requests) == 1 or asked_whole:
                targets = [target(extra, "s-9")]
                if not (whole or asked_whole):
                    targets.append(target(w.backends[0], "s-0", "left"))
                body = json.dumps(
                    {"rev": rev, "all": whole or asked_whole, "targets": targets}
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        async with world(answer(b"cached"), discovery=tell) as w:
            await until(lambda: any(b"from=%d&" % rev in r for r in w.discovery.requests))
            assert [(await w.ask(request(number=n)))[2] for n in range(5)] == [b"agent"] * 5
            assert any(b"from=" not in r for r in w.discovery.requests) is (rev < 5 and not whole)
        extra.stop()

    run(test())


# ---- more that meets in one turn of the loop


@pytest.mark.parametrize("end_first", [True, False])
def test_a_request_that_crosses_the_close_of_its_connection_is_answered_or_never_read(
    end_first: bool,
) -> None:
    """The client sends what was not read once more, elsewhere; what was read has its answer."""

    async def test() -> None:
        async with world(answer()) as w:
            client = await w.client()
            assert (await client.ask(HEALTH))[0] == 200
            if end_first:
                w.stop.set()
                client.writer.write(request())
            else:
                client.writer.write(request())
                w.stop.set()
            try:
                got = await client.reader.read()
            except ConnectionResetError:
                got = b""
            await w.task
            assert sent(w) == got.count(b"HTTP/1.1 200 ") == (b"Connection: close" in got)

    run(test())


def test_a_client_that_leaves_as_the_connection_for_its_request_comes_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with world(answer()) as w:

            class Leaving(BackendConnection):
                def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
                    super().__init__(pool, sock)
                    for call in list(w.service._ingress._calls.values()):
                        w.service._ingress.cancel_request(call)

            with monkeypatch.context() as patched:
                patched.setattr("sumacpost.upstream.pool.BackendConnection", Leaving)
                client = await w.client()
                client.writer.write(request("vat-filing", Request_Timeout=SILENT))
                pools = w.service._ingress.backends._pools.values()
                await until(
                    lambda: any(pool.idle for pool in pools)
                )  # what came up is kept for others
            await asyncio.sleep(2 * REST_S)
            assert sent(w) == 0
            assert (await w.ask(request("vat-filing", 2)))[0] == 200
            assert sent(w) == w.backends[0].connections == 1

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


def test_the_end_does_not_wait_for_calls_of_the_counter_that_are_out() -> None:
    async def test() -> None:
        patient = {"extra": SETTINGS["extra"] | {"count_wait": 10_000.0}}
        async with world(
            answer(), counter=silence, read_counter=read_counter_call, settings=patient
        ) as w:
            w.service._ingress.counter.call(7, 1.0, 1000.0)
            await until(lambda: len(w.counter.requests) == 1)
            w.stop.set()
            await w.task
            assert len(w.counter.requests) == 1

    run(test())


@pytest.mark.parametrize("deadline_first", [True, False])
def test_a_counters_answer_and_the_deadline_in_one_turn_give_one_answer(
    deadline_first: bool,
) -> None:
    g = gateway(counter=True, counter_timeout_ms=900.0, plans=(Plan(rate=1, burst=3),), gateways=4)
    (asked,) = g.handle(START, arrival(1, units=1.0, width=4, left=1000.0))
    assert isinstance(asked, AddToCounter)
    events = [RequestCancelled(1), CounterReplied(asked.name, Outcome.OK, 900.0, asked.amount)]
    told = [
        a for e in (events if deadline_first else events[::-1]) for a in g.handle(START + 1000, e)
    ]
    assert sum(isinstance(a, Send | Reject | Fail) for a in told) == (not deadline_first)
    assert not g.calls and not any(call for pending in g.counts.values() for *_, call in pending)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_an_unsafe_request_goes_out_again_only_where_it_surely_never_ran(outcome: Outcome) -> None:
    g = gateway(1, 2, 3, hedging=True)
    send, *timers = g.handle(START, arrival(1, cls=3))
    assert isinstance(send, Send) and not timers  # none for a second copy
    actions = g.handle(
        START + 5,
        replace(attempt_ended(1, send.backend, outcome, took=5.0), concluded=outcome is Outcome.OK),
    )
    assert any(isinstance(a, Send) for a in actions) is outcome.never_ran
    assert any(isinstance(a, Fail) for a in actions) is (
        outcome is not Outcome.OK and not outcome.never_ran
    )


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


def test_one_that_left_the_door_does_not_keep_those_behind_it_out() -> None:
    async def test() -> None:
        async with world(answer()) as w:
            server, accepts = w.service._server, []
            server._pause()
            client = await w.client()
            listener = server._listener

            class Aborted:
                def accept(self) -> Any:
                    accepts.append(1)
                    if len(accepts) == 1:
                        raise ConnectionAbortedError
                    return listener.accept()

                def __getattr__(self, name: str) -> Any:
                    return getattr(listener, name)

            server._listener = Aborted()
            assert server._accept() and len(accepts) == 3  # the one behind it, and then nobody
            assert (await client.ask(request()))[0] == 200

    run(test())
