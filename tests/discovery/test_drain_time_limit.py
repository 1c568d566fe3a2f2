"""The ingress knows of a drain in time, regardless of earlier faults of the discovery agent."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.discovery.faults import DRAIN_LIMIT_S, FAULTS, FaultInjector, collect_failures, end_fault
from tests.support.discovery_agent import DiscoveryAgent, endpoint_entry, parse_poll
from tests.support.event_loop import run, until
from tests.support.http_client import request
from tests.support.ingress import running_ingress
from tests.support.peers import Peer, Script, respond, write_if_open

# Duration of a fault in seconds, and whether responses are full lists without draining backends.
# There are several long durations, so that a delay that doubles without limit (from 0.2 s, for
# example) has just become too long at the end of some of them.
DURATIONS = ((0.3, False), (0.3, True), (8.0, False), (9.0, True), (13.0, False))


async def check_drain_after_fault(
    inject_fault: FaultInjector, duration_s: float, full_lists: bool
) -> None:
    """Replace the only backend at the end of a fault; check that the ingress follows in time."""
    new = Peer(respond(b"new"))
    agent = DiscoveryAgent(full_lists)
    await new.start()
    async with running_ingress(respond(b"old"), discovery=agent) as ingress:
        (old,) = ingress.backends
        agent.publish(endpoint_entry(old, "s-0"))
        await until(lambda: bool(agent.held_polls))
        await inject_fault(agent, ingress.discovery)
        await asyncio.sleep(duration_s)
        client = await ingress.client()
        assert (await client.send(request(number=1))).body == b"old"
        await end_fault(
            agent,
            ingress.discovery,
            endpoint_entry(old, "s-0", "leaving"),
            endpoint_entry(new, "s-1"),
        )
        number = 1
        async with asyncio.timeout(DRAIN_LIMIT_S):
            is_known = False
            while not is_known:
                await asyncio.sleep(0.05)
                number += 1
                is_known = (await client.send(request(number=number))).body == b"new"
        requests_before = len(old.requests)
        for more in range(10):
            assert (await client.send(request(number=number + 1 + more))).body == b"new"
        assert len(old.requests) == requests_before
    new.stop()


def test_drain_is_known_in_time_after_any_fault() -> None:
    """The ingress has to know a drain within 6 s after discovery has it and can be reached.

    Each fault starts while a poll is held. The short faults test how the ingress treats the open
    poll, the long ones how it treats many failed polls.
    """
    cases = {
        f"{name}, for {duration_s} s, {'full lists' if full_lists else 'changes'}": (
            check_drain_after_fault(inject_fault, duration_s, full_lists)
        )
        for name, inject_fault in FAULTS.items()
        for duration_s, full_lists in DURATIONS
    }

    async def test() -> None:
        assert await collect_failures(cases) == {}

    run(test())


def respond_slowly(agent: DiscoveryAgent, pieces: int, pause_s: float) -> Script:
    """Return a script that follows the protocol, but sends each response slowly, in pieces."""

    async def script(peer: Peer, data: bytes, writer: asyncio.StreamWriter) -> None:
        poll = parse_poll(data)
        known = poll.known_version
        with suppress(TimeoutError):
            async with asyncio.timeout(poll.max_wait_s):
                await until(lambda: known is None or known < agent.version)
        response = agent.response(known)
        size = len(response) // pieces + 1
        for start in range(0, len(response), size):
            write_if_open(writer, response[start : start + size])
            await asyncio.sleep(pause_s)

    return script


async def check_drain_in_slow_list(pieces: int, pause_s: float) -> None:
    new = Peer(respond(b"new"))
    agent = DiscoveryAgent()
    await new.start()
    discovery = respond_slowly(agent, pieces, pause_s)
    async with running_ingress(respond(b"old"), discovery=discovery) as ingress:
        (old,) = ingress.backends
        agent.publish(endpoint_entry(old, "s-0"))
        await asyncio.sleep(2.0)  # polls without a change, whose responses are slow as well
        agent.change(endpoint_entry(old, "s-0", "leaving"), endpoint_entry(new, "s-1"))
        client = await ingress.client()
        number = 1
        async with asyncio.timeout(DRAIN_LIMIT_S):
            while (await client.send(request(number=number))).body != b"new":
                await asyncio.sleep(0.05)
                number += 1
    new.stop()


def test_slow_list_is_known_in_time() -> None:
    """A slow response must be awaited.

    If the ingress cancelled the poll, the response to the next poll would be as slow.
    """
    cases = {
        f"{pieces} pieces, one in {pause_s} s": check_drain_in_slow_list(pieces, pause_s)
        for pieces, pause_s in ((8, 0.01), (8, 0.05), (8, 0.1), (20, 0.1))
    }

    async def test() -> None:
        assert await collect_failures(cases) == {}

    run(test())
