"""The agent of discovery: its endpoint lists, its protocol, and its faults."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.support.event_loop import until
from tests.support.peers import Peer, Script, say


def target(peer: Peer, uid: str, state: str = "active", **changes: Any) -> dict[str, Any]:
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


def one_line(peer: Peer, uid: str, rev: int) -> bytes:
    body = json.dumps({"rev": rev, "all": True, "targets": [target(peer, uid)]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Agent:
    """A script for discovery that follows the protocol page: a call that may wait is held until there is news.

    While there is a trouble, that script meets every call, and first of all those that are held.
    """

    def __init__(self, leaves_out: bool = False) -> None:
        self.leaves_out = leaves_out  # answers are whole lists, and these leave out what drains
        self.version = 5
        self.entries: dict[
            str, tuple[int, dict[str, Any]]
        ] = {}  # by uid: since which version, and the target
        self.trouble: Script | None = None
        self.held: list[asyncio.Future[None]] = []

    def list(self, *targets: dict[str, Any]) -> None:
        """What holds from the first version on; no call is answered before."""
        self.entries = {t["uid"]: (self.version, t) for t in targets}

    def change(self, *targets: dict[str, Any]) -> None:
        self.version += 1
        self.entries |= {t["uid"]: (self.version, t) for t in targets}
        self._wake()

    def suffer(self, trouble: Script) -> None:
        self.trouble = trouble
        self._wake()

    def _wake(self) -> None:
        held, self.held = self.held, []
        for call in held:
            if not call.done():
                call.set_result(None)

    @staticmethod
    def query(data: bytes) -> tuple[int | None, float]:
        """The version that a call knows, and the seconds that it may wait."""
        asked = parse_qs(urlsplit(data.split()[1].decode()).query)
        return int(asked["from"][0]) if "from" in asked else None, int(
            asked.get("hold_ms", ["0"])[0]
        ) / 1000

    def response(self, known: int | None) -> bytes:
        whole = known is None or self.leaves_out
        told = [
            t
            for since, t in self.entries.values()
            if (not self.leaves_out or t["state"] == "active") and (whole or since > (known or 0))
        ]
        body = json.dumps({"rev": self.version, "all": whole, "targets": told}, indent=1).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def __call__(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        known, hold_s = self.query(data)
        await until(lambda: bool(self.entries))
        if self.trouble is None and known is not None and known >= self.version:
            call: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.held.append(call)
            await asyncio.wait([call], timeout=hold_s)
            if call in self.held:
                self.held.remove(call)
        if self.trouble is not None:
            await self.trouble(peer, data, writer)
        else:
            say(writer, self.response(known))

    # troubles

    async def cut(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Half of an answer, and the connection ends."""
        say(writer, self.response(None)[:-20])
        writer.close()

    async def stall(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Half of an answer, on a connection that stays open."""
        say(writer, self.response(None)[:-20])

    async def drip(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """An answer of which a little more comes again and again, and never the end, until the caller has left."""
        say(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
        for _ in range(1000):
            if writer.is_closing():
                break
            say(writer, b" ")
            await asyncio.sleep(0.05)

    async def late(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """Every answer is whole, and comes when its call has been given up."""
        await asyncio.sleep(self.query(data)[1] + 0.8)
        say(writer, self.response(self.query(data)[0]))

    async def overrun(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        """What there is to tell is told at once; a call that has to wait is never answered."""
        known = self.query(data)[0]
        if known is None or known < self.version:
            say(writer, self.response(known))

    def knows(self, peer: Peer) -> bool:
        """Whoever calls peer has taken in the last version."""
        return any(self.query(data)[0] == self.version for data in peer.requests)
