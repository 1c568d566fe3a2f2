"""Divides the iterations of the event loop among the connections whose input has to be parsed.

A peer may send hundreds of messages at once. If all of them were handled as soon as they are read,
the timers and the input of all other peers would wait, for as long as all such peers together need.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

log = logging.getLogger(__name__)

# Turns are given in one callback of the event loop for this time. The costliest turn takes about
# half a millisecond, and is not interrupted.
CALLBACK_BUDGET_S = 0.002
# Turns are given as input is read for this time in all, before others wait for an iteration of the
# event loop of their own, which costs as much as a third of a usual request.
IMMEDIATE_BUDGET_S = 0.005


class TurnTaker(Protocol):
    """A connection with input that has been read and not been parsed yet."""

    def take_turn(self) -> bool:
        """Parse a limited part of the input; return whether more can be parsed now.

        Must return False, and do nothing, if there is nothing to parse.
        """

    def abort(self) -> None:
        """End the connection, whose input can't be parsed because of a fault in the program."""


class TurnScheduler:
    """Gives connections turns to parse their input, in the order in which they ask for them.

    A connection whose input needs several turns asks again after each one. clock returns a time in
    seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.perf_counter) -> None:
        self._clock = clock
        self._queue: deque[TurnTaker] = deque()
        self._queued: set[TurnTaker] = set()
        self._scheduled = False  # whether the queue will be served, or is being served
        # Time for turns that are given at once. It is renewed only when the queue is served, so
        # that many connections that are read in one iteration can't get more.
        self._immediate_s = IMMEDIATE_BUDGET_S

    def request_turns(self, connection: TurnTaker) -> None:
        """Give a connection turns until its input is parsed.

        The first turns are given at once, unless other connections are waiting or the time for
        immediate turns has been used up. Raise whatever these turns raise.
        """
        if self._immediate_s > 0 and not self._queue:
            started_at = self._clock()
            more = connection.take_turn()
            elapsed_s = self._clock() - started_at
            while more and not self._queue and elapsed_s < CALLBACK_BUDGET_S:
                more = connection.take_turn()
                elapsed_s = self._clock() - started_at
            self._immediate_s -= elapsed_s
            if not more:
                return
        if connection not in self._queued:
            self._enqueue(connection)

    def _enqueue(self, connection: TurnTaker) -> None:
        self._queue.append(connection)
        self._queued.add(connection)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._serve_queue)

    def _serve_queue(self) -> None:
        """Give turns to the connections that have waited longest."""
        self._immediate_s = 0.0
        started_at = self._clock()
        while self._queue and self._clock() - started_at < CALLBACK_BUDGET_S:
            connection = self._queue.popleft()
            self._queued.discard(connection)
            if _take_turn(connection) and connection not in self._queued:
                self._enqueue(connection)
        self._immediate_s = IMMEDIATE_BUDGET_S
        self._scheduled = bool(self._queue)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._serve_queue)


def _take_turn(connection: TurnTaker) -> bool:
    """Give one turn; a failure ends the connection, and leaves the others their turns."""
    try:
        return connection.take_turn()
    except Exception:
        log.exception("input not parsed: connection aborted")
        connection.abort()
        return False
