"""A minimal HTTP client connection for generated load and health checks."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

from fleetlab.stand_in import split_address

HTTP_OK = 200
_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)


@dataclass(frozen=True, slots=True, eq=False)
class HttpConnection:
    """A connection that carries one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def open(cls, address: str) -> HttpConnection:
        """Connect to an address, given as host:port; raise OSError if that fails."""
        host, port = split_address(address)
        return cls(*await asyncio.open_connection(host, port))

    async def request(self, message: bytes) -> int:
        """Send a complete request, read the complete response and return its status."""
        self.writer.write(message)
        head = await self.reader.readuntil(b"\r\n\r\n")
        if (length := _CONTENT_LENGTH.search(head)) is not None:
            await self.reader.readexactly(int(length[1]))
        return int(head.split(b" ", 2)[1])

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
