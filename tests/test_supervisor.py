"""Tasks that are started anew when they fail."""

from __future__ import annotations

from typing import Any

from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.supervisor import SupervisedTask
from tests.support.discovery_agent import list_response
from tests.support.event_loop import run, until
from tests.support.peers import Peer, send_bytes


def test_deep_json_and_failing_work_do_not_end_the_watch(caplog: Any) -> None:
    async def test() -> None:
        deep = b"[" * 100_000
        served = Peer(
            send_bytes(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(deep), deep), close=False
            )
        )
        await served.start()
        told: list[Any] = []

        def listen(update: Any, endpoints: Any) -> None:
            told.append(update)
            if len(told) == 1:
                raise RuntimeError("the listener failed")

        watch = SupervisedTask(
            "watch",
            DiscoveryWatch(("127.0.0.1", served.port), EndpointListReader((), ()), 0, listen).run,
        )
        await until(lambda: len(served.requests) == 1)
        served.script = send_bytes(list_response(served, "s-1", 3), close=False)
        await until(lambda: len(told) >= 2)
        watch.stop()
        served.stop()

    run(test())
    assert "supervised task failed, restarting: task=watch" in caplog.text
