"""A bounded reader of HTTP/1.1 responses from the bytes of one connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import ResponseError

MAX_BODY_BYTES = 64 * 1024  # bytes: the protocol's bound on a body
# Bytes of a request line or status line with its headers; those of interim responses count too.
MAX_HEAD_BYTES = 16 * 1024
MAX_CONTENT_LENGTH_DIGITS = 12

HTTP_OK = 200
FIRST_FINAL_STATUS = 200  # those below are of interim responses


class _TrailingDataError(Exception):
    """Another response begins before the complete one has been taken."""


@dataclass(slots=True)
class Response:
    """A complete response.

    Header names are in lower case; the values of one that is repeated are joined by commas.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool


class ResponseReader:
    """Turns the bytes of one connection into responses, one after another.

    With on_body the body of a response with status 200 goes there piece by piece and is not
    kept; an exception that it raises makes the response invalid.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_complete",
        "_ends_with_connection",
        "_head_size",
        "_headers",
        "_headers_done",
        "_max_body",
        "_on_body",
        "_parser",
    )

    def __init__(self, max_body: int, on_body: Callable[[bytes], None] | None = None) -> None:
        self._max_body = max_body
        self._on_body = on_body
        self._parser = httptools.HttpResponseParser(self)
        self._complete: Response | None = None
        self._ends_with_connection = False  # no length is stated for the body
        self._head_size = 0  # bytes of heads since the last response
        self.on_message_begin()

    @property
    def response_started(self) -> bool:
        """Whether bytes of a response have come that is not complete."""
        return self._headers_done or self._head_size > 0

    def feed(self, data: bytes) -> Response | None:
        """Return the response that these bytes complete, if they do.

        Bytes behind a complete response leave it valid, but its keep_alive is then False, as nobody
        can tell what they belong to. Raise ResponseError for an invalid response, or one beyond the
        bounds.
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
            raise ResponseError(f"a head of over {MAX_HEAD_BYTES} bytes")
        return response

    def feed_eof(self) -> Response | None:
        """Return the response that the end of the peer's sending completes, if it does.

        To be called for an orderly end alone: a reset is none, and completes nothing.
        """
        if not self._ends_with_connection:
            return None
        self._finish(keep_alive=False)
        response = self._complete
        self._complete = None
        self._head_size = 0
        self._headers_done = False
        return response

    # Callbacks of the parser, which wraps what they raise in an HttpParserError.

    def on_message_begin(self) -> None:
        """Reset what is kept of a response."""
        if self._complete is not None:
            raise _TrailingDataError
        self._headers: dict[bytes, bytes] = {}
        self._headers_done = False
        self._ends_with_connection = False
        self._body: list[bytes] = []
        self._body_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; a repeated one is joined to those before it."""
        name = name.lower()
        previous = self._headers.get(name)
        self._headers[name] = value if previous is None else previous + b", " + value

    def on_headers_complete(self) -> None:
        """Check the framing of the body; without any it ends with the connection (RFC 9112, 6.3).

        The bound on its length holds for such a body too, as its pieces come.
        """
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self._headers_done = True
        length = self._headers.get(b"content-length")
        coding = self._headers.get(b"transfer-encoding")
        if coding is not None:
            if coding.strip().lower() != b"chunked" or length is not None:
                raise ResponseError(f"a body framed by {coding!r} and length {length!r}")
        elif length is not None:
            self._check_content_length(length)
        else:
            self._ends_with_connection = status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        """Keep or pass on a piece of the body."""
        self._body_size += len(data)
        if self._body_size > self._max_body:
            raise ResponseError(f"a body of over {self._max_body} bytes")
        if self._on_body is None:
            self._body.append(data)
        elif self._parser.get_status_code() == HTTP_OK:
            self._on_body(data)

    def on_message_complete(self) -> None:
        """Put the response together; an interim response is followed by the real one."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self._finish(self._parser.should_keep_alive())
        self._headers_done = False

    def _finish(self, keep_alive: bool) -> None:
        """Put the complete response together."""
        status = self._parser.get_status_code()
        self._complete = Response(status, self._headers, b"".join(self._body), keep_alive)
        self._ends_with_connection = False

    def _check_content_length(self, length: bytes) -> None:
        too_long = len(length) > MAX_CONTENT_LENGTH_DIGITS
        if not length.isdigit() or too_long or int(length) > self._max_body:
            raise ResponseError(f"a body of {length[:40]!r} bytes")


def _describe(error: Exception) -> str:
    """Return what a callback raised, or else what the parser found."""
    cause = error.__context__
    if isinstance(cause, ValueError | ResponseError):
        return str(cause)
    return repr(cause or error)
