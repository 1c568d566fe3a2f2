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


class ClientInput(InputBuffer):
    """Buffers the bytes that are read from a client, and parses them in parts.

    on_request is called with each complete request. unread_age_s is how long the first input has
    already been waiting in the socket, in seconds.

    Attributes:
        reader: reads the requests; knows about a partial one.
        stopped: whether further bytes are left in the socket for good.
    """

    __slots__ = ("_paused_at", "_sock", "_transport", "_unread_age_s", "reader", "stopped")

    def __init__(
        self,
        sock: socket.socket,
        on_request: Callable[[RequestMessage], None],
        unread_age_s: float,
    ) -> None:
        super().__init__()
        self.reader = RequestReader(on_request)
        self._sock = sock
        self._unread_age_s = unread_age_s
        self._paused_at: float | None = None  # monotonic seconds
        self._transport: asyncio.Transport
        self.stopped = False

    @property
    def reading_paused(self) -> bool:
        """Whether reading is paused because much input waits for its turn."""
        return self._paused_at is not None

    def open(self, transport: asyncio.Transport) -> None:
        """Set the transport that the bytes are read from."""
        self._transport = transport

    def receive(self, data: bytes) -> None:
        """Buffer the bytes of one read."""
        self.append(time.monotonic() - self._unread_age_s, data)
        self._unread_age_s = 0.0

    def parse_part(self) -> None:
        """Parse a limited part of the bytes; raise RequestError if they are invalid."""
        self.reader.feed(self.take(self.reader.slice_bytes))

    def drop_requests(self) -> int:
        """Drop all bytes; return how many requests begin in them, the partial one included."""
        return self.reader.count_requests(lambda size: self.take(size) if self else b"")

    def control_reading(self) -> None:
        """Pause reading while much input waits for its turn; resume it afterwards.

        A client that sends on and on could otherwise fill the buffer faster than it is parsed.
        """
        if self._paused_at is None:
            if self.size > PAUSE_READING_BYTES:
                self._paused_at = time.monotonic()
                self._transport.pause_reading()
        elif self.size < RESUME_READING_BYTES:
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
        self.stopped = True
        self._paused_at = None
        self._transport.pause_reading()

    def discard(self) -> None:
        """Drop all bytes, and ignore those that follow; reading goes on."""
        self.clear()
        self.reader.discard()
        self.resume_reading()

    def close(self) -> None:
        """Drop everything; call it when the connection has ended."""
        self.reader.close()
