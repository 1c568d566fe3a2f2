"""Monitors beside a measurement: health checks of an ingress, and the lab's own loop lag."""

from __future__ import annotations

import asyncio
from pathlib import Path

from fleetlab.http_connection import HTTP_OK, HttpConnection
from fleetlab.latency import max_ms, new_histogram

HEALTH_CHECK_INTERVAL_S = 0.02
MAX_BACKLOG_S = 5.0  # by which health checks may lag behind their schedule
LAG_INTERVAL_S = 0.005

_HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n"


class LoopLagMonitor:
    """The greatest delay of this process's event loop: measured latencies include it."""

    def __init__(self) -> None:
        self.max_lag_ms = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.max_lag_ms = max(self.max_lag_ms, (loop.time() - due) * 1000)


def cpu_pressure_s() -> float:
    """Return for how long some process has waited for a processor since the machine's start.

    0 where the system does not tell.
    """
    try:
        first_line = Path("/proc/pressure/cpu").read_text().splitlines()[0]
        return int(first_line.rpartition("total=")[2]) / 1e6
    except (OSError, ValueError, IndexError):
        return 0.0


class HealthMonitor:
    """Health checks on a schedule; latency counts from when each should have been sent."""

    def __init__(self, address: str) -> None:
        self.latency = new_histogram()
        self.ready = asyncio.Event()  # set by the first response of 200
        self._address = address
        self._connection: HttpConnection | None = None

    @property
    def max_latency_ms(self) -> float | None:
        """The greatest latency; None before the first response."""
        return max_ms(self.latency)

    async def run(self) -> None:
        """Check until cancelled; a connection that breaks is opened anew."""
        loop = asyncio.get_running_loop()
        intended_at = loop.time()
        try:
            while True:
                await self._check(intended_at)
                intended_at = max(
                    intended_at + HEALTH_CHECK_INTERVAL_S, loop.time() - MAX_BACKLOG_S
                )
                wait_s = intended_at - loop.time()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
        finally:
            self._close()

    async def _check(self, intended_at: float) -> None:
        try:
            if self._connection is None:
                self._connection = await HttpConnection.open(self._address)
            status = await self._connection.request(_HEALTH_CHECK)
        except (OSError, asyncio.IncompleteReadError):
            self._close()
            return
        latency_us = int((asyncio.get_running_loop().time() - intended_at) * 1e6)
        self.latency.record_value(max(1, latency_us))
        if status == HTTP_OK:
            self.ready.set()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
