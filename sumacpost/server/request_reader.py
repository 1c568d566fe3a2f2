"""Reads complete requests from the bytes of one client connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import MessageLimitError, MessagePart, RequestError
from sumacpost.http_message import (
    MAX_BODY_BYTES,
    MAX_CONTENT_LENGTH_DIGITS,
    Header,
    PartialMessage,
)

MAX_MESSAGE_BYTES = 8 * MAX_BODY_BYTES  # limit of a whole message, including its chunk framing
# A slice of input that may contain several requests: at most some thirty of the shortest.
MIN_SLICE_BYTES = 512

_STATUS_BY_PART = {MessagePart.HEAD: 431, MessagePart.BODY: 413, MessagePart.FRAMING: 413}


@dataclass(slots=True)
class RequestMessage:
    """A complete HTTP request whose headers have not been validated yet."""

    method: bytes
    target: bytes
    headers: list[Header]  # names in lower case
    body: bytes
    keep_alive: bool  # whether another request may follow on the connection


class RequestReader:
    """Reads the bytes of one connection and passes each complete request to a callback.

    The reader does no I/O. The callback runs before the bytes after its request are parsed.

    Attributes:
        incomplete_bytes: how many bytes have been fed after the piece of input that ended the last
            complete message.
        has_partial_message: whether a message has begun and is not complete.
    """

    __slots__ = (
        "_discarded",
        "_message",
        "_missing_body_bytes",
        "_on_request",
        "_parser",
        "_target",
        "has_partial_message",
        "incomplete_bytes",
        "on_header",
    )

    def __init__(self, on_request: Callable[[RequestMessage], None]) -> None:
        self._on_request = on_request
        self._message = PartialMessage()
        self.on_header = self._message.add_header  # a callback of httptools, called most often
        self._parser = httptools.HttpRequestParser(self)
        self._discarded = False
        self._missing_body_bytes = 0  # by the Content-Length of the partial message
        self._target = b""
        self.incomplete_bytes = 0
        self.has_partial_message = False

    @property
    def held_bytes(self) -> int:
        """The memory of the partial message, in bytes."""
        return len(self._target) + self._message.held_bytes

    @property
    def slice_bytes(self) -> int:
        """How many bytes should be fed at a time.

        The caller can decide between two slices whether to go on, so a slice contains few requests.
        """
        return max(MIN_SLICE_BYTES, self._missing_body_bytes)

    def feed(self, data: bytes | bytearray) -> None:
        """Parse further bytes.

        Raise RequestError if the bytes are not a valid request or exceed a limit. The reader must
        not be used after that, because the start of the next request is unknown.
        """
        if self._discarded:
            return
        self.incomplete_bytes += len(data)
        self._message.count_input(len(data))
        try:
            self._parser.feed_data(data)
            if self.has_partial_message:
                self._message.check_input()
        except httptools.HttpParserUpgrade:
            return  # treated as an ordinary request, after which the connection ends
        except httptools.HttpParserError as error:
            raise _request_error(error) from None
        except MessageLimitError as error:
            raise _limit_error(error) from None
        finally:
            if self._discarded:
                self._clear()
        if self.incomplete_bytes > MAX_MESSAGE_BYTES:
            raise RequestError(413, f"request message exceeds {MAX_MESSAGE_BYTES} bytes")

    def count_requests(self, next_slice: Callable[[int], bytes | bytearray]) -> int:
        """Parse further bytes only to count the requests that begin in them, and drop all.

        The partial message counts as well, and so does invalid input, which ends the count; a
        request after which the connection has to end does so too. The reader must not be used after
        that.

        next_slice: returns at most the given number of bytes, and none at the end of the input.
        """
        counted = 0

        def count(message: RequestMessage) -> None:
            nonlocal counted
            counted += 1
            self._discarded = not message.keep_alive

        self._on_request = count
        try:
            while not self._discarded and (data := next_slice(self.slice_bytes)):
                self.feed(data)
        except RequestError:
            return counted + 1
        return counted if self._discarded else counted + self.has_partial_message

    def discard(self) -> None:
        """Drop the partial message, and ignore all further input.

        has_partial_message and incomplete_bytes still tell what had been received.
        May be called from the callback, while the input that contains the request is being parsed.
        """
        self._discarded = True
        self._clear()

    def close(self) -> None:
        """Drop everything; call it when the connection has ended."""
        self.discard()
        del self._parser  # breaks the reference cycle with this object

    def _clear(self) -> None:
        self._message.reset()
        self._missing_body_bytes = 0
        self._target = b""

    # Callbacks of httptools, which wraps the exceptions that they raise.

    def on_message_begin(self) -> None:
        """Prepare for a new message."""
        self.has_partial_message = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_headers_complete(self) -> None:
        """Check the framing of the body; ambiguous framing could hide a second request in it."""
        self._message.end_head()
        headers = self._message.headers
        lengths = [value for name, value in headers if name == b"content-length"]
        codings = [value for name, value in headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise RequestError(
                400, "ambiguous framing: more than one Content-Length or Transfer-Encoding header"
            )
        if codings:
            self._check_transfer_coding(codings[0])
        if lengths:
            self._missing_body_bytes = _parse_content_length(lengths[0])

    def _check_transfer_coding(self, coding: bytes) -> None:
        if coding.lower() != b"chunked" or self._parser.get_http_version() != "1.1":
            raise RequestError(400, "transfer coding other than chunked in HTTP/1.1")

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self._missing_body_bytes -= len(data)
        self._message.add_body(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the callback."""
        parser = self._parser
        message = RequestMessage(
            parser.get_method(),
            self._target,
            self._message.headers,
            self._message.take_body(),
            parser.should_keep_alive() and not parser.should_upgrade(),
        )
        self._clear()
        self.incomplete_bytes = 0
        self.has_partial_message = False
        self._on_request(message)


def _request_error(error: httptools.HttpParserError) -> RequestError:
    """Return the error that a callback raised, or a new one for malformed HTTP."""
    raised = error.__context__
    if isinstance(raised, MessageLimitError):
        return _limit_error(raised)
    return raised if isinstance(raised, RequestError) else RequestError(400, "malformed HTTP")


def _limit_error(error: MessageLimitError) -> RequestError:
    return RequestError(_STATUS_BY_PART[error.part], f"request {error}")


def _parse_content_length(length: bytes) -> int:
    if not length.isdigit():
        raise RequestError(400, "Content-Length is not a number")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise RequestError(
            413,
            f"Content-Length exceeds {MAX_BODY_BYTES} bytes or {MAX_CONTENT_LENGTH_DIGITS} digits",
        )
    return int(length)
