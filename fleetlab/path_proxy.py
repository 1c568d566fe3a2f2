"""A loopback proxy with faults of its path: delay, silence, resets and half-closed connections."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import cast

from fleetlab.stand_in import StandInServer, reset_connection, split_address

MAX_READ_BYTES = 64 * 1024  # per read


class PathFault(Enum):
    """The fault that affects the connections through a proxy."""

    NONE = "none"
    DELAYED = "delayed"  # data is forwarded after a delay
    SILENT = "silent"  # nothing is forwarded; open connections are reset when the fault ends
    RESET = "reset"  # open connections and new ones are reset
    HALF_CLOSED = "half closed"  # only the direction to the target is forwarded


class PathProxy(StandInServer):
    """Forwards connections to one target.

    Attributes:
        address: host and port on which the proxy listens; empty before start().
        delay_s: delay of the data of each read while the fault is DELAYED.
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
        """Listen on a loopback port chosen by the system."""
        self.address = await self._listen()

    def set_fault(self, fault: PathFault) -> None:
        """Replace the current fault of the path; NONE ends it.

        HALF_CLOSED sends the end of the stream to the clients of open connections. It is not sent
        to clients that connect later; they receive no data.
        """
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

    async def _forward(
        self, source: asyncio.StreamReader, destination: asyncio.StreamWriter
    ) -> None:
        """Forward the data of one direction until its stream ends."""
        while data := await source.read(MAX_READ_BYTES):
            if self._fault is PathFault.DELAYED:
                await asyncio.sleep(self.delay_s)
            while self._fault is PathFault.SILENT:
                await self._fault_changed.wait()
            if destination in self._clients and self._fault is PathFault.HALF_CLOSED:
                continue
            destination.write(data)
            await destination.drain()
