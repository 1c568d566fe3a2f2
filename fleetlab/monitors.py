"""Monitors of a measurement: health checks of an ingress, and the lag of the lab's event loop."""

from __future__ import annotations

import asyncio
from pathlib import Path

from fleetlab.http_connection import HTTP_OK, HttpConnection
from fleetlab.latency import max_ms, new_histogram

HEALTH_CHECK_INTERVAL_S = 0.02
MAX_BACKLOG_S = 5.0  # maximum delay of the health checks behind their schedule
LAG_INTERVAL_S = 0.005

_HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\n\r\n"


class LoopLagMonitor:
    """Measures the maximum lag of this process's event loop, which measured latencies include."""

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
    """Return for how long at least one task has waited for a CPU since the system's start, in s.

    Return 0 if the system does not report it.
    """
    try:
        first_line = Path("/proc/pressure/cpu").read_text().splitlines()[0]
        return int(first_line.rpartition("total=")[2]) / 1e6
    except (OSError, ValueError, IndexError):
        return 0.0


class HealthMonitor:
    """Sends health checks on a schedule; measures latency from the scheduled time of each."""

    def __init__(self, address: str) -> None:
        self.latency = new_histogram()
        self.ready = asyncio.Event()  # set by the first response with status 200
        self._address = address
        self._connection: HttpConnection | None = None

    @property
    def max_latency_ms(self) -> float | None:
        """The maximum latency in ms; None before the first response."""
        return max_ms(self.latency)

    async def run(self) -> None:
        """Check until cancelled; reconnect after a connection has failed."""
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
