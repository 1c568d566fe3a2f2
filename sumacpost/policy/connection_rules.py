"""The only module that decides whether a client connection may be closed, or ends with a response.

Every request that has been read must get its response. A request still unread in the socket buffer
would be lost by a close: its client would have to send it again, on a new connection that may be
refused.
"""

from dataclasses import dataclass
from enum import Enum


class CloseDenialReason(Enum):
    """Why a connection may not be closed now."""

    RESPONSE_OWED = "response_owed"
    REQUEST_READ = "request_read"  # read into the buffer, but not handled yet
    REQUEST_INCOMPLETE = "request_incomplete"  # the client must get an error response first
    REQUEST_UNREAD = "request_unread"  # the socket buffer is not empty


@dataclass(frozen=True, slots=True)
class ConnectionSnapshot:
    """The state of a client connection at one point in time.

    Attributes:
        responses_owed: requests that have been read and not answered.
        buffered_bytes: bytes read from the socket and not parsed yet.
        has_partial_message: whether a request has been received in part only.
        has_unread_input: whether the socket buffer contains unread bytes.
    """

    responses_owed: int
    buffered_bytes: int
    has_partial_message: bool
    has_unread_input: bool


def close_denial_reason(snapshot: ConnectionSnapshot) -> CloseDenialReason | None:
    """Return why a connection may not be closed now, or None if it may."""
    if snapshot.responses_owed:
        return CloseDenialReason.RESPONSE_OWED
    if snapshot.buffered_bytes:
        return CloseDenialReason.REQUEST_READ
    if snapshot.has_partial_message:
        return CloseDenialReason.REQUEST_INCOMPLETE
    if snapshot.has_unread_input:
        return CloseDenialReason.REQUEST_UNREAD
    return None


def is_last_response(keep_alive: bool, draining: bool, has_pending_requests: bool) -> bool:
    """Return whether a connection ends after the response that is due next.

    has_pending_requests: whether other requests read on the connection still need a response.
    """
    return not keep_alive or (draining and not has_pending_requests)
