"""The client of the shared counter, which reports exactly one reply for every call."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from sumacpost.address import Address
from sumacpost.counter.connection import CounterCall, CounterConnection, ReplyLatency
from sumacpost.counter.resp import encode_addget
from sumacpost.model import CounterReplied, Outcome
from sumacpost.turn_scheduler import TurnScheduler

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
# Delay after a failed attempt to connect, and after a connection that was lost without a reply
# before it was STABLE_AFTER_S old.
RECONNECT_DELAY_S = 0.2


class CounterClient:
    """Adds to the numbers of the shared counter.

    `on_reply` is called with exactly one reply for each call. Replies for one number are reported
    in the order of its calls, and never within `call` itself. `timeout_s` limits the time that a
    call waits for its reply. An `address` of None means that there is no counter: every call fails
    with Outcome.CONNECT_FAILED.
    """

    def __init__(
        self,
        address: Address | None,
        timeout_s: float,
        on_reply: Callable[[CounterReplied], None],
        turns: TurnScheduler | None = None,
    ) -> None:
        self._turns = turns or TurnScheduler()
        self._address = address
        self._timeout_s = timeout_s
        self._on_reply = on_reply
        self._loop = asyncio.get_running_loop()
        self._connection: CounterConnection | None = None
        self._connection_ended = asyncio.Event()
        self._pending_calls: dict[int, deque[CounterCall]] = {}  # by name, in order of the calls
        self._reply_latency = ReplyLatency()
        self._connect_failing = False

    @property
    def connected(self) -> bool:
        """Whether there is a connection that accepts calls."""
        return self._connection is not None and self._connection.connected

    async def run(self, first_connect_attempted: asyncio.Event) -> None:
        """Maintain a connection until cancelled.

        `first_connect_attempted` is set once the first attempt to connect has succeeded or failed,
        and immediately if there is no counter.
        """
        while self._address is not None:
            self._connection_ended.clear()
            connection = await self._connect(self._address)
            if connection is None:
                first_connect_attempted.set()
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            self._replace_connection(connection)
            first_connect_attempted.set()
            await self._connection_ended.wait()
            if not connection.allows_immediate_reconnect:
                await asyncio.sleep(RECONNECT_DELAY_S)
        first_connect_attempted.set()
        await asyncio.Event().wait()

    async def _connect(self, address: Address) -> CounterConnection | None:
        """Return a new connection, or None on failure; log the first of consecutive failures."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(self._new_connection, *address)
        except (OSError, TimeoutError) as error:
            if not self._connect_failing:
                log.warning("counter connect failed: error=%r", error)
            self._connect_failing = True
            return None
        return connection

    def _new_connection(self) -> CounterConnection:
        return CounterConnection(
            self._timeout_s,
            self._reply_latency,
            self._conclude,
            self._on_connection_lost,
            self._turns,
        )

    def _replace_connection(self, connection: CounterConnection) -> None:
        """Use a new connection; the previous one closes once all its calls are concluded."""
        previous = self._connection
        self._connection = connection
        if previous is not None:
            previous.retire()
        if self._connect_failing:
            log.info("counter connected again")
        self._connect_failing = False

    def change_address(self, address: Address | None) -> None:
        """Set the address of the counter for the next `run`, which the caller has to start.

        The old connection accepts calls until there is a new one.
        """
        self._address = address

    def _on_connection_lost(self, connection: CounterConnection) -> None:
        if connection is self._connection:
            self._connection = None
            self._connection_ended.set()

    def call(self, name: int, amount: float, ttl_ms: float) -> None:
        """Add `amount` to the number `name`, and set its time to live to `ttl_ms` milliseconds."""
        call = CounterCall(name, self._loop.time())
        self._pending_calls.setdefault(name, deque()).append(call)
        if self._connection is None or not self._connection.connected:
            self._loop.call_soon(self._conclude, call, Outcome.CONNECT_FAILED, 0.0)
        elif not self._connection.send(call, encode_addget(name, amount, ttl_ms)):
            self._loop.call_soon(self._conclude, call, Outcome.REJECTED, 0.0)

    def _conclude(self, call: CounterCall, outcome: Outcome, total: float) -> None:
        """Conclude a call, and report the replies that are no longer delayed by earlier calls.

        Every call is concluded here exactly once. Since a new connection may reply before the old
        one, a reply is delayed until the earlier calls for its number are concluded.
        """
        elapsed_ms = (self._loop.time() - call.started_at) * 1000
        call.reply = CounterReplied(call.name, outcome, elapsed_ms, total)
        calls = self._pending_calls[call.name]
        while calls and (reply := calls[0].reply) is not None:
            calls.popleft()
            if not calls:
                del self._pending_calls[call.name]
            self._on_reply(reply)
