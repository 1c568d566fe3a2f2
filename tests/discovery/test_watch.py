"""The discovery watch without an ingress, polling a scripted agent."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sumacpost.discovery import backoff
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.poll_connection import READ_BYTES, PollConnection
from sumacpost.discovery.watch import UPDATE_BATCH_ENTRIES, DiscoveryWatch
from sumacpost.model import EndpointListUpdate, UpdateKind
from sumacpost.supervisor import SupervisedTask
from tests.discovery.lists import GATEWAYS, changes, encode, full_list, numbered_entry
from tests.support.discovery_agent import endpoint_list
from tests.support.event_loop import run, until
from tests.support.peers import Peer, Script, json_response

LONG_POLL = b"/v1/servers?from=5&"
FULL_LIST_POLL = b"/v1/servers"


def http_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class ScriptedWatch:
    """A running watch, its agent, and the updates that the watch has passed to its callback."""

    def __init__(self, script: Script, gateways: int = 1) -> None:
        self.agent = Peer(script)
        self.updates: list[EndpointListUpdate] = []
        self._gateways = gateways

    async def __aenter__(self) -> ScriptedWatch:
        await self.agent.start()
        self.watch = DiscoveryWatch(
            ("127.0.0.1", self.agent.port),
            EndpointListReader((), (), self._gateways, 0),
            5,
            lambda update, _: self.updates.append(update),
        )
        self._task = SupervisedTask("the watch", self.watch.run)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.stop()
        self.agent.stop()

    @property
    def is_limited(self) -> bool:
        """Whether the watch accepts only short responses."""
        return self.watch._backoff.is_limited(asyncio.get_running_loop().time())

    @property
    def polls(self) -> list[bytes]:
        """The polled paths, without the time for which the agent may hold a poll."""
        return [request.split()[1].partition(b"hold")[0] for request in self.agent.requests]


@pytest.fixture
def _short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backoff, "RECONNECT_DELAY_S", 0.001)


@pytest.mark.usefixtures("_short_delays")
def test_changes_are_polled_instead_of_a_long_list_that_cannot_be_read(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The watch must not poll an unreadable list in full again and again.

    It polled 15 MB every 0.1 s. Polls have to start from the last usable version instead.
    """
    malformed = http_response(encode(full_list(5000))[:-9] + b"malformed")

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        if len(peer.requests) <= 6:
            writer.write(malformed)
        elif len(peer.requests) == 7:
            writer.write(json_response(changes(6, [1], "leaving")))

    async def test() -> None:
        async with ScriptedWatch(script) as watched:
            await until(lambda: bool(watched.updates))
            assert watched.updates[0].version == 6
            # The full list is polled at most once, as it may contain what the response should have.
            assert watched.polls[:7] in (
                [LONG_POLL] * 7,
                [LONG_POLL, FULL_LIST_POLL, *[LONG_POLL] * 5],
            )
            await until(lambda: len(watched.polls) == 8)
            assert watched.polls[7] == b"/v1/servers?from=6&"
            assert not watched.is_limited

    run(test())
    assert "endpoint list rejected: error=EndpointListError('parse error" in caplog.text
    assert "response body: Content-Length " in caplog.text


@pytest.mark.usefixtures("_short_delays")
def test_bytes_received_are_limited_while_long_lists_cannot_be_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The bytes that the ingress reads are counted for the polls after the limit has started."""
    received: list[int] = []
    close = PollConnection.close

    def record_and_close(connection: PollConnection) -> None:
        received.append(connection.received_bytes)
        close(connection)

    malformed = http_response(encode(full_list(5000))[:-1])

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(malformed)

    async def test() -> None:
        async with ScriptedWatch(script) as watched:
            await until(lambda: watched.is_limited)
            monkeypatch.setattr(PollConnection, "close", record_and_close)
            await until(lambda: len(received) >= 7)
            assert 0 < max(received) <= READ_BYTES
            assert not watched.updates

    run(test())


@pytest.mark.usefixtures("_short_delays")
def test_truncated_list_is_polled_again_from_the_last_usable_version() -> None:
    response = json_response(changes(6, [1]))

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        if len(peer.requests) <= 4:
            writer.write(response[:-20])
            writer.close()
        elif len(peer.requests) == 5:
            writer.write(response)

    async def test() -> None:
        async with ScriptedWatch(script) as watched:
            await until(lambda: bool(watched.updates))
            assert watched.polls[:5] == [LONG_POLL] * 5

    run(test())


def test_long_list_is_passed_on_in_batches_and_then_as_a_whole() -> None:
    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        if len(peer.requests) == 1:
            writer.write(json_response(full_list(900, 6)))

    async def test() -> None:
        async with ScriptedWatch(script) as watched:
            await until(lambda: any(u.kind is UpdateKind.FULL for u in watched.updates))
            *batches, last = watched.updates
            assert [batch.kind for batch in batches] == [UpdateKind.CHANGES] * len(batches)
            assert max(len(batch.entries) for batch in batches) <= UPDATE_BATCH_ENTRIES
            assert len(last.entries) == 900
            in_batches = {entry.backend for batch in batches for entry in batch.entries}
            assert in_batches <= {entry.backend for entry in last.entries}
            assert sum(len(batch.entries) for batch in batches) >= 900 - UPDATE_BATCH_ENTRIES

    run(test())


def test_full_list_is_polled_when_the_fleet_needs_repartitioning() -> None:
    responses: list[dict[str, Any]] = [
        full_list(3000, 6),
        changes(7, range(2700), "left"),
        endpoint_list(7, *map(numbered_entry, range(2700, 3000))),
    ]

    async def script(peer: Peer, request: bytes, writer: asyncio.StreamWriter) -> None:
        if len(peer.requests) <= len(responses):
            writer.write(json_response(responses[len(peer.requests) - 1]))

    async def test() -> None:
        async with ScriptedWatch(script, GATEWAYS) as watched:
            await until(lambda: len(watched.polls) == 4)
            assert watched.polls == [
                LONG_POLL,
                b"/v1/servers?from=6&",
                FULL_LIST_POLL,
                b"/v1/servers?from=7&",
            ]
            assert watched.updates[-1].partition_count == 1
            assert len(watched.updates[-1].entries) == 300

    run(test())
