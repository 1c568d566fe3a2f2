"""The exceptions that report invalid input from a peer or from the operator.

All of them are subclasses of SumacpostError. An exception is also a ValueError where callers handle
all kinds of malformed data in the same way. SettingsError, which is not one of them, is defined in
`sumacpost.model.settings`; it is converted to CodecError or ConfigError where settings are read.
"""

from __future__ import annotations

from enum import Enum


class SumacpostError(Exception):
    """The base class of the exceptions in this module."""


class ConfigError(SumacpostError, ValueError):
    """The configuration is invalid; the message gives the reason on one line."""


class RequestError(SumacpostError):
    """A client's request is rejected before it reaches the gateway.

    Attributes:
        status: the HTTP status of the response.
        reason: the reason for the rejection; becomes the body of the response. It is only logged if
            the input is not a valid HTTP message or exceeds a limit of the request reader.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class MessagePart(Enum):
    """The parts of an HTTP message that are limited; the values are used in error texts."""

    HEAD = "head"
    BODY = "body"
    FRAMING = "framing"


class MessageLimitError(SumacpostError):
    """A part of an HTTP message exceeds a limit.

    Attributes:
        part: the part.
        reason: the limit that it exceeds, as the rest of a sentence about the part.
    """

    def __init__(self, part: MessagePart, reason: str) -> None:
        super().__init__(f"{part.value} {reason}")
        self.part = part
        self.reason = reason


class ResponseError(SumacpostError):
    """A peer sent an invalid HTTP response, or one that exceeds the limits."""


class EndpointListError(SumacpostError, ValueError):
    """Discovery sent an invalid endpoint list, which is discarded as a whole."""


class CounterProtocolError(SumacpostError, ValueError):
    """The counter sent an invalid reply, so later replies can't be matched to calls."""


class CodecError(SumacpostError, ValueError):
    """A simulator record or settings text is malformed; the message says where and how."""
