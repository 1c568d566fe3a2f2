"""The one place that decides whether a client's connection may be closed, or ends with a response.

A request that was read is owed its response, and one that stands unread in the socket would be cut
off: its client has to send it again, on a connection that it may not get.
"""

from dataclasses import dataclass
from enum import Enum


class NotClosedReason(Enum):
    """Why a connection may not be closed now; the values are for the log."""

    RESPONSE_OWED = "response_owed"
    REQUEST_READ = "request_read"  # buffered, and not handled yet
    REQUEST_INCOMPLETE = "request_incomplete"  # it is owed an error before the close
    REQUEST_UNREAD = "request_unread"  # bytes stand in the socket


@dataclass(frozen=True, slots=True)
class ConnectionSnapshot:
    """What is known of a client's connection.

    Attributes:
        responses_owed: requests without their response.
        buffered_bytes: read from the socket, and not parsed yet.
        has_partial_message: a request has begun and is not complete.
        has_unread_input: bytes stand in the socket.
    """

    responses_owed: int
    buffered_bytes: int
    has_partial_message: bool
    has_unread_input: bool


def not_closed_reason(snapshot: ConnectionSnapshot) -> NotClosedReason | None:
    """Return why a connection may not simply be closed now; None: it may."""
    if snapshot.responses_owed:
        return NotClosedReason.RESPONSE_OWED
    if snapshot.buffered_bytes:
        return NotClosedReason.REQUEST_READ
    if snapshot.has_partial_message:
        return NotClosedReason.REQUEST_INCOMPLETE
    if snapshot.has_unread_input:
        return NotClosedReason.REQUEST_UNREAD
    return None


def is_last_response(keep_alive: bool, draining: bool, has_pending_requests: bool) -> bool:
    """Return whether a connection ends with the response that is due on it.

    has_pending_requests: others that were read on it have no response yet.
    """
    return not keep_alive or (draining and not has_pending_requests)
