"""Faults of a discovery agent, and the time limits that apply once the faults have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from traceback import extract_tb

from tests.support.configuration import SETTINGS
from tests.support.discovery_agent import DiscoveryAgent, Entry
from tests.support.peers import Peer, Script, never_respond, send_bytes

# Time limits, counted from when discovery has a change and can be reached: until the ingress has to
# know the change, and until requests to a draining backend have to end.
CHANGE_KNOWN_S = 6.0
TOLERANCE_S = 0.05
DRAIN_LIMIT_S = CHANGE_KNOWN_S + SETTINGS["safety"]["stop_sending_within"] / 1000 + TOLERANCE_S

INVALID_LIST = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"
SERVER_ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"

FaultInjector = Callable[[DiscoveryAgent, Peer], Awaitable[None]]


async def refuse_connections(agent: DiscoveryAgent, peer: Peer) -> None:
    """Refuse new connections and reset the open ones."""
    await peer.refuse_connections()


def inject(fault: Callable[[DiscoveryAgent], Script]) -> FaultInjector:
    """Return a fault that responds to all polls with a script."""

    async def inject_script(agent: DiscoveryAgent, peer: Peer) -> None:
        agent.inject_fault(fault(agent))

    return inject_script


FAULTS: dict[str, FaultInjector] = {
    "refused": refuse_connections,
    "silent": inject(lambda agent: never_respond),
    "truncated and closed": inject(lambda agent: agent.truncate_and_close),
    "truncated and left open": inject(lambda agent: agent.truncate_and_stall),
    "sent slowly without end": inject(lambda agent: agent.send_slowly),
    "complete, but no list": inject(lambda agent: send_bytes(INVALID_LIST, close=False)),
    "an error": inject(lambda agent: send_bytes(SERVER_ERROR, close=False)),
    "after the timeout": inject(lambda agent: agent.respond_late),
    "long polls ignored": inject(lambda agent: agent.ignore_long_polls),
}


async def end_fault(agent: DiscoveryAgent, peer: Peer, *changes: Entry) -> None:
    """End the fault, except that long polls stay ignored, and apply the changes in discovery."""
    if agent.fault != agent.ignore_long_polls:
        agent.fault = None
    agent.change(*changes)
    if not peer.server.is_serving():
        await peer.listen_again()


async def collect_failures(cases: Mapping[str, Awaitable[None]]) -> dict[str, str]:
    """Run all cases concurrently; return the errors by the name of the case."""
    results = await asyncio.gather(*cases.values(), return_exceptions=True)
    return {
        name: f"{result!r} from {_place(result)}"
        for name, result in zip(cases, results, strict=True)
        if result is not None
    }


def _place(error: BaseException) -> str:
    """Return the innermost line of these tests in the traceback of the error."""
    directory = Path(__file__).parent
    frames = [f for f in extract_tb(error.__traceback__) if Path(f.filename).parent == directory]
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}"
