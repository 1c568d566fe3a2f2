"""The errors that the program raises itself, all of them subclasses of SumacpostError.

Each stands for something that a peer or the operator sent and that can't be used. Where callers
handle malformed data of any kind alike, the error is a ValueError too.
"""

from __future__ import annotations


class SumacpostError(Exception):
    """The base of all errors that the program raises itself."""


class ConfigError(SumacpostError, ValueError):
    """The configuration can't be used; the message says why, on one line."""


class RequestError(SumacpostError):
    """A client's request is rejected.

    Attributes:
        status: the HTTP status of the response.
        reason: why, the body of the response.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class ResponseError(SumacpostError):
    """A peer sent something that is not an HTTP response, or one that exceeds the limits."""


class EndpointListError(SumacpostError, ValueError):
    """Discovery sent something that is not an endpoint list; all of it is discarded."""


class CounterProtocolError(SumacpostError, ValueError):
    """The counter sent something that is not a reply, so later ones can't be matched to calls."""


class CodecError(SumacpostError, ValueError):
    """A record or settings text of the simulator is malformed; the message says what and where."""
