"""What the registry and a pending response need of a client's connection."""

from __future__ import annotations

from typing import Protocol, TypeVar

from sumacpost.policy.connection_rules import NotClosedReason
from sumacpost.server.close_reason import CloseReason


class RegisteredConnection(Protocol):
    """A connection as the registry knows it: what may be asked of it, and how it can be ended."""

    def has_disconnected(self) -> bool:
        """Return whether the client has gone, even if the loop has not learnt that yet."""

    def not_closed_reason(self) -> NotClosedReason | None:
        """Return why the connection may not simply be closed now, if anything."""

    def on_request_timeout(self, reason: CloseReason) -> None:
        """Answer a request that has not come whole in its time, or end a silent connection."""

    def finish(self, reason: CloseReason) -> None:
        """Read no more from the socket, answer what has been read, and close then."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection between requests, once its last response is written."""

    def evict(self) -> None:
        """Close at once, as the place is needed."""

    def abort(self, reason: CloseReason | None = None) -> None:
        """Close at once, whatever is pending."""


ConnectionType = TypeVar("ConnectionType", bound=RegisteredConnection)


class ResponseOwner(Protocol):
    """A connection as a pending response knows it."""

    def advance(self) -> None:
        """Write the responses that are due."""

    def has_disconnected(self) -> bool:
        """Return whether the client has gone, even if the loop has not learnt that yet."""
