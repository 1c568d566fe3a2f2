"""Reads complete requests from the bytes of one client connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import RequestError
from sumacpost.http1 import MAX_BODY_BYTES, MAX_HEAD_BYTES

MAX_MESSAGE_BYTES = 8 * MAX_BODY_BYTES  # limit of a whole message, including its chunk framing
MAX_CONTENT_LENGTH_DIGITS = 12  # limit of the digits in a Content-Length header


@dataclass(slots=True)
class RequestMessage:
    """A complete HTTP request whose headers have not been validated yet."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names in lower case
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
        "_body",
        "_body_size",
        "_headers",
        "_in_head",
        "_on_request",
        "_parser",
        "_target",
        "has_partial_message",
        "incomplete_bytes",
    )

    def __init__(self, on_request: Callable[[RequestMessage], None]) -> None:
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self.incomplete_bytes = 0
        self.has_partial_message = False
        self._clear()

    def feed(self, data: bytes) -> None:
        """Parse further bytes.

        Raise RequestError if the bytes are not a valid request or exceed a limit. The reader must
        not be used after that, because the start of the next request is unknown.
        """
        self.incomplete_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return  # treated as an ordinary request, after which the connection ends
        except httptools.HttpParserError as error:
            raise _request_error(error) from None
        if self._in_head and self.incomplete_bytes > MAX_HEAD_BYTES:
            raise RequestError(431, f"request head exceeds {MAX_HEAD_BYTES} bytes")
        if self.incomplete_bytes > MAX_MESSAGE_BYTES:
            raise RequestError(413, f"request message exceeds {MAX_MESSAGE_BYTES} bytes")

    def _clear(self) -> None:
        self._in_head = True
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0

    # Callbacks of httptools, which wraps the exceptions that they raise.

    def on_message_begin(self) -> None:
        """Prepare for a new message."""
        self.has_partial_message = True
        self._clear()

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the framing of the body; ambiguous framing could hide a second request in it."""
        self._in_head = False
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise RequestError(
                400, "ambiguous framing: more than one Content-Length or Transfer-Encoding header"
            )
        if codings:
            self._check_transfer_coding(codings[0])
        if lengths:
            _check_content_length(lengths[0])

    def _check_transfer_coding(self, coding: bytes) -> None:
        if coding.lower() != b"chunked" or self._parser.get_http_version() != "1.1":
            raise RequestError(400, "transfer coding other than chunked in HTTP/1.1")

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            raise RequestError(413, f"request body exceeds {MAX_BODY_BYTES} bytes")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the callback."""
        self.incomplete_bytes = 0
        self.has_partial_message = False
        parser = self._parser
        self._on_request(
            RequestMessage(
                parser.get_method(),
                self._target,
                self._headers,
                b"".join(self._body),
                parser.should_keep_alive() and not parser.should_upgrade(),
            )
        )


def _request_error(error: httptools.HttpParserError) -> RequestError:
    """Return the RequestError that a callback raised, or a new one for malformed HTTP."""
    raised = error.__context__
    return raised if isinstance(raised, RequestError) else RequestError(400, "malformed HTTP")


def _check_content_length(length: bytes) -> None:
    if not length.isdigit():
        raise RequestError(400, "Content-Length is not a number")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise RequestError(
            413,
            f"Content-Length exceeds {MAX_BODY_BYTES} bytes or {MAX_CONTENT_LENGTH_DIGITS} digits",
        )
