"""A counter client that records replies, and a reader of the calls that it sends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from sumacpost.counter.client import CounterClient
from sumacpost.model import CounterReplied, Outcome
from tests.support.event_loop import until
from tests.support.peers import Peer, Script


async def read_counter_call(reader: asyncio.StreamReader) -> bytes:
    """Read one RESP2 array of bulk strings and return the strings joined by spaces."""
    parts = []
    for _ in range(int((await reader.readuntil())[1:])):
        size = int((await reader.readuntil())[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return b" ".join(parts)


class CallOutcome(NamedTuple):
    """The result of one call: the customer's name in the counter, the outcome and the total."""

    name: int
    outcome: Outcome
    total: float


class RecordedCounterClient:
    """A running counter client and the replies that it has reported.

    Attributes:
        replies: the reported replies, oldest first.
        client: the counter client.
        first_connect_attempted: set when the first attempt to connect has ended.
        task: runs the client.
    """

    def __init__(self, peer: Peer, timeout_s: float = 5.0) -> None:
        self.replies: list[CounterReplied] = []
        self.client = CounterClient(("127.0.0.1", peer.port), timeout_s, self.replies.append)
        self.first_connect_attempted = asyncio.Event()
        self.task = asyncio.create_task(self.client.run(self.first_connect_attempted))

    async def outcomes(self, count: int) -> list[CallOutcome]:
        """Wait for at least `count` replies, and return the outcomes of all replies so far."""
        await until(lambda: len(self.replies) >= count)
        return [CallOutcome(reply.name, reply.outcome, reply.total) for reply in self.replies]

    @property
    def totals(self) -> list[tuple[int, float]]:
        """The names and totals of all replies so far."""
        return [(reply.name, reply.total) for reply in self.replies]


@asynccontextmanager
async def scripted_counter(
    script: Script, timeout_s: float = 5.0
) -> AsyncIterator[tuple[Peer, RecordedCounterClient]]:
    """Run a scripted counter and a counter client that has made its first attempt to connect."""
    peer = Peer(script, read_counter_call)
    await peer.start()
    recorded = RecordedCounterClient(peer, timeout_s)
    await recorded.first_connect_attempted.wait()
    yield peer, recorded
    recorded.task.cancel()
    peer.stop()
