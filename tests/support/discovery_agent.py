"""A discovery agent for tests: its endpoint lists, its protocol, and its faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.support.event_loop import until
from tests.support.peers import Peer, Script, json_response, write_if_open

Entry = dict[str, Any]  # one endpoint of a list, as JSON


def endpoint_entry(peer: Peer, uid: str, state: str = "active", **changes: Any) -> Entry:
    """Return the endpoint list entry of the peer."""
    return {
        "uid": uid,
        "endpoint": peer.address,
        "az": "hall-a",
        "model": "std-2c",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
        **changes,
    }


def endpoint_list(version: int, *entries: Entry, full: bool = True) -> dict[str, Any]:
    """Return a full endpoint list, or only the changes up to the version."""
    return {"rev": version, "all": full, "targets": list(entries)}


def list_response(peer: Peer, uid: str, version: int) -> bytes:
    """Return a response whose full endpoint list contains only this peer."""
    return json_response(endpoint_list(version, endpoint_entry(peer, uid)))


@dataclass(frozen=True)
class Poll:
    """A request for the endpoint list.

    Attributes:
        known_version: the version that the sender has, or None if it has no list.
        max_wait_s: how long the agent may wait for changes, in seconds.
    """

    known_version: int | None
    max_wait_s: float


def parse_poll(data: bytes) -> Poll:
    """Read the query of a request for the endpoint list."""
    query = parse_qs(urlsplit(data.split()[1].decode()).query)
    version = int(query["from"][0]) if "from" in query else None
    return Poll(version, int(query.get("hold_ms", ["0"])[0]) / 1000)


class DiscoveryAgent:
    """A script that implements the discovery protocol: a long poll waits until there are changes.

    While a fault is injected, its script handles all polls, including those that are waiting.

    Attributes:
        full_lists_without_draining: whether all responses are full lists without the endpoints
            that are not active.
        version: the version of the endpoint list.
        entries: the endpoints by uid, each with the version of its last change.
        fault: the script of the injected fault, or None.
        held_polls: the long polls that are waiting for changes.
    """

    def __init__(self, full_lists_without_draining: bool = False) -> None:
        self.full_lists_without_draining = full_lists_without_draining
        self.version = 5
        self.entries: dict[str, tuple[int, Entry]] = {}
        self.fault: Script | None = None
        self.held_polls: list[asyncio.Future[None]] = []

    def publish(self, *entries: Entry) -> None:
        """Set the endpoints of the first version; polls are answered only after this call."""
        self.entries = {entry["uid"]: (self.version, entry) for entry in entries}

    def change(self, *entries: Entry) -> None:
        """Add or replace endpoints, as a new version."""
        self.version += 1
        self.entries |= {entry["uid"]: (self.version, entry) for entry in entries}
        self._release_polls()

    def inject_fault(self, fault: Script) -> None:
        """Let the script handle all polls until `fault` is set to None."""
        self.fault = fault
        self._release_polls()

    def _release_polls(self) -> None:
        released = self.held_polls
        self.held_polls = []
        for poll in released:
            if not poll.done():
                poll.set_result(None)

    def response(self, known_version: int | None) -> bytes:
        """Return the response to a poll whose sender has this version, or no list if None."""
        full = known_version is None or self.full_lists_without_draining
        entries = [
            entry
            for changed_in, entry in self.entries.values()
            if (full or changed_in > (known_version or 0)) and self._is_listed(entry)
        ]
        return json_response(endpoint_list(self.version, *entries, full=full), indent=1)

    def _is_listed(self, entry: Entry) -> bool:
        return not self.full_lists_without_draining or entry["state"] == "active"

    def _is_current(self, poll: Poll) -> bool:
        return poll.known_version is not None and poll.known_version >= self.version

    async def __call__(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Handle one poll."""
        poll = parse_poll(data)
        await until(lambda: bool(self.entries))
        if self.fault is None and self._is_current(poll):
            await self._hold(poll.max_wait_s)
        if self.fault is not None:
            await self.fault(peer, data, writer)
        else:
            write_if_open(writer, self.response(poll.known_version))

    async def _hold(self, max_wait_s: float) -> None:
        released: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.held_polls.append(released)
        await asyncio.wait([released], timeout=max_wait_s)
        if released in self.held_polls:
            self.held_polls.remove(released)

    def current_version_polled(self, peer: Peer) -> bool:
        """Return whether the peer has received a poll whose sender has the current version."""
        return any(parse_poll(data).known_version == self.version for data in peer.requests)

    # Fault scripts.

    async def truncate_and_close(
        self, peer: Peer, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send part of a response and close the connection."""
        write_if_open(writer, self.response(None)[:-20])
        writer.close()

    async def truncate_and_stall(
        self, peer: Peer, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send part of a response and leave the connection open."""
        write_if_open(writer, self.response(None)[:-20])

    async def send_slowly(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a response byte by byte until its receiver disconnects.

        At most 1000 of its 60,000 bytes are sent, at intervals of 0.05 s.
        """
        write_if_open(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
        for _ in range(1000):
            if writer.is_closing():
                break
            write_if_open(writer, b" ")
            await asyncio.sleep(0.05)

    async def respond_late(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Send each response completely, but only after its poll has timed out."""
        poll = parse_poll(data)
        await asyncio.sleep(poll.max_wait_s + 0.8)
        write_if_open(writer, self.response(poll.known_version))

    async def ignore_long_polls(
        self, peer: Peer, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Respond only if there are changes already, and never to a poll that has to wait."""
        known = parse_poll(data).known_version
        if known is None or known < self.version:
            write_if_open(writer, self.response(known))
