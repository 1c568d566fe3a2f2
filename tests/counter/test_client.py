"""The client of the counter."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.model import Outcome
from tests.support.counter_calls import RecordedCounterClient, read_counter_call
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, never_respond, respond, send_bytes


def test_calls_are_written_one_behind_another_and_answered_in_their_order() -> None:
    async def test() -> None:
        async def when_all_are_there(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 3:
                writer.write(b"$3\r\n2.5\r\n-BUSY later\r\n$2\r\n")
                await asyncio.sleep(0.01)
                writer.write(b"-4\r\n")

        peer = Peer(when_all_are_there, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer)
        await c.first_attempt_made.wait()
        for name, amount in ((7, 2.5), (8, 1e-7), (9, -4.0)):
            c.client.call(name, amount, 60_000.0)
        assert not c.replies
        assert await c.outcomes(3) == [
            (7, Outcome.OK, 2.5),
            (8, Outcome.REJECTED, 0.0),
            (9, Outcome.OK, -4.0),
        ]
        assert peer.requests == [
            b"ADDGET 7 2.500000 60000",
            b"ADDGET 8 0.000000 60000",
            b"ADDGET 9 -4.000000 60000",
        ]
        peer.stop()

    run(test())


def test_a_late_answer_is_read_and_dropped() -> None:
    async def test() -> None:
        async def second_wakes_it(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            if len(peer.requests) == 2:
                writer.write(b"$1\r\n1\r\n$1\r\n2\r\n")

        peer = Peer(second_wakes_it, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.1)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        assert await c.outcomes(1) == [(7, Outcome.TIMEOUT, 0.0)]
        c.client.call(8, 1.0, 1000.0)
        assert (await c.outcomes(2))[1] == (8, Outcome.OK, 2.0)
        peer.stop()

    run(test())


@pytest.mark.parametrize(
    "nonsense",
    [
        b"?what\r\n",
        b"$3\r\nabc\r\n",
        b"*1\r\n$1\r\n1\r\n",
        b"$3\r\nnan\r\n",
        b"$-1\r\n",
        b"$1\r\n1\r\n$1\r\n1\r\n",
    ],
)
def test_after_nonsense_or_a_break_the_counter_is_connected_anew(nonsense: bytes) -> None:
    async def test() -> None:
        peer = Peer(send_bytes(nonsense, close=False), read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        ((_, outcome, _),) = await c.outcomes(1)
        assert outcome in (Outcome.TIMEOUT, Outcome.OK)  # it may have been added
        await until(lambda: peer.connections == 2)
        peer.script = send_bytes(b"$1\r\n5\r\n", close=False)
        await until(lambda: c.client.connected)
        c.client.call(8, 1.0, 1000.0)
        assert (await c.outcomes(2))[1] == (8, Outcome.OK, 5.0)
        peer.stop()

    run(test())


def test_a_lost_counter_answers_every_call_and_comes_back() -> None:
    async def test() -> None:
        peer = Peer(never_respond, read_counter_call)
        await peer.start()
        port = peer.port
        c = RecordedCounterClient(peer)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        await until(lambda: len(peer.requests) == 1)
        peer.stop()
        assert await c.outcomes(1) == [(7, Outcome.TIMEOUT, 0.0)]
        c.client.call(8, 1.0, 1000.0)
        assert (await c.outcomes(2))[1] == (8, Outcome.CONNECT_FAILED, 0.0)
        again = Peer(send_bytes(b"$1\r\n1\r\n", close=False), read_counter_call)
        await again.start(port)
        await until(lambda: again.connections == 1)
        await until(lambda: c.client.connected)
        c.client.call(9, 1.0, 1000.0)
        assert (await c.outcomes(3))[2] == (9, Outcome.OK, 1.0)
        again.stop()

    run(test())


def test_a_silent_counter_is_left_for_a_new_connection() -> None:
    async def test() -> None:
        peer = Peer(never_respond, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.05)
        await c.first_attempt_made.wait()
        while peer.connections < 2:
            c.client.call(7, 1.0, 1000.0)
            await asyncio.sleep(0.05)
        assert {o for _, o, _ in await c.outcomes(1)} <= {Outcome.TIMEOUT, Outcome.CONNECT_FAILED}
        peer.stop()

    run(test())


def test_service_goes_on_without_the_counter() -> None:
    async def test() -> None:
        async with running_ingress(respond(), counter=never_respond) as ingress:
            told = [(await ingress.send(request(number=n))).status for n in range(3)]
            ingress.counter.stop()
            told += [(await ingress.send(request(number=n))).status for n in range(3, 6)]
            assert told == [200] * 6

    run(test())


@pytest.mark.parametrize(
    "spoilt",
    [
        b"-OOPS later\r\n",
        b"-BUSYBODY\r\n",
        b"-\xff\xfe\r\n",
        b"$999999999\r\n",
        b"*2000000000\r\n",
        b"$3\r\n1_0\r\n",
        b"$2\r\n5\r\n",
    ],
)
def test_after_a_spoilt_reply_the_amount_may_be_there_and_a_new_connection_comes_at_once(
    spoilt: bytes,
) -> None:
    async def test() -> None:
        peer = Peer(send_bytes(spoilt, close=False), read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.3)
        await c.first_attempt_made.wait()
        began = asyncio.get_running_loop().time()
        c.client.call(7, 1.0, 1000.0)
        assert await c.outcomes(1) == [(7, Outcome.TIMEOUT, 0.0)]
        assert asyncio.get_running_loop().time() - began < 0.2
        peer.script = send_bytes(b"-ERR no such call\r\n", close=False)
        await until(lambda: c.client.connected)
        c.client.call(8, 1.0, 1000.0)
        assert (await c.outcomes(2))[1][1] is Outcome.REJECTED
        peer.stop()

    run(test())


def test_answers_for_one_name_come_in_the_order_of_its_calls_over_two_connections() -> None:
    async def test() -> None:
        old, new = (
            Peer(never_respond, read_counter_call),
            Peer(send_bytes(b"$1\r\n2\r\n", close=False), read_counter_call),
        )
        await old.start()
        await new.start()
        c = RecordedCounterClient(old)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        await until(lambda: len(old.requests) == 1)
        c.client.change_address(("127.0.0.1", new.port))
        c.task.cancel()
        c.task = asyncio.create_task(c.client.run(asyncio.Event()))
        await until(lambda: new.connections == 1)
        await until(
            lambda: (
                c.client._connection is not None
                and c.client._connection._unreplied == c.client._connection._waiting
                and not c.client._connection._unreplied
            )
        )
        c.client.call(7, 1.0, 1000.0)
        c.client.call(8, 1.0, 1000.0)
        await until(lambda: len(c.replies) == 1)
        assert c.replies[0].name == 8  # that of 7 waits for the first of its name
        old.writers[0].write(b"$1\r\n1\r\n")
        await until(lambda: len(c.replies) == 3)
        assert [(a.name, a.total) for a in c.replies[1:]] == [(7, 1.0), (7, 2.0)]
        old.stop()
        new.stop()

    run(test())


def test_a_counter_that_fell_silent_is_left_without_a_further_call() -> None:
    async def test() -> None:
        peer = Peer(never_respond, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.05)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        assert await c.outcomes(1) == [(7, Outcome.TIMEOUT, 0.0)]
        await until(lambda: peer.connections == 2)
        peer.stop()

    run(test())


def test_a_counter_connection_that_falls_silent_is_left_and_its_calls_are_known_as_lost() -> None:
    """Found in issue 7: each silence lasted a quarter of a second, and what was to be counted in it never was."""

    async def test() -> None:
        async def once(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            if writer is not peer.writers[0] or len(peer.requests) == 1:
                writer.write(b"$1\r\n4\r\n")

        peer = Peer(once, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.2)
        await c.first_attempt_made.wait()
        c.client.call(7, 1.0, 1000.0)
        assert await c.outcomes(1) == [(7, Outcome.OK, 4.0)]
        c.client._reply_latency.seconds = 0.001  # however slow this machine was just now
        c.client.call(8, 1.0, 1000.0)
        c.client.call(9, 1.0, 1000.0)
        assert await c.outcomes(3) == [
            (7, Outcome.OK, 4.0),
            (8, Outcome.RESET, 0.0),
            (9, Outcome.RESET, 0.0),
        ]
        await until(lambda: peer.connections == 2 and c.client.connected)
        c.client.call(10, 1.0, 1000.0)
        assert (await c.outcomes(4))[3] == (10, Outcome.OK, 4.0)
        peer.stop()

    run(test())


def test_a_counter_that_is_slow_keeps_its_connection() -> None:
    """Its calls are added, only late: told as lost, they would be added twice."""

    async def test() -> None:
        async def late(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.06)
            writer.write(b"$1\r\n4\r\n")

        peer = Peer(late, read_counter_call)
        await peer.start()
        c = RecordedCounterClient(peer, 0.02)
        await c.first_attempt_made.wait()
        c.client._reply_latency.seconds = 0.001
        for name in range(5):
            c.client.call(name, 1.0, 1000.0)
            await until(
                lambda n=name: len(c.replies) == n + 1 and not c.client._connection._unreplied
            )
        assert {o for _, o, _ in await c.outcomes(5)} == {Outcome.TIMEOUT}
        assert peer.connections == 1
        peer.stop()

    run(test())
