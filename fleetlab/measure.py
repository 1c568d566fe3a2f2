"""What processes cost, read from /proc, and stalls of an ingress seen from outside."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from pathlib import Path

from fleetlab.clients import Stream, ask, histogram

MB = 1024 * 1024
HEALTH_EVERY_S = 0.02
STALL_EVERY_S = 0.005


class PastHalf(RuntimeError):
    """The run would take more than half of the machine's memory, or has."""


def _field_mb(path: Path, name: str) -> float:
    for line in path.read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) / 1024
    raise OSError(f"{path} has no {name}")


def rss_mb(pid: int) -> float:
    """Megabytes resident now; OSError if the process has gone."""
    return _field_mb(Path(f"/proc/{pid}/status"), "VmRSS")


def peak_mb(pid: int) -> float:
    """The most megabytes that were resident at any time (VmHWM); OSError if the process has gone."""
    return _field_mb(Path(f"/proc/{pid}/status"), "VmHWM")


def cpu_s(pid: int) -> float:
    """Seconds of processor time, user and system; OSError if the process has gone."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def machine_mb() -> float:
    """Megabytes of memory in the machine."""
    return _field_mb(Path("/proc/meminfo"), "MemTotal")


def check_memory(pids: Iterable[int], expected_mb: float = 0.0) -> None:
    """PastHalf if these processes, this one and what is expected beside go past half of the machine's memory.

    It counts as well what is left on the machine: the last eighth is nobody's to take.
    """
    used = expected_mb
    for pid in (os.getpid(), *pids):
        try:
            used += rss_mb(pid)
        except OSError:
            continue  # it has ended
    if used > machine_mb() / 2:
        raise PastHalf(f"{used:.0f} MB are more than half of the machine's {machine_mb():.0f} MB")
    free = _field_mb(Path("/proc/meminfo"), "MemAvailable")
    if free - expected_mb < machine_mb() / 8:
        raise PastHalf(f"only {free:.0f} MB of the machine's {machine_mb():.0f} MB are free")


class LoopStall:
    """The longest time, in ms, by which this process's own loop was late: what it measures has that in it."""

    def __init__(self) -> None:
        self.worst_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + STALL_EVERY_S
            await asyncio.sleep(STALL_EVERY_S)
            self.worst_ms = max(self.worst_ms, (loop.time() - due) * 1000)


class HealthWatch:
    """GET /healthz on a schedule; the latency is counted from when each was to be sent, in microseconds."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self.latency = histogram()
        self.ready = asyncio.Event()  # once an answer was 200
        self.statuses: dict[int, int] = {}

    @property
    def worst_ms(self) -> float | None:
        """The longest answer; None before the first."""
        return self.latency.get_max_value() / 1000 if self.latency.get_total_count() else None

    async def run(self) -> None:
        """Ask until cancelled; a connection that breaks is opened anew."""
        loop = asyncio.get_running_loop()
        intended, stream = loop.time(), None
        try:
            while True:
                try:
                    stream = stream or await asyncio.open_connection(*self._address)
                    status = await self._ask(stream)
                except (OSError, asyncio.IncompleteReadError):
                    status = 0
                    if stream is not None:
                        stream[1].close()
                    stream = None
                self.statuses[status] = self.statuses.get(status, 0) + 1
                if status:
                    self.latency.record_value(max(1, int((loop.time() - intended) * 1e6)))
                if status == 200:
                    self.ready.set()
                intended = max(intended + HEALTH_EVERY_S, loop.time() - 5.0)
                if (wait := intended - loop.time()) > 0:
                    await asyncio.sleep(wait)
        finally:
            if stream is not None:
                stream[1].close()

    async def _ask(self, stream: Stream) -> int:
        return await ask(stream, b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n")
