"""Reasons for which a client connection ends."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client connection has ended; the values appear in the log."""

    CLIENT_DISCONNECTED = "client_left"  # the client disconnected, or the network path failed
    RESPONSE_WAS_LAST = "response_was_last"  # the last response had Connection: close
    INVALID_INPUT = "invalid_input"  # the start of the next request can't be determined
    REQUEST_TIMEOUT = "request_timeout"  # no complete request arrived within the time limit
    IDLE = "idle"  # no further request arrived within the time limit
    EVICTED = "evicted"  # closed because of a limit on the number of connections
    OUTPUT_UNREAD = "output_unread"  # the client reads nothing, and the memory is needed
    LINGER_TIMEOUT = "linger_timeout"  # the client did not close after the last response
    DRAIN_IDLE = "drain_idle"  # idle during a drain
    DRAIN_NO_REQUEST = "drain_no_request"  # no complete request arrived during a drain
    DRAIN_DEADLINE = "drain_deadline"  # the process is about to exit

    @property
    def permits_unsent_responses(self) -> bool:
        """Whether responses may be unsent, as no client is left that would read them."""
        return self in (
            CloseReason.CLIENT_DISCONNECTED,
            CloseReason.INVALID_INPUT,
            CloseReason.OUTPUT_UNREAD,
        )
