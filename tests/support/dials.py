"""Connections to backends that come up only when a test lets them."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.pool import ConnectionPool


class Dials:
    """Connections to backends come up only when the test lets them."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.let = asyncio.Event()
        self.begun = 0
        original = ConnectionPool._connect

        async def late(pool: ConnectionPool, attempt: Attempt) -> None:
            self.begun += 1
            await self.let.wait()
            await original(pool, attempt)

        monkeypatch.setattr(ConnectionPool, "_connect", late)
