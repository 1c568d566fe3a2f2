"""Backends that answer usual requests, and hostile ones in one of several ways."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterator
from enum import Enum

from fleetlab.stand_in import StandInServer

SLOW_RESPONSE_S = 3.0
LARGE_BODY_BYTES = 60_000
PIECE_BYTES = 32 * 1024
PIECES = 4096

_CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.I)
_USUAL = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class BackendKind(Enum):
    """How backends answer a part of the requests; the values are those of --backends."""

    NONE = "none"
    ENDLESS_BODIES = "endless-bodies"
    SINGLE_BYTE_CHUNKS = "single-byte-chunks"  # a body without end in chunks of one byte
    TRAILERS = "trailers"  # short trailers without end
    LONG_TRAILER = "long-trailer"  # one trailer without end
    HEADERS = "headers"  # short headers without end
    INTERIM = "interim"  # responses with status 100 without end


class HostileBackends(StandInServer):
    """Backends on loopback ports.

    A request of the class `r0` gets a usual response, but for every `hostile_interval`-th, whose
    response is of the hostile kind. Requests of other classes get a slow or a large response,
    according to their path.
    """

    def __init__(self, ports: int, kind: BackendKind, hostile_interval: int) -> None:
        super().__init__()
        self.endpoints: list[str] = []
        self._ports = ports
        self._kind = kind
        self._hostile_interval = hostile_interval
        self._requests = 0

    async def start(self) -> None:
        """Listen on all ports."""
        for _ in range(self._ports):
            self.endpoints.append(await self._listen())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not writer.transport.is_closing():
            head = await reader.readuntil(b"\r\n\r\n")
            if (length := _CONTENT_LENGTH.search(head)) is not None:
                await reader.readexactly(int(length[1]))
            await self._respond(head.split(b" ", 2)[1], writer)

    async def _respond(self, target: bytes, writer: asyncio.StreamWriter) -> None:
        self._requests += 1
        if target.endswith(b"/slow"):
            await asyncio.sleep(SLOW_RESPONSE_S)
            writer.write(_USUAL)
        elif target.endswith(b"/large"):
            body = b"x" * LARGE_BODY_BYTES
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        elif self._kind is BackendKind.NONE or self._requests % self._hostile_interval:
            writer.write(_USUAL)
        else:
            for piece in _pieces(self._kind):
                if writer.transport.is_closing():
                    return
                writer.write(piece)
                await writer.drain()


def _pieces(kind: BackendKind) -> Iterator[bytes]:
    """Return the pieces of a response that does not end."""
    match kind:
        case BackendKind.ENDLESS_BODIES:
            yield _CHUNKED
            piece = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
        case BackendKind.SINGLE_BYTE_CHUNKS:
            yield _CHUNKED
            piece = b"1\r\nx\r\n" * (PIECE_BYTES // 6)
        case BackendKind.TRAILERS:
            yield _CHUNKED + b"1\r\nx\r\n0\r\n"
            yield from (
                b"".join(b"%x-%x:\r\n" % (number, line) for line in range(PIECE_BYTES // 8))
                for number in range(PIECES)
            )
            return
        case BackendKind.LONG_TRAILER:
            yield _CHUNKED + b"1\r\nx\r\n0\r\nX: "
            piece = b"x" * PIECE_BYTES
        case BackendKind.HEADERS:
            yield b"HTTP/1.1 200 OK\r\n"
            yield from (
                b"".join(b"%x-%x:\r\n" % (number, line) for line in range(PIECE_BYTES // 8))
                for number in range(PIECES)
            )
            return
        case _:
            piece = b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE_BYTES // 25)
    for _ in range(PIECES):
        yield piece
