"""One ingress as a real process, with its configuration, signals, health check and log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from fleetlab.soak.records import ProcessRecord
from fleetlab.stand_in import split_address
from fleetlab.system_faults.control import SystemFaults
from fleetlab.system_faults.library import library_environment
from fleetlab.versioned_list import JsonObject

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.02
HEALTH_TIMEOUT_S = 1.0
_HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class IngressProcess:
    """An ingress that is started, signalled and restarted at the same address.

    Attributes:
        name: the name of the ingress, the same for all its processes.
        address: the host and port at which it serves clients.
        config: the configuration file as parsed JSON, written at each start and reload.
        log_path: the log file of all its processes.
        process_records: the records of its processes so far, the current one last.
        system_faults: the faults of its system calls and wall clock; none until one is set.
    """

    def __init__(
        self,
        name: str,
        address: str,
        config: JsonObject,
        folder: Path,
        library: Path | None = None,
    ) -> None:
        """Set up an ingress; library: the system fault library to preload, if any."""
        self.name = name
        self.address = address
        self.config = config | {"name": name, "listen": address}
        self.log_path = folder / f"{name}.log"
        self.process_records: list[ProcessRecord] = []
        self.system_faults = SystemFaults(folder / f"{name}.faults")
        self._environment = {"RELAY_CONFIG": str(folder / f"{name}.json")}
        if library is not None:
            self._environment |= library_environment(library, self.system_faults)
        self._config_path = folder / f"{name}.json"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def process_record(self) -> ProcessRecord:
        """The record of the current process, or of the last one."""
        return self.process_records[-1]

    @property
    def running(self) -> bool:
        """Whether there is a process that has not exited."""
        return self._process is not None and self._process.returncode is None

    def write_config(self) -> None:
        """Replace the configuration file atomically."""
        temporary = self._config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self._config_path)

    async def start(self) -> None:
        """Start a process and wait until it is ready.

        Raise TimeoutError if it is not ready in time, RuntimeError if it exits before it has
        passed a health check.
        """
        self.write_config()
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sumacpost",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | self._environment,
                start_new_session=True,  # an interrupt at the terminal reaches the soak only
            )
        self.process_records.append(ProcessRecord(self.name, self._process.pid, time.monotonic()))
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        process_record = self.process_record
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await is_healthy(self.address):
                if not self.running:
                    raise RuntimeError(f"{self.name} exited before it was ready: {self.log_tail()}")
                await asyncio.sleep(READY_POLL_S)
        await self._enable_event_log()
        process_record.descriptors_at_start = self.open_descriptors()
        process_record.ready_at = time.monotonic()

    async def _enable_event_log(self) -> None:
        """Switch on the live event log, from which the oracles read the accepted requests."""
        log_size = len(self.log_text())
        self.send_signal(signal.SIGUSR2)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.running and "event log: live=True" not in self.log_text()[log_size:]:
                await asyncio.sleep(READY_POLL_S)

    def open_descriptors(self) -> int:
        """Return the number of open descriptors of the process, or 0 if it has exited."""
        try:
            return len(os.listdir(f"/proc/{self.process_record.pid}/fd"))
        except OSError:
            return 0

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it is running, and record it."""
        if self._process is not None and self.running:
            self.process_record.signals.append((signum.name, time.monotonic()))
            self._process.send_signal(signum)

    async def pause(self, seconds: float) -> None:
        """Stop the process for the given time, like a machine that is paused."""
        self.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.send_signal(signal.SIGCONT)

    async def wait(self, timeout_s: float) -> bool:
        """Wait for the process to exit; return whether it has exited in time."""
        assert self._process is not None
        try:
            async with asyncio.timeout(timeout_s):
                exit_code = await self._process.wait()
        except TimeoutError:
            return False
        if self.process_record.ended_at is None:
            self.process_record.ended_at = time.monotonic()
            self.process_record.exit_code = exit_code
        return True

    async def terminate(self, kill_after_s: float) -> None:
        """Send SIGTERM, then SIGKILL if the process has not exited within the given time."""
        self.send_signal(signal.SIGTERM)
        if not await self.wait(kill_after_s):
            await self.kill()

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to exit."""
        if self._process is None:
            return
        if self.running:
            self.send_signal(signal.SIGKILL)
        await self.wait(READY_TIMEOUT_S)

    def log_text(self) -> str:
        """Return the log of all processes of this ingress."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def log_tail(self) -> str:
        """Return the last 2000 characters of the log."""
        return self.log_text()[-2000:]


async def is_healthy(address: str) -> bool:
    """Return whether a health check on a new connection is answered with 200."""
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                writer.write(_HEALTH_REQUEST)
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False
