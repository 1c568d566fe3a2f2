"""All client connections: limits on their number, and timeouts of those without a request."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from itertools import islice
from math import inf
from typing import Generic

from sumacpost.policy.connection_rules import CloseDenialReason
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

# How many connections of a queue are examined for one to evict.
MAX_EVICTION_EXAMINED = 8
# A connection may be evicted if it has no request at all, or only an incomplete one.
_EVICTABLE_REASONS = frozenset((None, CloseDenialReason.REQUEST_INCOMPLETE))

log = logging.getLogger(__name__)


class ConnectionRegistry(Generic[ConnectionType]):
    """The open client connections; each one without a pending response is in one of the queues.

    Attributes:
        open: all connections that have a transport, oldest first.
        waiting: connections without a complete request so far, or with an incomplete next one.
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
        self.open: dict[ConnectionType, None] = {}
        self.waiting: ConnectionQueue[ConnectionType] = ConnectionQueue()
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
        self.open[connection] = None
        self.waiting.add(connection)
        self.on_capacity_available()  # from now on the connection can be evicted

    def connection_closed(self, connection: ConnectionType) -> None:
        """Remove a connection that has ended."""
        self.open.pop(connection, None)
        self.closing.discard(connection)
        self.waiting.discard(connection)
        self.idle.discard(connection)
        self.on_capacity_available()

    # ---- states of open connections

    def mark_busy(self, connection: ConnectionType) -> None:
        """Record that responses are pending: the connection can't time out or be evicted."""
        self.waiting.discard(connection)
        self.idle.discard(connection)

    def mark_waiting(self, connection: ConnectionType) -> None:
        """Record that a request has begun; from now on it has REQUEST_TIMEOUT_S to be complete."""
        self.idle.discard(connection)
        self.waiting.add(connection)

    def mark_idle(self, connection: ConnectionType) -> None:
        """Record that all responses are sent; close the longest-idle connection if too many are.

        The limit on idle connections protects against clients that send one request and keep their
        connection open: idle connections could otherwise use up the limit on all connections. A
        connection in regular use stays open, as it is never the longest idle. The limit may harm
        clients if there are many that each send requests rarely: they then need a new connection
        for each request.
        """
        self.waiting.discard(connection)
        self.idle.add(connection)
        self.on_capacity_available()
        if len(self.idle) > self._max_idle and (longest_idle := self.idle.oldest()) is not None:
            self._close_idle_connection(longest_idle, CloseReason.EVICTED)

    def mark_closing(self, connection: ConnectionType) -> None:
        """Record that the last response is sent; the connection ends within LINGER_TIMEOUT_S."""
        self.waiting.discard(connection)
        self.idle.discard(connection)
        self.closing.add(connection)

    # ---- eviction and timeouts

    def eviction_candidate(self) -> ConnectionType | None:
        """Return the connection whose loss costs least, or None if none may be evicted.

        Connections with pending responses, and those without a transport yet, are never evicted.

        Closing connections come first, then connections without a complete request, then idle ones.
        A connection in whose socket a complete request may be waiting comes after these, and so
        does a new one, whose client has had no time to send a request; new connections get no such
        grace period if many connections are waiting for a request.
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
        """Close the connection immediately and remove it."""
        self.connection_closed(connection)
        connection.evict()

    def enforce_timeouts(self) -> None:
        """End the requests and connections whose time limit has passed."""
        now = time.monotonic()
        self.close_waiting(now - REQUEST_TIMEOUT_S, CloseReason.REQUEST_TIMEOUT)
        self.close_idle(now - IDLE_TIMEOUT_S, CloseReason.IDLE)
        while (expired := self.closing.oldest(now - LINGER_TIMEOUT_S)) is not None:
            self.closing.discard(expired)
            expired.abort(CloseReason.LINGER_TIMEOUT)

    def close_idle(self, before: float, reason: CloseReason) -> None:
        """Close the connections that have been idle since before a time, in monotonic seconds.

        A connection with input that the event loop has not read yet stays open: if it were closed,
        its client would have to send the request again, on a new connection that may not be
        available.
        """
        while (expired := self.idle.oldest(before)) is not None:
            if expired.close_denial_reason() is None:
                self._close_idle_connection(expired, reason)
            else:
                self.idle.add(expired)

    def close_disconnected(self) -> None:
        """Abort the closing connections whose clients have disconnected after the last response.

        During a drain these sockets are not read, so the event loop does not detect the disconnect.
        """
        for connection in list(self.closing):
            if connection.has_disconnected():
                connection.abort()

    def close_waiting(self, before: float, reason: CloseReason) -> None:
        """End the connections that have waited for a request since before a time.

        A connection with input that the event loop has not read yet gets more time.

        before: in monotonic seconds.
        """
        while (expired := self.waiting.oldest(before)) is not None:
            if expired.close_denial_reason() is CloseDenialReason.REQUEST_UNREAD:
                self.waiting.add(expired)
                continue
            self.waiting.discard(expired)
            self.closing.add(expired)
            expired.on_request_timeout(reason)

    def close_all(self, reason: CloseReason) -> None:
        """Stop reading requests on all connections, and end each one as its state permits."""
        for connection in list(self.open):
            try:
                connection.finish(reason)
            except Exception:
                # A failure on one connection must not keep the others from ending properly.
                log.exception("connection not ended: aborting")
                connection.abort(reason)

    def _close_idle_connection(self, connection: ConnectionType, reason: CloseReason) -> None:
        self.idle.discard(connection)
        self.closing.add(connection)
        connection.close(reason)


def _first_evictable(
    queue: ConnectionQueue[ConnectionType], before: float = inf
) -> ConnectionType | None:
    """Return the oldest connection without a complete request, or None if none is found.

    Only the MAX_EVICTION_EXAMINED oldest connections are examined, and of these only those added
    before the time `before`, in monotonic seconds.
    """
    for connection in islice(queue, MAX_EVICTION_EXAMINED):
        if not queue.added_before(connection, before):
            return None
        if connection.close_denial_reason() in _EVICTABLE_REASONS:
            return connection
    return None
