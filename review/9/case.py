"""A customer's spike while the counter is silent: does the ceiling hold?"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from random import Random

import lab_2 as lab

INGRESSES = 2
PLAN = {
    "name": "agency",
    "per_second": 39.0,
    "peak_units": 47.0,
    "cap_rate": 50.7,
    "ceiling_burst": 61.1,
    "tolerance": 8.0,
    "price": 1.6,
    "over_worth": 0.0,
    "excess_cost": 0.6,
    "at_once": 0,
}
SPIKE_FACTOR = 7.8
SPIKE_S = 2.5
WARMUP_S = 8.0
SILENCE_S = 5.0
AFTER_S = 2.0
ACCOUNTS = (0xA1, 0xB2)
UNITS = (2, 3, 4, 4, 5, 6, 8)
SLACK_S = 0.05  # by which the protocol lengthens every time limit
ANSWER_S = 0.02
TIMEOUT_S = 2.0


CALM_PLAN = {
    "name": "team",
    "per_second": 8.9,
    "peak_units": 35.0,
    "cap_rate": 0.0,
    "ceiling_burst": 0.0,
    "tolerance": 0.0,
    "price": 1.3,
    "over_worth": 0.0,
    "excess_cost": 1.0,
    "at_once": 0,
}
CALM_ACCOUNTS = tuple(range(0x1000, 0x1000 + 40))
CALM_USE = 0.35


def first_sends(
    clients: list[lab.Clients], backends: list[lab.Backend], account: int
) -> list[tuple[float, float]]:
    """Return when each of a customer's tries first reached a backend whole, and its units."""
    units = {r.id: r.units for c in clients for r in c.done if r.account == account}
    first_at: dict[str, float] = {}
    for at, number in sorted((a.at, a.id) for b in backends for a in b.attempts):
        if number in units:
            first_at.setdefault(number, at)
    return [(at, units[number]) for number, at in first_at.items()]


class Load:
    """Sends the requests of all customers."""

    def __init__(self, ingresses: list[lab.Ingress], record: lab.Record) -> None:
        """Clients of these ingresses."""
        self.clients = [lab.Clients(ingress.port, record) for ingress in ingresses]
        self.tasks: list[asyncio.Task[lab.Request]] = []
        self._random = Random(8)

    async def ask(
        self, accounts: tuple[int, ...], plan: lab.Json, use: float, until: float
    ) -> None:
        """Ask for a multiple of each customer's quota, evenly, through all ingresses."""
        random = self._random
        every_s = sum(UNITS) / len(UNITS) / (use * plan["per_second"] * len(accounts))
        due = time.monotonic()
        while due < until:
            due += every_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            request = lab.Request(
                f"r{len(self.tasks):06d}",
                "/search/x",
                random.choice(accounts),
                plan["name"],
                random.choice(UNITS),
                TIMEOUT_S,
                INGRESSES,
            )
            client = random.choice(self.clients)
            self.tasks.append(asyncio.create_task(client.ask(request)))


async def run(record: lab.Record, folder: Path) -> int:
    """Calm customers, then spikes of two others as the counter falls silent; see claim.txt."""
    backends, discovery = await lab.start_backends(record, lab.answer_after(ANSWER_S))
    counter = lab.Counter(record)
    await counter.start()
    plans = [PLAN, CALM_PLAN]
    configs = [
        lab.config(
            discovery,
            lab.settings(i, INGRESSES, plans=plans, extra={"has_counter": True}),
            {"sockets": 1024, "memory_mb": 128},
            counter,
        )
        for i in range(INGRESSES)
    ]
    load = Load(await lab.start_ingresses(record, folder, configs), record)
    calm_until = time.monotonic() + WARMUP_S + SILENCE_S + AFTER_S
    calm = asyncio.create_task(load.ask(CALM_ACCOUNTS, CALM_PLAN, CALM_USE, calm_until))
    await asyncio.sleep(WARMUP_S)
    if lab.TROUBLE:
        counter.silence(True)
    silent_at = time.monotonic()
    record.line("spike begins")
    await load.ask(ACCOUNTS, PLAN, SPIKE_FACTOR, silent_at + SPIKE_S)
    record.line("spike ends")
    await asyncio.sleep(max(0.0, silent_at + SILENCE_S - time.monotonic()))
    counter.silence(False)
    await calm
    await asyncio.gather(*load.tasks)
    worst = 0.0
    for account in ACCOUNTS:
        sends = first_sends(load.clients, backends, account)
        low, low_at = lab.store_lows(sends, PLAN["cap_rate"], PLAN["ceiling_burst"], sends[0][0])
        worst = min(worst, low)
        record.result(
            f"account {account:x}: sent on {sum(u for _, u in sends):g} units; lowest level of its"
            f" ceiling {low:.1f}, {low_at - silent_at:.2f} s after the spike's begin"
        )
    allowed = -PLAN["tolerance"] - PLAN["cap_rate"] * SLACK_S
    record.result(f"lowest level {worst:.1f}, allowed {allowed:.1f}")
    return lab.BROKEN if worst < allowed else lab.HELD


if __name__ == "__main__":
    lab.run_case(Path(__file__).resolve().parent / "record.txt", run)
