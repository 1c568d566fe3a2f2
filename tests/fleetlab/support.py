"""Helpers of the tests of the lab."""

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
async def run_server(server: AnyServer) -> AsyncIterator[AnyServer]:
    """Start a server, and stop it at the end."""
    await server.start()
    try:
        yield server
    finally:
        await server.stop()


@asynccontextmanager
async def open_connection(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to an address, given as host:port, and close the connection at the end."""
    reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        yield reader, writer
    finally:
        writer.close()


def child_pids(pid: int) -> list[int]:
    """Return the ids of the child processes of a process."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def process_exists(pid: int) -> bool:
    """Return whether a process with this id exists."""
    return Path(f"/proc/{pid}").exists()
