"""The counter client: replies, timeouts, reconnects and malformed data."""

from __future__ import annotations

import asyncio
import time

import pytest

from sumacpost.model import Outcome
from tests.support.counter_calls import (
    RecordedCounterClient,
    read_counter_call,
    scripted_counter,
)
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, never_respond, respond, send_bytes
from tests.support.turns import limit_turns

CUSTOMER = 7
OTHER_CUSTOMER = 8
TTL_MS = 1000.0


def test_calls_are_pipelined_and_replies_keep_their_order() -> None:
    async def reply_to_three(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        if len(peer.requests) == 3:
            writer.write(b"$3\r\n2.5\r\n-BUSY later\r\n$2\r\n")
            await asyncio.sleep(0.01)
            writer.write(b"-4\r\n")

    async def test() -> None:
        async with scripted_counter(reply_to_three) as (peer, recorded):
            for name, amount in ((7, 2.5), (8, 1e-7), (9, -4.0)):
                recorded.client.call(name, amount, 60_000.0)
            assert not recorded.replies
            assert await recorded.outcomes(3) == [
                (7, Outcome.OK, 2.5),
                (8, Outcome.REJECTED, 0.0),
                (9, Outcome.OK, -4.0),
            ]
            assert peer.requests == [
                b"ADDGET 7 2.500000 60000",
                b"ADDGET 8 0.000000 60000",
                b"ADDGET 9 -4.000000 60000",
            ]

    run(test())


def test_reply_after_the_timeout_is_read_and_dropped() -> None:
    async def reply_with_the_second_call(
        peer: Peer, call: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if len(peer.requests) == 2:
            writer.write(b"$1\r\n1\r\n$1\r\n2\r\n")

    async def test() -> None:
        async with scripted_counter(reply_with_the_second_call, 0.1) as (_, recorded):
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            assert await recorded.outcomes(1) == [(CUSTOMER, Outcome.TIMEOUT, 0.0)]
            recorded.client.call(OTHER_CUSTOMER, 1.0, TTL_MS)
            assert (await recorded.outcomes(2))[1] == (OTHER_CUSTOMER, Outcome.OK, 2.0)

    run(test())


@pytest.mark.parametrize(
    "malformed",
    [
        b"?what\r\n",
        b"$3\r\nabc\r\n",
        b"*1\r\n$1\r\n1\r\n",
        b"$3\r\nnan\r\n",
        b"$-1\r\n",
        b"$1\r\n1\r\n$1\r\n1\r\n",
    ],
)
def test_client_reconnects_after_a_malformed_reply(malformed: bytes) -> None:
    async def test() -> None:
        async with scripted_counter(send_bytes(malformed, close=False)) as (peer, recorded):
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            (first,) = await recorded.outcomes(1)
            assert first.outcome in (Outcome.TIMEOUT, Outcome.OK)  # the amount may have been added
            await until(lambda: peer.connections == 2)
            peer.script = send_bytes(b"$1\r\n5\r\n", close=False)
            await until(lambda: recorded.client.connected)
            recorded.client.call(OTHER_CUSTOMER, 1.0, TTL_MS)
            assert (await recorded.outcomes(2))[1] == (OTHER_CUSTOMER, Outcome.OK, 5.0)

    run(test())


def test_every_call_has_an_outcome_during_an_outage_of_the_counter_and_after_it() -> None:
    async def test() -> None:
        async with scripted_counter(never_respond) as (peer, recorded):
            recorded.client.call(7, 1.0, TTL_MS)
            await until(lambda: len(peer.requests) == 1)
            peer.stop()
            assert await recorded.outcomes(1) == [(7, Outcome.TIMEOUT, 0.0)]
            recorded.client.call(8, 1.0, TTL_MS)
            assert (await recorded.outcomes(2))[1] == (8, Outcome.CONNECT_FAILED, 0.0)
            returned = Peer(send_bytes(b"$1\r\n1\r\n", close=False), read_counter_call)
            await returned.start(peer.port)
            await until(lambda: returned.connections == 1)
            await until(lambda: recorded.client.connected)
            recorded.client.call(9, 1.0, TTL_MS)
            assert (await recorded.outcomes(3))[2] == (9, Outcome.OK, 1.0)
            returned.stop()

    run(test())


def test_silent_connection_is_replaced_during_further_calls() -> None:
    async def test() -> None:
        async with scripted_counter(never_respond, 0.05) as (peer, recorded):
            while peer.connections < 2:
                recorded.client.call(CUSTOMER, 1.0, TTL_MS)
                await asyncio.sleep(0.05)
            outcomes = {call.outcome for call in await recorded.outcomes(1)}
            assert outcomes <= {Outcome.TIMEOUT, Outcome.CONNECT_FAILED}

    run(test())


def test_silent_connection_is_replaced_without_a_further_call() -> None:
    async def test() -> None:
        async with scripted_counter(never_respond, 0.05) as (peer, recorded):
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            assert await recorded.outcomes(1) == [(CUSTOMER, Outcome.TIMEOUT, 0.0)]
            await until(lambda: peer.connections == 2)

    run(test())


def test_requests_are_served_without_the_counter() -> None:
    async def test() -> None:
        async with running_ingress(respond(), counter=never_respond) as ingress:
            for number in range(3):
                assert (await ingress.send(request(number=number))).status == 200
            ingress.counter.stop()
            for number in range(3, 6):
                assert (await ingress.send(request(number=number))).status == 200

    run(test())


@pytest.mark.parametrize(
    "malformed",
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
def test_malformed_reply_ends_its_call_immediately_as_timed_out(malformed: bytes) -> None:
    """The outcome is that of a timeout, since the amount may have been added."""

    async def test() -> None:
        async with scripted_counter(send_bytes(malformed, close=False), 0.3) as (peer, recorded):
            called_at = time.monotonic()
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            assert await recorded.outcomes(1) == [(CUSTOMER, Outcome.TIMEOUT, 0.0)]
            assert time.monotonic() - called_at < 0.2
            peer.script = send_bytes(b"-ERR no such call\r\n", close=False)
            await until(lambda: recorded.client.connected)
            recorded.client.call(OTHER_CUSTOMER, 1.0, TTL_MS)
            assert (await recorded.outcomes(2))[1].outcome is Outcome.REJECTED

    run(test())


def current_connection_has_no_calls(recorded: RecordedCounterClient) -> bool:
    connection = recorded.client._connection
    return connection is not None and not connection._unreplied and not connection._waiting


def test_replies_for_one_customer_keep_their_order_after_a_change_of_address() -> None:
    async def test() -> None:
        new = Peer(send_bytes(b"$1\r\n2\r\n", close=False), read_counter_call)
        await new.start()
        async with scripted_counter(never_respond) as (old, recorded):
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            await until(lambda: len(old.requests) == 1)
            recorded.client.change_address(("127.0.0.1", new.port))
            recorded.task.cancel()
            recorded.task = asyncio.create_task(recorded.client.run(asyncio.Event()))
            await until(lambda: new.connections == 1)
            await until(lambda: current_connection_has_no_calls(recorded))
            recorded.client.call(CUSTOMER, 1.0, TTL_MS)
            recorded.client.call(OTHER_CUSTOMER, 1.0, TTL_MS)
            await until(lambda: len(recorded.replies) == 1)
            # The customer's second reply is delayed until the first has arrived.
            assert recorded.replies[0].name == OTHER_CUSTOMER
            old.writers[0].write(b"$1\r\n1\r\n")
            await until(lambda: len(recorded.replies) == 3)
            assert recorded.totals[1:] == [(CUSTOMER, 1.0), (CUSTOMER, 2.0)]
        new.stop()

    run(test())


def test_connection_that_becomes_silent_is_replaced_and_its_calls_are_lost() -> None:
    """Guards against calls on a silent connection that are not reported as lost.

    Before the fix, each silence lasted 0.25 s, and amounts of calls during it were never counted.
    """

    async def reply_once(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        if writer is not peer.writers[0] or len(peer.requests) == 1:
            writer.write(b"$1\r\n4\r\n")

    async def test() -> None:
        async with scripted_counter(reply_once, 0.2) as (peer, recorded):
            recorded.client.call(7, 1.0, TTL_MS)
            assert await recorded.outcomes(1) == [(7, Outcome.OK, 4.0)]
            recorded.client._reply_latency.seconds = 0.001  # independent of the machine's speed
            recorded.client.call(8, 1.0, TTL_MS)
            recorded.client.call(9, 1.0, TTL_MS)
            assert await recorded.outcomes(3) == [
                (7, Outcome.OK, 4.0),
                (8, Outcome.RESET, 0.0),
                (9, Outcome.RESET, 0.0),
            ]
            await until(lambda: peer.connections == 2 and recorded.client.connected)
            recorded.client.call(10, 1.0, TTL_MS)
            assert (await recorded.outcomes(4))[3] == (10, Outcome.OK, 4.0)

    run(test())


def test_slow_counter_keeps_its_connection() -> None:
    """Guards against calls that are reported as lost and whose amounts are then added twice.

    The counter adds the amounts, only late.
    """

    async def reply_slowly(peer: Peer, call: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.06)
        writer.write(b"$1\r\n4\r\n")

    async def test() -> None:
        async with scripted_counter(reply_slowly, 0.02) as (peer, recorded):
            recorded.client._reply_latency.seconds = 0.001
            connection = recorded.client._connection
            assert connection is not None
            for number in range(5):
                recorded.client.call(number, 1.0, TTL_MS)
                await recorded.outcomes(number + 1)
                await until(lambda: not connection._unreplied)
            outcomes = {call.outcome for call in await recorded.outcomes(5)}
            assert outcomes == {Outcome.TIMEOUT}
            assert peer.connections == 1

    run(test())


async def call_and_reply_at_once(peer: Peer, recorded: RecordedCounterClient, count: int) -> None:
    """Make calls that the peer leaves without a reply, then pass on all replies as one read."""
    for name in range(count):
        recorded.client.call(name, 1.0, TTL_MS)
    await until(lambda: len(peer.requests) == count)
    connection = recorded.client._connection
    assert connection is not None
    limit_turns(recorded.client._turns)
    connection.data_received(b"$1\r\n1\r\n" * count)


def test_many_replies_at_once_are_not_handled_in_one_callback() -> None:
    # Guards against an event loop that is held up by a counter that answers after a pause.
    count = 400

    async def test() -> None:
        async with scripted_counter(never_respond) as (peer, recorded):
            await call_and_reply_at_once(peer, recorded, count)
            assert 0 < len(recorded.replies) < count / 2
            outcomes = await recorded.outcomes(count)
            assert outcomes == [(name, Outcome.OK, 1.0) for name in range(count)]
            # Reading goes on.
            recorded.client.call(7, 1.0, TTL_MS)
            await until(lambda: len(peer.requests) == count + 1)
            peer.writers[0].write(b"$1\r\n2\r\n")
            assert (await recorded.outcomes(count + 1))[-1] == (7, Outcome.OK, 2.0)

    run(test())


def test_replies_that_wait_for_their_turn_are_not_late() -> None:
    # Guards against calls that time out although their replies have been read.
    count = 400

    async def test() -> None:
        # Long enough that no call is late before its reply has been read.
        async with scripted_counter(never_respond, timeout_s=1.0) as (peer, recorded):
            await call_and_reply_at_once(peer, recorded, count)
            time.sleep(1.1)  # the timer of the calls is due before the next turns
            outcomes = await recorded.outcomes(count)
            assert {outcome.outcome for outcome in outcomes} == {Outcome.OK}

    run(test())
