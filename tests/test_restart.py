"""The users' term on restarts: nine in ten restarted processes are ready within ten seconds."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from tests.support.configuration import SETTINGS
from tests.support.counter_calls import read_counter_call
from tests.support.discovery_agent import DiscoveryAgent, endpoint_entry
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH_REQUEST, send_once
from tests.support.peers import Peer, Script, never_respond, reserve_port, respond
from tests.support.program import end_program, start_program

READY_S = 10.0


def once(agent: DiscoveryAgent, trouble: Script) -> Script:
    """A trouble that only the first call after the restart meets."""

    async def first(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        agent.fault = None
        await trouble(peer, data, writer)

    return first


async def ready(port: int) -> None:
    while (await send_once(port, HEALTH_REQUEST, READY_S)).status != 200:
        await asyncio.sleep(0.05)


async def listen_later(peer: Peer) -> None:
    await asyncio.sleep(2.0)
    await peer.listen_again()


async def starts_again(
    number: int, trouble: str, knows: bool, backend: Peer, turn: asyncio.Semaphore, path: Path
) -> bool:
    """One process is ended, by SIGTERM or SIGKILL, and started anew; is it ready in time?"""
    before, after, door, gone = DiscoveryAgent(), DiscoveryAgent(), reserve_port(), reserve_port()
    discovery, counter, port = (
        Peer(before),
        Peer(never_respond, read_counter_call),
        door.getsockname()[1],
    )
    async with AsyncExitStack() as stack:
        for peer in (discovery, counter):
            await peer.start()
            stack.callback(peer.stop)
        for port_kept in (door, gone):
            stack.callback(port_kept.close)
        nowhere = f"127.0.0.1:{gone.getsockname()[1]}"
        for agent in (before, after):
            agent.publish(endpoint_entry(backend, "s-1"))
        stale = [endpoint_entry(backend, f"s-{n}", endpoint=nowhere) for n in (8, 9)]
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": discovery.address,
            "seed": "07",
            "counter": counter.address if number % 4 < 2 else nowhere,
            "settings": SETTINGS | {"extra": SETTINGS["extra"] | {"has_counter": True}},
            "known": {"rev": 1, "all": True, "targets": stale if knows else []},
        }
        log = path / f"{number}.log"
        async with turn:
            process = await start_program(config, log)
            stack.push_async_callback(end_program, process)
            await ready(port)
            await until(lambda: bool(before.held_polls))
            process.send_signal(signal.SIGKILL if number % 2 else signal.SIGTERM)
            assert await process.wait() == (-signal.SIGKILL if number % 2 else 0)
            discovery.script = after  # its calls are those of the new process alone
            if trouble == "refused":
                await discovery.refuse()
                returns = asyncio.create_task(listen_later(discovery))
                stack.callback(returns.cancel)
            elif trouble:
                after.inject_fault(
                    once(
                        after,
                        {
                            "silent": never_respond,
                            "cut": after.truncate_and_close,
                            "cut and left open": after.truncate_and_stall,
                        }[trouble],
                    )
                )
            process = await start_program(config, log)
            stack.push_async_callback(end_program, process)
            try:
                async with asyncio.timeout(READY_S):
                    await ready(port)
            except TimeoutError:
                return False
            return True


def test_nine_in_ten_restarted_processes_are_ready_in_time(tmp_path: Path) -> None:
    """Ready is who answers GET /healthz with 200; the list each knows is stale or empty, and most agents are late.

    Of the counters half are silent and half refuse.

    Two at a time, so that each has the processor it would have by itself: its ten seconds run from its own start.
    """

    async def test() -> None:
        backend, turn = Peer(respond()), asyncio.Semaphore(2)
        await backend.start()
        cases = [
            (trouble, knows)
            for knows in (True, False)
            for trouble in ("", "silent", "cut", "cut and left open", "refused")
        ]
        ends = await asyncio.gather(
            *(
                starts_again(n, trouble, knows, backend, turn, tmp_path)
                for n, (trouble, knows) in enumerate(cases)
            )
        )
        late = [
            (case, (tmp_path / f"{n}.log").read_text()[-500:])
            for n, case in enumerate(cases)
            if not ends[n]
        ]
        assert len(cases) == 10 and len(late) <= 1, late
        backend.stop()

    run(test())
