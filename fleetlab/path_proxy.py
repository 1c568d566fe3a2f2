"""A proxy on loopback whose path fails: it delays, falls silent, resets, or ends one direction."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from fleetlab.stand_in import StandInServer, reset_connection, split_address

MAX_READ_BYTES = 64 * 1024


class PathFault(Enum):
    """What befalls the connections through a proxy."""

    NONE = "none"
    DELAYED = "delayed"  # each piece comes later
    SILENT = "silent"  # nothing comes through; connections of that time are reset at its end
    RESET = "reset"  # open connections are reset, and so are new ones
    HALF_CLOSED = "half closed"  # what the target sends ends; what is sent to it goes on


class PathProxy(StandInServer):
    """Forwards connections to one target.

    Attributes:
        address: host and port at which it listens.
        delay_s: how much later each piece comes while the path is delayed.
    """

    def __init__(self, target: str, delay_s: float) -> None:
        super().__init__()
        self.address = ""
        self.delay_s = delay_s
        self._target = target
        self._fault = PathFault.NONE
        self._fault_changed = asyncio.Event()
        self._clients: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> None:
        """Listen at an address of the system's choice."""
        self.address = await self._listen()

    def set_fault(self, fault: PathFault) -> None:
        """Let the path fail from now on, instead of as before."""
        was_silent = self._fault is PathFault.SILENT
        self._fault = fault
        self._fault_changed.set()
        self._fault_changed = asyncio.Event()
        for client in list(self._clients):
            if was_silent or fault is PathFault.RESET:
                reset_connection(cast(asyncio.Transport, client.transport))
            elif fault is PathFault.HALF_CLOSED and client.can_write_eof():
                client.write_eof()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._fault is PathFault.RESET:
            reset_connection(cast(asyncio.Transport, writer.transport))
            return
        target_reader, target_writer = await asyncio.open_connection(*split_address(self._target))
        self._clients[writer] = None
        try:
            directions = (
                asyncio.create_task(self._forward(reader, target_writer)),
                asyncio.create_task(self._forward(target_reader, writer)),
            )
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        finally:
            del self._clients[writer]
            target_writer.close()

    async def _forward(self, source: asyncio.StreamReader, to: asyncio.StreamWriter) -> None:
        """Forward one direction until it ends."""
        while data := await source.read(MAX_READ_BYTES):
            if self._fault is PathFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            while self._fault is PathFault.SILENT:
                await self._fault_changed.wait()
            if to in self._clients and self._fault is PathFault.HALF_CLOSED:
                continue
            to.write(data)
            await to.drain()
