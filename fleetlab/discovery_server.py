"""A stand-in for discovery: full lists, long polls for changes, and invalid responses."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator, Iterable, Sequence
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from fleetlab.stand_in import LOOPBACK, StandInServer, format_address
from fleetlab.versioned_list import JsonObject, VersionedList

LIST_PATH = "/v1/servers"
CHUNK_BYTES = 64 * 1024  # bytes of a body per write; also the size of the send buffer
MAX_HOLD_MS = 60_000
OVERSIZED_BYTES = 256 * 1024 * 1024  # Content-Length of a list that no reader should read in full
NESTING_DEPTH = 200_000  # nested arrays in a deeply nested list
ENDLESS_CHUNK_ENTRIES = 400  # entries in each chunk of an endless list
ENDLESS_PAUSE_S = 0.005  # pause between the chunks of an endless list

_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class ResponseMode(Enum):
    """How the server responds to a poll; the values are those of the option --mode."""

    GOOD = "good"
    TRUNCATED = "torn"  # the connection is closed after half of the body
    INDENTED = "indented"
    OVERSIZED = "huge"  # with a Content-Length that no reader should accept
    DEEPLY_NESTED = "deep"
    ENDLESS = "never-ending"  # chunked, without a last chunk
    NOT_A_LIST = "not-a-list"
    SILENT = "silent"  # polls get no response
    REFUSING = "refusing"  # connections are refused

    @property
    def readable(self) -> bool:
        """Whether an ingress can use the responses."""
        return self in (ResponseMode.GOOD, ResponseMode.INDENTED)


class DiscoveryServer(StandInServer):
    """Serves one endpoint list on a loopback port chosen by the system."""

    def __init__(
        self, entries: Sequence[JsonObject], mode: ResponseMode = ResponseMode.GOOD
    ) -> None:
        super().__init__()
        self.mode = mode
        self.full_polls = 0  # polls for the full list
        self.watch_polls = 0  # polls for the changes since a version
        self.full_lists = 0  # responses with the full list
        self.bytes_written = 0  # in all responses, to all clients
        self.connections = 0  # accepted so far
        self._list = VersionedList(entries)
        self._changed = asyncio.Event()
        self._socket = socket.socket()
        # The system refuses connections to a bound socket until it listens.
        self._socket.bind((LOOPBACK, 0))

    @property
    def address(self) -> str:
        """Host and port."""
        return format_address(self._socket.getsockname())

    @property
    def version(self) -> int:
        """The version of the list."""
        return self._list.version

    @property
    def polls(self) -> int:
        """Number of polls so far, for full lists and for changes."""
        return self.full_polls + self.watch_polls

    async def start(self) -> None:
        """Start to listen, except in the mode REFUSING."""
        if self.mode is not ResponseMode.REFUSING:
            await self._listen(self._socket)

    async def stop(self) -> None:
        """Close the port and all connections."""
        await super().stop()
        self._socket.close()

    def indexes_at(self, endpoint: str) -> list[int]:
        """Return the indexes of the entries with this endpoint."""
        return self._list.indexes_at(endpoint)

    def change(self, indexes: Iterable[int], **fields: object) -> None:
        """Set these fields of these entries in one new version, and wake all waiting polls."""
        self._list.update(indexes, fields)
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        _limit_buffering(writer)
        keep_alive = True
        while keep_alive:
            keep_alive = await self._respond(await reader.readuntil(b"\r\n\r\n"), writer)

    def _close_connection(self, writer: asyncio.StreamWriter) -> None:
        if self.mode is ResponseMode.SILENT:
            writer.transport.abort()
        else:
            writer.close()

    async def _respond(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        """Respond to one request; return whether the connection remains open."""
        method, target, _ = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ", 2)
        url = urlsplit(target)
        if (method, url.path) != ("GET", LIST_PATH):
            await self._write(writer, _NOT_FOUND)
            return True
        known_version = await self._wait_for_change(url.query)
        match self.mode:
            case ResponseMode.SILENT:
                await asyncio.Event().wait()
                return False
            case ResponseMode.ENDLESS:
                await self._write_endless(writer)
                return False
            case ResponseMode.OVERSIZED:
                await self._write_oversized(writer)
                return False
            case ResponseMode.TRUNCATED:
                body = self._encode_body(known_version)
                await self._write_response(writer, body[: len(body) // 2], len(body))
                return False
        body = self._encode_body(known_version)
        await self._write_response(writer, body, len(body))
        return True

    async def _wait_for_change(self, query: str) -> int | None:
        """Hold a poll for changes until the list changes or the hold time has elapsed.

        A poll with another version than the current one, or without a version, is not held. Return
        the version in the poll; None without one, which asks for the full list.
        """
        parameters = parse_qs(query)
        if "from" not in parameters:
            self.full_polls += 1
            return None
        self.watch_polls += 1
        known_version = int(parameters["from"][0])
        hold_ms = float(parameters.get("hold_ms", ["0"])[0])
        if known_version == self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(hold_ms, MAX_HOLD_MS) / 1000):
                    await self._changed.wait()
        return known_version

    def _encode_body(self, known_version: int | None) -> bytes:
        match self.mode:
            case ResponseMode.DEEPLY_NESTED:
                nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
                return b'{"rev":1,"all":true,"targets":' + nested + b"}"
            case ResponseMode.NOT_A_LIST:
                return b'{"rev":1,"all":true,"targets":42}'
            case ResponseMode.INDENTED:
                return json.dumps(json.loads(self._list_since(known_version)), indent=2).encode()
        return self._list_since(known_version)

    def _list_since(self, known_version: int | None) -> bytes:
        """Return the changes since a version if they are still known, otherwise the full list."""
        changes = None if known_version is None else self._list.encode_changes(known_version)
        if changes is not None:
            return changes
        self.full_lists += 1
        return self._list.encode_full()

    async def _write_response(
        self, writer: asyncio.StreamWriter, body: bytes, content_length: int
    ) -> None:
        await self._write(
            writer,
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % content_length,
        )
        for start in range(0, len(body), CHUNK_BYTES):
            await self._write(writer, body[start : start + CHUNK_BYTES])

    async def _write_oversized(self, writer: asyncio.StreamWriter) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % OVERSIZED_BYTES
        await self._write(writer, head)
        await self._write(writer, b'{"rev":1,"all":true,"targets":[{"uid":"')
        for _ in range(OVERSIZED_BYTES // CHUNK_BYTES):
            await self._write(writer, b"s" * CHUNK_BYTES)

    async def _write_endless(self, writer: asyncio.StreamWriter) -> None:
        await self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        async for chunk in self._endless_chunks():
            await self._write(writer, b"%x\r\n%b\r\n" % (len(chunk), chunk))

    async def _endless_chunks(self) -> AsyncIterator[bytes]:
        yield b'{"rev":1,"all":true,"targets":['
        while True:
            yield self._list.encoded_prefix(ENDLESS_CHUNK_ENTRIES) + b","
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write to the peer; count the bytes once the transport has passed them to the system."""
        if writer.transport.is_closing():
            raise ConnectionResetError("the peer has closed the connection")
        writer.write(data)
        await writer.drain()
        self.bytes_written += len(data)


def _limit_buffering(writer: asyncio.StreamWriter) -> None:
    """Limit the data written but not yet read by the peer, and send it without delay."""
    writer.transport.set_write_buffer_limits(high=0)
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CHUNK_BYTES)
    # The event loop sets TCP_NODELAY only on sockets that it has created. Without it, a short list
    # is delayed by 40 ms.
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
