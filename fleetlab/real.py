"""One real ingress, as a process, before stand-ins of the plan's size."""

from __future__ import annotations

import asyncio
import gc
import re
import tempfile
from pathlib import Path
from random import Random

from fleetlab.agent import Agent, Mode
from fleetlab.backends import BackendPool
from fleetlab.children import Child, Children
from fleetlab.clients import OpenLoop, percentile_ms
from fleetlab.counter import CounterServer
from fleetlab.measure import HealthWatch, LoopStall, check_memory, cpu_s, peak_mb, rss_mb
from fleetlab.plan import ADDED_MS, INGRESSES, REQUESTS_PER_S
from fleetlab.results import Figures
from fleetlab.site import config_text, entries

START_S = 10.0  # for the process to serve
PORTS = 128  # that the listed backends share
LEAVING_S = 6.0  # how long the requests at a port that is leaving are watched
SETTLE_S = 0.3  # before its requests are counted
EXPECTED_MB = 800.0  # of it all, for the memory's check
SMALL = 200
_SERVING = re.compile(rb"serving: name=\S* address=([\d.]+:\d+)")


async def _address(ingress: Child) -> str:
    """Where the ingress serves; RuntimeError with its last line if it does not."""
    async with asyncio.timeout(START_S):
        while True:
            for line in list(ingress.err):
                if (found := _SERVING.search(line)) is not None:
                    return found[1].decode()
            if not ingress.running:
                last = (
                    ingress.err[-1].decode(errors="replace").strip() if ingress.err else "no word"
                )
                raise RuntimeError(f"the ingress has ended: {last}")
            await asyncio.sleep(0.01)


def _spent(agent: Agent, pid: int) -> tuple[float, float, int, int]:
    """The time, the processor time of the ingress, bytes that the agent has written and calls it has had."""
    calls = agent.whole_calls + agent.watch_calls
    return asyncio.get_running_loop().time(), cpu_s(pid), agent.bytes_written, calls


def _added(p99: float | None, direct: float | None) -> float | None:
    """What the ingress adds, in ms; None where the way without it takes more than the plan lets it add."""
    return p99 - direct if p99 is not None and direct is not None and direct <= ADDED_MS else None


async def _change(agent: Agent, per_s: float, count: int, seed: int) -> None:
    """The sizes of backends, one at a time: a change that moves nothing else."""
    random, loop = Random(seed), asyncio.get_running_loop()
    at = loop.time()
    while True:
        at += 1 / per_s
        await asyncio.sleep(at - loop.time())
        agent.change([random.randrange(count)], capacity_hint=round(random.uniform(0.9, 1.1), 3))


async def _in_force(agent: Agent, backends: BackendPool) -> Figures:
    """All backends at the port that gets most are set to leaving: until when do requests come there?

    in_force_s counts from the change to the last request there, None if they never stopped; leaving_entries
    is how many entries of the list that one change holds, as many backends share a port.
    """
    loop, before = asyncio.get_running_loop(), dict(backends.requests)
    await asyncio.sleep(1.0)
    busiest = max(before, key=lambda endpoint: backends.requests[endpoint] - before[endpoint])
    if backends.requests[busiest] == before[busiest]:
        return {"in_force_s": None, "leaving_entries": 0.0, "sent_to_leaving": None}
    numbers, count, at = agent.numbers_at(busiest), backends.requests[busiest], loop.time()
    agent.change(numbers, state="leaving")
    await asyncio.sleep(LEAVING_S)
    last = max(backends.last_at[busiest], at)
    late = backends.requests[busiest] - count
    agent.change(numbers, state="active")
    stopped = last < at + LEAVING_S - 1.0
    return {
        "in_force_s": last - at if stopped else None,
        "leaving_entries": float(len(numbers)),
        "sent_to_leaving": float(late),
    }


