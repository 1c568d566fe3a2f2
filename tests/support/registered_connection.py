"""A connection without a socket, for tests of the connection registry."""

from __future__ import annotations

from sumacpost.policy.connection_rules import CloseCause
from sumacpost.server.close_reason import CloseReason
from sumacpost.server.connection_registry import ConnectionRegistry


class FakeConnection:
    """A connection that may or may not be closed.

    Attributes:
        may_close: what it answers when it is asked to close.
        asked: the causes for which it has been asked to close.
        finished: whether it has been told to end with the responses to what it has read.
        aborted: whether it has been aborted.
    """

    def __init__(self, may_close: bool = True) -> None:
        self.may_close = may_close
        self.asked: list[CloseCause] = []
        self.finished = False
        self.aborted = False

    def has_disconnected(self) -> bool:
        """Return that the client is there."""
        return False

    def request_close(self, cause: CloseCause, reason: CloseReason) -> bool:
        """Record the cause, and answer as `may_close` says."""
        self.asked.append(cause)
        return self.may_close

    def finish(self, reason: CloseReason) -> None:
        """Record the call."""
        self.finished = True

    def abort(self, reason: CloseReason | None = None) -> None:
        """Record the call."""
        self.aborted = True


def open_connections(
    registry: ConnectionRegistry[FakeConnection], count: int, may_close: bool = True
) -> list[FakeConnection]:
    """Register a number of connections and return them."""
    connections = [FakeConnection(may_close) for _ in range(count)]
    for connection in connections:
        registry.connection_accepted()
        registry.connection_opened(connection)
    return connections
