"""A gate that delays connections to backends."""

from __future__ import annotations

import asyncio

import pytest

from sumacpost.upstream.attempt import Attempt
from sumacpost.upstream.pool import ConnectionPool


class ConnectionGate:
    """Delays every call that connects to a backend until the gate is opened.

    Attributes:
        connect_calls: how many such calls there have been.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.connect_calls = 0
        self._opened = asyncio.Event()
        original = ConnectionPool._connect

        async def connect_once_open(pool: ConnectionPool, attempt: Attempt) -> None:
            self.connect_calls += 1
            await self._opened.wait()
            await original(pool, attempt)

        monkeypatch.setattr(ConnectionPool, "_connect", connect_once_open)

    def open(self) -> None:
        """Let all calls that connect continue, including later ones."""
        self._opened.set()