async def play(
    count: int,
    mode: Mode,
    seconds: float,
    seed: int,
    *,
    index: int = 0,
    known: int = 0,
    rate: float = REQUESTS_PER_S / INGRESSES,
    changes_per_s: float = 1.0,
) -> Figures:
    """The figures of one ingress before count listed backends; known of them stand in its configuration.

    None: not measured. Where the ingress is never ready, only memory, stalls and the agent's bytes are. The
    agent's bytes are those it has handed to the system, from when the ingress was ready, or from its start if
    it never was: of a list that is not read to its end they are more than what was read.
    """
    check_memory([], EXPECTED_MB)
    loop, children = asyncio.get_running_loop(), Children()
    backends, beside, counter = BackendPool(PORTS), BackendPool(1), CounterServer()
    for stand_in in (backends, beside, counter):
        await stand_in.start()
    listed = entries(count, backends.endpoints, seed)
    agent = Agent(listed, mode)
    await agent.start()
    gc.collect()
    gc.freeze()  # the list is the stand-in's, and its collection would be felt as the ingress's latency
    stall = LoopStall()
    tasks: list[asyncio.Task[None]] = []
    try:
        with tempfile.TemporaryDirectory(prefix="fleetlab-") as folder:
            path = Path(folder) / "config.json"
            path.write_text(
                config_text(
                    index=index,
                    gateways=INGRESSES,
                    discovery=agent.address,
                    counter=counter.address,
                    seed=seed,
                    known=listed[:known],
                )
            )
            began = loop.time()
            ingress = await children.start("sumacpost", {"RELAY_CONFIG": str(path)})
            address = await _address(ingress)
            served_s = loop.time() - began
            health = HealthWatch(address)
            tasks.append(asyncio.create_task(health.run()))
            figures: Figures = {"listening_s": served_s}
            before = _spent(agent, ingress.pid)
            try:
                async with asyncio.timeout(seconds):
                    await health.ready.wait()
                figures["ready_s"] = loop.time() - began
                before = _spent(
                    agent, ingress.pid
                )  # what it cost to get ready is not to count as a rate
            except TimeoutError:
                figures["ready_s"] = None
            if figures["ready_s"] is not None:
                if mode in (Mode.GOOD, Mode.INDENTED) and changes_per_s:
                    tasks.append(asyncio.create_task(_change(agent, changes_per_s, count, seed)))
                clients = OpenLoop(address, rate, seed + 1, first=index)
                sending = asyncio.create_task(clients.run(seconds + LEAVING_S))
                # the same at the same time with no ingress between: what client, backend and machine take
                direct = OpenLoop(beside.endpoints[0], rate, seed + 2, first=index)
                aside = asyncio.create_task(direct.run(seconds + LEAVING_S))
                tasks += [sending, aside, asyncio.create_task(stall.run())]
                await asyncio.sleep(SETTLE_S)
                if mode in (Mode.GOOD, Mode.INDENTED):
                    figures |= await _in_force(agent, backends)
                await sending
                await aside
                p99, floor = percentile_ms(clients.latency, 99), percentile_ms(direct.latency, 99)
                total = clients.statuses.total()
                figures |= {
                    "p50_ms": percentile_ms(clients.latency, 50),
                    "p99_ms": p99,
                    "direct_p99_ms": floor,
                    "added_p99_ms": _added(p99, floor),
                    "requests": float(total),
                    "served": float(clients.statuses[200]),
                    "refused": float(clients.statuses[429] + clients.statuses[503]),
                    "unanswered": float(clients.statuses[0]),
                    "lab_stall_ms": stall.worst_ms,
                }
            check_memory(children.pids)
            after = _spent(agent, ingress.pid)
            at, used, written, calls = (b - a for a, b in zip(before, after, strict=True))
            figures |= {
                "healthz_worst_ms": health.worst_ms,
                "rss_mb": rss_mb(ingress.pid),
                "peak_rss_mb": peak_mb(ingress.pid),
                "cpu_percent": used / at * 100,
                "agent_bytes_per_min": written / at * 60,
                "agent_calls_per_min": calls / at * 60,
            }
        return figures
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        gc.unfreeze()
        await children.end()
        for stood in (agent, counter, backends, beside):
            await stood.stop()


async def compare(
    count: int,
    mode: Mode,
    seconds: float,
    seed: int,
    *,
    index: int = 0,
    known: int = 0,
    rate: float = REQUESTS_PER_S / INGRESSES,
    changes_per_s: float = 1.0,
) -> Figures:
    """The same, with peak_over_200_mb: the peak over that with 200 listed backends, which is played first."""
    small = await play(
        SMALL,
        Mode.GOOD,
        min(seconds, 3.0),
        seed,
        index=index,
        known=known,
        rate=rate,
        changes_per_s=changes_per_s,
    )
    figures = await play(
        count, mode, seconds, seed, index=index, known=known, rate=rate, changes_per_s=changes_per_s
    )
    peak, before = figures.get("peak_rss_mb"), small.get("peak_rss_mb")
    known_peaks = peak is not None and before is not None and figures["ready_s"] is not None
    figures["peak_over_200_mb"] = peak - before if known_peaks and peak and before else None
    figures["peak_200_mb"] = before
    return figures
