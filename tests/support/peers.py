"""Scripted servers on loopback, used as backends, discovery agents and counters."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Self

from fleetlab.stand_in import reserve_port

# How a peer responds to one request that it has read.
Script = Callable[["Peer", bytes, asyncio.StreamWriter], Awaitable[None]]
MessageReader = Callable[[asyncio.StreamReader], Awaitable[bytes]]

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def json_response(value: Any, indent: int | None = None) -> bytes:
    """Return an HTTP response whose body is the value as JSON."""
    body = json.dumps(value, indent=indent).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def respond(body: bytes = b"done", status: int = 200, head: bytes = b"") -> Script:
    """Return a script that sends the same response to every request."""
    length = len(body)
    response = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, length, head, body)

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(response)

    return script


def send_bytes(data: bytes, close: bool = True) -> Script:
    """Return a script that writes these bytes as they are, and closes the connection if `close`."""

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return script


async def never_respond(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
    """Leave the request without a response."""


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one HTTP message without a body, or with a body that has a Content-Length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    if length is None:
        return head
    return head + await reader.readexactly(int(length[1]))


class Peer:
    """A server that runs its script on each request and records the requests.

    Attributes:
        script: handles the requests; a test may replace it.
        read: reads one request from a connection.
        requests: the requests received, oldest first.
        connections: how many connections have been accepted.
        writers: the writers of all connections, oldest first.
        connections_closed: how many of the connections have been closed or reset.
    """

    def __init__(self, script: Script, read: MessageReader = read_message) -> None:
        self.script = script
        self.read = read
        self.requests: list[bytes] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.connections_closed = 0

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    async def start(self, port: int = 0) -> None:
        """Listen on the port, or on one chosen by the system if it is 0."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port: int = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await self.read(reader)
                self.requests.append(request)
                await self.script(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.connections_closed += 1
            writer.close()

    @property
    def address(self) -> str:
        """Host and port, in the form used in configuration files."""
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def refuse_connections(self) -> None:
        """Reset the open connections and refuse new ones until `listen_again`; keep the port."""
        self.stop()
        await self.server.wait_closed()
        self._reserved = reserve_port(self.port)

    async def listen_again(self) -> None:
        """Listen on the same port after `refuse_connections`."""
        await self.start(self.port)
        self._reserved.close()


def write_immediately(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Pass a peer's bytes to the kernel immediately, not in the loop's next iteration."""
    assert os.write(writer.transport.get_extra_info("socket").fileno(), data) == len(data)


def shut_down_immediately(writer: asyncio.StreamWriter) -> None:
    """Shut down a peer's connection in both directions immediately."""
    with socket.socket(fileno=os.dup(writer.transport.get_extra_info("socket").fileno())) as sock:
        sock.shutdown(socket.SHUT_RDWR)


def write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write unless the connection is closing: then uvloop raises, and asyncio only warns."""
    if not writer.is_closing():
        writer.write(data)
