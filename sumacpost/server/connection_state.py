"""The states of a client connection."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """Whether a connection still accepts requests."""

    READING = auto()
    FINISHING = auto()  # the socket is not read any more; requests already read are answered
    CLOSING = auto()  # further input is discarded; the connection ends after pending responses
