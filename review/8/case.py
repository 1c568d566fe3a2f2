"""Many customers come only once between two spikes of one customer: does its ceiling hold?"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from random import Random

import lab_2 as lab

INGRESSES = 2
PLAN = {
    "name": "starter",
    "per_second": 1.2,
    "peak_units": 32.0,
    "cap_rate": 1.56,
    "ceiling_burst": 41.6,
    "tolerance": 8.0,
    "price": 0.8,
    "over_worth": 0.1,
    "excess_cost": 0.0,
    "at_once": 0,
}
ACCOUNT = 0xA1
FIRST_OTHER = 0x10000
UNITS = 4
RATE = 130.0  # requests a second of each ingress, of the customers beside the one with the spikes
FILL_S = 28.0
SPIKE_S = 2.0
BETWEEN_S = 11.0
REGULARS = 300
ANSWER_S = 0.02
SLACK_S = 0.05  # by which the protocol lengthens every time limit
TIMEOUT_S = 2.0
SPIKE_EVERY_S = 0.05
MEMORY_MB = 40
KB_PER_MB = 1024


def peak_memory_mb(ingress: lab.Ingress) -> int:
    """Return the most memory that an ingress has held."""
    status = Path(f"/proc/{ingress.process.pid}/status") if ingress.process else Path()
    for line in status.read_text(encoding="utf-8").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) // KB_PER_MB
    return 0


class Load:
    """Sends the requests of all customers, in turn through all ingresses."""

    def __init__(self, ingresses: list[lab.Ingress], record: lab.Record) -> None:
        """Clients of these ingresses."""
        self.clients = [lab.Clients(ingress.port, record) for ingress in ingresses]
        self.tasks: list[asyncio.Task[lab.Request]] = []
        self._record = record
        self._random = Random(9)

    def send(self, account: int, units: float) -> None:
        """Send one request."""
        number = len(self.tasks)
        request = lab.Request(
            f"r{number:06d}", "/search/x", account, PLAN["name"], units, TIMEOUT_S, INGRESSES
        )
        client = self.clients[number % INGRESSES]
        self.tasks.append(asyncio.create_task(client.ask(request)))

    async def others(self) -> None:
        """Send for other customers: each comes once, or with TROUBLE=0 the same ones again."""
        due = time.monotonic()
        for number in range(int(BETWEEN_S * RATE * INGRESSES)):
            due += 1 / (RATE * INGRESSES)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.send(
                FIRST_OTHER + (number if lab.TROUBLE else self._random.randrange(REGULARS)), 1.0
            )

    async def spike(self) -> None:
        """Ask for far more than the ceiling holds."""
        self._record.line("spike begins")
        until = time.monotonic() + SPIKE_S
        while time.monotonic() < until:
            self.send(ACCOUNT, UNITS)
            await asyncio.sleep(SPIKE_EVERY_S)
        self._record.line("spike ends")


async def run(record: lab.Record, folder: Path) -> int:
    """Two spikes of a customer, and between them others; see claim.txt."""
    backends, discovery = await lab.start_backends(record, lab.answer_after(ANSWER_S))
    configs = [
        lab.config(
            discovery,
            lab.settings(i, INGRESSES, plans=[PLAN]),
            {"sockets": 512, "memory_mb": MEMORY_MB},
        )
        for i in range(INGRESSES)
    ]
    ingresses = await lab.start_ingresses(record, folder, configs)
    load = Load(ingresses, record)
    await asyncio.sleep(FILL_S)
    await load.spike()
    await load.others()
    await load.spike()
    done = await asyncio.gather(*load.tasks)
    asked = {request.id for request in done if request.account == ACCOUNT}
    first_at: dict[str, float] = {}
    for at, number in sorted((a.at, a.id) for b in backends for a in b.attempts):
        if number in asked:
            first_at.setdefault(number, at)
    sends = [(at, float(UNITS)) for at in first_at.values()]
    low, _ = lab.store_lows(sends, PLAN["cap_rate"], PLAN["ceiling_burst"], sends[0][0])
    allowed = -PLAN["tolerance"] - PLAN["cap_rate"] * SLACK_S
    statuses = Counter(request.status for request in done)
    record.result(f"answers {dict(statuses)}; of the customer {len(asked)}, sent on {len(sends)}")
    peaks = [peak_memory_mb(ingress) for ingress in ingresses]
    record.result(f"peak memory of the ingresses, MB: {peaks}, limit {MEMORY_MB}")
    record.result(f"lowest level of the customer's ceiling {low:.1f}, allowed {allowed:.1f}")
    return lab.BROKEN if low < allowed else lab.HELD


if __name__ == "__main__":
    lab.run_case(Path(__file__).resolve().parent, run)
