"""An incremental HTTP/1.1 response reader with bounds on the size of headers and body."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import ResponseError

MAX_BODY_BYTES = 64 * 1024  # the protocol's limit on the length of a body
# Limit on a request line or status line with its headers. The heads of the interim responses before
# a response count towards the same limit.
MAX_HEAD_BYTES = 16 * 1024
MAX_CONTENT_LENGTH_DIGITS = 12

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
        "_body",
        "_body_size",
        "_complete",
        "_ends_with_connection",
        "_head_size",
        "_headers",
        "_headers_done",
        "_max_body_bytes",
        "_on_body",
        "_parser",
    )

    def __init__(self, max_body_bytes: int, on_body: Callable[[bytes], None] | None = None) -> None:
        self._max_body_bytes = max_body_bytes
        self._on_body = on_body
        self._parser = httptools.HttpResponseParser(self)
        self._complete: Response | None = None
        self._ends_with_connection = False  # the body has no stated length
        self._head_size = 0  # bytes of all heads since the last complete response
        self.on_message_begin()

    @property
    def response_started(self) -> bool:
        """Whether part of a response has been received, but not all of it."""
        return self._headers_done or self._head_size > 0

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, or None if they complete none.

        Bytes after a complete response leave it valid, but set its keep_alive to False, because it
        is unknown what they belong to. Raise ResponseError if a response is invalid or exceeds the
        limits.
        """
        if not self._headers_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete is None:
                raise ResponseError(_describe(error)) from error
            self._complete.keep_alive = False
        response = self._complete
        if response is not None:
            self._complete = None
            self._head_size = 0
        elif not self._headers_done and self._head_size > MAX_HEAD_BYTES:
            raise ResponseError(f"response head exceeds {MAX_HEAD_BYTES} bytes")
        return response

    def feed_eof(self) -> Response | None:
        """Return the response that the end of the stream completes, or None if it completes none.

        Call this only after an orderly end of the stream; a connection reset completes no response.
        """
        if not self._ends_with_connection:
            return None
        self._finish(keep_alive=False)
        response = self._complete
        self._complete = None
        self._head_size = 0
        self._headers_done = False
        return response

    # Callbacks of the parser, which wraps the exceptions that they raise in an HttpParserError.

    def on_message_begin(self) -> None:
        """Reset the state of the current response."""
        if self._complete is not None:
            raise _TrailingDataError
        self._headers: dict[bytes, bytes] = {}
        self._headers_done = False
        self._ends_with_connection = False
        self._body: list[bytes] = []
        self._body_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; append the value of a repeated one to the previous values."""
        name = name.lower()
        previous = self._headers.get(name)
        self._headers[name] = value if previous is None else previous + b", " + value

    def on_headers_complete(self) -> None:
        """Check the framing of the body; a body without framing ends with the connection.

        See RFC 9112, section 6.3. The length limit applies to such a body too: `on_body` checks it
        for each part.
        """
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._headers_done = True
        length = self._headers.get(b"content-length")
        coding = self._headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.strip().lower() != b"chunked" or length is not None:
                raise ResponseError(
                    f"response body: invalid framing by Transfer-Encoding {coding!r}"
                    f" and Content-Length {length!r}"
                )
        elif length is not None:
            self._check_content_length(length)
        else:
            self._ends_with_connection = status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        """Store a part of the body, or pass it to the on_body callback."""
        self._body_size += len(data)
        if self._body_size > self._max_body_bytes:
            raise ResponseError(f"response body: exceeds {self._max_body_bytes} bytes")
        if self._on_body is None:
            self._body.append(data)
        elif self._parser.get_status_code() == HTTP_OK:
            self._on_body(data)

    def on_message_complete(self) -> None:
        """Assemble the response, unless it is an interim one, which a final response follows."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self._finish(self._parser.should_keep_alive())
        self._headers_done = False

    def _finish(self, keep_alive: bool) -> None:
        """Assemble the complete response."""
        status = self._parser.get_status_code()
        self._complete = Response(status, self._headers, b"".join(self._body), keep_alive)
        self._ends_with_connection = False

    def _check_content_length(self, length: bytes) -> None:
        too_long = len(length) > MAX_CONTENT_LENGTH_DIGITS
        if not length.isdigit() or too_long or int(length) > self._max_body_bytes:
            raise ResponseError(
                f"response body: Content-Length {length[:40]!r} is not a number"
                f" of at most {self._max_body_bytes}"
            )


def _describe(error: Exception) -> str:
    """Return the message of the callback's exception or, without one, of the parser's error."""
    cause = error.__context__
    if isinstance(cause, ValueError | ResponseError):
        return str(cause)
    return repr(cause or error)
