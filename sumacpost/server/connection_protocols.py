"""The interfaces of a client connection that the registry and a pending response use."""

from __future__ import annotations

from typing import Protocol, TypeVar

from sumacpost.policy.connection_rules import CloseCause
from sumacpost.server.close_reason import CloseReason


class RegisteredConnection(Protocol):
    """A connection as the registry uses it: queries of its state, and ways to end it."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""

    def request_close(self, cause: CloseCause, reason: CloseReason) -> bool:
        """End the connection if the policy permits that now; return whether it ends.

        reason: what is recorded of the end.
        """

    def finish(self, reason: CloseReason) -> None:
        """Stop reading from the socket, answer the requests already read, then close."""

    def abort(self, reason: CloseReason | None = None) -> None:
        """Close immediately, and discard pending requests and unsent output."""


ConnectionType = TypeVar("ConnectionType", bound=RegisteredConnection)


class ResponseOwner(Protocol):
    """A connection as a pending response uses it."""

    def advance(self) -> None:
        """Write the responses that are due, and parse further buffered input."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the loop has not detected it yet."""
