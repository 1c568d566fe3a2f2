"""The codec of the counter: the subset of RESP2 for calls of ADDGET and their replies.

The codec does no I/O: it consumes bytes and produces typed replies. A general RESP decoder would
wait for as many bytes as a length prefix announces, and allocate memory for them. This one accepts
only the two forms of reply to ADDGET, each of limited length, and immediately rejects anything
else:

- a bulk string that contains a decimal number, the new total: `$<length>\\r\\n<total>\\r\\n`
- an error, which means that nothing was added: `-BUSY <text>\\r\\n` or `-ERR <text>\\r\\n`
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from sumacpost.errors import CounterProtocolError

MIN_TTL_MS = 1  # the shortest time to live that the counter accepts
MAX_QUOTED_BYTES = 32  # bytes of unexpected data in an error message

_REPLY = re.compile(rb"\$(\d{1,2})\r\n([^\r\n]{1,99})\r\n|-([^\r\n]{1,99})\r\n")
_INCOMPLETE_REPLY = re.compile(rb"\$(\d{1,2})?(\r|\r\n[^\r\n]{0,99}\r?)?|-[^\r\n]{0,99}\r?")
_DECIMAL_NUMBER = re.compile(rb"[+-]?\d+(\.\d*)?([eE][+-]?\d{1,3})?")
_KNOWN_ERROR = re.compile(rb"(BUSY|ERR)( [ -~]*)?")


@dataclass(frozen=True, slots=True)
class TotalReply:
    """A reply that reports the new total after the amount was added.

    Attributes:
        total: the number's new total, finite.
    """

    total: float


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """A reply that reports that nothing was added.

    Attributes:
        message: the error with its code: `BUSY ...` or `ERR ...`.
    """

    message: bytes

    @property
    def is_overload(self) -> bool:
        """Whether the counter is shedding load; any other error is a fault of the call."""
        return not self.message.startswith(b"ERR")


Reply = TotalReply | ErrorReply


def encode_addget(name: int, amount: float, ttl_ms: float) -> bytes:
    """Return the encoded call that adds `amount` to the number `name`, kept for `ttl_ms` ms."""
    key = b"%d" % name
    value = b"%.6f" % amount
    ttl = b"%d" % max(MIN_TTL_MS, round(ttl_ms))
    arguments = (len(key), key, len(value), value, len(ttl), ttl)
    return b"*4\r\n$6\r\nADDGET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % arguments


class ReplyDecoder:
    """Decodes the replies on one connection.

    Pass data to `receive_data`, then call `next_reply` until it returns None. The decoder must not
    be used after it has raised an error, as no later reply could be matched to its call.
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._position = 0  # of the first byte that has not been decoded

    @property
    def has_partial_reply(self) -> bool:
        """Whether there are bytes that have not been decoded."""
        return self._position < len(self._buffer)

    def receive_data(self, data: bytes) -> None:
        """Append bytes received from the connection."""
        self._buffer = self._buffer[self._position :] + data
        self._position = 0

    def next_reply(self) -> Reply | None:
        """Return the next complete reply, or None if more data is needed.

        Raise CounterProtocolError as soon as the data can't become a valid reply.
        """
        if not self.has_partial_reply:
            return None
        match = _REPLY.match(self._buffer, self._position)
        if match is None:
            if _INCOMPLETE_REPLY.fullmatch(self._buffer, self._position) is None:
                quoted = self._buffer[self._position : self._position + MAX_QUOTED_BYTES]
                raise CounterProtocolError(f"invalid reply {quoted!r}")
            return None
        self._position = match.end()
        return _parse_reply(match)


def _parse_reply(match: re.Match[bytes]) -> Reply:
    """Return the matched reply; raise CounterProtocolError if its content is invalid."""
    length, number, error = match.groups()
    if error is not None:
        if _KNOWN_ERROR.fullmatch(error) is None:
            # a malformed error doesn't prove that nothing was added
            raise CounterProtocolError(f"invalid reply {match[0]!r}")
        return ErrorReply(error)
    if len(number) != int(length) or _DECIMAL_NUMBER.fullmatch(number) is None:
        raise CounterProtocolError(f"invalid reply {match[0]!r}")
    total = float(number)
    if not math.isfinite(total):
        raise CounterProtocolError(f"invalid reply {match[0]!r}")
    return TotalReply(total)
