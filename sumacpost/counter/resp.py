"""The codec of the counter: the part of RESP2 that a call of ADDGET and its reply need.

It does no I/O: bytes go in, typed replies come out. A general RESP decoder would wait for as many
bytes as a length prefix announces, and set memory aside for them. This one accepts only the two
forms of reply that ADDGET has, each of bounded length, and reports anything else at once:

- a bulk string that holds a decimal number, the new total: `$<length>\\r\\n<total>\\r\\n`
- an error that says that nothing was added: `-BUSY <text>\\r\\n` or `-ERR <text>\\r\\n`
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from sumacpost.errors import CounterProtocolError

MIN_TTL_MS = 1  # the shortest time to live that the counter accepts
MAX_QUOTED_BYTES = 32  # of unexpected data, in an error message

_REPLY = re.compile(rb"\$(\d{1,2})\r\n([^\r\n]{1,99})\r\n|-([^\r\n]{1,99})\r\n")
_INCOMPLETE_REPLY = re.compile(rb"\$(\d{1,2})?(\r|\r\n[^\r\n]{0,99}\r?)?|-[^\r\n]{0,99}\r?")
_DECIMAL_NUMBER = re.compile(rb"[+-]?\d+(\.\d*)?([eE][+-]?\d{1,3})?")
_KNOWN_ERROR = re.compile(rb"(BUSY|ERR)( [ -~]*)?")


@dataclass(frozen=True, slots=True)
class TotalReply:
    """The amount was added.

    Attributes:
        total: the number's new total, finite.
    """

    total: float


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """Nothing was added.

    Attributes:
        message: the error, from its code on: `BUSY ...` or `ERR ...`.
    """

    message: bytes

    @property
    def is_overload(self) -> bool:
        """Whether the counter only sheds load; any other error is a fault of the call."""
        return not self.message.startswith(b"ERR")


Reply = TotalReply | ErrorReply


def encode_addget(name: int, amount: float, ttl_ms: float) -> bytes:
    """Return the call that adds `amount` to the number `name`, kept for `ttl_ms` milliseconds."""
    key = b"%d" % name
    value = b"%.6f" % amount
    ttl = b"%d" % max(MIN_TTL_MS, round(ttl_ms))
    arguments = (len(key), key, len(value), value, len(ttl), ttl)
    return b"*4\r\n$6\r\nADDGET\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % arguments


class ReplyDecoder:
    """Turns the bytes of one connection into replies.

    Feed it with `receive_data`, then call `next_reply` until that returns None. It must not be used
    after it has raised: no later reply could be matched to its call.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_reply(self) -> bool:
        """Whether a reply has begun that is not complete."""
        return bool(self._buffer)

    def receive_data(self, data: bytes) -> None:
        """Add bytes as they came from the connection."""
        self._buffer += data

    def next_reply(self) -> Reply | None:
        """Return the next complete reply, or None until more data comes.

        Raise CounterProtocolError as soon as the data can't become a reply.
        """
        if not self._buffer:
            return None
        match = _REPLY.match(self._buffer)
        if match is None:
            if _INCOMPLETE_REPLY.fullmatch(self._buffer) is None:
                raise CounterProtocolError(repr(self._buffer[:MAX_QUOTED_BYTES]))
            return None
        self._buffer = self._buffer[match.end() :]
        return _parse_reply(match)


def _parse_reply(match: re.Match[bytes]) -> Reply:
    """Return the reply that _REPLY has matched; CounterProtocolError if its content is invalid."""
    length, number, error = match.groups()
    if error is not None:
        if _KNOWN_ERROR.fullmatch(error) is None:
            # a garbled error doesn't prove that nothing was added
            raise CounterProtocolError(repr(match[0]))
        return ErrorReply(error)
    if len(number) != int(length) or _DECIMAL_NUMBER.fullmatch(number) is None:
        raise CounterProtocolError(repr(match[0]))
    total = float(number)
    if not math.isfinite(total):
        raise CounterProtocolError(repr(match[0]))
    return TotalReply(total)
