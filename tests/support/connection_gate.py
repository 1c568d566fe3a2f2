"""A gate that holds up connections to backends."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.pool import ConnectionPool


class ConnectionGate:
    """Holds up every attempt to connect to a backend until it is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.connect_calls = 0  # attempts to connect so far
        self._opened = asyncio.Event()
        original = ConnectionPool._connect

        async def connect_once_open(pool: ConnectionPool, attempt: Attempt) -> None:
            self.connect_calls += 1
            await self._opened.wait()
            await original(pool, attempt)

        monkeypatch.setattr(ConnectionPool, "_connect", connect_once_open)

    def open(self) -> None:
        """Let all attempts to connect go on, also later ones."""
        self._opened.set()
