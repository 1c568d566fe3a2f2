"""Hostile clients: each makes an ingress hold as much as it can, in one of several ways."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from enum import Enum

from fleetlab.stand_in import split_address

HELD_BODY_BYTES = 64_000  # sent of a body that is never complete; below the protocol's 64 KiB
HELD_HEAD_BYTES = 16_000  # sent of a head that is never complete; below the limit of a head
ENDLESS_HEAD_BYTES = 288_000
PIPELINED_REQUESTS = 300  # at once
TRAILER_BYTES = 400_000
REQUESTS_AT_ONCE = 8  # with so many responses owed an ingress parses no further
SINGLE_BYTES = 20_000
SINGLE_BYTE_PAUSE_S = 0.0002
STAY_S = 4.0  # for which a client keeps its connection after it has sent all
RECONNECT_PAUSE_S = 0.05
READ_BYTES = 64 * 1024

_GET = b"GET /r0/1 HTTP/1.1\r\n"
_GET_UNKNOWN = b"GET /none HTTP/1.1\r\n\r\n"
_POST = b"POST /book/1 HTTP/1.1\r\n"
_CHUNKED_POST = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
_ids = itertools.count(1)


class ClientKind(Enum):
    """What a hostile client sends; the values are those of the option --clients."""

    NONE = "none"
    ENDLESS_HEADS = "endless-heads"
    HELD_HEADS = "held-heads"  # short headers, almost as many as are permitted, then nothing
    HELD_BODIES = "held-bodies"  # with a Content-Length, almost complete, then nothing
    HELD_CHUNKS = "held-chunks"  # in chunks of two bytes, almost complete, then nothing
    TRAILERS = "trailers"  # a complete body, followed by short trailers without end
    PIPELINED = "pipelined"  # hundreds of requests at once, of no existing class, answers unread
    AT_ONCE = "at-once"  # hundreds of requests at once, of no existing class, again and again
    SINGLE_BYTES = "single-bytes"  # byte by byte, while responses are owed
    BODIES = "bodies"  # valid requests with the longest body, eight at once
    UNREAD_RESPONSES = "unread-responses"  # valid requests whose responses are never read
    LONG_TARGETS = "long-targets"  # the longest head, of no existing class
    NEW_CUSTOMERS = "new-customers"  # valid requests, each of another customer

    @property
    def reads(self) -> bool:
        """Whether the client reads the responses."""
        return self not in (ClientKind.PIPELINED, ClientKind.UNREAD_RESPONSES)


class HostileClients:
    """Clients of one kind that connect again as soon as their connection has ended."""

    def __init__(self, address: str, kind: ClientKind, count: int) -> None:
        self._address = split_address(address)
        self._kind = kind
        self._count = count if kind is not ClientKind.NONE else 0

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self._count):
                group.create_task(self._run_client())

    async def _run_client(self) -> None:
        while True:
            with suppress(OSError):
                await self._use_connection()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(*self._address)
        if self._kind is ClientKind.AT_ONCE:
            await _send_again_and_again(reader, writer)
            return
        reading = asyncio.create_task(_discard(reader)) if self._kind.reads else None
        try:
            async for piece in _pieces(self._kind):
                writer.write(piece)
                if self._kind.reads:
                    await writer.drain()
            if reading is not None:
                await asyncio.wait([reading], timeout=STAY_S)
            else:
                await asyncio.sleep(STAY_S)
        finally:
            if reading is not None:
                reading.cancel()
            writer.transport.abort()


async def _send_again_and_again(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send many requests at once, and the same again when all responses have been read."""
    try:
        while True:
            writer.write(_GET_UNKNOWN * PIPELINED_REQUESTS)
            missing = PIPELINED_REQUESTS
            while missing:
                data = await reader.read(READ_BYTES)
                if not data:
                    return
                missing -= data.count(b"HTTP/1.1 4")
    finally:
        writer.transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


async def _pieces(kind: ClientKind) -> AsyncIterator[bytes]:
    if kind is not ClientKind.SINGLE_BYTES:
        yield _MESSAGES[kind]()
        return
    yield _valid_requests(b"slow", REQUESTS_AT_ONCE)
    for byte in _valid_request(b"slow", HELD_BODY_BYTES)[:SINGLE_BYTES]:
        yield bytes([byte])
        await asyncio.sleep(SINGLE_BYTE_PAUSE_S)


def _valid_request(path: bytes, body_bytes: int = 0) -> bytes:
    """Return a request of a customer of its own; the path tells the backend how to respond."""
    number = next(_ids)
    head = (
        b"POST /book/%b HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: hostile-%d\r\n"
        b"Plan: plus\r\nAccount: %016x\r\nRequest-Timeout: 3.500\r\nIdempotency-Key: %d\r\n"
        b"Quota-Info: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n"
    )
    return head % (path, number, number, number, body_bytes) + b"x" * body_bytes


def _valid_requests(path: bytes, count: int, body_bytes: int = 0) -> bytes:
    return b"".join(_valid_request(path, body_bytes) for _ in range(count))


# All that a client of each kind sends on a connection.
_MESSAGES: dict[ClientKind, Callable[[], bytes]] = {
    ClientKind.ENDLESS_HEADS: lambda: _GET + b"X-A: 1\r\n" * (ENDLESS_HEAD_BYTES // 8),
    ClientKind.HELD_HEADS: lambda: _GET + b"X:\r\n" * (HELD_HEAD_BYTES // 4),
    ClientKind.HELD_BODIES: lambda: (
        _POST + b"Content-Length: %d\r\n\r\n" % (HELD_BODY_BYTES + 1) + b"x" * HELD_BODY_BYTES
    ),
    ClientKind.HELD_CHUNKS: lambda: _CHUNKED_POST + b"2\r\nxx\r\n" * (HELD_BODY_BYTES // 2),
    ClientKind.TRAILERS: lambda: (
        _CHUNKED_POST + b"1\r\nx\r\n0\r\n" + b"X:\r\n" * (TRAILER_BYTES // 4)
    ),
    ClientKind.PIPELINED: lambda: _GET_UNKNOWN * PIPELINED_REQUESTS,
    ClientKind.BODIES: lambda: _valid_requests(b"slow", REQUESTS_AT_ONCE, HELD_BODY_BYTES),
    ClientKind.UNREAD_RESPONSES: lambda: _valid_requests(b"large", PIPELINED_REQUESTS),
    ClientKind.LONG_TARGETS: lambda: (
        b"GET /none/%b HTTP/1.1\r\n\r\n" % (b"x" * (HELD_HEAD_BYTES - 100))
    ),
    ClientKind.NEW_CUSTOMERS: lambda: _valid_requests(b"1", PIPELINED_REQUESTS),
}
