"""Tests of the scripted peers' message reader."""

from __future__ import annotations

import asyncio

from tests.support.event_loop import run
from tests.support.http_client import request
from tests.support.peers import read_message


def test_message_is_read_with_its_body_and_no_further() -> None:
    async def test() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(request() + b"rest")
        assert (await read_message(reader)).endswith(b"receipt")

    run(test())
