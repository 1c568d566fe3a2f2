"""What is held of an HTTP message while it is received, and the limits on it.

A parser reports the parts of a message as they are received. Each header is an object that costs
several times its bytes on the wire, and so does each piece of a body, however small; a trailer or a
chunk extension may go on without end. Both readers, of requests and of responses, collect the parts
here, where every limit is checked.
"""

from __future__ import annotations

from sumacpost.errors import MessageLimitError, MessagePart

MAX_BODY_BYTES = 64 * 1024  # the protocol's limit on the length of a body
# Limit on a request line or status line with its headers. The heads of the interim responses before
# a response count towards the same limit.
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 256
# Limit on consecutive bytes after the head that belong to no body: chunk extensions and trailers.
MAX_FRAMING_BYTES = MAX_HEAD_BYTES
MAX_CONTENT_LENGTH_DIGITS = 12
# Memory of one header beyond its bytes: a tuple and two byte strings.
HEADER_OVERHEAD_BYTES = 180
# Input is passed to a parser in slices, so that the limits are checked before the parser has
# created many objects.
SLICE_BYTES = 4 * 1024

Header = tuple[bytes, bytes]
"""Name in lower case, and value."""


class PartialMessage:
    """The parts of a message received so far.

    Every method that adds something raises MessageLimitError once a limit is exceeded.

    Attributes:
        headers: the headers of the head; trailers are dropped.
        in_head: whether the head is not complete yet.
        head_bytes: bytes received before the end of the head, since the last complete message.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_framing_bytes",
        "_max_body_bytes",
        "head_bytes",
        "headers",
        "in_head",
    )

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._body = bytearray()
        self.reset()

    def reset(self) -> None:
        """Drop all parts, as after a complete message."""
        self.head_bytes = 0
        self.restart_head()

    def restart_head(self) -> None:
        """Drop all parts but the count of the bytes of the head, as after an interim response."""
        self.in_head = True
        self.headers: list[Header] = []
        if self._body:
            self._body = bytearray()
        self._body_bytes = 0
        self._framing_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The memory that the parts take, in bytes, also of those that the parser still holds."""
        return (
            self.head_bytes
            + HEADER_OVERHEAD_BYTES * len(self.headers)
            + self._framing_bytes
            + self._body.__alloc__()
        )

    @property
    def body_bytes(self) -> int:
        """The length of the body so far, whether or not it is kept."""
        return self._body_bytes or len(self._body)

    def count_input(self, size: int) -> None:
        """Count bytes that are about to be parsed."""
        if self.in_head:
            self.head_bytes += size
        else:
            self._framing_bytes += size

    def check_input(self) -> None:
        """Check the bytes that have been parsed without completing a head, or adding to a body."""
        if self.in_head and self.head_bytes > MAX_HEAD_BYTES:
            raise MessageLimitError(MessagePart.HEAD, f"exceeds {MAX_HEAD_BYTES} bytes")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise MessageLimitError(MessagePart.FRAMING, f"exceeds {MAX_FRAMING_BYTES} bytes")

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header; drop it if it is a trailer."""
        if not self.in_head:
            return
        if len(self.headers) == MAX_HEADERS:
            raise MessageLimitError(MessagePart.HEAD, f"exceeds {MAX_HEADERS} headers")
        self.headers.append((name.lower(), value))

    def end_head(self) -> None:
        """Record that the head is complete."""
        self.in_head = False

    def count_body(self, size: int) -> None:
        """Count a piece of the body without keeping it."""
        self._framing_bytes = 0
        self._body_bytes += size
        if self._body_bytes > self._max_body_bytes:
            raise MessageLimitError(MessagePart.BODY, f"exceeds {self._max_body_bytes} bytes")

    def add_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        # As count_body, but without a call for each piece, which may be a single byte.
        self._framing_bytes = 0
        self._body += data
        if len(self._body) > self._max_body_bytes:
            raise MessageLimitError(MessagePart.BODY, f"exceeds {self._max_body_bytes} bytes")

    def take_body(self) -> bytes:
        """Remove and return the body."""
        if not self._body:
            return b""
        body = bytes(self._body)
        self._body = bytearray()
        return body
