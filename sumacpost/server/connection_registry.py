"""All client connections: the bounds on their number, and the time-outs of those at rest."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from itertools import islice
from math import inf
from typing import Generic

from sumacpost.policy.connection_rules import NotClosedReason
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_protocols import ConnectionType
from sumacpost.server.connection_queue import ConnectionQueue

# For a message, from its first byte on; for the first one, from the connection's start on.
REQUEST_TIMEOUT_S = 2.0
# For a connection between requests.
IDLE_TIMEOUT_S = 10.0
# After the last response, while input is discarded so that the client can read that response.
LINGER_TIMEOUT_S = 1.0
# A connection younger than this may be about to bring its first request.
NEW_CONNECTION_GRACE_S = 0.05
# At most one connection in this many may be idle.
IDLE_DIVISOR = 4
# With more than one connection in this many waiting for a request, new ones have no grace.
WAITING_DIVISOR = 4

# Connections of a queue that are examined for one to evict.
MAX_EVICTION_EXAMINED = 8
# Their place is given to another: at rest, or with a request that has not come whole.
_EVICTABLE_REASONS = frozenset((None, NotClosedReason.REQUEST_INCOMPLETE))

log = logging.getLogger(__name__)


class ConnectionRegistry(Generic[ConnectionType]):
    """The open client connections; each without a pending response is in one of the queues.

    waiting: no complete request has come yet, or the next has begun.
    idle: between requests.
    closing: the last response is sent, and input is discarded.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._max_idle = max(1, max_connections // IDLE_DIVISOR)
        self._opening = 0  # accepted, and without a transport yet
        self.open: dict[ConnectionType, None] = {}
        self.waiting: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.idle: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.closing: ConnectionQueue[ConnectionType] = ConnectionQueue()
        # Called when a connection ends or may be evicted, so that another can be accepted.
        self.on_capacity_available: Callable[[], None] = lambda: None

    @property
    def is_full(self) -> bool:
        """Whether another connection would go beyond the bound."""
        return len(self.open) + self._opening >= self._max_connections

    @property
    def is_empty(self) -> bool:
        """Whether all connections have ended."""
        return not self._opening and not self.open

    # ---- the life of a connection

    def connection_accepted(self) -> None:
        """Count a connection that is about to open."""
        self._opening += 1

    def connection_failed(self) -> None:
        """Count one no more that was accepted and could not be opened."""
        self._opening -= 1
        self.on_capacity_available()

    def connection_opened(self, connection: ConnectionType) -> None:
        """Take in a connection that has its transport."""
        self._opening -= 1
        self.open[connection] = None
        self.waiting.add(connection)
        self.on_capacity_available()  # only now can it be evicted

    def connection_closed(self, connection: ConnectionType) -> None:
        """Forget a connection that has ended."""
        self.open.pop(connection, None)
        self.closing.discard(connection)
        self.waiting.discard(connection)
        self.idle.discard(connection)
        self.on_capacity_available()

    # ---- what a connection waits for

    def mark_busy(self, connection: ConnectionType) -> None:
        """Note that responses are pending: the connection neither times out nor can be evicted."""
        self.waiting.discard(connection)
        self.idle.discard(connection)

    def mark_waiting(self, connection: ConnectionType) -> None:
        """Note that a request has begun: it has REQUEST_TIMEOUT_S from now on to come."""
        self.idle.discard(connection)
        self.waiting.add(connection)

    def mark_idle(self, connection: ConnectionType) -> None:
        """Note that all responses are sent; close the connection longest idle if too many are.

        The bound guards against clients that send one request and keep their connection: idle
        connections could otherwise fill the bound on all of them. A connection that is used again
        and again stays, as it is never the longest idle. It could hurt a crowd of clients that
        each come back seldom, as they then need a new connection for each request.
        """
        self.waiting.discard(connection)
        self.idle.add(connection)
        self.on_capacity_available()
        if len(self.idle) > self._max_idle and (longest_idle := self.idle.oldest()) is not None:
            self._close_idle_connection(longest_idle, CloseReason.EVICTED)

    def mark_closing(self, connection: ConnectionType) -> None:
        """Note that the last response is sent: the connection has LINGER_TIMEOUT_S to end."""
        self.waiting.discard(connection)
        self.idle.discard(connection)
        self.closing.add(connection)

    # ---- eviction and time-outs

    def eviction_candidate(self) -> ConnectionType | None:
        """Return the connection that is missed least, or None if all have pending responses.

        First those that have sent their last response, then those that have brought no request,
        then idle ones. A new connection has had no time to send its request, so it comes last
        unless there are many that wait.
        """
        many_waiting = len(self.waiting) > self._max_connections // WAITING_DIVISOR
        opened_before = inf if many_waiting else time.monotonic() - NEW_CONNECTION_GRACE_S
        return (
            self.closing.oldest()
            or _first_evictable(self.waiting, opened_before)
            or _first_evictable(self.idle)
            or self.waiting.oldest()
            or self.idle.oldest()
        )

    def evict(self, connection: ConnectionType) -> None:
        """Close the connection now and forget it."""
        self.connection_closed(connection)
        connection.evict()

    def enforce_timeouts(self) -> None:
        """End the requests and connections whose time is over."""
        now = time.monotonic()
        self.close_waiting(now - REQUEST_TIMEOUT_S, CloseReason.REQUEST_TIMEOUT)
        self.close_idle(now - IDLE_TIMEOUT_S, CloseReason.IDLE)
        while (late := self.closing.oldest(now - LINGER_TIMEOUT_S)) is not None:
            self.closing.discard(late)
            late.abort(CloseReason.LINGER_TIMEOUT)

    def close_idle(self, before: float, reason: CloseReason) -> None:
        """Close the connections that have been idle since before that time.

        One whose next request has come, though the loop has not read it, is not idle: its client
        would have to send that again, on a connection that it may not get.
        """
        while (late := self.idle.oldest(before)) is not None:
            if late.not_closed_reason() is None:
                self._close_idle_connection(late, reason)
            else:
                self.idle.add(late)

    def close_disconnected(self) -> None:
        """Close the connections whose clients have closed them after their last response.

        In a drain nothing is read from these, so the event loop does not see it.
        """
        for connection in list(self.closing):
            if connection.has_disconnected():
                connection.abort()

    def close_waiting(self, before: float, reason: CloseReason) -> None:
        """End the connections that have waited for a request since before that time.

        One whose first request has come, though the loop has not read it, is given time for it.
        """
        while (late := self.waiting.oldest(before)) is not None:
            if late.not_closed_reason() is NotClosedReason.REQUEST_UNREAD:
                self.waiting.add(late)
                continue
            self.waiting.discard(late)
            self.closing.add(late)
            late.on_request_timeout(reason)

    def close_all(self, reason: CloseReason) -> None:
        """Read no more requests on any connection, and end each as its state allows."""
        for connection in list(self.open):
            try:
                connection.finish(reason)
            except Exception:
                # the others are to end as they should
                log.exception("connection not ended: aborting")
                connection.abort(reason)

    def _close_idle_connection(self, connection: ConnectionType, reason: CloseReason) -> None:
        self.idle.discard(connection)
        self.closing.add(connection)
        connection.close(reason)


def _first_evictable(
    queue: ConnectionQueue[ConnectionType], before: float = inf
) -> ConnectionType | None:
    """Return the first of the oldest connections of a queue on which no whole request may stand."""
    for connection in islice(queue, MAX_EVICTION_EXAMINED):
        if not queue.added_before(connection, before):
            return None
        if connection.not_closed_reason() in _EVICTABLE_REASONS:
            return connection
    return None
