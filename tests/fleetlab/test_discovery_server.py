"""Tests of the stand-in for discovery: full lists, changes, and invalid responses."""

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
from tests.fleetlab.support import UNUSED_ENDPOINTS, open_connection, run_server
from tests.support.event_loop import run, until


class Poller:
    """A connection that polls the endpoint list."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def poll(self, query: str = "") -> dict[str, Any]:
        """Poll, and return the list in the response."""
        self._writer.write(f"GET /v1/servers{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        head = await self._reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        length = re.search(rb"Content-Length: (\d+)", head)
        assert length is not None
        body: dict[str, Any] = json.loads(await self._reader.readexactly(int(length[1])))
        return body


def test_the_first_poll_returns_the_full_list_and_later_ones_the_changes() -> None:
    """A poll without a change returns no entries; one with an unknown version the full list."""

    async def scenario() -> None:
        entries = endpoint_entries(5, UNUSED_ENDPOINTS)
        async with (
            run_server(DiscoveryServer(entries)) as server,
            open_connection(server.address) as connection,
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
            after_leaving = await poller.poll(f"?from={server.version - 1}&hold_ms=9")
            assert [target["state"] for target in after_leaving["targets"]] == ["left"]
            after_unknown_version = await poller.poll("?from=999&hold_ms=9")
            assert len(after_unknown_version["targets"]) == 4
            assert (server.full_polls, server.watch_polls, server.full_lists) == (1, 4, 2)
            assert server.bytes_written > 5 * 100

    run(scenario())


@pytest.mark.parametrize("mode", ResponseMode)
def test_the_discovery_watch_accepts_only_the_readable_modes(
    mode: ResponseMode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The real discovery watch must reject the unreadable modes, and connect again after each.

    The server must not report an error if the watch closes the connection during a response. With
    the default pause between chunks it takes 14 s until the watch has read as much of an endless
    list as it accepts at most.
    """
    monkeypatch.setattr("fleetlab.discovery_server.ENDLESS_PAUSE_S", 0.0005)

    async def scenario() -> None:
        updates: list[EndpointListUpdate] = []
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _loop, context: errors.append(context)
        )
        entries = endpoint_entries(50, UNUSED_ENDPOINTS)
        async with run_server(DiscoveryServer(entries, mode)) as server:
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
