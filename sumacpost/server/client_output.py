"""The responses written to one client, and how much of them the client leaves unread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sumacpost.http_message import MAX_BODY_BYTES
from sumacpost.server.response import response_head

# With more unsent output than this, no further input is parsed.
OUTPUT_HIGH_WATER_BYTES = 16 * 1024
# Output counts as unread once it has been unsent for this long: a client that reads gets a response
# of usual length at once.
UNREAD_AFTER_S = 0.05


class ClientOutput:
    """Writes responses to a transport, which reports when the client reads too slowly, and ends it.

    on_unread is called when output has been unsent for UNREAD_AFTER_S.

    Attributes:
        paused: whether more than OUTPUT_HIGH_WATER_BYTES are unsent.
    """

    def __init__(self, on_unread: Callable[[], None]) -> None:
        self.paused = False
        self._on_unread = on_unread
        self._is_unread = False
        self._unsent_at_last_check = 0
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport

    @property
    def unsent_bytes(self) -> int:
        """The bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    def is_stalled(self) -> bool:
        """Return whether the kernel has taken nothing since the last call, though bytes are unsent.

        It takes no more while the client reads nothing.
        """
        unsent_bytes = self.unsent_bytes
        stalled = 0 < unsent_bytes == self._unsent_at_last_check
        self._unsent_at_last_check = unsent_bytes
        return stalled

    @property
    def unread_bytes(self) -> int:
        """The bytes that the client has not read in time."""
        return self.unsent_bytes if self._is_unread else 0

    def open(self, transport: asyncio.Transport) -> None:
        """Write to this transport, whose protocol has to call pause and resume."""
        self._transport = transport
        transport.set_write_buffer_limits(high=OUTPUT_HIGH_WATER_BYTES)

    def write(self, head: bytes, body: bytes, is_last: bool, count: int = 1) -> None:
        """Write a response a number of times; the last one may tell that the connection ends."""
        if count > 1:
            self._transport.write((head + b"\r\n\r\n" + body) * (count - 1))
        head += b"\r\nConnection: close\r\n\r\n" if is_last else b"\r\n\r\n"
        if len(body) > MAX_BODY_BYTES:
            self._transport.write(head)
            self._transport.write(body)  # written separately: joining would copy a large body
        else:
            self._transport.write(head + body)

    def write_error(self, status: int) -> None:
        """Write an error response without a body as the last one."""
        self.write(response_head(status, 0), b"", is_last=True)

    def end_sending(self) -> None:
        """Close only the sending direction, once everything has been sent; reading goes on."""
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def end(self, leaves_input: bool) -> None:
        """Close the connection once everything has been sent, or only its sending direction.

        leaves_input: whether input stays in the socket. Then the socket stays open until the client
            closes it or the registry ends it: if the client has sent more, closing would reset the
            connection, and a response that the client has not read yet could be lost. The client
            sees the connection end without a response to that input, and can send it again.
        """
        if self._transport.is_closing():
            return
        if leaves_input and self._transport.can_write_eof():
            self._transport.write_eof()
            self._transport.pause_reading()
        else:
            self._transport.close()

    def pause(self) -> None:
        """Record that much output is unsent."""
        self.paused = True
        self._timer = asyncio.get_running_loop().call_later(UNREAD_AFTER_S, self._set_unread)

    def resume(self) -> None:
        """Record that the output has been sent, or will be discarded."""
        self.paused = False
        self._is_unread = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_unread(self) -> None:
        self._is_unread = True
        self._on_unread()
