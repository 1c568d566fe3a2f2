"""What the tests of the scale run share."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Protocol, TypeVar

from fleetlab.stand_in import split_address

UNUSED_ENDPOINTS = ("127.0.0.1:9",)


class Server(Protocol):
    """A stand-in server."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


AnyServer = TypeVar("AnyServer", bound=Server)


@asynccontextmanager
async def started(server: AnyServer) -> AsyncIterator[AnyServer]:
    """Run a server; it is stopped at the end."""
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


@asynccontextmanager
async def connected(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to host and port; the connection is closed at the end."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        yield reader, writer
    finally:
        writer.close()


def children_of(pid: int) -> list[int]:
    """Return the ids of a process's children."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def process_exists(pid: int) -> bool:
    """Whether there is a process of this id."""
    return Path(f"/proc/{pid}").exists()
