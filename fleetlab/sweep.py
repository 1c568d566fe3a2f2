"""Sizes played one after another: hollow ingresses before an agent and a counter of their own."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Sequence
from random import Random

import msgspec

from fleetlab.agent import Agent
from fleetlab.children import Child, Children
from fleetlab.counter import CounterServer
from fleetlab.hollow import HollowSpec, Report
from fleetlab.measure import check_memory
from fleetlab.plan import INGRESSES
from fleetlab.results import Figures
from fleetlab.site import entries
from sumacpost.policy.subsetting import MIN_SUBSET_SIZE

READY_S = 30.0  # for a list to be held by all, and for the customers to be met
LIST_POINT = 200  # backends where another axis is played
A_PROCESS = 40  # hollow ingresses in one process, at most
ENTRY_KB, INGRESS_MB, PROCESS_MB, TENANT_KB, ROUTE_KB = (
    2.0,
    2.0,
    60.0,
    2.0,
    60.0,
)  # rough, to check memory
NAMES_AT = (
    "127.0.0.1:9",
)  # no attempt of a hollow ingress goes out, so nobody has to listen there


class Point(msgspec.Struct, frozen=True):
    """What one point of a sweep plays; rate counts requests a second at each ingress."""

    ingresses: int = 1
    backends: int = LIST_POINT
    meet: int = 0
    classes: int = 3
    changes_per_s: float = 0.0
    rate: float = 20.0
    burst: float = 1000.0


def point(axis: str, size: int) -> Point:
    """The point of this size on an axis; ValueError for an unknown axis."""
    match axis:
        case "backends":
            return Point(backends=size)
        case "ingresses":
            return Point(ingresses=size, rate=5.0)
        case "tenants":
            return Point(meet=size)
        case "routes":
            return Point(classes=size)
        case "changes":
            return Point(changes_per_s=size, ingresses=4)
        case "counter":
            return Point(
                rate=size, burst=8.0
            )  # so small a burst that each request is a call or two
    raise ValueError(f"{axis} is no axis")


def reports(child: Child) -> list[Report]:
    """What a hollow process has reported; what it writes beside that is left out."""
    return [
        msgspec.json.decode(line, type=Report) for line in list(child.out) if line.startswith(b"{")
    ]


def _ready(child: Child) -> bool:
    found = reports(child)
    return bool(found) and found[-1].ready_s is not None


async def _changes(agent: Agent, per_s: float, seed: int) -> None:
    """Backends that start anew, one at a time; they say when, so that it shows how late that is told."""
    random, loop = Random(seed), asyncio.get_running_loop()
    at = loop.time()
    while True:
        at += 1 / per_s
        await asyncio.sleep(at - loop.time())
        agent.change([random.randrange(LIST_POINT)], boot_ms=round(time.time() * 1000, 1))


@contextlib.asynccontextmanager
async def _hollows(
    children: Children,
    played: Point,
    agent: Agent,
    counter: CounterServer,
    seed: int,
    seconds: float,
) -> AsyncIterator[list[Child]]:
    hollow = []
    for first in range(0, played.ingresses, A_PROCESS):
        spec = HollowSpec(
            ingresses=min(A_PROCESS, played.ingresses - first),
            gateways=max(INGRESSES, played.ingresses),
            discovery=agent.address,
            counter=counter.address,
            first=first,
            rate=played.rate,
            meet=played.meet,
            classes=played.classes,
            burst=played.burst,
            seed=seed,
            seconds=READY_S + seconds + 30,
        )
        hollow.append(
            await children.start("fleetlab.hollow", first=msgspec.json.encode(spec) + b"\n")
        )
    try:
        yield hollow
    finally:
        await children.end()


async def play(axis: str, size: int, seconds: float, seed: int) -> Figures:
    """The figures of one point, measured for so many seconds once all ingresses hold the list.

    Per ingress: held_mb and peak_mb over an empty process, control_cpu_percent of a core (all but the batches
    of requests), control_bytes_per_s read from discovery and counter. None: not measured, no list was held.
    """
    played = point(axis, size)
    kb = played.backends * ENTRY_KB + played.meet * TENANT_KB + played.classes * ROUTE_KB
    expected = (
        played.ingresses * (INGRESS_MB + kb / 1024)
        + played.backends * ENTRY_KB / 1024
        + (played.ingresses // A_PROCESS + 1) * PROCESS_MB
    )
    check_memory([], expected)
    loop, children, changing = asyncio.get_running_loop(), Children(), None
    agent, counter = Agent(entries(played.backends, NAMES_AT, seed)), CounterServer()
    await agent.start()
    await counter.start()
    try:
        async with _hollows(children, played, agent, counter, seed, seconds) as hollow:
            end = loop.time() + READY_S
            while loop.time() < end and not all(_ready(child) for child in hollow):
                if any(not child.running for child in hollow):
                    break
                check_memory(children.pids)
                await asyncio.sleep(0.1)
            if played.changes_per_s:
                changing = asyncio.create_task(_changes(agent, played.changes_per_s, seed))
            began = [len(reports(child)) for child in hollow]
            lists, end = agent.whole_lists, loop.time() + seconds + 1.5
            while loop.time() < end:
                check_memory(children.pids)
                await asyncio.sleep(min(0.5, seconds))
            told = [reports(child) for child in hollow]
        return _figures(
            played,
            [found[max(0, at - 1) :] for found, at in zip(told, began, strict=True)],
            agent.whole_lists - lists,
        )
    finally:
        if changing is not None:
            changing.cancel()
        await children.end()
        await agent.stop()
        await counter.stop()


def _figures(played: Point, told: Sequence[Sequence[Report]], whole_lists: int) -> Figures:
    """Sums over the processes, from the first report of the measured time to the last."""
    held = [found[-1] for found in told if found]
    needed = min(
        MIN_SUBSET_SIZE, played.backends
    )  # an ingress keeps its part of a long list, and must have so many
    unheld = max((1 - min(1.0, r.least_entries / needed) for r in held), default=1.0)
    figures: Figures = {
        "unheld_share": unheld,
        "held_entries": sum(r.entries for r in held) / played.ingresses,
        "whole_lists_given": float(whole_lists),
    }
    names = [
        "ready_s",
        "held_mb",
        "peak_mb",
        "rss_mb",
        "control_cpu_percent",
        "control_bytes_per_s",
        "decision_us",
        "counter_calls_per_s",
        "refused_share",
    ] + ["told_ms"] * (played.changes_per_s > 0)
    spans = [(found[0], found[-1]) for found in told if len(found) > 1]
    if len(spans) < len(told) or any(last.ready_s is None for _, last in spans):
        return figures | dict.fromkeys(names)
    count = played.ingresses
    wall = sum(last.at_s - first.at_s for first, last in spans) / len(spans)

    def rise(name: str) -> float:
        return float(sum(getattr(last, name) - getattr(first, name) for first, last in spans))

    arrived, changes = rise("arrived"), rise("changes")
    return figures | {
        "ready_s": max(last.ready_s or 0.0 for _, last in spans),
        "held_mb": sum(last.rss_mb - last.base_mb for _, last in spans) / count,
        "peak_mb": sum(last.peak_mb - last.base_mb for _, last in spans) / count,
        "rss_mb": sum(last.rss_mb for _, last in spans),
        "control_cpu_percent": 100 * (rise("cpu_s") - rise("decision_cpu_s")) / wall / count,
        "control_bytes_per_s": (rise("discovery_bytes") + rise("counter_bytes")) / wall / count,
        "decision_us": 1e6 * rise("decision_cpu_s") / arrived if arrived else None,
        "counter_calls_per_s": rise("counter_calls") / wall / count,
        "refused_share": rise("refused") / arrived if arrived else None,
        **({"told_ms": max(r.told_ms for found in told for r in found[1:])} if changes else {}),
    }
