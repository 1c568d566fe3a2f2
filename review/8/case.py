"""A small backend starts beside large ones: is it sent more than it bears?"""

from __future__ import annotations

import asyncio
import os
import time
from math import sqrt
from pathlib import Path
from random import Random

import lab_2 as lab

INGRESSES = 32
LARGE_CORES, SMALL_CORES = 8, 1
LARGE_BACKENDS = 2
WORK_S = 0.1  # of each request, on a warm core
USE = 0.9  # of the capacity of all backends
WARMUP_S = 20.0
WATCHED_S = 6.0
DOWN_S = 0.3
START_CAPACITY, COLD_S, FALL_MULTIPLE, OVERLOAD_S = 0.25, 18.0, 2.5, 1.0
REPORT_EVERY_S, REPORT_OVER_S = 0.3, 1.0
SMALL_WINDOW = 30
TIMEOUT_S = 4.0
PLAN = {"name": "agency", "per_second": 1e4, "peak_units": 1e5, "price": 1.0}
FIELDS = ["backlog", "throughput", "utilization"]
# REPORTS=off: the same without load reports, to tell the cause.
REPORTS = os.environ.get("REPORTS", "inline")


class Machine:
    """The cores of a backend, which serve requests in order; slower after a start."""

    def __init__(self, cores: int) -> None:
        """A warm machine."""
        self.cores = cores
        self._started_at = 0.0
        self._free_at = [0.0] * cores
        self._held = 0
        self._served: list[float] = []
        self._reported_at = 0.0
        self._report = ""

    def start_cold(self) -> None:
        """Begin anew."""
        self._started_at = time.monotonic()
        self._free_at = [0.0] * self.cores
        self._held = 0

    def fraction(self, now: float) -> float:
        """Return the share of the full capacity at a time."""
        if not self._started_at:
            return 1.0
        return min(1.0, START_CAPACITY + (1 - START_CAPACITY) * (now - self._started_at) / COLD_S)

    async def respond(
        self, backend: lab.Backend, attempt: lab.Attempt, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a request when it has its turn."""
        del backend
        now = time.monotonic()
        core = min(range(self.cores), key=self._free_at.__getitem__)
        ends_at = max(now, self._free_at[core]) + WORK_S / self.fraction(now)
        self._free_at[core] = ends_at
        self._held += 1
        await asyncio.sleep(ends_at - now)
        self._held -= 1
        attempt.said = "200"
        writer.write(
            lab.ok_answer(attempt.id.encode(), f"Server-Load: {self._load_report(ends_at)}\r\n")
        )

    def _load_report(self, now: float) -> str:
        self._served.append(now)
        if now - self._reported_at > REPORT_EVERY_S:
            self._reported_at = now
            self._served = [at for at in self._served if at > now - REPORT_OVER_S]
            throughput = len(self._served) / REPORT_OVER_S
            utilization = min(1.0, throughput * WORK_S / self.fraction(now) / self.cores)
            backlog = max(0, self._held - self.cores)
            self._report = (
                f"backlog={backlog},throughput={throughput:.1f},utilization={utilization:.3f}"
            )
        return self._report


def settings(index: int) -> lab.Json:
    """Return the settings of one ingress."""
    return lab.settings(
        index,
        INGRESSES,
        plans=[PLAN],
        telemetry={"via": REPORTS, "fields": FIELDS if REPORTS == "inline" else []},
        safety={
            "start_capacity": START_CAPACITY,
            "cold": COLD_S * 1000,
            "fall_multiple": FALL_MULTIPLE,
            "overload_for": OVERLOAD_S * 1000,
        },
    ) | {"weights": "nominal"}


def tolerated(age_s: float) -> float:
    """Return the requests of mean work that the small backend bears in a window that ends now."""
    fraction = min(1.0, START_CAPACITY + (1 - START_CAPACITY) * age_s / COLD_S)
    n = FALL_MULTIPLE * fraction * SMALL_CORES / WORK_S * OVERLOAD_S
    return n + 2 * sqrt(n) + 2 if n >= SMALL_WINDOW else n + 3 * sqrt(n) + 3


async def load(ingresses: list[lab.Ingress], record: lab.Record, until: float) -> None:
    """Send requests of many customers to all ingresses alike."""
    random = Random(10)
    clients = [lab.Clients(ingress.port, record) for ingress in ingresses]
    rate = USE * (LARGE_BACKENDS * LARGE_CORES + SMALL_CORES) / WORK_S
    tasks = []
    due = time.monotonic()
    while due < until:
        due += random.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        number = len(tasks)
        request = lab.Request(
            f"r{number:06d}", "/search/x", number + 1, PLAN["name"], 1.0, TIMEOUT_S, 1
        )
        tasks.append(asyncio.create_task(random.choice(clients).ask(request)))
    await asyncio.gather(*tasks)


async def run(record: lab.Record, folder: Path) -> int:
    """Steady load; the small backend is restarted; see claim.txt."""
    backends = []
    for number in range(LARGE_BACKENDS):
        machine = Machine(LARGE_CORES)
        backends.append(
            lab.Backend(f"large{number}", machine.respond, record, model="large", size=LARGE_CORES)
        )
    machine = Machine(SMALL_CORES)
    small = lab.Backend("small", machine.respond, record, model="small", size=SMALL_CORES)
    backends.append(small)
    for backend in backends:
        await backend.start()
    discovery = lab.Discovery(backends, record)
    await discovery.start()
    limits = {"sockets": 1024, "memory_mb": 128}
    configs = [lab.config(discovery, settings(i), limits) for i in range(INGRESSES)]
    ingresses = await lab.start_ingresses(record, folder, configs)
    until = time.monotonic() + WARMUP_S + DOWN_S + WATCHED_S
    sending = asyncio.create_task(load(ingresses, record, until))
    await asyncio.sleep(WARMUP_S)
    if lab.TROUBLE:
        small.stop()
        await asyncio.sleep(DOWN_S)
        machine.start_cold()
        small.boot_ms = int(time.time() * 1000)
        await small.start()
        record.line("backend small: started")
        discovery.change(small)
    else:
        await asyncio.sleep(DOWN_S)
    started_at = time.monotonic()
    await sending
    if not lab.TROUBLE:
        record.result("no backend has started")
        return lab.HELD
    return judge(small, started_at, record)


def judge(small: lab.Backend, started_at: float, record: lab.Record) -> int:
    """Return whether any window held more requests than the small backend bears."""
    times = [attempt.at for attempt in small.attempts if attempt.at >= started_at]
    fullest, limit, fullest_at = 0, 1.0, 0.0
    for begin in times:
        count = sum(begin <= at <= begin + OVERLOAD_S for at in times)
        bears = tolerated(begin + OVERLOAD_S - started_at)
        if count / bears > fullest / limit:
            fullest, limit, fullest_at = count, bears, begin - started_at
    record.result(
        f"the small backend got {len(times)} requests; most in a window of {OVERLOAD_S:g} s:"
        f" {fullest}, {fullest_at:.2f} s after its start; it bears {limit:.1f}"
    )
    return lab.BROKEN if fullest > limit else lab.HELD


if __name__ == "__main__":
    lab.run_case(Path(__file__).resolve().parent / "record.txt", run)
