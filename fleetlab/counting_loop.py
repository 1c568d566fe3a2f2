"""An event loop that counts the bytes received on its connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import uvloop


class _CountingProtocol(asyncio.Protocol):
    """Counts the received bytes and forwards all events to another protocol."""

    def __init__(self, inner: asyncio.Protocol, count: Callable[[int], None]) -> None:
        self._inner = inner
        self._count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._inner.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        self._count(len(data))
        self._inner.data_received(data)

    def eof_received(self) -> bool | None:
        return self._inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._inner.connection_lost(exc)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()


class CountingLoop(uvloop.Loop):
    """The event loop of the ingress, extended by counts of received bytes by remote port."""

    def __init__(self) -> None:
        super().__init__()
        self.received_bytes: dict[int | None, int] = {}

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
    ) -> tuple[Any, asyncio.Protocol]:  # the type of the transport is private to uvloop
        """Connect to a host and port, or use a connected socket, and count the received bytes.

        Bytes from a given socket are counted under None. Other options of the event loop's method
        are not supported.
        """

        def count(size: int) -> None:
            self.received_bytes[port] = self.received_bytes.get(port, 0) + size

        inner = protocol_factory()
        # Typed as Any, since uvloop's overloads take an address or a socket, but not their union.
        destination: dict[str, Any] = {"host": host, "port": port, "sock": sock}
        transport, _ = await super().create_connection(
            lambda: _CountingProtocol(inner, count), **destination
        )
        return transport, inner
