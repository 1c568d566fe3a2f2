"""Clients of the ingress, and the requests that they send."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import NamedTuple, cast

from tests.support.peers import read_message

HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_TIMEOUT = "60.000"  # Request-Timeout in seconds; longer than any test

# With this SO_LINGER value, closing the socket sends RST.
LINGER_ZERO = struct.pack("ii", 1, 0)


def request(request_class: str = "vat-filing", number: int = 1, **changes: str | None) -> bytes:
    """Return a request as a client sends it.

    Each keyword in `changes` is `method`, `path`, `body` or a header name with `_` instead of `-`.
    The value None omits a header or body, and selects the default method or path.
    """
    method = "GET" if request_class == "ledger-read" else "POST"
    headers: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{number:016x}",
        "Plan": "plus",
        "Account": "0000000000000009",
        "Request-Timeout": "1.500",
        "Quota-Info": "units=2,spread=2,first=0",
    }
    if request_class == "payment-book":
        headers["Idempotency-Key"] = "ab" * 16
    body = changes.pop("body", "" if method == "GET" else "receipt") or ""
    if method == "POST":
        headers["Content-Length"] = str(len(body))
    method = changes.pop("method", None) or method
    path = changes.pop("path", None) or f"/{request_class}/7?year=3"
    headers |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Response(NamedTuple):
    """A response received by a client."""

    status: int
    head: bytes
    body: bytes


class Client:
    """A client connection on the event loop of the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def write(self, data: bytes) -> None:
        """Write bytes to the connection."""
        self.writer.write(data)

    async def send(self, data: bytes) -> Response:
        """Send a request and return the next response on the connection."""
        self.write(data)
        return await self.read_response()

    async def read_response(self) -> Response:
        """Return the next response on the connection."""
        head, _, body = (await read_message(self.reader)).partition(b"\r\n\r\n")
        return Response(int(head.split()[1]), head, body)

    async def read_responses(self, count: int) -> list[Response]:
        """Return the next `count` responses on the connection."""
        return [await self.read_response() for _ in range(count)]

    async def read_to_end(self) -> bytes:
        """Return all bytes received until the ingress closes the connection."""
        return await self.reader.read()

    def pause_reading(self) -> None:
        """Stop reading bytes from the socket."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Undo `pause_reading`."""
        self._transport.resume_reading()

    @property
    def _transport(self) -> asyncio.Transport:
        return cast(asyncio.Transport, self.writer.transport)

    def disconnect(self, how: str) -> None:
        """Disconnect immediately, with FIN ("closed") or with RST ("reset")."""
        if how == "reset":
            sock = self.writer.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.writer.transport.abort()


class BlockingClient:
    """A client on a blocking socket; it can send even while the event loop is blocked."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)

    def write(self, data: bytes) -> None:
        """Send all bytes to the kernel."""
        self.sock.sendall(data)

    def disconnect(self, how: str) -> None:
        """Disconnect as `how` says.

        "closed" and "reset" close the socket, "half closed" ends only its sending direction, and
        any other value leaves the connection open.
        """
        if how == "half closed":
            self.sock.shutdown(socket.SHUT_WR)
        elif how in ("closed", "reset"):
            if how == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            self.sock.close()


async def send_once(port: int, data: bytes, timeout_s: float = 2.0) -> Response:
    """Send a request on a new connection; the status is 0 if there is no complete response."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                return await Client(reader, writer).send(data)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Response(0, b"", b"")
