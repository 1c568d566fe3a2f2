"""Agents of discovery that answer late: each change must be known in time nevertheless."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress

from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.discovery.watch import DiscoveryWatch
from sumacpost.model import EndpointListUpdate, EndpointStatus
from sumacpost.policy.poll_schedule import KEEP_INTERVAL_S, MAX_OVERDUE_S
from sumacpost.supervisor import SupervisedTask
from tests.discovery.faults import DRAIN_LIMIT_S, collect_failures
from tests.support.discovery_agent import (
    DiscoveryAgent,
    endpoint_entry,
    list_response,
    parse_poll,
)
from tests.support.event_loop import run, until
from tests.support.peers import Peer, never_respond, write_if_open

# The delay of a response in seconds, by the number of the poll.
DelayOf = Callable[[int], float]

GRACE_S = 1.0
SETTLE_S = 4.0  # from the start of the watch to the first change
# The changes, each with the time before it in seconds.
CHANGES = ((0.7, "leaving", EndpointStatus.DRAINING), (2.9, "active", EndpointStatus.READY))
# Kept polls, the youngest one, and one that is being closed.
MAX_OPEN_POLLS = int(MAX_OVERDUE_S / KEEP_INTERVAL_S) + 2
RESTART_S = 0.3  # for which an agent that restarts refuses connections

DELAYS: dict[str, DelayOf] = {
    "steady 0.2 s": lambda _: 0.2,
    "steady 0.6 s": lambda _: 0.6,
    "steady 1 s": lambda _: 1.0,
    "steady 2 s": lambda _: 2.0,
    "steady 4 s": lambda _: 4.0,
    "growing to 4 s": lambda number: min(4.0, 0.2 * 1.5**number),
    "alternating": lambda number: 4.0 if number % 2 else 0.2,
    "alternating in pairs": lambda number: 3.0 if number % 4 < 2 else 0.4,
}


class SlowAgent(DiscoveryAgent):
    """An agent each of whose responses is sent some time after it has been made."""

    def __init__(self, delay_of: DelayOf) -> None:
        super().__init__()
        self._delay_of = delay_of

    async def __call__(self, peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        number = len(peer.requests)
        poll = parse_poll(data)
        if self._is_current(poll):
            await self._hold(poll.max_wait_s)
        response = self.response(poll.known_version)
        await asyncio.sleep(self._delay_of(number))
        write_if_open(writer, response)


class WatchedBackend:
    """A watch of one slow agent, and what it knows of the state of a backend."""

    def __init__(self, delay_of: DelayOf) -> None:
        self.agent = SlowAgent(delay_of)
        self.server = Peer(self.agent)
        self.state: EndpointStatus | None = None
        self.longest_s = 0.0  # until a change was known

    async def start(self) -> None:
        await self.server.start()
        self.agent.publish(endpoint_entry(self.server, "s-1"))
        watch = DiscoveryWatch(
            ("127.0.0.1", self.server.port),
            EndpointListReader((), ()),
            self.agent.version,
            self._record,
            GRACE_S,
        )
        self._task = SupervisedTask("slow watch", watch.run)

    def stop(self) -> None:
        self._task.stop()
        self.server.stop()

    def _record(self, update: EndpointListUpdate, _: object) -> None:
        for entry in update.entries:
            self.state = entry.state

    async def restart_agent(self) -> None:
        await self.server.refuse_connections()
        await asyncio.sleep(RESTART_S)
        await self.server.listen_again()

    async def change(self, state: str, expected: EndpointStatus) -> None:
        """Change the state of the backend; note how long it takes until that is known."""
        changed_at = asyncio.get_running_loop().time()
        self.agent.change(endpoint_entry(self.server, "s-1", state))
        with suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_LIMIT_S):
                await until(lambda: self.state is expected)
        self.longest_s = max(self.longest_s, asyncio.get_running_loop().time() - changed_at)


async def check_changes_are_known(delay_of: DelayOf, watches: int, restarts: bool) -> None:
    """Let a backend drain and return, after each restart of the agents if there are any."""

    async def check(number: int) -> None:
        watched = WatchedBackend(delay_of)
        await asyncio.sleep(number * 0.05)
        await watched.start()
        await asyncio.sleep(SETTLE_S)
        for interval_s, state, expected in CHANGES:
            await asyncio.sleep(interval_s)
            if restarts:
                await watched.restart_agent()
            await watched.change(state, expected)
        watched.stop()
        assert watched.longest_s < DRAIN_LIMIT_S

    await asyncio.gather(*(check(number) for number in range(watches)))


def test_changes_are_known_in_time_however_the_responses_are_delayed() -> None:
    # Guards against an ingress that gives up each poll before its response arrives.
    cases = {
        f"{name}, {'restarts' if restarts else 'no restart'}, {watches} watches": (
            check_changes_are_known(delay_of, watches, restarts)
        )
        for name, delay_of in DELAYS.items()
        for watches, restarts in ((2, False), (2, True))
    }
    cases["steady 2 s, no restart, 30 watches"] = check_changes_are_known(
        DELAYS["steady 2 s"], 30, False
    )
    cases["steady 4 s, restarts, 30 watches"] = check_changes_are_known(
        DELAYS["steady 4 s"], 30, True
    )

    async def test() -> None:
        assert await collect_failures(cases) == {}

    run(test())


def test_a_silent_agent_has_a_limited_number_of_open_polls() -> None:
    # Guards against a connection for each poll that is never answered.
    async def test() -> None:
        async with Peer(never_respond) as agent:
            watch = DiscoveryWatch(
                ("127.0.0.1", agent.port), EndpointListReader((), ()), 5, lambda *_: None
            )
            task = SupervisedTask("silent watch", watch.run)
            await asyncio.sleep(MAX_OVERDUE_S + 3.0)
            assert agent.connections > MAX_OPEN_POLLS
            assert agent.connections - agent.connections_closed <= MAX_OPEN_POLLS
            task.stop()

    run(test())


def test_a_younger_poll_that_is_answered_with_an_older_list_changes_nothing() -> None:
    # Guards against a list that is replaced by an older one, which arrives later.
    async def respond_in_turn(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        match len(peer.requests):
            case 1:
                await until(lambda: len(peer.requests) == 2)
                write_if_open(writer, list_response(peer, "s-7", 7))
            case 2:
                await asyncio.sleep(0.2)
                write_if_open(writer, list_response(peer, "s-6", 6))

    async def test() -> None:
        async with Peer(respond_in_turn) as agent:
            versions: list[int] = []
            watch = DiscoveryWatch(
                ("127.0.0.1", agent.port),
                EndpointListReader((), ()),
                5,
                lambda update, _: versions.append(update.version),
            )
            task = SupervisedTask("watch", watch.run)
            await until(lambda: len(agent.requests) == 3)
            assert versions == [7]
            assert b"from=7&" in agent.requests[2]
            task.stop()

    run(test())
