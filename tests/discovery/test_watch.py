"""The users' terms on discovery: when a change counts as told, and what idle clients may not take."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from traceback import extract_tb
from typing import Any

import pytest

from tests.support.configuration import SETTINGS
from tests.support.discovery_agent import Agent, target
from tests.support.event_loop import run, until
from tests.support.http_client import HEALTH, ask_once, request
from tests.support.ingress import world
from tests.support.peers import Peer, answer, keep_port, say, sends, silence
from tests.support.program import end_program, start_program

# From when discovery has a change and can be reached: until it counts as told, and until a drain has to be kept.
TOLD_S, SLACK_S = 6.0, 0.05
KEPT_S = TOLD_S + SETTINGS["safety"]["stop_sending_within"] / 1000 + SLACK_S
NO_LIST = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"

Begin = Callable[[Agent, Peer], Awaitable[None]]


async def failures(cases: dict[str, Awaitable[None]]) -> dict[str, str]:
    """What went wrong, by the name of the case; all of them run side by side."""
    ends = await asyncio.gather(*cases.values(), return_exceptions=True)
    return {
        name: f"{end!r} from line {[f.lineno for f in extract_tb(end.__traceback__) if f.filename == __file__][-1]}"
        for name, end in zip(cases, ends, strict=True)
        if end is not None
    }


async def refuse(agent: Agent, peer: Peer) -> None:
    await peer.refuse()


def suffer(trouble: Callable[[Agent], Any]) -> Begin:
    async def begin(agent: Agent, peer: Peer) -> None:
        agent.suffer(trouble(agent))

    return begin


TROUBLES: dict[str, Begin] = {
    "refused": refuse,
    "silent": suffer(lambda agent: silence),
    "cut": suffer(lambda agent: agent.cut),
    "cut and left open": suffer(lambda agent: agent.stall),
    "dripping without end": suffer(lambda agent: agent.drip),
    "whole, but no list": suffer(lambda agent: sends(NO_LIST, close=False)),
    "an error": suffer(lambda agent: sends(ERROR, close=False)),
    "answered after it was given up": suffer(lambda agent: agent.late),
    "wait overrun": suffer(lambda agent: agent.overrun),
}


async def end(agent: Agent, peer: Peer, *changes: dict[str, Any]) -> None:
    """From now on discovery has the changes and can be reached; a wait that has been overrun stays so."""
    if agent.trouble != agent.overrun:
        agent.trouble = None
    agent.change(*changes)
    if not peer.server.is_serving():
        await peer.listen_again()


# How long a trouble lasts, and whether whole lists leave out what drains. The long ones are of several lengths, so that
# pauses which double without end (from 0.2 s on, say) have just begun one that is too long at the end of some.
LASTING = ((0.3, False), (0.3, True), (8.0, False), (9.0, True), (13.0, False))


async def keeps_a_drain(begin: Begin, seconds: float, leaves_out: bool) -> None:
    """The trouble lasts so long; at its end the one backend drains, and another is there in its place."""
    new, agent = Peer(answer(b"new")), Agent(leaves_out)
    await new.start()
    async with world(answer(b"old"), discovery=agent) as w:
        (old,) = w.backends
        agent.list(target(old, "s-0"))
        await until(lambda: bool(agent.held))
        await begin(agent, w.discovery)
        await asyncio.sleep(seconds)
        client = await w.client()
        assert (await client.ask(request(number=1)))[2] == b"old"
        await end(agent, w.discovery, target(old, "s-0", "leaving"), target(new, "s-1"))
        number = 1
        async with asyncio.timeout(KEPT_S):
            told = False
            while not told:
                await asyncio.sleep(0.05)
                number += 1
                told = (await client.ask(request(number=number)))[2] == b"new"
        sent = len(old.requests)
        for more in range(10):
            assert (await client.ask(request(number=number + 1 + more)))[2] == b"new"
        assert len(old.requests) == sent
    new.stop()


def test_a_drain_is_kept_in_time_whatever_went_wrong_with_the_calls_before() -> None:
    """Six seconds after discovery had it and could be reached it counts as told, before any older sentence.

    Each trouble begins while a call is held. The short ones guard what the ingress does about the call that was
    open, the long ones what it does after it has called in vain again and again.
    """

    async def test() -> None:
        assert (
            await failures(
                {
                    f"{name}, for {seconds} s, {'whole lists' if leaves_out else 'changes'}": keeps_a_drain(
                        begin, seconds, leaves_out
                    )
                    for name, begin in TROUBLES.items()
                    for seconds, leaves_out in LASTING
                }
            )
            == {}
        )

    run(test())


# ---- idle clients


class Crowd:
    """Clients that connect and stay, with nothing asked, half of it, or all; whom the ingress closes comes again."""

    def __init__(self, port: int, size: int) -> None:
        self._port, self.came = port, 0
        says = (b"", request()[:30], HEALTH)
        self._tasks = [asyncio.create_task(self._stay(says[n % len(says)])) for n in range(size)]

    async def _stay(self, said: bytes) -> None:
        for _ in range(30):
            with suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                self.came += 1
                try:
                    writer.write(said)
                    await reader.read()
                finally:
                    writer.close()
            await asyncio.sleep(1.0)

    async def leave(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Crowded:
    """The ingress as a program that may hold so many descriptors, with its peers and twice as many idle clients.

    They come while discovery is in trouble, and what is open at that moment is all that the ingress has.
    """

    def __init__(self, begin: Begin, sockets: int, log: Path) -> None:
        self._begin, self.sockets, self._log = begin, sockets, log
        self.old, self.new, self.agent = Peer(answer(b"old")), Peer(answer(b"new")), Agent()
        self.discovery = Peer(self.agent)

    async def __aenter__(self) -> Crowded:
        async with AsyncExitStack() as stack:
            door = stack.enter_context(keep_port())
            self.port = door.getsockname()[1]
            for peer in (self.old, self.new, self.discovery):
                await peer.start()
                stack.callback(peer.stop)
            self.agent.list(target(self.old, "s-0"))
            self.process = await start_program(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": self.discovery.address,
                    "seed": "07",
                    "limits": {"sockets": self.sockets},
                    "settings": SETTINGS,
                    "known": {"rev": 5, "all": True, "targets": [target(self.old, "s-0")]},
                },
                self._log,
                self.sockets,
            )
            stack.push_async_callback(end_program, self.process)
            while (await ask_once(self.port, HEALTH))[0] != 200:
                await asyncio.sleep(0.05)
            await until(lambda: bool(self.agent.held))
            await self._begin(self.agent, self.discovery)
            self.crowd = Crowd(self.port, 2 * self.sockets)
            stack.push_async_callback(self.crowd.leave)
            await until(lambda: self.crowd.came >= 2 * self.sockets)
            await asyncio.sleep(2.0)
            self._stack = stack.pop_all()
        return self

    async def end(self) -> None:
        """Discovery can be reached again, and tells that the old backend drains and a new one is there."""
        await end(
            self.agent, self.discovery, target(self.old, "s-0", "leaving"), target(self.new, "s-1")
        )

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()


async def serve(port: int, number: int) -> bytes:
    """The answer to a usual client: one that is shut unread comes again, one whose time is up does not."""
    async with asyncio.timeout(4.0):
        while (
            got := await ask_once(
                port, request("ledger-read", number, Request_Timeout="4.000"), 4.0
            )
        )[0] == 0:
            await asyncio.sleep(0.05)
    assert got[0] == 200, got
    return got[1]


async def keeps_a_drain_beside_a_crowd(begin: Begin, sockets: int, log: Path) -> None:
    async with Crowded(begin, sockets, log) as c:
        await c.end()
        async with asyncio.timeout(KEPT_S):
            await until(lambda: c.agent.knows(c.discovery))
        sent = len(c.old.requests)
        await c.crowd.leave()
        assert [await serve(c.port, number) for number in range(20)] == [b"new"] * 20
        assert len(c.old.requests) == sent and c.process.returncode is None


async def serves_beside_a_crowd(begin: Begin, sockets: int, log: Path) -> None:
    async with Crowded(begin, sockets, log) as c:
        assert [await serve(c.port, number) for number in range(5)] == [b"old"] * 5
        await c.end()
        async with asyncio.timeout(KEPT_S):
            await until(lambda: c.agent.knows(c.discovery))
        assert [await serve(c.port, number) for number in range(5, 10)] == [b"new"] * 5
        assert c.process.returncode is None


CROWDS = [("refused", 64), ("silent", 64), ("cut", 64), ("cut and left open", 96), ("refused", 128)]


def test_idle_clients_that_fill_the_descriptors_keep_no_drain_from_being_kept(
    tmp_path: Path,
) -> None:
    """The ingress must get its connection to discovery back, whatever idle clients hold."""

    async def test() -> None:
        assert (
            await failures(
                {
                    f"{name}, {sockets} descriptors": keeps_a_drain_beside_a_crowd(
                        TROUBLES[name], sockets, tmp_path / f"{name}-{sockets}.log"
                    )
                    for name, sockets in CROWDS
                }
            )
            == {}
        )

    run(test())


def test_a_usual_client_is_served_beside_idle_ones_that_fill_the_descriptors(
    tmp_path: Path,
) -> None:
    """With discovery down and when it is back: a connection may be shut unread then, but not be left to wait."""

    async def test() -> None:
        assert (
            await failures(
                {
                    f"{name}, {sockets} descriptors": serves_beside_a_crowd(
                        TROUBLES[name], sockets, tmp_path / f"{name}-{sockets}.log"
                    )
                    for name, sockets in CROWDS
                }
            )
            == {}
        )

    run(test())


def test_a_usual_client_is_served_behind_idle_ones_that_come_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """64 descriptors leave eight places, and forty are at the door before the first is taken in; all stay."""
    monkeypatch.setattr("sumacpost.server.connection_registry.REQUEST_TIMEOUT_S", 1000.0)

    async def test() -> None:
        async with world(answer(b"old"), sockets=64) as w:
            crowd = [
                socket.create_connection(w.address) for _ in range(40)
            ]  # the loop does not turn meanwhile
            assert await serve(w.address[1], 1) == b"old"
            for idle in crowd:
                idle.close()

    run(test())


# ---- an agent that is slow


def trickle(agent: Agent, pieces: int, pause_s: float) -> Any:
    """Each answer comes whole, in so many pieces; a call that may wait is held until there is news."""

    async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        known, hold_s = agent.query(data)
        with suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                await until(lambda: known is None or known < agent.version)
        said = agent.response(known)
        size = len(said) // pieces + 1
        for start in range(0, len(said), size):
            say(writer, said[start : start + size])
            await asyncio.sleep(pause_s)

    return script


async def keeps_a_drain_that_trickles(pieces: int, pause_s: float) -> None:
    new, agent = Peer(answer(b"new")), Agent()
    await new.start()
    async with world(answer(b"old"), discovery=trickle(agent, pieces, pause_s)) as w:
        (old,) = w.backends
        agent.list(target(old, "s-0"))
        await asyncio.sleep(2.0)  # watches end without news, and these answers trickle too
        agent.change(target(old, "s-0", "leaving"), target(new, "s-1"))
        client, number = await w.client(), 1
        async with asyncio.timeout(KEPT_S):
            while (await client.ask(request(number=number)))[2] != b"new":
                await asyncio.sleep(0.05)
                number += 1
    new.stop()


def test_a_list_that_comes_in_pieces_is_told_in_time() -> None:
    """A call given up because its answer took long is followed by one like it: what comes must be waited for."""

    async def test() -> None:
        assert (
            await failures(
                {
                    f"{pieces} pieces, one in {pause_s} s": keeps_a_drain_that_trickles(
                        pieces, pause_s
                    )
                    for pieces, pause_s in ((8, 0.01), (8, 0.05), (8, 0.1), (20, 0.1))
                }
            )
            == {}
        )

    run(test())
