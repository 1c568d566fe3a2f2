"""The input of one client connection, from the socket to complete requests."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from sumacpost.server.input_buffer import MAX_BUFFERED_BYTES, InputBuffer
from sumacpost.server.request_reader import RequestMessage, RequestReader
from sumacpost.server.socket_state import unread_input_age_s

# While input waits for its turn to be parsed, reading is paused above the first size, and resumed
# below the second one.
PAUSE_READING_BYTES = MAX_BUFFERED_BYTES
RESUME_READING_BYTES = MAX_BUFFERED_BYTES // 4


class ClientInput:
    """Buffers the bytes that are read from a client, and parses them in parts.

    on_request is called with each complete request. unread_age_s is how long the first input has
    already been waiting in the socket, in seconds.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_request: Callable[[RequestMessage], None],
        unread_age_s: float,
    ) -> None:
        self._sock = sock
        self._reader = RequestReader(on_request)
        self._buffer = InputBuffer()
        self._unread_age_s = unread_age_s
        self._paused_at: float | None = None  # monotonic seconds
        self._transport: asyncio.Transport

    def __bool__(self) -> bool:
        """Whether there are bytes that have not been parsed."""
        return bool(self._buffer)

    @property
    def size(self) -> int:
        """The number of bytes that have not been parsed."""
        return self._buffer.size

    @property
    def overflowed(self) -> bool:
        """Whether there is more than may wait for the responses to earlier requests."""
        return self._buffer.overflowed

    @property
    def received_at(self) -> float:
        """When the bytes parsed last were received, in monotonic seconds."""
        return self._buffer.received_at

    @property
    def has_partial_message(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._reader.has_partial_message

    @property
    def incomplete_bytes(self) -> int:
        """How many bytes have been parsed after the part that completed the last request."""
        return self._reader.incomplete_bytes

    @property
    def held_bytes(self) -> int:
        """The memory of all bytes, and of the partial request, in bytes."""
        partial_bytes = self._reader.held_bytes if self._reader.has_partial_message else 0
        return partial_bytes + self._buffer.held_bytes

    def open(self, transport: asyncio.Transport) -> None:
        """Set the transport that the bytes are read from."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Buffer the bytes of one read."""
        self._buffer.append(time.monotonic() - self._unread_age_s, data)
        self._unread_age_s = 0.0

    def parse_part(self) -> None:
        """Parse a limited part of the bytes; raise RequestError if they are invalid."""
        self._reader.feed(self._buffer.take(self._reader.slice_bytes))

    def control_reading(self) -> None:
        """Pause reading while much input waits for its turn; resume it afterwards.

        A client that sends on and on could otherwise fill the buffer faster than it is parsed.
        """
        if self._paused_at is None:
            if self._buffer.size > PAUSE_READING_BYTES:
                self._paused_at = time.monotonic()
                self._transport.pause_reading()
        elif self._buffer.size < RESUME_READING_BYTES:
            self.resume_reading()

    def resume_reading(self) -> None:
        """Resume reading if it is paused."""
        if self._paused_at is None:
            return
        paused_s = time.monotonic() - self._paused_at
        self._paused_at = None
        if not self._transport.is_closing():
            self._unread_age_s = unread_input_age_s(self._sock, paused_s)
            self._transport.resume_reading()

    def stop_reading(self) -> None:
        """Leave further bytes in the socket for good."""
        self._paused_at = None
        self._transport.pause_reading()

    def discard(self) -> None:
        """Drop all bytes, and ignore those that follow; reading goes on."""
        self._buffer.clear()
        self._reader.discard()
        self.resume_reading()

    def close(self) -> None:
        """Drop everything; call it when the connection has ended."""
        self._reader.close()
