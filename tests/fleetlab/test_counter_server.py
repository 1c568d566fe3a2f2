"""Tests of the stand-in for the shared counter."""

from __future__ import annotations

from fleetlab.counter_server import CounterServer
from tests.fleetlab.support import open_connection, run_server
from tests.support.event_loop import run


def encode_call(*words: str) -> bytes:
    head = b"*%d\r\n" % len(words)
    return head + b"".join(b"$%d\r\n%b\r\n" % (len(word), word.encode()) for word in words)


def test_the_counter_adds_in_order_and_rejects_calls_beyond_its_rate() -> None:
    """Replies come in the order of the calls, with the totals of each name.

    A call beyond the rate gets -BUSY and adds nothing, and an unknown or malformed call gets -ERR.
    """
    calls = [
        encode_call("ADDGET", "7", "2.5", "4000"),
        encode_call("ADDGET", "7", "-1", "4000"),
        encode_call("ADDGET", "8", "1", "4000"),
        encode_call("PING"),
        encode_call("SELECT", "0"),
        encode_call("ADDGET", "8", "1"),
        encode_call("ADDGET", "x" * 65, "1", "4000"),
    ]
    replies = (
        b"$3\r\n2.5\r\n"
        b"$3\r\n1.5\r\n"
        b"-BUSY\r\n"
        b"+PONG\r\n"
        b"+OK\r\n"
        b"-ERR no such call\r\n"
        b"-ERR no such call\r\n"
    )

    async def scenario() -> None:
        async with (
            run_server(CounterServer(rate=10.0, shards=1, max_wait_s=0.25)) as counter,
            open_connection(counter.address) as (reader, writer),
        ):
            writer.write(b"".join(calls))
            assert await reader.readexactly(len(replies)) == replies
            assert (counter.additions, counter.rejected_additions) == (2, 1)
            assert b"8" not in counter.totals

    run(scenario())
