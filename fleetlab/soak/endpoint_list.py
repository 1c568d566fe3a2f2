"""The endpoint list that all agents of a run share, and the discovery agent of one ingress."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import cast
from urllib.parse import parse_qs, urlsplit

from fleetlab.soak.records import ListChange
from fleetlab.stand_in import StandInServer, reset_connection
from fleetlab.versioned_list import JsonObject, VersionedList

OLD_ADDRESS_CLOSE_DELAY_S = 1.5  # not used: see OLD_AGENT_CLOSE_DELAY_S in faults.py
MAX_HOLD_S = 60.0  # longest time for which a poll is held open, regardless of its hold_ms
FIRST_VERSION = 1  # version of the list before its first change


class AgentFault(Enum):
    """How an agent fails to answer a poll."""

    NONE = "none"
    SILENT = "silent"  # no response on this connection, even after the fault
    RESET = "reset"  # open connections are reset, later ones at their first poll
    TORN = "torn"  # half of the body, then a close


@dataclass
class SharedList:
    """The endpoint list, its changes in order, and an event that releases open polls."""

    entries: list[JsonObject]
    changes: list[ListChange] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.list = VersionedList(self.entries)
        self.changed = asyncio.Event()

    def set_state(self, index: int, state: str, **fields: object) -> None:
        """Change the state of one backend, and release the polls that wait for a change."""
        self.list.update([index], {"state": state, **fields})
        uid = str(self.entries[index]["uid"])
        self.changes.append(ListChange("", uid, state, time.monotonic()))
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def changes_since(self, version: int | None) -> list[ListChange]:
        """Return the changes since a version, or all for None; each change creates one version."""
        return self.changes[0 if version is None else max(0, version - FIRST_VERSION) :]


class SoakAgent(StandInServer):
    """The discovery agent of one ingress; it records when it sent each change to the ingress."""

    def __init__(self, ingress: str, shared: SharedList) -> None:
        super().__init__()
        self.ingress = ingress
        self.fault = AgentFault.NONE
        self.unbounded = False  # whether responses have no stated length
        self.delay_s = 0.0  # from the time at which a response is due until it is sent
        self.address = ""
        self._shared = shared
        self.notifications: list[ListChange] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port assigned by the system."""
        self.address = await self._listen()

    def set_fault(self, fault: AgentFault) -> None:
        """Replace the current fault of the agent; NONE ends it.

        The fault affects all responses from now on. RESET also resets all open connections.
        """
        self.fault = fault
        if fault is AgentFault.RESET:
            for writer in list(self._writers):
                reset_connection(cast(asyncio.Transport, writer.transport))

    def schedule_stop(self) -> None:
        """Schedule the close of the port and all connections on the event loop."""
        self._closing = asyncio.ensure_future(self.stop())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            keep_alive = True
            while keep_alive:
                head = await reader.readuntil(b"\r\n\r\n")
                keep_alive = await self._respond(head, reader, writer)
        finally:
            self._writers.discard(writer)

    async def _respond(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        query = parse_qs(urlsplit(head.split(b" ", 2)[1].decode()).query)
        known_version = int(query["from"][0]) if "from" in query else None
        hold_s = float(query.get("hold_ms", ["0"])[0]) / 1000
        if known_version == self._shared.list.version and self.fault is AgentFault.NONE:
            try:
                async with asyncio.timeout(min(hold_s, MAX_HOLD_S)):
                    await self._shared.changed.wait()
            except TimeoutError:
                pass
        match self.fault:
            case AgentFault.SILENT:
                await asyncio.Event().wait()
            case AgentFault.RESET:
                reset_connection(cast(asyncio.Transport, writer.transport))
                return False
        changes = None if known_version is None else self._shared.list.encode_changes(known_version)
        delivered = self._shared.changes_since(known_version if changes is not None else None)
        body = changes if changes is not None else self._shared.list.encode_full()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        # An ingress that has moved to a new agent has closed its end and is not notified here.
        if writer.transport.is_closing() or reader.at_eof():
            return False
        if self.fault is AgentFault.TORN:
            writer.write(_encode_response(body)[: -len(body) // 2])
            return False
        writer.write(
            b"HTTP/1.1 200 OK\r\n\r\n" + body if self.unbounded else _encode_response(body)
        )
        await writer.drain()
        now = time.monotonic()
        self.notifications += [ListChange(self.ingress, c.backend, c.state, now) for c in delivered]
        return not self.unbounded


def _encode_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
