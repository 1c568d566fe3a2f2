"""The stand-in for the shared counter."""

from __future__ import annotations

from fleetlab.counter_server import CounterServer
from tests.fleetlab.support import connected, started
from tests.support.event_loop import run


def encode_call(*words: str) -> bytes:
    head = b"*%d\r\n" % len(words)
    return head + b"".join(b"$%d\r\n%b\r\n" % (len(word), word.encode()) for word in words)


def test_the_counter_adds_in_order_and_rejects_what_exceeds_its_rate() -> None:
    """Totals by name, replies in the order of calls, -BUSY that adds nothing, and -ERR."""
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
            started(CounterServer(rate=10.0, shards=1, max_wait_s=0.25)) as counter,
            connected(counter.address) as (reader, writer),
        ):
            writer.write(b"".join(calls))
            assert await reader.readexactly(len(replies)) == replies
            assert (counter.additions, counter.rejected_additions) == (2, 1)
            assert b"8" not in counter.totals

    run(scenario())
