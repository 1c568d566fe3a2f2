"""Helpers of the stand-in servers."""

from __future__ import annotations

import asyncio
import time
from typing import cast

from fleetlab.stand_in import LOOPBACK, last_data_age_s
from tests.support.event_loop import run

MESSAGES = 200
PAUSE_S = 0.0007  # not a divisor of the system's tick, so that messages are sent at all its phases


def test_data_is_never_reported_as_older_than_it_is() -> None:
    # Guards against attempts that the soak dates before the list change that permitted them.
    async def test() -> None:
        accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

        async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await accepted.put(writer)

        server = await asyncio.start_server(accept, LOOPBACK, 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        receiver = await accepted.get()
        for _ in range(MESSAGES):
            sent_at = time.monotonic()
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            age_s = last_data_age_s(cast(asyncio.Transport, receiver.transport))
            assert age_s <= time.monotonic() - sent_at
        for each in (writer, receiver):
            each.close()
        server.close()

    run(test())
