"""What a client behind the failing path sees."""

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
async def proxy() -> AsyncIterator[PathProxy]:
    async with Peer(respond()) as peer:
        made = PathProxy(peer.address, delay_s=0.2)
        await made.start()
        try:
            yield made
        finally:
            await made.stop()


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    writer.write(REQUEST)
    return await reader.read(1000)


def test_a_sound_path_forwards_and_a_delayed_one_later() -> None:
    async def test() -> None:
        async with proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.DELAYED)
            began_at = time.monotonic()
            assert (await exchange(reader, writer)).endswith(b"done")
            assert time.monotonic() - began_at >= 2 * path.delay_s
            writer.close()

    run(test())


def test_a_silent_path_says_nothing_and_resets_at_its_end() -> None:
    async def test() -> None:
        async with proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            path.set_fault(PathFault.SILENT)
            answer = asyncio.create_task(exchange(reader, writer))
            await asyncio.sleep(0.1)
            assert not answer.done()
            path.set_fault(PathFault.NONE)
            with pytest.raises(ConnectionResetError):
                await answer

    run(test())


def test_a_reset_path_resets_open_connections_and_new_ones() -> None:
    async def test() -> None:
        async with proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.RESET)
            with pytest.raises(ConnectionError):
                await reader.read(1)
            with pytest.raises(ConnectionError):
                await exchange(*await asyncio.open_connection(*split_address(path.address)))

    run(test())


def test_a_half_closed_path_ends_what_the_target_sends() -> None:
    async def test() -> None:
        async with proxy() as path:
            reader, writer = await asyncio.open_connection(*split_address(path.address))
            assert (await exchange(reader, writer)).endswith(b"done")
            path.set_fault(PathFault.HALF_CLOSED)
            assert await reader.read(1000) == b""
            writer.write(REQUEST)  # still taken
            await writer.drain()

    run(test())
