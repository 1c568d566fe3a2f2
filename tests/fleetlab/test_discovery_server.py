"""The stand-in for discovery: full lists, changes, and responses that no ingress can use."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

import pytest

from fleetlab.discovery_server import DiscoveryServer, ResponseMode
from fleetlab.site import endpoint_entries
from fleetlab.stand_in import split_address
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import EndpointListUpdate, UpdateKind
from tests.fleetlab.support import UNUSED_ENDPOINTS, connected, started
from tests.support.event_loop import run, until


class Poller:
    """A connection that polls the endpoint list."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def poll(self, query: str = "") -> dict[str, Any]:
        """Return the list in the response."""
        self._writer.write(f"GET /v1/servers{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert length is not None
        body: dict[str, Any] = json.loads(await self._reader.readexactly(int(length[1])))
        return body


def test_a_poll_gets_the_full_list_and_later_ones_what_has_changed() -> None:
    """Also a poll that ends without a change, and one that knows a version that never was."""

    async def scenario() -> None:
        entries = endpoint_entries(5, UNUSED_ENDPOINTS)
        async with (
            started(DiscoveryServer(entries)) as server,
            connected(server.address) as connection,
        ):
            poller = Poller(*connection)
            full = await poller.poll()
            assert full["all"]
            assert full["rev"] == server.version
            assert full["targets"] == entries
            unchanged = await poller.poll(f"?from={server.version}&hold_ms=1")
            assert unchanged == {"rev": server.version, "all": False, "targets": []}

            held = asyncio.create_task(poller.poll(f"?from={server.version}&hold_ms=20000"))
            await until(lambda: server.watch_polls == 2)
            server.change([3], state="leaving")
            changed = await held
            assert not changed["all"]
            assert changed["rev"] == server.version
            assert changed["targets"] == [entries[3] | {"state": "leaving"}]

            server.change([3], state="left")
            gone = await poller.poll(f"?from={server.version - 1}&hold_ms=9")
            assert [target["state"] for target in gone["targets"]] == ["left"]
            unknown = await poller.poll("?from=999&hold_ms=9")
            assert len(unknown["targets"]) == 4
            assert (server.full_polls, server.watch_polls, server.full_lists) == (1, 4, 2)
            assert server.bytes_written > 5 * 100

    run(scenario())


@pytest.mark.parametrize("mode", ResponseMode)
def test_an_ingress_accepts_the_readable_modes_and_no_other(
    mode: ResponseMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What is called unreadable is so to the real reader, which comes again.

    A reader that leaves in the middle of a response is no error of the server's. At the usual pace
    it takes 14 s to read as much of an endless list as the ingress takes at most.
    """
    monkeypatch.setattr("fleetlab.discovery_server.ENDLESS_PAUSE_S", 0.0005)

    async def scenario() -> None:
        updates: list[EndpointListUpdate] = []
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: errors.append(context)
        )
        entries = endpoint_entries(50, UNUSED_ENDPOINTS)
        async with started(DiscoveryServer(entries, mode)) as server:
            watch = DiscoveryWatch(
                split_address(server.address),
                EndpointListReader("abc", ()),
                0,
                lambda update, _addresses: updates.append(update),
            )
            watching = asyncio.create_task(watch.run())
            if mode is ResponseMode.REFUSING:
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*split_address(server.address))
            elif mode in (ResponseMode.GOOD, ResponseMode.INDENTED):
                await until(lambda: server.watch_polls >= 2)
                assert [(u.kind, len(u.entries)) for u in updates] == [(UpdateKind.FULL, 50)]
            else:
                await until(lambda: server.connections >= 3)
                assert updates == []
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
        assert errors == []

    run(scenario())
