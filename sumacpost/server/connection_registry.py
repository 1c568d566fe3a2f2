"""All client connections: limits on their number, and timeouts of those without a request."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from math import inf
from typing import Generic

from sumacpost.policy.connection_rules import CloseCause
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_protocols import ConnectionType
from sumacpost.server.connection_queue import ConnectionQueue

# Time limit for a complete request: from its first byte, or from the start of the connection for
# the first request.
REQUEST_TIMEOUT_S = 2.0
# Time limit for a connection between requests.
IDLE_TIMEOUT_S = 10.0
# Time limit after the last response. Meanwhile input is discarded, so that the client can read the
# response.
LINGER_TIMEOUT_S = 1.0
# The first request of a connection younger than this may still be on its way.
NEW_CONNECTION_GRACE_S = 0.05
# The limit on all connections divided by this is the limit on idle connections.
IDLE_DIVISOR = 4
# If the waiting connections exceed the limit on all connections divided by this, new connections
# get no grace period.
WAITING_DIVISOR = 4

# How many connections of a queue are examined for one to close in favour of others.
MAX_EXAMINED = 8
# How many connections are ended in one callback of the event loop.
MAX_ENDED_PER_CALL = 64
# A connection that has had requests without a break for this long ends with the responses to them,
# if no other connection can make room for a new one.
MAX_BUSY_S = 1.0
# After this time a connection whose input waits may be refused it, if no other makes room.
MIN_BUSY_S = 0.1

log = logging.getLogger(__name__)


class ConnectionRegistry(Generic[ConnectionType]):
    """The open client connections; each one is in one of the queues.

    The registry proposes connections to close. Whether one may be closed is decided by the policy,
    which the connection asks (`RegisteredConnection.request_close`), so each proposal may fail.

    Attributes:
        open: all connections that have a transport, oldest first, each with its queue.
        waiting: connections without a complete request so far, or with an incomplete next one. Only
            those that have sent nothing are candidates for a close.
        incomplete: those of them whose input has been parsed, and is a part of a request.
        busy: connections with a request that has been read and not answered, those included whose
            input waits to be parsed; by the time since when they have had one without a break.
        idle: connections between requests.
        closing: connections that are ending; they read no further requests, and those that do not
            end within LINGER_TIMEOUT_S are aborted.
        on_capacity_available: called when a connection ends or may be evicted, so that another can
            be accepted.
    """

    def __init__(self, max_connections: int) -> None:
        self._max_connections = max_connections
        self._max_idle = max(1, max_connections // IDLE_DIVISOR)
        self._opening = 0  # accepted connections that do not have a transport yet
        self.open: dict[ConnectionType, ConnectionQueue[ConnectionType] | None] = {}
        self.waiting: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.incomplete: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.busy: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.idle: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.closing: ConnectionQueue[ConnectionType] = ConnectionQueue()
        self.on_capacity_available: Callable[[], None] = lambda: None

    @property
    def is_full(self) -> bool:
        """Whether another connection would exceed the limit."""
        return len(self.open) + self._opening >= self._max_connections

    @property
    def is_empty(self) -> bool:
        """Whether all connections have ended."""
        return not self._opening and not self.open

    # ---- opening and closing

    def connection_accepted(self) -> None:
        """Count an accepted connection whose transport is being created."""
        self._opening += 1

    def connection_failed(self) -> None:
        """Stop counting an accepted connection whose transport could not be created."""
        self._opening -= 1
        self.on_capacity_available()

    def connection_opened(self, connection: ConnectionType) -> None:
        """Register a connection whose transport has been created."""
        self._opening -= 1
        self.open[connection] = self.waiting
        self.waiting.add(connection)
        self.on_capacity_available()  # from now on the connection can be evicted

    def connection_closed(self, connection: ConnectionType) -> None:
        """Remove a connection that has ended."""
        queue = self.open.pop(connection, None)
        if queue is not None:
            queue.discard(connection)
        self.incomplete.discard(connection)
        self.busy.discard(connection)
        self.on_capacity_available()

    # ---- states of open connections

    def mark_busy(self, connection: ConnectionType) -> None:
        """Record that responses are pending: the connection can't time out or be evicted."""
        if self.open.get(connection, self.busy) is not None:  # else it is busy already
            self._move(connection, None)
            self._set_busy(connection, True)

    def mark_waiting(self, connection: ConnectionType) -> None:
        """Record that a request has begun; from now on it has REQUEST_TIMEOUT_S to be complete."""
        self._move(connection, self.waiting)

    def mark_idle(self, connection: ConnectionType) -> None:
        """Record that all responses are sent; close the longest-idle connection if too many are.

        The limit on idle connections protects against clients that send one request and keep their
        connection open: idle connections could otherwise use up the limit on all connections. A
        connection in regular use stays open, as it is never the longest idle. The limit may harm
        clients if there are many that each send requests rarely: they then need a new connection
        for each request.
        """
        self._move(connection, self.idle)
        self._set_busy(connection, False)
        self.on_capacity_available()
        if len(self.idle) > self._max_idle:
            self._close_one(self.idle, CloseCause.IDLE_LIMIT)

    def mark_closing(self, connection: ConnectionType) -> None:
        """Record that the last response is sent; the connection ends within LINGER_TIMEOUT_S."""
        self._move(connection, self.closing)
        self._set_busy(connection, False)

    def mark_input(self, connection: ConnectionType, waits_for_turn: bool) -> None:
        """Record that a connection that is waiting has sent something.

        waits_for_turn: whether the input has not been parsed yet, so that it may be a request.
        """
        self.waiting.exclude_candidate(connection)
        if waits_for_turn:
            self.incomplete.discard(connection)
        elif connection in self.waiting and connection not in self.incomplete:
            self.incomplete.add(connection)
        self._set_busy(connection, waits_for_turn)

    def _set_busy(self, connection: ConnectionType, is_busy: bool) -> None:
        if not is_busy:
            self.busy.discard(connection)
        elif connection in self.open and connection not in self.busy:
            self.busy.add(connection)

    def _move(
        self, connection: ConnectionType, target: ConnectionQueue[ConnectionType] | None
    ) -> None:
        """Append a connection to another queue, unless the connection has been removed."""
        if connection not in self.open:
            return
        queue = self.open[connection]
        if queue is not None:
            queue.discard(connection)
        if queue is self.waiting:
            self.incomplete.discard(connection)
        self.open[connection] = target
        if target is not None:
            target.add(connection)

    # ---- closing connections in favour of others

    def make_room(self) -> bool:
        """Close the connection whose loss costs least; return False if none may be closed.

        Closing connections come first, then those that have sent nothing, those with an incomplete
        request, and idle ones. A new connection, whose client has had no time to send a request,
        stays, unless many connections are waiting for a request. If none may be closed, one whose
        client has sent many requests at once is refused them, and the one that has had requests for
        longest is told to end with the responses to them. Such clients must not keep others out.
        """
        many_waiting = len(self.waiting) > self._max_connections // WAITING_DIVISOR
        opened_before = inf if many_waiting else time.monotonic() - NEW_CONNECTION_GRACE_S
        if (
            self._close_one(self.closing, CloseCause.EVICTION)
            or self._close_one(self.waiting, CloseCause.EVICTION, opened_before)
            or self._close_one(self.incomplete, CloseCause.EVICTION, opened_before)
            or self._close_one(self.idle, CloseCause.EVICTION)
        ):
            return True
        self._end_busy()
        return False

    def _end_busy(self) -> None:
        """Make busy connections end sooner, so that one may be closed at a later call."""
        now = time.monotonic()
        self._close_one(self.busy, CloseCause.OVERLOAD, now - MIN_BUSY_S)
        busiest = self.busy.oldest(now - MAX_BUSY_S)
        if busiest is not None:
            self.busy.add(busiest)
            busiest.finish(CloseReason.EVICTED)

    def _close_one(
        self, queue: ConnectionQueue[ConnectionType], cause: CloseCause, before: float = inf
    ) -> bool:
        """Close one connection of a queue, of those added before a time in monotonic seconds.

        Only MAX_EXAMINED candidates are examined. Return whether one has been closed.
        """
        for connection in queue.next_candidates(MAX_EXAMINED):
            if queue.added_before(connection, before) and connection.request_close(
                cause, CloseReason.EVICTED
            ):
                if cause is CloseCause.EVICTION:
                    self.connection_closed(connection)
                return True
        return False

    # ---- timeouts

    def enforce_timeouts(self) -> bool:
        """End the requests and connections whose time limit has passed.

        Return whether there may be more of them, which another call will end.
        """
        now = time.monotonic()
        return any(
            (
                self.close_waiting(now - REQUEST_TIMEOUT_S, CloseReason.REQUEST_TIMEOUT),
                self.close_idle(now - IDLE_TIMEOUT_S, CloseReason.IDLE),
                self._close_expired(
                    self.closing,
                    now - LINGER_TIMEOUT_S,
                    CloseCause.LINGER_TIMEOUT,
                    CloseReason.LINGER_TIMEOUT,
                ),
            )
        )

    def close_idle(self, before: float, reason: CloseReason) -> bool:
        """Close the connections that have been idle since before a time, in monotonic seconds.

        A connection with input that the event loop has not read yet stays open: if it were closed,
        its client would have to send the request again, on a new connection that may not be
        available. Return whether there may be more to close.
        """
        return self._close_expired(self.idle, before, CloseCause.IDLE_TIMEOUT, reason)

    def close_waiting(self, before: float, reason: CloseReason) -> bool:
        """End the connections that have waited for a request since before a time.

        A connection with input that has not been read or parsed yet gets more time. Return whether
        there may be more to end.

        before: in monotonic seconds.
        """
        return self._close_expired(self.waiting, before, CloseCause.REQUEST_TIMEOUT, reason)

    def _close_expired(
        self,
        queue: ConnectionQueue[ConnectionType],
        before: float,
        cause: CloseCause,
        reason: CloseReason,
    ) -> bool:
        """End the connections that a queue has had since before a time, MAX_ENDED_PER_CALL at most.

        Those that may not be closed are asked again after the same time. Return whether there are
        more.
        """
        for _ in range(MAX_ENDED_PER_CALL):
            expired = queue.oldest(before)
            if expired is None:
                return False
            if expired.request_close(cause, reason):
                queue.discard(expired)  # unless it is another queue's already
            else:
                queue.add(expired)
        return queue.oldest(before) is not None

    def close_disconnected(self) -> None:
        """Abort the closing connections whose clients have disconnected after the last response.

        During a drain these sockets are not read, so the event loop does not detect the disconnect.
        """
        for connection in self.closing.next_candidates(MAX_ENDED_PER_CALL):
            if connection.has_disconnected():
                connection.abort()

    def finish(self, connections: Iterable[ConnectionType], reason: CloseReason) -> None:
        """Stop reading requests on connections, and end each one as its state permits."""
        for connection in connections:
            try:
                connection.finish(reason)
            except Exception:
                # A failure on one connection must not keep the others from ending properly.
                log.exception("connection not ended: aborting")
                connection.abort(reason)
