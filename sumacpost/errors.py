"""The errors of the ingress: what a peer or the operator sent that can't be used."""

from __future__ import annotations


class SumacpostError(Exception):
    """The base of all errors that the program raises itself."""


class ConfigError(SumacpostError, ValueError):
    """The configuration can't be used; the message says why, on one line."""


class RequestError(SumacpostError):
    """A client's request is rejected: the HTTP status of the response, and the reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class ResponseError(SumacpostError):
    """A peer sent what is no HTTP response, or one beyond the bounds."""


class EndpointListError(SumacpostError, ValueError):
    """What came from discovery is no endpoint list; none of it is believed."""


class CounterProtocolError(SumacpostError, ValueError):
    """The counter sent what is no reply; after that none can be matched to its call."""


class CodecError(SumacpostError, ValueError):
    """A record or settings text of the simulator is malformed; the message says what and where."""
