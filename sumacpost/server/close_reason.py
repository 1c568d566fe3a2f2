"""Why a client's connection has ended."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection has ended; the values are for the log."""

    CLIENT_LEFT = "client_left"  # or the path to it broke
    RESPONSE_WAS_LAST = "response_was_last"  # it said Connection: close
    INVALID_INPUT = "invalid_input"  # where the next request begins can't be told
    REQUEST_TIMEOUT = "request_timeout"  # no complete request came in its time
    IDLE = "idle"
    EVICTED = "evicted"  # its place was needed
    LINGER_TIMEOUT = "linger_timeout"  # the client has not closed after the last response
    DRAIN_IDLE = "drain_idle"
    DRAIN_NO_REQUEST = "drain_no_request"  # no complete request came in a drain
    DRAIN_DEADLINE = "drain_deadline"  # the process is about to end
