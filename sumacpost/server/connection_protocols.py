"""The interfaces of a client connection that the registry and a pending response use."""

from __future__ import annotations

from typing import Protocol, TypeVar

from sumacpost.policy.connection_rules import CloseDenialReason
from sumacpost.server.close_reason import CloseReason


class RegisteredConnection(Protocol):
    """A connection as the registry uses it: queries of its state, and ways to end it."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""

    def close_denial_reason(self) -> CloseDenialReason | None:
        """Return why the connection may not be closed now, or None if it may."""

    def on_request_timeout(self, reason: CloseReason) -> None:
        """Reject an incomplete request with status 408, or close a connection without one."""

    def finish(self, reason: CloseReason) -> None:
        """Stop reading from the socket, answer the requests already read, then close."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection between requests; output already written is still sent."""

    def evict(self) -> None:
        """Close immediately, to make room for another connection."""

    def abort(self, reason: CloseReason | None = None) -> None:
        """Close immediately, and discard pending requests and unsent output."""


ConnectionType = TypeVar("ConnectionType", bound=RegisteredConnection)


class ResponseOwner(Protocol):
    """A connection as a pending response uses it."""

    def advance(self) -> None:
        """Write the responses that are due, and parse further buffered input."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""
