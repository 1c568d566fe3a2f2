"""Supervised tasks, which are restarted when they fail."""

from __future__ import annotations

import pytest

from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import EndpointListUpdate
from sumacpost.supervisor import SupervisedTask
from tests.support.discovery_agent import list_response
from tests.support.event_loop import run, until
from tests.support.peers import Peer, send_bytes


def test_deep_json_and_a_failing_callback_do_not_end_the_watch(
    caplog: pytest.LogCaptureFixture,
) -> None:
    deep_json = b"[" * 100_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(deep_json)
    updates: list[EndpointListUpdate] = []

    def fail_once(update: EndpointListUpdate, addresses: object) -> None:
        updates.append(update)
        if len(updates) == 1:
            raise RuntimeError("the callback failed")

    async def test() -> None:
        agent = Peer(send_bytes(head + deep_json, close=False))
        await agent.start()
        address = ("127.0.0.1", agent.port)
        watch = DiscoveryWatch(address, EndpointListReader((), ()), 0, fail_once)
        task = SupervisedTask("watch", watch.run)
        await until(lambda: len(agent.requests) == 1)
        agent.script = send_bytes(list_response(agent, "s-1", 3), close=False)
        await until(lambda: len(updates) >= 2)
        task.stop()
        agent.stop()

    run(test())
    assert "supervised task failed, restarting: task=watch" in caplog.text
