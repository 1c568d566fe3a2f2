"""Requests put together from the bytes of one client connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from sumacpost.errors import RequestError
from sumacpost.http1 import MAX_BODY_BYTES, MAX_HEAD_BYTES

MAX_MESSAGE_BYTES = 8 * MAX_BODY_BYTES  # of one message in all, with its chunk framing
MAX_CONTENT_LENGTH_DIGITS = 12  # of a Content-Length header


@dataclass(slots=True)
class RequestMessage:
    """A complete HTTP request as it came, its meaning not yet checked."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # names in lower case
    body: bytes
    keep_alive: bool  # another request may follow on the connection


class RequestReader:
    """Reads the bytes of one connection and passes each complete request to a callback.

    It does no I/O. The callback runs while the bytes behind its request are still unread.
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
        self.incomplete_bytes = 0  # fed since the last complete message
        self.has_partial_message = False  # a message has begun and is not complete
        self._clear()

    def feed(self, data: bytes) -> None:
        """Read further bytes.

        Raise RequestError where they are no request or exceed a bound; the reader is of no further
        use then, as nobody can tell where the next request would begin.
        """
        self.incomplete_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return  # a request like any other, after which its connection ends
        except httptools.HttpParserError as error:
            raise _request_error(error) from None
        if self._in_head and self.incomplete_bytes > MAX_HEAD_BYTES:
            raise RequestError(431, "the head is too long")
        if self.incomplete_bytes > MAX_MESSAGE_BYTES:
            raise RequestError(413, "the message is too long")

    def _clear(self) -> None:
        self._in_head = True
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0

    # Callbacks of httptools, which wraps the errors that they raise.

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.has_partial_message = True
        self._clear()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check how the body is framed. Ambiguous framing could hide a second request in it."""
        self._in_head = False
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise RequestError(400, "where the request ends can't be told")
        if codings:
            self._check_transfer_coding(codings[0])
        if lengths:
            _check_content_length(lengths[0])

    def _check_transfer_coding(self, coding: bytes) -> None:
        if coding.lower() != b"chunked" or self._parser.get_http_version() != "1.1":
            raise RequestError(400, "no such transfer coding")

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Pass the request on."""
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
    """Return the error that a callback raised, or one for bytes that are no HTTP request."""
    raised = error.__context__
    return raised if isinstance(raised, RequestError) else RequestError(400, "not an HTTP request")


def _check_content_length(length: bytes) -> None:
    if not length.isdigit():
        raise RequestError(400, "the length is no number")
    if len(length) > MAX_CONTENT_LENGTH_DIGITS or int(length) > MAX_BODY_BYTES:
        raise RequestError(413, "the body is too long")
