"""Discovery is crowded, then down: is what it has at its return heard within a drain's grace?"""

from __future__ import annotations

import asyncio
import gc
import json
import time
from pathlib import Path
from random import Random

import lab_2 as lab

INGRESSES = 36
BACKENDS, DRAINING = 4, 2
GRACE_S = 1.0  # safety.stop_sending_within
SLACK_S = 0.05  # by which the protocol lengthens every time limit
CALM_S, CROWDED_S, DOWN_S, SPREAD_S, AFTER_S = 2.0, 8.0, 6.0, 1.5, 3.0
LATE_S = (0.8, 1.2)  # how late a crowded agent answers, at least and at most
RATE = 12.0  # requests a second of an ingress
ANSWER_S, TIMEOUT_S = 0.02, 2.0
LAG_STEP_S = 0.002
LAG_NEAR_S = 0.1
PLAN = {"name": "agency", "per_second": 1e4, "peak_units": 1e5, "price": 1.0}


class Agent(lab.Discovery):
    """The agent of one ingress: its answers may come late, and it may be silent.

    A connection on which it has been silent stays so, also after its return.
    """

    def __init__(self, backends: list[lab.Backend], record: lab.Record) -> None:
        """An agent that answers at once."""
        super().__init__(backends, record)
        self.crowded = False
        self.silent = False
        self._random = Random()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await lab.read_message(reader)
                await self._fall_silent()
                answer = await self._answer(message.start.split(" ")[1])
                await self._fall_silent()
                if self.crowded:
                    await asyncio.sleep(self._random.uniform(*LATE_S))
                await self._fall_silent()
                writer.write(lab.ok_answer(json.dumps(answer).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the case is over
        finally:
            writer.close()

    async def _fall_silent(self) -> None:
        """Never return if the agent is silent."""
        if self.silent:
            await asyncio.Event().wait()


async def load(ingress: lab.Ingress, record: lab.Record, until: float) -> None:
    """Send requests at an even rate."""
    clients = lab.Clients(ingress.port, record)
    tasks = []
    due = time.monotonic()
    while due < until:
        due += 1 / RATE
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        number = len(tasks)
        request = lab.Request(
            f"n{ingress.index}-{number:05d}",
            "/search/x",
            (ingress.index << 16) + number,
            PLAN["name"],
            1.0,
            TIMEOUT_S,
            1,
        )
        tasks.append(asyncio.create_task(clients.ask(request)))
    await asyncio.gather(*tasks)


async def one_after_another(agents: list[Agent], what: str, record: lab.Record) -> None:
    """Set a state of all agents in random order within SPREAD_S."""
    for index in Random(11).sample(range(len(agents)), len(agents)):
        setattr(agents[index], what, True)
        record.line(f"discovery: the agent of n{index} is {what}")
        await asyncio.sleep(SPREAD_S / len(agents))


async def disturb(agents: list[Agent], record: lab.Record) -> None:
    """Let all agents become crowded, then silent; return when they are back."""
    await one_after_another(agents, "crowded", record)
    await asyncio.sleep(CROWDED_S)
    await one_after_another(agents, "silent", record)
    await asyncio.sleep(DOWN_S)
    for agent in agents:
        agent.silent = agent.crowded = False


async def watch_lag(until: float) -> list[tuple[float, float]]:
    """Return when the stand-ins' event loop ran, and how late: a send may seem later by that."""
    lags = []
    while (began_at := time.monotonic()) < until:
        await asyncio.sleep(LAG_STEP_S)
        now = time.monotonic()
        lags.append((now, now - began_at - LAG_STEP_S))
    return lags


async def run(record: lab.Record, folder: Path) -> int:
    """Crowded, silent and back, with drains at the return; see claim.txt."""
    gc.disable()  # its pauses would show as late sends
    respond = lab.answer_after(ANSWER_S)
    backends, first = await lab.start_backends(record, respond, BACKENDS)
    first.stop()  # each ingress has an agent of its own
    agents = [Agent(backends, record) for _ in range(INGRESSES)]
    for agent in agents:
        await agent.start()
    safety = {"stop_sending_within": GRACE_S * 1000}
    configs = [
        lab.config(
            agent,
            lab.settings(i, INGRESSES, plans=[PLAN], safety=safety),
            {"sockets": 1024, "memory_mb": 128},
        )
        for i, agent in enumerate(agents)
    ]
    ingresses = await lab.start_ingresses(record, folder, configs)
    until = time.monotonic() + CALM_S + CROWDED_S + 2 * SPREAD_S + DOWN_S + AFTER_S
    loads = [asyncio.create_task(load(ingress, record, until)) for ingress in ingresses]
    await asyncio.sleep(CALM_S)
    if lab.TROUBLE:
        await disturb(agents, record)
    else:
        await asyncio.sleep(CROWDED_S + 2 * SPREAD_S + DOWN_S)
    draining = backends[:DRAINING]
    for backend in draining:
        backend.state = "leaving"
    for agent in agents:
        agent.change(*draining)
    told_at = time.monotonic()
    record.line("discovery: all agents have the drains and answer")
    lags = await watch_lag(told_at + AFTER_S - LAG_STEP_S)
    await asyncio.gather(*loads)
    return judge(draining, told_at, lags, record)


def judge(
    draining: list[lab.Backend],
    told_at: float,
    lags: list[tuple[float, float]],
    record: lab.Record,
) -> int:
    """Return whether an ingress sent to a draining backend after the grace."""
    last: dict[str, float] = {}
    for backend in draining:
        for attempt in backend.attempts:
            lag_s = max((lag for at, lag in lags if abs(at - attempt.at) < LAG_NEAR_S), default=0.0)
            ingress = attempt.id.partition("-")[0]
            last[ingress] = max(last.get(ingress, 0.0), attempt.at - lag_s - told_at)
    late = {name: f"{at:.3f}" for name, at in last.items() if at > GRACE_S + SLACK_S}
    latest = sorted(last.values())[-3:]
    record.result(f"latest sends to draining backends: {[f'{at:.3f}' for at in latest]} s")
    record.result(f"later than {GRACE_S + SLACK_S:g} s: {late}")
    return lab.BROKEN if late else lab.HELD


if __name__ == "__main__":
    lab.run_case(Path(__file__).resolve().parent / "record.txt", run)
