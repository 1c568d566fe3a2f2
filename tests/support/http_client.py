"""Clients of the ingress and the requests that they send."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from tests.support.peers import read_message

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
SILENT = "60.000"  # a client's time that no step of a test takes


def request(cls: str = "vat-filing", number: int = 1, **changes: str | None) -> bytes:
    """A client's request; changes name headers with _ for -, None leaves one out."""
    method = "GET" if cls == "ledger-read" else "POST"
    headers: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{number:016x}",
        "Plan": "plus",
        "Account": "0000000000000009",
        "Request-Timeout": "1.500",
        "Quota-Info": "units=2,spread=2,first=0",
    }
    if cls == "payment-book":
        headers["Idempotency-Key"] = "ab" * 16
    body = changes.pop("body", "" if method == "GET" else "receipt") or ""
    if method == "POST":
        headers["Content-Length"] = str(len(body))
    headers |= {
        name.replace("_", "-"): value
        for name, value in changes.items()
        if name not in ("method", "path")
    }
    lines = [
        f"{changes.get('method') or method} {changes.get('path') or '/' + cls + '/7?year=3'} HTTP/1.1"
    ]
    lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Status, head and body of the answer."""
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        head, _, body = (await read_message(self.reader)).partition(b"\r\n\r\n")
        return int(head.split()[1]), head, body


class HeldClient:
    """A client on a blocking socket: what it does is known to the kernel at once, while the loop is held too."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def leave(self, how: str) -> None:
        """Close, reset or end the sending; a client that stays does nothing."""
        if how == "half closed":
            self.sock.shutdown(socket.SHUT_WR)
        elif how in ("closed", "reset"):
            if how == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


def sent(w: Any) -> int:
    return sum(len(b.requests) for b in w.backends)


def leave(client: Client, how: str) -> None:
    if how == "reset":
        sock = client.writer.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.writer.transport.abort()


async def ask_once(port: int, data: bytes, seconds: float = 2.0) -> tuple[int, bytes]:
    """Status and body of the answer on a new connection; 0 if none comes."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                status, _, body = await Client(reader, writer).ask(data)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    return status, body
