"""One connection to the discovery agent, on which one response after another is received."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from sumacpost.address import Address
from sumacpost.discovery.backoff import MAX_LIMITED_RESPONSE_BYTES
from sumacpost.http1 import Response, ResponseReader

# Timeout for a complete response, extended by the time that the received bytes take at the minimum
# rate. A response that trickles endlessly is abandoned in time for another poll within 6 s.
TRANSFER_TIMEOUT_S = 3.0
MIN_TRANSFER_BYTES_PER_S = 256 * 1024
# Bytes read in one iteration of the event loop: about thirty entries, at most 1 ms of work.
READ_BYTES = 4 * 1024


class PollConnection:
    """A connection to the agent.

    Attributes:
        received_bytes: size of the current response so far, 0 before its first bytes.
    """

    def __init__(self, piece_timeout_s: float) -> None:
        """Create a connection that is not open yet.

        piece_timeout_s: how long the next piece of an incomplete response may take, in seconds.
        """
        self.received_bytes = 0
        self._piece_timeout_s = piece_timeout_s
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: Address, limited: bool) -> None:
        """Connect to the agent; limited: whether only short responses will be read."""
        if not limited:
            self._reader, self._writer = await asyncio.open_connection(*address)
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            # A small receive buffer keeps the agent from sending bytes that will not be read.
            with suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_LIMITED_RESPONSE_BYTES // 4
                )
            await asyncio.get_running_loop().sock_connect(sock, address)
            self._reader, self._writer = await asyncio.open_connection(sock=sock)
        except BaseException:
            sock.close()
            raise

    def send(self, request: bytes) -> None:
        """Send a request; its response has to be received before the next one."""
        assert self._writer is not None
        self.received_bytes = 0
        self._writer.write(request)

    async def receive(
        self, response_reader: ResponseReader, begin_by: float, on_begin: Callable[[], None]
    ) -> Response:
        """Read a response, yielding to the event loop between pieces.

        Call on_begin when the first bytes have been read. Raise TimeoutError if there are none
        before begin_by, by the event loop's clock in seconds, or if the rest is too slow, and
        ConnectionResetError if the response is incomplete.
        """
        loop = asyncio.get_running_loop()
        complete_by = 0.0
        async with asyncio.timeout_at(begin_by) as timeout:
            while data := await self._reader.read(READ_BYTES):
                now = loop.time()
                if not self.received_bytes:
                    complete_by = now + TRANSFER_TIMEOUT_S
                    on_begin()
                self.received_bytes += len(data)
                response = response_reader.feed(data)
                if response is not None:
                    return response
                complete_by += len(data) / MIN_TRANSFER_BYTES_PER_S
                timeout.reschedule(min(complete_by, now + self._piece_timeout_s))
                await asyncio.sleep(0)
        if (response := response_reader.feed_eof()) is not None:
            return response
        raise ConnectionResetError(
            f"connection closed after {self.received_bytes} bytes of an incomplete response"
        )

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self._writer is not None:
            self._writer.close()
