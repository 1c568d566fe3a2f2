"""An incremental HTTP/1.1 response reader with bounds on the size of headers and body."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import MessageLimitError, MessagePart, ResponseError
from sumacpost.http_message import (
    MAX_CONTENT_LENGTH_DIGITS,
    SLICE_BYTES,
    Header,
    PartialMessage,
)

MAX_QUOTED_BYTES = 40  # bytes of an invalid header in an error message

HTTP_OK = 200
FIRST_FINAL_STATUS = 200  # lower statuses belong to interim responses


class _TrailingDataError(Exception):
    """Another response starts before the complete one has been returned."""


@dataclass(slots=True)
class Response:
    """A complete response.

    Header names are in lower case; the values of a repeated header are joined by commas.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class ResponseReader:
    """Parses the bytes of one connection into consecutive responses.

    If on_body is given, the body of a response with status 200 is passed to it in parts and is not
    stored; an exception raised by on_body makes the response invalid.
    """

    __slots__ = (
        "_complete",
        "_content_length",
        "_ends_with_connection",
        "_headers",
        "_max_body_bytes",
        "_message",
        "_on_body",
        "_parser",
        "on_body",
        "on_header",
    )

    def __init__(self, max_body_bytes: int, on_body: Callable[[bytes], None] | None = None) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_body = on_body or _ignore
        self._message = PartialMessage(max_body_bytes)
        # The callbacks that the parser calls most often.
        self.on_header = self._message.add_header
        self.on_body = self._message.add_body if on_body is None else self._pass_body
        self._parser = httptools.HttpResponseParser(self)
        self._complete: Response | None = None
        self._headers: dict[bytes, bytes] = {}
        self._content_length = 0
        self._ends_with_connection = False  # the body has no stated length

    @property
    def response_started(self) -> bool:
        """Whether part of a response has been received, but not all of it."""
        return self._message.head_bytes > 0

    @property
    def held_bytes(self) -> int:
        """The memory of the partial response, in bytes."""
        return self._message.held_bytes

    @property
    def slice_bytes(self) -> int:
        """How many bytes may be fed before other connections should have their turn.

        The rest of a body of known length is only copied, however long it is.
        """
        return max(SLICE_BYTES, self._content_length - self._message.body_bytes)

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, or None if they complete none.

        Bytes after a complete response leave it valid, but set its keep_alive to False, because it
        is unknown what they belong to. Raise ResponseError if a response is invalid or exceeds the
        limits.
        """
        if len(data) <= SLICE_BYTES:
            return self._feed_slice(data)
        for start in range(0, len(data), SLICE_BYTES):
            response = self._feed_slice(data[start : start + SLICE_BYTES])
            if response is not None:
                if start + SLICE_BYTES < len(data):
                    response.keep_alive = False
                return response
        return None

    def _feed_slice(self, data: bytes) -> Response | None:
        self._message.count_input(len(data))
        try:
            self._parser.feed_data(data)
            if self._complete is None:
                self._message.check_input()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete is None:
                raise ResponseError(_describe(error)) from None
            self._complete.keep_alive = False
        except MessageLimitError as error:
            raise ResponseError(_describe_limit(error)) from None
        return self._take_complete()

    def close(self) -> None:
        """Drop everything; call it when the connection has ended."""
        self._message.reset()
        self._ends_with_connection = False
        del self._parser  # breaks the reference cycle with this object

    def _take_complete(self) -> Response | None:
        response = self._complete
        self._complete = None
        return response

    def feed_eof(self) -> Response | None:
        """Return the response that the end of the stream completes, or None if it completes none.

        Call this only after an orderly end of the stream; a connection reset completes no response.
        """
        if not self._ends_with_connection:
            return None
        self._finish(keep_alive=False)
        return self._take_complete()

    # Callbacks of the parser, which wraps the exceptions that they raise in an HttpParserError.

    def on_message_begin(self) -> None:
        """Check that no response starts before the complete one has been returned."""
        if self._complete is not None:
            raise _TrailingDataError

    def on_headers_complete(self) -> None:
        """Check the framing of the body; a body without framing ends with the connection.

        See RFC 9112, section 6.3. The length limit applies to such a body too: `on_body` checks it
        for each part.
        """
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._message.end_head()
        self._headers = _join_repeated(self._message.headers)
        length = self._headers.get(b"content-length")
        coding = self._headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.strip().lower() != b"chunked" or length is not None:
                raise ResponseError(
                    f"response body: invalid framing by Transfer-Encoding"
                    f" {coding[:MAX_QUOTED_BYTES]!r}"
                    f" and Content-Length {(length or b'')[:MAX_QUOTED_BYTES]!r}"
                )
        elif length is not None:
            self._check_content_length(length)
        else:
            self._ends_with_connection = status not in (204, 304)

    def _pass_body(self, data: bytes) -> None:
        """Pass a part of the body to the caller's callback."""
        self._message.count_body(len(data))
        if self._parser.get_status_code() == HTTP_OK:
            self._on_body(data)

    def on_message_complete(self) -> None:
        """Assemble the response, unless it is an interim one, which a final response follows."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self._finish(self._parser.should_keep_alive())
        else:
            self._message.restart_head()

    def _finish(self, keep_alive: bool) -> None:
        """Assemble the complete response, and keep nothing of it."""
        status = self._parser.get_status_code()
        self._complete = Response(status, self._headers, self._message.take_body(), keep_alive)
        self._message.reset()
        self._headers = {}
        self._content_length = 0
        self._ends_with_connection = False

    def _check_content_length(self, length: bytes) -> None:
        too_long = len(length) > MAX_CONTENT_LENGTH_DIGITS
        if not length.isdigit() or too_long or int(length) > self._max_body_bytes:
            raise ResponseError(
                f"response body: Content-Length {length[:MAX_QUOTED_BYTES]!r} is not a number"
                f" of at most {self._max_body_bytes}"
            )
        self._content_length = int(length)


def _ignore(_data: bytes) -> None:
    pass


def _join_repeated(headers: list[Header]) -> dict[bytes, bytes]:
    """Return the headers by name, with the values of a repeated one joined by commas."""
    by_name = dict(headers)
    if len(by_name) < len(headers):
        for name in by_name:
            by_name[name] = b", ".join(value for other, value in headers if other == name)
    return by_name


def _describe(error: Exception) -> str:
    """Return the message of the callback's exception or, without one, of the parser's error."""
    cause = error.__context__
    if isinstance(cause, MessageLimitError):
        return _describe_limit(cause)
    if isinstance(cause, ValueError | ResponseError):
        return str(cause)
    return repr(cause or error)


def _describe_limit(error: MessageLimitError) -> str:
    separator = ":" if error.part is MessagePart.BODY else ""
    return f"response {error.part.value}{separator} {error.reason}"
