"""A stand-in for discovery's agent: the whole list, the watch, unreadable lists (protocol page)."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from collections.abc import AsyncIterator, Sequence
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

PIECE = 64 * 1024  # bytes written at once
MOST_HOLD_MS = 60_000
KEPT_CHANGES = 4_096  # a watch from before gets the whole list
HUGE = 256 * 1024 * 1024  # bytes of a list that nobody should take whole
DEPTH = 200_000
ENDLESS_PAUSE_S = 0.005  # between the pieces of a list that never ends


class Mode(Enum):
    """How the agent answers."""

    GOOD = "good"
    TORN = "torn"  # the connection ends half way
    INDENTED = "indented"
    HUGE = "huge"  # its length is stated, and past any use
    DEEP = "deep"
    ENDLESS = "never-ending"  # chunks without end
    NOT_A_LIST = "not-a-list"
    SILENT = "silent"
    REFUSING = "refusing"  # the connection is refused


def _encode(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


class Agent:
    """Serves one list on a loopback port of the system's choice; bytes of an entry are encoded once."""

    def __init__(self, entries: Sequence[dict[str, Any]], mode: Mode = Mode.GOOD) -> None:
        self.mode = mode
        self.rev = 1
        self.whole_calls = self.watch_calls = self.whole_lists = self.bytes_written = (
            self.connections
        ) = 0
        self._entries = [dict(entry) for entry in entries]
        self._lines = [_encode(entry) for entry in entries]
        self._changes: deque[tuple[int, int]] = deque(
            maxlen=KEPT_CHANGES
        )  # version, number of the entry
        self._whole: bytes | None = None
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))  # with no listen yet, a connection is refused

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    async def start(self) -> None:
        """Listen, unless connections are to be refused."""
        if self.mode is not Mode.REFUSING:
            self._server = await asyncio.start_server(self._serve, sock=self._socket)

    async def stop(self) -> None:
        """Shut the port and all connections."""
        if self._server is not None:
            self._server.close()
        self._socket.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def numbers_at(self, endpoint: str) -> list[int]:
        """The numbers of the entries at an endpoint."""
        return [n for n, entry in enumerate(self._entries) if entry["endpoint"] == endpoint]

    def change(self, numbers: Sequence[int], **fields: Any) -> None:
        """One change of the list, to all open watches: these entries get these fields."""
        self.rev += 1
        for number in numbers:
            self._entries[number].update(fields)
            self._lines[number] = _encode(self._entries[number])
            self._changes.append((self.rev, number))
        self._whole = None
        news, self._news = self._news, asyncio.Event()
        news.set()

    def body(self, since: int | None) -> bytes:
        """The list, or what has changed since a version if that is still known."""
        first = self._changes[0][0] if len(self._changes) == KEPT_CHANGES else 1
        if since is not None and first <= since <= self.rev:
            changed = {number: None for version, number in self._changes if version > since}
            return self._list(False, [self._lines[number] for number in changed])
        self.whole_lists += 1
        if self._whole is None:
            both = zip(self._entries, self._lines, strict=True)
            self._whole = self._list(
                True, [line for entry, line in both if entry["state"] != "left"]
            )
        return self._whole

    def _list(self, whole: bool, lines: Sequence[bytes]) -> bytes:
        head = b'{"rev":%d,"all":%b,"targets":[' % (self.rev, b"true" if whole else b"false")
        return head + b",".join(lines) + b"]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        writer.transport.set_write_buffer_limits(high=0)
        connection: socket.socket = writer.get_extra_info("socket")
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, PIECE
        )  # what is written is nearly read
        # a loop sets this by itself only on sockets of its own making: without it a short list waits 40 ms
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while await self._answer(await reader.readuntil(b"\r\n\r\n"), writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # stop: the server's own callback would log it as an error
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if self.mode is Mode.SILENT else writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        """One call; false if the connection is to end."""
        method, target, _ = head.split(b"\r\n", 1)[0].decode("latin-1").split(" ", 2)
        url = urlsplit(target)
        if (method, url.path) != ("GET", "/v1/servers"):
            await self._write(writer, b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        since = await self._wait(url.query)
        if self.mode is Mode.SILENT:
            await asyncio.Event().wait()
        length: int | None
        match self.mode:
            case Mode.ENDLESS:
                await self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                async for piece in self._endless():
                    await self._write(writer, b"%x\r\n%b\r\n" % (len(piece), piece))
                return False
            case Mode.HUGE:
                await self._write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % HUGE)
                await self._write(writer, b'{"rev":1,"all":true,"targets":[{"uid":"')
                for _ in range(HUGE // PIECE):
                    await self._write(writer, b"s" * PIECE)
                return False
            case Mode.DEEP:
                body = b'{"rev":1,"all":true,"targets":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
            case Mode.NOT_A_LIST:
                body = b'{"rev":1,"all":true,"targets":42}'
            case Mode.INDENTED:
                body = json.dumps(json.loads(self.body(since)), indent=2).encode()
            case _:
                body = self.body(since)
        length, torn = len(body), self.mode is Mode.TORN
        await self._write(
            writer,
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % length,
        )
        for at in range(0, length // 2 if torn else length, PIECE):
            await self._write(writer, body[at : min(at + PIECE, length // 2 if torn else length)])
        return not torn

    async def _wait(self, query: str) -> int | None:
        """The version that the call knows, once there is news or its wait is over; None: the whole list."""
        asked = parse_qs(query)
        if "from" not in asked:
            self.whole_calls += 1
            return None
        self.watch_calls += 1
        since, hold_ms = int(asked["from"][0]), float(asked.get("hold_ms", ["0"])[0])
        if since == self.rev:
            try:
                async with asyncio.timeout(min(hold_ms, MOST_HOLD_MS) / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        return since

    async def _endless(self) -> AsyncIterator[bytes]:
        yield b'{"rev":1,"all":true,"targets":['
        while True:
            yield b",".join(self._lines[:400]) + b","
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Count what the peer's machine has taken, and not what waits here."""
        if writer.transport.is_closing():
            raise ConnectionResetError("the reader has left")
        writer.write(data)
        await writer.drain()
        self.bytes_written += len(data)
