"""Divides the iterations of the event loop among the connections whose input has to be parsed.

A peer may send hundreds of messages at once. If all of them were handled as soon as they are read,
the timers and the input of all other peers would wait, for as long as all such peers together need.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol

log = logging.getLogger(__name__)

# How many turns are given in one iteration of the event loop, to all connections together. A turn
# of the costliest input takes about half a millisecond.
TURNS_PER_ITERATION = 4


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

    A connection whose input needs several turns asks again after each one.
    """

    def __init__(self) -> None:
        self._queue: deque[TurnTaker] = deque()
        self._queued: set[TurnTaker] = set()
        self._scheduled = False  # whether the queue will be served, or is being served
        # Turns that may be given at once. They are counted anew only when the queue is served, so
        # that many connections that are read in one iteration can't get more.
        self._immediate_turns = TURNS_PER_ITERATION

    def request_turns(self, connection: TurnTaker) -> None:
        """Give a connection turns until its input is parsed.

        The first turns are given at once, unless other connections are waiting or the turns of this
        iteration have been used up. Raise whatever these turns raise.
        """
        while self._immediate_turns and not self._queue:
            self._immediate_turns -= 1
            if not connection.take_turn():
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
        """Give the turns of one iteration to the connections that have waited longest."""
        turns = TURNS_PER_ITERATION
        self._immediate_turns = 0
        while turns and self._queue:
            turns -= 1
            connection = self._queue.popleft()
            self._queued.discard(connection)
            if _take_turn(connection) and connection not in self._queued:
                self._enqueue(connection)
        self._immediate_turns = turns
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
