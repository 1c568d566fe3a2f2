"""Effects of the faults of a path proxy on its clients."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from fleetlab.path_proxy import PathFault, PathProxy
from fleetlab.stand_in import split_address
from tests.support.event_loop import run
from tests.support.peers import Peer, respond

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


@asynccontextmanager
async def run_proxy() -> AsyncIterator[PathProxy]:
    async with Peer(respond()) as peer:
        path = PathProxy(peer.address, delay_s=0.2)
        await path.start()
        try:
            yield path
        finally:
            await path.stop()


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    writer.write(REQUEST)
    return await reader.read(1000)


def test_a_delayed_path_forwards_later_than_one_without_fault() -> None:
    async def test() -> None:
        async with run_proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.DELAYED)
            started_at = time.monotonic()
            assert (await exchange(reader, writer)).endswith(b"done")
            assert time.monotonic() - started_at >= 2 * path.delay_s
            writer.close()

    run(test())


def test_a_silent_path_forwards_nothing_and_resets_connections_at_its_end() -> None:
    async def test() -> None:
        async with run_proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            path.set_fault(PathFault.SILENT)
            response = asyncio.create_task(exchange(reader, writer))
            await asyncio.sleep(0.1)
            assert not response.done()
            path.set_fault(PathFault.NONE)
            with pytest.raises(ConnectionResetError):
                await response

    run(test())


def test_a_reset_path_resets_open_and_new_connections() -> None:
    async def test() -> None:
        async with run_proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.RESET)
            with pytest.raises(ConnectionError):
                await reader.read(1)
            with pytest.raises(ConnectionError):
                await exchange(*await asyncio.open_connection(*split_address(path.address)))

    run(test())


def test_a_half_closed_path_ends_only_the_stream_from_the_target() -> None:
    async def test() -> None:
        async with run_proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.HALF_CLOSED)
            assert await reader.read(1000) == b""
            writer.write(REQUEST)  # this direction remains open
            await writer.drain()

    run(test())
