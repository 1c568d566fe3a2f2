"""The only module that decides whether a client connection may be closed, or ends with a response.

Every request that has been read must get its response. A request still unread in the socket buffer
would be lost by a close: its client would have to send it again, on a new connection that may be
refused. Whoever wants to end a connection, for whatever cause, asks `close_action` at that moment,
and must expect that the connection stays.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

# Less input than this is handled sooner than refused; a usual client has no more of it.
MIN_REFUSED_BYTES = 4096


class CloseDenialReason(Enum):
    """Why a connection may not be closed now."""

    RESPONSE_OWED = "response_owed"
    REQUEST_READ = "request_read"  # read into the buffer, but not handled yet
    REQUEST_INCOMPLETE = "request_incomplete"  # the client must get an error response first
    REQUEST_UNREAD = "request_unread"  # the socket buffer is not empty
    RESPONSE_UNSENT = "response_unsent"  # the kernel has not taken a response completely


class CloseCause(Enum):
    """What a connection is to be closed for."""

    EVICTION = "eviction"  # another client needs the place
    OVERLOAD = "overload"  # the same, and no connection may be closed
    IDLE_LIMIT = "idle_limit"  # too many connections are idle
    IDLE_TIMEOUT = "idle_timeout"  # between requests for too long
    REQUEST_TIMEOUT = "request_timeout"  # without a complete request for too long
    LAST_RESPONSE = "last_response"  # the connection reads no further requests
    LINGER_TIMEOUT = "linger_timeout"  # the client did not close after its last response
    INPUT_MEMORY = "input_memory"  # its input holds memory that is needed, or too much of it
    OUTPUT_MEMORY = "output_memory"  # responses that its client does not read do


class CloseAction(Enum):
    """What becomes of a connection that is to be closed."""

    KEEP = "keep"  # it may not be closed now; ask again later
    CLOSE = "close"  # responses already written are still sent
    REJECT = "reject"  # the incomplete request gets an error response, then as CLOSE
    REFUSE = "refuse"  # so does each request that was read and not handled, after those owed
    ABORT = "abort"  # at once; what is unsent or unhandled is dropped


@dataclass(frozen=True, slots=True)
class ConnectionSnapshot:
    """The state of a client connection at one point in time.

    Attributes:
        responses_owed: requests that have been read and not answered.
        buffered_bytes: bytes read from the socket and not parsed yet.
        has_partial_message: whether a request has been received in part only.
        has_unread_input: whether the socket buffer contains unread bytes.
        unsent_bytes: bytes of responses that the kernel has not taken yet.
        is_output_stalled: whether it has taken none of them since this was last asked, so that the
            client does not read its responses.
    """

    responses_owed: int
    buffered_bytes: int
    has_partial_message: bool
    has_unread_input: bool
    unsent_bytes: int = 0
    is_output_stalled: bool = False


# What is done where a connection should not be closed for this reason; KEEP for all others.
_ACTIONS: Mapping[CloseCause, Mapping[CloseDenialReason, CloseAction]] = {
    CloseCause.EVICTION: {CloseDenialReason.REQUEST_INCOMPLETE: CloseAction.REJECT},
    CloseCause.OVERLOAD: {CloseDenialReason.REQUEST_READ: CloseAction.REFUSE},
    CloseCause.IDLE_LIMIT: {},
    CloseCause.IDLE_TIMEOUT: {CloseDenialReason.RESPONSE_UNSENT: CloseAction.CLOSE},
    CloseCause.REQUEST_TIMEOUT: {
        CloseDenialReason.REQUEST_INCOMPLETE: CloseAction.REJECT,
        CloseDenialReason.RESPONSE_UNSENT: CloseAction.CLOSE,
    },
    CloseCause.LAST_RESPONSE: {
        CloseDenialReason.REQUEST_INCOMPLETE: CloseAction.REJECT,
        CloseDenialReason.REQUEST_UNREAD: CloseAction.CLOSE,
        CloseDenialReason.RESPONSE_UNSENT: CloseAction.CLOSE,
    },
    CloseCause.INPUT_MEMORY: {
        CloseDenialReason.RESPONSE_OWED: CloseAction.REFUSE,
        CloseDenialReason.REQUEST_READ: CloseAction.REFUSE,
        CloseDenialReason.REQUEST_INCOMPLETE: CloseAction.REFUSE,
    },
    CloseCause.OUTPUT_MEMORY: dict.fromkeys(CloseDenialReason, CloseAction.ABORT),
    CloseCause.LINGER_TIMEOUT: {
        CloseDenialReason.REQUEST_INCOMPLETE: CloseAction.ABORT,
        CloseDenialReason.REQUEST_UNREAD: CloseAction.ABORT,
    },
}


def close_denial_reason(snapshot: ConnectionSnapshot) -> CloseDenialReason | None:
    """Return why a connection should not be closed now, or None if nothing would be lost."""
    if snapshot.responses_owed:
        return CloseDenialReason.RESPONSE_OWED
    if snapshot.buffered_bytes:
        return CloseDenialReason.REQUEST_READ
    if snapshot.has_partial_message:
        return CloseDenialReason.REQUEST_INCOMPLETE
    if snapshot.has_unread_input:
        return CloseDenialReason.REQUEST_UNREAD
    if snapshot.unsent_bytes:
        return CloseDenialReason.RESPONSE_UNSENT
    return None


def close_action(cause: CloseCause, snapshot: ConnectionSnapshot) -> CloseAction:
    """Return what becomes of a connection in this state that is to be closed.

    A client that has read none of its responses for as long as a time limit loses them, because
    nothing can reach it. A place for another client, on the other hand, must not cost a response
    that is on its way, nor a request whose rest is in the socket. In an overload, the requests of a
    client that has sent many at once are refused, as that is done sooner than to handle them. They
    are refused too where memory is needed; responses that are owed go before that.
    """
    reason = close_denial_reason(snapshot)
    if reason is None:
        lingered = (
            cause is CloseCause.LINGER_TIMEOUT
        )  # the connection is closed as far as it can be
        return CloseAction.ABORT if lingered else CloseAction.CLOSE
    if cause is CloseCause.EVICTION and (snapshot.has_unread_input or snapshot.unsent_bytes):
        return CloseAction.KEEP
    if cause is CloseCause.OVERLOAD and snapshot.buffered_bytes < MIN_REFUSED_BYTES:
        return CloseAction.KEEP
    if snapshot.is_output_stalled and not snapshot.responses_owed:
        return CloseAction.ABORT
    if cause is CloseCause.LINGER_TIMEOUT and snapshot.unsent_bytes:
        return CloseAction.KEEP
    return _ACTIONS[cause].get(reason, CloseAction.KEEP)


def is_last_response(keep_alive: bool, ending: bool, has_pending_requests: bool) -> bool:
    """Return whether a connection ends after the response that is due next.

    ending: whether the connection is to end once it has answered what it has read.
    has_pending_requests: whether other requests read on the connection still need a response.
    """
    return not keep_alive or (ending and not has_pending_requests)
